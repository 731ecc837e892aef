// AtMostOnceTest.cpp - Guards against a second run of a non-idempotent request,
// against false "not run", and against takeovers that never end.

#include "AtMostOnceHarness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace figsail;
using namespace figsail::harness;

namespace {

const Place A1{"a", "a1"}, A2{"a", "a2"}, B1{"b", "b1"}, B2{"b", "b2"};
constexpr std::size_t RunLength = 1500;

std::vector<Scenario> scenarios() {
  return {{{A1}, {{}}},                             // one member
          {{A1, A1, A1}, {{}}},                     // one failure domain
          {{A1, A1, A2, A2}, {{}, {"a"}}},          // two failure domains
          {{A1, A2, B1, B2, A1, B1}, {{}, {"a"}}}}; // two regions
}

/// Returns a scenario with many list changes between exchanges that mostly
/// succeed, which is where takeovers go wrong.
Scenario orderly(std::size_t Index) {
  Scenario Plan = scenarios()[Index];
  Plan.Orderly = true;
  Plan.MaxRequests = 20;
  return Plan;
}

/// Returns the first violation in a run of random steps, or an empty text.
std::string firstViolation(World &Under, std::uint64_t Seed,
                           std::size_t Length) {
  std::mt19937_64 Random(Seed);
  for (std::size_t I = 0; I < Length && Under.violation().empty(); ++I) {
    Step Next;
    Next.Kind = static_cast<std::uint32_t>(Random());
    Next.A = static_cast<std::uint32_t>(Random());
    Next.B = static_cast<std::uint32_t>(Random());
    Under.perform(Next);
  }
  return Under.violation();
}

} // namespace

TEST(AtMostOnce, HoldsUnderRandomFaults) {
  Counts Total;
  bool Held = rc::check([&] {
    auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    auto Length = *rc::gen::inRange<std::size_t>(RunLength / 2, RunLength);
    auto Index = *rc::gen::inRange<std::size_t>(0, scenarios().size());
    bool Orderly = *rc::gen::arbitrary<bool>();
    World Under(Orderly ? orderly(Index) : scenarios()[Index]);
    std::string Violation = firstViolation(Under, Seed, Length);
    Total.Answered += Under.counts().Answered;
    Total.Held += Under.counts().Held;
    Total.Replayed += Under.counts().Replayed;
    Total.Released += Under.counts().Released;
    Total.Fenced += Under.counts().Fenced;
    Total.GrantsAfterTakeover += Under.counts().GrantsAfterTakeover;
    RC_ASSERT(Violation == "");
  });
  EXPECT_TRUE(Held);
  // A run in which nothing happens proves nothing.
  EXPECT_GT(Total.Answered, 100U);
  EXPECT_GT(Total.Held, 100U);
  EXPECT_GT(Total.Replayed, 10U);
  EXPECT_GT(Total.Released, 100U);
  EXPECT_GT(Total.Fenced, 10U);
  EXPECT_GT(Total.GrantsAfterTakeover, 10U);
}

namespace {

struct DefeatCase {
  const char *Name;
  bool Defeat::*Mechanism;
  std::uint64_t Seed; ///< Of a run in which the checker finds a violation.
};

class Checker : public testing::TestWithParam<DefeatCase> {};

} // namespace

// The checker must be able to see each fault that a mechanism prevents.
TEST_P(Checker, FindsAViolationWithoutTheMechanism) {
  Scenario Plan = orderly(2);
  World Sound(Plan);
  EXPECT_EQ(firstViolation(Sound, GetParam().Seed, RunLength), "");
  Plan.Without.*GetParam().Mechanism = true;
  World Defeated(Plan);
  std::string Violation = firstViolation(Defeated, GetParam().Seed, RunLength);
  EXPECT_NE(Violation, "");
  RecordProperty("Violation", Violation);
  std::printf("without %s: %s\n", GetParam().Name, Violation.c_str());
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, Checker,
    testing::Values(DefeatCase{"FenceCheck", &Defeat::FenceCheck, 44},
                    DefeatCase{"AckWait", &Defeat::AckWait, 0},
                    DefeatCase{"Complete", &Defeat::Complete, 5},
                    DefeatCase{"FinalMarks", &Defeat::FinalMarks, 0},
                    DefeatCase{"ExecutorIncarnation",
                               &Defeat::ExecutorIncarnation, 0},
                    DefeatCase{"OwnIncarnation", &Defeat::OwnIncarnation, 0},
                    DefeatCase{"DomainRule", &Defeat::DomainRule, 63},
                    DefeatCase{"FreshCallIds", &Defeat::FreshCallIds, 5},
                    DefeatCase{"ReleasedToken", &Defeat::ReleasedToken, 491}),
    [](const auto &Case) { return std::string(Case.param.Name); });

// Both hosts of a failure domain are lost; every request is repeated.
static World afterLostDomain(bool WithoutRule) {
  Scenario Plan = scenarios()[2];
  Plan.Without.DomainRule = WithoutRule;
  World Under(Plan);
  for (std::size_t I = 0; I < 40; ++I)
    Under.submit(I, Under.addRequest(0, true));
  Under.settle();
  for (const char *Host : {"m0", "m1"}) {
    Under.kill(Host);
    Under.setListed(Host, false);
  }
  Under.settle();
  for (std::size_t I = 0; I < 40; ++I)
    Under.submit(I + 1, I);
  Under.settle();
  return Under;
}

TEST(AtMostOnceProgress, LostFailureDomainLosesNoRecord) {
  World Under = afterLostDomain(false);
  EXPECT_EQ(Under.violation(), "");
  EXPECT_EQ(Under.counts().Runs, 40U);
  EXPECT_EQ(Under.counts().Answered + Under.counts().Unknown, 80U);
  EXPECT_GE(Under.counts().Answered, 60U)
      << "an answer is lost only with the executor that ran it";
}

TEST(AtMostOnceProgress, LostFailureDomainWithoutTheRuleRunsTwice) {
  EXPECT_NE(afterLostDomain(true).violation(), "");
}

TEST(AtMostOnceProgress, EveryRequestIsAnsweredWithoutFaults) {
  for (const Scenario &Plan : scenarios()) {
    World Under(Plan);
    for (std::size_t I = 0; I < 60; ++I) {
      Under.submit(I, Under.addRequest(I, I % 5 != 0));
      if (Under.requests()[I].Keyed)
        Under.submit(I + 1, I);
    }
    Under.settle();
    EXPECT_EQ(Under.counts().Runs, 60U);
    EXPECT_EQ(Under.counts().Answered, Under.counts().Submitted);
    EXPECT_EQ(Under.violation(), "");
  }
}

TEST(AtMostOnceProgress, NewKeysAreGrantedAfterOneMemberFailed) {
  for (const Scenario &Plan : scenarios()) {
    for (std::size_t Failed = 0; Failed < Plan.Hosts.size(); ++Failed) {
      if (Plan.Hosts.size() == 1)
        continue;
      World Under(Plan);
      for (std::size_t I = 0; I < 30; ++I)
        Under.submit(I, Under.addRequest(I, true));
      Under.settle();
      HostId Host = "m" + std::to_string(Failed);
      Under.kill(Host);
      Under.setListed(Host, false);
      Under.settle();
      std::size_t Before = Under.counts().Answered;
      for (std::size_t I = 0; I < 30; ++I)
        Under.submit(I, Under.addRequest(I, true));
      Under.settle();
      EXPECT_EQ(Under.counts().Answered - Before, 30U) << Host;
      EXPECT_EQ(Under.violation(), "");
    }
  }
}

// A restarted member starts from a snapshot and gets Complete from the others.
TEST(AtMostOnceProgress, RollingRestartKeepsGranting) {
  for (const Scenario &Plan : scenarios()) {
    if (Plan.Hosts.size() == 1)
      continue;
    World Under(Plan);
    for (std::size_t I = 0; I < Plan.Hosts.size(); ++I) {
      HostId Host = "m" + std::to_string(I);
      Under.setListed(Host, false); // It leaves and hands over.
      Under.settle();
      Under.restart(Host, true);
      Under.setListed(Host, true);
      Under.settle();
      std::size_t Before = Under.counts().Answered;
      for (std::size_t J = 0; J < 20; ++J)
        Under.submit(J, Under.addRequest(J, true));
      Under.settle();
      EXPECT_EQ(Under.counts().Answered - Before, 20U) << Host;
    }
    EXPECT_EQ(Under.violation(), "");
  }
}

// A paused member comes back after its removal, with claims still under way.
TEST(AtMostOnceProgress, ReturningMemberDoesNoHarm) {
  World Under(scenarios()[2]);
  for (std::size_t I = 0; I < 30; ++I)
    Under.submit(I, Under.addRequest(0, true));
  Under.pause("m0", true);
  Under.setListed("m0", false);
  Under.settle();
  for (std::size_t I = 0; I < 30; ++I)
    Under.submit(I + 1, I);
  Under.settle();
  Under.pause("m0", false);
  Under.settle();
  Under.setListed("m0", true);
  Under.settle();
  for (std::size_t I = 0; I < 30; ++I)
    Under.submit(I + 2, I);
  Under.settle();
  EXPECT_EQ(Under.violation(), "");
  EXPECT_EQ(Under.counts().Runs, 30U);
}
