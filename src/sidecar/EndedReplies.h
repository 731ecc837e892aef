// EndedReplies.h - Final replies that an ingress may still ask for.

#ifndef FIGSAIL_SIDECAR_ENDEDREPLIES_H
#define FIGSAIL_SIDECAR_ENDEDREPLIES_H

#include "figsail/PeerMessages.h"

#include <deque>
#include <map>

namespace figsail {

/// Keeps the final reply of each call for a while, bounded in bytes: an ingress
/// whose link broke asks what became of its call.
class EndedReplies {
public:
  /// Keeps a reply. The first one of a call stays.
  void add(TimePoint Now, const CallId &Call, const PeerMessage &Reply);
  /// Returns the reply of a call, or null.
  const PeerMessage *find(const CallId &Call) const;

private:
  struct Entry {
    TimePoint At;
    CallId Call;
    std::size_t Bytes = 0;
  };
  std::map<CallId, PeerMessage> Replies;
  std::deque<Entry> Order; ///< Oldest first.
  std::size_t Bytes = 0;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_ENDEDREPLIES_H
