// SlowdownTracker.cpp - Current slowdown of a backend server and an estimate of
// its remaining duration.

#include "SlowdownTracker.h"

#include <algorithm>

namespace figsail {

/// Slowdown factor from which a server counts as slow.
static constexpr double SlowFactor = 1.5;
/// Slow periods observed before their mean is used.
static constexpr unsigned MinSlowPeriods = 3;
/// A new slow period has the weight 1 / MeanPeriods in the moving average.
static constexpr int MeanPeriods = 8;
/// A slow period counts for at most this multiple of the mean, so that an
/// outage of seconds does not distort the estimate for short slow periods.
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

/// A slow period that has outlasted the mean is expected to last as long again.
std::optional<Duration>
SlowdownTracker::expectedRemaining(TimePoint Now) const {
  if (!isSlow() || EndedPeriods < MinSlowPeriods)
    return std::nullopt;
  Duration Elapsed = Now - SlowSince;
  return Elapsed < MeanSlowPeriod ? MeanSlowPeriod - Elapsed / 2 : Elapsed;
}

} // namespace figsail
