// Metrics.h - Counters and latency quantiles of one daemon.

#ifndef FIGSAIL_METRICS_H
#define FIGSAIL_METRICS_H

#include "figsail/Events.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <optional>

namespace figsail {

/// Time that a latency series measures.
enum class Latency : std::uint8_t {
  Calls, ///< From the complete request to the response, at the ingress.
  Runs,  ///< From the request to the backend server to its complete response.
  Added, ///< Latency of a call minus that of its run, at the ingress.
};
inline constexpr std::size_t LatencyCount =
    static_cast<std::size_t>(Latency::Added) + 1;

/// Mean, maximum and estimated quantiles of a set of samples.
struct LatencySummary {
  std::uint64_t Count = 0;
  Duration Mean{0};
  Duration P50{0};
  Duration P99{0};
  Duration P999{0};
  Duration Max{0};
};

/// Histogram of latencies with fixed buckets, so that the histograms of several
/// daemons can be added.
class LatencyHistogram {
public:
  /// Inclusive upper bounds of the buckets. One more bucket counts all longer
  /// samples.
  static constexpr std::array<Duration, 14> Bounds{
      Duration(500),       Duration(1'000),     Duration(2'000),
      Duration(5'000),     Duration(10'000),    Duration(20'000),
      Duration(50'000),    Duration(100'000),   Duration(200'000),
      Duration(500'000),   Duration(1'000'000), Duration(2'000'000),
      Duration(5'000'000), Duration(10'000'000)};

  void add(Duration Sample);
  /// Returns the number of samples up to the bound of a bucket. For the bucket
  /// after the last bound, this is the number of all samples.
  std::uint64_t cumulativeCount(std::size_t Bucket) const;
  Duration sum() const { return Sum; }

private:
  std::array<std::uint64_t, Bounds.size() + 1> Buckets{};
  Duration Sum{0};
};

/// Statistics of one latency. They need constant memory, since the extended
/// P-square algorithm estimates the quantiles.
class LatencySeries {
public:
  LatencySeries();
  void add(Duration Sample);

  /// Returns the summary of all samples.
  LatencySummary total() const { return summary(Total); }
  /// Returns the summary of the last complete window of samples. Unlike the
  /// total, it reacts quickly even after a daemon has run for long.
  const LatencySummary &lastWindow() const { return LastWindow; }
  const LatencyHistogram &histogram() const { return Histogram; }

private:
  using Accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::mean, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square>>;

  static Accumulator makeAccumulator();
  static LatencySummary summary(const Accumulator &Samples);

  LatencyHistogram Histogram;
  Accumulator Total;
  Accumulator Window;
  LatencySummary LastWindow;
};

/// All counters and latencies of a daemon.
class Metrics {
public:
  void count(Counter Which, std::uint64_t By) {
    Counters[static_cast<std::size_t>(Which)] += By;
  }
  std::uint64_t counter(Counter Which) const {
    return Counters[static_cast<std::size_t>(Which)];
  }
  /// Counts a refusal or failure that this daemon has decided.
  void countRefusal(RefusedBy By, ErrorKind Reason) {
    ++Refusals[static_cast<std::size_t>(By)][static_cast<std::size_t>(Reason)];
  }
  std::uint64_t refusals(RefusedBy By, ErrorKind Reason) const {
    return Refusals[static_cast<std::size_t>(By)]
                   [static_cast<std::size_t>(Reason)];
  }
  void countTopicRecords(TopicFlow Which, const RecordVolume &Volume) {
    RecordVolume &Total = TopicRecords[static_cast<std::size_t>(Which)];
    Total.Records += Volume.Records;
    Total.Bytes += Volume.Bytes;
  }
  const RecordVolume &topicRecords(TopicFlow Which) const {
    return TopicRecords[static_cast<std::size_t>(Which)];
  }
  void countStoreCall(StoreCall Which) {
    ++StoreCalls[static_cast<std::size_t>(Which)];
  }
  std::uint64_t storeCalls(StoreCall Which) const {
    return StoreCalls[static_cast<std::size_t>(Which)];
  }
  void add(Latency Which, Duration Sample) {
    Series[static_cast<std::size_t>(Which)].add(Sample);
  }
  const LatencySeries &series(Latency Which) const {
    return Series[static_cast<std::size_t>(Which)];
  }

private:
  std::array<std::uint64_t, CounterCount> Counters{};
  std::array<std::array<std::uint64_t, ErrorKindCount>, RefusedByCount>
      Refusals{};
  std::array<RecordVolume, TopicFlowCount> TopicRecords{};
  std::array<std::uint64_t, StoreCallCount> StoreCalls{};
  std::array<LatencySeries, LatencyCount> Series;
};

/// Returns the name of a series in the operator interface and in the metrics.
std::string_view latencyName(Latency Which);

} // namespace figsail

#endif // FIGSAIL_METRICS_H
