// TopicRelay.h - Shares reads of the store among the daemons of a failure
// domain.

#ifndef FIGSAIL_SIDECAR_TOPICRELAY_H
#define FIGSAIL_SIDECAR_TOPICRELAY_H

#include "Instance.h"
#include "PeerHealth.h"
#include "SidecarEvents.h"

#include <map>
#include <string>

namespace figsail {

/// One daemon of each failure domain reads the store. The others ask a source
/// twice a second and are told of news at once. The sources form a tree by the
/// hashes of the host names: each source has a lower hash than those that ask
/// it, so daemons with different views of who lives never wait for each other
/// in a circle. A daemon that hears nothing from a source which is itself up to
/// date reads the store, so no agreement is needed.
///
/// Load pattern: a configuration for every host of a large domain, over the
/// links that also carry calls. With one reader that tells all others, its
/// bytes grow as the number of hosts.
class TopicRelay {
public:
  TopicRelay(HostId Self, std::string FailureDomain)
      : Self(std::move(Self)), FailureDomain(std::move(FailureDomain)) {}

  /// Chooses the source anew and asks it.
  void timer(TimePoint Now, const InstanceDirectory &Directory,
             const PeerHealth &Peers, const TopicSubscribe &Request,
             SidecarEffects &Out);
  TimePoint nextWake() const { return RequestAt; }

  /// An update has arrived.
  void updateReceived(TimePoint Now, const HostId &From,
                      const TopicUpdate &Update);
  /// A daemon asks; it is told of news for some time.
  void addSubscriber(TimePoint Now, const HostId &From);
  /// Returns the daemons to tell of news.
  std::vector<HostId> subscribers(TimePoint Now);

  /// Returns whether this daemon must read the store itself.
  bool readsStore(TimePoint Now) const;
  /// Returns whether the source has said lately that it is up to date.
  bool hasLiveSource(TimePoint Now) const {
    return SourceAnswered && !readsStore(Now);
  }

private:
  HostId Self;
  std::string FailureDomain;
  HostId Source;               ///< Chosen; Self reads the store.
  bool SourceAnswered = false; ///< The source has answered since it was chosen.
  TimePoint RequestAt{};       ///< When to ask the source next.
  TimePoint LiveUntil{}; ///< The source's last live answer counts until then.
  std::map<HostId, TimePoint> Subscribers; ///< To when they asked last.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICRELAY_H
