// TreeTestFunctions.h - Builders of configuration changes for tests.

#ifndef FIGSAIL_TREETESTFUNCTIONS_H
#define FIGSAIL_TREETESTFUNCTIONS_H

#include "figsail/ReplicatedState.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace figsail {

inline NodeEdit edit(std::string Path, NodeKind Kind, SettingMap Settings = {},
                     Offset Expected = NoOffset) {
  return {std::move(Path), Kind, false, std::move(Settings), Expected};
}

inline NodeEdit removal(std::string Path, NodeKind Kind, Offset Expected) {
  return {std::move(Path), Kind, true, {}, Expected};
}

inline NodeEdit route(std::string Path, std::string MatchPath,
                      std::string Method = "", SettingMap Settings = {}) {
  Settings["match_path"] = std::move(MatchPath);
  Settings["match_method"] = std::move(Method);
  return edit(std::move(Path), NodeKind::Route, std::move(Settings));
}

/// Returns the rejection in a verdict, or an empty one for an accepted change.
inline Rejection rejectionOf(const Verdict &Outcome) {
  const Rejection *Rejected = std::get_if<Rejection>(&Outcome);
  return Rejected ? *Rejected : Rejection{};
}

inline bool accepted(const Verdict &Outcome) {
  return std::holds_alternative<Accepted>(Outcome);
}

/// Returns the edits that build a tree with the workspace "/w" and the services
/// "/w/s" and "/w/t".
inline std::vector<NodeEdit> smallTree() {
  return {edit("/w", NodeKind::Workspace), edit("/w/s", NodeKind::Service),
          edit("/w/t", NodeKind::Service), route("/w/s/q", "/s/q"),
          route("/w/s/r", "/s/*"),         route("/w/t/r", "/t")};
}

/// Splits a comma-separated list.
inline std::vector<std::string> split(const std::string &List) {
  std::vector<std::string> Items(1);
  for (char C : List) {
    if (C == ',')
      Items.emplace_back();
    else
      Items.back() += C;
  }
  if (List.empty())
    Items.clear();
  return Items;
}

/// Returns the path of a node whose effective home regions are not a subset of
/// those of its parent, or an empty text.
inline std::string nodeWithWiderRegions(const Configuration &Tree) {
  auto Regions = [&](const std::string &Path) {
    return split(Tree.effectiveSettings(Path).at("home_regions").Value);
  };
  for (const auto &[Path, Node] : Tree.nodes()) {
    std::string Parent = Path.substr(0, Path.rfind('/'));
    if (Parent.empty() || Node.Kind == NodeKind::FailureDomain ||
        Node.Kind == NodeKind::BackendServer)
      continue;
    std::vector<std::string> Outer = Regions(Parent);
    std::vector<std::string> Inner = Regions(Path);
    if (Outer.empty())
      continue;
    bool IsSubset = !Inner.empty() &&
                    std::ranges::all_of(Inner, [&](const std::string &Region) {
                      return std::ranges::count(Outer, Region) > 0;
                    });
    if (!IsSubset)
      return Path;
  }
  return {};
}

} // namespace figsail

#endif // FIGSAIL_TREETESTFUNCTIONS_H
