// TopicRelay.h - Sharing of store reads among the daemons of a failure domain.

#ifndef FIGSAIL_SIDECAR_TOPICRELAY_H
#define FIGSAIL_SIDECAR_TOPICRELAY_H

#include "Instance.h"
#include "PeerHealth.h"
#include "SidecarEvents.h"

#include <functional>
#include <string>

namespace figsail {

/// Choice of the daemon from which this one receives the topics. One daemon of
/// each failure domain reads the store. Each other daemon subscribes to a
/// source twice a second, and the source forwards new records at once.
///
/// The sources form a tree by the hashes of the host names. Each source has a
/// lower hash than its subscribers, so daemons with different views of the live
/// hosts never wait for each other in a cycle. A daemon whose source is silent
/// or not up to date reads the store itself, so no agreement is needed.
///
/// Load pattern: a configuration goes to every host of a large domain, over the
/// links that also carry calls. If one reader sent it to all others, the
/// reader's traffic would grow with the number of hosts.
class TopicRelay {
public:
  TopicRelay(HostId Self, std::string FailureDomain)
      : Self(std::move(Self)), FailureDomain(std::move(FailureDomain)) {}

  /// Returns the request for a source.
  using RequestMaker = std::function<TopicSubscribe(const HostId &Source)>;

  /// Chooses the source again and sends it a request, if that is due.
  void timer(TimePoint Now, const InstanceDirectory &Directory,
             const PeerHealth &Peers, const RequestMaker &MakeRequest,
             SidecarEffects &Out);
  TimePoint nextWake() const { return RequestAt; }

  /// An update from a daemon has arrived.
  void updateReceived(TimePoint Now, const HostId &From,
                      const TopicUpdate &Update);
  /// A piece of an update from a daemon has arrived. A source that is sending a
  /// large update is not silent.
  void pieceReceived(TimePoint Now, const HostId &From);

  /// Returns whether this daemon must read the store itself.
  bool readsStore(TimePoint Now) const;
  /// Returns whether a recent answer of the source says that it is up to date.
  bool hasLiveSource(TimePoint Now) const {
    return SourceAnswered && !readsStore(Now);
  }

  /// Returns whether its source is live and has heard from the store.
  bool hasConfirmedSource(TimePoint Now) const {
    return SourceConfirmed && hasLiveSource(Now);
  }

private:
  void setSource(TimePoint Now, const HostId &Chosen, const PeerHealth &Peers,
                 SidecarEffects &Out);
  void logReading(TimePoint Now, SidecarEffects &Out);
  std::string_view readingReason(bool Reads) const;

  HostId Self;
  std::string FailureDomain;
  HostId Source;                ///< Self: this daemon reads the store.
  bool SourceAnswered = false;  ///< Since the source was chosen.
  bool SourceConfirmed = false; ///< As its last answer said.
  TimePoint RequestAt{};        ///< Time of the next request to the source.
  TimePoint LiveUntil{};        ///< The source counts as up to date until then.
  bool ReadingLogged = true;    ///< What the last line said of readsStore().
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICRELAY_H
