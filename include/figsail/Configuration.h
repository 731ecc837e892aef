// Configuration.h - The tree of settings: services, routes, workspaces and what
// is in service.

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

/// Kinds of nodes. Nodes of the kinds FailureDomain and BackendServer hold only
/// in_service; their paths are "/failure_domains/NAME" and
/// "/backend_servers/HOST".
enum class NodeKind : std::uint8_t {
  Group,
  Workspace,
  Service,
  Route,
  FailureDomain,
  BackendServer,
};

/// Settings of one node as declared, before inheritance: name to text value.
using SettingMap = std::map<std::string, std::string>;

/// One node of the tree.
struct TreeNode {
  NodeKind Kind = NodeKind::Group;
  SettingMap Settings;
  Offset Version = NoOffset; ///< Offset of the change that wrote it last.

  bool operator==(const TreeNode &) const = default;
};

/// Writes or removes one node.
struct NodeEdit {
  std::string Path; ///< "/a/b/c"; the parent must exist or be written by the
                    ///< same change.
  NodeKind Kind = NodeKind::Group;
  bool Remove = false;
  SettingMap Settings;
  Offset ExpectedVersion = NoOffset; ///< NoOffset: the node must not exist yet.

  bool operator==(const NodeEdit &) const = default;
};

/// One proposal of an operator; all edits take effect, or none.
struct Change {
  std::string
      ChangeId; ///< Unique; a record that stands twice in the log counts once.
  std::vector<NodeEdit> Edits;

  bool operator==(const Change &) const = default;
};

/// Why a change was not accepted.
struct Rejection {
  std::string Path;      ///< Node at fault.
  std::string Setting;   ///< Setting at fault, or empty.
  std::string Reason;    ///< One sentence.
  bool Conflict = false; ///< The node has another version than expected:
                         ///< another operator was first.
};
struct Accepted {};
using Verdict = std::variant<Accepted, Rejection>;

/// How a route identifies a non-idempotent request across a caller's repeats.
struct IdentityRule {
  enum class Source : std::uint8_t {
    None,   ///< Each arrival is a new request.
    Header, ///< The value of a header field.
    Body,   ///< The hash of method, target and body.
  };
  Source From = Source::None;
  std::string HeaderName; ///< Set with Header.
};

/// Effective settings of one route, after inheritance.
struct RouteSettings {
  CallPolicy Policy;
  IdentityRule Identity;
  Duration Deadline{
      0}; ///< From the arrival of the whole request to the answer.
  std::size_t MaxBody = 0;       ///< Bytes, each way.
  std::string MatchMethod;       ///< Empty: any method.
  std::string MatchPath;         ///< Exact path, or a prefix that ends in '*'.
  std::uint32_t MaxAttempts = 0; ///< Executors tried for one call.
};

/// One row of the table of node settings.
struct NodeSettingEntry {
  std::string_view Name;
  std::string_view Default;
  std::string_view AllowedValues; ///< For people: "1ms..60s", "true|false".
  std::string_view Help;
};
/// Returns the table of node settings.
const std::vector<NodeSettingEntry> &nodeSettingTable();

/// Returns what is wrong with a setting on a node of this kind, or nothing.
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

/// Finds routes by method and path. The cost of a search grows with the
/// logarithm of the number of routes.
class RouteIndex {
public:
  using RoutePtr = std::shared_ptr<const RouteSettings>;

  /// Adds a route. Its match must not be present.
  void add(const RoutePtr &Route);
  /// Removes the route with this match, if any.
  void remove(std::string_view Method, std::string_view MatchPath);
  /// Returns the route declared with exactly this match, or null.
  RoutePtr findByMatch(std::string_view Method,
                       std::string_view MatchPath) const;
  /// Returns the route for a request path without a query, or null. An exact
  /// path precedes a prefix, a longer prefix a shorter one, and on the same
  /// path a route with a method precedes one for any method.
  RoutePtr find(std::string_view Method, std::string_view Path) const;

private:
  struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  /// Routes of one path, by method.
  using MethodMap = std::map<std::string, RoutePtr, std::less<>>;
  static RoutePtr selectByMethod(const MethodMap &Methods,
                                 std::string_view Method);

  std::unordered_map<std::string, MethodMap, TextHash, std::equal_to<>>
      ExactPaths;                                         ///< By whole path.
  std::map<std::string, MethodMap, std::less<>> Prefixes; ///< Without the '*'.
};

/// The replicated tree. check() and apply() give the same result on every
/// daemon.
class Configuration {
public:
  /// Checks a change against the tree: parents, kinds, values, bounds,
  /// versions, and that home regions only narrow. Changes nothing.
  Verdict check(const Change &Proposal) const;

  /// Returns every fault of a change, conflicts first. check() reports the
  /// first of them.
  std::vector<Rejection> findRejections(const Change &Proposal) const;

  /// Applies a change that check() accepted.
  void apply(const Change &Proposal, Offset At);

  /// Returns the route with the longest matching path, or null. Query strings
  /// are not matched.
  std::shared_ptr<const RouteSettings> findRoute(std::string_view Method,
                                                 std::string_view Target) const;

  /// Returns the effective home regions of each route below a service.
  std::map<std::string, std::vector<std::string>>
  routeRegions(const std::string &Service) const;

  /// Returns the effective value of each setting that nodes of this kind may
  /// declare, or an empty map when there is no such node.
  std::map<std::string, EffectiveSetting>
  effectiveSettings(const std::string &Path) const;

  /// Returns the services whose routes may have changed with an edit of this
  /// path: the service above it, or the services at and below it. The path of a
  /// removed node is returned as if it had been a service.
  std::vector<std::string> affectedServices(const std::string &Path) const;

  /// Returns the longest record lifetime of all routes; zero without routes.
  Duration longestRecordLifetime() const;

  /// Returns the paths of all services.
  std::vector<std::string> services() const;

  /// Returns whether neither the failure domain nor the backend server is taken
  /// out.
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
