// StopTime.h - End of a graceful stop, and what can still be done before it.

#ifndef FIGSAIL_SIDECAR_STOPTIME_H
#define FIGSAIL_SIDECAR_STOPTIME_H

#include "figsail/Types.h"

namespace figsail {

/// When the process ends. Without a stop, never.
class StopTime {
public:
  /// Sets the end, or moves it.
  void set(TimePoint EndsAt) { End = EndsAt; }
  bool isSet() const { return End != TimePoint::max(); }
  TimePoint end() const { return End; }
  /// Returns whether a call that starts now and usually runs for Usual ends
  /// before the process does: by its run or at its own deadline.
  bool allows(TimePoint Now, Duration Usual, TimePoint Deadline) const;

private:
  TimePoint End = TimePoint::max();
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_STOPTIME_H
