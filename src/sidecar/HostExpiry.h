// HostExpiry.h - Removal of hosts that no longer exist from the members topic.

#ifndef FIGSAIL_SIDECAR_HOSTEXPIRY_H
#define FIGSAIL_SIDECAR_HOSTEXPIRY_H

#include "Instance.h"
#include "SidecarEvents.h"

#include <map>
#include <optional>
#include <vector>

namespace figsail {

/// Detector of hosts that no longer exist. Hosts are replaced at new addresses,
/// and a host that loses power announces nothing. If announcements never
/// expired, the directory would grow, and each dead host would take a share of
/// the retry budget and be probed forever.
///
/// The daemons that read the store remove a host that has been silent for a
/// long time. No agreement is needed: removing a host twice changes nothing,
/// and a live host announces itself again when it reads its removal.
class HostExpiry {
public:
  /// A message of the host has arrived, or a link to it has opened.
  void markReachable(TimePoint Now, const HostId &Host);
  /// The directory no longer lists the host.
  void remove(const HostId &Host) { Hosts.erase(Host); }
  /// Probes hosts that have been silent for a while. Returns a host whose
  /// announcement is to be removed from the store, or nothing.
  std::optional<HostId> timer(TimePoint Now, const HostId &Self,
                              const InstanceDirectory &Directory,
                              SidecarEffects &Out);
  TimePoint nextWake() const { return CheckAt; }

private:
  struct Entry {
    TimePoint LastMessageAt;
    TimePoint LastProbeAt;
    unsigned ProbesSent = 0; ///< Since the last message.
  };
  void sendProbes(TimePoint Now, std::vector<HostId> Silent,
                  SidecarEffects &Out);
  bool reachesHalf(TimePoint Now) const;

  std::map<HostId, Entry> Hosts;
  TimePoint CheckAt;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_HOSTEXPIRY_H
