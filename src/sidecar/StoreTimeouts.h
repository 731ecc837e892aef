// StoreTimeouts.h - Time limits of calls to the store.

#ifndef FIGSAIL_SIDECAR_STORETIMEOUTS_H
#define FIGSAIL_SIDECAR_STORETIMEOUTS_H

#include "figsail/Types.h"

#include <algorithm>

namespace figsail {

/// Timeout of a call, in addition to the time that the store may delay a read,
/// while the store answers faster than that.
inline constexpr Duration MinStoreTimeout = std::chrono::milliseconds(1500);
/// Bound on the same while the store answers slowly.
inline constexpr Duration MaxStoreTimeout = std::chrono::seconds(15);
/// Timeout of the first hedged read, and the bound to which it doubles with
/// each one that gets no answer.
inline constexpr Duration MinHedgeTimeout = std::chrono::seconds(15);
inline constexpr Duration MaxHedgeTimeout = std::chrono::seconds(60);

/// Returns the timeout of a call to a store whose last answer took AnswerTime.
inline Duration storeTimeout(Duration AnswerTime) {
  return std::clamp(2 * AnswerTime, MinStoreTimeout, MaxStoreTimeout);
}

} // namespace figsail

#endif // FIGSAIL_SIDECAR_STORETIMEOUTS_H
