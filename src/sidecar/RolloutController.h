// RolloutController.h - Decisions on one rollout order.

#ifndef FIGSAIL_SIDECAR_ROLLOUTCONTROLLER_H
#define FIGSAIL_SIDECAR_ROLLOUTCONTROLLER_H

#include "Instance.h"
#include "RolloutJudge.h"
#include "RolloutOrders.h"
#include "SidecarEvents.h"
#include "SidecarSettings.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figsail {

/// The inputs of one step of a controller and the list for its effects.
struct RolloutControllerStep {
  TimePoint Now;
  const ActiveRollout &Rollout;
  const SidecarBounds &Bounds;
  /// Position of this daemon in the order of the controllers, from 0 on. Only
  /// the first acts at once; the others act when it does not.
  unsigned Rank = 0;
  const InstanceDirectory &Directory;
  SidecarEffects &Out;
};

/// Controller of one rollout order. It sums the reports of the service's gates,
/// judges the new version, grants runs to the gates and decides on the steps.
/// The step that the rollout has reached is that of the newest share record, so
/// several controllers, and those that have restarted, continue from the same.
///
/// Load pattern: a bad version of a service gets calls while nobody knows that
/// it is bad. Until it has been healthy for nearly half of the order's time,
/// each controller grants less than a third of the exposure limit, so that up
/// to three controllers that cannot hear each other stay within the limit.
class RolloutController {
public:
  explicit RolloutController(TimePoint Now) : StartedAt(Now) {}

  /// A gate has reported. Returns the reply.
  RolloutVerdict report(RolloutControllerStep &Step, const HostId &From,
                        const RolloutReport &Message);
  /// Judges the version and decides what to write next.
  void tick(RolloutControllerStep &Step);

  /// Returns the share record to append now, if any.
  std::optional<RolloutShare> takeShare(const RolloutControllerStep &Step);
  /// Returns the status to write now, if any.
  std::optional<RolloutState>
  dueStatus(const RolloutControllerStep &Step) const;
  /// The status topic was read. Present: the entry of the service. Returns the
  /// status to write, or nothing if there is nothing to write.
  std::optional<RolloutState>
  statusRead(RolloutControllerStep &Step,
             const std::optional<RolloutStatus> &Present);
  /// A write of the status has ended.
  void statusWritten(RolloutControllerStep &Step, RolloutState State,
                     RolloutStatusWritten::Outcome Result);
  /// The status topic could not be read.
  void statusUnknown(TimePoint Now);

  /// Returns the state that gates are told.
  RolloutState state(const ActiveRollout &Rollout) const;
  /// Returns when the last report arrived.
  TimePoint lastReportAt() const { return LastReportAt; }

private:
  /// A gate that has reported.
  struct Gate {
    RolloutReport Last;
    TimePoint At;
    std::uint32_t Grant = 0; ///< Runs, in the epoch of the last report.
  };
  /// Counts over gates.
  struct Sums {
    std::uint64_t Started = 0;
    std::uint64_t Refused = 0;
    std::uint64_t Late = 0;
    VersionTotals Routes;
  };
  /// Sums at some time.
  struct Sample {
    TimePoint At;
    Sums Old;
    Sums New;
  };
  /// An action that is wanted since some time.
  struct Wanted {
    TimePoint Since;
    TimePoint RetryAt;
  };

  static void addReport(Sums &Total, const RolloutReport &Report);
  void retire(const Gate &Ended);
  void sum();
  void judge(RolloutControllerStep &Step);
  void observeStep(const RolloutControllerStep &Step);
  void close(RolloutControllerStep &Step, std::string_view Reason);
  void notifyTargets(RolloutControllerStep &Step) const;
  RolloutVerdict reply(const RolloutControllerStep &Step,
                       const Gate &Reporter) const;
  std::string_view closeReason(const RolloutControllerStep &Step) const;
  void decide(RolloutControllerStep &Step);
  bool mayAdvance(const RolloutControllerStep &Step) const;
  bool mayStartTrial(const RolloutControllerStep &Step) const;
  bool mayEndTrial(const RolloutControllerStep &Step) const;
  bool mayGrow(const RolloutControllerStep &Step) const;
  bool mayComplete(const RolloutControllerStep &Step) const;
  bool isOverloaded() const;
  bool isTrialHostLost(const RolloutControllerStep &Step) const;
  bool isTrialIdle(const RolloutControllerStep &Step) const;
  std::vector<HostId> trialHosts(const RolloutControllerStep &Step,
                                 double Share) const;
  RolloutShare nextShare(const RolloutControllerStep &Step, unsigned To) const;
  std::vector<HostId> readyTargets(TimePoint Now) const;
  double requestRate(TimePoint Now) const;
  double trialShare(const RolloutControllerStep &Step) const;
  std::uint32_t grantFor(const RolloutControllerStep &Step, const HostId &Host,
                         const Gate &Reporter) const;
  double trialAllowance(const SidecarBounds &Bounds) const;
  bool isDue(const RolloutControllerStep &Step, const Wanted &Action) const;
  void wantShare(TimePoint Now, RolloutShare Share);
  void wantStatus(TimePoint Now, std::optional<RolloutState> State);

  TimePoint StartedAt;
  TimePoint LastReportAt;
  std::map<HostId, Gate> Gates;
  Sums RetiredOld; ///< Of epochs that have ended.
  Sums RetiredNew;
  /// Runs that ended epochs may have started beyond their last report.
  std::uint64_t RetiredGrants = 0;
  Sums Old;
  Sums New;
  std::deque<Sample> Samples; ///< The newest at the back.
  RolloutJudgement Judged;
  std::string_view CloseReason; ///< Empty: not closed by this controller.
  std::optional<RolloutState> Adopted; ///< Final status that was read.
  bool RunningSeen = false; ///< The status of this order was seen in the store.

  unsigned Step = 0;    ///< Of the share record, as seen last.
  TimePoint StepSeenAt; ///< When this controller saw it first.
  Sample AtStep;        ///< Sums at that time.
  double UsualRefusedOrLate =
      0; ///< Part of refused and late calls before the steps.

  std::optional<RolloutShare> ShareWanted;
  Wanted ShareTiming;
  std::optional<RolloutState> StatusWanted;
  Wanted StatusTiming;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_ROLLOUTCONTROLLER_H
