// RefusedCallsTest.cpp - Tests of runs that fail since a service refuses the
// calls that they make.

#include "RefusedCalls.h"
#include "SidecarFixture.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

TEST(RefusedCalls, EachCallExplainsOneRunThatWasUnderWay) {
  RefusedCalls Refused;
  EXPECT_FALSE(Refused.explain(TestStart)) << "no call was refused";
  Refused.add(TestStart + 10ms);
  EXPECT_FALSE(Refused.explain(TestStart + 20ms)) << "the run started later";
  EXPECT_TRUE(Refused.explain(TestStart));
  EXPECT_FALSE(Refused.explain(TestStart));
}

/// A daemon whose server runs calls and makes calls of its own.
struct RefusedCallsTest : SidecarTest {
  RefusedCallsTest() {
    loadTopics(true);
    reportServer(heartbeat());
  }
  /// Starts a run of another ingress. Returns its call and its number.
  std::pair<CallId, RunId> startRun() {
    Execute Message;
    Message.Call = {88, ++LastCall};
    Message.Policy.Route = "book";
    Message.Policy.Service = "booking";
    Message.BudgetMicros = 1000000;
    Message.TargetMicros = 500000;
    auto Started = effects<StartRun>(reply("b", Message));
    EXPECT_EQ(Started.size(), 1U);
    return {Message.Call, Started.at(0).Run};
  }
  /// A request that arrives during a run is refused by all its servers.
  void refuseCall(CallerId Caller) {
    auto Sent = messages<Execute>(request(Caller));
    while (!Sent.empty())
      Sent = messages<Execute>(
          reply(Sent[0].first,
                Refused{Sent[0].second.Call, ErrorKind::Overloaded, {}}));
  }
  /// Ends a run with a status. Returns the answer to its ingress.
  Answer endRun(RunId Run, unsigned Status) {
    auto Sent = messages<Answer>(
        apply(ServerRunResult{Run, HttpResponse{Status, {}, "x"}, {}}));
    EXPECT_EQ(Sent.size(), 1U);
    return Sent.at(0).second;
  }

  std::uint64_t LastCall = 0;
};

// Load pattern: a service turns away half of what it gets. The run that called
// it fails. Its retry would make the same calls again, and they use up the
// retry budget of the service.
TEST_F(RefusedCallsTest, ARunWhoseCallWasRefusedIsMarked) {
  auto [Call, Run] = startRun();
  Now += 20ms;
  refuseCall(1);
  Now += 5ms;
  EXPECT_TRUE(endRun(Run, 500).CallRefused);
}

TEST_F(RefusedCallsTest, OtherRunsAreNotMarked) {
  auto [First, Failing] = startRun();
  EXPECT_FALSE(endRun(Failing, 500).CallRefused) << "no call was refused";
  auto [Second, Served] = startRun();
  refuseCall(1);
  EXPECT_FALSE(endRun(Served, 200).CallRefused) << "it did not fail";
}

// The mark reaches the ingresses of all levels of a chain of calls.
TEST_F(RefusedCallsTest, AMarkedRunIsNotRetriedAndMarksItsCaller) {
  auto [Call, Run] = startRun();
  Now += 5ms;
  auto [Host, Nested] = sent(request(1));
  auto Out = reply(Host, Answer{Nested.Call, {500, {}, "callee"}, {}, true});
  EXPECT_TRUE(messages<Execute>(Out).empty());
  EXPECT_EQ(answer(Out)->Body, "callee");
  EXPECT_TRUE(endRun(Run, 500).CallRefused);
}

TEST_F(RefusedCallsTest, ARunThatFailsByItselfIsRetried) {
  auto [Host, Call] = sent(request(1));
  auto Out = reply(Host, Answer{Call.Call, {500, {}, "broken"}, {}, false});
  EXPECT_EQ(messages<Execute>(Out).size(), 1U);
}

} // namespace
