// MetricsTest.cpp - Guards against latency figures and time lines that mislead
// operators.

#include "Metrics.h"
#include "Timeline.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

using namespace figsail;

// The error of the estimator must stay small in the tail of a skewed
// distribution.
TEST(Metrics, QuantilesOfASkewedDistributionAreClose) {
  std::mt19937_64 Random(20261204);
  std::lognormal_distribution<double> Distribution(6, 1);
  LatencySeries Series;
  std::vector<std::int64_t> Samples;
  for (int I = 0; I < 100000; ++I) {
    Samples.push_back(static_cast<std::int64_t>(Distribution(Random)));
    Series.add(Duration(Samples.back()));
  }
  std::ranges::sort(Samples);
  LatencySummary Summary = Series.total();
  auto Ratio = [&](Duration Estimate, std::size_t PerTenThousand) {
    auto Exact = Samples[Samples.size() / 10000 * PerTenThousand];
    return static_cast<double>(Estimate.count()) / static_cast<double>(Exact);
  };
  EXPECT_NEAR(Ratio(Summary.P50, 5000), 1, 0.05);
  EXPECT_NEAR(Ratio(Summary.P99, 9900), 1, 0.05);
  EXPECT_NEAR(Ratio(Summary.P999, 9990), 1, 0.10);
  EXPECT_EQ(Summary.Max.count(), Samples.back());
  EXPECT_EQ(Summary.Count, Samples.size());
}

// A daemon that has become slow must show it although it was fast for long.
TEST(Metrics, LastWindowShowsTheRecentLatency) {
  LatencySeries Series;
  for (int I = 0; I < 100000; ++I)
    Series.add(Duration(100));
  for (int I = 0; I < 10000; ++I)
    Series.add(Duration(5000));
  EXPECT_LT(Series.total().P50, Duration(200));
  EXPECT_GT(Series.lastWindow().P50, Duration(4000));
}

TEST(Metrics, FewSamplesGiveFiguresWithinTheirRange) {
  LatencySeries Series;
  EXPECT_EQ(Series.total().Count, 0U);
  for (int I = 1; I <= 5; ++I)
    Series.add(Duration(I * 100));
  LatencySummary Summary = Series.total();
  EXPECT_GE(Summary.P50, Duration(100));
  EXPECT_EQ(Summary.P999, Duration(500));
}

// A full ring must keep the latest entries and say how many it lost.
TEST(Timeline, FullRingKeepsTheLatestEntries) {
  Timeline Events(3);
  for (std::uint64_t I = 1; I <= 5; ++I)
    Events.add(I * 10, {TraceKind::CallArrived, std::to_string(I), ""});
  auto All = Events.since(0);
  ASSERT_EQ(All.size(), 3U);
  EXPECT_EQ(All.front().Lamport, 30U);
  EXPECT_EQ(All.back().What.Subject, "5");
  EXPECT_EQ(Events.dropped(), 2U);
  EXPECT_EQ(Events.since(40).size(), 1U);
  EXPECT_TRUE(Events.since(50).empty());
}
