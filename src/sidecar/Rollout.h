// Rollout.h - Rollout orders, their progress and their status.

#ifndef FIGSAIL_SIDECAR_ROLLOUT_H
#define FIGSAIL_SIDECAR_ROLLOUT_H

#include "figsail/Types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figsail {

/// The operator's order to replace the backend servers of a service by servers
/// of another version.
struct RolloutOrder {
  std::string Service;
  std::string TargetVersion;
  Duration Time{0};   ///< From the order to its deadline.
  bool Active = true; ///< False: the order was removed.
};

/// Progress of a rollout.
enum class RolloutState : std::uint8_t {
  Running,
  Closed,     ///< Judged bad or out of time; the status is not written yet.
  Completed,  ///< Final.
  RolledBack, ///< Final.
};
inline constexpr std::size_t RolloutStateCount =
    static_cast<std::size_t>(RolloutState::RolledBack) + 1;

/// Returns whether the state never changes for its order.
inline bool isFinal(RolloutState State) {
  return State == RolloutState::Completed || State == RolloutState::RolledBack;
}
/// Returns a short name for logs and records.
std::string_view rolloutStateName(RolloutState State);

/// Record of the members topic: which part of the calls ingresses send to the
/// servers of the target version.
struct RolloutShare {
  std::string Service;
  std::string TargetVersion;
  Offset Order = NoOffset; ///< Of the order that it belongs to.
  RolloutState State = RolloutState::Running;
  unsigned Step = 0; ///< Number of the step; rises.
  double Share = 0;  ///< From 0 to 1.
  /// Only these hosts get calls; empty: all of the target version.
  std::vector<HostId> Hosts;
  Duration Elapsed{0}; ///< Of the order's time when it was written.
  /// Versions of earlier orders that were not completed.
  std::vector<std::string> Rejected;

  bool operator==(const RolloutShare &) const = default;
};

/// Prefix of the key of a share record, before the service.
inline constexpr std::string_view RolloutKeyPrefix = "rollout/";

/// Returns the record's value as JSON.
std::string encodeRolloutShare(const RolloutShare &Share);
/// Returns nothing if the text is not a valid share record.
std::optional<RolloutShare> decodeRolloutShare(std::string_view Text);

/// Status of a service's order, as the operator reads it.
struct RolloutStatus {
  std::string Service;
  RolloutState State = RolloutState::Running; ///< Never Closed.
  std::string TargetVersion;

  bool operator==(const RolloutStatus &) const = default;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_ROLLOUT_H
