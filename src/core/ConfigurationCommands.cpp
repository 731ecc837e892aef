// ConfigurationCommands.cpp - Checks and application of configuration changes.

#include "NodeSettingTable.h"
#include "TreePaths.h"

#include <algorithm>
#include <set>

namespace figsail {

namespace {

/// View of the tree as it would be after a change, without a copy of it.
class ChangedTree {
public:
  ChangedTree(const std::map<std::string, TreeNode> &Nodes,
              const Change &Proposal)
      : Nodes(Nodes) {
    for (const NodeEdit &Edit : Proposal.Edits)
      Edits.emplace(Edit.Path, &Edit);
  }

  const NodeEdit *edit(const std::string &Path) const {
    auto Found = Edits.find(Path);
    return Found == Edits.end() ? nullptr : Found->second;
  }

  std::optional<NodeKind> kind(const std::string &Path) const {
    if (const NodeEdit *Edit = edit(Path))
      return Edit->Remove ? std::nullopt : std::optional(Edit->Kind);
    auto Found = Nodes.find(Path);
    if (Found == Nodes.end())
      return std::nullopt;
    return Found->second.Kind;
  }

  /// Returns the settings that a node declares, or null when there is no such
  /// node.
  const SettingMap *settings(const std::string &Path) const {
    if (const NodeEdit *Edit = edit(Path))
      return Edit->Remove ? nullptr : &Edit->Settings;
    auto Found = Nodes.find(Path);
    return Found == Nodes.end() ? nullptr : &Found->second.Settings;
  }

private:
  const std::map<std::string, TreeNode> &Nodes;
  std::map<std::string, const NodeEdit *> Edits;
};

/// Collector of all reasons to reject one change.
class ChangeChecker {
public:
  ChangeChecker(const std::map<std::string, TreeNode> &Nodes,
                const RouteIndex &Index, const Change &Proposal)
      : Nodes(Nodes), Index(Index), Proposal(Proposal),
        Updated(Nodes, Proposal) {}

  std::vector<Rejection> run() {
    checkChange();
    for (const NodeEdit &Edit : Proposal.Edits)
      checkVersion(Edit);
    for (const NodeEdit &Edit : Proposal.Edits)
      checkEdit(Edit);
    return std::move(Rejections);
  }

private:
  void reject(std::string Path, std::string Setting, std::string Reason) {
    Rejections.push_back(
        {std::move(Path), std::move(Setting), std::move(Reason)});
  }

  void checkChange() {
    if (Proposal.ChangeId.empty() || Proposal.ChangeId.size() > 64)
      reject("", "", "the change id must have 1 to 64 characters");
    if (Proposal.Edits.empty())
      reject("", "", "the change has no edits");
    std::set<std::string_view> Paths;
    for (const NodeEdit &Edit : Proposal.Edits)
      if (!Paths.insert(Edit.Path).second)
        reject(Edit.Path, "", "the change edits the node twice");
  }

  void checkVersion(const NodeEdit &Edit) {
    auto Found = Nodes.find(Edit.Path);
    Offset Present = Found == Nodes.end() ? NoOffset : Found->second.Version;
    if (Present == Edit.ExpectedVersion)
      return;
    std::string Reason = "the node changed at offset " +
                         std::to_string(Present) + ", expected version " +
                         std::to_string(Edit.ExpectedVersion);
    if (Present == NoOffset)
      Reason = "the node does not exist, expected version " +
               std::to_string(Edit.ExpectedVersion);
    else if (Edit.ExpectedVersion == NoOffset)
      Reason = "the node exists already, written at offset " +
               std::to_string(Present);
    Rejections.push_back({Edit.Path, "", std::move(Reason), true});
  }

  void checkEdit(const NodeEdit &Edit) {
    auto Found = Nodes.find(Edit.Path);
    if (Found != Nodes.end() && Found->second.Kind != Edit.Kind) {
      reject(Edit.Path, "",
             "the node is a " + std::string(nodeKindName(Found->second.Kind)) +
                 "; its kind cannot change");
      return;
    }
    if (Edit.Remove) {
      if (Found == Nodes.end())
        reject(Edit.Path, "", "the node does not exist");
      checkRemoval(Edit);
      return;
    }
    if (!checkPath(Edit))
      return;
    bool Valid = true;
    for (const auto &[Name, Value] : Edit.Settings) {
      std::optional<std::string> Error =
          checkNodeSetting(Edit.Kind, Name, Value);
      if (!Error)
        continue;
      reject(Edit.Path, Name, std::move(*Error));
      Valid = false;
    }
    if (!Valid)
      return;
    checkRegions(Edit);
    checkMatch(Edit);
  }

  void checkRemoval(const NodeEdit &Edit) {
    auto [First, Last] = entriesBelow(Nodes, Edit.Path);
    for (auto It = First; It != Last; ++It) {
      if (!Updated.kind(It->first))
        continue;
      reject(Edit.Path, "",
             "the node has children, such as \"" + It->first + "\"");
      return;
    }
  }

  bool checkPath(const NodeEdit &Edit) {
    std::string_view Path = Edit.Path;
    if (Edit.Kind == NodeKind::FailureDomain)
      return checkInServicePath(Edit, FailureDomainsPrefix, "");
    if (Edit.Kind == NodeKind::BackendServer)
      return checkInServicePath(Edit, BackendServersPrefix, ":[]");
    std::string Parent(parentPath(Path));
    std::string_view Name =
        Path.substr(std::min(Path.size(), Parent.size() + 1));
    if (!Path.starts_with('/') || !isNodeName(Name)) {
      reject(Edit.Path, "", "the path is not valid");
      return false;
    }
    std::string Below = Edit.Path + '/';
    if (Below == FailureDomainsPrefix || Below == BackendServersPrefix) {
      reject(Edit.Path, "", "the name is reserved");
      return false;
    }
    return checkParent(Edit, Parent);
  }

  /// Checks the path of a failure domain or a backend server. Extra: characters
  /// that its name may contain beside those of other names.
  bool checkInServicePath(const NodeEdit &Edit, std::string_view Prefix,
                          std::string_view Extra) {
    std::string Name =
        Edit.Path.substr(std::min(Prefix.size(), Edit.Path.size()));
    std::erase_if(
        Name, [&](char C) { return Extra.find(C) != std::string_view::npos; });
    if (Edit.Path.starts_with(Prefix) && isNodeName(Name))
      return true;
    reject(Edit.Path, "", "the path must be " + std::string(Prefix) + "NAME");
    return false;
  }

  bool checkParent(const NodeEdit &Edit, const std::string &Parent) {
    std::optional<NodeKind> Above = Updated.kind(Parent);
    if (!Parent.empty() && !Above) {
      reject(Edit.Path, "", "the parent \"" + Parent + "\" does not exist");
      return false;
    }
    if (isAllowedBelow(Edit.Kind, Above))
      return true;
    std::string Where = Above ? "a " + std::string(nodeKindName(*Above))
                              : std::string("the top of the tree");
    reject(Edit.Path, "",
           "a " + std::string(nodeKindName(Edit.Kind)) +
               " cannot stand below " + Where);
    return false;
  }

  static bool isAllowedBelow(NodeKind Kind, std::optional<NodeKind> Above) {
    if (Kind == NodeKind::Route)
      return Above == NodeKind::Service;
    if (Kind == NodeKind::Service)
      return Above == NodeKind::Workspace;
    return !Above || Above == NodeKind::Group;
  }

  void checkRegions(const NodeEdit &Edit) {
    checkRegionsNarrow(Edit.Path);
    auto Old = Nodes.find(Edit.Path);
    if (Old == Nodes.end())
      return;
    if (declaredRegions(&Old->second.Settings) ==
        declaredRegions(&Edit.Settings))
      return;
    auto [First, Last] = entriesBelow(Nodes, Edit.Path);
    for (auto It = First; It != Last; ++It)
      if (!Updated.edit(It->first))
        checkRegionsNarrow(It->first);
  }

  static std::optional<std::string>
  declaredRegions(const SettingMap *Settings) {
    if (!Settings)
      return std::nullopt;
    auto Found = Settings->find("home_regions");
    if (Found == Settings->end())
      return std::nullopt;
    return Found->second;
  }

  /// Checks that the home regions that a node declares are a subset of those
  /// that it would inherit.
  void checkRegionsNarrow(const std::string &Path) {
    std::optional<std::string> Own = declaredRegions(Updated.settings(Path));
    if (!Own)
      return;
    std::optional<std::string> Above;
    std::string Ancestor(parentPath(Path));
    for (; !Ancestor.empty() && !Above;
         Ancestor = std::string(parentPath(Ancestor)))
      Above = declaredRegions(Updated.settings(Ancestor));
    std::vector<std::string> Allowed = parseList(Above.value_or(""));
    if (Allowed.empty())
      return;
    std::vector<std::string> Regions = parseList(*Own);
    if (Regions.empty())
      reject(Path, "home_regions",
             "any region is wider than the inherited \"" + *Above + "\"");
    for (const std::string &Region : Regions) {
      if (std::ranges::find(Allowed, Region) != Allowed.end())
        continue;
      reject(Path, "home_regions",
             "region \"" + Region + "\" is not among the inherited \"" +
                 *Above + "\"");
    }
  }

  /// Method and path that a route declares.
  using Match = std::pair<std::string, std::string>;

  static Match matchOf(const SettingMap &Settings) {
    auto Method = Settings.find("match_method");
    auto Path = Settings.find("match_path");
    return {Method == Settings.end() ? "" : Method->second,
            Path == Settings.end() ? "" : Path->second};
  }

  void checkMatch(const NodeEdit &Edit) {
    if (Edit.Kind != NodeKind::Route)
      return;
    Match Own = matchOf(Edit.Settings);
    if (Own.second.empty()) {
      reject(Edit.Path, "match_path", "a route must declare match_path");
      return;
    }
    auto [Other, Inserted] = RouteByMatch.emplace(Own, Edit.Path);
    if (!Inserted) {
      rejectDuplicateMatch(Edit.Path, Other->second);
      return;
    }
    RouteIndex::RoutePtr Existing = Index.findByMatch(Own.first, Own.second);
    if (!Existing)
      return;
    const std::string &Path = Existing->Policy.Route;
    // A route that this change also edits is compared by its new method and
    // path, which are in RouteByMatch.
    if (Path != Edit.Path && !Updated.edit(Path))
      rejectDuplicateMatch(Edit.Path, Path);
  }

  void rejectDuplicateMatch(const std::string &Path, const std::string &Other) {
    reject(Path, "match_path",
           "the route \"" + Other + "\" has the same method and path");
  }

  const std::map<std::string, TreeNode> &Nodes;
  const RouteIndex &Index;
  const Change &Proposal;
  ChangedTree Updated;
  std::map<Match, std::string>
      RouteByMatch; ///< Paths of edited routes, by method and path.
  std::vector<Rejection> Rejections;
};

} // namespace

std::vector<Rejection>
Configuration::findRejections(const Change &Proposal) const {
  return ChangeChecker(Nodes, Index, Proposal).run();
}

Verdict Configuration::check(const Change &Proposal) const {
  std::vector<Rejection> Rejections = findRejections(Proposal);
  if (Rejections.empty())
    return Accepted{};
  auto Conflict = std::ranges::find(Rejections, true, &Rejection::Conflict);
  return Conflict == Rejections.end() ? Rejections.front() : *Conflict;
}

void Configuration::apply(const Change &Proposal, Offset At) {
  std::set<std::string> Affected;
  for (const NodeEdit &Edit : Proposal.Edits) {
    if (Edit.Remove)
      Nodes.erase(Edit.Path);
    else
      Nodes[Edit.Path] = {Edit.Kind, Edit.Settings, At};
    if (Edit.Kind == NodeKind::FailureDomain ||
        Edit.Kind == NodeKind::BackendServer)
      continue;
    Affected.insert(Edit.Path);
    auto [First, Last] = entriesBelow(Nodes, Edit.Path);
    for (auto It = First; It != Last; ++It)
      if (It->second.Kind == NodeKind::Route)
        Affected.insert(It->first);
  }
  // All old routes are removed first: two routes may exchange their method and
  // path in one change.
  for (const std::string &Path : Affected)
    removeRoute(Path);
  for (const std::string &Path : Affected) {
    auto Found = Nodes.find(Path);
    if (Found == Nodes.end() || Found->second.Kind != NodeKind::Route)
      continue;
    RoutePtr Route = makeRoute(Path);
    Routes.emplace(Path, Route);
    Index.add(Route);
  }
}

} // namespace figsail
