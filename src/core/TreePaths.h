// TreePaths.h - Functions on the paths of tree nodes.

#ifndef FIGSAIL_TREEPATHS_H
#define FIGSAIL_TREEPATHS_H

#include "figsail/Configuration.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace figsail {

inline constexpr std::string_view FailureDomainsPrefix = "/failure_domains/";
inline constexpr std::string_view BackendServersPrefix = "/backend_servers/";

/// Returns the path of the parent, or an empty text for a top-level node.
inline std::string_view parentPath(std::string_view Path) {
  return Path.substr(0, Path.rfind('/'));
}

/// Returns the range of the entries below a path, without the path itself.
template <class Map> auto entriesBelow(Map &Entries, const std::string &Path) {
  // '0' follows '/' in ASCII, so the range ends after the last child.
  return std::pair(Entries.lower_bound(Path + '/'),
                   Entries.lower_bound(Path + '0'));
}

} // namespace figsail

#endif // FIGSAIL_TREEPATHS_H
