// SlowdownTracker.h - Current slowdown of a backend server and an estimate of
// its remaining duration.

#ifndef FIGSAIL_SIDECAR_SLOWDOWNTRACKER_H
#define FIGSAIL_SIDECAR_SLOWDOWNTRACKER_H

#include "figsail/Types.h"

#include <optional>

namespace figsail {

/// Tracker of a server's slow periods that estimates how long they last.
///
/// Load pattern: a server shares its host, and its speed changes within
/// milliseconds. A run keeps the speed at which it starts, so a call may end
/// sooner if it waits for the end of a short slow period. The expected duration
/// is the mean of earlier slow periods.
class SlowdownTracker {
public:
  /// Applies a reported slowdown factor: duration of work now over the usual
  /// one.
  void update(TimePoint Now, double Factor);

  /// Returns the last reported factor; 1 is the usual speed.
  double factor() const { return Factor; }
  bool isSlow() const;
  /// Returns how much longer the present slow period is expected to last.
  /// Nothing if the server is not slow or too few slow periods have been
  /// observed.
  std::optional<Duration> expectedRemaining(TimePoint Now) const;

private:
  double Factor = 1;
  TimePoint SlowSince;
  Duration MeanSlowPeriod{0};
  unsigned EndedPeriods = 0; ///< Number of slow periods that have ended.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SLOWDOWNTRACKER_H
