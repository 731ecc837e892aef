// AdmissionTest.cpp - Tests of the admission role against overload, lost or
// duplicated replies and false "not run" refusals.

#include "AdmissionHarness.h"
#include "RetryBudget.h"
#include "WorkspaceQueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;
using namespace std::chrono_literals;

namespace {

/// Answers all running calls, after RunTime.
void answerAll(AdmissionHarness &H, Duration RunTime) {
  H.Now += RunTime;
  auto Running = H.Running;
  for (const auto &[Run, Call] : Running)
    H.answer(Run);
}

/// Runs as many calls as the limit allows until it reaches its upper bound.
void warmUp(AdmissionHarness &H) {
  for (int I = 0; I < 200 && H.LimitTraces.empty(); ++I) {
    while (H.Running.size() < H.AdmissionRole.load().Limit)
      H.execute(CallSpec{});
    answerAll(H, 10ms);
  }
}

/// Sends a number of equal calls.
std::vector<CallId> executeMany(AdmissionHarness &H, std::size_t Count,
                                const CallSpec &Spec) {
  std::vector<CallId> Calls;
  for (std::size_t I = 0; I < Count; ++I)
    Calls.push_back(H.execute(Spec));
  return Calls;
}

} // namespace

// A daemon that is out of service must refuse calls itself, since an ingress
// may not know of it yet.
TEST(Admission, RefusesAtOnceWithTheReason) {
  AdmissionHarness H(10);
  H.Gate.InService = false;
  EXPECT_EQ(H.outcomeOf(H.execute(CallSpec{})), "no-backend-server");
  EXPECT_TRUE(H.AdmissionRole.load().Draining);
  H.Gate.InService = true;
  H.Gate.Listed = false;
  EXPECT_EQ(H.outcomeOf(H.execute({.Idempotent = false})), "stale-epoch");
  EXPECT_EQ(H.outcomeOf(H.execute({.Budget = 0ms})), "deadline-not-run");
  Execute OtherTarget = H.message({});
  OtherTarget.Target = 99;
  EXPECT_EQ(H.outcomeOf(H.execute(OtherTarget)), "wrong-incarnation");
  Execute OtherRegion = H.message({.Idempotent = false});
  OtherRegion.Policy.HomeRegions = {"south"};
  EXPECT_EQ(H.outcomeOf(H.execute(OtherRegion)), "wrong-region");
  EXPECT_TRUE(H.Running.empty());
  H.execute(CallSpec{});
  EffectList Out;
  H.AdmissionRole.drain(H.Now, Out);
  EXPECT_EQ(H.outcomeOf(H.execute(CallSpec{})), "draining");
  EXPECT_EQ(H.Running.size(), 1U);
}

// A request that was never written, or that got a response with the refusal
// status, did not run. Any other request may have run.
TEST(Admission, DistinguishesNotRunFromUnknown) {
  auto OutcomeOf = [](bool Idempotent,
                      std::variant<HttpResponse, BackendError> Result) {
    AdmissionHarness H(10);
    CallId Call = H.execute({.Idempotent = Idempotent});
    H.end(H.Running.begin()->first, std::move(Result));
    return H.outcomeOf(Call);
  };
  for (bool Idempotent : {true, false}) {
    EXPECT_EQ(OutcomeOf(Idempotent, HttpResponse{503, {}, {}}), "overloaded");
    EXPECT_EQ(OutcomeOf(Idempotent, BackendError::NotSent),
              "no-backend-server");
    EXPECT_EQ(OutcomeOf(Idempotent, HttpResponse{500, {}, {}}), "answer");
  }
  EXPECT_EQ(OutcomeOf(true, BackendError::Broken), "backend-failed");
  EXPECT_EQ(OutcomeOf(true, BackendError::Malformed), "backend-failed");
  EXPECT_EQ(OutcomeOf(true, BackendError::TimedOut), "deadline-unknown");
  for (BackendError Error :
       {BackendError::Broken, BackendError::Malformed, BackendError::TimedOut})
    EXPECT_EQ(OutcomeOf(false, Error), "outcome-unknown");
}

// A queued call must not wait beyond its budget, and the timer must not be due
// again at once.
TEST(Admission, RefusesQueuedCallsWhenTheirBudgetEnds) {
  AdmissionHarness H(10);
  executeMany(H, 2, {});
  CallId Waiting = H.execute({.Budget = 50ms});
  EXPECT_EQ(H.outcomeOf(Waiting), "none");
  EXPECT_EQ(H.AdmissionRole.nextWake(), H.Now + 50ms);
  H.timer(50ms);
  EXPECT_EQ(H.outcomeOf(Waiting), "deadline-not-run");
  EXPECT_GT(H.AdmissionRole.nextWake(), H.Now);
}

// A call that would wait longer than its budget must be refused at once.
TEST(Admission, RefusesWhenTheEstimatedWaitExceedsTheBudget) {
  AdmissionHarness H(2);
  executeMany(H, 1, {});
  H.answerOldest(100ms);
  executeMany(H, 4, {});
  EXPECT_EQ(H.outcomeOf(H.execute({.Budget = 140ms})), "overloaded");
  EXPECT_EQ(H.outcomeOf(H.execute({.Budget = 160ms})), "none");
}

// A resent Execute must not run twice, and a call whose answer was lost must
// not be reported as "not run".
TEST(Admission, RecognizesResentCalls) {
  AdmissionHarness H(10);
  Execute Message = H.message({});
  H.execute(Message);
  H.execute(Message);
  EXPECT_EQ(H.Running.size(), 1U);
  H.answerOldest(10ms);
  EffectList Out;
  H.AdmissionRole.await(H.Now, H.Ingress, Await{Message.Call, {}}, Out);
  ASSERT_EQ(Out.size(), 1U);
  EXPECT_TRUE(
      std::holds_alternative<Failed>(std::get<SendPeer>(Out[0]).Message));
  // A call that was reported as never started must not start later.
  Execute Late = H.message({});
  H.AdmissionRole.await(H.Now, H.Ingress, Await{Late.Call, {}}, Out);
  EXPECT_EQ(H.outcomeOf(H.execute(Late)), "never-started");
  EXPECT_TRUE(H.Running.empty());
}

// Repeated Awaits of a running call without a grant must never be answered with
// "never started".
TEST(Admission, AwaitOfARunningNonIdempotentCallIsNotFinal) {
  AdmissionHarness H(10);
  CallId Call = H.execute({.Idempotent = false});
  for (int I = 0; I < 2; ++I) {
    EffectList Out;
    H.AdmissionRole.await(H.Now, H.Ingress, Await{Call, {}}, Out);
    ASSERT_FALSE(Out.empty());
    EXPECT_TRUE(
        std::holds_alternative<Received>(std::get<SendPeer>(Out[0]).Message));
  }
}

// The load of a server that becomes cold must drop within as many completions
// as its limit, and the timeline must not record every change of the limit.
TEST(Admission, LatencyJumpLowersTheLimit) {
  AdmissionHarness H(10);
  warmUp(H);
  ASSERT_EQ(H.AdmissionRole.load().Limit, 10U);
  executeMany(H, 10, {});
  answerAll(H, 100ms);
  EXPECT_LE(H.AdmissionRole.load().Limit, 5U);
  EXPECT_LE(H.LimitTraces.size(), 3U);
}

// A reset connection shows that the server restarted and is cold.
TEST(Admission, DisconnectionLowersTheLimitToItsInitialValue) {
  AdmissionHarness H(10);
  warmUp(H);
  executeMany(H, 1, {});
  H.end(H.Running.begin()->first, BackendError::NotSent);
  EXPECT_EQ(H.AdmissionRole.load().Limit, 2U);
  EXPECT_EQ(H.LimitTraces.back(), "2");
}

// A server that fails fast must not attract calls through its short queue.
TEST(Admission, FastFailuresHoldTheLimitAtOneAndReportABusyServer) {
  for (bool Refuses : {true, false}) {
    AdmissionHarness H(10);
    warmUp(H);
    for (int I = 0; I < 20; ++I) {
      H.execute(CallSpec{});
      RunId Run = H.Running.begin()->first;
      if (Refuses)
        H.end(Run, BackendError::NotSent);
      else
        H.answer(Run, 500);
    }
    EXPECT_EQ(H.AdmissionRole.load().Limit, 1U);
    EXPECT_GE(H.AdmissionRole.load().Running, H.AdmissionRole.load().Limit);
    executeMany(H, 3, {});
    EXPECT_EQ(H.Running.size(), 1U);
    // Eleven successful answers remove enough failures from the window.
    for (int I = 0; I < 11; ++I) {
      H.answerOldest(10ms);
      H.execute(CallSpec{});
    }
    EXPECT_GT(H.AdmissionRole.load().Limit, 1U);
  }
}

// A workspace with many calls must not use the share of another one.
TEST(Admission, WorkspacesAreServedByShareDuringABurst) {
  AdmissionHarness H(10, 40);
  warmUp(H);
  std::vector<CallId> Noisy = executeMany(H, 100, {.Workspace = "/noisy"});
  std::vector<CallId> Quiet =
      executeMany(H, 30, {.Workspace = "/quiet", .Share = 3});
  EXPECT_EQ(H.outcomeOf(Noisy.back()), "overloaded");
  // The quiet workspace may use 30 of the 40 places, so all of its calls wait.
  EXPECT_EQ(std::ranges::count(Quiet, "none",
                               [&](CallId Call) { return H.outcomeOf(Call); }),
            30);
  EXPECT_EQ(H.outcomeOf(H.execute({.Workspace = "/noisy"})),
            "workspace-overloaded");
  while (H.answered(Quiet) + H.answered(Noisy) < 20)
    H.answerOldest(1ms);
  // The first ten calls ran already. Of the next ten, three in four are of the
  // quiet workspace.
  EXPECT_EQ(H.Running.size(), 10U);
  std::size_t QuietStarted = H.answered(Quiet);
  for (const auto &[Run, Call] : H.Running)
    QuietStarted += std::ranges::count(Quiet, Call);
  EXPECT_GE(QuietStarted, 14U);
  EXPECT_LE(QuietStarted, 16U);
}

// While all workspaces have queued calls, each must be served by its share at
// any moment, not only in the long run.
RC_GTEST_PROP(WorkspaceQueueProperty, ServesByShareWhileAllWait, ()) {
  auto Shares = *rc::gen::container<std::vector<std::uint32_t>>(
      *rc::gen::inRange<std::size_t>(2, 5), rc::gen::inRange(1U, 9U));
  WorkspaceQueue Queue(100000);
  std::uint64_t Sequence = 0;
  std::uint32_t Sum = 0;
  for (std::size_t W = 0; W < Shares.size(); ++W) {
    Sum += Shares[W];
    for (int I = 0; I < 300; ++I)
      Queue.push(std::to_string(W), Shares[W], {W, ++Sequence}, TimePoint{});
  }
  std::vector<int> Served(Shares.size());
  for (int Pops = 1; Pops <= 200; ++Pops) {
    ++Served[Queue.pop([](const CallId &) { return true; })->Ingress];
    for (std::size_t W = 0; W < Shares.size(); ++W) {
      double Expected = static_cast<double>(Pops) * Shares[W] / Sum;
      RC_ASSERT(std::abs(Served[W] - Expected) <=
                static_cast<double>(Shares.size()));
    }
  }
}

// A server is probed only if it has had no traffic for some time.
TEST(Admission, ProbesOnlyWhenIdle) {
  AdmissionHarness H(10);
  H.execute(CallSpec{});
  H.timer(5s);
  EXPECT_EQ(H.Probes, 0U);
  H.answerOldest(0ms);
  EXPECT_EQ(H.AdmissionRole.nextWake(), H.Now + 1s);
  H.timer(1s);
  EXPECT_EQ(H.Probes, 1U);
}

RC_GTEST_PROP(AdmissionProperty, ProbesStayWithinTheBudget, ()) {
  AdmissionHarness H(10);
  TimePoint Begin = H.Now;
  auto Steps =
      *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(1, 1500));
  for (int Step : Steps) {
    // Some steps call the timer before nextWake().
    H.timer(Step * 1ms);
    EffectList Out;
    H.AdmissionRole.probeDone(H.Now, {Step % 5 != 0, 1ms}, Out);
  }
  double Seconds = std::chrono::duration<double>(H.Now - Begin).count();
  RC_ASSERT(static_cast<double>(H.Probes) <= 1 + 0.5 * Seconds);
}

RC_GTEST_PROP(RetryBudgetProperty, RetriesStayWithinTheBudget, ()) {
  RetryBudget Budget;
  TimePoint Now{1000s};
  TimePoint Begin = Now;
  double Calls = 0;
  double Retries = 0;
  auto Steps =
      *rc::gen::container<std::vector<int>>(500, rc::gen::inRange(0, 12));
  for (int Step : Steps) {
    Now += Duration(Step * 4000);
    if (Step % 2) {
      Budget.recordCall(Now, "/s");
      ++Calls;
    } else if (Budget.take(Now, "/s")) {
      ++Retries;
    }
  }
  double Seconds = std::chrono::duration<double>(Now - Begin).count();
  RC_ASSERT(Retries <= RetryLimits().Burst + 0.1 * Calls + 3 * Seconds + 1e-6);
}

// A server that starts cold, or fails at random, must never run more than its
// limit or its slots; each call must get exactly one final reply; a fenced
// call must not start.
RC_GTEST_PROP(AdmissionProperty, EveryCallEndsOnceWithinTheLimits, ()) {
  auto Slots = *rc::gen::inRange<std::uint32_t>(1, 12);
  AdmissionHarness H(Slots, *rc::gen::inRange<std::uint32_t>(0, 8));
  std::vector<CallId> Calls;
  auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      300, rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(0, 100)));
  for (auto [Kind, Choice] : Steps) {
    if (Kind < 9) {
      CallSpec Spec;
      Spec.Workspace = Choice % 3 ? "/a" : "/b";
      Spec.Share = Choice % 3 + 1;
      Spec.Idempotent = Kind < 5;
      Spec.Keyed = Kind >= 7;
      Spec.Fingerprint = Choice % 7;
      Spec.Budget = Choice * 5ms;
      Calls.push_back(H.execute(Spec));
    } else if (Kind < 16 && !H.Running.empty()) {
      H.Now += Duration(Choice * 300);
      auto Index = static_cast<std::ptrdiff_t>(Choice % H.Running.size());
      RunId Run = std::next(H.Running.begin(), Index)->first;
      if (Choice < 60)
        H.answer(Run, Choice % 5 ? 200 : 500 + Choice % 4);
      else
        H.end(Run, static_cast<BackendError>(Choice % 4));
    } else if (Kind == 16 && !Calls.empty()) {
      H.cancel(Calls[Choice % Calls.size()]);
    } else if (Kind == 17) {
      H.fence();
    } else {
      H.timer(Duration(Choice * 100));
    }
    RC_ASSERT(H.AdmissionRole.load().Limit <= Slots);
    RC_ASSERT(H.AdmissionRole.load().Limit >= 1U);
    RC_ASSERT(H.Running.size() <= Slots);
    RC_ASSERT(H.StartsAboveLimit == 0U);
    RC_ASSERT(H.FencedStarts == 0U);
  }
  while (!H.Running.empty())
    H.answerOldest(1ms);
  H.timer(10s);
  RC_ASSERT(H.AdmissionRole.idle());
  std::size_t WithoutReply = 0;
  for (const CallId &Call : Calls) {
    WithoutReply += H.Outcomes.contains(Call) ? 0 : 1;
    RC_ASSERT(!H.Outcomes.contains(Call) || H.Outcomes[Call].size() == 1U);
  }
  RC_ASSERT(WithoutReply == H.CancelRuns);
}
