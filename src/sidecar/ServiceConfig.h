// ServiceConfig.h - The operator's routes, services and limits, as one version.

#ifndef FIGSAIL_SIDECAR_SERVICECONFIG_H
#define FIGSAIL_SIDECAR_SERVICECONFIG_H

#include "figsail/Types.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figsail {

/// A service that gets a share of a route's requests.
struct SplitPart {
  std::string Service;
  double Weight = 1; ///< Relative to the other parts of the route.
};

/// Requests of one host below one path prefix.
struct ServiceRoute {
  std::string Name;
  std::string Host;       ///< Without a port, lower case.
  std::string PathPrefix; ///< Begins and ends with a slash.
  bool Idempotent = false;
  Duration Timeout{0};          ///< Longest time until the final answer.
  Duration TargetLatency{0};    ///< Answers within it have full value.
  std::uint32_t Priority = 0;   ///< 0 is the most urgent.
  std::uint32_t MaxServers = 1; ///< Backend servers that one call may reach.
  std::vector<SplitPart> Parts; ///< Not empty.
  std::vector<std::string> HomeRegions; ///< Empty: any region.
};
using RoutePtr = std::shared_ptr<const ServiceRoute>;

/// What all backend servers of a service have in common.
struct ServiceSettings {
  std::string Name;
  std::string HealthTarget = "/health";
  std::size_t MaxConnections = 1; ///< To one backend server, of all callers.
  double ColdPerSecond = 1; ///< Requests that a cold backend server bears.
};

/// Bounds on what clients may send.
struct ClientLimits {
  std::size_t HeadBytes = std::size_t{16} * 1024;
  std::size_t BodyBytes = std::size_t{8} * 1024 * 1024;
  Duration HeadTimeout{std::chrono::seconds(10)};
  Duration IdleTimeout{std::chrono::seconds(60)};
};

/// One whole configuration. Immutable once built.
class ServiceConfig {
public:
  std::uint64_t Version = 0; ///< Counts up, with gaps.
  ClientLimits Limits;

  void add(ServiceRoute Route);
  void add(ServiceSettings Service);

  /// Returns the route of the host with the longest prefix of the target's
  /// path, or null. A port in Host and a query in Target are ignored.
  RoutePtr findRoute(std::string_view Host, std::string_view Target) const;
  /// Returns the service with that name, or null.
  const ServiceSettings *findService(const std::string &Name) const;
  /// Returns the number of routes.
  std::size_t routeCount() const { return RouteCount; }

private:
  using PrefixMap = std::map<std::string, RoutePtr, std::less<>>;

  std::unordered_map<std::string, PrefixMap> Hosts;
  std::map<std::string, ServiceSettings> Services;
  std::size_t RouteCount = 0;
};
using ConfigPtr = std::shared_ptr<const ServiceConfig>;

/// Distributes the requests of each route over its parts by smooth weighted
/// round robin: after any number of requests each part is within one request
/// of its share.
class SplitSchedule {
public:
  /// Returns the service for the next request of the route.
  const std::string &next(const ServiceRoute &Route);

private:
  struct Entry {
    std::vector<SplitPart> Parts; ///< Of the route when the credits began.
    std::vector<double> Credits;
  };
  std::unordered_map<std::string, Entry> Entries; ///< By route name.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SERVICECONFIG_H
