// SidecarTest.cpp - Tests of the sidecar's decisions on calls, from the request
// to the single reply.

#include "SidecarFixture.h"

using namespace figsail;
using namespace figsail::test;

// Start and configuration.

TEST_F(SidecarTest, IsReadyOnceBothTopicsAreRead) {
  EXPECT_TRUE(effects<SetReadiness>(tick()).empty());
  apply(TopicSnapshot{Topic::Members, {}, 0});
  Decoder.Contents["config@0"] = config(1);
  auto Out = apply(TopicSnapshot{Topic::Operator, {{"config", "x", 0}}, 1});
  ASSERT_EQ(effects<SetReadiness>(Out).size(), 1U);
  EXPECT_TRUE(effects<SetReadiness>(Out)[0].Ready);
}

// A 404 is final for a client. A daemon without routes must not send it.
TEST_F(SidecarTest, WithoutAConfigurationNoRequestIsNotFound) {
  auto Response = answer(request(1));
  ASSERT_TRUE(Response);
  EXPECT_EQ(Response->Status, 503U);
  EXPECT_GE(retryAfter(*Response), 0);
}

TEST_F(SidecarTest, AnUnknownRouteIsNotFound) {
  loadTopics();
  EXPECT_EQ(answer(request(1, "/other/1"))->Status, 404U);
}

TEST_F(SidecarTest, AnOlderConfigurationIsIgnored) {
  loadTopics();
  operatorRecord("config", 5, config(9, true, "payment"));
  EXPECT_TRUE(logged(operatorRecord("config", 6, config(8)), "config-ignored"));
  operatorRecord("config", 4, config(10));
  EXPECT_EQ(answer(request(1))->Status, 503U)
      << "version 9 routes to a service without servers";
}

TEST_F(SidecarTest, AnUnusableConfigurationKeepsTheOldOne) {
  loadTopics();
  auto Out = operatorRecord("config", 7, UnusableRecord{"config", "cut"});
  EXPECT_TRUE(logged(Out, "record-unusable"));
  EXPECT_EQ(messages<Execute>(request(1)).size(), 1U);
}

// Calls.

TEST_F(SidecarTest, ACallReachesOneServerAndIsAnsweredOnce) {
  loadTopics();
  auto [Host, Call] = sent(request(1));
  EXPECT_EQ(Call.Instance, "i-" + Host);
  EXPECT_EQ(Call.BudgetMicros, Duration(1000ms).count());
  EXPECT_EQ(Call.TargetMicros, Duration(300ms).count());
  auto Out = reply(Host, Answer{Call.Call, {200, {}, "done"}, {}});
  EXPECT_EQ(answer(Out)->Body, "done");
  EXPECT_FALSE(answer(reply(Host, Answer{Call.Call, {200, {}, "again"}, {}})));
}

// A client that has already waited elsewhere sets a shorter time limit.
TEST_F(SidecarTest, TheTargetCountsFromTheClientsFirstAttempt) {
  loadTopics();
  auto [Host, Call] = sent(request(1, "/book/1", 800ms));
  EXPECT_EQ(Call.BudgetMicros, Duration(800ms).count());
  EXPECT_EQ(Call.TargetMicros, Duration(100ms).count());
}

TEST_F(SidecarTest, ACallRefusedByADaemonGoesToAnother) {
  loadTopics(false);
  auto [First, Call] = sent(request(1));
  auto [Second, Retry] =
      sent(reply(First, Refused{Call.Call, ErrorKind::Overloaded, {}}));
  EXPECT_NE(First, Second);
  EXPECT_NE(Call.Call, Retry.Call);
}

// A call that no server accepts is refused at once, not delayed until its
// deadline. Retry-After is at most a third of the client's remaining time.
TEST_F(SidecarTest, WhenAllRefuseTheClientGetsRetryAfterAtOnce) {
  loadTopics(false);
  SidecarEffects Out = request(1);
  for (int I = 0; I < 3 && !answer(Out); ++I) {
    auto [Host, Call] = sent(Out);
    LoadReport Busy{
        .Limit = 8, .Running = 8, .Queued = 4, .ServiceTime = 100ms};
    Out = reply(Host, Refused{Call.Call, ErrorKind::Overloaded, Busy});
  }
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 503U);
  EXPECT_GT(retryAfter(*answer(Out)), 0);
  EXPECT_LE(retryAfter(*answer(Out)), 0.334);
}

// A slow server is better than none: it gets the call again, and then may not
// refuse it for its slow period.
TEST_F(SidecarTest, ASlowServerGetsTheCallWhenNoOtherAcceptsIt) {
  loadTopics(false);
  auto [Slow, Call] = sent(request(1));
  EXPECT_TRUE(Call.HasAlternative);
  SidecarEffects Out =
      reply(Slow, Refused{Call.Call, ErrorKind::ServerSlow, {}});
  for (int I = 0; I < 2; ++I) {
    auto [Host, Next] = sent(Out);
    EXPECT_NE(Host, Slow);
    Out = reply(Host, Refused{Next.Call, ErrorKind::Overloaded, {}});
  }
  auto [Retry, Last] = sent(Out);
  EXPECT_EQ(Retry, Slow);
  EXPECT_FALSE(Last.HasAlternative);
  Out = reply(Retry, Refused{Last.Call, ErrorKind::Overloaded, {}});
  EXPECT_EQ(answer(Out)->Status, 503U);
}

// Load pattern: many clients are refused at the same time. If all returned
// together, they would be refused again.
TEST_F(SidecarTest, RetryAfterIsRandomized) {
  loadTopics(false);
  std::set<std::string> Times;
  for (CallerId Caller = 1; Caller <= 20; ++Caller) {
    SidecarEffects Out = request(Caller);
    while (!answer(Out)) {
      auto [Host, Call] = sent(Out);
      LoadReport Busy{
          .Limit = 8, .Running = 8, .Queued = 8, .ServiceTime = 200ms};
      Out = reply(Host, Refused{Call.Call, ErrorKind::Overloaded, Busy});
    }
    Times.emplace(findHeader(answer(Out)->Headers, "Retry-After"));
  }
  EXPECT_GE(Times.size(), 15U);
}

TEST_F(SidecarTest, AnIdempotentCallIsRetriedAtAnotherServer) {
  loadTopics(true);
  auto [First, Call] = sent(request(1));
  auto [Second, Retry] =
      sent(reply(First, Failed{Call.Call, ErrorKind::BackendFailed, {}}));
  EXPECT_NE(First, Second);
  auto Out = reply(Second, Failed{Retry.Call, ErrorKind::BackendFailed, {}});
  ASSERT_TRUE(answer(Out)) << "the route allows two servers";
  EXPECT_EQ(answer(Out)->Status, 502U);
}

// The error response of a server is delivered when no other one can be tried.
TEST_F(SidecarTest, AServersErrorResponseIsDeliveredUnchanged) {
  loadTopics(true);
  auto [First, Call] = sent(request(1));
  Now += 5ms;
  auto [Second, Retry] =
      sent(reply(First, Answer{Call.Call, {500, {}, "first"}, {}}));
  auto Out = reply(Second, Answer{Retry.Call, {500, {}, "second"}, {}});
  EXPECT_EQ(answer(Out)->Body, "second");
}

// Load pattern: a service fails a fraction of its calls, and the runs that made
// them fail late. Retries of these runs would multiply the calls to the
// service.
TEST_F(SidecarTest, ARunThatFailsLateIsNotRetried) {
  loadTopics(true);
  for (CallerId Caller = 1; Caller <= 30; ++Caller) {
    auto [Host, Call] = sent(request(Caller));
    Now += 100ms;
    reply(Host, Answer{Call.Call, {200, {}, ""}, {}});
  }
  auto [Host, Call] = sent(request(31));
  Now += 90ms;
  auto Out = reply(Host, Answer{Call.Call, {500, {}, "callee"}, {}});
  EXPECT_TRUE(messages<Execute>(Out).empty());
  EXPECT_EQ(answer(Out)->Body, "callee");
}

TEST_F(SidecarTest, ACallThatMayHaveRunIsNotRetried) {
  loadTopics(false);
  auto [Host, Call] = sent(request(1));
  auto Out = reply(Host, Failed{Call.Call, ErrorKind::BackendFailed, {}});
  EXPECT_TRUE(messages<Execute>(Out).empty());
  EXPECT_EQ(answer(Out)->Status, 502U)
      << "502 does not say whether the call ran";
  auto [Next, Second] = sent(request(2));
  Out = reply(Next, Answer{Second.Call, {500, {}, "failed"}, {}});
  EXPECT_EQ(answer(Out)->Body, "failed");
}

// A broken link does not show whether the call ran. Only a call that was never
// written may be sent to another server.
TEST_F(SidecarTest, AfterABrokenLinkTheDaemonIsQueried) {
  loadTopics(false);
  auto [Host, Call] = sent(request(1));
  auto Out = apply(PeerLost{Host, {}});
  EXPECT_TRUE(messages<Execute>(Out).empty());
  EXPECT_FALSE(answer(Out));
  auto Queries = messages<Await>(Out);
  ASSERT_EQ(Queries.size(), 1U);
  EXPECT_EQ(Queries[0].second.Call, Call.Call);
  Out = reply(Host, Answer{Call.Call, {200, {}, "late"}, {}});
  EXPECT_EQ(answer(Out)->Body, "late");
}

TEST_F(SidecarTest, AnUnsentCallGoesToAnotherServer) {
  loadTopics(false);
  auto [Host, Call] = sent(request(1));
  PeerLost Lost{Host, {}};
  Lost.Unsent.emplace_back(Call);
  EXPECT_NE(sent(apply(std::move(Lost))).first, Host);
}

TEST_F(SidecarTest, ARestartedDaemonLeavesTheOutcomeUnknown) {
  loadTopics(false);
  auto [Host, Call] = sent(request(1));
  apply(PeerLost{Host, {}});
  SidecarEffects Out;
  for (int I = 0; I < 5 && !answer(Out); ++I)
    Out = apply(PeerReceived{{Host, 78},
                             Failed{Call.Call, ErrorKind::OutcomeUnknown, {}}});
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 502U);
}

// Otherwise client requests would test whether a partition has ended.
TEST_F(SidecarTest, ASilentDaemonGetsNoRequestsUntilItReplies) {
  loadTopics(true);
  auto [Silent, Call] = sent(request(1));
  auto Out = tick(500ms);
  EXPECT_EQ(effects<ResetPeer>(Out).size(), 1U);
  for (CallerId Caller = 2; Caller < 12; ++Caller)
    EXPECT_NE(sent(request(Caller)).first, Silent);
  reply(Silent, ProbeReply{});
  Now += 1500ms; // The balancer avoids the daemon for a while.
  bool Used = false;
  for (CallerId Caller = 20; Caller < 60; ++Caller)
    Used = Used || sent(request(Caller)).first == Silent;
  EXPECT_TRUE(Used);
}

// If refusals did not count as failures, a server that sheds calls which its
// daemon admitted would look idle and attract all calls.
TEST_F(SidecarTest, AServerThatShedsIsChosenLess) {
  loadTopics(true);
  std::map<HostId, int> Chosen;
  for (CallerId Caller = 1; Caller <= 300; ++Caller) {
    Now += 20ms;
    auto [Host, Call] = sent(request(Caller));
    ++Chosen[Host];
    LoadReport Idle{.Limit = 8, .ServiceTime = 50ms, .UsualServiceTime = 50ms};
    SidecarEffects Out;
    if (Host == "a")
      Out = reply(Host, Refused{Call.Call, ErrorKind::ServerRefused, Idle});
    else
      Out = reply(Host, Answer{Call.Call, {200, {}, ""}, Idle});
    for (auto &[Next, Retry] : messages<Execute>(Out))
      reply(Next, Answer{Retry.Call, {200, {}, ""}, Idle});
  }
  EXPECT_LT(Chosen["a"], 60);
}

// The gate beside the server charges retries to the budget of the service. An
// unmarked retry would count as a first request and raise the budget instead.
TEST_F(SidecarTest, OnlyCallsThatMayHaveReachedAServerAreMarkedAsRetries) {
  loadTopics(true);
  auto [First, Call] = sent(request(1));
  EXPECT_EQ(Call.RetryFraction, 0);
  auto [Second, Moved] =
      sent(reply(First, Refused{Call.Call, ErrorKind::Overloaded, {}}));
  EXPECT_EQ(Moved.RetryFraction, 0)
      << "the daemon refused it before any server received it";
  auto [Third, Retry] =
      sent(reply(Second, Failed{Moved.Call, ErrorKind::BackendFailed, {}}));
  EXPECT_EQ(Retry.RetryFraction, 1);
}

// Guards against a retry budget that is divided among ingresses: on a large
// system each had less than one token of the service's budget, and calls to a
// silent daemon ended with 502.
TEST_F(SidecarTest, ACallToASilentDaemonIsRetriedWithoutAnIngressBudget) {
  loadTopics(true);
  for (int I = 0; I < 200; ++I)
    memberRecord(announcement("h" + std::to_string(I), "other"));
  for (CallerId Caller = 1; Caller <= 3; ++Caller) {
    auto [Silent, Call] = sent(request(Caller));
    auto [Next, Retry] = sent(tick(250ms));
    EXPECT_NE(Next, Silent);
    EXPECT_EQ(Retry.RetryFraction, 1);
    if (Caller == 3)
      continue;
    reply(Next, Answer{Retry.Call, {200, {}, ""}, {}});
    reply(Silent, Probe{{"10.0.0.1:7000", 1}});
  }
}

TEST_F(SidecarTest, TheDeadlineEndsARunningCall) {
  loadTopics(true);
  auto [Host, Call] = sent(request(1, "/book/1", 400ms));
  SidecarEffects Out = reply(Host, Received{Call.Call});
  while (!answer(Out)) {
    ASSERT_LE(Now, TestStart + 500ms);
    Out = tick(10ms);
    reply(Host, Received{Call.Call});
  }
  EXPECT_EQ(answer(Out)->Status, 504U);
  EXPECT_EQ(messages<Cancel>(Out).size(), 1U);
}

TEST_F(SidecarTest, ADisconnectedClientCancelsItsCall) {
  loadTopics(true);
  auto [Host, Call] = sent(request(1));
  auto Cancelled = messages<Cancel>(apply(CallerDisconnected{1}));
  ASSERT_EQ(Cancelled.size(), 1U);
  EXPECT_EQ(Cancelled[0].second.Call, Call.Call);
}

TEST_F(SidecarTest, NothingIsSentToAnEvacuatedDomain) {
  loadTopics(true);
  memberRecord(announcement("d", "booking", "east-b"));
  operatorRecord("evacuate/east-a", 8, Evacuation{"east-a", true});
  for (CallerId Caller = 1; Caller <= 10; ++Caller)
    EXPECT_EQ(sent(request(Caller)).first, "d");
}

// Guards against an ingress that runs out of memory with large bodies.
TEST_F(SidecarTest, BufferedRequestsAreBounded) {
  loadTopics();
  ClientRequest Large;
  Large.Host = "desk.example";
  Large.ClientTimeout = 1000ms;
  Large.Request.Method = "POST";
  Large.Request.Target = "/book/1";
  CallerId Caller = 0;
  while (Caller < 100) {
    Large.Caller = ++Caller;
    Large.Request.Body.assign(std::size_t{8} * 1024 * 1024, 'x');
    if (auto Response = answer(apply(ClientRequest(Large)))) {
      EXPECT_EQ(Response->Status, 503U);
      break;
    }
  }
  EXPECT_EQ(Caller, 5U) << "four requests of 8 MiB fill the bound of 32 MiB";
  apply(CallerDisconnected{1});
  Large.Caller = ++Caller;
  EXPECT_FALSE(answer(apply(ClientRequest(Large))))
      << "a cancelled call frees its bytes";
}

// Guards against wasted runs: a daemon that was slow, not dead, ran a request
// that had been retried elsewhere, even after the client had disconnected.
TEST_F(SidecarTest, ACallRetriedElsewhereIsCancelledAtTheSilentDaemon) {
  loadTopics();
  auto [Host, Sent] = sent(request(1));
  auto Out = tick(300ms);
  auto Cancels = messages<Cancel>(Out);
  ASSERT_EQ(Cancels.size(), 1U);
  EXPECT_EQ(Cancels[0].first, Host);
  EXPECT_EQ(Cancels[0].second.Call, Sent.Call);
  EXPECT_NE(sent(Out).first, Host);
}
