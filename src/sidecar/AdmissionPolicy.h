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

/// Returns whether New may displace Waiting, a less urgent call.
bool mayDisplace(const Execute &New, const Execute &Waiting);

/// Returns the least valuable of the calls that New may displace, or null: of
/// the least urgent ones the one that needs the most work for its answer.
const WaitingCall *leastValuable(const Execute &New, const WaitingCalls &Calls);

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
