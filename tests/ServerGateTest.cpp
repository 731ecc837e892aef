// ServerGateTest.cpp - What is admitted to the backend server, and when.

#include "ServerGate.h"
#include "SidecarTestSupport.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;

namespace {

const PeerRef Ingress{"10.0.0.9:7000", 9};

struct Gate : testing::Test {
  Gate() : Under(testSettings()) {
    ServiceSettings Service;
    Service.ColdPerSecond = 40;
    Service.MaxConnections = 200;
    Under.configure(Service);
    beat(1);
  }

  template <class Action> SidecarEffects step(Action Do) {
    SidecarEffects Out;
    GateStep Step{Now, Out};
    Do(Step);
    return Out;
  }
  SidecarEffects beat(std::uint64_t Sequence, Duration Cold = Duration(0)) {
    ServerHeartbeat Said = heartbeat(Sequence);
    Said.Cold = Cold;
    return step([&](GateStep &Step) { Under.heartbeat(Step, Said); });
  }
  Execute call(bool Idempotent = true, std::uint32_t Priority = 0) {
    Execute Message;
    Message.Call = {9, ++LastCall};
    Message.Policy.Route = "book";
    Message.Policy.Service = "booking";
    Message.Policy.Idempotent = Idempotent;
    Message.Policy.Priority = Priority;
    Message.BudgetMicros = Duration(1s).count();
    Message.TargetMicros = Duration(300ms).count();
    Message.Instance = "i-1";
    return Message;
  }
  SidecarEffects execute(Execute Message) {
    return step([&](GateStep &Step) {
      Under.execute(Step, Ingress, std::move(Message));
    });
  }
  SidecarEffects done(RunId Run, ServerDone Result = {}) {
    Result.Run = Run;
    if (!std::holds_alternative<BackendError>(Result.Result) &&
        std::get<HttpResponse>(Result.Result).Status == 0)
      std::get<HttpResponse>(Result.Result).Status = 200;
    return step(
        [&](GateStep &Step) { Under.serverDone(Step, std::move(Result)); });
  }
  std::vector<Refused> refusals(const SidecarEffects &Out) {
    std::vector<Refused> Found;
    for (auto &[Host, Message] : messages<Refused>(Out))
      Found.push_back(Message);
    return Found;
  }
  /// Sends calls until one waits. Returns the runs.
  std::vector<RunId> fill() {
    std::vector<RunId> Runs;
    while (true) {
      auto Started = effects<RunServer>(execute(call()));
      if (Started.empty())
        return Runs;
      Runs.push_back(Started[0].Run);
    }
  }

  /// Lets time pass, with a call at each interval. Returns the probes.
  std::size_t probesIn(Duration Time, Duration CallInterval) {
    std::size_t Probes = 0;
    for (Duration Passed{0}; Passed < Time; Passed += 1ms) {
      Now += 1ms;
      if (Passed % CallInterval == 0ms && CallInterval < Time)
        execute(call());
      auto Out = step([&](GateStep &Step) { Under.timer(Step); });
      for ([[maybe_unused]] const auto &Sent : effects<ProbeServer>(Out)) {
        ++Probes;
        step([&](GateStep &Step) { Under.probed(Step, ServerProbed{}); });
      }
    }
    return Probes;
  }

  TimePoint Now = TestStart;
  std::uint64_t LastCall = 0;
  ServerGate Under;
};

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
  Short.ReceiptMicros = Duration(100ms).count();
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
    Result.Result = HttpResponse{200, {}, std::string(3 * 1024 * 1024, 'x')};
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

// Repeats.

/// The same call once more, after a server that may have run it.
Execute repeatOf(Execute Message) {
  Message.RepeatShare = 1;
  return Message;
}

// The sum over all servers must stay within the operator's ratio and slack, and
// the budget must be there when it is needed.
TEST_F(Gate, RepeatsStayWithinTheServersShareOfTheBudget) {
  constexpr int Servers = 3;
  constexpr int Calls = 200;
  Under.setServerCount(Now, Servers);
  int Repeats = 0;
  for (int I = 0; I < Calls; ++I) {
    Now += 20ms;
    done(effects<RunServer>(execute(call())).at(0).Run);
    auto Out = execute(repeatOf(call()));
    auto Started = effects<RunServer>(Out);
    if (Started.empty()) {
      EXPECT_EQ(refusals(Out).at(0).Kind, ErrorKind::RetryBudgetSpent);
      continue;
    }
    ++Repeats;
    done(Started[0].Run);
  }
  EXPECT_LE(Repeats, 0.2 * Calls + 64.0 / Servers);
  EXPECT_GE(Repeats, 0.2 * Calls);
}

// A daemon that is killed again and again must not get its slack anew each
// time.
TEST_F(Gate, AStartBringsNoRepeats) {
  Under.setServerCount(Now, 3);
  EXPECT_EQ(refusals(execute(repeatOf(call()))).size(), 1U);
}

TEST_F(Gate, ARepeatThatIsCancelledWhileItWaitsCostsNothing) {
  Under.setServerCount(Now, 20); // A share of 3.2, of which 1.6 at once.
  Now += 10s;
  std::vector<RunId> Runs = fill();
  Execute Waits = repeatOf(call());
  EXPECT_TRUE(refusals(execute(Waits)).empty());
  step([&](GateStep &Step) { Under.cancel(Step, Waits.Call); });
  for (RunId Run : Runs)
    done(Run);
  EXPECT_FALSE(effects<RunServer>(execute(repeatOf(call()))).empty());
}

// Calls of a repeated run count as repeats where they arrive. Which run made a
// call is not known, so each bears its part.
TEST_F(Gate, CallsOfRepeatedRunsAreChargedToTheBudget) {
  Under.setServerCount(Now, 1);
  Now += 10s;
  for (int I = 0; I < 200; ++I) {
    Execute FromRepeats = call();
    FromRepeats.RepeatShare = 0.5F;
    done(effects<RunServer>(execute(FromRepeats)).at(0).Run);
  }
  EXPECT_EQ(refusals(execute(repeatOf(call()))).size(), 1U);
}

TEST_F(Gate, TellsWhichPartOfItsRunsAreRepeats) {
  Under.setServerCount(Now, 1);
  Now += 10s;
  EXPECT_EQ(Under.repeatShare(), 0);
  execute(call());
  execute(repeatOf(call()));
  EXPECT_FLOAT_EQ(Under.repeatShare(), 0.5F);
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
  Flexible.MayGoElsewhere = true;
  EXPECT_EQ(refusals(execute(Flexible)).at(0).Kind, ErrorKind::ServerSlow);
  EXPECT_EQ(effects<RunServer>(execute(call())).size(), 1U) << "no other one";
  Execute Late = call();
  Late.MayGoElsewhere = true;
  Late.TargetMicros = Duration(50ms).count();
  EXPECT_EQ(effects<RunServer>(execute(Late)).size(), 1U)
      << "it is late in any case";
}

/// The server reports its speed.
struct SlowGate : Gate {
  void speed(double Factor) {
    ServerProbed Probe;
    Probe.Load = ServerLoad{0, 0, 10, Factor};
    LastStep = step([&](GateStep &Step) { Under.probed(Step, Probe); });
  }
  /// Some slow stretches of 100 ms, and a run of 70 ms.
  void learn() {
    for (int I = 0; I < 5; ++I) {
      speed(5);
      Now += 100ms;
      speed(1);
      Now += 300ms;
    }
    RunId Run = effects<RunServer>(execute(call())).at(0).Run;
    Now += 70ms;
    done(Run);
  }
  SidecarEffects tick(Duration After) {
    Now += After;
    return step([&](GateStep &Step) { Under.timer(Step); });
  }
  SidecarEffects LastStep;
};

// Load pattern: a server that is slow for 100 ms. A run that starts then takes
// 350 ms and is late; one that starts after it takes 70 ms.
TEST_F(SlowGate, HoldsACallThatIsInTimeAfterTheSlowStretch) {
  learn();
  speed(5);
  Now += 10ms;
  auto Out = execute(call());
  EXPECT_TRUE(effects<RunServer>(Out).empty());
  EXPECT_TRUE(refusals(Out).empty());
  EXPECT_TRUE(effects<RunServer>(execute(call())).empty()) << "a second one";
  EXPECT_TRUE(effects<RunServer>(tick(80ms)).empty());
  speed(1);
  EXPECT_EQ(effects<RunServer>(LastStep).size(), 2U);
}

TEST_F(SlowGate, StartsAHeldCallWhenWaitingNoLongerHelps) {
  learn();
  speed(5);
  execute(call());
  EXPECT_TRUE(effects<RunServer>(tick(200ms)).empty());
  auto Out = tick(45ms); // 300 ms less the run.
  EXPECT_EQ(effects<RunServer>(Out).size(), 1U) << "late, but not refused";
}

TEST_F(SlowGate, HoldsNothingThatIsInTimeOrLateAnyway) {
  learn();
  speed(3); // 210 ms.
  EXPECT_EQ(effects<RunServer>(execute(call())).size(), 1U);
  speed(5);
  Execute Late = call();
  Late.TargetMicros = Duration(100ms).count();
  EXPECT_EQ(effects<RunServer>(execute(Late)).size(), 1U);
}

// Held calls leave their slots free; what is in time at the present speed was
// refused as if they took them.
TEST_F(SlowGate, AHeldCallIsInNobodysWay) {
  learn();
  speed(5);
  for (int I = 0; I < 6; ++I)
    EXPECT_TRUE(effects<RunServer>(execute(call())).empty());
  Execute Patient = call(true, 1);
  Patient.TargetMicros = Duration(400ms).count();
  EXPECT_EQ(effects<RunServer>(execute(Patient)).size(), 1U);
}

TEST_F(SlowGate, HoldsNothingWhileItDoesNotKnowHowLongStretchesLast) {
  speed(5);
  EXPECT_EQ(effects<RunServer>(execute(call())).size(), 1U);
}

// A server in trouble for seconds is not waited for.
TEST_F(SlowGate, HoldsNothingInALongStretch) {
  learn();
  speed(5);
  Now += 2s;
  EXPECT_EQ(effects<RunServer>(execute(call())).size(), 1U);
  speed(1);
  Now += 300ms;
  speed(5);
  EXPECT_TRUE(effects<RunServer>(execute(call())).empty())
      << "and what is known of short ones stays";
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
