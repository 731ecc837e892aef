// AdmissionPolicyTest.cpp - Which calls wait at a gate and which are displaced.

#include "ServerGateFixture.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

using namespace figsail;
using namespace figsail::test;

namespace {

/// Adds runs of a known duration, and calls with a longer target.
struct AdmissionPolicyTest : ServerGateTest {
  /// Teaches the gate that runs of the route take this long.
  void learn(const std::string &Route, Duration Run) {
    for (int I = 0; I < 60; ++I) {
      Execute Message = call();
      Message.Policy.Route = Route;
      RunId Started = effects<StartRun>(execute(Message)).at(0).Run;
      Now += Run;
      endRun(Started);
    }
  }
  Execute callOf(const std::string &Route, std::uint32_t Priority,
                 Duration Target) {
    Execute Message = call(true, Priority);
    Message.Policy.Route = Route;
    Message.TargetMicros = Target.count();
    Message.BudgetMicros = Duration(5s).count();
    return Message;
  }
  /// Starts calls until all slots are taken.
  void takeSlots(const std::string &Route) {
    for (int I = 0; I < 8; ++I)
      ASSERT_EQ(effects<StartRun>(execute(callOf(Route, 0, 4s))).size(), 1U);
  }
};

// Load pattern: status reads (priority 0) arrive while downloads (priority 2)
// wait. Guards against downloads that are refused only when it is too late for
// another server, and against equal calls that are displaced.
TEST_F(AdmissionPolicyTest, UrgentCallsDisplaceLessUrgentOnesAtOnce) {
  learn("read", 100ms);
  takeSlots("read");
  std::vector<Execute> Downloads;
  for (int I = 0; I < 24; ++I) {
    Downloads.push_back(callOf("read", 2, 600ms));
    EXPECT_TRUE(refusals(execute(Downloads.back())).empty());
  }
  std::size_t Displaced = 0;
  for (int I = 0; I < 24; ++I)
    for (const Refused &Refusal : refusals(execute(callOf("read", 0, 800ms)))) {
      EXPECT_EQ(Refusal.Kind, ErrorKind::Overloaded);
      EXPECT_TRUE(std::ranges::any_of(Downloads, [&](const Execute &Message) {
        return Message.Call == Refusal.Call;
      }));
      ++Displaced;
    }
  EXPECT_GE(Displaced, 1U);
  EXPECT_LT(Displaced, 24U) << "those that can still be in time keep waiting";
}

// Guards against a change where all priorities are equal: what was admitted
// stays admitted.
TEST_F(AdmissionPolicyTest, EqualCallsAreNotDisplaced) {
  learn("read", 100ms);
  takeSlots("read");
  std::set<CallId> Admitted;
  for (int I = 0; I < 100; ++I) {
    Execute Next = callOf("read", 1, Duration(300ms + I % 7 * 100ms));
    auto Out = execute(Next);
    for (const Refused &Refusal : refusals(Out))
      EXPECT_FALSE(Admitted.contains(Refusal.Call));
    if (refusals(Out).empty())
      Admitted.insert(Next.Call);
  }
  EXPECT_GE(Admitted.size(), 10U);
}

// Load pattern: long and short calls of one priority wait, and an urgent call
// arrives. Guards against two lost answers where one is enough.
TEST_F(AdmissionPolicyTest, OfEqualCallsTheOneWithTheMostWorkIsDisplaced) {
  std::vector<Execute> Messages(3);
  for (std::size_t I = 0; I < 3; ++I)
    Messages[I].Call = {9, I};
  Messages[0].Policy.Priority = 2;
  Messages[1].Policy.Priority = 2;
  WaitingCalls Waiting{{&Messages[0], Now + 1s, Now + 900ms, 400ms},
                       {&Messages[1], Now + 2s, Now + 450ms, 50ms},
                       {&Messages[2], Now + 1s, Now + 900ms, 100ms}};
  EXPECT_EQ(displacedBy(Now, Messages[2], Waiting, {1, true}),
            std::vector<CallId>{Messages[0].Call});
}

// Load pattern: a gate that is full of less urgent calls. Guards against an
// urgent call that is refused since there is no place.
TEST_F(AdmissionPolicyTest, AFullGateMakesRoomForAnUrgentCall) {
  Execute Large = callOf("read", 2, 4s);
  Large.Request.Body.assign(std::size_t{2} << 20, 'x');
  std::size_t Refusals = 0;
  for (int I = 0; I < 40 && Refusals == 0; ++I) {
    Large.Call.Sequence = ++LastCall;
    Refusals = refusals(execute(Large)).size();
  }
  ASSERT_EQ(Refusals, 1U) << "the gate is full";
  Execute Urgent = callOf("read", 0, 4s);
  Urgent.Request.Body.assign(std::size_t{3} << 20, 'x');
  auto Out = execute(Urgent);
  EXPECT_EQ(refusals(Out).size(), 2U) << "two large calls make room";
  for (const Refused &Refusal : refusals(Out))
    EXPECT_NE(Refusal.Call, Urgent.Call);
}

// Load pattern: one workspace sends ten times what another one sends, which
// stays within its share of a server at twice its capacity. Guards against a
// workspace that is delayed or refused since another one sends too much.
TEST_F(AdmissionPolicyTest, AWorkspaceWithinItsShareIsServedInTime) {
  const Duration Run = 100ms;
  learn("read", Run);
  sendHeartbeat(2);
  TimePoint Start = Now;
  std::multimap<TimePoint, RunId> Running;
  std::map<CallId, TimePoint> Small;
  std::size_t SmallInTime = 0, SmallSent = 0, Answers = 0;
  auto Process = [&](const SidecarEffects &Out) {
    for (const StartRun &Started : effects<StartRun>(Out))
      Running.emplace(Now + Run, Started.Run);
    for (auto &[Host, Reply] : messages<Answer>(Out)) {
      ++Answers;
      auto Found = Small.find(Reply.Call);
      if (Found != Small.end() && Now - Found->second <= 300ms)
        ++SmallInTime;
    }
  };
  for (int Millis = 0; Millis < 3000; ++Millis) {
    Now = Start + std::chrono::milliseconds(Millis);
    while (!Running.empty() && Running.begin()->first <= Now) {
      RunId Ended = Running.begin()->second;
      Running.erase(Running.begin());
      Process(endRun(Ended));
    }
    if (Millis % 6 == 0) { // 167 a second; 8 slots serve 80.
      Execute Next = callOf("read", 1, 300ms);
      Next.Policy.Workspace = "large";
      Process(execute(std::move(Next)));
    }
    if (Millis % 60 == 0 && Millis < 2700) {
      Execute Next = callOf("read", 1, 300ms);
      Next.Policy.Workspace = "small";
      Small[Next.Call] = Now;
      ++SmallSent;
      Process(execute(std::move(Next)));
    }
    Process(step([&](GateStep &Step) { Gate.timer(Step); }));
  }
  EXPECT_EQ(SmallInTime, SmallSent);
  EXPECT_GE(Answers, 200U) << "the server stays fully used";
}

} // namespace
