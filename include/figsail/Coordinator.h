// Coordinator.h - Grants for idempotency keys that this host coordinates, and
// their takeover.

#ifndef FIGSAIL_COORDINATOR_H
#define FIGSAIL_COORDINATOR_H

#include "figsail/Epoch.h"
#include "figsail/Events.h"
#include "figsail/ExecutionLog.h"

#include <memory>
#include <string>

namespace figsail {

/// Coordinator-side idempotency records. Grants a key at most once for each
/// attempt, and a new attempt only after the executor of the last one said with
/// finality that it did not start.
///
/// A record lives for the route's record lifetime from its last change; in
/// state Granted for twice that, so that it outlives a run whose Completed was
/// lost. After that the same identity is a new request.
class Coordinator {
public:
  Coordinator(PeerRef Self, RecordLimits Limits);
  ~Coordinator();

  /// Answers a claim with Granted, ClaimHeld, ClaimDone or ClaimRefused.
  /// History is that of the service, or null when it is unknown.
  void claim(TimePoint Now, const PeerRef &From, const Claim &Message,
             const EpochHistory *History, EffectList &Out);

  /// An executor reports the end of an attempt.
  void completed(TimePoint Now, const PeerRef &From, const Completed &Message);

  /// The service has a new epoch: fences Log and all members of this and the
  /// previous epochs, takes over the records of Log, and answers fences that
  /// waited for the epoch. Called for every epoch, and only while this host is,
  /// or was, a member of the service.
  void epochChanged(TimePoint Now, const std::string &Service,
                    const EpochHistory &History, ExecutionLog &Log,
                    EffectList &Out);

  /// A member asks for an acknowledgement. Fences Log, and answers with the
  /// records of both sides. When the epoch is not applied here yet, the answer
  /// waits for epochChanged().
  void fence(TimePoint Now, const PeerRef &From, const Fence &Message,
             const EpochHistory *History, ExecutionLog &Log, EffectList &Out);

  /// A member has acknowledged: takes over its records.
  void fenceAck(TimePoint Now, const PeerRef &From, const FenceAck &Message,
                const EpochHistory *History);

  /// Sends unanswered fences again and drops expired records.
  void timer(TimePoint Now, EffectList &Out);
  /// Returns when timer() is to be called next.
  TimePoint nextWake() const;

  /// Returns whether every other member of the service's current epoch has
  /// fetched this host's records; a leaving daemon waits for it.
  bool handedOver(const std::string &Service,
                  const EpochHistory &History) const;

  std::size_t size() const;

private:
  struct State; ///< Defined in CoordinatorBase.h.
  std::unique_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_COORDINATOR_H
