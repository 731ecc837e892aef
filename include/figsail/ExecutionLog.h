// ExecutionLog.h - What this host ran of non-idempotent requests, and what it
// promised not to run.

#ifndef FIGSAIL_EXECUTIONLOG_H
#define FIGSAIL_EXECUTIONLOG_H

#include "figsail/Epoch.h"
#include "figsail/Events.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace figsail {

/// Bounds of the memory for records.
struct RecordLimits {
  /// Unexpired records. A record takes 0.6 KB at the coordinator and 0.7 KB at
  /// the executor without its answer, measured by RecordsBench; 30,000 on both
  /// sides with all answers stay under 70 MB of the daemon's 128 MB.
  std::size_t MaxRecords = 30000;
  std::size_t MaxAnswerBytes = 65536; ///< Larger answers are not kept.
  std::size_t MaxTotalBytes =
      12UL * 1024 * 1024; ///< All kept answers; beyond it none is kept.
  Duration LongestLifetime{
      std::chrono::hours(24)}; ///< Upper bound of any route's record lifetime.
};

/// Life of a final mark whose route is not known. It outlives every message
/// that a peer link can still deliver.
inline constexpr Duration FinalMarkLifetime = std::chrono::minutes(10);
/// Lower bound of a route's record lifetime.
inline constexpr Duration MinRecordLifetime = std::chrono::minutes(1);

/// May this request start here?
struct MayRun {};
/// It runs or waits here already; the asker was added to those who get its
/// result.
struct AlreadyInFlight {};
/// The reply is known already; send it.
struct KnownReply {
  PeerMessage Reply;
};
using AcceptResult = std::variant<MayRun, AlreadyInFlight, KnownReply>;

/// Executor-side record of non-idempotent requests, with or without a grant.
/// Idempotent requests are not recorded.
///
/// A record lives for the route's record lifetime from its last change, and at
/// least as long as the request waits or runs. Final marks of attempts that
/// never arrived live for FinalMarkLifetime. After that the same identity is a
/// new request, and a late copy of the message is no longer recognized.
class ExecutionLog {
public:
  ExecutionLog(PeerRef Self, RecordLimits Limits);
  ~ExecutionLog();

  /// Decides whether a non-idempotent Execute may be queued, and records it as
  /// accepted. Refuses stale epochs, other incarnations, attempts already
  /// marked final, and when memory is full. The ingress sends an Execute only
  /// once, so a refusal is true for every copy of the message. History is that
  /// of the token's service, or null.
  AcceptResult accept(TimePoint Now, const PeerRef &From,
                      const Execute &Message, const EpochHistory *History);

  /// Called directly before the write to the backend server. Returns false when
  /// a fence or a final mark has overtaken the request since accept(), or when
  /// the record lifetime has passed; it must then be refused.
  bool start(TimePoint Now, const CallId &Call);

  /// The request was refused before it started: marks the attempt final and
  /// tells all who wait.
  void refuse(TimePoint Now, const CallId &Call, ErrorKind Kind,
              const LoadReport &Load, EffectList &Out);

  /// The run has ended: records the outcome, answers all who wait and tells the
  /// coordinator. Result holds the response, or BackendFailed and its like when
  /// the outcome is not known.
  void finish(TimePoint Now, const CallId &Call,
              const std::variant<HttpResponse, ErrorKind> &Result,
              const LoadReport &Load, EffectList &Out);

  /// Answers a question about a call or a grant. An unknown one is made final
  /// and refused with NeverStarted; one for another incarnation gets
  /// OutcomeUnknown, and so does one for which there is no memory for a mark.
  void await(TimePoint Now, const PeerRef &From, const Await &Message,
             const LoadReport &Load, EffectList &Out);

  /// Refuses tokens below this epoch of the service from now on, queued ones
  /// included.
  void fence(const std::string &Service, Offset Epoch);

  /// Returns copies of the keyed records whose coordinator in the epoch is
  /// Receiver. Records that Receiver granted itself are left out while this
  /// host is listed: the coordinator has them.
  /// The receiver is told the outcome of those that still wait or run.
  std::vector<RecordCopy> recordsFor(TimePoint Now, const EpochEntry &Epoch,
                                     const std::string &Service,
                                     const PeerRef &Receiver);

  /// Drops expired records.
  void expire(TimePoint Now);

  std::size_t size() const;

private:
  struct State; ///< Defined in ExecutionLogBase.h.
  std::unique_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_EXECUTIONLOG_H
