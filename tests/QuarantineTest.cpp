// QuarantineTest.cpp - Tests that a request that crashes backend servers is
// blocked, and that other requests are not.

#include "Quarantine.h"
#include "AdmissionHarness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;
using namespace std::chrono_literals;

static constexpr TimePoint Start{1000s};

// A fingerprint must be blocked from the second crash until its entry expires.
TEST(Quarantine, BlocksAfterTwoCrashesForItsLifetime) {
  Quarantine Suspects;
  EXPECT_EQ(Suspects.check(Start, 7), Suspicion::None);
  auto First = Suspects.crashed(Start, 7, Start - 1s, true);
  ASSERT_TRUE(First);
  EXPECT_EQ(First->Crashes, 1U);
  EXPECT_EQ(Suspects.check(Start, 7), Suspicion::Suspect);
  auto Second = Suspects.crashed(Start + 2s, 7, Start + 1s, true);
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second->Crashes, 2U);
  EXPECT_EQ(Suspects.check(Start + 2s, 7), Suspicion::Blocked);
  EXPECT_EQ(Suspects.check(Start + 2s + Quarantine::Lifetime, 7),
            Suspicion::None);
}

// Several runs of one frequent request that break in one crash must not count
// as several crashes.
TEST(Quarantine, RunsBrokenByOneCrashCountAsOneCrash) {
  Quarantine Suspects;
  for (int I = 0; I < 5; ++I)
    Suspects.crashed(Start + I * 1ms, 7, Start - 1s, true);
  EXPECT_EQ(Suspects.check(Start + 1s, 7), Suspicion::Suspect);
}

// Only a crash while no other suspect runs identifies the request.
TEST(Quarantine, ACrashBesideAnotherSuspectDoesNotBlock) {
  Quarantine Suspects;
  Suspects.crashed(Start, 7, Start - 1s, true);
  Suspects.crashed(Start + 2s, 7, Start + 1s, false);
  EXPECT_EQ(Suspects.check(Start + 2s, 7), Suspicion::Suspect);
}

// Guards against BUDGET: a blocked request was no longer blocked once a run of
// it that had started before crashed its server beside another suspect, or
// another member reported more crashes, none of them alone.
TEST(Quarantine, NoLaterCrashOrReportUnblocks) {
  Quarantine Own;
  Own.crashed(Start, 7, Start - 1s, true);
  Own.crashed(Start + 2s, 7, Start + 1s, true);
  Own.crashed(Start + 4s, 7, Start + 3s, false);
  EXPECT_EQ(Own.check(Start + 4s, 7), Suspicion::Blocked);
  Quarantine Told;
  Told.merge(Start, SuspectReport{7, 2, true});
  Told.merge(Start, SuspectReport{7, 3, false});
  EXPECT_EQ(Told.check(Start, 7), Suspicion::Blocked);
  Quarantine Counting;
  Counting.merge(Start, SuspectReport{7, 3, false});
  Counting.merge(Start, SuspectReport{7, 2, true});
  EXPECT_EQ(Counting.check(Start, 7), Suspicion::Blocked);
}

// A response clears a suspect here and at other members, but not a blocked
// fingerprint.
TEST(Quarantine, SuccessClearsSuspectsOnly) {
  Quarantine Here;
  Quarantine There;
  There.merge(Start, *Here.crashed(Start, 7, Start - 1s, true));
  EXPECT_EQ(There.check(Start, 7), Suspicion::Suspect);
  auto Cleared = Here.succeeded(Start + 1s, 7);
  ASSERT_TRUE(Cleared);
  There.merge(Start + 1s, *Cleared);
  EXPECT_EQ(There.check(Start + 1s, 7), Suspicion::None);
  There.merge(Start, SuspectReport{9, 2, true});
  There.merge(Start, SuspectReport{9, 0, false});
  EXPECT_EQ(There.check(Start, 9), Suspicion::Blocked);
}

// Crashes of a request must be counted together over the servers that it is
// retried on.
TEST(Quarantine, CountsCrashesOverSeveralHosts) {
  Quarantine Second;
  Second.merge(Start, SuspectReport{7, 1, true});
  auto Report = Second.crashed(Start + 2s, 7, Start + 1s, true);
  ASSERT_TRUE(Report);
  EXPECT_EQ(Report->Crashes, 2U);
}

// Guards against a suspicion that never ends, since daemons that restart are
// told of it again and again.
TEST(Quarantine, ARepeatedReportDoesNotExtendItsLifetime) {
  Quarantine First;
  Quarantine Second;
  First.merge(Start, SuspectReport{7, 2, true});
  TimePoint Now = Start;
  for (; Now < Start + 2 * Quarantine::Lifetime; Now += 1min)
    for (const SuspectReport &Report : First.reports(Now, 8)) {
      Second.merge(Now, Report);
      std::swap(First, Second);
    }
  EXPECT_EQ(First.check(Now, 7), Suspicion::None);
  EXPECT_EQ(Second.check(Now, 7), Suspicion::None);
}

// A stream of crashing requests must not exhaust memory.
RC_GTEST_PROP(QuarantineProperty, MemoryIsBounded, ()) {
  Quarantine Suspects;
  auto Step = *rc::gen::inRange<std::uint64_t>(1, 1000);
  for (std::uint64_t I = 1; I <= Quarantine::MaxEntries + 500; ++I)
    Suspects.crashed(Start + Duration(I), I * Step, Start, true);
  RC_ASSERT(Suspects.size() == Quarantine::MaxEntries);
  Suspects.expire(Start + 2 * Quarantine::Lifetime);
  RC_ASSERT(Suspects.size() == 0U);
}

// A request that crashes its server must be refused from the third attempt on,
// and a request that ran beside it must run again.
TEST(Quarantine, AdmissionRefusesACrashingRequest) {
  AdmissionHarness H(10);
  CallSpec Crashing{.Fingerprint = 7};
  CallSpec Harmless{.Fingerprint = 8};
  H.execute(Harmless);
  H.execute(Crashing);
  H.Now += 1ms;
  for (int I = 0; I < 2; ++I)
    H.end(H.Running.begin()->first, BackendError::Broken);
  auto Reports = H.AdmissionRole.takeReports();
  EXPECT_EQ(Reports.size(), 2U);
  H.Now += 1ms;
  H.execute(Crashing);
  H.execute(Harmless);
  // Both are suspects, so the second waits.
  EXPECT_EQ(H.Running.size(), 1U);
  H.Now += 1ms;
  H.end(H.Running.begin()->first, BackendError::Broken);
  EXPECT_EQ(H.outcomeOf(H.execute(Crashing)), "quarantined");
  H.answerOldest(1ms);
  EXPECT_EQ(H.Running.size(), 0U);
  Reports = H.AdmissionRole.takeReports();
  ASSERT_EQ(Reports.size(), 2U);
  EXPECT_EQ(Reports[0].first.Crashes, 2U);
  EXPECT_EQ(Reports[1].first.Crashes, 0U);
}
