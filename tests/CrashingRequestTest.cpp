// CrashingRequestTest.cpp - A request that crashes servers is refused for good,
// whichever daemons end and whatever they miss.

#include "CrashCluster.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

/// Retries that may still reach a server (rule BUDGET).
constexpr std::size_t AllowedRetries = 3;

void expectWithinBudget(const CrashCluster &Cluster, std::uint64_t Seed) {
  EXPECT_LE(Cluster.LateAttempts.size(), AllowedRetries)
      << "seed " << Seed << "\n"
      << Cluster.Trace;
  EXPECT_GE(Cluster.Crashes, 2U);
  EXPECT_GT(Cluster.Tickets, 0U);
}

// Guards against BUDGET (review/3): a request that crashes servers reached them
// again after each restart of a daemon.
TEST(CrashingRequest, RestartsInTurnStayWithinTheBudget) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CrashCluster Cluster(4, Seed);
    Cluster.run(18s);
    for (std::size_t I = 0; I < Cluster.size(); ++I) {
      Cluster.stop(I);
      Cluster.run(18s);
    }
    expectWithinBudget(Cluster, Seed);
  }
}

// All processes end at once, again and again. What was known of the request
// must not end with them.
TEST(CrashingRequest, TheLossOfAllDaemonsStaysWithinTheBudget) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CrashCluster Cluster(4, Seed);
    Cluster.run(18s);
    for (int Round = 0; Round < 4; ++Round) {
      for (std::size_t I = 0; I < Cluster.size(); ++I)
        Cluster.kill(I, 500ms);
      Cluster.run(16s);
    }
    expectWithinBudget(Cluster, Seed);
  }
}

void disturb(CrashCluster &Cluster) {
  std::size_t Host = Cluster.pick(Cluster.size());
  switch (Cluster.pick(6)) {
  case 0:
  case 1:
    return Cluster.stop(Host);
  case 2:
    return Cluster.kill(Host, Cluster.between(300ms, 3s));
  case 3:
    return Cluster.cut(Host, Cluster.between(500ms, 6s));
  case 4:
    return Cluster.loseStore(Cluster.between(500ms, 6s));
  default:
    for (std::size_t I = 0; I < Cluster.size(); ++I)
      Cluster.kill(I, Cluster.between(300ms, 2s));
  }
}

// Any order of stops, kills, cuts, outages of the store and lost reports.
TEST(CrashingRequest, AnyOrderOfDisturbancesStaysWithinTheBudget) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CrashCluster Cluster(3 + Seed % 3, Seed);
    Cluster.LostReports = static_cast<double>(Seed % 5) * 0.25;
    Cluster.OnlyInTouch = Seed % 4 < 3;
    Cluster.run(14s);
    for (int Round = 0; Round < 12; ++Round) {
      disturb(Cluster);
      Cluster.run(Cluster.between(500ms, 14s));
    }
    expectWithinBudget(Cluster, Seed);
  }
}

} // namespace
