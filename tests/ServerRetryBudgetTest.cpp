// ServerRetryBudgetTest.cpp - Bound on the retries that reach a service through
// chains of calls.

#include "SidecarCluster.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

constexpr double Ratio = 0.2;
constexpr double Slack = 64;
constexpr Duration Window = 10s;

template <class T>
std::size_t countIn(const std::vector<T> &All, const std::string &Service,
                    TimePoint From) {
  return static_cast<std::size_t>(std::ranges::count_if(All, [&](const T &One) {
    return One.Service == Service && One.At >= From && One.At < From + Window;
  }));
}

/// Returns by how much the retries exceed the allowed number in the worst
/// window; negative if they never do.
double excess(const SidecarCluster &Cluster, const std::string &Service) {
  std::vector<ClusterArrival> Retries;
  std::ranges::copy_if(Cluster.Arrivals, std::back_inserter(Retries),
                       &ClusterArrival::CausedByRetry);
  double Worst = -1e9;
  for (TimePoint From = TestStart; From < Cluster.Now; From += 250ms) {
    std::size_t Requests = 0;
    for (Duration Back : {Duration(0), Window / 2, Window})
      Requests =
          std::max(Requests, countIn(Cluster.Requests, Service, From - Back));
    double Allowed = Ratio * static_cast<double>(Requests) + Slack;
    double Arrived = static_cast<double>(countIn(Retries, Service, From));
    Worst = std::max(Worst, Arrived - Allowed);
  }
  return Worst;
}

} // namespace

// Load pattern: servers that shed a fraction of their requests, at each level
// of a chain of calls. A retry at one level makes the calls of all levels below
// once more, so levels that each keep their own ratio exceed it together.
TEST(ServerRetryBudget, BoundsRetriesInChainsOfCalls) {
  struct Case {
    std::size_t Hosts; ///< Of each service.
    unsigned Calls;    ///< Made by each run at the front.
    double Shed;       ///< Fraction of requests, at all levels.
    Duration Pause;    ///< Between client requests.
  };
  for (const Case &Each :
       {Case{2, 2, 0.2, 4ms}, Case{2, 2, 0.15, 3ms}, Case{2, 1, 0.25, 3ms},
        Case{3, 2, 0.2, 3ms}, Case{4, 4, 0.25, 4ms}}) {
    SidecarCluster Cluster({{"front", Each.Hosts, 20ms, Each.Calls},
                            {"middle", Each.Hosts, 15ms, 1},
                            {"back", Each.Hosts, 10ms, 0}},
                           20261204);
    Cluster.run(100ms);
    while (Cluster.Now < TestStart + 16s) {
      bool ShedsNow = Cluster.Now > TestStart + 3s;
      for (const char *Service : {"front", "middle", "back"})
        Cluster.RefusedFraction[Service] = ShedsNow ? Each.Shed : 0;
      Cluster.request("front");
      Cluster.run(Each.Pause);
    }
    for (const char *Service : {"front", "middle", "back"})
      EXPECT_LE(excess(Cluster, Service), 0)
          << Service << ", " << Each.Hosts << " hosts, " << Each.Calls
          << " calls, " << Each.Shed << " shed";
  }
}

// The budget must be usable: while one level sheds requests, at least a third
// of it is used.
TEST(ServerRetryBudget, IsUsedWhileOneLevelSheds) {
  SidecarCluster Cluster({{"front", 3, 20ms, 1}, {"back", 3, 10ms, 0}}, 7);
  Cluster.run(100ms);
  while (Cluster.Now < TestStart + 16s) {
    Cluster.RefusedFraction["back"] = Cluster.Now > TestStart + 4s ? 0.4 : 0;
    Cluster.request("front");
    Cluster.run(5ms);
  }
  TimePoint From = TestStart + 5s;
  double Requests =
      static_cast<double>(countIn(Cluster.Requests, "back", From));
  double Retries = Ratio * Requests + Slack + excess(Cluster, "back");
  EXPECT_GE(Retries, (Ratio * Requests + Slack) / 3);
}
