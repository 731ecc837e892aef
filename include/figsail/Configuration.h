// Configuration.h - The configuration tree and its look-ups.

#ifndef FIGSAIL_CONFIGURATION_H
#define FIGSAIL_CONFIGURATION_H

#include "figsail/PeerMessages.h"
#include "figsail/Types.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace figsail {

/// Kind of a tree node. Nodes of the kinds FailureDomain and BackendServer
/// declare only the setting in_service. Their paths are "/failure_domains/NAME"
/// and "/backend_servers/HOST".
enum class NodeKind : std::uint8_t {
  Group,
  Workspace,
  Service,
  Route,
  FailureDomain,
  BackendServer,
};

/// Settings that one node declares, without inherited ones: value by name.
using SettingMap = std::map<std::string, std::string>;

/// One node of the configuration tree.
struct TreeNode {
  NodeKind Kind = NodeKind::Group;
  SettingMap Settings;
  Offset Version = NoOffset; ///< Offset of the last change that wrote the node.

  bool operator==(const TreeNode &) const = default;
};

/// Edit that writes or removes one node.
struct NodeEdit {
  std::string Path; ///< "/a/b/c"; the parent must exist or be written by the
                    ///< same change.
  NodeKind Kind = NodeKind::Group;
  bool Remove = false;
  SettingMap Settings;
  Offset ExpectedVersion = NoOffset; ///< NoOffset: the node must not exist.

  bool operator==(const NodeEdit &) const = default;
};

/// A change proposed by an operator. Either all of its edits are applied, or
/// none.
struct Change {
  std::string
      ChangeId; ///< Unique; a change that is in the log twice is applied once.
  std::vector<NodeEdit> Edits;

  bool operator==(const Change &) const = default;
};

/// Reason why a change was not accepted.
struct Rejection {
  std::string Path;      ///< Node that the reason is about.
  std::string Setting;   ///< Setting that the reason is about, or empty.
  std::string Reason;    ///< One sentence.
  bool Conflict = false; ///< The version of the node is not the expected one:
                         ///< another operator changed it first.
};
struct Accepted {};
/// Result of the check of a change.
using Verdict = std::variant<Accepted, Rejection>;

/// Rule by which a route recognizes that a client resends a non-idempotent
/// request.
struct IdentityRule {
  enum class Source : std::uint8_t {
    None,   ///< Each arrival is a new request.
    Header, ///< The value of a header field.
    Body,   ///< The hash of method, target and body.
  };
  Source From = Source::None;
  std::string HeaderName; ///< Set for Source::Header.
};

/// Effective settings of one route, after inheritance.
struct RouteSettings {
  CallPolicy Policy;
  IdentityRule Identity;
  Duration Deadline{
      0}; ///< From the arrival of the whole request to the response.
  std::size_t MaxBody = 0;       ///< Bytes, of a request and of a response.
  std::string MatchMethod;       ///< Empty: any method.
  std::string MatchPath;         ///< Exact path, or a prefix that ends in '*'.
  std::uint32_t MaxAttempts = 0; ///< Executors that may be tried for one call.
};

/// One row of the table of node settings.
struct NodeSettingEntry {
  std::string_view Name;
  std::string_view Default;
  std::string_view AllowedValues; ///< For display: "1ms..60s", "true|false".
  std::string_view Help;
};
/// Returns the table of all node settings.
const std::vector<NodeSettingEntry> &nodeSettingTable();

/// Returns why a node of this kind cannot declare this value, or nothing.
std::optional<std::string>
checkNodeSetting(NodeKind Kind, std::string_view Name, std::string_view Value);

/// Returns the name of a kind: "group", "workspace", "failure_domain".
std::string_view nodeKindName(NodeKind Kind);
/// Returns the kind with that name, or nothing.
std::optional<NodeKind> nodeKindOf(std::string_view Name);

/// Returns the path of the node that takes a failure domain out of service.
std::string failureDomainPath(std::string_view Name);
/// Returns the path of the node that takes a backend server out of service.
std::string backendServerPath(std::string_view Host);

/// The effective value of one setting and the node that declares it.
struct EffectiveSetting {
  std::string Value;
  std::string Origin; ///< Path of the declaring node; empty: the default.
};

/// Index of routes by method and path. The cost of a look-up grows with the
/// logarithm of the number of routes.
class RouteIndex {
public:
  using RoutePtr = std::shared_ptr<const RouteSettings>;

  /// Adds a route. No route with the same method and path may be present.
  void add(const RoutePtr &Route);
  /// Removes the route that declares this method and path, if any.
  void remove(std::string_view Method, std::string_view MatchPath);
  /// Returns the route that declares exactly this method and path, or null.
  RoutePtr findByMatch(std::string_view Method,
                       std::string_view MatchPath) const;
  /// Returns the route for a request path without a query, or null. An exact
  /// path takes precedence over a prefix, a longer prefix over a shorter one,
  /// and on the same path a route with a method over one for any method.
  RoutePtr find(std::string_view Method, std::string_view Path) const;

private:
  struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  /// Routes of one path by method.
  using MethodMap = std::map<std::string, RoutePtr, std::less<>>;
  static RoutePtr selectByMethod(const MethodMap &Methods,
                                 std::string_view Method);

  std::unordered_map<std::string, MethodMap, TextHash, std::equal_to<>>
      ExactPaths; ///< By whole path.
  std::map<std::string, MethodMap, std::less<>>
      Prefixes; ///< By prefix without the '*'.
};

/// The replicated configuration tree. The results of check() and apply() depend
/// only on the tree and the change, so they are the same on every daemon.
class Configuration {
public:
  /// Checks a change against the tree: parents, kinds, values, bounds,
  /// versions, and that a child's home regions are a subset of the inherited
  /// ones. Does not change the tree.
  Verdict check(const Change &Proposal) const;

  /// Returns all reasons to reject a change, in the order of the checks.
  /// check() returns the first conflict among them, else the first one.
  std::vector<Rejection> findRejections(const Change &Proposal) const;

  /// Applies a change that check() has accepted; At is its offset in the log.
  void apply(const Change &Proposal, Offset At);

  /// Returns the route with the longest matching path, or null. The query
  /// string of the target is not compared.
  std::shared_ptr<const RouteSettings> findRoute(std::string_view Method,
                                                 std::string_view Target) const;

  /// Returns the effective home regions of each route of a service, by route
  /// path.
  std::map<std::string, std::vector<std::string>>
  routeRegions(const std::string &Service) const;

  /// Returns the effective value of each setting that the node may declare, or
  /// an empty map when there is no such node.
  std::map<std::string, EffectiveSetting>
  effectiveSettings(const std::string &Path) const;

  /// Returns the services whose routes an edit of this path may have changed:
  /// the service above it, or the services at and below it. The path of a
  /// removed node is included, because it may have been a service.
  std::vector<std::string> affectedServices(const std::string &Path) const;

  /// Returns the longest record lifetime of all routes; zero without routes.
  Duration longestRecordLifetime() const;

  /// Returns the paths of all services.
  std::vector<std::string> services() const;

  /// Returns whether neither the failure domain nor the backend server is out
  /// of service.
  bool inService(const std::string &FailureDomain, const HostId &Host) const;

  /// Returns all nodes by path.
  const std::map<std::string, TreeNode> &nodes() const { return Nodes; }

  /// Replaces the whole tree, from a snapshot.
  void restore(std::map<std::string, TreeNode> Tree);

private:
  using RoutePtr = RouteIndex::RoutePtr;
  void removeRoute(const std::string &Path);
  RoutePtr makeRoute(const std::string &Path) const;

  std::map<std::string, TreeNode> Nodes;  ///< By path.
  std::map<std::string, RoutePtr> Routes; ///< By path; derived from Nodes.
  RouteIndex Index;                       ///< Derived from Routes.
};

} // namespace figsail

#endif // FIGSAIL_CONFIGURATION_H
