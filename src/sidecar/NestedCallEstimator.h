// NestedCallEstimator.h - Estimated fraction of requests that runs of the local
// backend server make.

#ifndef FIGSAIL_SIDECAR_NESTEDCALLESTIMATOR_H
#define FIGSAIL_SIDECAR_NESTEDCALLESTIMATOR_H

#include "figsail/Types.h"

#include <string>
#include <unordered_map>

namespace figsail {

/// Estimator, by route, of the fraction of requests that are nested calls:
/// calls that runs of the local backend server make. They cannot be told apart
/// from requests of clients one by one. But the rate of nested calls is
/// proportional to the number n of present runs, and that of client requests is
/// independent of it: at arrival, nested calls find E(n^2) / E(n) runs on
/// average, client requests E(n). The fraction follows from where the mean of a
/// route lies between the two.
class NestedCallEstimator {
public:
  /// Sets the number of runs at the server.
  void setRunning(TimePoint Now, std::size_t Count);
  /// Adds a request of the route. Returns the estimated fraction of the route's
  /// requests, from 0 to 1, that are nested calls; near 1 after few requests.
  double addRequest(TimePoint Now, const std::string &Route);

private:
  /// Sums over the arrivals of a route; older ones decay.
  struct Arrivals {
    TimePoint UpdatedAt;
    double Count = 0;
    double Runs = 0; ///< Runs present at each arrival.
  };

  double decay(TimePoint From, TimePoint To) const;
  void integrateTo(TimePoint Now);

  TimePoint UpdatedAt;
  double Running = 0;       ///< Present runs.
  double WeightSeconds = 0; ///< Decayed observation time.
  double Runs = 0;          ///< Integral of the number of runs over time.
  double RunSquares = 0;    ///< Integral of its square.
  std::unordered_map<std::string, Arrivals> Routes;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_NESTEDCALLESTIMATOR_H
