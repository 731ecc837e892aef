// ServerGateTest.cpp - What is admitted to the backend server, and when.

#include "ServerGateFixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

TEST_F(Gate, KeepsTheLastSlotsFree) {
  EXPECT_EQ(fill().size(), 8U);
  EXPECT_EQ(Under.load(Now).Queued, 1U);
}

// A server resets connections beyond its limit, and what ran on them is lost.
TEST_F(Gate, TheConnectionLimitOfTheServiceBoundsTheRuns) {
  ServiceSettings Few;
  Few.MaxConnections = 4;
  Under.configure(Few);
  EXPECT_EQ(fill().size(), 3U) << "a probe needs one too";
}

// Guards against a host that runs out of memory under large bodies.
TEST_F(Gate, BodiesTogetherAreBounded) {
  std::size_t Admitted = 0;
  Execute Large = call();
  for (; Admitted < 100; ++Admitted) {
    Large.Call.Sequence = ++LastCall;
    Large.Request.Body.assign(std::size_t{8} * 1024 * 1024, 'x');
    auto Out = execute(Large);
    if (!refusals(Out).empty())
      break;
  }
  EXPECT_EQ(Admitted, 4U) << "32 MiB";
  EXPECT_EQ(effects<RunServer>(execute(call())).size(), 1U) << "small ones run";
  done(1);
  Large.Call.Sequence = ++LastCall;
  EXPECT_EQ(effects<RunServer>(execute(Large)).size(), 1U) << "room is freed";
}

// A request that may have reached the wrong service or region must be
// refused before it is sent, since its ingress may know an older state.
TEST_F(Gate, RefusesWhatIsMeantForAnother) {
  Execute Other = call();
  Other.Policy.Service = "payment";
  EXPECT_EQ(refusals(execute(Other)).at(0).Kind, ErrorKind::WrongIncarnation);
  Other = call();
  Other.Policy.HomeRegions = {"west"};
  EXPECT_EQ(refusals(execute(Other)).at(0).Kind, ErrorKind::WrongRegion);
}

// After a loss of power the announcements that a daemon reads still name the
// instances of before. Refusing for that cost 67 calls of incident inc-bca1.
TEST_F(Gate, ANewInstanceOfTheServiceTakesTheCallsOfTheOldOne) {
  Execute Old = call();
  Old.Instance = "i-0";
  auto Started = effects<RunServer>(execute(Old));
  ASSERT_EQ(Started.size(), 1U);
  EXPECT_EQ(Started[0].Instance, "i-1") << "the only one that may run it";
}

TEST_F(Gate, AdmitsNothingToALeavingServer) {
  auto Runs = fill();
  ServerHeartbeat Leaving = heartbeat(2);
  Leaving.Draining = true;
  auto Out = step([&](GateStep &Step) { Under.heartbeat(Step, Leaving); });
  EXPECT_EQ(refusals(Out).size(), 1U) << "what waits goes elsewhere";
  EXPECT_EQ(refusals(execute(call())).at(0).Kind, ErrorKind::Draining);
  EXPECT_TRUE(effects<RunServer>(done(Runs[0])).empty());
}

TEST_F(Gate, AdmitsNothingDuringAnEvacuation) {
  step([&](GateStep &Step) { Under.evacuate(Step, true); });
  EXPECT_EQ(refusals(execute(call())).at(0).Kind, ErrorKind::Draining);
  step([&](GateStep &Step) { Under.evacuate(Step, false); });
  EXPECT_TRUE(Under.server().cold(Now)) << "until the server says otherwise";
  EXPECT_EQ(effects<RunServer>(execute(call())).size(), 1U);
}

TEST_F(Gate, AdmitsNothingWithoutAServer) {
  ServerGate Empty(testSettings());
  auto Out =
      step([&](GateStep &Step) { Empty.execute(Step, Ingress, call()); });
  EXPECT_EQ(refusals(Out).at(0).Kind, ErrorKind::NoBackendServer);
}

// Load pattern: a cold server crashes well above its rate. The bound holds in
// every window of a second, for whatever comes.
RC_GTEST_FIXTURE_PROP(Gate, AColdServerGetsItsRateInEveryWindow, ()) {
  beat(2, 10s);
  std::vector<TimePoint> Starts;
  std::vector<RunId> Running;
  int Steps = *rc::gen::inRange(50, 400);
  for (int I = 0; I < Steps; ++I) {
    Now += Duration(*rc::gen::inRange(0, 20000));
    SidecarEffects Out = execute(call());
    for (const SidecarEffects &Part :
         {Out, step([&](GateStep &Step) { Under.timer(Step); })})
      for (const RunServer &Run : effects<RunServer>(Part)) {
        Starts.push_back(Now);
        Running.push_back(Run.Run);
      }
    while (!Running.empty()) {
      for (const RunServer &Run : effects<RunServer>(done(Running.back()))) {
        Starts.push_back(Now);
        Running.push_back(Run.Run);
        std::swap(Running.back(), Running[Running.size() - 2]);
      }
      Running.pop_back();
    }
  }
  const double Bound = 40 * 1.5 + 5; // Rate x overage + slack.
  for (std::size_t I = 0; I < Starts.size(); ++I) {
    std::size_t Count = 0;
    for (std::size_t K = I; K < Starts.size(); ++K)
      if (Starts[K] < Starts[I] + 1s)
        ++Count;
    RC_ASSERT(double(Count) <= Bound);
  }
}

// Load pattern: three times the capacity for a second. In order of arrival all
// answers would be late; what is admitted must meet its target, and the rest be
// refused at once.
TEST_F(Gate, UnderOverloadWhatIsAdmittedIsInTime) {
  const Duration Run = 100ms;
  std::multimap<TimePoint, RunId> Running;
  std::map<RunId, TimePoint> Arrived;
  std::size_t InTime = 0, Late = 0, RefusedLate = 0, Refusals = 0;
  std::map<CallId, TimePoint> Calls;
  auto Take = [&](const SidecarEffects &Out) {
    for (const RunServer &Started : effects<RunServer>(Out))
      Running.emplace(Now + Run, Started.Run);
    for (const Refused &No : refusals(Out)) {
      ++Refusals;
      RefusedLate += Now - Calls[No.Call] > 150ms ? 1 : 0;
    }
    for (auto &[Host, Yes] : messages<Answer>(Out))
      ++(Now - Calls[Yes.Call] <= 300ms ? InTime : Late);
  };
  for (int Millis = 0; Millis < 3000; ++Millis) {
    Now = TestStart + std::chrono::milliseconds(Millis);
    while (!Running.empty() && Running.begin()->first <= Now) {
      RunId Ended = Running.begin()->second;
      Running.erase(Running.begin());
      Take(done(Ended));
    }
    if (Millis % 4 == 0) { // 250 a second; 8 slots serve 80.
      Execute Next = call();
      Calls[Next.Call] = Now;
      Take(execute(std::move(Next)));
    }
    Take(step([&](GateStep &Step) { Under.timer(Step); }));
  }
  EXPECT_GE(InTime, 200U) << "the server is kept busy";
  EXPECT_LE(Late, InTime / 20);
  EXPECT_GE(Refusals, 400U);
  EXPECT_EQ(RefusedLate, 0U);
}

TEST_F(Gate, TheMoreUrgentGoFirst) {
  auto Runs = fill();
  Execute Urgent = call(true, 0);
  Execute Normal = call(true, 2);
  CallId UrgentId = Urgent.Call;
  execute(Normal);
  execute(Urgent);
  done(Runs[0]); // Starts the one that fill() left.
  auto Started = effects<RunServer>(done(Runs[1]));
  ASSERT_EQ(Started.size(), 1U);
  auto Out = done(Started[0].Run);
  EXPECT_EQ(messages<Answer>(Out).at(0).second.Call, UrgentId);
}

// "Not run" must be true: an Execute that arrives after the question must not
// run any more.
// A receipt for each call was a fifth of the messages between regions.
TEST_F(Gate, OnlyACallThatLastsGetsAReceipt) {
  Execute Short = call();
  Short.ReceiptDelayMicros = Duration(100ms).count();
  auto Out = execute(Short);
  EXPECT_TRUE(messages<Received>(Out).empty());
  done(effects<RunServer>(Out).at(0).Run);
  Execute Long = Short;
  Long.Call.Sequence = ++LastCall;
  execute(Long);
  EXPECT_LE(Under.nextWake(Now), Now + 100ms);
  Now += 100ms;
  Out = step([&](GateStep &Step) { Under.timer(Step); });
  auto Told = messages<Received>(Out);
  ASSERT_EQ(Told.size(), 1U);
  EXPECT_EQ(Told[0].second.Call, Long.Call);
}

TEST_F(Gate, AQuestionBeforeTheRequestMakesItFinal) {
  Execute Late = call(false);
  auto Out = step([&](GateStep &Step) {
    Under.await(Step, Ingress, Await{Late.Call, std::nullopt, 1});
  });
  EXPECT_EQ(refusals(Out).at(0).Kind, ErrorKind::NeverStarted);
  Out = execute(Late);
  EXPECT_TRUE(effects<RunServer>(Out).empty());
  EXPECT_EQ(refusals(Out).at(0).Kind, ErrorKind::NeverStarted);
}

TEST_F(Gate, AQuestionForAnEarlierDaemonIsNotAnsweredWithNotRun) {
  auto Out = step([&](GateStep &Step) {
    Under.await(Step, Ingress, Await{{9, 77}, std::nullopt, 55});
  });
  EXPECT_TRUE(refusals(Out).empty());
  EXPECT_EQ(messages<Failed>(Out).at(0).second.Kind, ErrorKind::OutcomeUnknown);
}

// A link may break just after the run has ended: the answer is delivered when
// it is asked for, and the request does not run again.
TEST_F(Gate, AnAnswerIsKeptForItsIngress) {
  Execute Once = call(false);
  RunId Run = effects<RunServer>(execute(Once)).at(0).Run;
  done(Run);
  auto Out = step([&](GateStep &Step) {
    Under.await(Step, Ingress, Await{Once.Call, std::nullopt, 1});
  });
  EXPECT_EQ(messages<Answer>(Out).size(), 1U);
  Out = execute(Once);
  EXPECT_TRUE(effects<RunServer>(Out).empty());
  EXPECT_EQ(messages<Answer>(Out).size(), 1U);
}

// Answers that are kept take at most 8 MiB. When a large one had been dropped,
// its ingress was told that the call had never started: the client would have
// sent a deposit again that was booked.
TEST_F(Gate, WhatRanIsNotCalledNotRunWhenItsAnswerIsGone) {
  std::vector<CallId> Ran;
  for (int I = 0; I < 5; ++I) {
    Execute Message = call(false);
    Ran.push_back(Message.Call);
    RunId Run = effects<RunServer>(execute(Message)).at(0).Run;
    ServerDone Result;
    Result.Result =
        HttpResponse{200, {}, std::string(std::size_t{3} * 1024 * 1024, 'x')};
    done(Run, std::move(Result));
  }
  for (const CallId &Id : Ran) {
    auto Out = step([&](GateStep &Step) {
      Under.await(Step, Ingress, Await{Id, std::nullopt, 1});
    });
    EXPECT_TRUE(refusals(Out).empty());
  }
}

// The same after a long pause of the ingress's host.
TEST_F(Gate, WhatRanIsNotCalledNotRunLater) {
  Execute Message = call(false);
  done(effects<RunServer>(execute(Message)).at(0).Run);
  Now += 30s;
  done(effects<RunServer>(execute(call())).at(0).Run);
  auto Out = step([&](GateStep &Step) {
    Under.await(Step, Ingress, Await{Message.Call, std::nullopt, 1});
  });
  ASSERT_EQ(messages<Failed>(Out).size(), 1U);
  EXPECT_EQ(messages<Failed>(Out)[0].second.Kind, ErrorKind::OutcomeUnknown);
}

// "Never started" was said, and the request arrives long after it.
TEST_F(Gate, WhatWasCalledNotRunDoesNotRunLater) {
  Execute Delayed = call(false);
  step([&](GateStep &Step) {
    Under.await(Step, Ingress, Await{Delayed.Call, std::nullopt, 1});
  });
  Now += 30s;
  done(effects<RunServer>(execute(call())).at(0).Run);
  EXPECT_TRUE(effects<RunServer>(execute(Delayed)).empty());
}

TEST_F(Gate, ACancelledCallDoesNotReachTheServer) {
  fill();
  Execute Waiting = call(false);
  execute(Waiting);
  auto Out = step([&](GateStep &Step) { Under.cancel(Step, Waiting.Call); });
  EXPECT_EQ(refusals(Out).at(0).Kind, ErrorKind::Cancelled);
}

// A cancel goes ahead of queued calls on a link, and the request then ran for
// nobody.
TEST_F(Gate, ACancelBeforeTheRequestMakesItFinal) {
  Execute Late = call();
  step([&](GateStep &Step) { Under.cancel(Step, Late.Call); });
  auto Out = execute(Late);
  EXPECT_TRUE(effects<RunServer>(Out).empty());
  EXPECT_EQ(refusals(Out).at(0).Kind, ErrorKind::Cancelled);
}

TEST_F(Gate, OnlyRepeatableRunsAreBrokenOff) {
  Execute Safe = call(true);
  Execute Once = call(false);
  execute(Safe);
  execute(Once);
  auto Cancel = [&](const CallId &Id) {
    return effects<CancelRun>(
               step([&](GateStep &Step) { Under.cancel(Step, Id); }))
        .size();
  };
  EXPECT_EQ(Cancel(Safe.Call), 1U);
  EXPECT_EQ(Cancel(Once.Call), 0U);
}

TEST_F(Gate, ARefusalByTheServerIsTold) {
  RunId Run = effects<RunServer>(execute(call(false))).at(0).Run;
  ServerDone Shed;
  Shed.Result = HttpResponse{503, {}, ""};
  Shed.Note.NotExecuted = true;
  EXPECT_EQ(refusals(done(Run, Shed)).at(0).Kind, ErrorKind::ServerRefused);
}

// A server that crashed refuses connections; without this each ingress would
// send calls in vain until heartbeats are missed.
TEST_F(Gate, AServerThatRefusesConnectionsIsLeftAloneUntilItReports) {
  RunId Run = effects<RunServer>(execute(call())).at(0).Run;
  ServerDone Failed;
  Failed.Result = BackendError::NotSent;
  done(Run, Failed);
  EXPECT_EQ(refusals(execute(call())).at(0).Kind, ErrorKind::NoBackendServer);
  beat(2);
  EXPECT_EQ(effects<RunServer>(execute(call())).size(), 1U);
}

TEST_F(Gate, ASilentServerIsGone) {
  Now += 7s;
  step([&](GateStep &Step) { Under.timer(Step); });
  EXPECT_EQ(Under.server().state(), InstanceState::Absent);
}

// Load pattern: a server slows down to a quarter for some hundred
// milliseconds.
TEST_F(Gate, IngressesAreToldWhenTheSpeedChanges) {
  execute(call());
  auto Tell = [&](double Factor) {
    ServerProbed Probe;
    Probe.Load = ServerLoad{1, 0, 10, Factor};
    step([&](GateStep &Step) { Under.probed(Step, Probe); });
    return Under.takeListeners(Now);
  };
  EXPECT_EQ(Tell(4), std::vector<HostId>{Ingress.Host});
  EXPECT_TRUE(Tell(4.2).empty()) << "nothing new";
  EXPECT_EQ(Tell(1), std::vector<HostId>{Ingress.Host});
  Now += 10s;
  EXPECT_TRUE(Tell(4).empty()) << "nobody has sent anything lately";
}

// Load pattern: as above; a run that starts on a slow server is late to its
// end, while another server would have been in time.
TEST_F(Gate, PassesOnWhatWouldBeLateOnlyBecauseTheServerIsSlow) {
  RunId First = effects<RunServer>(execute(call())).at(0).Run;
  Now += 100ms;
  done(First); // A run takes 100 ms, the target is 300 ms.
  ServerProbed Probe;
  Probe.Load = ServerLoad{0, 0, 10, 4};
  step([&](GateStep &Step) { Under.probed(Step, Probe); });
  Execute Flexible = call();
  Flexible.HasAlternative = true;
  EXPECT_EQ(refusals(execute(Flexible)).at(0).Kind, ErrorKind::ServerSlow);
  EXPECT_EQ(effects<RunServer>(execute(call())).size(), 1U) << "no other one";
  Execute Late = call();
  Late.HasAlternative = true;
  Late.TargetMicros = Duration(50ms).count();
  EXPECT_EQ(effects<RunServer>(execute(Late)).size(), 1U)
      << "it is late in any case";
}

// Probes are bounded, whatever the load: the operator allows 60 a second.
// On real logs a late answer could not be traced: whether it waited at the gate
// or the server took long stood nowhere.
TEST_F(Gate, ALateRunSaysWhereTheTimeWent) {
  auto Runs = fill();
  Now += 100ms;
  auto Started = effects<RunServer>(done(Runs[0]));
  ASSERT_EQ(Started.size(), 1U) << "the one that waited";
  Now += 50ms;
  EXPECT_FALSE(logged(done(Runs[1]), "run-late")) << "in time";
  Now += 200ms;
  auto Out = done(Started[0].Run);
  ASSERT_TRUE(logged(Out, "run-late"));
  for (const Decision &Line : effects<Decision>(Out)) {
    if (Line.What != "run-late")
      continue;
    auto Field = [&](std::string_view Name) {
      for (const auto &[Key, Value] : Line.Fields)
        if (Key == Name)
          return Value;
      return std::string();
    };
    EXPECT_EQ(Field("waited_ms"), "100");
    EXPECT_EQ(Field("run_ms"), "250");
  }
}

TEST_F(Gate, ProbesAtMostTenTimesASecond) {
  std::size_t Probes = probesIn(2s, 100ms);
  EXPECT_LE(Probes, 21U);
  EXPECT_GE(Probes, 4U);
}

// At 300 hosts with little traffic each there were four probes a request.
TEST_F(Gate, ProbesTwiceASecondWithoutCalls) {
  execute(call());
  Now += 500ms;
  std::size_t Probes = probesIn(2s, Duration::max());
  EXPECT_LE(Probes, 5U);
  EXPECT_GE(Probes, 3U);
}

} // namespace

// Guards against one request that takes down a service server by server: it
// crashes each one that runs it, and is sent again.
struct GateCrash : Gate {
  /// Runs a call of one content. Returns its run, or 0 when it was refused.
  RunId run(std::uint64_t Fingerprint) {
    Execute Message = call();
    Message.Fingerprint = Fingerprint;
    Last = execute(Message);
    auto Started = effects<RunServer>(Last);
    return Started.empty() ? 0 : Started[0].Run;
  }
  void broken(RunId Run) {
    ServerDone Broken;
    Broken.Result = BackendError::Broken;
    done(Run, Broken);
  }
  /// The server refuses the next connection, and is back a second later.
  void serverCrashes() {
    ServerDone Refused;
    Refused.Result = BackendError::NotSent;
    done(run(99), Refused);
    Now += 1s;
    ServerHeartbeat Back = heartbeat(1, "i-1", Born += 1000);
    step([&](GateStep &Step) { Under.heartbeat(Step, Back); });
  }
  SidecarEffects Last;
  std::int64_t Born = 1000;
};

TEST_F(GateCrash, ARequestThatCrashedTheServerTwiceIsNotRunAgain) {
  for (int I = 0; I < 2; ++I) {
    RunId Killer = run(7);
    ASSERT_NE(Killer, 0U);
    broken(Killer);
    serverCrashes();
  }
  auto Reports = Under.takeSuspicions();
  ASSERT_EQ(Reports.size(), 2U);
  EXPECT_EQ(Reports[1].Fingerprint, 7U);
  EXPECT_EQ(Reports[1].Crashes, 2U);
  EXPECT_EQ(run(7), 0U);
  EXPECT_EQ(refusals(Last).at(0).Kind, ErrorKind::Quarantined);
  EXPECT_NE(run(8), 0U) << "others run";
}

TEST_F(GateCrash, ABrokenConnectionOfALivingServerProvesNothing) {
  for (int I = 0; I < 5; ++I) {
    broken(run(7));
    Now += 100ms;
  }
  EXPECT_TRUE(Under.takeSuspicions().empty());
  Now += 10s;
  serverCrashes();
  EXPECT_TRUE(Under.takeSuspicions().empty()) << "too long after";
}

TEST_F(GateCrash, WhatSucceedsIsClearedAndSuspectsDoNotRunTogether) {
  RunId One = run(7);
  RunId Two = run(8);
  broken(One);
  broken(Two);
  serverCrashes();
  EXPECT_EQ(Under.takeSuspicions().size(), 2U);
  One = run(7);
  ASSERT_NE(One, 0U);
  EXPECT_EQ(run(8), 0U) << "a crash would not tell which one caused it";
  done(One);
  auto Cleared = Under.takeSuspicions();
  ASSERT_EQ(Cleared.size(), 1U);
  EXPECT_EQ(Cleared[0].Crashes, 0U);
  EXPECT_NE(run(8), 0U);
}

// A request that many clients send at the same moment is in flight at any
// crash; it must not be refused for the time until one of them succeeds.
TEST_F(GateCrash, SuspectsOfTheSameContentRunTogether) {
  broken(run(7));
  serverCrashes();
  RunId One = run(7);
  RunId Two = run(7);
  ASSERT_NE(Two, 0U);
  EXPECT_NE(run(8), 0U) << "8 is no suspect";
  broken(One);
  broken(Two);
  serverCrashes();
  auto Reports = Under.takeSuspicions();
  ASSERT_FALSE(Reports.empty());
  EXPECT_EQ(Reports.back().Crashes, 2U) << "one crash, not two";
}

TEST_F(GateCrash, WhatOtherDaemonsSawCounts) {
  Under.suspected(Now, SuspectReport{7, 2, true});
  EXPECT_EQ(run(7), 0U);
  EXPECT_EQ(refusals(Last).at(0).Kind, ErrorKind::Quarantined);
}
