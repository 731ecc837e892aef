// QuotaCoordinator.h - Division of the quotas of workspaces among ingresses.

#ifndef FIGSAIL_SIDECAR_QUOTACOORDINATOR_H
#define FIGSAIL_SIDECAR_QUOTACOORDINATOR_H

#include "Instance.h"
#include "PeerHealth.h"
#include "SidecarEvents.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace figsail {

/// The inputs of one step of the coordinator and the list for its effects.
struct QuotaStep {
  TimePoint Now;
  /// Returns the workspace with that name, or null.
  std::function<const Workspace *(const std::string &)> Find;
  const InstanceDirectory &Directory;
  const PeerHealth &Peers;
  SidecarEffects &Out;
};

/// Coordinator of the workspaces whose hash selects this host. It counts the
/// requests that ingresses report in a token bucket and divides the quota in
/// proportion to demand, max-min fair. The shares add up to the quota at most:
/// one is raised only from what no ingress holds, and counts as lowered only
/// when its holder has confirmed that. So ingresses that hear no coordinator
/// keep to the quota together.
///
/// What an unheard ingress holds stays reserved. A coordinator that does not
/// know the workspace gives out only what ingresses report to it, until all
/// reachable hosts have reported or 5 s have passed, and no host has become
/// unreachable within 5 s. A host that has been unreachable for longer counts
/// as holding an equal part.
///
/// Load pattern: all hosts lose power and return, but for some that are gone.
/// While they find out which ones, they choose another coordinator, which is
/// told of hardly any shares and never hears of the hosts that are gone.
class QuotaCoordinator {
public:
  explicit QuotaCoordinator(const SidecarBounds &Bounds) : Bounds(Bounds) {}

  void configure(const SidecarBounds &Changed) { Bounds = Changed; }
  void received(QuotaStep &Step, const PeerRef &From,
                const QuotaReport &Message);
  /// A host is no longer announced. Its shares are free.
  void hostRemoved(const HostId &Host);
  /// Queries ingresses that have been silent.
  void timer(QuotaStep &Step);
  TimePoint nextWake() const { return WakeAt; }

  /// Returns the number of shares that ingresses hold, of all workspaces.
  std::size_t size() const;

private:
  /// What one ingress holds of a workspace's quota.
  struct Share {
    Incarnation Inc = 0;
    std::int64_t Admitted = 0; ///< As reported last.
    double Demand = 0;         ///< Requests a second, averaged.
    double Reserved = 0;       ///< Most that it may hold, in requests a second.
    double Target = 0;         ///< By the newest division.
    std::uint32_t Sequence = 0; ///< Of the newest grant.
    double ChargedSilent = 0;   ///< Requests assumed since the last report.
    TimePoint HeardAt;
    TimePoint ChargedUntil;
    TimePoint QueriedAt;
  };
  struct Pool {
    const Workspace *Of = nullptr; ///< Valid during one step only.
    double Balance = 0;            ///< Requests that may be admitted at once.
    TimePoint BalanceAt;
    bool Limited = false;
    bool Taken = false;  ///< Another coordinator has given out shares.
    double Budget = 0;   ///< See budget().
    double Acquired = 0; ///< Shares of other coordinators that were reported.
    TimePoint BudgetAt;
    TimePoint NoticedAt;
    TimePoint Since;
    TimePoint DividedAt;
    TimePoint UsedAt;
    std::set<HostId> Awaited; ///< Hosts that have not reported since Since.
    std::map<HostId, Share> Shares;
  };

  /// The hosts that have not reported to this coordinator.
  struct UnheardHosts {
    bool AnyReachable = false;
    /// The shortest time for which one that could never be asked has been
    /// unreachable; max(): there is none.
    Duration UnreachableFor = Duration::max();
  };

  Pool &find(QuotaStep &Step, const Workspace &Of, const QuotaUsage &First);
  void count(QuotaStep &Step, Pool &Current, const PeerRef &From,
             const QuotaUsage &Usage);
  void refill(const QuotaStep &Step, Pool &Current) const;
  static UnheardHosts unheardHosts(const QuotaStep &Step, const Pool &Current);
  double budget(const QuotaStep &Step, const Pool &Current) const;
  static double missing(const QuotaStep &Step, const Pool &Current,
                        bool Learning);
  double headroom(const Pool &Current) const;
  double capacity(const Pool &Current) const;
  double correction(const Pool &Current) const;
  void updateState(TimePoint Now, Pool &Current) const;
  void divide(const QuotaStep &Step, Pool &Current) const;

  double extra(const QuotaStep &Step, const Pool &Current, const HostId &To,
               const Share &Held, double AllDemand) const;
  QuotaGrant grant(QuotaStep &Step, Pool &Current, const HostId &To);
  void limitAll(QuotaStep &Step, Pool &Current, const HostId &But);
  static void logState(QuotaStep &Step, const Pool &Current);
  static void noticeOthers(QuotaStep &Step, Pool &Current);
  static void queryAwaited(QuotaStep &Step, const std::string &Name,
                           const Pool &Current);
  static bool isSilent(TimePoint Now, const Share &Held);

  SidecarBounds Bounds;
  std::map<std::string, Pool> Pools; ///< By workspace.
  TimePoint WakeAt = TimePoint::max();
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_QUOTACOORDINATOR_H
