// RolloutJudgeTest.cpp - Tests of the comparison of two versions.

#include "RolloutJudge.h"

#include <gtest/gtest.h>

namespace figsail {

static VersionTotals totals(std::uint64_t Runs, std::uint64_t Failures,
                            std::uint64_t Slow = 0) {
  RouteTotals Counts;
  Counts.Runs = Runs;
  Counts.Failures = Failures;
  Counts.Times.resize(RunTimeBuckets);
  Counts.Times[10] = Runs - Failures - Slow;
  Counts.Times[14] = Slow;
  return {{"r", Counts}};
}

// Fault: a version is blamed for failures and slow runs that both versions
// have.
TEST(RolloutJudge, AVersionLikeTheOldOneIsHealthy) {
  auto Judged = judgeRollout(totals(1000, 50, 100), totals(60, 4, 7));
  EXPECT_EQ(Judged.Health, RolloutHealth::Healthy);
}

// Fault: few samples are not enough for a clear case, or one failure is.
TEST(RolloutJudge, AFewClearFailuresDecide) {
  EXPECT_EQ(judgeRollout(totals(500, 0), totals(12, 1)).Health,
            RolloutHealth::Healthy);
  EXPECT_EQ(judgeRollout(totals(500, 0), totals(12, 5)).Health,
            RolloutHealth::Bad);
  EXPECT_EQ(judgeRollout(totals(500, 0), totals(30, 0, 10)).Reason, "slow");
}

// Fault: a route that only the new version runs is judged without a reference.
TEST(RolloutJudge, OnlyCompleteFailureCountsWithoutAReference) {
  EXPECT_EQ(judgeRollout({}, totals(20, 19)).Health, RolloutHealth::Healthy);
  EXPECT_EQ(judgeRollout({}, totals(5, 5)).Health, RolloutHealth::Bad);
}

} // namespace figsail
