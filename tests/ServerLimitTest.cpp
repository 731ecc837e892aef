// ServerLimitTest.cpp - The request rate that a backend server names is held
// at its gate.

#include "ServerGateFixture.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

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
  std::vector<TimePoint> Starts;
  std::vector<Refused> Refusals;

  ServerRunResult response() const {
    ServerRunResult Result;
    Result.Metadata.Terms.RateLimit = Limit;
    Result.Metadata.Terms.Leaving = Leaving;
    return Result;
  }
  void process(const SidecarEffects &Out) {
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
        process(execute(call()));
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

} // namespace
