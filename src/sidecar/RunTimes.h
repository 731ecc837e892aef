// RunTimes.h - Estimated duration of the runs of each route.

#ifndef FIGSAIL_SIDECAR_RUNTIMES_H
#define FIGSAIL_SIDECAR_RUNTIMES_H

#include "figsail/Types.h"

#include <string>
#include <unordered_map>

namespace figsail {

/// Moving averages of the duration of runs, by route and over all routes, at
/// the usual speed of the server.
class RunTimes {
public:
  /// Returns the mean duration for the route. Without runs of the route it is
  /// the mean over all routes; without any runs, a default.
  Duration expected(const std::string &Route) const;
  /// Returns the mean over all routes; 0 before the first run.
  Duration overall() const { return Overall; }
  void add(const std::string &Route, Duration Elapsed);

private:
  std::unordered_map<std::string, Duration> ByRoute;
  Duration Overall{0};
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_RUNTIMES_H
