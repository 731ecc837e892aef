// Node.h - The reducer: all decisions of one daemon.

#ifndef FIGSAIL_NODE_H
#define FIGSAIL_NODE_H

#include "figsail/Admission.h"
#include "figsail/Balancer.h"
#include "figsail/Events.h"
#include "figsail/ReplicatedState.h"

#include <memory>
#include <string>
#include <variant>

namespace figsail {

/// What a daemon learns from its process settings.
struct NodeSettings {
  Member
      Self; ///< Identity and place; Service may be empty for an ingress only.
  std::vector<HostId>
      Seeds; ///< Peers to ask for a snapshot while the log is down.
  std::string Policy = "power-of-two"; ///< See makePolicy().
  Duration DrainLimit{std::chrono::seconds(30)};
  Duration LogRetention{
      std::chrono::hours(24)}; ///< How long the log keeps records, at least.
  double RegionLinkBytes =
      30e6 / 8; ///< Bytes a second shared by the hosts of a region.
  RecordLimits Records;
  AdmissionSettings AdmissionControl;
};

/// Verdict on the head of a caller's request.
struct ReadBody {
  std::size_t MaxBody = 0; ///< Bytes.
};
using HeadDecision = std::variant<ReadBody, HttpResponse>;

/// A view of the state for operators.
struct NodeStatus {
  Offset Applied = NoOffset;
  bool Listed = false;
  bool InService = true;
  bool Draining = false;
  bool LogReachable = false; ///< Records arrive, from the log or a parent.
  LoadReport Load;
  std::size_t CallsInFlight = 0;
  std::size_t CoordinatorRecords = 0;
  std::size_t ExecutionRecords = 0;
};

/// The reducer. Given the same events it makes the same decisions.
class Node {
public:
  explicit Node(NodeSettings Settings);
  ~Node();

  /// Reduces one event and returns the effects, in order. Now never goes back.
  EffectList apply(Event Input);

  /// Returns when a TimerFired event is due. TimePoint::max() when none is.
  TimePoint nextWake() const;

  /// Decides on the head of a request before its body is read: route, home
  /// regions, draining.
  HeadDecision checkHead(std::string_view Method,
                         std::string_view Target) const;

  const ReplicatedState &replicated() const;
  NodeStatus status() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_NODE_H
