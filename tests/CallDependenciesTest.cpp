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
    reportServer(heartbeat());
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

/// Adds runs of the route that end with or without a refused call.
struct DependencyRefusalsTest : SidecarTest {
  DependencyRefusalsTest() { loadTopics(true); }

  /// Sends one request in 20 ms. Of the runs, Failed of ten fail since a
  /// service refuses a call. Returns the number of refused requests.
  int refusedOf(int Requests, int Failed) {
    int Refused = 0;
    for (int I = 0; I < Requests; ++I) {
      Now += 20ms;
      auto Out = request(++LastCaller);
      if (messages<Execute>(Out).empty()) {
        ++Refused;
        EXPECT_EQ(answer(Out)->Status, 503U);
        EXPECT_GT(retryAfter(*answer(Out)), 0);
        continue;
      }
      auto [Host, Call] = sent(Out);
      bool Fails = ++Runs * 7 % 10 < Failed;
      Answer Ended{Call.Call, {Fails ? 500U : 200U, {}, "x"}, {}, Fails};
      EXPECT_TRUE(answer(reply(Host, Ended))) << "every run is delivered";
    }
    return Refused;
  }

  CallerId LastCaller = 0;
  int Runs = 0;
};

// Load pattern: the service of the downloads sheds everything, and every run of
// a release fails. Guards against runs that take slots in vain, and against a
// route that stays closed.
TEST_F(DependencyRefusalsTest, RequestsAreRefusedWhileTheirCallsAreRefused) {
  refusedOf(10, 10);
  int Refused = refusedOf(100, 10);
  EXPECT_GE(Refused, 90);
  EXPECT_LE(Refused, 95) << "trials are let through, one in 300 ms";
  refusedOf(200, 0);
  EXPECT_EQ(refusedOf(100, 0), 0) << "the service serves again";
}

// Load pattern: the servers of a service shed half of their calls. Guards
// against the refusal of requests whose runs may succeed.
TEST_F(DependencyRefusalsTest, NothingIsRefusedWhileRunsStillSucceed) {
  EXPECT_EQ(refusedOf(200, 2), 0) << "a fifth of the runs fails";
  EXPECT_EQ(refusedOf(400, 6), 0) << "three fifths of the runs fail";
}

// An ingress also learns from the runs at the server on its host. Guards
// against a host that learns nothing since it gets few requests itself.
TEST_F(CallDependenciesTest, TheIngressLearnsFromTheOwnGate) {
  for (CallerId I = 1; I <= 10; ++I) {
    Execute Message;
    Message.Call = {88, ++LastCall};
    Message.Policy.Route = "book";
    Message.Policy.Service = "booking";
    Message.BudgetMicros = Message.TargetMicros = 1000000;
    RunId Run = effects<StartRun>(reply("b", Message)).at(0).Run;
    Now += 10ms;
    auto Sent = messages<Execute>(request(I));
    while (!Sent.empty())
      Sent = messages<Execute>(
          reply(Sent[0].first,
                Refused{Sent[0].second.Call, ErrorKind::Overloaded, {}}));
    apply(ServerRunResult{Run, HttpResponse{500, {}, "x"}, {}});
  }
  auto Out = request(100);
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(findHeader(answer(Out)->Headers, "Figsail-Error"),
            "called-service-refuses");
}

} // namespace
