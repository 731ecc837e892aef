// RouteIndex.cpp - Look-up of routes by method and path.

#include "figsail/Configuration.h"

#include <algorithm>

namespace figsail {

static bool isPrefixPattern(std::string_view MatchPath) {
  return MatchPath.ends_with('*');
}

static std::string_view withoutStar(std::string_view MatchPath) {
  return MatchPath.substr(0, MatchPath.size() - 1);
}

static std::size_t commonLength(std::string_view A, std::string_view B) {
  auto [InA, InB] = std::ranges::mismatch(A, B);
  return static_cast<std::size_t>(InA - A.begin());
}

void RouteIndex::add(const RoutePtr &Route) {
  std::string_view MatchPath = Route->MatchPath;
  MethodMap &Methods = isPrefixPattern(MatchPath)
                           ? Prefixes[std::string(withoutStar(MatchPath))]
                           : ExactPaths[std::string(MatchPath)];
  Methods[Route->MatchMethod] = Route;
}

void RouteIndex::remove(std::string_view Method, std::string_view MatchPath) {
  auto RemoveFrom = [&](auto &Paths, std::string_view Path) {
    auto Found = Paths.find(Path);
    if (Found == Paths.end())
      return;
    auto Entry = Found->second.find(Method);
    if (Entry != Found->second.end())
      Found->second.erase(Entry);
    if (Found->second.empty())
      Paths.erase(Found);
  };
  if (isPrefixPattern(MatchPath))
    RemoveFrom(Prefixes, withoutStar(MatchPath));
  else
    RemoveFrom(ExactPaths, MatchPath);
}

RouteIndex::RoutePtr RouteIndex::findByMatch(std::string_view Method,
                                             std::string_view MatchPath) const {
  auto FindIn = [&](const auto &Paths, std::string_view Path) -> RoutePtr {
    auto Found = Paths.find(Path);
    if (Found == Paths.end())
      return nullptr;
    auto Entry = Found->second.find(Method);
    return Entry == Found->second.end() ? nullptr : Entry->second;
  };
  return isPrefixPattern(MatchPath) ? FindIn(Prefixes, withoutStar(MatchPath))
                                    : FindIn(ExactPaths, MatchPath);
}

RouteIndex::RoutePtr RouteIndex::selectByMethod(const MethodMap &Methods,
                                                std::string_view Method) {
  auto Found = Methods.find(Method);
  // A HEAD request matches the route of GET: it asks for the header fields of
  // that response.
  if (Found == Methods.end() && Method == "HEAD")
    Found = Methods.find(std::string_view("GET"));
  if (Found == Methods.end())
    Found = Methods.find(std::string_view());
  return Found == Methods.end() ? nullptr : Found->second;
}

RouteIndex::RoutePtr RouteIndex::find(std::string_view Method,
                                      std::string_view Path) const {
  if (auto Found = ExactPaths.find(Path); Found != ExactPaths.end())
    if (RoutePtr Route = selectByMethod(Found->second, Method))
      return Route;
  // Let Key be the greatest key that is not greater than Path. Either Key is a
  // prefix of Path, or every key that is a prefix of Path is also a prefix of
  // the part that Key and Path have in common.
  while (true) {
    auto Above = Prefixes.upper_bound(Path);
    if (Above == Prefixes.begin())
      return nullptr;
    const auto &[Key, Methods] = *std::prev(Above);
    std::size_t Common = commonLength(Key, Path);
    if (Common < Key.size()) {
      Path = Path.substr(0, Common);
      continue;
    }
    if (RoutePtr Route = selectByMethod(Methods, Method))
      return Route;
    if (Common == 0)
      return nullptr;
    Path = Path.substr(0, Common - 1);
  }
}

} // namespace figsail
