// TopicRelay.h - Sharing of store reads among the daemons of a failure domain.

#ifndef FIGSAIL_SIDECAR_TOPICRELAY_H
#define FIGSAIL_SIDECAR_TOPICRELAY_H

#include "Instance.h"
#include "PeerHealth.h"
#include "SidecarEvents.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace figsail {

/// Choice of the daemon from which this one receives the topics. One daemon of
/// each failure domain reads the store. Each other daemon subscribes to a
/// source twice a second, and the source forwards new records at once.
///
/// The sources form a tree by the hashes of the host names. Each source has a
/// lower hash than its subscribers, so daemons with different views of the live
/// hosts never wait for each other in a cycle. A daemon reads the store itself
/// if no daemon with a lower hash can be its source, or its source is silent,
/// so no agreement is needed.
///
/// A source that reads the store in vain says so, and its subscribers set it
/// aside for some time: the next daemon in the order reads the store in its
/// place, and the others subscribe to that one. So a host that is cut off from
/// the store keeps nothing from its domain. If the store serves nobody, one
/// daemon more tries in each step, and as many give up.
///
/// A daemon whose own reads fail subscribes to the next host of its domain
/// meanwhile, and if that one is not up to date, to a host of another domain.
/// It forwards what it gets. No cycle can come of that: nobody counts as up to
/// date through a reader that fails or through another domain.
///
/// Load pattern: most hosts of a domain lose the store at once, and a
/// configuration follows. One reader after another fails, each found out by a
/// read that stays unanswered, and the whole domain would wait for the one that
/// still reads. A reader of another domain has the record already.
///
/// Load pattern: a configuration goes to every host of a large domain, over the
/// links that also carry calls. If one reader sent it to all others, the
/// reader's traffic would grow with the number of hosts.
///
/// Load pattern: the store refuses reads for a moment, while configurations are
/// written. If every daemon whose source is behind read the store, a hundred
/// copies of what was missed would fill the links when it serves again.
class TopicRelay {
public:
  TopicRelay(HostId Self, std::string FailureDomain)
      : Self(std::move(Self)), FailureDomain(std::move(FailureDomain)) {}

  /// Returns the request for a source.
  using RequestMaker = std::function<TopicSubscribe(const HostId &Source)>;

  /// Chooses the source again and sends it a request, if that is due. Failing:
  /// this daemon's own reads of the store fail.
  void timer(TimePoint Now, const InstanceDirectory &Directory,
             const PeerHealth &Peers, bool Failing,
             const RequestMaker &MakeRequest, SidecarEffects &Out);
  TimePoint nextWake() const { return RequestAt; }

  /// An update from a daemon has arrived.
  void updateReceived(TimePoint Now, const HostId &From,
                      const TopicUpdate &Update);
  /// A piece of an update from a daemon has arrived. A source that is sending a
  /// large update is not silent.
  void pieceReceived(TimePoint Now, const HostId &From);

  /// Returns whether this daemon must read the store itself.
  bool readsStore(TimePoint Now) const;
  /// Returns whether no other daemon can be the source, so that this one reads
  /// the store for its subscribers too.
  bool isReader() const { return Reader; }
  /// Returns whether a recent answer of the source says that it is up to date.
  bool hasLiveSource(TimePoint Now) const {
    return SourceLive && !SourceIsForeign && Now < SilentAt;
  }

  /// Returns whether its source is live and has heard from the store.
  bool hasConfirmedSource(TimePoint Now) const {
    return SourceConfirmed && hasLiveSource(Now);
  }

private:
  struct Choice {
    HostId Host;
    bool Foreign = false; ///< It is in another failure domain.
  };

  Choice chooseSource(TimePoint Now, const InstanceDirectory &Directory,
                      const PeerHealth &Peers, bool Failing);
  HostId chooseForeignSource(const InstanceDirectory &Directory,
                             const PeerHealth &Peers) const;
  bool isEligible(const Announcement &Announced, const PeerHealth &Peers) const;
  void setSource(TimePoint Now, const Choice &Chosen, std::string_view Reason,
                 SidecarEffects &Out);
  std::string_view changeReason(TimePoint Now, const PeerHealth &Peers) const;
  void setAside(TimePoint Now, const HostId &Host, std::string_view Reason);
  bool isSourceBehind(TimePoint Now) const;
  bool isReplacementSilent(TimePoint Now) const;
  void logReading(TimePoint Now, SidecarEffects &Out);
  std::string_view readingReason(bool Reads) const;

  /// A daemon that is no source for some time.
  struct Aside {
    TimePoint Until;
    std::string_view Reason; ///< A string literal.
  };

  HostId Self;
  std::string FailureDomain;
  HostId Source;                ///< Self: there is none.
  bool SourceIsForeign = false; ///< It is in another failure domain.
  TimePoint ForeignUntil{};     ///< Until then the source is a foreign one.
  bool Reader = false;          ///< No daemon with a lower hash is a source.
  bool SourceAnswered = false;  ///< Since the source was chosen.
  bool SourceLive = false;      ///< As its last answer said.
  bool SourceConfirmed = false; ///< As its last answer said.
  TimePoint RequestAt{};        ///< Time of the next request to the source.
  TimePoint SilentAt{};         ///< The source counts as silent from then on.
  TimePoint BehindSince{};      ///< Without an answer that it is up to date.
  std::map<HostId, Aside> SetAside;
  bool ReadingLogged = true; ///< What the last line said of readsStore().
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICRELAY_H
