// ReplyCache.h - Cache of final replies that an ingress may still request.

#ifndef FIGSAIL_SIDECAR_REPLYCACHE_H
#define FIGSAIL_SIDECAR_REPLYCACHE_H

#include "figsail/PeerMessages.h"

#include <deque>
#include <map>

namespace figsail {

/// Cache of the final reply of each call, bounded in time and bytes. An ingress
/// whose link broke requests the reply again. For evicted replies the cache
/// keeps the highest sequence number of each ingress, so that a call that may
/// have run is never reported as "not run", and a call reported as "not run"
/// does not run later.
class ReplyCache {
public:
  /// Adds a reply, unless the call already has one.
  void add(TimePoint Now, const CallId &Call, const PeerMessage &Reply);
  /// Returns the reply to a call, or null.
  const PeerMessage *find(const CallId &Call) const;
  /// Returns whether the call may have ended with a reply that was evicted.
  bool mayBeEvicted(const CallId &Call) const;

private:
  void evictOldest();

  struct Entry {
    TimePoint AddedAt;
    CallId Call;
    std::size_t Bytes = 0;
  };
  std::map<CallId, PeerMessage> Replies;
  std::deque<Entry> Order; ///< Oldest first.
  std::map<Incarnation, std::uint64_t>
      EvictedUpTo;                   ///< Highest evicted sequence, by ingress.
  std::deque<Incarnation> Ingresses; ///< Keys of EvictedUpTo, oldest first.
  std::size_t Bytes = 0;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_REPLYCACHE_H
