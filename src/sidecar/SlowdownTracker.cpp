// SlowdownTracker.cpp - How fast a backend server works now, and for how long
// it stays slow.

#include "SlowdownTracker.h"

#include <algorithm>

namespace figsail {

/// A server counts as slow from this factor on its usual duration.
static constexpr double SlowFactor = 1.5;
/// Stretches seen before their mean is relied upon.
static constexpr unsigned MinSlowPeriods = 3;
/// Weight of a new stretch in the mean is one over this.
static constexpr int MeanPeriods = 8;
/// A stretch counts for at most so many times the mean, so that a server which
/// was in trouble for seconds does not change what is known of short ones.
static constexpr int MaxMeanMultiple = 4;

bool SlowdownTracker::isSlow() const { return Factor >= SlowFactor; }

void SlowdownTracker::update(TimePoint Now, double Reported) {
  bool WasSlow = isSlow();
  Factor = Reported;
  if (isSlow() == WasSlow)
    return;
  if (isSlow()) {
    SlowSince = Now;
    return;
  }
  Duration Period = Now - SlowSince;
  if (EndedPeriods > 0)
    Period = std::min(Period, MeanSlowPeriod * MaxMeanMultiple);
  MeanSlowPeriod +=
      (Period - MeanSlowPeriod) /
      (EndedPeriods < MeanPeriods ? EndedPeriods + 1 : MeanPeriods);
  ++EndedPeriods;
}

/// A stretch that has outlasted the mean is expected to last as long again.
std::optional<Duration>
SlowdownTracker::expectedRemaining(TimePoint Now) const {
  if (!isSlow() || EndedPeriods < MinSlowPeriods)
    return std::nullopt;
  Duration Elapsed = Now - SlowSince;
  return Elapsed < MeanSlowPeriod ? MeanSlowPeriod - Elapsed / 2 : Elapsed;
}

} // namespace figsail
