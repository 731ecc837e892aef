// Coordinator.h - Idempotency records of the keys that this host coordinates,
// and their takeover from other members.

#ifndef FIGSAIL_COORDINATOR_H
#define FIGSAIL_COORDINATOR_H

#include "figsail/Epoch.h"
#include "figsail/Events.h"
#include "figsail/ExecutionLog.h"

#include <memory>
#include <string>

namespace figsail {

/// The coordinator's idempotency records. Grants each attempt of a key at most
/// once. Grants a new attempt only after the executor of the last one has
/// refused it finally, so that it can no longer start.
///
/// A record expires one record lifetime of its route after its last change. In
/// state Granted it expires after two lifetimes, so that it outlives a run
/// whose Completed was lost. After that the same identity is a new request.
class Coordinator {
public:
  Coordinator(PeerRef Self, RecordLimits Limits);
  ~Coordinator();

  /// Replies to a claim with Granted, ClaimHeld, ClaimDone or ClaimRefused.
  /// History is that of the service, or null when it is unknown.
  void claim(TimePoint Now, const PeerRef &From, const Claim &Message,
             const EpochHistory *History, EffectList &Out);

  /// Records an executor's report of the end of an attempt.
  void completed(TimePoint Now, const PeerRef &From, const Completed &Message);

  /// Handles a new epoch of the service: fences Log, sends fences to all
  /// members of this and the previous epochs, takes over the records of Log,
  /// and acknowledges fences that waited for the epoch. Must be called for
  /// every epoch, and only if this host is or was a member of the service.
  void epochChanged(TimePoint Now, const std::string &Service,
                    const EpochHistory &History, ExecutionLog &Log,
                    EffectList &Out);

  /// Handles another member's fence. Fences Log and acknowledges with the
  /// records of this coordinator and of Log. If the epoch is not applied here
  /// yet, epochChanged() sends the acknowledgement.
  void fence(TimePoint Now, const PeerRef &From, const Fence &Message,
             const EpochHistory *History, ExecutionLog &Log, EffectList &Out);

  /// Takes over the records of a member that has acknowledged a fence.
  void fenceAck(TimePoint Now, const PeerRef &From, const FenceAck &Message,
                const EpochHistory *History);

  /// Resends unacknowledged fences and removes expired records.
  void timer(TimePoint Now, EffectList &Out);
  /// Returns when timer() is to be called next.
  TimePoint nextWake() const;

  /// Returns whether this host's records were sent to every other member of the
  /// service's current epoch. A daemon that leaves the service waits for this.
  bool handedOver(const std::string &Service,
                  const EpochHistory &History) const;

  std::size_t size() const;

private:
  struct State; ///< Defined in CoordinatorBase.h.
  std::unique_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_COORDINATOR_H
