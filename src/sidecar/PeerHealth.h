// PeerHealth.h - Reachability of the other daemons.

#ifndef FIGSAIL_SIDECAR_PEERHEALTH_H
#define FIGSAIL_SIDECAR_PEERHEALTH_H

#include "SidecarEvents.h"

#include <map>

namespace figsail {

/// Failure detector for peers. A daemon whose link broke or went silent is
/// suspected and probed until one of its messages arrives. Without probes,
/// client requests would test whether a partition has ended, and those that
/// must not be retried would fail.
class PeerHealth {
public:
  /// A link broke, or a daemon did not reply in time.
  void markUnreachable(TimePoint Now, const HostId &Host, SidecarEffects &Out);
  /// A message of the daemon has arrived, or a link to it has opened.
  void markReachable(const HostId &Host, SidecarEffects &Out);
  /// The directory no longer lists the host.
  void remove(const HostId &Host) { Suspects.erase(Host); }

  bool isSuspected(const HostId &Host) const { return Suspects.contains(Host); }
  /// Returns how long a host has been suspected without interruption; 0 for one
  /// that is not.
  Duration suspectedFor(TimePoint Now, const HostId &Host) const;

  /// Sends the probes that are due.
  void timer(TimePoint Now, SidecarEffects &Out);
  TimePoint nextWake() const;

private:
  struct Suspect {
    TimePoint Since;
    TimePoint ProbeAt;
    unsigned Probes = 0;
  };
  std::map<HostId, Suspect> Suspects;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_PEERHEALTH_H
