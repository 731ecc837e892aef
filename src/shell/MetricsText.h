// MetricsText.h - Metrics as text, one "name{labels} value" a line.

#ifndef FIGSAIL_METRICSTEXT_H
#define FIGSAIL_METRICSTEXT_H

#include "Metrics.h"
#include "PeerTransport.h"

#include <string>
#include <string_view>

namespace figsail {

/// Renders all counters and latency series, and further gauges.
class MetricsText {
public:
  explicit MetricsText(const Metrics &Source);
  void gauge(std::string_view Name, std::uint64_t Value);
  /// Adds what messages of one type have cost between regions.
  void regionTraffic(const RegionTraffic &Traffic);
  std::string take() { return std::move(Text); }

private:
  void refusals(const Metrics &Source, RefusedBy By,
                std::string_view Component);
  void histogram(std::string_view Name, const LatencySeries &Series);
  void quantiles(std::string_view Name, const LatencySummary &Summary);
  void line(std::string_view Name, std::string_view Suffix, std::uint64_t Value,
            const std::string &Labels = {});

  std::string Text;
};

} // namespace figsail

#endif // FIGSAIL_METRICSTEXT_H
