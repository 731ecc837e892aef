// SlowdownTracker.h - How fast a backend server works now, and for how long it
// stays slow.

#ifndef FIGSAIL_SIDECAR_SLOWDOWNTRACKER_H
#define FIGSAIL_SIDECAR_SLOWDOWNTRACKER_H

#include "figsail/Types.h"

#include <optional>

namespace figsail {

/// Load pattern: a server shares its host, and its speed shifts within
/// milliseconds. A run keeps the speed with which it starts, so to wait for the
/// end of a short slow stretch can be faster than to start at once. How long
/// stretches last is learned from those that were seen.
class SlowdownTracker {
public:
  /// The server works at this factor on its usual duration.
  void update(TimePoint Now, double Factor);

  /// Returns the newest factor; 1 is usual.
  double factor() const { return Factor; }
  bool isSlow() const;
  /// Returns how much longer the present slow stretch is expected to last.
  /// Nothing when the server is not slow or too few stretches were seen.
  std::optional<Duration> expectedRemaining(TimePoint Now) const;

private:
  double Factor = 1;
  TimePoint SlowSince;
  Duration MeanSlowPeriod{0};
  unsigned EndedPeriods = 0; ///< Slow stretches that have ended.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SLOWDOWNTRACKER_H
