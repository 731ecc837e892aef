// NestedCallEstimator.h - Which requests are calls of the backend server on the
// host.

#ifndef FIGSAIL_SIDECAR_NESTEDCALLESTIMATOR_H
#define FIGSAIL_SIDECAR_NESTEDCALLESTIMATOR_H

#include "figsail/Types.h"

#include <string>
#include <unordered_map>

namespace figsail {

/// Requests of clients and calls of the server's runs arrive alike. Calls come
/// the more often the more runs are under way, and requests of clients do not:
/// with n runs, calls meet E(n^2) / E(n) runs on average, clients E(n). Where
/// the mean of a route lies between the two tells its part of calls.
class NestedCallEstimator {
public:
  /// The number of runs at the server is this from now on.
  void setRunning(TimePoint Now, std::size_t Count);
  /// A request of the route has arrived. Returns which part of the route's
  /// requests, from 0 to 1, are calls of the server; 1 while little is known.
  double addRequest(TimePoint Now, const std::string &Route);

private:
  /// Sums of which older parts fade.
  struct Arrivals {
    TimePoint UpdatedAt;
    double Count = 0;
    double Runs = 0; ///< Sum over the arrivals.
  };

  double decay(TimePoint From, TimePoint To) const;
  void integrateTo(TimePoint Now);

  TimePoint UpdatedAt;
  double Running = 0;       ///< Runs under way.
  double WeightSeconds = 0; ///< Seconds; weight of the two sums.
  double Runs = 0;          ///< Integral of the number of runs.
  double RunSquares = 0;    ///< Integral of its square.
  std::unordered_map<std::string, Arrivals> Routes;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_NESTEDCALLESTIMATOR_H
