// SidecarSettings.h - Process settings of a sidecar.

#ifndef FIGSAIL_SIDECAR_SIDECARSETTINGS_H
#define FIGSAIL_SIDECAR_SIDECARSETTINGS_H

#include "figsail/Types.h"

#include <map>
#include <string>

namespace figsail {

/// Bounds that the operator guarantees to clients and backend servers.
struct SidecarBounds {
  double RetryRatio = 0.1; ///< Retries per request, over all daemons.
  double RetrySlack = 10;  ///< Additional retries in one window.
  Duration RetryWindow{std::chrono::seconds(10)};
  double ColdOverage = 1; ///< Factor on the rate of a cold backend server.
  double ColdSlack = 0;   ///< Additional requests a second.
  Duration QuotaWindow{std::chrono::seconds(5)};
  double QuotaOverage = 0.1; ///< Factor on the quota of a workspace.
  double QuotaSlack = 20;    ///< Additional requests in one window.
  Duration StopLimit{std::chrono::seconds(6)}; ///< From SIGTERM to SIGKILL.
  Duration HeartbeatInterval{std::chrono::milliseconds(1500)};
  bool UsesRollouts = false; ///< The settings name a bound of rollouts.
  /// Part of a service's requests that a bad new version may get.
  double ExposureShare = 0.1;
  double ExposureSlack = 50; ///< Additional requests.
  /// Until a version gets no request, from its 50th bad answer on.
  Duration RollbackTime{std::chrono::seconds(5)};

  bool operator==(const SidecarBounds &) const = default;
};

/// Identity, location and bounds of one sidecar.
struct SidecarSettings {
  HostId Host; ///< Peer address.
  Incarnation Inc = 0;
  std::string Region;
  std::string FailureDomain;
  std::string Service; ///< Service of the backend server beside it.
  std::map<std::string, std::string> RegionOfDomain;
  double RegionLinkBytes = 30e6 / 8; ///< Bytes a second between two regions.
  double LinkBytes = 0; ///< Bytes a second of this host's link; 0: unknown.
  SidecarBounds Bounds;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SIDECARSETTINGS_H
