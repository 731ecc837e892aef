// ServiceConfig.h - One version of the operator's routes, services and limits.

#ifndef FIGSAIL_SIDECAR_SERVICECONFIG_H
#define FIGSAIL_SIDECAR_SERVICECONFIG_H

#include "KeyDigest.h"

#include "figsail/Types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figsail {

/// A service that receives a fraction of a route's requests.
struct SplitPart {
  std::string Service;
  double Weight = 1; ///< Relative to the other parts of the route.
};

/// A route: the requests for one host name whose path has one prefix.
struct ServiceRoute {
  std::string Name;
  std::string Host;       ///< Host name without port, lower case.
  std::string PathPrefix; ///< Begins and ends with a slash.
  bool Idempotent = false;
  Duration Timeout{0};          ///< Upper limit of the time until the reply.
  Duration TargetLatency{0};    ///< Goal for the time until the reply.
  std::uint32_t Priority = 0;   ///< 0 is the most urgent.
  std::uint32_t MaxServers = 1; ///< Backend servers that one call may reach.
  std::vector<SplitPart> Parts; ///< Traffic split; never empty.
  std::vector<std::string> HomeRegions; ///< Empty: any region.
  bool AllowAnonymous = false; ///< Serves requests without a workspace.
};
using RoutePtr = std::shared_ptr<const ServiceRoute>;

/// A workspace: the callers that share a set of keys, a rank and a quota.
struct Workspace {
  std::string Name;
  /// Rank of its requests, before that of their routes; none: that of the
  /// route.
  std::optional<std::uint32_t> Priority;
  double RatePerSecond = 0; ///< Of requests, at all daemons; 0: no limit.
  double Burst = 0;         ///< Requests beyond the rate.
  std::vector<std::string> HomeRegions; ///< Empty: any region.
};
using WorkspacePtr = std::shared_ptr<const Workspace>;

/// The settings that all backend servers of a service share.
struct ServiceSettings {
  std::string Name;
  std::string HealthTarget = "/health";
  std::size_t MaxConnections = 1; ///< To one backend server, from all callers.
  double ColdPerSecond = 1; ///< Request rate that a cold server can handle.
};

/// Limits on the requests and connections of clients.
struct ClientLimits {
  std::size_t HeadBytes = std::size_t{16} * 1024;
  std::size_t BodyBytes = std::size_t{8} * 1024 * 1024;
  Duration HeadTimeout{std::chrono::seconds(10)};
  Duration IdleTimeout{std::chrono::seconds(60)};
};

/// A complete configuration. Immutable once built.
class ServiceConfig {
public:
  std::uint64_t Version = 0; ///< Increasing, with gaps.
  ClientLimits Limits;

  void add(ServiceRoute Route);
  void add(ServiceSettings Service);
  /// Adds a workspace and the digests of its keys. Returns false, and the
  /// configuration is unusable, if another workspace has the name or a key.
  [[nodiscard]] bool add(Workspace Added, const std::vector<KeyDigest> &Keys);

  /// Returns the host's route with the longest prefix that matches the path of
  /// Target, or null. A port in Host and a query in Target are ignored.
  RoutePtr findRoute(std::string_view Host, std::string_view Target) const;
  /// Returns the service with that name, or null.
  const ServiceSettings *findService(const std::string &Name) const;
  /// Returns the workspace that a key belongs to, or null.
  WorkspacePtr findWorkspace(const KeyDigest &Key) const;
  /// Returns the workspace with that name, or null.
  WorkspacePtr findWorkspaceNamed(const std::string &Name) const;
  /// Returns whether requests identify their workspaces by keys.
  bool hasWorkspaces() const { return !Workspaces.empty(); }
  std::size_t workspaceCount() const { return Workspaces.size(); }
  std::size_t routeCount() const { return RouteCount; }

private:
  using PrefixMap = std::map<std::string, RoutePtr, std::less<>>;

  std::unordered_map<std::string, PrefixMap> Hosts;
  std::map<std::string, ServiceSettings> Services;
  std::unordered_map<std::string, WorkspacePtr> Workspaces; ///< By name.
  std::unordered_map<KeyDigest, WorkspacePtr, KeyDigestHash> ByKey;
  std::size_t RouteCount = 0;
};
using ConfigPtr = std::shared_ptr<const ServiceConfig>;

/// Scheduler for traffic splits. It distributes the requests of each route over
/// its parts by smooth weighted round robin: after any number of requests, each
/// part is within one request of its share.
class SplitSchedule {
public:
  /// Returns the service for the next request of the route.
  const std::string &next(const ServiceRoute &Route);

private:
  struct Entry {
    std::vector<SplitPart>
        Parts; ///< The route's parts that the credits belong to.
    std::vector<double> Credits;
  };
  std::unordered_map<std::string, Entry> Entries; ///< By route name.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SERVICECONFIG_H
