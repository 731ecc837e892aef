// PeerSendQueue.h - The messages that a link still has to write, and their
// order.

#ifndef FIGSAIL_PEERSENDQUEUE_H
#define FIGSAIL_PEERSENDQUEUE_H

#include "BulkQueue.h"

#include <deque>
#include <optional>
#include <vector>

namespace figsail {

/// Queue of the messages of one link. Control messages overtake calls, and both
/// overtake bulk. Messages of one class stay in order, except that the pieces
/// of several answers take turns (BulkQueue).
///
/// Each write ends with one bulk message if any is queued. So what is queued
/// during the write waits for at most one of them, and bulk makes progress
/// however many calls there are.
class PeerSendQueue {
public:
  void push(PeerMessage Message);
  /// Starts a new write, without pieces of answers unless they are allowed.
  void startWrite(bool Allowed = true) {
    BulkInWrite = false;
    AnswersAllowed = Allowed;
  }
  /// Removes and returns the next message of the current write, which has
  /// WriteBytes bytes so far. Returns nothing when the write is complete; the
  /// queue may then still hold messages.
  std::optional<PeerMessage> next(std::size_t WriteBytes);
  /// Removes the pieces of an answer that is no longer wanted.
  void dropAnswer(const CallId &Call);
  /// Removes and returns all messages in the order of their classes.
  std::vector<PeerMessage> takeAll();

  bool empty() const {
    return Control.empty() && Calls.empty() && Bulk.empty();
  }
  /// Returns whether a piece of an answer is queued.
  bool hasAnswers() const { return Bulk.hasAnswers(); }
  /// Returns the estimated size of all queued messages in bytes.
  std::size_t queuedBytes() const { return QueuedBytes; }

private:
  using Queue = std::deque<PeerMessage>;

  PeerMessage takeFirst(Queue &From);

  Queue Control;
  Queue Calls;
  BulkQueue Bulk;
  std::size_t QueuedBytes = 0;
  bool BulkInWrite = false; ///< The current write has its bulk message.
  bool AnswersAllowed = true;
};

} // namespace figsail

#endif // FIGSAIL_PEERSENDQUEUE_H
