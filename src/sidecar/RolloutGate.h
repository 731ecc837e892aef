// RolloutGate.h - Limit on the runs of a new version's backend server.

#ifndef FIGSAIL_SIDECAR_ROLLOUTGATE_H
#define FIGSAIL_SIDECAR_ROLLOUTGATE_H

#include "Rollout.h"
#include "RolloutJudge.h"

#include "figsail/PeerMessages.h"

#include <map>
#include <string>

namespace figsail {

/// What a rollout means for the backend server beside this daemon.
enum class RolloutRole : std::uint8_t {
  None,   ///< Its service has no order in progress; it is not limited.
  Old,    ///< It has another version than the target; it is not limited.
  Target, ///< It has the target version; controllers limit it.
  Open,   ///< It has the target version of a completed order.
  Closed, ///< Its version was rejected, or may be that of an order that this
          ///< daemon has not read yet.
};

/// Gate of a rollout at one backend server. A server of the target version
/// starts no run until controllers have granted a number of runs. The most
/// cautious of their recent replies applies. The server closes when they fall
/// silent, and for good when one of them judges its version bad. Everything
/// that runs is counted for them.
class RolloutGate {
public:
  /// Sets the role of the server in an order. Another order, role or server
  /// begins the counts at zero. EpochSeed: of this daemon's incarnation.
  void setRole(RolloutRole Next, Offset Order, const std::string &Instance,
               std::uint64_t EpochSeed);
  RolloutRole role() const { return Role; }
  /// Sets how long a reply of a controller applies.
  void setReplyLifetime(Duration Time) { ReplyLifetime = Time; }

  /// A controller has replied to a report.
  void verdict(TimePoint Now, const HostId &From, const RolloutVerdict &Reply);
  /// Returns whether one more run may start besides those that already wait.
  bool admits(TimePoint Now, std::size_t Waiting) const;

  /// A run has started.
  void started() { ++Counts.Started; }
  /// A call was refused for lack of capacity.
  void refused() { ++Counts.Refused; }
  /// A run has ended after its target.
  void late() { ++Counts.Late; }
  /// A run has ended with a response. Failed: by the server's own fault.
  void ended(const std::string &Route, bool Failed);
  /// A run has taken this long, divided by the server's slowdown factor.
  void timed(const std::string &Route, Duration UsualTime);

  /// Returns the counts for a report. The service and the state of the server
  /// are not set.
  RolloutReport report() const { return Counts; }
  /// Returns whether a controller said that the order is completed.
  bool completed() const { return Completed; }
  /// Returns whether a controller said that the version is bad.
  bool closedForGood() const { return Bad; }

private:
  /// Last reply of a controller.
  struct Reply {
    TimePoint At;
    std::uint32_t Grant = 0; ///< Runs, since the start of the epoch.
  };
  RolloutRouteCounts &route(const std::string &Name);

  RolloutRole Role = RolloutRole::None;
  Duration ReplyLifetime{std::chrono::seconds(2)};
  std::string Instance;
  std::uint64_t Epochs = 0;
  bool Bad = false;
  bool Completed = false;
  std::map<HostId, Reply> Replies; ///< By controller.
  RolloutReport Counts;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_ROLLOUTGATE_H
