// CallCertaintyTest.cpp - Calls that certainly did not run end with 503.

#include "SidecarFixture.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

/// Adds the end of a call whose daemon stays silent.
struct CallCertaintyTest : SidecarTest {
  /// Refuses the attempts of a call, the first of which is in Out, until it is
  /// answered.
  SidecarEffects refuseAll(SidecarEffects Out) {
    while (!answer(Out)) {
      auto [Host, Call] = sent(Out);
      Out = reply(Host, Refused{Call.Call, ErrorKind::Overloaded, {}});
    }
    return Out;
  }
  static PeerLost unsent(const HostId &Host, const Execute &Call) {
    PeerLost Lost{Host, {}};
    Lost.Unsent.emplace_back(Call);
    return Lost;
  }
  static void expectRefusal(const SidecarEffects &Out) {
    ASSERT_TRUE(answer(Out));
    EXPECT_EQ(answer(Out)->Status, 503U);
    EXPECT_GE(retryAfter(*answer(Out)), 0);
  }
};

// Guards against 502 for a request that was never written: the link was reset
// and the call moved on before the transport reported what it had not sent.
TEST_F(CallCertaintyTest, AnUnsentAttemptReportedLateDidNotRun) {
  loadTopics(true);
  auto [Silent, Call] = sent(request(1));
  auto Out = tick(250ms);
  apply(unsent(Silent, Call));
  expectRefusal(refuseAll(Out));
}

// Guards against the same for a call whose silent daemon refuses it later.
TEST_F(CallCertaintyTest, AnAttemptRefusedLateDidNotRun) {
  loadTopics(true);
  auto [Silent, Call] = sent(request(1));
  auto Out = tick(250ms);
  reply(Silent, Refused{Call.Call, ErrorKind::Cancelled, {}});
  expectRefusal(refuseAll(Out));
}

// Guards against a false "not run": a new incarnation cannot tell.
TEST_F(CallCertaintyTest, ARefusalByANewIncarnationSettlesNothing) {
  loadTopics(true);
  auto [Silent, Call] = sent(request(1));
  auto Out = tick(250ms);
  apply(
      PeerReceived{{Silent, 78}, Refused{Call.Call, ErrorKind::Cancelled, {}}});
  EXPECT_EQ(answer(refuseAll(Out))->Status, 502U);
}

// Guards against 502 at once for an idempotent call that may reach one server
// and was not confirmed: its daemon is asked first.
TEST_F(CallCertaintyTest, AnUnconfirmedCallWithoutAnotherServerIsQueried) {
  loadTopics(true);
  auto [First, Failing] = sent(request(1));
  auto [Silent, Call] =
      sent(reply(First, Answer{Failing.Call, {500, {}, "x"}, {}, false}));
  EXPECT_EQ(messages<Await>(tick(250ms)).size(), 1U);
  auto Out = apply(unsent(Silent, Call));
  EXPECT_NE(sent(Out).first, Silent) << "no second server has received it";
}

// Guards against 504 for a call that still waited at a gate: shortly before the
// deadline the gate is asked not to start it any more.
TEST_F(CallCertaintyTest, AWaitingCallIsWithdrawnBeforeItsDeadline) {
  loadTopics(false);
  auto [Host, Call] = sent(request(1, "/book/1", 400ms));
  reply(Host, Received{Call.Call});
  auto Out = tick(350ms);
  ASSERT_EQ(messages<Cancel>(Out).size(), 1U);
  ASSERT_EQ(messages<Await>(Out).size(), 1U);
  reply(Host, Received{Call.Call});
  Out = reply(Host, Refused{Call.Call, ErrorKind::Cancelled, {}});
  EXPECT_TRUE(messages<Execute>(Out).empty());
  expectRefusal(Out);
}

// Guards against a query that overtakes its request: a call that was just sent
// is not withdrawn.
TEST_F(CallCertaintyTest, ACallSentShortlyBeforeItsDeadlineIsNotWithdrawn) {
  loadTopics(false);
  auto [Host, Call] = sent(request(1, "/book/1", 400ms));
  Now += 340ms;
  sent(reply(Host, Refused{Call.Call, ErrorKind::Overloaded, {}}));
  EXPECT_TRUE(messages<Cancel>(tick(20ms)).empty());
}

// Guards against the withdrawal of a run: its outcome is still unknown.
TEST_F(CallCertaintyTest, ARunPastItsDeadlineStaysUnknown) {
  loadTopics(false);
  auto [Host, Call] = sent(request(1, "/book/1", 400ms));
  reply(Host, Received{Call.Call});
  tick(350ms);
  reply(Host, Received{Call.Call});
  EXPECT_EQ(answer(tick(60ms))->Status, 504U);
}

// Guards against 502 for a call that waited at the gate of its own host when
// a process ended that had been stalled: the gate's refusal was never read.
TEST_F(CallCertaintyTest, AnOwnWaitingCallIsRefusedAtTheEndOfTheProcess) {
  RouteTimeout = 15s;
  loadTopics(false);
  reportServer(heartbeat());
  auto Own = announcement("10.0.0.1:7000");
  for (const char *Host : {"a", "b", "c"}) {
    auto Gone = announcement(Host);
    Gone.Order.Counter = 2;
    Gone.State = InstanceState::Absent;
    memberRecord(Gone);
  }
  apply(StopRequested{});
  tick(1500ms);
  SidecarEffects Out;
  std::size_t Started = 0;
  for (CallerId Caller = 1; Caller <= 9; ++Caller) {
    auto [Host, Call] = sent(request(Caller, "/book/1", 15s));
    ASSERT_EQ(Host, Own.Host);
    Out = apply(PeerReceived{{Host, 1}, Call});
    Started += effects<StartRun>(Out).size();
  }
  ASSERT_EQ(Started, 8U);
  std::map<unsigned, int> Statuses;
  for (const ReplyCaller &Reply : effects<ReplyCaller>(tick(4100ms)))
    ++Statuses[Reply.Response.Status];
  EXPECT_EQ(Statuses[502], 8);
  EXPECT_EQ(Statuses[503], 1);
}

} // namespace
