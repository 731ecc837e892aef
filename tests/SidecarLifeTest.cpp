// SidecarLifeTest.cpp - Tests of the sidecar's decisions on its server, the
// other hosts and its own start and stop.

#include "SidecarFixture.h"

using namespace figsail;
using namespace figsail::test;

// Announcements.

TEST_F(SidecarTest, ALeaveIsAcknowledgedAtOnceAndAnnounced) {
  loadTopics();
  reportServer(heartbeat(1));
  apply(AnnouncementResult{true, ""});
  ServerHeartbeat Leaving = heartbeat(2);
  Leaving.Draining = true;
  auto Out = apply(Leaving);
  EXPECT_EQ(effects<AnswerReport>(Out).size(), 1U);
  ASSERT_EQ(effects<Announce>(Out).size(), 1U);
  EXPECT_EQ(effects<Announce>(Out)[0].Content.State, InstanceState::Draining);
}

TEST_F(SidecarTest, UnchangedHeartbeatsCauseNoAppend) {
  loadTopics();
  reportServer(heartbeat(1));
  apply(AnnouncementResult{true, ""});
  for (std::uint64_t I = 2; I < 30; ++I)
    EXPECT_TRUE(effects<Announce>(apply(heartbeat(I))).empty());
}

TEST_F(SidecarTest, AFailedAnnouncementIsRetried) {
  loadTopics();
  ASSERT_EQ(effects<Announce>(reportServer(heartbeat(1))).size(), 1U);
  apply(AnnouncementResult{false, "no answer"});
  std::size_t Retries = 0;
  for (int I = 0; I < 20; ++I)
    Retries += effects<Announce>(tick(100ms)).size();
  EXPECT_GE(Retries, 1U);
}

// An append of the previous incarnation may take effect after the daemon's own.
TEST_F(SidecarTest, ARecordOfThePredecessorIsReplaced) {
  loadTopics();
  reportServer(heartbeat(1));
  apply(AnnouncementResult{true, ""});
  Announcement Late = announcement("10.0.0.1:7000");
  Late.Order = {40, 55, 1};
  auto Announced = effects<Announce>(memberRecord(Late));
  ASSERT_EQ(Announced.size(), 1U);
  EXPECT_GT(Announced[0].Content.Order.Generation, 40U);
}

// Sharing of topics.

TEST_F(SidecarTest, ANewDaemonReadsFromAPeerWhileTheStoreIsUnreachable) {
  tick();
  apply(TopicReadFailed{Topic::Operator, "no answer"});
  apply(TopicReadFailed{Topic::Members, "no answer"});
  auto Requests = messages<TopicSubscribe>(apply(PeerConnected{{"a", 77}}));
  ASSERT_EQ(Requests.size(), 1U);
  Decoder.Contents["config@3"] = config(5);
  Decoder.Contents["a@4"] = announcement("a");
  TopicUpdate Update{
      false, true, {{4, {{"config", "x", 3}}}, {5, {{"a", "x", 4}}}}};
  auto Out = reply("a", Update);
  EXPECT_EQ(effects<SetReadiness>(Out).size(), 1U);
  EXPECT_EQ(messages<Execute>(request(1)).size(), 1U);
}

TEST_F(SidecarTest, NewRecordsAreForwardedToSubscribers) {
  loadTopics();
  reply("a", TopicSubscribe{{0, 0}});
  auto Updates =
      messages<TopicUpdate>(operatorRecord("config", 30, config(20)));
  ASSERT_EQ(Updates.size(), 1U);
  EXPECT_EQ(Updates[0].first, "a");
  EXPECT_EQ(Updates[0].second.Parts[0].Records.size(), 1U);
}

// Guards against a daemon that keeps an old configuration (CONFIG in a sweep):
// an update after a lost one moved the offset past the lost record, which was
// then never requested.
TEST_F(SidecarTest, AnUpdateAfterALostOneLeavesNoGap) {
  loadTopics();
  reply("a", TopicSubscribe{{0, 0}});
  operatorRecord("config", 30, config(20)); // The message to a is lost.
  auto Updates = messages<TopicUpdate>(memberRecord(announcement("d")));
  ASSERT_EQ(Updates.size(), 1U);
  TopicImage Image;
  Image.apply({2, {}});
  Image.apply(Updates[0].second.Parts[0]);
  EXPECT_EQ(Image.next(), 2) << "the configuration must be requested again";
}

// Restart and stop.

// Guards against a restarted daemon that waits up to 1.5 s for a heartbeat
// while its server is idle. In incident inc-45af both servers of a service were
// unavailable at once for this reason.
struct RestartedSidecarTest : SidecarTest {
  /// Starts the daemon with its predecessor's announcement in the store.
  /// Returns the number of probes sent to the server.
  std::size_t start(InstanceState State) {
    auto Config = std::make_shared<ServiceConfig>(*config(5));
    ServiceSettings Service;
    Service.Name = "booking";
    Service.HealthTarget = "/well";
    Config->add(Service);
    tick();
    apply(TopicSnapshot{Topic::Operator, {}, 0});
    operatorRecord("config", 1, ConfigPtr(Config));
    Announcement Own = announcement("10.0.0.1:7000");
    Own.Instance = "i-1";
    Own.State = State;
    Decoder.Contents["10.0.0.1:7000@5"] = Own;
    auto Out =
        apply(TopicSnapshot{Topic::Members, {{"10.0.0.1:7000", "x", 5}}, 6});
    Out = tick();
    auto Probes = effects<ProbeServer>(Out);
    if (!Probes.empty()) {
      EXPECT_EQ(Probes[0].Target, "/well");
    }
    return Probes.size();
  }
  /// Returns whether a new call is run.
  bool runsCall() {
    Execute Message;
    Message.Call = {77, ++Sequence};
    Message.Policy.Service = "booking";
    Message.BudgetMicros = Message.TargetMicros = Duration(1s).count();
    return !effects<StartRun>(reply("a", Message)).empty();
  }
  std::uint64_t Sequence = 0;
};

TEST_F(RestartedSidecarTest, RecoversItsPredecessorsServerByAProbe) {
  ASSERT_EQ(start(InstanceState::Ready), 1U);
  EXPECT_FALSE(runsCall());
  ServerProbeResult Response;
  Response.Healthy = true;
  Response.Instance = "i-1";
  EXPECT_TRUE(logged(apply(Response), "server-recovered"));
  EXPECT_TRUE(runsCall());
  EXPECT_FALSE(logged(apply(heartbeat(7)), "server-report"))
      << "the same server is already known";
}

TEST_F(RestartedSidecarTest, RecoversAPausedServer) {
  ASSERT_EQ(start(InstanceState::Paused), 1U);
}

// The predecessor has acknowledged that the server leaves.
TEST_F(RestartedSidecarTest, DoesNotProbeAServerThatLeft) {
  EXPECT_EQ(start(InstanceState::Draining), 0U);
}

TEST_F(RestartedSidecarTest, DoesNotRecoverALeavingOrOtherServer) {
  ASSERT_EQ(start(InstanceState::Ready), 1U);
  ServerProbeResult Leaving;
  Leaving.Instance = "i-1";
  apply(Leaving);
  EXPECT_FALSE(runsCall());
  ServerProbeResult Other;
  Other.Healthy = true;
  Other.Instance = "i-2";
  apply(Other);
  EXPECT_FALSE(runsCall());
}

TEST_F(SidecarTest, AStopIsGraceful) {
  loadTopics();
  reportServer(heartbeat(1));
  apply(AnnouncementResult{true, ""});
  auto [Host, Call] = sent(request(1));
  auto Out = apply(StopRequested{});
  EXPECT_FALSE(effects<SetReadiness>(Out).at(0).Ready);
  EXPECT_TRUE(effects<Announce>(Out).empty())
      << "the server still serves calls";
  EXPECT_TRUE(effects<CloseClients>(Out).empty()) << "clients still connect";
  EXPECT_EQ(messages<Execute>(request(2)).size(), 1U);
  Execute Late;
  Late.Call = {77, 1};
  Late.Policy.Service = "booking";
  Late.BudgetMicros = Late.TargetMicros = Duration(1s).count();
  EXPECT_EQ(effects<StartRun>(reply("a", Late)).size(), 1U);
  Out = tick(1600ms);
  EXPECT_EQ(effects<Announce>(Out).at(0).Content.State, InstanceState::Paused);
  Out = tick(800ms);
  EXPECT_EQ(effects<CloseClients>(Out).size(), 1U);
  Late.Call = {77, 2};
  EXPECT_TRUE(effects<StartRun>(reply("a", Late)).empty());
  Out = tick(3200ms);
  EXPECT_EQ(effects<ExitProcess>(Out).size(), 1U)
      << "the process exits before it is killed";
}

// Guards against requests that are read and never answered: with nothing in
// flight, the process exited as soon as it closed its client connections, also
// when the first bytes of a request had arrived.
TEST_F(SidecarTest, AStopWaitsForRequestsThatAreBeingRead) {
  loadTopics();
  reportServer(heartbeat(1));
  apply(AnnouncementResult{true, ""});
  apply(StopRequested{});
  tick(1600ms);
  auto Out = tick(800ms);
  EXPECT_EQ(effects<CloseClients>(Out).size(), 1U);
  EXPECT_TRUE(effects<ExitProcess>(Out).empty());
  auto [Host, Call] = sent(request(1));
  Out = reply(Host, Answer{Call.Call, {200, {}, ""}, {}});
  EXPECT_EQ(answer(Out)->Status, 200U);
  EXPECT_TRUE(effects<ExitProcess>(Out).empty());
  EXPECT_EQ(effects<ExitProcess>(apply(ClientsDrained{})).size(), 1U);
}

/// A sidecar whose route lets calls run longer than a stop lasts: the limit of
/// a stop is 6 s, and the process ends 0.5 s before it.
struct StoppingSidecarTest : SidecarTest {
  StoppingSidecarTest() { RouteTimeout = 15s; }

  void start(bool Idempotent = false) {
    loadTopics(Idempotent);
    reportServer(heartbeat(1));
    apply(AnnouncementResult{true, ""});
  }
  /// Ends calls of the route so often that their usual time is known.
  void learnRunTime(Duration Run) {
    for (CallerId Caller = 1000; Caller < 1010; ++Caller) {
      auto [Host, Call] = sent(request(Caller, "/book/1", 15s));
      Now += Run;
      reply(Host, Answer{Call.Call, {200, {}, ""}, {}});
    }
  }
  SidecarEffects execute(std::uint64_t Sequence, bool Idempotent,
                         const HostId &From = "a") {
    Execute Message;
    Message.Call = {77, Sequence};
    Message.Policy.Service = "booking";
    Message.Policy.Route = "book";
    Message.Policy.Idempotent = Idempotent;
    Message.BudgetMicros = Message.TargetMicros = Duration(15s).count();
    return reply(From, Message);
  }
};

// Guards against clients that are cut off without an answer: what was open at
// the end of a stop was dropped with the process (LOST).
TEST_F(StoppingSidecarTest, OpenCallsAreAnsweredAtTheEnd) {
  start();
  auto [Host, Call] = sent(request(1, "/book/1", 15s));
  reply(Host, Received{Call.Call});
  apply(StopRequested{});
  tick(2400ms);
  reply(Host, Received{Call.Call});
  EXPECT_FALSE(answer(tick(3000ms))) << "a run is awaited until the end";
  auto Out = tick(150ms);
  ASSERT_TRUE(answer(Out)) << "no answer before the process ends";
  EXPECT_EQ(answer(Out)->Status, 502U) << "the call may have run";
  EXPECT_TRUE(logged(Out, "stop-out-of-time"));
  EXPECT_EQ(effects<ExitProcess>(Out).size(), 1U);
  EXPECT_TRUE(std::holds_alternative<ExitProcess>(Out.back()))
      << "answers after the end are not written";
}

// Guards against requests that are passed on although they cannot end before
// the process does (LOST where they may not be repeated).
TEST_F(StoppingSidecarTest, ACallThatCannotEndInTimeIsNotPassedOn) {
  start();
  learnRunTime(1s);
  apply(StopRequested{});
  tick(2s);
  EXPECT_EQ(messages<Execute>(request(1, "/book/1", 15s)).size(), 1U)
      << "3.5 s are left, thrice the usual time";
  tick(2s);
  auto Out = request(2, "/book/1", 15s);
  EXPECT_TRUE(messages<Execute>(Out).empty());
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 503U);
  EXPECT_EQ(findHeader(answer(Out)->Headers, "Figsail-Error"), "draining");
  EXPECT_EQ(findHeader(answer(Out)->Headers, "Connection"), "close");
  EXPECT_EQ(effects<CountRefusal>(Out).size(), 1U);
  EXPECT_EQ(messages<Execute>(request(3, "/book/1", 1s)).size(), 1U)
      << "its deadline is before the end";
}

// The same for a call that a daemon refuses during the stop.
TEST_F(StoppingSidecarTest, ACallThatCannotEndInTimeIsNotResent) {
  start();
  learnRunTime(1s);
  auto [Host, Call] = sent(request(1, "/book/1", 15s));
  apply(StopRequested{});
  tick(2400ms);
  tick(1600ms);
  auto Out = reply(Host, Refused{Call.Call, ErrorKind::Overloaded, {}});
  EXPECT_TRUE(messages<Execute>(Out).empty());
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 503U);
}

// Requests whose last byte arrives on a kept connection after the drain began
// come too late to be served.
TEST_F(StoppingSidecarTest, ALateRequestOnAKeptConnectionIsRefused) {
  start();
  apply(StopRequested{});
  tick(2400ms);
  ClientRequest Late;
  Late.Caller = 1;
  Late.Host = "desk.example";
  Late.Request.Method = "GET";
  Late.Request.Target = "/book/1";
  Late.Late = true;
  auto Out = apply(std::move(Late));
  EXPECT_TRUE(messages<Execute>(Out).empty());
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 503U);
  EXPECT_EQ(findHeader(answer(Out)->Headers, "Figsail-Error"), "draining");
}

// Guards against runs for other daemons that begin during a stop and are cut at
// its end.
TEST_F(StoppingSidecarTest, TheServerGetsNoCallThatCannotEndInTime) {
  start();
  auto First = effects<StartRun>(execute(1, false));
  ASSERT_EQ(First.size(), 1U);
  Now += 2s;
  apply(ServerRunResult{First[0].Run, HttpResponse{200, {}, ""}, {}});
  apply(StopRequested{});
  tick(1300ms);
  EXPECT_EQ(effects<StartRun>(execute(2, false)).size(), 1U)
      << "4.2 s are left, over twice the usual time";
  tick(200ms);
  auto Out = execute(3, false);
  EXPECT_TRUE(effects<StartRun>(Out).empty());
  ASSERT_EQ(messages<Refused>(Out).size(), 1U);
  EXPECT_EQ(messages<Refused>(Out)[0].second.Kind, ErrorKind::Draining);
}

// Guards against ingresses that are left without a word on their calls when the
// daemon beside the server ends.
TEST_F(StoppingSidecarTest, OpenRunsAreReportedAtTheEnd) {
  start();
  ASSERT_EQ(effects<StartRun>(execute(1, false)).size(), 1U);
  apply(StopRequested{});
  tick(2400ms);
  EXPECT_TRUE(messages<Failed>(tick(3000ms)).empty());
  auto Out = tick(150ms);
  ASSERT_EQ(messages<Failed>(Out).size(), 1U);
  EXPECT_EQ(messages<Failed>(Out)[0].first, "a");
  EXPECT_EQ(messages<Failed>(Out)[0].second.Kind, ErrorKind::OutcomeUnknown);
  EXPECT_TRUE(effects<CancelRun>(Out).empty());
  EXPECT_TRUE(std::holds_alternative<ExitProcess>(Out.back()));
}

// An ingress needs some time to run an idempotent call at another server.
TEST_F(StoppingSidecarTest, IdempotentRunsReturnToTheirIngressInTime) {
  start();
  auto Remote = effects<StartRun>(execute(1, true));
  auto Own = effects<StartRun>(execute(2, true, "10.0.0.1:7000"));
  ASSERT_EQ(Remote.size(), 1U);
  ASSERT_EQ(Own.size(), 1U);
  apply(StopRequested{});
  tick(2400ms);
  EXPECT_TRUE(effects<CancelRun>(tick(2500ms)).empty());
  auto Out = tick(150ms);
  ASSERT_EQ(effects<CancelRun>(Out).size(), 1U)
      << "this process could not send its own call again in time";
  EXPECT_EQ(effects<CancelRun>(Out)[0].Run, Remote[0].Run);
  ASSERT_EQ(messages<Failed>(Out).size(), 1U);
  EXPECT_EQ(messages<Failed>(Out)[0].first, "a");
  EXPECT_TRUE(effects<CancelRun>(tick(10ms)).empty());
}

// Guards against a 502 some milliseconds after a server began to run the
// request (LOST in a stop): each reset of a link that was still being opened,
// by a probe or for another call, counted as one more query that the daemon
// left unanswered.
TEST_F(StoppingSidecarTest, AQueryLostWithItsLinkDoesNotCountAsUnanswered) {
  start();
  apply(StopRequested{});
  tick(1373ms);
  auto [Host, Call] = sent(request(1, "/book/1", 3s));
  auto Queries = messages<Await>(tick(200ms));
  ASSERT_EQ(Queries.size(), 1U) << "the daemon has not confirmed the call";
  for (Duration Pause : {100ms, 20ms, 15ms}) {
    Now += Pause;
    PeerLost Reset{Host, {}};
    Reset.Unsent.emplace_back(Queries[0].second);
    EXPECT_FALSE(answer(apply(std::move(Reset))));
  }
  EXPECT_EQ(messages<Await>(tick(65ms)).size(), 1U)
      << "the query is sent again when its reply is overdue";
  auto Out = reply(Host, Answer{Call.Call, {200, {}, ""}, {}});
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 200U);
}

// The number of queries is bounded also if each is lost with its link, as with
// a daemon that has ended.
TEST_F(StoppingSidecarTest, ADaemonThatAnswersNoQueryIsGivenUp) {
  start();
  auto [Host, Call] = sent(request(1, "/book/1", 3s));
  EXPECT_EQ(messages<Await>(apply(PeerLost{Host, {}})).size(), 1U);
  EXPECT_TRUE(messages<Await>(apply(PeerLost{Host, {}})).empty())
      << "a refused connection is not tried again at once";
  EXPECT_EQ(messages<Await>(tick(200ms)).size(), 1U);
  EXPECT_FALSE(answer(apply(PeerLost{Host, {}})));
  auto Out = tick(200ms);
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 502U);
}

// The bounds may be reloaded during a stop.
TEST_F(StoppingSidecarTest, AShorterLimitAppliesToARunningStop) {
  start();
  learnRunTime(1s);
  apply(StopRequested{});
  SidecarBounds Shorter = testSettings().Bounds;
  Shorter.StopLimit = 3s;
  apply(BoundsChanged{Shorter});
  tick(1s);
  EXPECT_TRUE(messages<Execute>(request(1, "/book/1", 15s)).empty());
}

// Links to all of 7,600 hosts would need more descriptors than a host has.
TEST_F(SidecarTest, InALargeSystemOnlyUsedServicesGetLinks) {
  loadTopics();
  EXPECT_EQ(
      messages<Probe>(memberRecord(announcement("few", "payment"))).size(), 1U);
  for (int I = 0; I < 200; ++I)
    memberRecord(announcement("h" + std::to_string(I), "payment"));
  EXPECT_TRUE(
      messages<Probe>(memberRecord(announcement("new", "booking"))).empty());
  request(1);
  EXPECT_EQ(
      messages<Probe>(memberRecord(announcement("next", "booking"))).size(),
      1U);
  EXPECT_TRUE(
      messages<Probe>(memberRecord(announcement("last", "payment"))).empty());
}

// Hosts that no longer exist.

// A daemon that was removed while it was partitioned announces itself again.
TEST_F(SidecarTest, ARemovedHostThatLivesAnnouncesItself) {
  loadTopics();
  reportServer(heartbeat(1));
  apply(AnnouncementResult{true, ""});
  Decoder.Contents["10.0.0.1:7000@90"] = HostRemoved{"10.0.0.1:7000"};
  auto Out = apply(
      TopicRecords{Topic::Members, {{"10.0.0.1:7000", std::nullopt, 90}}, 91});
  EXPECT_EQ(effects<Announce>(Out).size(), 1U);
}

TEST_F(SidecarTest, TheReaderRemovesASilentHost) {
  loadTopics();
  std::vector<HostId> Dropped;
  for (int I = 0; I < 12 * 60 && Dropped.empty(); ++I) {
    for (const char *Host : {"a", "b"})
      reply(Host, ProbeReply{{"10.0.0.1:7000", 1}, true});
    auto Out = tick(1s);
    for (const RemoveHost &Action : effects<RemoveHost>(Out))
      Dropped.push_back(Action.Host);
  }
  EXPECT_EQ(Dropped, std::vector<HostId>{"c"});
}

// Requests that crash servers.

// A resent request may arrive at any daemon of the service, so all of them must
// know of the suspicion.
TEST_F(SidecarTest, SuspectsAreReportedToTheServersOfTheService) {
  loadTopics();
  memberRecord(announcement("other", "payment"));
  reportServer(heartbeat(1));
  Execute Crashing;
  Crashing.Call = {77, 1};
  Crashing.Policy.Service = "booking";
  Crashing.BudgetMicros = Duration(1s).count();
  Crashing.TargetMicros = Duration(300ms).count();
  Crashing.Fingerprint = 7;
  auto Started = effects<StartRun>(reply("a", Crashing));
  ASSERT_EQ(Started.size(), 1U);
  apply(ServerRunResult{Started[0].Run, BackendError::Broken, {}});
  auto Reports = messages<SuspectReport>(apply(heartbeat(1, "i-2", 2000)));
  ASSERT_EQ(Reports.size(), 3U)
      << "hosts a, b and c, but not the host of payment";
  EXPECT_EQ(Reports[0].second.Fingerprint, 7U);
}

// Guards against BUDGET (review/3): what was known of a request that crashes
// servers ended with each daemon that restarted, and the request crashed its
// server again.
TEST_F(SidecarTest, ARestartedDaemonLearnsOfSuspects) {
  loadTopics();
  reportServer(heartbeat(1));
  reply("a", SuspectReport{7, 3, true});
  PeerRef Restarted{"b", 99};
  auto Told = messages<SuspectReport>(apply(PeerConnected{Restarted}));
  ASSERT_EQ(Told.size(), 1U);
  EXPECT_EQ(Told[0].first, "b");
  EXPECT_EQ(Told[0].second.Fingerprint, 7U);
  EXPECT_EQ(Told[0].second.Crashes, 3U);
  Announcement Next = announcement("c");
  Next.Order.Generation += 1;
  Next.Order.Inc = 100;
  Told = messages<SuspectReport>(memberRecord(Next));
  ASSERT_EQ(Told.size(), 1U) << "also without a link to it";
  EXPECT_EQ(Told[0].first, "c");
  Told = messages<SuspectReport>(reply("a", SuspectReport{7, 1, true}));
  ASSERT_EQ(Told.size(), 1U) << "a daemon that has counted fewer crashes";
  EXPECT_EQ(Told[0].second.Crashes, 3U);
}

// The client must not be told to resend such a request soon.
TEST_F(SidecarTest, AQuarantinedRequestIsRefusedWithoutRetry) {
  loadTopics();
  auto [Host, Sent] = sent(request(1));
  auto Out = reply(Host, Refused{Sent.Call, ErrorKind::Quarantined, {}});
  EXPECT_TRUE(messages<Execute>(Out).empty());
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 503U);
  EXPECT_GE(retryAfter(*answer(Out)), 60);
}

TEST_F(SidecarTest, TheSameRequestHasTheSameFingerprint) {
  loadTopics();
  auto First = sent(request(1)).second.Fingerprint;
  EXPECT_EQ(sent(request(2)).second.Fingerprint, First);
  EXPECT_NE(sent(request(3, "/book/2")).second.Fingerprint, First);
  EXPECT_NE(First, 0U) << "fingerprint 0 is never suspected";
}
