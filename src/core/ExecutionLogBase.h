// ExecutionLogBase.h - Internal state of the execution log.

#ifndef FIGSAIL_EXECUTIONLOGBASE_H
#define FIGSAIL_EXECUTIONLOGBASE_H

#include "RecordExpiry.h"
#include "figsail/ExecutionLog.h"

#include <unordered_map>

namespace figsail {

/// Progress of a request on this host.
enum class ExecutionStage : std::uint8_t {
  Accepted, ///< Queued; not written to the backend server.
  Running,  ///< May have been written to the backend server.
  Done,     ///< Ran; the answer is kept.
  NotKept,  ///< Ran; the answer is not kept.
  Unknown,  ///< Started; the outcome is not known.
  Final,    ///< Did not start and will not start.
};

/// One non-idempotent request, or a mark that it will not start.
struct ExecutionRecord {
  ExecutionStage Stage = ExecutionStage::Accepted;
  ErrorKind Kind = ErrorKind::NeverStarted; ///< Set with Unknown and Final.
  std::optional<GrantToken> Token;          ///< Set for keyed requests.
  std::optional<CallId> Call; ///< Empty: marked by an Await of the grant.
  std::string Route;          ///< Empty when the request never arrived.
  std::uint64_t Fingerprint = 0;
  HttpResponse Response; ///< Set with Done.
  Duration Lifetime{0};
  TimePoint Expires; ///< While Accepted, the time after which it may not start;
                     ///< not used while Running.
  std::vector<std::pair<PeerRef, CallId>> Waiters; ///< Get a reply at the end.
  std::vector<HostId>
      NewCoordinators; ///< Coordinators that took the record over.

  bool isActive() const {
    return Stage == ExecutionStage::Accepted ||
           Stage == ExecutionStage::Running;
  }
};

/// Returns the memory that a kept answer takes, in bytes.
std::size_t answerBytes(const HttpResponse &Response);

/// Returns whether grant A of a key was made after grant B of the same key.
/// Epoch and attempt are enough: a coordinator of a later epoch knows all
/// unexpired grants of earlier ones.
bool grantedAfter(const GrantToken &A, const GrantToken &B);

/// Returns whether two tokens of a key are of the same grant.
bool sameGrant(const GrantToken &A, const GrantToken &B);

struct ExecutionLog::State {
  using Id = std::uint64_t;

  PeerRef Self;
  RecordLimits Limits;
  std::unordered_map<Id, ExecutionRecord> Records;
  std::unordered_map<CallId, Id> ByCall;
  std::unordered_map<RequestKey, Id> ByKey; ///< The newest grant of each key.
  std::unordered_map<std::string, Offset> Fences; ///< By service.
  RecordExpiry<Id> Expiry;
  std::size_t KeptBytes = 0; ///< Of all kept answers.
  Id NextId = 1;

  ExecutionRecord *byCall(const CallId &Call);
  ExecutionRecord *byKey(const RequestKey &Key);
  /// Returns the record that determines the reply to a grant, or null if the
  /// grant is a new attempt. A key that ran or runs here does not run again
  /// under any grant.
  ExecutionRecord *findDecisive(const GrantToken &Token);
  ExecutionRecord &add(TimePoint Now, ExecutionRecord Record);
  void erase(Id RecordId);
  void endAs(TimePoint Now, ExecutionRecord &Record, ExecutionStage Stage,
             ErrorKind Kind);
  bool isFenced(const ExecutionRecord &Record) const;
  bool isFenced(const GrantToken &Token) const;
  std::optional<ErrorKind> checkExecute(const Execute &Message,
                                        const EpochHistory *History) const;
  bool markFinal(TimePoint Now, const CallId &Call,
                 const std::optional<GrantToken> &Token, ErrorKind Kind);
  PeerMessage reply(const ExecutionRecord &Record, const CallId &Call,
                    const LoadReport &Load) const;
  void replyToWaiters(ExecutionRecord &Record, const LoadReport &Load,
                      EffectList &Out);
};

} // namespace figsail

#endif // FIGSAIL_EXECUTIONLOGBASE_H
