// PeerSendQueue.h - The messages that a link still has to write, and their
// order.

#ifndef FIGSAIL_PEERSENDQUEUE_H
#define FIGSAIL_PEERSENDQUEUE_H

#include "figsail/PeerMessages.h"

#include <deque>
#include <optional>
#include <vector>

namespace figsail {

/// Queue of the messages of one link. Control messages overtake calls; messages
/// of one class stay in order.
class PeerSendQueue {
public:
  void push(PeerMessage Message);
  /// Removes and returns the message to write next, or nothing if none is
  /// queued.
  std::optional<PeerMessage> next();
  /// Removes and returns all messages in the order of their classes.
  std::vector<PeerMessage> takeAll();

  bool empty() const { return Control.empty() && Calls.empty(); }
  /// Returns the estimated size of all queued messages in bytes.
  std::size_t queuedBytes() const { return QueuedBytes; }

private:
  using Queue = std::deque<PeerMessage>;

  Queue &queueOf(const PeerMessage &Message);
  PeerMessage takeFirst(Queue &From);

  Queue Control;
  Queue Calls;
  std::size_t QueuedBytes = 0;
};

} // namespace figsail

#endif // FIGSAIL_PEERSENDQUEUE_H
