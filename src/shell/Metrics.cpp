// Metrics.cpp - Counters and latency quantiles of one daemon.

#include "Metrics.h"

#include <algorithm>
#include <numeric>

namespace figsail {

namespace acc = boost::accumulators;

/// Samples in a window. Four of them are above the 99.9th percentile.
static constexpr std::size_t WindowSamples = 4096;

/// Quantiles that the estimator tracks. The quantiles that are not reported
/// reduce the distance between neighbours, on which the error depends.
static constexpr std::array<double, 9> Probabilities{
    0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9995};
static constexpr std::size_t MarkerP50 = 1;
static constexpr std::size_t MarkerP99 = 5;
static constexpr std::size_t MarkerP999 = 7;

void LatencyHistogram::add(Duration Sample) {
  auto Bucket = std::ranges::lower_bound(Bounds, Sample) - Bounds.begin();
  ++Buckets[static_cast<std::size_t>(Bucket)];
  Sum += Sample;
}

std::uint64_t LatencyHistogram::cumulativeCount(std::size_t Bucket) const {
  return std::accumulate(Buckets.begin(),
                         Buckets.begin() + static_cast<std::ptrdiff_t>(Bucket) +
                             1,
                         std::uint64_t{0});
}

LatencySeries::Accumulator LatencySeries::makeAccumulator() {
  return Accumulator(acc::extended_p_square_probabilities = Probabilities);
}

LatencySeries::LatencySeries()
    : Total(makeAccumulator()), Window(makeAccumulator()) {}

void LatencySeries::add(Duration Sample) {
  auto Value = static_cast<double>(Sample.count());
  Histogram.add(Sample);
  Total(Value);
  Window(Value);
  if (acc::count(Window) < WindowSamples)
    return;
  LastWindow = summary(Window);
  Window = makeAccumulator();
}

LatencySummary LatencySeries::summary(const Accumulator &Samples) {
  LatencySummary Result;
  Result.Count = acc::count(Samples);
  if (Result.Count == 0)
    return Result;
  auto Micros = [](double Value) {
    return Duration(static_cast<Duration::rep>(Value));
  };
  Result.Mean = Micros(acc::mean(Samples));
  Result.Max = Micros(acc::max(Samples));
  // The estimates are undefined until each marker has a sample.
  if (Result.Count < 2 * Probabilities.size() + 3) {
    Result.P50 = Result.Mean;
    Result.P99 = Result.P999 = Result.Max;
    return Result;
  }
  auto Quantiles = acc::extended_p_square(Samples);
  Result.P50 = Micros(Quantiles[MarkerP50]);
  Result.P99 = Micros(Quantiles[MarkerP99]);
  Result.P999 = Micros(Quantiles[MarkerP999]);
  return Result;
}

std::string_view latencyName(Latency Which) {
  static constexpr std::array<std::string_view, LatencyCount> Names{
      "calls", "runs", "added"};
  return Names[static_cast<std::size_t>(Which)];
}

} // namespace figsail
