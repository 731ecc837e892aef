// ReplyCache.h - Final replies that an ingress may still ask for.

#ifndef FIGSAIL_SIDECAR_REPLYCACHE_H
#define FIGSAIL_SIDECAR_REPLYCACHE_H

#include "figsail/PeerMessages.h"

#include <deque>
#include <map>

namespace figsail {

/// Keeps the final reply of each call for a while, bounded in bytes: an ingress
/// whose link broke asks what became of its call. Of what is no longer kept it
/// remembers that there was something, so that nothing which may have run is
/// called "not run", and nothing that was called so runs later.
class ReplyCache {
public:
  /// Keeps a reply. The first one of a call stays.
  void add(TimePoint Now, const CallId &Call, const PeerMessage &Reply);
  /// Returns the reply of a call, or null.
  const PeerMessage *find(const CallId &Call) const;
  /// Returns whether the call may have ended with a reply that is not kept.
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
      EvictedUpTo;                   ///< Highest sequence dropped, by ingress.
  std::deque<Incarnation> Ingresses; ///< Of EvictedUpTo, oldest first.
  std::size_t Bytes = 0;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_REPLYCACHE_H
