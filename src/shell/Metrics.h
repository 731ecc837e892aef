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

/// What a latency series measures.
enum class Latency : std::uint8_t {
  Calls, ///< Whole request received to response handed over, at the ingress.
  Runs,  ///< Request to the backend server to its whole response.
  Added, ///< Call minus its run, at the ingress.
};
inline constexpr std::size_t LatencyCount =
    static_cast<std::size_t>(Latency::Added) + 1;

/// Estimates over a set of samples.
struct LatencySummary {
  std::uint64_t Count = 0;
  Duration Mean{0};
  Duration P50{0};
  Duration P99{0};
  Duration P999{0};
  Duration Max{0};
};

/// Counts samples by upper bounds, so that the figures of many daemons can be
/// added up.
class LatencyHistogram {
public:
  /// Upper bounds of the buckets; a last one takes what is longer.
  static constexpr std::array<Duration, 14> Bounds{
      Duration(500),       Duration(1'000),     Duration(2'000),
      Duration(5'000),     Duration(10'000),    Duration(20'000),
      Duration(50'000),    Duration(100'000),   Duration(200'000),
      Duration(500'000),   Duration(1'000'000), Duration(2'000'000),
      Duration(5'000'000), Duration(10'000'000)};

  void add(Duration Sample);
  /// Returns the number of samples up to the bound of a bucket; the bucket
  /// after the last bound has all of them.
  std::uint64_t cumulativeCount(std::size_t Bucket) const;
  Duration sum() const { return Sum; }

private:
  std::array<std::uint64_t, Bounds.size() + 1> Buckets{};
  Duration Sum{0};
};

/// One series of latencies. Memory is constant: quantiles are estimated by the
/// extended P-square algorithm.
class LatencySeries {
public:
  LatencySeries();
  void add(Duration Sample);

  /// Returns the summary of all samples.
  LatencySummary total() const { return summary(Total); }
  /// Returns the summary of the last full window of samples. The total reacts
  /// slowly when a daemon has run for long.
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
  /// A refusal or failure that this daemon has decided.
  void countRefusal(RefusedBy By, ErrorKind Reason) {
    ++Refusals[static_cast<std::size_t>(By)][static_cast<std::size_t>(Reason)];
  }
  std::uint64_t refusals(RefusedBy By, ErrorKind Reason) const {
    return Refusals[static_cast<std::size_t>(By)]
                   [static_cast<std::size_t>(Reason)];
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
  std::array<LatencySeries, LatencyCount> Series;
};

/// Returns the name of a series, for the operator interface.
std::string_view latencyName(Latency Which);

} // namespace figsail

#endif // FIGSAIL_METRICS_H
