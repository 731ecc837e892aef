// CoordinatorBase.h - Internal state of the coordinator.

#ifndef FIGSAIL_COORDINATORBASE_H
#define FIGSAIL_COORDINATORBASE_H

#include "RecordExpiry.h"
#include "Takeover.h"
#include "figsail/Coordinator.h"

#include <set>
#include <unordered_map>

namespace figsail {

/// The idempotency record of one key.
struct CoordinatorRecord {
  GrantToken Token; ///< Newest known grant.
  std::string Route;
  std::uint64_t Fingerprint = 0;
  RecordState State = RecordState::Granted;
  HttpResponse Response; ///< Set with Done.
  Duration Lifetime{0};
  TimePoint Expires;
};

struct Coordinator::State {
  State(PeerRef Self, RecordLimits Limits)
      : Self(Self), Limits(Limits),
        Takeovers(std::move(Self), Limits.LongestLifetime) {}

  PeerRef Self;
  RecordLimits Limits;
  Takeover Takeovers;
  std::unordered_map<RequestKey, CoordinatorRecord> Records;
  RecordExpiry<RequestKey> Expiry;
  TimePoint NextExpiry;      ///< Expired records are removed in batches.
  std::size_t KeptBytes = 0; ///< Of all kept answers.
  std::uint64_t NextAckNumber = 1;

  using Epochs = std::map<PeerRef, Offset>;
  std::map<std::string, Epochs>
      PendingFences;                      ///< Fences of epochs not applied yet.
  std::map<std::string, Epochs> SentAcks; ///< Newest acknowledgement sent.
  std::set<std::string> OwnRecordsMissing; ///< Services whose own execution
                                           ///< records did not fit.

  CoordinatorRecord *findRecord(const RequestKey &Key);
  std::optional<ClaimRefused> checkClaim(const Claim &Message,
                                         const EpochHistory *History) const;
  PeerMessage replyFor(const Claim &Message, const CoordinatorRecord &Record,
                       const EpochEntry &Current) const;
  PeerMessage grant(TimePoint Now, const Claim &Message,
                    const EpochHistory &History, CoordinatorRecord *Released);
  void changeState(TimePoint Now, CoordinatorRecord &Record, RecordState State,
                   const HttpResponse &Response);
  bool merge(TimePoint Now, const std::vector<RecordCopy> &Copies);
  void insert(TimePoint Now, CoordinatorRecord Record);
  std::vector<RecordCopy> copiesFor(TimePoint Now, const EpochEntry &Entry,
                                    const std::string &Service,
                                    const PeerRef &Receiver) const;
  void acknowledge(TimePoint Now, const PeerRef &To, const std::string &Service,
                   Offset Epoch, const EpochHistory &History, ExecutionLog &Log,
                   EffectList &Out);
  void expire(TimePoint Now);
};

} // namespace figsail

#endif // FIGSAIL_COORDINATORBASE_H
