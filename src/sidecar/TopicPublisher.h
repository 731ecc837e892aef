// TopicPublisher.h - Streams of topic updates to the subscribers of a daemon.

#ifndef FIGSAIL_SIDECAR_TOPICPUBLISHER_H
#define FIGSAIL_SIDECAR_TOPICPUBLISHER_H

#include "SidecarEvents.h"
#include "TopicPacking.h"

#include <map>
#include <string>
#include <vector>

namespace figsail {

/// Sender of topic updates. It remembers what it has sent to each subscriber
/// over the present link, so that a renewed subscription is not answered with
/// records that are still under way. Large updates are compressed and sent in
/// pieces.
///
/// Load pattern: a configuration of half a megabyte goes to all hosts, over
/// links of 10 Mbit/s that also carry calls. Sent whole, once for each renewed
/// subscription, it occupies these links for many seconds.
class TopicPublisher {
public:
  /// A daemon has subscribed. Returns the offsets, by topic, below which
  /// nothing has to be sent in the reply.
  std::vector<Offset> subscribe(TimePoint Now, const PeerRef &From,
                                const TopicSubscribe &Request,
                                StoreHistory History);
  /// Returns the daemons whose subscriptions have not expired.
  std::vector<HostId> subscribers(TimePoint Now);

  /// Sends a reply to a subscription. It covers all records up to its offsets.
  void reply(const HostId &To, TopicUpdate Update, const ValueBases &Bases,
             SidecarEffects &Out);
  /// Sends new records. UpTo: offsets, by topic, below which the subscriber has
  /// been sent everything by then.
  void push(const HostId &To, TopicUpdate Update,
            const std::vector<Offset> &UpTo, const ValueBases &Bases,
            SidecarEffects &Out);

  /// The link to a daemon broke or was reset. What was sent may be lost.
  void linkLost(const HostId &Host) { Subscribers.erase(Host); }

private:
  struct Subscriber {
    TimePoint RequestedAt;
    Incarnation Inc = 0;
    StoreHistory History = 0;     ///< That SentUpTo belongs to.
    std::uint64_t Stream = 0;     ///< 0: the subscriber does not use streams.
    std::uint64_t Number = 0;     ///< Of the last update.
    std::uint64_t Base = 0;       ///< Digest of a value that it has; 0: none.
    std::vector<Offset> SentUpTo; ///< By topic.
  };

  void send(const HostId &To, TopicUpdate Update, const ValueBases &Bases,
            SidecarEffects &Out);
  const PackedUpdate &pack(const TopicUpdate &Update, std::uint64_t Base,
                           const ValueBases &Bases);

  std::uint64_t Starts = 0; ///< Of streams.
  std::map<HostId, Subscriber> Subscribers;
  /// Packed updates for other subscribers; the newest at the back.
  std::vector<PackedUpdate> Recent;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICPUBLISHER_H
