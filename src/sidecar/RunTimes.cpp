// RunTimes.cpp - Estimated duration of the runs of each route.

#include "RunTimes.h"

namespace figsail {

using namespace std::chrono_literals;

/// Weight of one run in the moving averages.
static constexpr double RunTimeWeight = 0.1;
/// Assumed duration of a run before the first one has ended.
static constexpr Duration UnknownRunTime = 50ms;
/// Entries kept; the entries of removed routes remain until the limit is
/// reached.
static constexpr std::size_t MaxRoutes = 65536;

Duration RunTimes::expected(const std::string &Route) const {
  auto Found = ByRoute.find(Route);
  if (Found != ByRoute.end())
    return Found->second;
  return Overall > Duration(0) ? Overall : UnknownRunTime;
}

static void updateMean(Duration &Mean, Duration Sample) {
  if (Mean == Duration(0)) {
    Mean = Sample;
    return;
  }
  auto Error = static_cast<double>((Sample - Mean).count());
  Mean += Duration(static_cast<Duration::rep>(Error * RunTimeWeight));
}

void RunTimes::add(const std::string &Route, Duration Elapsed) {
  if (ByRoute.size() >= MaxRoutes)
    ByRoute.clear();
  updateMean(ByRoute[Route], Elapsed);
  updateMean(Overall, Elapsed);
}

} // namespace figsail
