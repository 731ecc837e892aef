// SpeedWatch.cpp - How fast a backend server works now, and for how long it
// stays slow.

#include "SpeedWatch.h"

#include <algorithm>

namespace figsail {

/// A server counts as slow from this factor on its usual duration.
static constexpr double SlowFactor = 1.5;
/// Stretches seen before their mean is relied upon.
static constexpr unsigned EnoughStretches = 3;
/// Weight of a new stretch in the mean is one over this.
static constexpr int MeanWeight = 8;
/// A stretch counts for at most so many times the mean, so that a server which
/// was in trouble for seconds does not change what is known of short ones.
static constexpr int MaxGrowth = 4;

bool SpeedWatch::slow() const { return Factor >= SlowFactor; }

void SpeedWatch::note(TimePoint Now, double Reported) {
  bool WasSlow = slow();
  Factor = Reported;
  if (slow() == WasSlow)
    return;
  if (slow()) {
    SlowSince = Now;
    return;
  }
  Duration Stretch = Now - SlowSince;
  if (Seen > 0)
    Stretch = std::min(Stretch, MeanStretch * MaxGrowth);
  MeanStretch +=
      (Stretch - MeanStretch) / (Seen < MeanWeight ? Seen + 1 : MeanWeight);
  ++Seen;
}

/// A stretch that has outlasted the mean is expected to last as long again.
std::optional<Duration> SpeedWatch::expectedLeft(TimePoint Now) const {
  if (!slow() || Seen < EnoughStretches)
    return std::nullopt;
  Duration Lasted = Now - SlowSince;
  return Lasted < MeanStretch ? MeanStretch - Lasted / 2 : Lasted;
}

} // namespace figsail
