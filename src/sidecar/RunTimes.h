// RunTimes.h - How long the runs of each route take.

#ifndef FIGSAIL_SIDECAR_RUNTIMES_H
#define FIGSAIL_SIDECAR_RUNTIMES_H

#include "figsail/Types.h"

#include <string>
#include <unordered_map>

namespace figsail {

/// Mean duration of the runs of one route, at the usual speed of the server.
class RunTimes {
public:
  /// Returns the expected duration of a run, or of all routes together when the
  /// route has none, or a guess.
  Duration expected(const std::string &Route) const;
  Duration overall() const { return Overall; }
  void add(const std::string &Route, Duration Elapsed);

private:
  std::unordered_map<std::string, Duration> ByRoute;
  Duration Overall{0};
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_RUNTIMES_H
