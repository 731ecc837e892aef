// WorkspaceQuota.h - Admission of an ingress's requests by the quotas of their
// workspaces.

#ifndef FIGSAIL_SIDECAR_WORKSPACEQUOTA_H
#define FIGSAIL_SIDECAR_WORKSPACEQUOTA_H

#include "Instance.h"
#include "PeerHealth.h"
#include "SidecarEvents.h"

#include "figsail/TokenBucket.h"

#include <map>
#include <optional>
#include <string>

namespace figsail {

/// Time for which an ingress keeps its share without a coordinator. After it,
/// it keeps to an equal part, since others may count on that.
inline constexpr Duration QuotaShareLifetime = std::chrono::seconds(3);

/// Returns the quota coordinator of a workspace: the first host in the order of
/// the hashes of workspace and host that is neither suspected nor in Silent.
/// Self is never suspected.
HostId quotaCoordinator(const std::string &Workspace, const HostId &Self,
                        const InstanceDirectory &Directory,
                        const PeerHealth &Peers,
                        const std::map<HostId, TimePoint> &Silent = {});

/// Limiter of the requests that one ingress admits for each workspace. It never
/// waits for a message: it admits by what the coordinator has granted so far.
///
/// A request is admitted from the local share, or beyond it up to the granted
/// number of requests that the coordinator has not counted; that number is 0
/// once the workspace has used its quota. Without a reply for 0.5 s, requests
/// are admitted only from the local share, and after QuotaShareLifetime from an
/// equal part of the quota at most. An ingress without a share that hears no
/// coordinator admits its fraction of the slack.
///
/// Load pattern: a workspace sends up to ten times its limit over all hosts
/// from one moment to the next, while small workspaces send each request to
/// another host. A fixed part for each host would refuse the small ones.
class WorkspaceQuota {
public:
  WorkspaceQuota(HostId Self, const SidecarBounds &Bounds)
      : Self(std::move(Self)), Bounds(Bounds) {}

  void configure(const SidecarBounds &Changed) { Bounds = Changed; }
  /// Sets the number of announced hosts.
  void setHostCount(std::size_t Count) { HostCount = Count > 0 ? Count : 1; }

  /// Counts a request. Returns nothing if it is admitted, or the time after
  /// which one more is. A workspace without a limit is not counted.
  std::optional<Duration> admit(TimePoint Now, const Workspace &Of);
  /// A request that was admitted certainly did not run.
  void refund(TimePoint Now, const std::string &Workspace);

  /// Applies the grants of a coordinator. Gives back a share of a workspace
  /// that it does not know.
  void received(TimePoint Now, const HostId &From, const QuotaReply &Message,
                SidecarEffects &Out);
  /// Sends the reports that are due, one message for each coordinator.
  void timer(TimePoint Now, const InstanceDirectory &Directory,
             const PeerHealth &Peers, SidecarEffects &Out);
  TimePoint nextWake() const { return WakeAt; }

  /// Returns the number of workspaces with state.
  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    double LimitRate = 0;       ///< Of the workspace, as last seen.
    HostId Coordinator;         ///< Receives the reports; empty: none yet.
    HostId GrantedBy;           ///< Sender of the newest grant.
    std::uint32_t Sequence = 0; ///< Of the newest grant.
    double Rate = 0;  ///< Requests a second while a coordinator is heard.
    double Share = 0; ///< The same without one.
    double Burst = 1; ///< Capacity of Tokens.
    double Extra = 0; ///< See QuotaGrant.
    bool Limited = false;
    Duration Interval{0}; ///< Between reports while Limited.
    TokenBucket Tokens{0, 0};
    std::int64_t Admitted = 0;
    std::int64_t Acknowledged = 0;
    std::uint32_t Requested = 0; ///< Since the last report.
    bool Changed = false;        ///< The coordinator waits for a confirmation.
    bool Asked = false;          ///< The coordinator waits for a report.
    TimePoint FirstRequest;      ///< Of those since the last report.
    TimePoint LastRequest;
    TimePoint LastReport;
    TimePoint UnansweredSince = TimePoint::max();
    TimePoint BookedUntil; ///< Tokens before are promised to clients.
  };
  /// Reports to one coordinator.
  struct Link {
    TimePoint SentAt;
    TimePoint UnansweredSince = TimePoint::max();
  };

  Entry &find(TimePoint Now, const Workspace &Of);
  static bool isHeard(TimePoint Now, const Entry &Current);
  double firstExtra(const Workspace &Of) const;
  double slackRate() const;
  double currentRate(TimePoint Now, const Entry &Current) const;
  void noticed(TimePoint Now, const QuotaGrant &Notice);
  void updateTokens(TimePoint Now, Entry &Current) const;
  Duration timeToToken(TimePoint Now, Entry &Current) const;
  static TimePoint reportAt(const Entry &Current);
  static TimePoint releaseAt(const Entry &Current);
  void apply(TimePoint Now, const HostId &From, const QuotaGrant &Grant,
             Entry &Current);
  static QuotaUsage describe(const std::string &Name, const Entry &Current,
                             const HostId &To);
  void markSilent(TimePoint Now);

  HostId Self;
  SidecarBounds Bounds;
  std::size_t HostCount = 1;
  std::map<std::string, Entry> Entries; ///< By workspace.
  std::map<HostId, Link> Links;         ///< By coordinator.
  std::map<HostId, TimePoint> Silent;   ///< Coordinators not used until then.
  /// Workspaces that are limited, without state here, and until when that
  /// counts.
  std::map<std::string, TimePoint> LimitedUntil;
  TimePoint WakeAt = TimePoint::max();
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_WORKSPACEQUOTA_H
