// WorkspaceQueue.cpp - Deficit round robin over the workspaces that wait.

#include "WorkspaceQueue.h"

#include <algorithm>
#include <cmath>

namespace figsail {

const WorkspaceQueue::Line *
WorkspaceQueue::find(const std::string &Workspace) const {
  auto Found = std::ranges::find(Lines, Workspace, &Line::Workspace);
  return Found == Lines.end() ? nullptr : &*Found;
}

std::size_t WorkspaceQueue::size(const std::string &Workspace) const {
  const Line *Known = find(Workspace);
  return Known ? Known->Calls.size() : 0;
}

/// Sums the shares of all that wait and of Workspace, which may not wait yet.
double WorkspaceQueue::shares(const std::string &Workspace,
                              std::uint32_t Share) const {
  double Sum = Share;
  for (const Line &Other : Lines)
    if (Other.Workspace != Workspace)
      Sum += Other.Share;
  return Sum;
}

WorkspaceQueue::Room WorkspaceQueue::room(const std::string &Workspace,
                                          std::uint32_t Share) const {
  Share = std::max(Share, 1U);
  std::size_t Own = size(Workspace);
  bool OthersWait = Own < size();
  double Part =
      static_cast<double>(Capacity) * Share / shares(Workspace, Share);
  if (OthersWait && static_cast<double>(Own + 1) > std::max(Part, 1.0))
    return Room::OverShare;
  if (size() < Capacity)
    return Room::Free;
  return OthersWait ? Room::Displace : Room::Full;
}

void WorkspaceQueue::push(const std::string &Workspace, std::uint32_t Share,
                          const CallId &Call, TimePoint Deadline) {
  auto Found = std::ranges::find(Lines, Workspace, &Line::Workspace);
  if (Found == Lines.end())
    Found = Lines.insert(Lines.end(), Line{Workspace, 1, 0, {}});
  Found->Share = std::max(Share, 1U);
  DeadlineKey Key{Deadline, ++Pushes};
  Found->Calls.push_back({Call, Key});
  Deadlines.emplace(Key, Call);
}

std::optional<CallId>
WorkspaceQueue::takeFrom(Line &From,
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
  for (const Line &Waiting : Lines)
    Largest = std::max(Largest, Waiting.Share);
  // Quanta are relative to the largest share, so a line is visited at most
  // Largest times before it may send one call.
  std::size_t Blocked = 0;
  while (Blocked < Lines.size()) {
    Line &Next = Lines.front();
    if (Next.Deficit < 1)
      Next.Deficit += static_cast<double>(Next.Share) / Largest;
    std::optional<CallId> Taken;
    // Rounding must not cost a line its turn.
    bool Turn = Next.Deficit > 1 - 1e-9;
    if (Turn) {
      Taken = takeFrom(Next, MayStart);
      Next.Deficit = Taken ? std::max(0.0, Next.Deficit - 1) : 1;
    }
    Blocked = Turn ? Blocked + 1 : 0;
    Lines.splice(Lines.end(), Lines, Lines.begin());
    if (!Taken)
      continue;
    dropEmptyLines();
    return Taken;
  }
  return std::nullopt;
}

std::optional<CallId> WorkspaceQueue::displace() {
  auto Excess = [](const Line &Waiting) {
    return static_cast<double>(Waiting.Calls.size()) / Waiting.Share;
  };
  auto Most = std::ranges::max_element(Lines, {}, Excess);
  if (Most == Lines.end())
    return std::nullopt;
  Entry Last = Most->Calls.back();
  Most->Calls.pop_back();
  Deadlines.erase(Last.Key);
  dropEmptyLines();
  return Last.Call;
}

bool WorkspaceQueue::erase(const CallId &Call) {
  for (Line &Waiting : Lines) {
    auto Found = std::ranges::find(Waiting.Calls, Call, &Entry::Call);
    if (Found == Waiting.Calls.end())
      continue;
    Deadlines.erase(Found->Key);
    Waiting.Calls.erase(Found);
    dropEmptyLines();
    return true;
  }
  return false;
}

std::vector<CallId> WorkspaceQueue::takeExpired(TimePoint Now) {
  std::vector<CallId> Expired;
  while (!Deadlines.empty() && Deadlines.begin()->first.first <= Now) {
    CallId Call = Deadlines.begin()->second;
    Expired.push_back(Call);
    erase(Call);
  }
  return Expired;
}

std::size_t WorkspaceQueue::ahead(const std::string &Workspace,
                                  std::uint32_t Share) const {
  Share = std::max(Share, 1U);
  double Own = static_cast<double>(size(Workspace)) + 1;
  double Turns = Own * shares(Workspace, Share) / Share;
  return std::min(size(), static_cast<std::size_t>(std::ceil(Turns)) - 1);
}

TimePoint WorkspaceQueue::nextDeadline() const {
  return Deadlines.empty() ? TimePoint::max() : Deadlines.begin()->first.first;
}

void WorkspaceQueue::dropEmptyLines() {
  std::erase_if(Lines,
                [](const Line &Waiting) { return Waiting.Calls.empty(); });
}

} // namespace figsail
