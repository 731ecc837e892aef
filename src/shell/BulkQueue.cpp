// BulkQueue.cpp - The bulk messages that a link still has to write.

#include "BulkQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace figsail {

BulkQueue::Flow &BulkQueue::findOrAdd(const std::optional<CallId> &Answer) {
  auto Found = std::ranges::find(Flows, Answer, &Flow::Answer);
  if (Found != Flows.end())
    return *Found;
  Flow &New = Flows.emplace_back();
  New.Answer = Answer;
  return New;
}

bool BulkQueue::push(PeerMessage Message) {
  const auto *Piece = std::get_if<AnswerPiece>(&Message);
  if (!Piece) {
    findOrAdd(std::nullopt).Messages.push_back(std::move(Message));
    return true;
  }
  // The ingress has asked again. What is queued reaches it, or the link breaks.
  Flow &Target = findOrAdd(Piece->Call);
  if (Piece->Index < Target.NextIndex)
    return false;
  Target.NextIndex = Piece->Index + 1;
  Target.Messages.push_back(std::move(Message));
  return true;
}

std::optional<PeerMessage> BulkQueue::take(bool AnswersAllowed) {
  auto Next = std::ranges::find_if(Flows, [&](const Flow &Candidate) {
    return AnswersAllowed || !Candidate.Answer;
  });
  if (Next == Flows.end())
    return std::nullopt;
  PeerMessage First = std::move(Next->Messages.front());
  Next->Messages.pop_front();
  if (Next->Messages.empty())
    Flows.erase(Next);
  else
    Flows.splice(Flows.end(), Flows, Next);
  return First;
}

static void moveTo(std::vector<PeerMessage> &To,
                   std::deque<PeerMessage> &From) {
  std::ranges::move(From, std::back_inserter(To));
}

std::vector<PeerMessage> BulkQueue::takeAnswer(const CallId &Call) {
  std::vector<PeerMessage> Taken;
  auto Found = std::ranges::find(Flows, std::optional(Call), &Flow::Answer);
  if (Found == Flows.end())
    return Taken;
  moveTo(Taken, Found->Messages);
  Flows.erase(Found);
  return Taken;
}

std::vector<PeerMessage> BulkQueue::takeAll() {
  std::vector<PeerMessage> All;
  for (Flow &Each : Flows)
    moveTo(All, Each.Messages);
  Flows.clear();
  return All;
}

bool BulkQueue::hasAnswers() const {
  return std::ranges::any_of(
      Flows, [](const Flow &Each) { return Each.Answer.has_value(); });
}

} // namespace figsail
