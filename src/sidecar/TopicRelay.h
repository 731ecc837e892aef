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

/// One daemon of each failure domain reads the store; the others ask it twice a
/// second and are told of news at once. A daemon that hears nothing from a
/// reader which reaches the store reads for itself, so no agreement on who
/// reads is needed.
class TopicRelay {
public:
  TopicRelay(HostId Self, std::string FailureDomain)
      : Self(std::move(Self)), FailureDomain(std::move(FailureDomain)) {}

  /// Chooses the reader anew and asks it. From: what to ask for, by topic.
  void timer(TimePoint Now, const InstanceDirectory &Directory,
             const PeerHealth &Peers, const std::vector<Offset> &From,
             SidecarEffects &Out);
  TimePoint nextWake() const { return AskAt; }

  /// An update has arrived.
  void updated(TimePoint Now, const HostId &From, const TopicUpdate &Update);
  /// A daemon asks; it is told of news for some time.
  void subscribed(TimePoint Now, const HostId &From);
  /// Returns the daemons to tell of news.
  std::vector<HostId> subscribers(TimePoint Now);

  /// Returns whether this daemon must read the store itself.
  bool readsStore(TimePoint Now) const;

private:
  HostId Self;
  std::string FailureDomain;
  HostId Reader;         ///< Chosen; may be Self.
  TimePoint AskAt{};     ///< When to ask the reader next.
  TimePoint LiveUntil{}; ///< The reader's last live answer counts until then.
  std::map<HostId, TimePoint> Subscribers; ///< To when they asked last.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICRELAY_H
