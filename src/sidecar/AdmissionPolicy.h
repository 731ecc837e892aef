// AdmissionPolicy.h - Order and value of the calls that wait at a gate.

#ifndef FIGSAIL_SIDECAR_ADMISSIONPOLICY_H
#define FIGSAIL_SIDECAR_ADMISSIONPOLICY_H

#include "figsail/PeerMessages.h"

#include <vector>

namespace figsail {

/// What the policy knows of a call that waits at the gate or has just arrived.
struct WaitingCall {
  const Execute *Message = nullptr;
  TimePoint Target;        ///< When the target latency ends.
  TimePoint LatestStart{}; ///< A call that starts later is too late.
  Duration Work{0};        ///< Time for which its run takes a slot, its nested
                           ///< calls included.
  double Round = 0;        ///< Used while calls are sorted by turns.
};
using WaitingCalls = std::vector<WaitingCall>;

/// The slots of the backend server that calls may use.
struct SlotState {
  std::uint32_t Usable = 1;
  bool AllTaken = false;
};

/// Returns whether One is served before Other: by priority, then calls that can
/// still meet their target, then nested calls, then by the earlier target.
bool precedes(TimePoint Now, const WaitingCall &One, const WaitingCall &Other);

/// Returns whether both are of the same rank, so that only their workspaces and
/// targets decide which one is served first.
bool haveSameRank(TimePoint Now, const WaitingCall &One,
                  const WaitingCall &Other);

/// Returns whether Waiting is less urgent than New.
bool isLessUrgent(const Execute &Waiting, const Execute &New);

/// Returns whether New may displace Waiting: a less urgent call, or one of the
/// same priority whose workspace may be further over its share.
bool mightDisplace(const Execute &New, const Execute &Waiting);

/// Returns the least valuable of the calls that New may displace, or null: of
/// the least urgent ones, those of the workspace that is most over its share,
/// and of these the one that needs the most work for its answer.
const WaitingCall *leastValuable(const Execute &New, const WaitingCalls &Calls);

/// The calls that are served before a new one.
struct QueueAhead {
  std::size_t Calls = 0;
  Duration Work{0};
};
/// Returns what is served before New if the workspaces take turns.
QueueAhead aheadInTurns(TimePoint Now, const WaitingCall &New,
                        const WaitingCalls &Waiting);

/// Returns the calls that are refused at once since New, which has been
/// admitted, makes calls late that it may displace.
///
/// Load pattern: urgent calls arrive while less urgent ones wait. The waiting
/// calls that are overtaken would be refused as late some hundred milliseconds
/// later, when it is too late for another server.
std::vector<CallId> displacedBy(TimePoint Now, const Execute &New,
                                WaitingCalls Waiting, const SlotState &Slots);

} // namespace figsail

#endif // FIGSAIL_SIDECAR_ADMISSIONPOLICY_H
