// ExecutionLog.h - Record of the non-idempotent requests that this host ran or
// finally refused.

#ifndef FIGSAIL_EXECUTIONLOG_H
#define FIGSAIL_EXECUTIONLOG_H

#include "figsail/Epoch.h"
#include "figsail/Events.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace figsail {

/// Bounds on the memory for records.
struct RecordLimits {
  /// Unexpired records. A record takes 0.6 KB at the coordinator and 0.7 KB at
  /// the executor without its answer, measured by RecordsBench; 30,000 on both
  /// sides with all answers stay under 70 MB of the daemon's 128 MB.
  std::size_t MaxRecords = 30000;
  std::size_t MaxAnswerBytes = 65536; ///< Larger answers are not kept.
  std::size_t MaxTotalBytes =
      12UL * 1024 * 1024; ///< Of all kept answers; further ones are not kept.
  Duration LongestLifetime{
      std::chrono::hours(24)}; ///< Upper bound of any route's record lifetime.
};

/// Lifetime of a final mark whose route is not known. Longer than a peer link
/// can delay a message.
inline constexpr Duration FinalMarkLifetime = std::chrono::minutes(10);
/// Lower bound of a route's record lifetime.
inline constexpr Duration MinRecordLifetime = std::chrono::minutes(1);

/// The request may start here.
struct MayRun {};
/// The request runs or waits here already; the sender will get its result
/// too.
struct AlreadyInFlight {};
/// The reply is known already and is to be sent.
struct KnownReply {
  PeerMessage Reply;
};
using AcceptResult = std::variant<MayRun, AlreadyInFlight, KnownReply>;

/// Executor-side record of non-idempotent requests, with or without a grant.
/// Idempotent requests are not recorded.
///
/// A record expires one record lifetime of its route after its last change, but
/// not while the request waits or runs. A final mark of an attempt that never
/// arrived expires after FinalMarkLifetime. After that the same identity is a
/// new request, and a late copy of the message is no longer recognized.
class ExecutionLog {
public:
  ExecutionLog(PeerRef Self, RecordLimits Limits);
  ~ExecutionLog();

  /// Decides whether a non-idempotent Execute may be queued, and records it as
  /// accepted. Refuses stale epochs, other incarnations, attempts already
  /// marked final, and any request while memory is full. The ingress sends an
  /// Execute only once, so a refusal holds for every copy of the message.
  /// History is that of the token's service, or null.
  AcceptResult accept(TimePoint Now, const PeerRef &From,
                      const Execute &Message, const EpochHistory *History);

  /// Must be called directly before the write to the backend server. Returns
  /// false if a fence or a final mark was set since accept(), or if the record
  /// lifetime has passed; the request must then be refused.
  bool start(TimePoint Now, const CallId &Call);

  /// Marks an attempt that did not start as final, and sends the refusal to
  /// everyone who waits for its result.
  void refuse(TimePoint Now, const CallId &Call, ErrorKind Kind,
              const LoadReport &Load, EffectList &Out);

  /// Records the outcome of a run, replies to everyone who waits for it and
  /// reports it to the coordinator. Result holds the response, or an error such
  /// as BackendFailed if the outcome is not known.
  void finish(TimePoint Now, const CallId &Call,
              const std::variant<HttpResponse, ErrorKind> &Result,
              const LoadReport &Load, EffectList &Out);

  /// Replies to an Await of a call or a grant. An unknown one is marked final
  /// and refused with NeverStarted. The reply is OutcomeUnknown if the Await is
  /// for another incarnation, or if there is no memory for a mark.
  void await(TimePoint Now, const PeerRef &From, const Await &Message,
             const LoadReport &Load, EffectList &Out);

  /// Refuses tokens below this epoch of the service from now on, queued ones
  /// included.
  void fence(const std::string &Service, Offset Epoch);

  /// Returns copies of the keyed records whose coordinator in the epoch is
  /// Receiver. Omits records that Receiver granted itself while this host is
  /// listed, because the coordinator has them. finish() reports the outcome of
  /// requests that still wait or run to the receiver.
  std::vector<RecordCopy> recordsFor(TimePoint Now, const EpochEntry &Epoch,
                                     const std::string &Service,
                                     const PeerRef &Receiver);

  /// Removes expired records.
  void expire(TimePoint Now);

  std::size_t size() const;

private:
  struct State; ///< Defined in ExecutionLogBase.h.
  std::unique_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_EXECUTIONLOG_H
