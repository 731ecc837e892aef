// WorkspaceTurns.cpp - Turns of the workspaces at a gate.

#include "WorkspaceTurns.h"

namespace figsail {

void WorkspaceTurns::add(const Execute &Message, TimePoint Deadline) {
  Queue.push(Message.Policy.Workspace, Message.Policy.Share, Message.Call,
             Deadline);
}

std::optional<CallId> WorkspaceTurns::take(const std::set<CallId> &Candidates) {
  return Queue.pop(
      [&](const CallId &Call) { return Candidates.contains(Call); });
}

} // namespace figsail
