// QuotaRecoveryTest.cpp - Quotas of workspaces after a loss of all hosts.

#include "QuotaCluster.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t HostCount = 86;
/// Time in which the hosts return.
constexpr Duration ReturnTime = 1500ms;
/// Time after the hosts' return in which service must be back.
constexpr Duration RecoveryTime = 15s;
constexpr Duration MeasuredTime = 5s;
/// Part of the requests below the quota that may be refused after it.
constexpr double MaxRefused = 0.02;

/// Hosts that serve one large and some small workspaces, each at five eighths
/// of its quota. Some hosts are lost for good, then all others lose power and
/// return one after the other.
class RestartedFleet : public QuotaCluster {
public:
  explicit RestartedFleet(std::uint64_t Seed) : QuotaCluster(HostCount, Seed) {
    std::mt19937_64 Random(Seed);
    GoneCount = 1 + Random() % 10;
    Gone.resize(HostCount);
    for (std::size_t I = 0; I < GoneCount;) {
      std::size_t At = Random() % HostCount;
      I += Gone[At] ? 0 : 1;
      Gone[At] = true;
    }
    addWorkspace("large", 264);
    for (int I = 0; I < 4; ++I)
      addWorkspace("small" + std::to_string(I), 4 + 4.0 * I);
    run(3s);
    Cut = [this](std::size_t From, std::size_t To) {
      return Down[From] || Down[To];
    };
    Down = Gone;
    Frozen = Down;
    run(between(Random, 0s, 6s));
    loseAll();
    run(between(Random, 500ms, 2s));
    returnAll(Random);
  }

  /// Returns the part of the requests of all workspaces that is refused in the
  /// next Time.
  double refusedPart(Duration Time) {
    TimePoint From = Now;
    Refused.clear();
    run(Time);
    std::size_t AllRefused = 0;
    std::size_t AllAdmitted = 0;
    for (const std::string &Name : Names) {
      AllRefused += Refused[Name];
      AllAdmitted += admitted(Name, From, Now);
    }
    return static_cast<double>(AllRefused) /
           static_cast<double>(AllRefused + AllAdmitted);
  }
  double largestExcess() const {
    double Worst = -1e9;
    for (const std::string &Name : Names)
      Worst = std::max(Worst, excess(Name));
    return Worst;
  }

  std::size_t GoneCount = 0;

private:
  void addWorkspace(const std::string &Name, double Rate) {
    Names.push_back(Name);
    limit(Name, Rate, Rate);
    load(Name, Rate * 5 / 8, 0, HostCount);
  }
  static Duration between(std::mt19937_64 &Random, Duration Low,
                          Duration High) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        Low.count(), High.count())(Random));
  }
  void loseAll() {
    dropMessages();
    Down.assign(HostCount, true);
    Frozen = Down;
  }
  void returnAll(std::mt19937_64 &Random) {
    std::multimap<TimePoint, std::size_t> Returns;
    for (std::size_t At = 0; At < HostCount; ++At)
      if (!Gone[At])
        Returns.emplace(Now + between(Random, 0s, ReturnTime), At);
    for (const auto &[Due, At] : Returns) {
      if (Due > Now)
        run(Due - Now);
      Down[At] = Frozen[At] = false;
      restart(At);
    }
  }

  std::vector<std::string> Names;
  std::vector<bool> Gone;
  std::vector<bool> Down; ///< Includes those that are gone.
};

/// Hosts that serve one workspace, with its requests at some of them. Then its
/// coordinator is lost, and these hosts are cut off from the others.
class PartitionedFleet : public QuotaCluster {
public:
  explicit PartitionedFleet(std::uint64_t Seed)
      : QuotaCluster(HostCount, Seed) {
    limit("w", Rate, Rate);
    load("w", Seed % 2 == 0 ? 200 : 600, 0, SmallSide);
  }
  void loseCoordinatorAndCut() {
    run(5s);
    std::size_t Lost = coordinator("w");
    Frozen[Lost] = true;
    Cut = [=](std::size_t From, std::size_t To) {
      return From == Lost || To == Lost ||
             (From < SmallSide) != (To < SmallSide);
    };
    run(1s);
    load("w", 600, 0, HostCount);
    run(15s);
  }
  /// Returns the fraction of the quota that is admitted in the next seconds.
  double givenOut() {
    TimePoint From = Now;
    run(MeasuredTime);
    return static_cast<double>(admitted("w", From, Now)) /
           (Rate * std::chrono::duration<double>(MeasuredTime).count());
  }

private:
  static constexpr std::size_t SmallSide = 26;
  static constexpr double Rate = 264;
};

struct QuotaRecoveryTest : testing::TestWithParam<std::uint64_t> {};

} // namespace

// Guards against RECOVER (issue 51): after a loss of all hosts, a coordinator
// that took over gave out next to nothing as long as a host that was lost for
// good was announced.
TEST_P(QuotaRecoveryTest, RequestsBelowTheQuotaAreServedAgain) {
  RestartedFleet Fleet(GetParam());
  Fleet.run(RecoveryTime);
  EXPECT_LE(Fleet.refusedPart(MeasuredTime), MaxRefused)
      << Fleet.GoneCount << " hosts gone";
  EXPECT_LE(Fleet.largestExcess(), 0);
}

// Guards against a quota that is given out twice once hosts have been
// unreachable for long: the smaller side of the partition holds almost all
// shares.
TEST_P(QuotaRecoveryTest, APartitionWithoutTheCoordinatorStaysWithinTheBound) {
  PartitionedFleet Fleet(GetParam());
  Fleet.load("w", 40, 0, HostCount);
  Fleet.loseCoordinatorAndCut();
  EXPECT_LE(Fleet.excess("w"), 0);
  EXPECT_GE(Fleet.givenOut(), 0.9);
  EXPECT_LE(Fleet.excess("w"), 0);
}

// Guards against the same where the larger side holds no share: its coordinator
// does not learn that there was another one.
TEST_P(QuotaRecoveryTest, APartitionWithAnIdleSideStaysWithinTheBound) {
  PartitionedFleet Fleet(GetParam());
  Fleet.loseCoordinatorAndCut();
  EXPECT_LE(Fleet.excess("w"), 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaRecoveryTest,
                         testing::Range<std::uint64_t>(1, 41));
