// RegionLink.h - Byte budget of this daemon on the link between regions, which
// is billed by volume.

#ifndef FIGSAIL_REGIONLINK_H
#define FIGSAIL_REGIONLINK_H

#include "figsail/TokenBucket.h"

namespace figsail {

/// Byte budget for traffic to and from other regions. It may become negative,
/// because the size of a response is known only after its transfer.
class RegionLink {
public:
  /// TotalRate: bytes per second in each direction, shared by all hosts of the
  /// region.
  explicit RegionLink(double TotalRate)
      : TotalRate(TotalRate), Outbound(TotalRate, TotalRate),
        Inbound(TotalRate, TotalRate) {}

  /// Sets the number of hosts that share the link.
  void setHostCount(std::size_t Hosts) {
    double Rate = TotalRate / static_cast<double>(Hosts > 0 ? Hosts : 1);
    Outbound.configure(Rate, Rate);
    Inbound.configure(Rate, Rate);
  }

  /// Returns whether both directions have tokens left.
  bool available(TimePoint Now) {
    return Outbound.available(Now) > 0 && Inbound.available(Now) > 0;
  }
  void sent(TimePoint Now, std::size_t Bytes) {
    Outbound.spend(Now, static_cast<double>(Bytes));
  }
  void received(TimePoint Now, std::size_t Bytes) {
    Inbound.spend(Now, static_cast<double>(Bytes));
  }

private:
  double TotalRate;
  TokenBucket Outbound;
  TokenBucket Inbound;
};

} // namespace figsail

#endif // FIGSAIL_REGIONLINK_H
