// PeerSendQueue.cpp - The messages that a link still has to write, and their
// order.

#include "PeerSendQueue.h"

#include "PeerCodec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace figsail {

PeerSendQueue::Queue &PeerSendQueue::queueOf(const PeerMessage &Message) {
  return isControl(Message) ? Control : Calls;
}

void PeerSendQueue::push(PeerMessage Message) {
  QueuedBytes += estimateSize(Message);
  Queue &Target = queueOf(Message);
  Target.push_back(std::move(Message));
}

std::optional<PeerMessage> PeerSendQueue::next() {
  if (!Control.empty())
    return takeFirst(Control);
  if (!Calls.empty())
    return takeFirst(Calls);
  return std::nullopt;
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
  QueuedBytes = 0;
  return All;
}

} // namespace figsail
