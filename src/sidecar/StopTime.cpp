// StopTime.cpp - End of a graceful stop, and what can still be done before it.

#include "StopTime.h"

#include <algorithm>

namespace figsail {

/// Multiple of its usual duration for which a run must have room. The usual
/// duration is a mean.
static constexpr int RunRoomFactor = 2;
/// Time for the messages of a call, besides its run.
static constexpr Duration MessageTime = std::chrono::milliseconds(100);

bool StopTime::allows(TimePoint Now, Duration Usual, TimePoint Deadline) const {
  if (!isSet())
    return true;
  return std::min(Deadline, Now + Usual * RunRoomFactor + MessageTime) <= End;
}

} // namespace figsail
