// PeerHealth.h - Which daemons can be reached.

#ifndef FIGSAIL_SIDECAR_PEERHEALTH_H
#define FIGSAIL_SIDECAR_PEERHEALTH_H

#include "SidecarEvents.h"

#include <map>

namespace figsail {

/// Suspects a daemon whose link broke or went silent until something is heard
/// of it, and probes it meanwhile. Without it, requests are what tests whether
/// a partition has ended, and those that must not be repeated are lost in it.
class PeerHealth {
public:
  /// A link broke, or a daemon did not reply in time.
  void markUnreachable(TimePoint Now, const HostId &Host, SidecarEffects &Out);
  /// A message of the daemon has arrived, or a link to it is open.
  void markReachable(const HostId &Host, SidecarEffects &Out);
  /// The host is no longer listed.
  void remove(const HostId &Host) { Suspects.erase(Host); }

  bool isSuspected(const HostId &Host) const { return Suspects.contains(Host); }

  /// Probes suspects that are due.
  void timer(TimePoint Now, SidecarEffects &Out);
  TimePoint nextWake() const;

private:
  struct Suspect {
    TimePoint ProbeAt;
    unsigned Probes = 0;
  };
  std::map<HostId, Suspect> Suspects;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_PEERHEALTH_H
