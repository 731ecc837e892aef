// HostActivity.h - When bytes of unfinished transfers last arrived, by host.

#ifndef FIGSAIL_SIDECAR_HOSTACTIVITY_H
#define FIGSAIL_SIDECAR_HOSTACTIVITY_H

#include "figsail/Types.h"

#include <unordered_map>

namespace figsail {

/// Times at which bytes of large messages arrived from other daemons.
///
/// Load pattern: an answer of half a megabyte takes 0.4 s on a link of 10
/// Mbit/s. The reply to a status query is queued behind it, and the daemon
/// seems silent although its bytes arrive.
class HostActivity {
public:
  /// Bytes of a large message have arrived from the host.
  void add(TimePoint Now, const HostId &Host);
  /// Returns whether such bytes have arrived after the given time. They are
  /// kept for longer than any confirm timeout, but not forever.
  bool isActiveSince(const HostId &Host, TimePoint Since) const;

private:
  std::unordered_map<HostId, TimePoint> LastBytes;
  TimePoint LastRemoval{};
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_HOSTACTIVITY_H
