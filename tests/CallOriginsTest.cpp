// CallOriginsTest.cpp - Requests of clients and calls of the server's runs.

#include "CallOrigins.h"
#include "SidecarTestSupport.h"

#include <gtest/gtest.h>
#include <random>

using namespace figsail;

// Requests of clients that were taken for calls of repeated runs used up the
// retry budget.
TEST(CallOrigins, TellsCallsFromRequestsOfClients) {
  std::mt19937_64 Random(20261204);
  std::uniform_real_distribution<double> Drawn(0, 1);
  CallOrigins Under;
  TimePoint Now = TestStart;
  int Runs = 0;
  double OfClients = 1;
  double OfCalls = 0;
  for (int I = 0; I < 60000; ++I) {
    Now += 1ms;
    if (Drawn(Random) < 0.06)
      Under.runs(Now, static_cast<std::size_t>(++Runs));
    if (Runs > 0 && Drawn(Random) < 0.02 * Runs)
      Under.runs(Now, static_cast<std::size_t>(--Runs));
    if (Drawn(Random) < 0.02)
      OfClients = Under.arrived(Now, "clients");
    if (Drawn(Random) < 0.01 * Runs)
      OfCalls = Under.arrived(Now, "calls");
  }
  EXPECT_LT(OfClients, 0.5);
  EXPECT_GT(OfCalls, 0.5);
}

TEST(CallOrigins, AnUnknownRouteCountsAsCalled) {
  CallOrigins Under;
  Under.runs(TestStart, 0);
  Under.runs(TestStart + 1s, 4);
  EXPECT_GT(Under.arrived(TestStart + 2s, "new"), 0.8);
}

TEST(CallOrigins, AServerWithoutRunsMakesNoCalls) {
  CallOrigins Under;
  Under.runs(TestStart, 0);
  EXPECT_EQ(Under.arrived(TestStart + 2s, "new"), 0);
}
