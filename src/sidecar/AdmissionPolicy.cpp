// AdmissionPolicy.cpp - Order and value of the calls that wait at a gate.

#include "AdmissionPolicy.h"

namespace figsail {

bool precedes(TimePoint Now, const WaitingCall &One, const WaitingCall &Other) {
  std::uint32_t OnePriority = One.Message->Policy.Priority;
  std::uint32_t OtherPriority = Other.Message->Policy.Priority;
  if (OnePriority != OtherPriority)
    return OnePriority < OtherPriority;
  bool OneLate = One.Target <= Now;
  bool OtherLate = Other.Target <= Now;
  if (OneLate != OtherLate)
    return OtherLate;
  if (One.Message->Nested != Other.Message->Nested)
    return One.Message->Nested;
  return One.Target < Other.Target;
}

} // namespace figsail
