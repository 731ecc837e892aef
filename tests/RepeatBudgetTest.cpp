// RepeatBudgetTest.cpp - Bound on the requests that reach a service beyond the
// first of each call, through chains of calls.

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

/// Returns the largest number of arrivals beyond what is allowed in a window.
double excess(const SidecarCluster &Cluster, const std::string &Service) {
  std::vector<ClusterArrival> Beyond;
  std::ranges::copy_if(Cluster.Arrivals, std::back_inserter(Beyond),
                       &ClusterArrival::Beyond);
  double Worst = -1e9;
  for (TimePoint From = TestStart; From < Cluster.Now; From += 250ms) {
    std::size_t Requests = 0;
    for (Duration Back : {Duration(0), Window / 2, Window})
      Requests =
          std::max(Requests, countIn(Cluster.Requests, Service, From - Back));
    double Allowed = Ratio * static_cast<double>(Requests) + Slack;
    double Got = static_cast<double>(countIn(Beyond, Service, From));
    Worst = std::max(Worst, Got - Allowed);
  }
  return Worst;
}

} // namespace

// Load pattern: servers that shed a part of their requests, at each level of a
// chain of calls. A repeat at one level repeats the calls of all levels below,
// so that levels which each keep their own ratio exceed it together.
TEST(ServerRetryBudget, HoldsThroughChainsOfCalls) {
  struct Case {
    std::size_t Hosts; ///< Of each service.
    unsigned Calls;    ///< Of a run at the front.
    double Shed;       ///< Share of requests, at all levels.
    Duration Pause;    ///< Between requests of clients.
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
      bool Trouble = Cluster.Now > TestStart + 3s;
      for (const char *Service : {"front", "middle", "back"})
        Cluster.Shedding[Service] = Trouble ? Each.Shed : 0;
      Cluster.request("front");
      Cluster.run(Each.Pause);
    }
    for (const char *Service : {"front", "middle", "back"})
      EXPECT_LE(excess(Cluster, Service), 0)
          << Service << ", " << Each.Hosts << " hosts, " << Each.Calls
          << " calls, " << Each.Shed << " shed";
  }
}

// The budget must be there when it is needed: with one level in trouble a third
// of it at least is used.
TEST(ServerRetryBudget, IsUsedWhereItIsNeeded) {
  SidecarCluster Cluster({{"front", 3, 20ms, 1}, {"back", 3, 10ms, 0}}, 7);
  Cluster.run(100ms);
  while (Cluster.Now < TestStart + 16s) {
    Cluster.Shedding["back"] = Cluster.Now > TestStart + 4s ? 0.4 : 0;
    Cluster.request("front");
    Cluster.run(5ms);
  }
  TimePoint From = TestStart + 5s;
  double Requests =
      static_cast<double>(countIn(Cluster.Requests, "back", From));
  double Beyond = Ratio * Requests + Slack + excess(Cluster, "back");
  EXPECT_GE(Beyond, (Ratio * Requests + Slack) / 3);
}
