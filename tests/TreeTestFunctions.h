// TreeTestFunctions.h - Builders of changes for tests.

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

/// Returns the rejection of a verdict, or an empty one when it was accepted.
inline Rejection rejectionOf(const Verdict &Outcome) {
  const Rejection *Why = std::get_if<Rejection>(&Outcome);
  return Why ? *Why : Rejection{};
}

inline bool accepted(const Verdict &Outcome) {
  return std::holds_alternative<Accepted>(Outcome);
}

/// A tree with one workspace "/w" and the services "/w/s" and "/w/t".
inline std::vector<NodeEdit> smallTree() {
  return {edit("/w", NodeKind::Workspace), edit("/w/s", NodeKind::Service),
          edit("/w/t", NodeKind::Service), route("/w/s/q", "/s/q"),
          route("/w/s/r", "/s/*"),         route("/w/t/r", "/t")};
}

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

/// Returns the path of a node whose effective home regions are wider than
/// those of its parent, or an empty text.
inline std::string widenedNode(const Configuration &Tree) {
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
    bool Narrow = !Inner.empty() &&
                  std::ranges::all_of(Inner, [&](const std::string &Region) {
                    return std::ranges::count(Outer, Region) > 0;
                  });
    if (!Narrow)
      return Path;
  }
  return {};
}

} // namespace figsail

#endif // FIGSAIL_TREETESTFUNCTIONS_H
