// PeerSendQueue.cpp - The messages that a link still has to write, and their
// order.

#include "PeerSendQueue.h"

#include "PeerCodec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace figsail {

/// Bytes in a write from which on no further control message or call is added.
/// Larger writes would delay control messages that are queued meanwhile.
static constexpr std::size_t WriteTarget = std::size_t(64) * 1024;

PeerSendQueue::Queue &PeerSendQueue::queueOf(const PeerMessage &Message) {
  if (isBulk(Message))
    return Bulk;
  return isControl(Message) ? Control : Calls;
}

void PeerSendQueue::push(PeerMessage Message) {
  QueuedBytes += estimateSize(Message);
  Queue &Target = queueOf(Message);
  Target.push_back(std::move(Message));
}

std::optional<PeerMessage> PeerSendQueue::next(std::size_t WriteBytes) {
  if (BulkInWrite)
    return std::nullopt;
  bool Full = WriteBytes >= WriteTarget;
  if (!Full && !Control.empty())
    return takeFirst(Control);
  if (!Full && !Calls.empty())
    return takeFirst(Calls);
  if (Bulk.empty())
    return std::nullopt;
  BulkInWrite = true;
  return takeFirst(Bulk);
}

PeerMessage PeerSendQueue::takeFirst(Queue &From) {
  PeerMessage First = std::move(From.front());
  From.pop_front();
  QueuedBytes -= estimateSize(First);
  return First;
}

std::vector<PeerMessage> PeerSendQueue::takeAll() {
  std::vector<PeerMessage> All;
  for (Queue *From : {&Control, &Calls, &Bulk}) {
    std::ranges::move(*From, std::back_inserter(All));
    From->clear();
  }
  QueuedBytes = 0;
  return All;
}

} // namespace figsail
