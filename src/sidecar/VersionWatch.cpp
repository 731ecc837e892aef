// VersionWatch.cpp - First announcements of versions.

#include "VersionWatch.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// Time in which a record of the operator reaches a daemon that is up to date.
static constexpr Duration HoldTime = 3s;
/// Versions of a service that are kept. The oldest is dropped.
static constexpr std::size_t MaxVersions = 16;

void VersionWatch::announced(TimePoint Now, const std::string &Service,
                             const std::string &Version) {
  auto &Versions = FirstSeen[Service];
  Versions.try_emplace(Version, Now);
  if (Versions.size() <= MaxVersions)
    return;
  Versions.erase(std::ranges::min_element(
      Versions, {}, [](const auto &Entry) { return Entry.second; }));
}

bool VersionWatch::isHeld(TimePoint Now, const std::string &Service,
                          const std::string &Version, bool UpToDate) const {
  auto Known = FirstSeen.find(Service);
  // No order can name a server without a version.
  if (Version.empty() || Known == FirstSeen.end())
    return false;
  auto Own = Known->second.find(Version);
  if (Own == Known->second.end())
    return true;
  bool First = std::ranges::all_of(Known->second, [&](const auto &Entry) {
    return Entry.second >= Own->second;
  });
  return !First && (!UpToDate || Now < Own->second + HoldTime);
}

} // namespace figsail
