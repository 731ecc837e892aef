// MetricsTest.cpp - Tests of latency statistics, metrics text and timeline.

#include "Metrics.h"
#include "MetricsText.h"
#include "Timeline.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

using namespace figsail;
using namespace std::chrono_literals;

// The error of the estimates must be small in the tail of a skewed
// distribution.
TEST(Metrics, QuantilesOfASkewedDistributionAreAccurate) {
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

// The metrics must show that a daemon has become slow, even if it was fast for
// long.
TEST(Metrics, LastWindowShowsTheRecentLatency) {
  LatencySeries Series;
  for (int I = 0; I < 100000; ++I)
    Series.add(Duration(100));
  for (int I = 0; I < 10000; ++I)
    Series.add(Duration(5000));
  EXPECT_LT(Series.total().P50, Duration(200));
  EXPECT_GT(Series.lastWindow().P50, Duration(4000));
}

TEST(Metrics, QuantilesOfFewSamplesAreWithinTheirRange) {
  LatencySeries Series;
  EXPECT_EQ(Series.total().Count, 0U);
  for (int I = 1; I <= 5; ++I)
    Series.add(Duration(I * 100));
  LatencySummary Summary = Series.total();
  EXPECT_GE(Summary.P50, Duration(100));
  EXPECT_EQ(Summary.P999, Duration(500));
}

// Unlike quantiles, the buckets of several daemons can be added.
TEST(Metrics, HistogramCountsAreCumulative) {
  LatencySeries Series;
  for (Duration Sample : {400us, 500us, 501us, 3000us, 60000000us})
    Series.add(Sample);
  const LatencyHistogram &Samples = Series.histogram();
  EXPECT_EQ(Samples.cumulativeCount(0), 2U)
      << "a bucket includes its upper bound";
  EXPECT_EQ(Samples.cumulativeCount(1), 3U);
  EXPECT_EQ(Samples.cumulativeCount(LatencyHistogram::Bounds.size() - 1), 4U);
  EXPECT_EQ(Samples.cumulativeCount(LatencyHistogram::Bounds.size()), 5U);
  EXPECT_EQ(Samples.sum(), 60004401us);
}

// Operators must see in the metrics which component refuses calls, and why.
TEST(Metrics, TextContainsRefusalsAndBuckets) {
  Metrics Measured;
  Measured.add(Latency::Calls, 3ms);
  Measured.countRefusal(RefusedBy::Gate, ErrorKind::Overloaded);
  Measured.countRefusal(RefusedBy::Gate, ErrorKind::Overloaded);
  Measured.countRefusal(RefusedBy::Ingress, ErrorKind::NoRoute);
  std::string Text = MetricsText(Measured).take();
  for (const char *Line :
       {"figsail_refusals_total{by=\"gate\",reason=\"overloaded\"} 2\n",
        "figsail_refusals_total{by=\"ingress\",reason=\"no-route\"} 1\n",
        "figsail_calls_us_bucket{le=\"2000\"} 0\n",
        "figsail_calls_us_bucket{le=\"5000\"} 1\n",
        "figsail_calls_us_bucket{le=\"+Inf\"} 1\n",
        "figsail_calls_us_sum 3000\n", "figsail_calls_us_count 1\n"})
    EXPECT_NE(Text.find(Line), std::string::npos) << Line << Text;
  EXPECT_EQ(Text.find("backend-failed"), std::string::npos)
      << "reasons without a refusal are omitted";
}

// Operators must see whether configurations come from the store or from other
// daemons, and how many of their bytes were of no use.
TEST(Metrics, TextContainsTopicTrafficByOrigin) {
  Metrics Measured;
  Measured.countTopicRecords(TopicFlow::FromStore, {1, 500});
  Measured.countTopicRecords(TopicFlow::FromDaemon, {2, 700});
  Measured.countTopicRecords(TopicFlow::FromDaemon, {1, 500});
  Measured.countTopicRecords(TopicFlow::RepeatedFromDaemon, {1, 500});
  Measured.countTopicRecords(TopicFlow::Sent, {8, 4000});
  Measured.countStoreCall(StoreCall::Read);
  MetricsText Writer(Measured);
  Writer.topicTraffic(Measured);
  std::string Text = Writer.take();
  for (const char *Line :
       {"figsail_topic_records_total{from=\"store\"} 1\n",
        "figsail_topic_bytes_total{from=\"store\"} 500\n",
        "figsail_topic_records_total{from=\"daemon\"} 3\n",
        "figsail_topic_bytes_total{from=\"daemon\"} 1200\n",
        "figsail_topic_repeated_records_total{from=\"store\"} 0\n",
        "figsail_topic_repeated_bytes_total{from=\"daemon\"} 500\n",
        "figsail_topic_sent_records_total 8\n",
        "figsail_topic_sent_bytes_total 4000\n",
        "figsail_topic_abandoned_bytes_total 0\n",
        "figsail_store_calls_total{kind=\"read\"} 1\n",
        "figsail_store_calls_total{kind=\"snapshot\"} 0\n"})
    EXPECT_NE(Text.find(Line), std::string::npos) << Line << Text;
}

// A full buffer must keep the latest entries and count the evicted ones.
TEST(Timeline, FullBufferKeepsTheLatestEntries) {
  Timeline Events(3);
  for (std::uint64_t I = 1; I <= 5; ++I)
    Events.add(I * 10, {TraceKind::CallArrived, std::to_string(I), ""});
  auto All = Events.since(0);
  ASSERT_EQ(All.size(), 3U);
  EXPECT_EQ(All.front().Lamport, 30U);
  EXPECT_EQ(All.back().Content.Subject, "5");
  EXPECT_EQ(Events.dropped(), 2U);
  EXPECT_EQ(Events.since(40).size(), 1U);
  EXPECT_TRUE(Events.since(50).empty());
}
