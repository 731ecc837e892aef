// VersionWatch.h - Versions that have appeared without a rollout order.

#ifndef FIGSAIL_SIDECAR_VERSIONWATCH_H
#define FIGSAIL_SIDECAR_VERSIONWATCH_H

#include "Instance.h"

#include <map>
#include <string>

namespace figsail {

/// Watch over the versions of each service. An order may be in the store that
/// this daemon has not read yet: servers of a version that appears beside
/// another one are not used until this daemon has been up to date for some time
/// after their first announcement.
class VersionWatch {
public:
  /// Notes the version of a server.
  void announced(TimePoint Now, const std::string &Service,
                 const std::string &Version);
  /// Returns whether a server of this version must not be used while one of
  /// another version is ready. UpToDate: this daemon has what the store has.
  bool isHeld(TimePoint Now, const std::string &Service,
              const std::string &Version, bool UpToDate) const;

private:
  /// When a version was announced first, by service and version.
  std::map<std::string, std::map<std::string, TimePoint>> FirstSeen;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_VERSIONWATCH_H
