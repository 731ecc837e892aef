// WorkspaceQueue.h - Queue of calls, served by the shares of their workspaces.

#ifndef FIGSAIL_CORE_WORKSPACEQUEUE_H
#define FIGSAIL_CORE_WORKSPACEQUEUE_H

#include "figsail/Types.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace figsail {

/// A bounded set of queues, one for each workspace, served in deficit round
/// robin. A workspace's share is its weight.
class WorkspaceQueue {
public:
  /// Whether a new call of a workspace may be queued.
  enum class Availability : std::uint8_t {
    Free,      ///< There is a free place.
    Displace,  ///< Full, but another workspace is over its share: displace().
    OverShare, ///< The workspace is over its share while others wait.
    Full,      ///< Full, with calls of this workspace only.
  };

  explicit WorkspaceQueue(std::size_t Capacity) : Capacity(Capacity) {}

  Availability availability(const std::string &Workspace,
                            std::uint32_t Share) const;

  void push(const std::string &Workspace, std::uint32_t Share,
            const CallId &Call, TimePoint Deadline);

  /// Removes and returns the next call by share for which MayStart is true.
  std::optional<CallId>
  pop(const std::function<bool(const CallId &)> &MayStart);

  /// Removes and returns the newest call of the workspace that is most over its
  /// share.
  std::optional<CallId> displace();

  /// Removes a call. Returns whether it was queued.
  bool erase(const CallId &Call);

  /// Removes and returns all calls whose deadline has passed.
  std::vector<CallId> removeExpired(TimePoint Now);

  /// Estimates how many queued calls are served before a new one of a
  /// workspace.
  std::size_t callsAhead(const std::string &Workspace,
                         std::uint32_t Share) const;

  /// Returns the earliest deadline, or TimePoint::max().
  TimePoint nextDeadline() const;
  std::size_t size() const { return Deadlines.size(); }
  std::size_t size(const std::string &Workspace) const;

private:
  /// A deadline and the number of the push, which makes it unique.
  using DeadlineKey = std::pair<TimePoint, std::uint64_t>;
  struct Entry {
    CallId Call;
    DeadlineKey Key;
  };
  struct CallQueue {
    std::string Workspace;
    std::uint32_t Share = 1;
    double Deficit = 0; ///< In calls.
    std::deque<Entry> Calls;
  };
  const CallQueue *find(const std::string &Workspace) const;
  double sumOfShares(const std::string &Workspace, std::uint32_t Share) const;
  std::optional<CallId>
  popFrom(CallQueue &From, const std::function<bool(const CallId &)> &MayStart);
  void eraseEmptyQueues();

  std::size_t Capacity;
  std::list<CallQueue> Queues; ///< Non-empty; the front is served next.
  std::map<DeadlineKey, CallId> Deadlines;
  std::uint64_t Pushes = 0;
};

} // namespace figsail

#endif // FIGSAIL_CORE_WORKSPACEQUEUE_H
