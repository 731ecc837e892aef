// ServerGateLoadTest.cpp - The gate under retries and slow periods.

#include "ServerGateFixture.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

// Retries.

/// Returns the call as a retry: a server may have run it before.
Execute retryOf(Execute Message) {
  Message.RetryFraction = 1;
  return Message;
}

// The sum over all servers must stay within the operator's ratio and slack, and
// the budget must be usable.
TEST_F(ServerGateTest, RetriesStayWithinTheBudgetOfTheServer) {
  constexpr int Servers = 3;
  constexpr int Calls = 200;
  Gate.setServerCount(Now, Servers);
  int Retries = 0;
  for (int I = 0; I < Calls; ++I) {
    Now += 20ms;
    endRun(effects<StartRun>(execute(call())).at(0).Run);
    auto Out = execute(retryOf(call()));
    auto Started = effects<StartRun>(Out);
    if (Started.empty()) {
      EXPECT_EQ(refusals(Out).at(0).Kind, ErrorKind::RetryBudgetSpent);
      continue;
    }
    ++Retries;
    endRun(Started[0].Run);
  }
  EXPECT_LE(Retries, 0.2 * Calls + 64.0 / Servers);
  EXPECT_GE(Retries, 0.2 * Calls);
}

// A daemon that is killed repeatedly must not get a new slack at each start.
TEST_F(ServerGateTest, StartsWithAnEmptyRetryBudget) {
  Gate.setServerCount(Now, 3);
  EXPECT_EQ(refusals(execute(retryOf(call()))).size(), 1U);
}

TEST_F(ServerGateTest, ReturnsTheRetryOfACallCancelledWhileWaiting) {
  Gate.setServerCount(Now,
                      20); // A slack of 3.2 for the server; the burst is 1.6.
  Now += 10s;
  std::vector<RunId> Runs = fill();
  Execute Waiting = retryOf(call());
  EXPECT_TRUE(refusals(execute(Waiting)).empty());
  step([&](GateStep &Step) { Gate.cancel(Step, Waiting.Call); });
  for (RunId Run : Runs)
    endRun(Run);
  EXPECT_FALSE(effects<StartRun>(execute(retryOf(call()))).empty());
}

// Calls that retried runs make count as retries where they arrive. Which run
// made a call is not known, so each call counts for the fraction of such runs.
TEST_F(ServerGateTest, ChargesCallsOfRetriedRunsToTheBudget) {
  Gate.setServerCount(Now, 1);
  Now += 10s;
  for (int I = 0; I < 200; ++I) {
    Execute FromRetries = call();
    FromRetries.RetryFraction = 0.5F;
    endRun(effects<StartRun>(execute(FromRetries)).at(0).Run);
  }
  EXPECT_EQ(refusals(execute(retryOf(call()))).size(), 1U);
}

TEST_F(ServerGateTest, ReportsTheFractionOfRetriedRuns) {
  Gate.setServerCount(Now, 1);
  Now += 10s;
  EXPECT_EQ(Gate.retryFraction(), 0);
  execute(call());
  execute(retryOf(call()));
  EXPECT_FLOAT_EQ(Gate.retryFraction(), 0.5F);
}

/// Adds a server that reports its slowdown.
struct SlowServerGateTest : ServerGateTest {
  void reportSlowdown(double Factor) {
    ServerProbeResult Probe;
    Probe.Load = ServerLoad{0, 0, 10, Factor};
    LastEffects = step([&](GateStep &Step) { Gate.probeEnded(Step, Probe); });
  }
  /// Passes five slow periods of 100 ms and a run of 70 ms, so that the gate
  /// has estimates of both.
  void observeSlowPeriods() {
    for (int I = 0; I < 5; ++I) {
      reportSlowdown(5);
      Now += 100ms;
      reportSlowdown(1);
      Now += 300ms;
    }
    RunId Run = effects<StartRun>(execute(call())).at(0).Run;
    Now += 70ms;
    endRun(Run);
  }
  SidecarEffects tick(Duration After) {
    Now += After;
    return step([&](GateStep &Step) { Gate.timer(Step); });
  }
  SidecarEffects LastEffects;
};

// Load pattern: a server that is slow for 100 ms. A run that starts in that
// time takes 350 ms and is late; one that starts afterwards takes 70 ms.
TEST_F(SlowServerGateTest, DelaysACallThatIsInTimeAfterTheSlowPeriod) {
  observeSlowPeriods();
  reportSlowdown(5);
  Now += 10ms;
  auto Out = execute(call());
  EXPECT_TRUE(effects<StartRun>(Out).empty());
  EXPECT_TRUE(refusals(Out).empty());
  EXPECT_TRUE(effects<StartRun>(execute(call())).empty())
      << "the second call is delayed too";
  EXPECT_TRUE(effects<StartRun>(tick(80ms)).empty());
  reportSlowdown(1);
  EXPECT_EQ(effects<StartRun>(LastEffects).size(), 2U);
}

TEST_F(SlowServerGateTest, StartsADelayedCallWhenWaitingNoLongerHelps) {
  observeSlowPeriods();
  reportSlowdown(5);
  execute(call());
  EXPECT_TRUE(effects<StartRun>(tick(200ms)).empty());
  // The last start in time is at 230 ms: 300 ms less the run of 70 ms.
  auto Out = tick(45ms);
  EXPECT_EQ(effects<StartRun>(Out).size(), 1U) << "late, but not refused";
}

TEST_F(SlowServerGateTest, DelaysNoCallThatIsInTimeOrLateInBothCases) {
  observeSlowPeriods();
  reportSlowdown(3); // A run takes 210 ms.
  EXPECT_EQ(effects<StartRun>(execute(call())).size(), 1U);
  reportSlowdown(5);
  Execute Late = call();
  Late.TargetMicros = Duration(100ms).count();
  EXPECT_EQ(effects<StartRun>(execute(Late)).size(), 1U);
}

// Delayed calls leave their slots free. The gate counted their slots as taken
// and refused calls that were in time at the present speed.
TEST_F(SlowServerGateTest, DelayedCallsDoNotBlockOthers) {
  observeSlowPeriods();
  reportSlowdown(5);
  for (int I = 0; I < 6; ++I)
    EXPECT_TRUE(effects<StartRun>(execute(call())).empty());
  Execute Patient = call(true, 1);
  Patient.TargetMicros = Duration(400ms).count();
  EXPECT_EQ(effects<StartRun>(execute(Patient)).size(), 1U);
}

TEST_F(SlowServerGateTest, DelaysNoCallBeforeSlowPeriodsWereObserved) {
  reportSlowdown(5);
  EXPECT_EQ(effects<StartRun>(execute(call())).size(), 1U);
}

// Calls do not wait for a server that stays slow for seconds.
TEST_F(SlowServerGateTest, DelaysNoCallInALongSlowPeriod) {
  observeSlowPeriods();
  reportSlowdown(5);
  Now += 2s;
  EXPECT_EQ(effects<StartRun>(execute(call())).size(), 1U);
  reportSlowdown(1);
  Now += 300ms;
  reportSlowdown(5);
  EXPECT_TRUE(effects<StartRun>(execute(call())).empty())
      << "the estimate for short slow periods is kept";
}
