// WorkspaceTurns.h - Turns of the workspaces at a gate.

#ifndef FIGSAIL_SIDECAR_WORKSPACETURNS_H
#define FIGSAIL_SIDECAR_WORKSPACETURNS_H

#include "WorkspaceQueue.h"

#include "figsail/PeerMessages.h"

#include <set>

namespace figsail {

/// Deficit round robin among the workspaces whose calls wait at a gate. The
/// gate names the calls that may start next, one for each workspace; whose turn
/// it is decides among them.
///
/// Load pattern: a workspace sends many times its usual rate. In the order of
/// targets alone its calls would take all slots.
class WorkspaceTurns {
public:
  void add(const Execute &Message, TimePoint Deadline);
  void remove(const CallId &Call) { Queue.erase(Call); }
  /// Returns whether a call of a workspace waits. Without one there are no
  /// turns.
  bool inUse() const { return Queue.size() != Queue.size(std::string()); }
  /// Removes and returns the candidate whose turn it is, if it was added.
  std::optional<CallId> take(const std::set<CallId> &Candidates);

private:
  WorkspaceQueue Queue{0}; ///< The gate bounds the calls.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_WORKSPACETURNS_H
