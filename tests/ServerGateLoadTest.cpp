// ServerGateLoadTest.cpp - Repeats, and servers that are slow for a moment.

#include "ServerGateFixture.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

// Repeats.

/// The same call once more, after a server that may have run it.
Execute repeatOf(Execute Message) {
  Message.RetryFraction = 1;
  return Message;
}

// The sum over all servers must stay within the operator's ratio and slack, and
// the budget must be there when it is needed.
TEST_F(Gate, RepeatsStayWithinTheServersShareOfTheBudget) {
  constexpr int Servers = 3;
  constexpr int Calls = 200;
  Under.setServerCount(Now, Servers);
  int Repeats = 0;
  for (int I = 0; I < Calls; ++I) {
    Now += 20ms;
    done(effects<RunServer>(execute(call())).at(0).Run);
    auto Out = execute(repeatOf(call()));
    auto Started = effects<RunServer>(Out);
    if (Started.empty()) {
      EXPECT_EQ(refusals(Out).at(0).Kind, ErrorKind::RetryBudgetSpent);
      continue;
    }
    ++Repeats;
    done(Started[0].Run);
  }
  EXPECT_LE(Repeats, 0.2 * Calls + 64.0 / Servers);
  EXPECT_GE(Repeats, 0.2 * Calls);
}

// A daemon that is killed again and again must not get its slack anew each
// time.
TEST_F(Gate, AStartBringsNoRepeats) {
  Under.setServerCount(Now, 3);
  EXPECT_EQ(refusals(execute(repeatOf(call()))).size(), 1U);
}

TEST_F(Gate, ARepeatThatIsCancelledWhileItWaitsCostsNothing) {
  Under.setServerCount(Now, 20); // A share of 3.2, of which 1.6 at once.
  Now += 10s;
  std::vector<RunId> Runs = fill();
  Execute Waits = repeatOf(call());
  EXPECT_TRUE(refusals(execute(Waits)).empty());
  step([&](GateStep &Step) { Under.cancel(Step, Waits.Call); });
  for (RunId Run : Runs)
    done(Run);
  EXPECT_FALSE(effects<RunServer>(execute(repeatOf(call()))).empty());
}

// Calls of a repeated run count as repeats where they arrive. Which run made a
// call is not known, so each bears its part.
TEST_F(Gate, CallsOfRepeatedRunsAreChargedToTheBudget) {
  Under.setServerCount(Now, 1);
  Now += 10s;
  for (int I = 0; I < 200; ++I) {
    Execute FromRepeats = call();
    FromRepeats.RetryFraction = 0.5F;
    done(effects<RunServer>(execute(FromRepeats)).at(0).Run);
  }
  EXPECT_EQ(refusals(execute(repeatOf(call()))).size(), 1U);
}

TEST_F(Gate, TellsWhichPartOfItsRunsAreRepeats) {
  Under.setServerCount(Now, 1);
  Now += 10s;
  EXPECT_EQ(Under.repeatShare(), 0);
  execute(call());
  execute(repeatOf(call()));
  EXPECT_FLOAT_EQ(Under.repeatShare(), 0.5F);
}

/// The server reports its speed.
struct SlowGate : Gate {
  void speed(double Factor) {
    ServerProbed Probe;
    Probe.Load = ServerLoad{0, 0, 10, Factor};
    LastStep = step([&](GateStep &Step) { Under.probed(Step, Probe); });
  }
  /// Some slow stretches of 100 ms, and a run of 70 ms.
  void learn() {
    for (int I = 0; I < 5; ++I) {
      speed(5);
      Now += 100ms;
      speed(1);
      Now += 300ms;
    }
    RunId Run = effects<RunServer>(execute(call())).at(0).Run;
    Now += 70ms;
    done(Run);
  }
  SidecarEffects tick(Duration After) {
    Now += After;
    return step([&](GateStep &Step) { Under.timer(Step); });
  }
  SidecarEffects LastStep;
};

// Load pattern: a server that is slow for 100 ms. A run that starts then takes
// 350 ms and is late; one that starts after it takes 70 ms.
TEST_F(SlowGate, HoldsACallThatIsInTimeAfterTheSlowStretch) {
  learn();
  speed(5);
  Now += 10ms;
  auto Out = execute(call());
  EXPECT_TRUE(effects<RunServer>(Out).empty());
  EXPECT_TRUE(refusals(Out).empty());
  EXPECT_TRUE(effects<RunServer>(execute(call())).empty()) << "a second one";
  EXPECT_TRUE(effects<RunServer>(tick(80ms)).empty());
  speed(1);
  EXPECT_EQ(effects<RunServer>(LastStep).size(), 2U);
}

TEST_F(SlowGate, StartsAHeldCallWhenWaitingNoLongerHelps) {
  learn();
  speed(5);
  execute(call());
  EXPECT_TRUE(effects<RunServer>(tick(200ms)).empty());
  auto Out = tick(45ms); // 300 ms less the run.
  EXPECT_EQ(effects<RunServer>(Out).size(), 1U) << "late, but not refused";
}

TEST_F(SlowGate, HoldsNothingThatIsInTimeOrLateAnyway) {
  learn();
  speed(3); // 210 ms.
  EXPECT_EQ(effects<RunServer>(execute(call())).size(), 1U);
  speed(5);
  Execute Late = call();
  Late.TargetMicros = Duration(100ms).count();
  EXPECT_EQ(effects<RunServer>(execute(Late)).size(), 1U);
}

// Held calls leave their slots free; what is in time at the present speed was
// refused as if they took them.
TEST_F(SlowGate, AHeldCallIsInNobodysWay) {
  learn();
  speed(5);
  for (int I = 0; I < 6; ++I)
    EXPECT_TRUE(effects<RunServer>(execute(call())).empty());
  Execute Patient = call(true, 1);
  Patient.TargetMicros = Duration(400ms).count();
  EXPECT_EQ(effects<RunServer>(execute(Patient)).size(), 1U);
}

TEST_F(SlowGate, HoldsNothingWhileItDoesNotKnowHowLongStretchesLast) {
  speed(5);
  EXPECT_EQ(effects<RunServer>(execute(call())).size(), 1U);
}

// A server in trouble for seconds is not waited for.
TEST_F(SlowGate, HoldsNothingInALongStretch) {
  learn();
  speed(5);
  Now += 2s;
  EXPECT_EQ(effects<RunServer>(execute(call())).size(), 1U);
  speed(1);
  Now += 300ms;
  speed(5);
  EXPECT_TRUE(effects<RunServer>(execute(call())).empty())
      << "and what is known of short ones stays";
}
