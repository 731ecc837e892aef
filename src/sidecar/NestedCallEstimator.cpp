// NestedCallEstimator.cpp - Estimated fraction of requests that runs of the
// local backend server make.

#include "NestedCallEstimator.h"

#include <algorithm>
#include <cmath>

namespace figsail {

/// Time constant of the exponential decay.
static constexpr double DecaySeconds = 30;
/// Weight of the prior, in arrivals: a new route counts as if it had had this
/// many, all of them nested calls.
static constexpr double PriorArrivals = 10;
static constexpr std::size_t MaxRoutes = 4096;

static double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(std::max(From, To) - From).count();
}

double NestedCallEstimator::decay(TimePoint From, TimePoint To) const {
  return std::exp(-secondsBetween(From, To) / DecaySeconds);
}

void NestedCallEstimator::integrateTo(TimePoint Now) {
  double Decay = decay(UpdatedAt, Now);
  double Elapsed =
      UpdatedAt == TimePoint{} ? 0 : secondsBetween(UpdatedAt, Now);
  UpdatedAt = std::max(UpdatedAt, Now);
  WeightSeconds = WeightSeconds * Decay + Elapsed;
  Runs = Runs * Decay + Running * Elapsed;
  RunSquares = RunSquares * Decay + Running * Running * Elapsed;
}

void NestedCallEstimator::setRunning(TimePoint Now, std::size_t Count) {
  integrateTo(Now);
  Running = static_cast<double>(Count);
}

double NestedCallEstimator::addRequest(TimePoint Now,
                                       const std::string &Route) {
  integrateTo(Now);
  if (Routes.size() >= MaxRoutes && !Routes.contains(Route))
    Routes.erase(Routes.begin());
  Arrivals &Sums = Routes[Route];
  double Decay = decay(Sums.UpdatedAt, Now);
  Sums.UpdatedAt = Now;
  Sums.Count = Sums.Count * Decay + 1;
  Sums.Runs = Sums.Runs * Decay + Running;
  // Without runs the server makes no calls.
  if (Running == 0 || Runs <= 0)
    return 0;
  double ClientMean = Runs / WeightSeconds;
  double NestedMean = RunSquares / Runs;
  if (NestedMean <= ClientMean)
    return 1;
  double Mean =
      (Sums.Runs + PriorArrivals * NestedMean) / (Sums.Count + PriorArrivals);
  return std::clamp((Mean - ClientMean) / (NestedMean - ClientMean), 0.0, 1.0);
}

} // namespace figsail
