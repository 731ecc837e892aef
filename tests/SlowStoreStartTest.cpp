// SlowStoreStartTest.cpp - Tests of daemons that start while the store answers
// slowly.

#include "StartingFleet.h"

#include <cmath>
#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

/// Time after the hosts' return in which service must be back.
constexpr Duration RecoveryTime = 15s;
/// The same if calls are also lost or refused.
constexpr Duration RecoveryTimeWithLosses = 60s;
constexpr std::size_t LeastHosts = 4;
constexpr std::size_t MostHosts = 300;

/// A fleet whose size, and whose store's answer time from 4 ms to 10 s, are
/// drawn by the seed, each factor of it as likely as the others.
struct DrawnFleet {
  explicit DrawnFleet(std::uint64_t Seed) : Random(Seed), Seed(Seed) {
    Hosts = static_cast<std::size_t>(drawn(LeastHosts, MostHosts));
    Store.AnswerTime =
        Duration(static_cast<Duration::rep>(1e6 * drawn(0.004, 10)));
  }
  double drawn(double Low, double High) {
    double Part = std::uniform_real_distribution<double>(0, 1)(Random);
    return Low * std::pow(High / Low, Part);
  }
  std::unique_ptr<StartingFleet> start() const {
    return std::make_unique<StartingFleet>(Hosts, Store, Seed);
  }
  friend std::ostream &operator<<(std::ostream &Out, const DrawnFleet &Drawn) {
    return Out << Drawn.Hosts << " hosts, answers in "
               << Drawn.Store.AnswerTime / 1ms << " ms, "
               << Drawn.Store.LostAnswers << " of them lost, "
               << Drawn.Store.ReadsPerSecond << " reads a second";
  }

  std::mt19937_64 Random;
  std::uint64_t Seed;
  std::size_t Hosts = 0;
  SlowStore Store;
};

struct SlowStoreStartTest : testing::TestWithParam<std::uint64_t> {};

} // namespace

// Guards against RECOVER (issue 51): with answers slower than the timeout of a
// call, no daemon that started ever became ready.
TEST_P(SlowStoreStartTest, EachDaemonBecomesReady) {
  DrawnFleet Drawn(GetParam());
  auto Fleet = Drawn.start();
  Fleet->runUntilReady(RecoveryTime);
  EXPECT_EQ(Fleet->readyCount(), Drawn.Hosts) << Drawn;
}

// Guards against the same while answers are lost, or calls refused since there
// are too many.
TEST_P(SlowStoreStartTest, EachDaemonBecomesReadyDespiteLosses) {
  DrawnFleet Drawn(GetParam());
  Drawn.Store.LostAnswers = Drawn.drawn(0.01, 0.1);
  Drawn.Store.ReadsPerSecond = static_cast<unsigned>(Drawn.drawn(50, 2000));
  auto Fleet = Drawn.start();
  Fleet->runUntilReady(RecoveryTimeWithLosses);
  EXPECT_EQ(Fleet->readyCount(), Drawn.Hosts) << Drawn;
}

// Guards against a hedged read that is itself too short: its timeout doubles up
// to a minute.
TEST(LongAnswersTest, EachDaemonBecomesReady) {
  for (Duration AnswerTime : {14s, 20s, 40s, 55s}) {
    StartingFleet Fleet(LeastHosts, {AnswerTime}, 1);
    Fleet.runUntilReady(MaxHedgeTimeout * 3);
    EXPECT_EQ(Fleet.readyCount(), LeastHosts) << AnswerTime / 1s << " s";
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, SlowStoreStartTest,
                         testing::Range<std::uint64_t>(1, 31));
