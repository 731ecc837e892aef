// ServerLimitTest.cpp - The request rate that a backend server names is held
// at its gate.

#include "ServerGateFixture.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace figsail;
using namespace figsail::test;

namespace {

/// Time from the first naming of a limit until it must be held.
constexpr Duration ContactTime = 4s;
/// Window in which the requests are counted.
constexpr Duration Window = 4s;

/// Returns how many requests a server with this limit may get in one window.
double allowedRequests(double PerSecond) {
  return 1.5 * PerSecond * std::chrono::duration<double>(Window).count() + 5;
}

/// Returns the largest number of starts in one window that begins at From or
/// later. Starts are in order.
std::size_t mostInOneWindow(const std::vector<TimePoint> &Starts,
                            TimePoint From) {
  std::size_t Most = 0;
  for (auto First = std::ranges::lower_bound(Starts, From);
       First != Starts.end(); ++First) {
    auto Last = std::lower_bound(First, Starts.end(), *First + Window);
    Most = std::max(Most, static_cast<std::size_t>(Last - First));
  }
  return Most;
}

/// A gate whose server ends each run after 100 ms and names its limit.
struct ServerLimitTest : ServerGateTest {
  std::optional<double> Limit; ///< Named in each response.
  bool Leaving = false;        ///< Named in each response.
  std::multimap<TimePoint, RunId> Running;
  std::vector<TimePoint> Starts; ///< Of all calls.
  /// What an ingress has received with its newest answer.
  std::optional<ServerNotice> Known;
  TimePoint KnownAt;
  std::vector<Refused> Refusals;

  ServerRunResult response() const {
    ServerRunResult Result;
    Result.Metadata.Terms.RateLimit = Limit;
    Result.Metadata.Terms.Leaving = Leaving;
    return Result;
  }
  /// Starts the daemon anew. Its runs and all that it knew are lost.
  void restart() {
    Gate = ServerGate(testSettings());
    Running.clear();
    ServiceSettings Service;
    Service.MaxConnections = 200;
    Gate.configure(Service);
    process(sendHeartbeat(++Sequence));
  }
  /// Returns a call of the ingress, with what it knows of the server.
  Execute callOfTheIngress() {
    Execute Message = call();
    Message.Notice = Known;
    if (Known)
      Message.Notice->Age += Now - KnownAt;
    return Message;
  }
  void process(const SidecarEffects &Out) {
    for (const auto &[Host, Message] : messages<Answer>(Out)) {
      Known = Message.Load.Notice;
      KnownAt = Now;
    }
    for (const StartRun &Run : effects<StartRun>(Out)) {
      Starts.push_back(Now);
      Running.emplace(Now + 100ms, Run.Run);
    }
    for (const Refused &Refusal : refusals(Out))
      Refusals.push_back(Refusal);
  }
  /// Advances the time in steps of 1 ms. Calls arrive at the given rate, with a
  /// random time between two.
  void run(Duration Time, double CallsPerSecond, std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    std::exponential_distribution<double> Gap(CallsPerSecond);
    TimePoint End = Now + Time;
    auto NextGap = [&] {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Gap(Random)));
    };
    TimePoint NextCall = Now + NextGap();
    while (Now < End) {
      Now += 1ms;
      for (; NextCall <= Now; NextCall += NextGap())
        process(execute(callOfTheIngress()));
      while (!Running.empty() && Running.begin()->first <= Now) {
        RunId Ended = Running.begin()->second;
        Running.erase(Running.begin());
        process(endRun(Ended, response()));
      }
      process(step([&](GateStep &Step) { Gate.timer(Step); }));
      process(sendHeartbeat(++Sequence));
    }
  }
  std::uint64_t Sequence = 1;
};

// Guards against LIMIT of issue 23: a server got far more requests than the
// limit that it had named.
RC_GTEST_FIXTURE_PROP(ServerLimitTest, HoldsTheLimitInEveryWindow, ()) {
  Limit = *rc::gen::inRange(0, 300) / 10.0;
  double Offered = *rc::gen::inRange(1, 80);
  TimePoint Named = Now;
  run(14s, Offered, *rc::gen::arbitrary<std::uint64_t>());
  std::size_t Most = mostInOneWindow(Starts, Named + ContactTime);
  RC_ASSERT(static_cast<double>(Most) <= allowedRequests(*Limit));
}

// Guards against a limit that a restart of the daemon beside the server
// forgets: the ingresses know it and send it along.
RC_GTEST_FIXTURE_PROP(ServerLimitTest, RestartsOfTheDaemonKeepTheLimit, ()) {
  Limit = *rc::gen::inRange(0, 100) / 10.0;
  TimePoint Named = Now;
  run(5s, 60, 1);
  for (int I = 0; I < 4; ++I) {
    restart();
    run(std::chrono::milliseconds(*rc::gen::inRange(0, 2500)), 60,
        *rc::gen::arbitrary<std::uint64_t>());
  }
  run(5s, 60, 2);
  std::size_t Most = mostInOneWindow(Starts, Named + ContactTime);
  RC_ASSERT(static_cast<double>(Most) <= allowedRequests(*Limit));
}

// Guards against a server that is held at a limit that it no longer names, and
// against an old statement of an ingress that replaces a newer one.
TEST_F(ServerLimitTest, TheNewestStatementOfTheServerCounts) {
  Limit = 2;
  run(4s, 60, 1);
  auto Old = Known;
  ASSERT_EQ(Old->RateLimit, 2.0);
  Limit = 20;
  run(4s, 60, 2);
  Starts.clear();
  run(4s, 60, 3);
  EXPECT_NEAR(static_cast<double>(Starts.size()), 80, 12);
  Execute Late = call();
  Late.Notice = Old;
  Late.Notice->Age = 1ms;
  execute(Late);
  EXPECT_EQ(Gate.load(Now).Notice->RateLimit, 20.0);
  Limit.reset();
  run(1s, 60, 4);
  EXPECT_FALSE(Gate.load(Now).Notice);
  Starts.clear();
  run(4s, 40, 5);
  EXPECT_GT(Starts.size(), 100U) << "no limit holds it back";
}

// Guards against a limit above the one that the server has lowered it to.
RC_GTEST_FIXTURE_PROP(ServerLimitTest, ALowerLimitHoldsAtOnce, ()) {
  Limit = *rc::gen::inRange(10, 40);
  run(6s, 80, *rc::gen::arbitrary<std::uint64_t>());
  Limit = *Limit / *rc::gen::inRange(2, 10);
  run(500ms, 80, 2);
  Starts.clear();
  TimePoint Lowered = Now;
  run(8s, 80, *rc::gen::arbitrary<std::uint64_t>());
  std::size_t Most = mostInOneWindow(Starts, Lowered);
  RC_ASSERT(static_cast<double>(Most) <= allowedRequests(*Limit));
}

// Guards against a limit of a server that another one at its address inherits.
TEST_F(ServerLimitTest, ANewInstanceStartsWithoutALimit) {
  Limit = 1;
  run(2s, 20, 1);
  ASSERT_TRUE(Gate.load(Now).Notice);
  step(
      [&](GateStep &Step) { Gate.heartbeat(Step, heartbeat(1, "i-2", 5000)); });
  EXPECT_FALSE(Gate.load(Now).Notice);
  Execute Old = call();
  Old.Notice = ServerNotice{"i-1", 1000, false, 1.0, 10ms};
  EXPECT_EQ(effects<StartRun>(execute(Old)).size(), 1U);
}

// The same where the daemon knew the former instance from a probe only.
TEST_F(ServerLimitTest, AnInstanceAfterARecoveredOneStartsWithoutALimit) {
  Gate = ServerGate(testSettings());
  Gate.configure(ServiceSettings());
  Gate.expectServer(Now, {"i-1", 0, "booking", 10});
  ServerProbeResult Probe;
  Probe.Healthy = true;
  Probe.Instance = "i-1";
  Probe.Terms.RateLimit = 1;
  step([&](GateStep &Step) { Gate.probeEnded(Step, Probe); });
  ASSERT_EQ(Gate.rateLimit(), 1.0);
  step(
      [&](GateStep &Step) { Gate.heartbeat(Step, heartbeat(1, "i-2", 5000)); });
  EXPECT_FALSE(Gate.rateLimit());
}

// Guards against a limit that ends because its number could not be read.
TEST_F(ServerLimitTest, AnUnusableLimitChangesNothingAndIsLoggedOnce) {
  Limit = 3;
  run(1s, 20, 1);
  ServerRunResult Unusable;
  Unusable.Metadata.Terms.RateLimitUnusable = true;
  std::size_t Lines = 0;
  for (int I = 0; I < 5; ++I) {
    Now += 1s;
    auto Started = effects<StartRun>(execute(call()));
    ASSERT_EQ(Started.size(), 1U);
    if (logged(endRun(Started[0].Run, Unusable), "server-limit-unusable"))
      ++Lines;
  }
  EXPECT_EQ(Lines, 1U);
  EXPECT_EQ(Gate.rateLimit(), 3.0);
}

// Guards against health probes that take what the limit leaves to calls.
TEST_F(ServerLimitTest, ProbesAreFewerThanTheLimit) {
  Limit = 4;
  run(1s, 20, 1);
  EXPECT_LE(probesIn(4s, 50ms), 4U) << "a quarter of the limit";
}

// Guards against a call that is refused although another server may take it,
// and against refused clients that are all told the same time to return.
TEST_F(ServerLimitTest, RefusedCallsAreToldDifferentStarts) {
  Limit = 5;
  run(4s, 60, 1);
  Now += 2s; // No start is booked any more.
  while (refusals(execute(call())).empty()) {
  }
  Execute Flexible = call();
  Flexible.HasAlternative = true;
  Refused First = refusals(execute(Flexible)).at(0);
  EXPECT_EQ(First.Kind, ErrorKind::RateLimited);
  EXPECT_GT(First.Load.TimeToStart, 0ms);
  EXPECT_LE(First.Load.TimeToStart, 1s);
  std::set<Duration> Starts;
  for (int I = 0; I < 4; ++I) {
    Execute Late = call();
    Late.TargetMicros = 1;
    Starts.insert(refusals(execute(Late)).at(0).Load.TimeToStart);
  }
  EXPECT_EQ(Starts.size(), 4U);
}

// Guards against a server whose responses no longer come once it names 0: the
// end of the limit would never be seen.
TEST_F(ServerLimitTest, ALimitOfZeroStillLetsATrialStart) {
  Limit = 0;
  run(6s, 20, 1);
  Starts.clear();
  run(9s, 20, 2);
  EXPECT_GE(Starts.size(), 1U);
  EXPECT_LE(Starts.size(), 3U);
}

} // namespace
