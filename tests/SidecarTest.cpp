// SidecarTest.cpp - The sidecar's decisions on calls, from the request to the
// one answer.

#include "SidecarFixture.h"

using namespace figsail;
using namespace figsail::test;

// Start and configuration.

TEST_F(SidecarTest, IsReadyOnceBothTopicsAreKnown) {
  EXPECT_TRUE(effects<SetReadiness>(tick()).empty());
  apply(TopicSnapshot{Topic::Members, {}, 0});
  Decoder.Contents["config@0"] = config(1);
  auto Out = apply(TopicSnapshot{Topic::Operator, {{"config", "x", 0}}, 1});
  ASSERT_EQ(effects<SetReadiness>(Out).size(), 1U);
  EXPECT_TRUE(effects<SetReadiness>(Out)[0].Ready);
}

// A 404 is final for a client; a daemon that knows no routes must not say it.
TEST_F(SidecarTest, WithoutAConfigurationNothingIsUnknown) {
  auto Response = answer(request(1));
  ASSERT_TRUE(Response);
  EXPECT_EQ(Response->Status, 503U);
  EXPECT_GE(retryAfter(*Response), 0);
}

TEST_F(SidecarTest, AnUnknownRouteIsNotFound) {
  learn();
  EXPECT_EQ(answer(request(1, "/other/1"))->Status, 404U);
}

TEST_F(SidecarTest, TheConfigurationNeverGoesBack) {
  learn();
  operatorRecord("config", 5, config(9, true, "payment"));
  EXPECT_TRUE(logged(operatorRecord("config", 6, config(8)), "config-ignored"));
  operatorRecord("config", 4, config(10));
  EXPECT_EQ(answer(request(1))->Status, 503U)
      << "version 9 sends to a service without servers";
}

TEST_F(SidecarTest, AnUnusableConfigurationLeavesTheOldOne) {
  learn();
  auto Out = operatorRecord("config", 7, UnusableRecord{"config", "cut"});
  EXPECT_TRUE(logged(Out, "record-unusable"));
  EXPECT_EQ(messages<Execute>(request(1)).size(), 1U);
}

// Calls.

TEST_F(SidecarTest, ACallReachesOneServerAndIsAnsweredOnce) {
  learn();
  auto [Host, Call] = sent(request(1));
  EXPECT_EQ(Call.Instance, "i-" + Host);
  EXPECT_EQ(Call.BudgetMicros, Duration(1000ms).count());
  EXPECT_EQ(Call.TargetMicros, Duration(300ms).count());
  auto Out = reply(Host, Answer{Call.Call, {200, {}, "done"}, {}});
  EXPECT_EQ(answer(Out)->Body, "done");
  EXPECT_FALSE(answer(reply(Host, Answer{Call.Call, {200, {}, "again"}, {}})));
}

// What a client has spent elsewhere shows in its shorter patience.
TEST_F(SidecarTest, TheTargetCountsFromTheClientsFirstAttempt) {
  learn();
  auto [Host, Call] = sent(request(1, "/book/1", 800ms));
  EXPECT_EQ(Call.BudgetMicros, Duration(800ms).count());
  EXPECT_EQ(Call.TargetMicros, Duration(100ms).count());
}

TEST_F(SidecarTest, ADaemonsRefusalSendsTheCallElsewhere) {
  learn(false);
  auto [First, Call] = sent(request(1));
  auto [Second, Again] =
      sent(reply(First, Refused{Call.Call, ErrorKind::Overloaded, {}}));
  EXPECT_NE(First, Second);
  EXPECT_NE(Call.Call, Again.Call);
}

// What cannot be served is refused at once, not held until the deadline; the
// time to return lies within a third of what the client has left.
TEST_F(SidecarTest, WhenAllRefuseTheClientIsToldAtOnceWhenToReturn) {
  learn(false);
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

// The slow server is better than none: it is asked again, and then may not
// refuse for its speed.
TEST_F(SidecarTest, ASlowServerTakesTheCallWhenNoOtherCan) {
  learn(false);
  auto [Slow, Call] = sent(request(1));
  EXPECT_TRUE(Call.HasAlternative);
  SidecarEffects Out =
      reply(Slow, Refused{Call.Call, ErrorKind::ServerSlow, {}});
  for (int I = 0; I < 2; ++I) {
    auto [Host, Next] = sent(Out);
    EXPECT_NE(Host, Slow);
    Out = reply(Host, Refused{Next.Call, ErrorKind::Overloaded, {}});
  }
  auto [Again, Last] = sent(Out);
  EXPECT_EQ(Again, Slow);
  EXPECT_FALSE(Last.HasAlternative);
  Out = reply(Again, Refused{Last.Call, ErrorKind::Overloaded, {}});
  EXPECT_EQ(answer(Out)->Status, 503U);
}

// Load pattern: many clients are refused at the same moment; if all returned
// together they would be refused together.
TEST_F(SidecarTest, RefusedClientsReturnSpreadOverTime) {
  learn(false);
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

TEST_F(SidecarTest, AnIdempotentCallIsRepeatedOnAnotherServer) {
  learn(true);
  auto [First, Call] = sent(request(1));
  auto [Second, Again] =
      sent(reply(First, Failed{Call.Call, ErrorKind::BackendFailed, {}}));
  EXPECT_NE(First, Second);
  auto Out = reply(Second, Failed{Again.Call, ErrorKind::BackendFailed, {}});
  ASSERT_TRUE(answer(Out)) << "the route allows two servers";
  EXPECT_EQ(answer(Out)->Status, 502U);
}

// A failure of the server is passed on when no other one can be tried.
TEST_F(SidecarTest, TheServersFailureIsDeliveredUnchanged) {
  learn(true);
  auto [First, Call] = sent(request(1));
  Now += 5ms;
  auto [Second, Again] =
      sent(reply(First, Answer{Call.Call, {500, {}, "first"}, {}}));
  auto Out = reply(Second, Answer{Again.Call, {500, {}, "second"}, {}});
  EXPECT_EQ(answer(Out)->Body, "second");
}

// Load pattern: a service fails a part of its calls, and the runs that made
// them fail late. Repeating those multiplies the calls to the service.
TEST_F(SidecarTest, ARunThatFailsLateIsNotRepeated) {
  learn(true);
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

TEST_F(SidecarTest, ACallThatMayHaveRunIsNotRepeated) {
  learn(false);
  auto [Host, Call] = sent(request(1));
  auto Out = reply(Host, Failed{Call.Call, ErrorKind::BackendFailed, {}});
  EXPECT_TRUE(messages<Execute>(Out).empty());
  EXPECT_EQ(answer(Out)->Status, 502U) << "502 promises nothing";
  auto [Next, Second] = sent(request(2));
  Out = reply(Next, Answer{Second.Call, {500, {}, "failed"}, {}});
  EXPECT_EQ(answer(Out)->Body, "failed");
}

// A broken link says nothing about the call: only what was never written may
// be sent to another server.
TEST_F(SidecarTest, AfterABrokenLinkTheDaemonIsAsked) {
  learn(false);
  auto [Host, Call] = sent(request(1));
  auto Out = apply(PeerLost{Host, {}});
  EXPECT_TRUE(messages<Execute>(Out).empty());
  EXPECT_FALSE(answer(Out));
  auto Asked = messages<Await>(Out);
  ASSERT_EQ(Asked.size(), 1U);
  EXPECT_EQ(Asked[0].second.Call, Call.Call);
  Out = reply(Host, Answer{Call.Call, {200, {}, "late"}, {}});
  EXPECT_EQ(answer(Out)->Body, "late");
}

TEST_F(SidecarTest, WhatWasNeverWrittenIsSentElsewhere) {
  learn(false);
  auto [Host, Call] = sent(request(1));
  PeerLost Lost{Host, {}};
  Lost.Unsent.emplace_back(Call);
  EXPECT_NE(sent(apply(std::move(Lost))).first, Host);
}

TEST_F(SidecarTest, ARestartedDaemonDoesNotMakeACallNotRun) {
  learn(false);
  auto [Host, Call] = sent(request(1));
  apply(PeerLost{Host, {}});
  SidecarEffects Out;
  for (int I = 0; I < 5 && !answer(Out); ++I)
    Out = apply(PeerReceived{{Host, 78},
                             Failed{Call.Call, ErrorKind::OutcomeUnknown, {}}});
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 502U);
}

// Requests would otherwise be what tests whether a partition has ended.
TEST_F(SidecarTest, ASilentDaemonGetsNoRequestsUntilItIsHeard) {
  learn(true);
  auto [Silent, Call] = sent(request(1));
  auto Out = tick(500ms);
  EXPECT_EQ(effects<ResetPeer>(Out).size(), 1U);
  for (CallerId Caller = 2; Caller < 12; ++Caller)
    EXPECT_NE(sent(request(Caller)).first, Silent);
  reply(Silent, ProbeReply{});
  Now += 1500ms; // The balancer avoids it for a while.
  bool Used = false;
  for (CallerId Caller = 20; Caller < 60; ++Caller)
    Used = Used || sent(request(Caller)).first == Silent;
  EXPECT_TRUE(Used);
}

// Without the count of refusals a server that sheds what its daemon admits
// looks idle and attracts all work.
TEST_F(SidecarTest, AServerThatShedsIsChosenLess) {
  learn(true);
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
    for (auto &[Next, Again] : messages<Execute>(Out))
      reply(Next, Answer{Again.Call, {200, {}, ""}, Idle});
  }
  EXPECT_LT(Chosen["a"], 60);
}

// The gate beside the server charges repeats to the budget of the service; an
// unmarked one would count as a first request and raise the budget instead.
TEST_F(SidecarTest, OnlyRepeatsOfWhatMayHaveReachedAServerAreMarked) {
  learn(true);
  auto [First, Call] = sent(request(1));
  EXPECT_EQ(Call.RetryFraction, 0);
  auto [Second, Moved] =
      sent(reply(First, Refused{Call.Call, ErrorKind::Overloaded, {}}));
  EXPECT_EQ(Moved.RetryFraction, 0) << "its daemon says that nothing was sent";
  auto [Third, Again] =
      sent(reply(Second, Failed{Moved.Call, ErrorKind::BackendFailed, {}}));
  EXPECT_EQ(Again.RetryFraction, 1);
}

// On a large system each ingress had less than one token of the service's
// budget, and calls that had gone to a silent daemon ended with 502.
TEST_F(SidecarTest, ACallToASilentDaemonIsRepeatedWithoutAnOwnBudget) {
  learn(true);
  for (int I = 0; I < 200; ++I)
    member(announcement("h" + std::to_string(I), "other"));
  for (CallerId Caller = 1; Caller <= 3; ++Caller) {
    auto [Silent, Call] = sent(request(Caller));
    auto [Next, Again] = sent(tick(250ms));
    EXPECT_NE(Next, Silent);
    EXPECT_EQ(Again.RetryFraction, 1);
    if (Caller == 3)
      continue;
    reply(Next, Answer{Again.Call, {200, {}, ""}, {}});
    reply(Silent, Probe{{"10.0.0.1:7000", 1}});
  }
}

TEST_F(SidecarTest, TheDeadlineEndsACallThatRuns) {
  learn(true);
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

TEST_F(SidecarTest, AClientThatLeavesCancelsItsCall) {
  learn(true);
  auto [Host, Call] = sent(request(1));
  auto Cancelled = messages<Cancel>(apply(CallerDisconnected{1}));
  ASSERT_EQ(Cancelled.size(), 1U);
  EXPECT_EQ(Cancelled[0].second.Call, Call.Call);
}

TEST_F(SidecarTest, NothingIsSentToAnEvacuatedDomain) {
  learn(true);
  member(announcement("d", "booking", "east-b"));
  operatorRecord("evacuate/east-a", 8, Evacuation{"east-a", true});
  for (CallerId Caller = 1; Caller <= 10; ++Caller)
    EXPECT_EQ(sent(request(Caller)).first, "d");
}

// Guards against an ingress that runs out of memory under large bodies.
TEST_F(SidecarTest, RequestsHeldTogetherAreBounded) {
  learn();
  ClientRequest Large;
  Large.Host = "desk.example";
  Large.Patience = 1000ms;
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
  EXPECT_EQ(Caller, 5U) << "four fill 32 MiB";
  apply(CallerDisconnected{1});
  Large.Caller = ++Caller;
  EXPECT_FALSE(answer(apply(ClientRequest(Large)))) << "room is freed";
}

// The first daemon was slow, not dead: it ran the request for nobody, also
// after the client had left.
TEST_F(SidecarTest, ACallThatIsRepeatedElsewhereIsCancelledAtTheSilentDaemon) {
  learn();
  auto [Host, Sent] = sent(request(1));
  auto Out = tick(300ms);
  auto Cancels = messages<Cancel>(Out);
  ASSERT_EQ(Cancels.size(), 1U);
  EXPECT_EQ(Cancels[0].first, Host);
  EXPECT_EQ(Cancels[0].second.Call, Sent.Call);
  EXPECT_NE(sent(Out).first, Host);
}
