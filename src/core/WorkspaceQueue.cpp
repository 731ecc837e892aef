// WorkspaceQueue.cpp - Deficit round robin over the workspaces.

#include "WorkspaceQueue.h"

#include <algorithm>
#include <cmath>

namespace figsail {

const WorkspaceQueue::CallQueue *
WorkspaceQueue::find(const std::string &Workspace) const {
  auto Found = std::ranges::find(Queues, Workspace, &CallQueue::Workspace);
  return Found == Queues.end() ? nullptr : &*Found;
}

std::size_t WorkspaceQueue::size(const std::string &Workspace) const {
  const CallQueue *Known = find(Workspace);
  return Known ? Known->Calls.size() : 0;
}

/// Returns the sum of the shares of Workspace, which may have no queue yet, and
/// of all other workspaces that have queued calls.
double WorkspaceQueue::sumOfShares(const std::string &Workspace,
                                   std::uint32_t Share) const {
  double Sum = Share;
  for (const CallQueue &Queue : Queues)
    if (Queue.Workspace != Workspace)
      Sum += Queue.Share;
  return Sum;
}

WorkspaceQueue::Availability
WorkspaceQueue::availability(const std::string &Workspace,
                             std::uint32_t Share) const {
  Share = std::max(Share, 1U);
  std::size_t Own = size(Workspace);
  bool OthersWait = Own < size();
  double OwnCapacity =
      static_cast<double>(Capacity) * Share / sumOfShares(Workspace, Share);
  if (OthersWait && static_cast<double>(Own + 1) > std::max(OwnCapacity, 1.0))
    return Availability::OverShare;
  if (size() < Capacity)
    return Availability::Free;
  return OthersWait ? Availability::Displace : Availability::Full;
}

void WorkspaceQueue::push(const std::string &Workspace, std::uint32_t Share,
                          const CallId &Call, TimePoint Deadline) {
  auto Found = std::ranges::find(Queues, Workspace, &CallQueue::Workspace);
  if (Found == Queues.end())
    Found = Queues.insert(Queues.end(), CallQueue{Workspace, 1, 0, {}});
  Found->Share = std::max(Share, 1U);
  DeadlineKey Key{Deadline, ++Pushes};
  Found->Calls.push_back({Call, Key});
  Deadlines.emplace(Key, Call);
}

std::optional<CallId>
WorkspaceQueue::popFrom(CallQueue &From,
                        const std::function<bool(const CallId &)> &MayStart) {
  for (auto It = From.Calls.begin(); It != From.Calls.end(); ++It) {
    if (!MayStart(It->Call))
      continue;
    CallId Call = It->Call;
    Deadlines.erase(It->Key);
    From.Calls.erase(It);
    return Call;
  }
  return std::nullopt;
}

std::optional<CallId>
WorkspaceQueue::pop(const std::function<bool(const CallId &)> &MayStart) {
  std::uint32_t Largest = 1;
  for (const CallQueue &Queue : Queues)
    Largest = std::max(Largest, Queue.Share);
  // Quanta are relative to the largest share, so a queue is visited at most
  // Largest times before one of its calls may start.
  std::size_t Blocked = 0;
  while (Blocked < Queues.size()) {
    CallQueue &Next = Queues.front();
    if (Next.Deficit < 1)
      Next.Deficit += static_cast<double>(Next.Share) / Largest;
    std::optional<CallId> Taken;
    // The tolerance keeps rounding errors from delaying a queue's turn.
    bool Turn = Next.Deficit > 1 - 1e-9;
    if (Turn) {
      Taken = popFrom(Next, MayStart);
      Next.Deficit = Taken ? std::max(0.0, Next.Deficit - 1) : 1;
    }
    Blocked = Turn ? Blocked + 1 : 0;
    Queues.splice(Queues.end(), Queues, Queues.begin());
    if (!Taken)
      continue;
    eraseEmptyQueues();
    return Taken;
  }
  return std::nullopt;
}

std::optional<CallId> WorkspaceQueue::displace() {
  auto Excess = [](const CallQueue &Queue) {
    return static_cast<double>(Queue.Calls.size()) / Queue.Share;
  };
  auto Most = std::ranges::max_element(Queues, {}, Excess);
  if (Most == Queues.end())
    return std::nullopt;
  Entry Last = Most->Calls.back();
  Most->Calls.pop_back();
  Deadlines.erase(Last.Key);
  eraseEmptyQueues();
  return Last.Call;
}

bool WorkspaceQueue::erase(const CallId &Call) {
  for (CallQueue &Queue : Queues) {
    auto Found = std::ranges::find(Queue.Calls, Call, &Entry::Call);
    if (Found == Queue.Calls.end())
      continue;
    Deadlines.erase(Found->Key);
    Queue.Calls.erase(Found);
    eraseEmptyQueues();
    return true;
  }
  return false;
}

std::vector<CallId> WorkspaceQueue::removeExpired(TimePoint Now) {
  std::vector<CallId> Expired;
  while (!Deadlines.empty() && Deadlines.begin()->first.first <= Now) {
    CallId Call = Deadlines.begin()->second;
    Expired.push_back(Call);
    erase(Call);
  }
  return Expired;
}

std::size_t WorkspaceQueue::callsAhead(const std::string &Workspace,
                                       std::uint32_t Share) const {
  Share = std::max(Share, 1U);
  double Own = static_cast<double>(size(Workspace)) + 1;
  double Turns = Own * sumOfShares(Workspace, Share) / Share;
  return std::min(size(), static_cast<std::size_t>(std::ceil(Turns)) - 1);
}

TimePoint WorkspaceQueue::nextDeadline() const {
  return Deadlines.empty() ? TimePoint::max() : Deadlines.begin()->first.first;
}

void WorkspaceQueue::eraseEmptyQueues() {
  std::erase_if(Queues,
                [](const CallQueue &Queue) { return Queue.Calls.empty(); });
}

} // namespace figsail
