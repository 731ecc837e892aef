// Configuration.cpp - Effective settings and look-ups in the tree.

#include "figsail/Configuration.h"

#include "NodeSettingTable.h"
#include "TreePaths.h"

namespace figsail {

using NodeMap = std::map<std::string, TreeNode>;

std::string failureDomainPath(std::string_view Name) {
  return std::string(FailureDomainsPrefix).append(Name);
}

std::string backendServerPath(std::string_view Host) {
  return std::string(BackendServersPrefix).append(Host);
}

/// Returns the effective value of one setting and the node that declares it.
static EffectiveSetting effectiveSetting(const NodeMap &Nodes,
                                         const std::string &Path,
                                         const std::string &Name) {
  for (std::string At = Path; !At.empty(); At = std::string(parentPath(At))) {
    auto Node = Nodes.find(At);
    if (Node != Nodes.end()) {
      auto Found = Node->second.Settings.find(Name);
      if (Found != Node->second.Settings.end())
        return {Found->second, At};
    }
    if (!isInherited(Name))
      break;
  }
  return {std::string(settingDefault(Name)), ""};
}

std::map<std::string, EffectiveSetting>
Configuration::effectiveSettings(const std::string &Path) const {
  std::map<std::string, EffectiveSetting> Effective;
  auto Node = Nodes.find(Path);
  if (Node == Nodes.end())
    return Effective;
  for (const NodeSettingEntry &Entry : nodeSettingTable()) {
    if (!isSettingOf(Node->second.Kind, Entry.Name))
      continue;
    std::string Name(Entry.Name);
    Effective.emplace(Name, effectiveSetting(Nodes, Path, Name));
  }
  return Effective;
}

Configuration::RoutePtr
Configuration::makeRoute(const std::string &Path) const {
  auto Value = [&](const char *Name) {
    return effectiveSetting(Nodes, Path, Name).Value;
  };
  auto Route = std::make_shared<RouteSettings>();
  CallPolicy &Policy = Route->Policy;
  Policy.Route = Path;
  Policy.Service = std::string(parentPath(Path));
  Policy.Workspace = std::string(parentPath(Policy.Service));
  Policy.HomeRegions = parseList(Value("home_regions"));
  Policy.Idempotent = Value("idempotent") == "true";
  Policy.Share =
      static_cast<std::uint32_t>(parseNumber(Value("share")).value_or(1));
  Policy.RefusalStatus = static_cast<std::uint32_t>(
      parseNumber(Value("refusal_status")).value_or(0));
  Policy.RecordLifetime = parseDuration(Value("record_lifetime"))
                              .value_or(std::chrono::minutes(10));
  Route->Identity = parseIdentity(Value("identity")).value_or(IdentityRule{});
  Route->Deadline =
      parseDuration(Value("deadline")).value_or(std::chrono::seconds(2));
  Route->MaxBody = parseBytes(Value("max_body")).value_or(0);
  Route->MatchMethod = Value("match_method");
  Route->MatchPath = Value("match_path");
  Route->MaxAttempts = static_cast<std::uint32_t>(
      parseNumber(Value("max_attempts")).value_or(1));
  return Route;
}

void Configuration::removeRoute(const std::string &Path) {
  auto Found = Routes.find(Path);
  if (Found == Routes.end())
    return;
  Index.remove(Found->second->MatchMethod, Found->second->MatchPath);
  Routes.erase(Found);
}

std::shared_ptr<const RouteSettings>
Configuration::findRoute(std::string_view Method,
                         std::string_view Target) const {
  // A request sent to a proxy carries the absolute form "http://host/path".
  if (!Target.starts_with('/')) {
    std::size_t Scheme = Target.find("://");
    if (Scheme == std::string_view::npos)
      return nullptr;
    std::size_t Slash = Target.find('/', Scheme + 3);
    Target = Slash == std::string_view::npos ? "/" : Target.substr(Slash);
  }
  return Index.find(Method, Target.substr(0, Target.find('?')));
}

std::map<std::string, std::vector<std::string>>
Configuration::routeRegions(const std::string &Service) const {
  std::map<std::string, std::vector<std::string>> Regions;
  auto [First, Last] = entriesBelow(Routes, Service);
  for (auto It = First; It != Last; ++It)
    Regions.emplace(It->first, It->second->Policy.HomeRegions);
  return Regions;
}

Duration Configuration::longestRecordLifetime() const {
  Duration Longest{0};
  for (const auto &[Path, Route] : Routes)
    Longest = std::max(Longest, Route->Policy.RecordLifetime);
  return Longest;
}

std::vector<std::string> Configuration::services() const {
  std::vector<std::string> Paths;
  for (const auto &[Path, Node] : Nodes)
    if (Node.Kind == NodeKind::Service)
      Paths.push_back(Path);
  return Paths;
}

std::vector<std::string>
Configuration::affectedServices(const std::string &Path) const {
  std::string Parent(parentPath(Path));
  auto Above = Nodes.find(Parent);
  if (Above != Nodes.end() && Above->second.Kind == NodeKind::Service)
    return {Parent};
  // A removed node may have been a service.
  auto Node = Nodes.find(Path);
  std::vector<std::string> Paths;
  if (Node == Nodes.end() || Node->second.Kind == NodeKind::Service)
    Paths.push_back(Path);
  auto [First, Last] = entriesBelow(Nodes, Path);
  for (auto It = First; It != Last; ++It)
    if (It->second.Kind == NodeKind::Service)
      Paths.push_back(It->first);
  return Paths;
}

bool Configuration::inService(const std::string &FailureDomain,
                              const HostId &Host) const {
  auto IsOut = [&](const std::string &Path) {
    auto Node = Nodes.find(Path);
    if (Node == Nodes.end())
      return false;
    auto Found = Node->second.Settings.find("in_service");
    return Found != Node->second.Settings.end() && Found->second == "false";
  };
  return !IsOut(failureDomainPath(FailureDomain)) &&
         !IsOut(backendServerPath(Host));
}

void Configuration::restore(std::map<std::string, TreeNode> Tree) {
  Nodes = std::move(Tree);
  Routes.clear();
  Index = RouteIndex();
  for (const auto &[Path, Node] : Nodes) {
    if (Node.Kind != NodeKind::Route)
      continue;
    RoutePtr Route = makeRoute(Path);
    Routes.emplace(Path, Route);
    Index.add(Route);
  }
}

} // namespace figsail
