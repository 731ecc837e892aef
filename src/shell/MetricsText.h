// MetricsText.h - Text format of the metrics, one "name{labels} value" a line.

#ifndef FIGSAIL_METRICSTEXT_H
#define FIGSAIL_METRICSTEXT_H

#include "Metrics.h"
#include "PeerTransport.h"

#include <string>
#include <string_view>

namespace figsail {

/// Writer of the metrics text. The constructor writes all counters and latency
/// series.
class MetricsText {
public:
  explicit MetricsText(const Metrics &Source);
  void gauge(std::string_view Name, std::uint64_t Value);
  /// Adds the topic records by their way and the calls to the store by kind.
  void topicTraffic(const Metrics &Source);
  /// Adds the traffic between regions of one message type.
  void crossRegionTraffic(const CrossRegionTraffic &Traffic);
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
