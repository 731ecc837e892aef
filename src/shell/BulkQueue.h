// BulkQueue.h - The bulk messages that a link still has to write.

#ifndef FIGSAIL_BULKQUEUE_H
#define FIGSAIL_BULKQUEUE_H

#include "figsail/PeerMessages.h"

#include <deque>
#include <list>
#include <optional>
#include <vector>

namespace figsail {

/// Queue of the bulk messages of one link. The pieces of each answer are a flow
/// of their own, and all other messages are one flow. Flows take turns, one
/// message each; the messages of a flow stay in order.
class BulkQueue {
public:
  /// Adds a message. Returns whether it did: a piece of an answer that is still
  /// being sent is not queued again.
  bool push(PeerMessage Message);
  /// Removes and returns the message whose turn it is, without answers if they
  /// may not be sent now.
  std::optional<PeerMessage> take(bool AnswersAllowed);
  /// Removes and returns the pieces of one answer.
  std::vector<PeerMessage> takeAnswer(const CallId &Call);
  std::vector<PeerMessage> takeAll();

  bool empty() const { return Flows.empty(); }
  /// Returns whether a piece of an answer is queued.
  bool hasAnswers() const;

private:
  struct Flow {
    std::optional<CallId> Answer; ///< None: the other messages.
    std::uint32_t NextIndex = 0;  ///< Of the pieces; earlier ones were queued.
    std::deque<PeerMessage> Messages; ///< Never empty.
  };
  Flow &findOrAdd(const std::optional<CallId> &Answer);

  std::list<Flow> Flows; ///< In the order of their turns.
};

} // namespace figsail

#endif // FIGSAIL_BULKQUEUE_H
