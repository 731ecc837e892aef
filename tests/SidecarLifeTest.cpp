// SidecarLifeTest.cpp - The sidecar's decisions on its server, the other hosts
// and its own start and end.

#include "SidecarFixture.h"

using namespace figsail;
using namespace figsail::test;

// Announcements.

TEST_F(SidecarTest, ALeavingServerIsAcknowledgedAtOnceAndAnnounced) {
  learn();
  apply(heartbeat(1));
  apply(AnnouncementResult{true, ""});
  ServerHeartbeat Leaving = heartbeat(2);
  Leaving.Draining = true;
  auto Out = apply(Leaving);
  EXPECT_EQ(effects<AnswerReport>(Out).size(), 1U);
  ASSERT_EQ(effects<Announce>(Out).size(), 1U);
  EXPECT_EQ(effects<Announce>(Out)[0].Content.State, InstanceState::Draining);
}

TEST_F(SidecarTest, HeartbeatsWithoutNewsCostNoCallToTheStore) {
  learn();
  apply(heartbeat(1));
  apply(AnnouncementResult{true, ""});
  for (std::uint64_t I = 2; I < 30; ++I)
    EXPECT_TRUE(effects<Announce>(apply(heartbeat(I))).empty());
}

TEST_F(SidecarTest, AnAnnouncementIsRepeatedUntilItStands) {
  learn();
  ASSERT_EQ(effects<Announce>(apply(heartbeat(1))).size(), 1U);
  apply(AnnouncementResult{false, "no answer"});
  std::size_t Repeats = 0;
  for (int I = 0; I < 20; ++I)
    Repeats += effects<Announce>(tick(100ms)).size();
  EXPECT_GE(Repeats, 1U);
}

// An append of the daemon's predecessor may take effect after its own.
TEST_F(SidecarTest, AnOlderRecordOfTheOwnHostIsReplaced) {
  learn();
  apply(heartbeat(1));
  apply(AnnouncementResult{true, ""});
  Announcement Late = announcement("10.0.0.1:7000");
  Late.Order = {40, 55, 1};
  auto Said = effects<Announce>(member(Late));
  ASSERT_EQ(Said.size(), 1U);
  EXPECT_GT(Said[0].Content.Order.Generation, 40U);
}

// Sharing.

TEST_F(SidecarTest, ANewDaemonLearnsFromAPeerWhileTheStoreIsAway) {
  tick();
  apply(TopicReadFailed{Topic::Operator, "no answer"});
  apply(TopicReadFailed{Topic::Members, "no answer"});
  auto Asked = messages<TopicSubscribe>(apply(PeerConnected{{"a", 77}}));
  ASSERT_EQ(Asked.size(), 1U);
  Decoder.Contents["config@3"] = config(5);
  Decoder.Contents["a@4"] = announcement("a");
  TopicUpdate Update{
      false, true, {{4, {{"config", "x", 3}}}, {5, {{"a", "x", 4}}}}};
  auto Out = reply("a", Update);
  EXPECT_EQ(effects<SetReadiness>(Out).size(), 1U);
  EXPECT_EQ(messages<Execute>(request(1)).size(), 1U);
}

TEST_F(SidecarTest, NewsAreTold) {
  learn();
  reply("a", TopicSubscribe{{0, 0}});
  auto Told = messages<TopicUpdate>(operatorRecord("config", 30, config(20)));
  ASSERT_EQ(Told.size(), 1U);
  EXPECT_EQ(Told[0].first, "a");
  EXPECT_EQ(Told[0].second.Parts[0].Records.size(), 1U);
}

// News after a lost message moved the offset past the lost record, which was
// then never asked for: a daemon kept an old configuration (CONFIG in a sweep).
TEST_F(SidecarTest, NewsAfterALostMessageLeaveNoGap) {
  learn();
  reply("a", TopicSubscribe{{0, 0}});
  operatorRecord("config", 30, config(20)); // The message to a is lost.
  auto Told = messages<TopicUpdate>(member(announcement("d")));
  ASSERT_EQ(Told.size(), 1U);
  TopicImage Image;
  Image.absorb({2, {}});
  Image.absorb(Told[0].second.Parts[0]);
  EXPECT_EQ(Image.next(), 2) << "the configuration is asked for again";
}

// Restart and stop.

// A daemon that restarted waited up to 1.5 s for a heartbeat, with its server
// idle. In incident inc-45af two of two servers were out at once that way.
struct RestartedSidecar : SidecarTest {
  /// Reads what the predecessor announced. Returns the probe, if one was sent.
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
  /// Returns whether a call is run.
  bool runs() {
    Execute Message;
    Message.Call = {77, ++Sequence};
    Message.Policy.Service = "booking";
    Message.BudgetMicros = Message.TargetMicros = Duration(1s).count();
    return !effects<StartRun>(reply("a", Message)).empty();
  }
  std::uint64_t Sequence = 0;
};

TEST_F(RestartedSidecar, FindsTheServerOfItsPredecessorByAProbe) {
  ASSERT_EQ(start(InstanceState::Ready), 1U);
  EXPECT_FALSE(runs());
  ServerProbeResult Well;
  Well.Healthy = true;
  Well.Instance = "i-1";
  EXPECT_TRUE(logged(apply(Well), "server-recovered"));
  EXPECT_TRUE(runs());
  EXPECT_FALSE(logged(apply(heartbeat(7)), "server-report"))
      << "the same server, known";
}

TEST_F(RestartedSidecar, APausedServerIsFoundToo) {
  ASSERT_EQ(start(InstanceState::Paused), 1U);
}

// What the predecessor acknowledged binds.
TEST_F(RestartedSidecar, DoesNotAskForAServerThatLeft) {
  EXPECT_EQ(start(InstanceState::Draining), 0U);
}

TEST_F(RestartedSidecar, ALeavingOrOtherServerIsNotTaken) {
  ASSERT_EQ(start(InstanceState::Ready), 1U);
  ServerProbeResult Leaving;
  Leaving.Instance = "i-1";
  apply(Leaving);
  EXPECT_FALSE(runs());
  ServerProbeResult Other;
  Other.Healthy = true;
  Other.Instance = "i-2";
  apply(Other);
  EXPECT_FALSE(runs());
}

TEST_F(SidecarTest, AStopIsGraceful) {
  learn();
  apply(heartbeat(1));
  apply(AnnouncementResult{true, ""});
  auto [Host, Call] = sent(request(1));
  auto Out = apply(StopRequested{});
  EXPECT_FALSE(effects<SetReadiness>(Out).at(0).Ready);
  EXPECT_TRUE(effects<Announce>(Out).empty()) << "the server still serves";
  EXPECT_TRUE(effects<CloseClients>(Out).empty()) << "clients still come";
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
  EXPECT_EQ(effects<ExitProcess>(Out).size(), 1U) << "before it is killed";
}

// With nothing under way the process ended in the moment in which it closed its
// clients' connections: a request of which the first bytes had arrived was read
// and never answered.
TEST_F(SidecarTest, AStopWaitsForRequestsThatAreBeingRead) {
  learn();
  apply(heartbeat(1));
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

// Links to all of 7,600 hosts would take more descriptors than a host has.
TEST_F(SidecarTest, InALargeSystemLinksAreOpenedToUsedServicesOnly) {
  learn();
  EXPECT_EQ(messages<Probe>(member(announcement("few", "payment"))).size(), 1U);
  for (int I = 0; I < 200; ++I)
    member(announcement("h" + std::to_string(I), "payment"));
  EXPECT_TRUE(messages<Probe>(member(announcement("new", "booking"))).empty());
  request(1);
  EXPECT_EQ(messages<Probe>(member(announcement("next", "booking"))).size(),
            1U);
  EXPECT_TRUE(messages<Probe>(member(announcement("last", "payment"))).empty());
}

// Hosts that are gone.

// A daemon that was dropped while it was cut off announces itself again.
TEST_F(SidecarTest, ADroppedHostThatLivesAnnouncesItself) {
  learn();
  apply(heartbeat(1));
  apply(AnnouncementResult{true, ""});
  Decoder.Contents["10.0.0.1:7000@90"] = HostRemoved{"10.0.0.1:7000"};
  auto Out = apply(
      TopicRecords{Topic::Members, {{"10.0.0.1:7000", std::nullopt, 90}}, 91});
  EXPECT_EQ(effects<Announce>(Out).size(), 1U);
}

TEST_F(SidecarTest, TheReaderDropsAHostThatIsGone) {
  learn();
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

// A repeat may come to any daemon of the service, so all of them must know, and
// its client must not be told to return at once.
TEST_F(SidecarTest, SuspicionsReachTheServersOfTheService) {
  learn();
  member(announcement("other", "payment"));
  apply(heartbeat(1));
  Execute Killer;
  Killer.Call = {77, 1};
  Killer.Policy.Service = "booking";
  Killer.BudgetMicros = Duration(1s).count();
  Killer.TargetMicros = Duration(300ms).count();
  Killer.Fingerprint = 7;
  auto Started = effects<StartRun>(reply("a", Killer));
  ASSERT_EQ(Started.size(), 1U);
  apply(ServerRunResult{Started[0].Run, BackendError::Broken, {}});
  auto Reports = messages<SuspectReport>(apply(heartbeat(1, "i-2", 2000)));
  ASSERT_EQ(Reports.size(), 3U) << "a, b and c, but not the one of payment";
  EXPECT_EQ(Reports[0].second.Fingerprint, 7U);
}

TEST_F(SidecarTest, AQuarantinedRequestIsRefusedWithoutFurtherTries) {
  learn();
  auto [Host, Sent] = sent(request(1));
  auto Out = reply(Host, Refused{Sent.Call, ErrorKind::Quarantined, {}});
  EXPECT_TRUE(messages<Execute>(Out).empty());
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 503U);
  EXPECT_GE(retryAfter(*answer(Out)), 60);
}

TEST_F(SidecarTest, TheSameRequestHasTheSameFingerprint) {
  learn();
  auto First = sent(request(1)).second.Fingerprint;
  EXPECT_EQ(sent(request(2)).second.Fingerprint, First);
  EXPECT_NE(sent(request(3, "/book/2")).second.Fingerprint, First);
  EXPECT_NE(First, 0U) << "0 is never suspected";
}
