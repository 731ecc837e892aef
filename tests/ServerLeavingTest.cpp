// ServerLeavingTest.cpp - A backend server that leaves gets no new requests,
// whoever hears of it first and whichever daemon restarts.

#include "ServerGateFixture.h"
#include "SidecarFixture.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

ServerRunResult leavingResponse() {
  ServerRunResult Result;
  Result.Metadata.Terms.Leaving = true;
  return Result;
}

// Guards against DRAIN of issue 23: requests reached a server that had said in
// an answer that it leaves.
TEST_F(ServerGateTest, AnAnswerThatNamesLeavingEndsTheAdmission) {
  auto Runs = fill();
  auto Out = endRun(Runs[0], leavingResponse());
  EXPECT_TRUE(logged(Out, "server-leaving"));
  EXPECT_TRUE(effects<StartRun>(Out).empty());
  EXPECT_EQ(refusals(Out).size(), 1U) << "the waiting call goes elsewhere";
  EXPECT_EQ(refusals(execute(call())).at(0).Kind, ErrorKind::Draining);
  EXPECT_EQ(messages<Answer>(endRun(Runs[1])).size(), 1U)
      << "what runs is answered";
}

TEST_F(ServerGateTest, AProbeThatNamesLeavingEndsTheAdmission) {
  ServerProbeResult Probe;
  Probe.Healthy = true;
  Probe.Instance = "i-1";
  Probe.Terms.Leaving = true;
  step([&](GateStep &Step) { Gate.probeEnded(Step, Probe); });
  EXPECT_EQ(refusals(execute(call())).at(0).Kind, ErrorKind::Draining);
}

// Guards against a heartbeat that was sent before the server began to leave and
// arrives after it.
TEST_F(ServerGateTest, ALateHeartbeatDoesNotBringALeavingServerBack) {
  auto Runs = fill();
  endRun(Runs[0], leavingResponse());
  sendHeartbeat(2);
  EXPECT_EQ(refusals(execute(call())).at(0).Kind, ErrorKind::Draining);
  step(
      [&](GateStep &Step) { Gate.heartbeat(Step, heartbeat(1, "i-1", 2000)); });
  EXPECT_TRUE(refusals(execute(call())).empty())
      << "a later start under the same id is another server";
}

// Guards against a restarted daemon that uses a server of which an ingress
// knows that it leaves.
TEST_F(ServerGateTest, AnIngressTellsANewDaemonThatTheServerLeaves) {
  Execute Knowing = call();
  Knowing.Notice = ServerNotice{"i-1", 1000, true, std::nullopt, 3s};
  EXPECT_EQ(refusals(execute(Knowing)).at(0).Kind, ErrorKind::Draining);
  EXPECT_EQ(refusals(execute(call())).at(0).Kind, ErrorKind::Draining);
}

TEST_F(ServerGateTest, ANoticeOnAFormerInstanceIsIgnored) {
  for (const ServerNotice &Former : {ServerNotice{"i-0", 1000, true, {}, 3s},
                                     ServerNotice{"i-1", 900, true, {}, 3s}}) {
    Execute Knowing = call();
    Knowing.Notice = Former;
    EXPECT_TRUE(refusals(execute(Knowing)).empty());
  }
}

// Guards against an ingress that goes on sending to a server after it has
// passed on an answer that names its leaving, while the store and so the
// announcement of the leaving do not reach it.
TEST_F(SidecarTest, AnIngressSendsNothingToAServerThatLeaves) {
  loadTopics();
  std::set<HostId> Hosts;
  CallerId Caller = 0;
  auto [First, Call] = sent(request(++Caller));
  LoadReport Load;
  Load.Notice = ServerNotice{"i-" + First, 0, true, {}, 0ms};
  reply(First, Answer{Call.Call, {200, {}, ""}, Load});
  for (int I = 0; I < 60; ++I) {
    Now += 200ms;
    auto [Host, Next] = sent(request(++Caller));
    EXPECT_NE(Host, First);
    reply(Host, Answer{Next.Call, {200, {}, ""}, {}});
  }
  Announcement Newer = announcement(First);
  Newer.Instance = "i-new";
  Newer.Order.Counter = 9;
  memberRecord(Newer);
  for (int I = 0; I < 60; ++I) {
    auto [Host, Next] = sent(request(++Caller));
    Hosts.insert(Host);
  }
  EXPECT_TRUE(Hosts.contains(First)) << "another instance may be used";
}

/// A daemon that starts while its predecessor's announcement is in the store.
struct LeftServerTest : SidecarTest {
  SidecarEffects start(InstanceState State) {
    tick();
    apply(TopicSnapshot{Topic::Operator, {}, 0});
    operatorRecord("config", 1, config(5));
    Announcement Own = announcement("10.0.0.1:7000");
    Own.Instance = "i-1";
    Own.StartMillis = 1000;
    Own.State = State;
    Own.Left = true;
    Decoder.Contents["10.0.0.1:7000@5"] = Own;
    SidecarEffects Out =
        apply(TopicSnapshot{Topic::Members, {{"10.0.0.1:7000", "x", 5}}, 6});
    std::ranges::move(tick(), std::back_inserter(Out));
    return Out;
  }
  static void expectLeaveAnnounced(const SidecarEffects &Out) {
    auto Announced = effects<Announce>(Out);
    ASSERT_EQ(Announced.size(), 1U);
    const Announcement &Own = Announced[0].Content;
    EXPECT_EQ(Own.State, InstanceState::Absent);
    EXPECT_TRUE(Own.Left);
    EXPECT_EQ(Own.Instance, "i-1");
    EXPECT_EQ(Own.StartMillis, 1000);
  }
  bool runs(const std::string &Instance) {
    Execute Message;
    Message.Call = {9, ++LastCall};
    Message.Policy.Route = "book";
    Message.Policy.Service = "booking";
    Message.BudgetMicros = Duration(1s).count();
    Message.TargetMicros = Duration(300ms).count();
    Message.Instance = Instance;
    return !effects<StartRun>(reply("a", Message)).empty();
  }
  std::uint64_t LastCall = 0;
};

// Guards against a server that has left and is in use again after a restart of
// its daemon: a heartbeat arrives seconds late, and the new daemon knew nothing
// of the leave that its predecessor had acknowledged.
TEST_F(LeftServerTest, ALateHeartbeatAfterARestartBringsNoLeftServerBack) {
  for (InstanceState State : {InstanceState::Draining, InstanceState::Absent}) {
    Reducer.~Sidecar();
    new (&Reducer) Sidecar(testSettings(), Decoder);
    start(State);
    reportServer(heartbeat(7));
    EXPECT_FALSE(runs("i-1"));
    reportServer(heartbeat(1, "i-1", 2000));
    EXPECT_TRUE(runs("i-1")) << "started again under its id";
  }
}

// Guards against DRAIN (review/2): the second daemon after a leave announced
// its server as absent, without the leave, so the third one took a late
// heartbeat for a new server's.
TEST_F(LeftServerTest, ALeaveIsAnnouncedAgainAfterEachRestart) {
  expectLeaveAnnounced(start(InstanceState::Absent));
}

// Guards against a leave that is acknowledged by a daemon that has just
// started, and that its successor knows nothing of.
TEST_F(LeftServerTest, ALeaveBeforeTheFirstHeartbeatIsAnnounced) {
  loadTopics();
  apply(AnnouncementResult{true, ""});
  expectLeaveAnnounced(apply(ServerLeave{1, "i-1", 1000}));
  EXPECT_TRUE(effects<Announce>(apply(ServerLeave{2, "i-1", 1000})).empty());
  reportServer(heartbeat(7));
  EXPECT_FALSE(runs("i-1"));
}

// The same when the heartbeat is there before the topics are.
TEST_F(LeftServerTest, AHeartbeatBeforeTheTopicsBringsNoLeftServerBack) {
  reportServer(heartbeat(7));
  EXPECT_TRUE(runs("i-1"));
  start(InstanceState::Absent);
  EXPECT_FALSE(runs("i-1"));
  apply(heartbeat(8));
  EXPECT_FALSE(runs("i-1"));
}

/// A daemon that starts after its predecessor was killed. The predecessor had
/// acknowledged the leave of its server while the store was away, so that no
/// record says so.
struct ForgottenLeaveTest : LeftServerTest {
  ForgottenLeaveTest() {
    loadTopics();
    auto Config = std::make_shared<ServiceConfig>(*config(6));
    ServiceSettings Service;
    Service.Name = "booking";
    Service.MaxConnections = 200;
    Config->add(Service);
    operatorRecord("config", 2, ConfigPtr(Config));
    for (int I = 0; I < 5; ++I)
      tick(100ms);
    apply(AnnouncementResult{true, ""});
  }
  ServerProbeResult healthOf(const std::string &Instance, bool Healthy) {
    ServerProbeResult Result;
    Result.Healthy = Healthy;
    Result.Instance = Instance;
    return Result;
  }
};

// Guards against DRAIN (review/7): a leave that was acknowledged while the
// store was away was forgotten when the daemon was killed, and a late heartbeat
// brought the server back into service.
TEST_F(ForgottenLeaveTest, ALateHeartbeatDoesNotBringTheServerBack) {
  auto Out = apply(heartbeat(7));
  EXPECT_EQ(effects<AnswerReport>(Out).size(), 1U);
  EXPECT_FALSE(runs("i-1"));
  EXPECT_EQ(effects<ProbeServer>(tick()).size(), 1U) << "the server is asked";
  Out = apply(healthOf("i-1", false));
  EXPECT_TRUE(logged(Out, "server-unconfirmed"));
  EXPECT_TRUE(effects<Announce>(Out).empty());
  EXPECT_FALSE(runs("i-1"));
  tick(10s);
  EXPECT_FALSE(runs("i-1"));
}

TEST_F(ForgottenLeaveTest, AServerThatIsWellServesAtOnce) {
  apply(heartbeat(7));
  auto Out = apply(healthOf("i-1", true));
  ASSERT_EQ(effects<Announce>(Out).size(), 1U);
  EXPECT_EQ(effects<Announce>(Out)[0].Content.State, InstanceState::Ready);
  EXPECT_TRUE(runs("i-1"));
}

// The heartbeat is that of a server whose address another one has.
TEST_F(ForgottenLeaveTest, TheHealthOfAnotherServerConfirmsNothing) {
  apply(heartbeat(7));
  apply(healthOf("i-2", true));
  EXPECT_FALSE(runs("i-1"));
  EXPECT_FALSE(runs("i-2"));
}

// A health path may be wrong about a server that is well. Such a server reports
// on and on, which one that has left does not.
TEST_F(ForgottenLeaveTest, AServerThatReportsOnServesAgainstItsHealthPath) {
  for (std::uint64_t I = 7; I < 9; ++I) {
    apply(heartbeat(I));
    apply(healthOf("i-1", false));
    EXPECT_FALSE(runs("i-1"));
    tick(1500ms);
  }
  apply(heartbeat(9));
  EXPECT_TRUE(runs("i-1"));
}

// Several late heartbeats arrive together.
TEST_F(ForgottenLeaveTest, ABurstOfLateHeartbeatsDoesNotBringTheServerBack) {
  for (std::uint64_t I = 1; I < 20; ++I)
    apply(heartbeat(I));
  apply(healthOf("i-1", false));
  EXPECT_FALSE(runs("i-1"));
}

TEST_F(ForgottenLeaveTest, AnUnansweredQuestionIsAskedAgain) {
  apply(heartbeat(7));
  std::size_t Questions = 0;
  for (int I = 0; I < 25; ++I) {
    if (effects<ProbeServer>(tick(100ms)).empty())
      continue;
    ++Questions;
    apply(ServerProbeResult{});
  }
  EXPECT_GE(Questions, 2U);
  EXPECT_FALSE(runs("i-1"));
}

// The leave of the probed server is acknowledged before its probe is answered.
TEST_F(ForgottenLeaveTest, ALeaveAfterTheQuestionIsKept) {
  apply(heartbeat(7));
  apply(ServerLeave{1, "i-1", 1000});
  apply(healthOf("i-1", true));
  EXPECT_FALSE(runs("i-1"));
}

// Guards against a leave that is acknowledged while another server is known:
// the first heartbeat of the server that has left may arrive after it.
TEST_F(ForgottenLeaveTest, ALeaveBesideAnotherServerIsKept) {
  reportServer(heartbeat(7));
  apply(ServerLeave{1, "i-2", 2000});
  apply(heartbeat(1, "i-2", 2000));
  EXPECT_EQ(Reducer.server().instance(), "i-1");
  apply(ServerLeave{2, "i-0", 500});
  apply(ServerLeave{3, "i-0", 0});
  apply(heartbeat(2, "i-2", 2000));
  EXPECT_EQ(Reducer.server().instance(), "i-1");
  apply(heartbeat(1, "i-2", 3000));
  EXPECT_EQ(Reducer.server().instance(), "i-2") << "started again under its id";
}

// Guards against a server that drains in silence and is forgotten as one that
// drains: the next daemon would take a late heartbeat for news.
TEST_F(ForgottenLeaveTest, ADrainingServerThatFallsSilentStaysOneThatLeaves) {
  reportServer(heartbeat(7));
  apply(AnnouncementResult{true, ""});
  ServerHeartbeat Draining = heartbeat(8);
  Draining.Draining = true;
  apply(Draining);
  apply(AnnouncementResult{true, ""});
  auto Announced = effects<Announce>(tick(10s));
  ASSERT_EQ(Announced.size(), 1U);
  EXPECT_TRUE(Announced[0].Content.Left);
  apply(heartbeat(9));
  EXPECT_FALSE(runs("i-1"));
}

// Guards against a restarted daemon that uses a server of which its health path
// says that it leaves, though its heartbeats do not.
TEST_F(ForgottenLeaveTest, ALeavingThatTheHealthPathNamesIsFinal) {
  for (std::uint64_t I = 7; I < 12; ++I) {
    apply(heartbeat(I));
    ServerProbeResult Leaving = healthOf("i-1", true);
    Leaving.Terms.Leaving = true;
    apply(Leaving);
    tick(1500ms);
    EXPECT_FALSE(runs("i-1"));
  }
}

TEST(Announcements, KeepStartAndLeaving) {
  Announcement Sent;
  Sent.Host = "a";
  Sent.StartMillis = 1700000000123;
  Sent.Left = true;
  auto Read = decodeAnnouncement(encodeAnnouncement(Sent));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read->StartMillis, 1700000000123);
  EXPECT_TRUE(Read->Left);
}

} // namespace
