// MetricsText.cpp - Metrics as text.

#include "MetricsText.h"

#include <algorithm>

namespace figsail {

MetricsText::MetricsText(const Metrics &Measured) {
  for (std::size_t I = 0; I < CounterCount; ++I) {
    auto Which = static_cast<Counter>(I);
    line(counterName(Which), "_total", Measured.counter(Which));
  }
  for (std::size_t I = 0; I < LatencyCount; ++I) {
    auto Which = static_cast<Latency>(I);
    LatencySummary Summary = Measured.series(Which).total();
    auto Micros = [](Duration Time) {
      return static_cast<std::uint64_t>(
          std::max<Duration::rep>(0, Time.count()));
    };
    line(latencyName(Which), "_count", Summary.Count);
    line(latencyName(Which), "_mean_us", Micros(Summary.Mean));
    line(latencyName(Which), "_p50_us", Micros(Summary.P50));
    line(latencyName(Which), "_p99_us", Micros(Summary.P99));
    line(latencyName(Which), "_p999_us", Micros(Summary.P999));
    line(latencyName(Which), "_max_us", Micros(Summary.Max));
  }
}

void MetricsText::gauge(std::string_view Name, std::uint64_t Value) {
  line(Name, "", Value);
}

void MetricsText::line(std::string_view Name, std::string_view Suffix,
                       std::uint64_t Value) {
  std::string Full = "figsail_" + std::string(Name) + std::string(Suffix);
  std::ranges::replace(Full, '-', '_');
  Text += Full + " " + std::to_string(Value) + "\n";
}

} // namespace figsail
