// CallDependenciesTest.cpp - Calls that runs make, at the ingress and the gate.

#include "ServerGateFixture.h"
#include "SidecarFixture.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

// Load pattern: releases call the service of the downloads, which is busy with
// downloads. Guards against nested calls that wait behind new work.
TEST_F(ServerGateTest, NestedCallsGoBeforeNewWorkOfTheirPriority) {
  auto Runs = fill();
  Execute New = call(true, 0);
  Execute Nested = call(true, 0);
  Nested.Nested = true;
  Nested.TargetMicros = New.TargetMicros + 10000;
  CallId Expected = Nested.Call;
  execute(New);
  execute(Nested);
  auto Started = effects<StartRun>(endRun(Runs[0]));
  ASSERT_EQ(Started.size(), 1U);
  auto Out = endRun(Started[0].Run);
  EXPECT_EQ(messages<Answer>(Out).at(0).second.Call, Expected);
}

/// A daemon whose route has the priority 3, and whose server runs calls.
struct CallDependenciesTest : SidecarTest {
  CallDependenciesTest() {
    loadTopics(true);
    auto Ranked = std::make_shared<ServiceConfig>(*config(6));
    ServiceRoute Route = *Ranked->findRoute("desk.example", "/book/1");
    Route.Priority = 3;
    Ranked->add(Route);
    operatorRecord("config", 2, ConfigPtr(Ranked));
    apply(heartbeat());
  }
  void startRun(std::uint32_t Priority) {
    Execute Message;
    Message.Call = {88, ++LastCall};
    Message.Policy.Route = "run";
    Message.Policy.Service = "booking";
    Message.Policy.Priority = Priority;
    Message.BudgetMicros = 1000000;
    Message.TargetMicros = 500000;
    ASSERT_EQ(effects<StartRun>(reply("b", Message)).size(), 1U);
  }

  std::uint64_t LastCall = 0;
};

// Load pattern: status reads and releases make calls to a service of less
// urgent routes. Guards against urgent runs that wait for such a call.
TEST_F(CallDependenciesTest, ACallOfARunTakesTheMostUrgentPriority) {
  EXPECT_EQ(sent(request(1)).second.Policy.Priority, 3U) << "nothing runs";
  startRun(2);
  startRun(1);
  Now += 10ms;
  auto Nested = sent(request(2)).second;
  EXPECT_TRUE(Nested.Nested);
  EXPECT_EQ(Nested.Policy.Priority, 1U);
}

} // namespace
