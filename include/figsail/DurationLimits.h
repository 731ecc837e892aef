// DurationLimits.h - Conversion of times that other programs state.

#ifndef FIGSAIL_DURATIONLIMITS_H
#define FIGSAIL_DURATIONLIMITS_H

#include "figsail/Types.h"

namespace figsail {

/// Longest duration that is computed with. A time point plus several of them
/// does not overflow.
inline constexpr Duration MaxDuration = std::chrono::hours(24 * 365 * 100);

/// Converts a time of any size. Converting one beyond the range of Duration
/// would be undefined. Negative times and NaN become 0.
inline Duration boundedDuration(std::chrono::duration<double> Time) {
  if (!(Time > Time.zero()))
    return Duration(0);
  if (Time >= MaxDuration)
    return MaxDuration;
  return std::chrono::duration_cast<Duration>(Time);
}

} // namespace figsail

#endif // FIGSAIL_DURATIONLIMITS_H
