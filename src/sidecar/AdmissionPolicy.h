// AdmissionPolicy.h - Order and value of the calls that wait at a gate.

#ifndef FIGSAIL_SIDECAR_ADMISSIONPOLICY_H
#define FIGSAIL_SIDECAR_ADMISSIONPOLICY_H

#include "figsail/PeerMessages.h"

namespace figsail {

/// What the policy knows of a call that waits at the gate or has just arrived.
struct WaitingCall {
  const Execute *Message = nullptr;
  TimePoint Target;        ///< When the target latency ends.
  TimePoint LatestStart{}; ///< A call that starts later is too late.
  Duration Work{0};        ///< Time for which its run takes a slot, its nested
                           ///< calls included.
};

/// Returns whether One is served before Other: by priority, then calls that can
/// still meet their target, then nested calls, then by the earlier target.
bool precedes(TimePoint Now, const WaitingCall &One, const WaitingCall &Other);

} // namespace figsail

#endif // FIGSAIL_SIDECAR_ADMISSIONPOLICY_H
