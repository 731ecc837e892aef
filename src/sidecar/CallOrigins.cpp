// CallOrigins.cpp - Which requests are calls of the backend server on the host.

#include "CallOrigins.h"

#include <algorithm>
#include <cmath>

namespace figsail {

/// What was seen counts less by a factor of e after so many seconds.
static constexpr double FadeSeconds = 30;
/// Arrivals that a route is supposed to have had, all of them calls, before the
/// first one: too few say little.
static constexpr double PriorArrivals = 10;
/// Routes remembered.
static constexpr std::size_t MaxRoutes = 4096;

static double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(std::max(From, To) - From).count();
}

double CallOrigins::fade(TimePoint From, TimePoint To) const {
  return std::exp(-secondsBetween(From, To) / FadeSeconds);
}

void CallOrigins::advance(TimePoint Now) {
  double Kept = fade(At, Now);
  double Passed = At == TimePoint{} ? 0 : secondsBetween(At, Now);
  At = std::max(At, Now);
  Time = Time * Kept + Passed;
  Runs = Runs * Kept + Present * Passed;
  Squares = Squares * Kept + Present * Present * Passed;
}

void CallOrigins::runs(TimePoint Now, std::size_t Count) {
  advance(Now);
  Present = static_cast<double>(Count);
}

double CallOrigins::arrived(TimePoint Now, const std::string &Route) {
  advance(Now);
  if (Routes.size() >= MaxRoutes && !Routes.contains(Route))
    Routes.erase(Routes.begin());
  Arrivals &Seen = Routes[Route];
  double Kept = fade(Seen.At, Now);
  Seen.At = Now;
  Seen.Count = Seen.Count * Kept + 1;
  Seen.Runs = Seen.Runs * Kept + Present;
  // A server without runs makes no calls.
  if (Present == 0 || Runs <= 0)
    return 0;
  double OfClients = Runs / Time;
  double OfCalls = Squares / Runs;
  if (OfCalls <= OfClients)
    return 1;
  double Mean =
      (Seen.Runs + PriorArrivals * OfCalls) / (Seen.Count + PriorArrivals);
  return std::clamp((Mean - OfClients) / (OfCalls - OfClients), 0.0, 1.0);
}

} // namespace figsail
