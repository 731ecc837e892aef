// CallOriginsTest.cpp - Requests of clients and calls of the server's runs.

#include "NestedCallEstimator.h"
#include "SidecarTestSupport.h"

#include <gtest/gtest.h>
#include <random>

using namespace figsail;

// Requests of clients that were taken for calls of repeated runs used up the
// retry budget.
TEST(NestedCallEstimator, TellsCallsFromRequestsOfClients) {
  std::mt19937_64 Random(20261204);
  std::uniform_real_distribution<double> Drawn(0, 1);
  NestedCallEstimator Estimator;
  TimePoint Now = TestStart;
  int Runs = 0;
  double OfClients = 1;
  double OfCalls = 0;
  for (int I = 0; I < 60000; ++I) {
    Now += 1ms;
    if (Drawn(Random) < 0.06)
      Estimator.setRunning(Now, static_cast<std::size_t>(++Runs));
    if (Runs > 0 && Drawn(Random) < 0.02 * Runs)
      Estimator.setRunning(Now, static_cast<std::size_t>(--Runs));
    if (Drawn(Random) < 0.02)
      OfClients = Estimator.addRequest(Now, "clients");
    if (Drawn(Random) < 0.01 * Runs)
      OfCalls = Estimator.addRequest(Now, "calls");
  }
  EXPECT_LT(OfClients, 0.5);
  EXPECT_GT(OfCalls, 0.5);
}

TEST(NestedCallEstimator, AnUnknownRouteCountsAsCalled) {
  NestedCallEstimator Estimator;
  Estimator.setRunning(TestStart, 0);
  Estimator.setRunning(TestStart + 1s, 4);
  EXPECT_GT(Estimator.addRequest(TestStart + 2s, "new"), 0.8);
}

TEST(NestedCallEstimator, AServerWithoutRunsMakesNoCalls) {
  NestedCallEstimator Estimator;
  Estimator.setRunning(TestStart, 0);
  EXPECT_EQ(Estimator.addRequest(TestStart + 2s, "new"), 0);
}
