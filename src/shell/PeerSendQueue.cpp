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

void PeerSendQueue::push(PeerMessage Message) {
  std::size_t Bytes = estimateSize(Message);
  if (isBulk(Message)) {
    if (Bulk.push(std::move(Message)))
      QueuedBytes += Bytes;
    return;
  }
  QueuedBytes += Bytes;
  Queue &Target = isControl(Message) ? Control : Calls;
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
  std::optional<PeerMessage> Taken = Bulk.take(AnswersAllowed);
  BulkInWrite = Taken.has_value();
  if (Taken)
    QueuedBytes -= estimateSize(*Taken);
  return Taken;
}

void PeerSendQueue::dropAnswer(const CallId &Call) {
  for (const PeerMessage &Dropped : Bulk.takeAnswer(Call))
    QueuedBytes -= estimateSize(Dropped);
}

PeerMessage PeerSendQueue::takeFirst(Queue &From) {
  PeerMessage First = std::move(From.front());
  From.pop_front();
  QueuedBytes -= estimateSize(First);
  return First;
}

std::vector<PeerMessage> PeerSendQueue::takeAll() {
  std::vector<PeerMessage> All;
  for (Queue *From : {&Control, &Calls}) {
    std::ranges::move(*From, std::back_inserter(All));
    From->clear();
  }
  std::ranges::move(Bulk.takeAll(), std::back_inserter(All));
  QueuedBytes = 0;
  return All;
}

} // namespace figsail
