// HostExpiry.h - Drops hosts that are gone for good from the members' topic.

#ifndef FIGSAIL_SIDECAR_HOSTEXPIRY_H
#define FIGSAIL_SIDECAR_HOSTEXPIRY_H

#include "Instance.h"
#include "SidecarEvents.h"

#include <map>
#include <optional>
#include <vector>

namespace figsail {

/// Hosts are replaced at new addresses, and one that loses power announces
/// nothing. Without an end to their announcements the directory grows, and each
/// dead host takes a share of the retry budget and is probed for ever.
///
/// The daemons that read the store drop a host from which they have heard
/// nothing for long. No agreement is needed: to drop a host twice changes
/// nothing, and one that lives announces itself again when it reads that.
class HostExpiry {
public:
  /// A message of the host has arrived, or a link to it is open.
  void markReachable(TimePoint Now, const HostId &Host);
  /// The host is no longer listed.
  void remove(const HostId &Host) { Hosts.erase(Host); }
  /// Asks hosts that have been silent for a while whether they live. Returns
  /// one that is to be dropped, or nothing.
  std::optional<HostId> timer(TimePoint Now, const HostId &Self,
                              const InstanceDirectory &Directory,
                              SidecarEffects &Out);
  TimePoint nextWake() const { return CheckAt; }

private:
  struct Entry {
    TimePoint LastMessageAt;
    TimePoint LastProbeAt;
    unsigned ProbesSent = 0; ///< Times since it was heard.
  };
  void sendProbes(TimePoint Now, std::vector<HostId> Silent,
                  SidecarEffects &Out);
  bool reachesHalf(TimePoint Now) const;

  std::map<HostId, Entry> Hosts;
  TimePoint CheckAt;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_HOSTEXPIRY_H
