// NestedCallEstimatorTest.cpp - Estimated fraction of nested calls.

#include "NestedCallEstimator.h"
#include "SidecarTestSupport.h"

#include <gtest/gtest.h>
#include <random>

using namespace figsail;

// Client requests that were counted as calls of retried runs used up the retry
// budget.
TEST(NestedCallEstimator, DistinguishesNestedCallsFromClientRequests) {
  std::mt19937_64 Random(20261204);
  std::uniform_real_distribution<double> Uniform(0, 1);
  NestedCallEstimator Estimator;
  TimePoint Now = TestStart;
  int Runs = 0;
  double ClientFraction = 1;
  double NestedFraction = 0;
  for (int I = 0; I < 60000; ++I) {
    Now += 1ms;
    if (Uniform(Random) < 0.06)
      Estimator.setRunning(Now, static_cast<std::size_t>(++Runs));
    if (Runs > 0 && Uniform(Random) < 0.02 * Runs)
      Estimator.setRunning(Now, static_cast<std::size_t>(--Runs));
    if (Uniform(Random) < 0.02)
      ClientFraction = Estimator.addRequest(Now, "clients");
    if (Uniform(Random) < 0.01 * Runs)
      NestedFraction = Estimator.addRequest(Now, "calls");
  }
  EXPECT_LT(ClientFraction, 0.5);
  EXPECT_GT(NestedFraction, 0.5);
}

TEST(NestedCallEstimator, NewRouteCountsAsNestedCalls) {
  NestedCallEstimator Estimator;
  Estimator.setRunning(TestStart, 0);
  Estimator.setRunning(TestStart + 1s, 4);
  EXPECT_GT(Estimator.addRequest(TestStart + 2s, "new"), 0.8);
}

TEST(NestedCallEstimator, ServerWithoutRunsMakesNoCalls) {
  NestedCallEstimator Estimator;
  Estimator.setRunning(TestStart, 0);
  EXPECT_EQ(Estimator.addRequest(TestStart + 2s, "new"), 0);
}
