// AtMostOnceTest.cpp - Tests against a second run of a non-idempotent request,
// a false "not run", and a takeover that never ends.

#include "AtMostOnceHarness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace figsail;
using namespace figsail::harness;

namespace {

const HostPlacement A1{"a", "a1"}, A2{"a", "a2"}, B1{"b", "b1"}, B2{"b", "b2"};
constexpr std::size_t RunLength = 1500;

std::vector<Scenario> scenarios() {
  return {{{A1}, {{}}},                             // one member
          {{A1, A1, A1}, {{}}},                     // one failure domain
          {{A1, A1, A2, A2}, {{}, {"a"}}},          // two failure domains
          {{A1, A2, B1, B2, A1, B1}, {{}, {"a"}}}}; // two regions
}

/// Returns a scenario with many changes of the member list between exchanges
/// that mostly succeed. Faults in takeovers show in such scenarios.
Scenario orderly(std::size_t Index) {
  Scenario Setup = scenarios()[Index];
  Setup.Orderly = true;
  Setup.MaxRequests = 20;
  return Setup;
}

/// Returns the first violation in a run of random steps, or an empty text.
std::string firstViolation(SimulatedCluster &Cluster, std::uint64_t Seed,
                           std::size_t Length) {
  std::mt19937_64 Random(Seed);
  for (std::size_t I = 0; I < Length && Cluster.violation().empty(); ++I) {
    Step Next;
    Next.Kind = static_cast<std::uint32_t>(Random());
    Next.A = static_cast<std::uint32_t>(Random());
    Next.B = static_cast<std::uint32_t>(Random());
    Cluster.perform(Next);
  }
  return Cluster.violation();
}

} // namespace

TEST(AtMostOnce, HoldsUnderRandomFaults) {
  Counts Total;
  bool Held = rc::check([&] {
    auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    auto Length = *rc::gen::inRange<std::size_t>(RunLength / 2, RunLength);
    auto Index = *rc::gen::inRange<std::size_t>(0, scenarios().size());
    bool Orderly = *rc::gen::arbitrary<bool>();
    SimulatedCluster Cluster(Orderly ? orderly(Index) : scenarios()[Index]);
    std::string Violation = firstViolation(Cluster, Seed, Length);
    Total.Answered += Cluster.counts().Answered;
    Total.Held += Cluster.counts().Held;
    Total.Replayed += Cluster.counts().Replayed;
    Total.Released += Cluster.counts().Released;
    Total.Fenced += Cluster.counts().Fenced;
    Total.GrantsAfterTakeover += Cluster.counts().GrantsAfterTakeover;
    RC_ASSERT(Violation == "");
  });
  EXPECT_TRUE(Held);
  // The checks below ensure that the simulations exercised each mechanism.
  EXPECT_GT(Total.Answered, 100U);
  EXPECT_GT(Total.Held, 100U);
  EXPECT_GT(Total.Replayed, 10U);
  EXPECT_GT(Total.Released, 100U);
  EXPECT_GT(Total.Fenced, 10U);
  EXPECT_GT(Total.GrantsAfterTakeover, 10U);
}

namespace {

struct MechanismCase {
  const char *Name;
  bool DisabledMechanisms::*Mechanism;
  std::uint64_t Seed; ///< Of a simulation with a violation.
};

class Checker : public testing::TestWithParam<MechanismCase> {};

} // namespace

// The checker must detect the violation that each mechanism prevents.
TEST_P(Checker, FindsAViolationWithoutTheMechanism) {
  Scenario Setup = orderly(2);
  SimulatedCluster Protected(Setup);
  EXPECT_EQ(firstViolation(Protected, GetParam().Seed, RunLength), "");
  Setup.Disabled.*GetParam().Mechanism = true;
  SimulatedCluster Unprotected(Setup);
  std::string Violation =
      firstViolation(Unprotected, GetParam().Seed, RunLength);
  EXPECT_NE(Violation, "");
  RecordProperty("Violation", Violation);
  std::printf("without %s: %s\n", GetParam().Name, Violation.c_str());
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, Checker,
    testing::Values(
        MechanismCase{"FenceCheck", &DisabledMechanisms::FenceCheck, 44},
        MechanismCase{"AckWait", &DisabledMechanisms::AckWait, 0},
        MechanismCase{"Complete", &DisabledMechanisms::Complete, 5},
        MechanismCase{"FinalMarks", &DisabledMechanisms::FinalMarks, 0},
        MechanismCase{"ExecutorIncarnation",
                      &DisabledMechanisms::ExecutorIncarnation, 0},
        MechanismCase{"OwnIncarnation", &DisabledMechanisms::OwnIncarnation, 0},
        MechanismCase{"DomainRule", &DisabledMechanisms::DomainRule, 63},
        MechanismCase{"FreshCallIds", &DisabledMechanisms::FreshCallIds, 5},
        MechanismCase{"ReleasedToken", &DisabledMechanisms::ReleasedToken,
                      491}),
    [](const auto &Case) { return std::string(Case.param.Name); });

// Kills both hosts of a failure domain and resends every request.
static SimulatedCluster afterLostDomain(bool RuleDisabled) {
  Scenario Setup = scenarios()[2];
  Setup.Disabled.DomainRule = RuleDisabled;
  SimulatedCluster Cluster(Setup);
  for (std::size_t I = 0; I < 40; ++I)
    Cluster.submit(I, Cluster.addRequest(0, true));
  Cluster.settle();
  for (const char *Host : {"m0", "m1"}) {
    Cluster.kill(Host);
    Cluster.setListed(Host, false);
  }
  Cluster.settle();
  for (std::size_t I = 0; I < 40; ++I)
    Cluster.submit(I + 1, I);
  Cluster.settle();
  return Cluster;
}

TEST(AtMostOnceProgress, LostFailureDomainLosesNoRecord) {
  SimulatedCluster Cluster = afterLostDomain(false);
  EXPECT_EQ(Cluster.violation(), "");
  EXPECT_EQ(Cluster.counts().Runs, 40U);
  EXPECT_EQ(Cluster.counts().Answered + Cluster.counts().Unknown, 80U);
  EXPECT_GE(Cluster.counts().Answered, 60U)
      << "an answer is lost only with the executor that ran it";
}

TEST(AtMostOnceProgress, LostFailureDomainWithoutTheRuleRunsTwice) {
  EXPECT_NE(afterLostDomain(true).violation(), "");
}

TEST(AtMostOnceProgress, EveryRequestIsAnsweredWithoutFaults) {
  for (const Scenario &Setup : scenarios()) {
    SimulatedCluster Cluster(Setup);
    for (std::size_t I = 0; I < 60; ++I) {
      Cluster.submit(I, Cluster.addRequest(I, I % 5 != 0));
      if (Cluster.requests()[I].Keyed)
        Cluster.submit(I + 1, I);
    }
    Cluster.settle();
    EXPECT_EQ(Cluster.counts().Runs, 60U);
    EXPECT_EQ(Cluster.counts().Answered, Cluster.counts().Submitted);
    EXPECT_EQ(Cluster.violation(), "");
  }
}

TEST(AtMostOnceProgress, NewKeysAreGrantedAfterOneMemberFailed) {
  for (const Scenario &Setup : scenarios()) {
    for (std::size_t Failed = 0; Failed < Setup.Hosts.size(); ++Failed) {
      if (Setup.Hosts.size() == 1)
        continue;
      SimulatedCluster Cluster(Setup);
      for (std::size_t I = 0; I < 30; ++I)
        Cluster.submit(I, Cluster.addRequest(I, true));
      Cluster.settle();
      HostId Host = "m" + std::to_string(Failed);
      Cluster.kill(Host);
      Cluster.setListed(Host, false);
      Cluster.settle();
      std::size_t Before = Cluster.counts().Answered;
      for (std::size_t I = 0; I < 30; ++I)
        Cluster.submit(I, Cluster.addRequest(I, true));
      Cluster.settle();
      EXPECT_EQ(Cluster.counts().Answered - Before, 30U) << Host;
      EXPECT_EQ(Cluster.violation(), "");
    }
  }
}

// A restarted member begins with a snapshot and needs complete acknowledgements
// from the others.
TEST(AtMostOnceProgress, RollingRestartKeepsGranting) {
  for (const Scenario &Setup : scenarios()) {
    if (Setup.Hosts.size() == 1)
      continue;
    SimulatedCluster Cluster(Setup);
    for (std::size_t I = 0; I < Setup.Hosts.size(); ++I) {
      HostId Host = "m" + std::to_string(I);
      Cluster.setListed(Host, false); // It hands over its records.
      Cluster.settle();
      Cluster.restart(Host, true);
      Cluster.setListed(Host, true);
      Cluster.settle();
      std::size_t Before = Cluster.counts().Answered;
      for (std::size_t J = 0; J < 20; ++J)
        Cluster.submit(J, Cluster.addRequest(J, true));
      Cluster.settle();
      EXPECT_EQ(Cluster.counts().Answered - Before, 20U) << Host;
    }
    EXPECT_EQ(Cluster.violation(), "");
  }
}

// A paused member resumes after its removal, with claims still in flight.
TEST(AtMostOnceProgress, ReturningMemberCausesNoSecondRun) {
  SimulatedCluster Cluster(scenarios()[2]);
  for (std::size_t I = 0; I < 30; ++I)
    Cluster.submit(I, Cluster.addRequest(0, true));
  Cluster.pause("m0", true);
  Cluster.setListed("m0", false);
  Cluster.settle();
  for (std::size_t I = 0; I < 30; ++I)
    Cluster.submit(I + 1, I);
  Cluster.settle();
  Cluster.pause("m0", false);
  Cluster.settle();
  Cluster.setListed("m0", true);
  Cluster.settle();
  for (std::size_t I = 0; I < 30; ++I)
    Cluster.submit(I + 2, I);
  Cluster.settle();
  EXPECT_EQ(Cluster.violation(), "");
  EXPECT_EQ(Cluster.counts().Runs, 30U);
}
