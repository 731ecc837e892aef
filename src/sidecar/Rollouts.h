// Rollouts.h - Part of a daemon in the rollouts of all services.

#ifndef FIGSAIL_SIDECAR_ROLLOUTS_H
#define FIGSAIL_SIDECAR_ROLLOUTS_H

#include "Instance.h"
#include "PeerHealth.h"
#include "RolloutController.h"
#include "RolloutGate.h"
#include "RolloutOrders.h"
#include "SidecarEvents.h"
#include "SidecarSettings.h"
#include "VersionWatch.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figsail {

class LocalServer;

/// The inputs of one step and the list for its effects.
struct RolloutStep {
  TimePoint Now;
  const InstanceDirectory &Directory;
  const PeerHealth &Peers;
  const LocalServer &Server; ///< The backend server beside this daemon.
  RolloutGate &Gate;         ///< Of that server.
  bool Open;                 ///< The server accepts calls.
  bool UpToDate;             ///< This daemon has what the operator topic has.
  SidecarEffects &Out;
};

/// Rollouts at one daemon: the choice between versions at the ingress, the
/// reports of the own gate, and the controllers of orders for which gates have
/// sent reports here. Without an order nothing is sent, written or refused.
class Rollouts {
public:
  explicit Rollouts(const SidecarSettings &Settings);

  void configure(const SidecarBounds &Changed) { Bounds = Changed; }
  void apply(RolloutStep &Step, const RolloutOrder &Order, Offset At);
  void apply(RolloutStep &Step, const RolloutShare &Share);
  /// A host has announced its server.
  void announced(TimePoint Now, const Announcement &Announced);

  void report(RolloutStep &Step, const HostId &From,
              const RolloutReport &Message);
  void verdict(RolloutStep &Step, const HostId &From,
               const RolloutVerdict &Message);
  void statusRead(RolloutStep &Step, const RolloutStatusRead &Read);
  void statusWritten(RolloutStep &Step, const RolloutStatusWritten &Ended);

  /// Returns whether versions matter here: the settings or an order say so.
  bool inUse() const { return Bounds.UsesRollouts || !Orders.empty(); }

  /// Ends each event: sets the role of the own gate, reports and decides.
  void update(RolloutStep &Step);
  TimePoint nextWake() const;
  /// Returns a share record to append, once.
  std::optional<RolloutShare> takeShare();

  /// Leaves the servers of one version, either the target of the service's
  /// order or the others. OldOnly: a server of the target version has refused
  /// the call.
  void restrictServers(TimePoint Now, const std::string &Service,
                       std::uint64_t Seed, bool OldOnly,
                       const InstanceDirectory &Directory,
                       std::vector<const Member *> &Eligible) const;

private:
  /// A read or write of the status that is in flight.
  struct StatusCall {
    std::string Service;
    Offset Order = NoOffset; ///< Of the order that it is for.
    RolloutState Writing = RolloutState::Running;
  };
  void updateRole(RolloutStep &Step);
  RolloutRole roleOf(const RolloutStep &Step) const;
  bool isHeldBack(const RolloutStep &Step) const;
  void sendReport(RolloutStep &Step);
  void tickControllers(RolloutStep &Step);
  void startStatusCall(RolloutStep &Step);
  std::vector<HostId> controllersOf(const RolloutStep &Step,
                                    const ActiveRollout &Rollout) const;
  RolloutControllerStep controllerStep(RolloutStep &Step,
                                       const ActiveRollout &Rollout) const;
  const ActiveRollout *rolloutOf(const StatusCall &Call) const;

  HostId Self;
  Incarnation Inc;
  SidecarBounds Bounds;
  RolloutOrders Orders;
  VersionWatch Versions;
  bool UpToDate = false;
  TimePoint ReportAt = TimePoint::max();
  TimePoint TickAt = TimePoint::max();
  std::map<std::string, RolloutController> Controllers; ///< By service.
  std::optional<StatusCall> StatusInFlight;
  std::vector<RolloutShare> SharesToAppend;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_ROLLOUTS_H
