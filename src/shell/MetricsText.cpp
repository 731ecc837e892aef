// MetricsText.cpp - Text format of the metrics.

#include "MetricsText.h"

#include <algorithm>
#include <array>

namespace figsail {

MetricsText::MetricsText(const Metrics &Source) {
  for (std::size_t I = 0; I < CounterCount; ++I) {
    auto Which = static_cast<Counter>(I);
    line(counterName(Which), "_total", Source.counter(Which));
  }
  refusals(Source, RefusedBy::Ingress, "ingress");
  refusals(Source, RefusedBy::Gate, "gate");
  for (std::size_t I = 0; I < LatencyCount; ++I) {
    auto Which = static_cast<Latency>(I);
    histogram(latencyName(Which), Source.series(Which));
    quantiles(latencyName(Which), Source.series(Which).total());
  }
}

static std::uint64_t micros(Duration Time) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, Time.count()));
}

void MetricsText::refusals(const Metrics &Source, RefusedBy By,
                           std::string_view Component) {
  for (std::size_t I = 0; I < ErrorKindCount; ++I) {
    auto Reason = static_cast<ErrorKind>(I);
    std::uint64_t Value = Source.refusals(By, Reason);
    if (Value == 0)
      continue;
    std::string Labels = "{by=\"" + std::string(Component) + "\",reason=\"" +
                         std::string(errorEntry(Reason).Name) + "\"}";
    line("refusals", "_total", Value, Labels);
  }
}

void MetricsText::histogram(std::string_view Name,
                            const LatencySeries &Series) {
  const LatencyHistogram &Samples = Series.histogram();
  for (std::size_t I = 0; I <= LatencyHistogram::Bounds.size(); ++I) {
    bool Last = I == LatencyHistogram::Bounds.size();
    std::string UpperBound =
        Last ? "+Inf" : std::to_string(LatencyHistogram::Bounds[I].count());
    line(Name, "_us_bucket", Samples.cumulativeCount(I),
         "{le=\"" + UpperBound + "\"}");
  }
  line(Name, "_us_sum", micros(Samples.sum()));
  line(Name, "_us_count",
       Samples.cumulativeCount(LatencyHistogram::Bounds.size()));
}

void MetricsText::quantiles(std::string_view Name,
                            const LatencySummary &Summary) {
  line(Name, "_mean_us", micros(Summary.Mean));
  line(Name, "_p50_us", micros(Summary.P50));
  line(Name, "_p99_us", micros(Summary.P99));
  line(Name, "_p999_us", micros(Summary.P999));
  line(Name, "_max_us", micros(Summary.Max));
}

void MetricsText::gauge(std::string_view Name, std::uint64_t Value) {
  line(Name, "", Value);
}

void MetricsText::topicTraffic(const Metrics &Source) {
  struct Flow {
    TopicFlow Which;
    std::string_view Name;
    std::string_view Labels;
  };
  static constexpr std::array<Flow, TopicFlowCount> Flows{{
      {TopicFlow::FromStore, "topic", "{from=\"store\"}"},
      {TopicFlow::FromDaemon, "topic", "{from=\"daemon\"}"},
      {TopicFlow::RepeatedFromStore, "topic_repeated", "{from=\"store\"}"},
      {TopicFlow::RepeatedFromDaemon, "topic_repeated", "{from=\"daemon\"}"},
      {TopicFlow::Sent, "topic_sent", ""},
      {TopicFlow::Abandoned, "topic_abandoned", ""},
  }};
  for (const auto &[Which, Name, Labels] : Flows) {
    const RecordVolume &Volume = Source.topicRecords(Which);
    line(Name, "_records_total", Volume.Records, std::string(Labels));
    line(Name, "_bytes_total", Volume.Bytes, std::string(Labels));
  }
  static constexpr std::array<std::string_view, StoreCallCount> Kinds{
      "snapshot", "read", "append", "remove"};
  for (std::size_t I = 0; I < StoreCallCount; ++I)
    line("store_calls", "_total", Source.storeCalls(static_cast<StoreCall>(I)),
         "{kind=\"" + std::string(Kinds[I]) + "\"}");
}

void MetricsText::crossRegionTraffic(const CrossRegionTraffic &Traffic) {
  std::string Labels = "{message=\"" + std::string(Traffic.MessageType) + "\"}";
  line("region_messages", "_total", Traffic.Count, Labels);
  line("region_raw_bytes", "_total", Traffic.RawBytes, Labels);
  line("region_sent_bytes", "_total", Traffic.SentBytes, Labels);
}

void MetricsText::line(std::string_view Name, std::string_view Suffix,
                       std::uint64_t Value, const std::string &Labels) {
  std::string FullName = "figsail_" + std::string(Name) + std::string(Suffix);
  std::ranges::replace(FullName, '-', '_');
  Text += FullName + Labels + " " + std::to_string(Value) + "\n";
}

} // namespace figsail
