// Node.h - The reducer that makes all decisions of one daemon.

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

/// Settings of a node.
struct NodeSettings {
  Member Self; ///< Identity and location; Service is empty for a daemon that is
               ///< only an ingress.
  std::vector<HostId>
      Seeds; ///< Peers that are asked for a snapshot while the log is down.
  std::string Policy = "power-of-two"; ///< See makePolicy().
  Duration DrainLimit{std::chrono::seconds(30)};
  Duration LogRetention{std::chrono::hours(
      24)}; ///< Minimum time for which the log keeps records.
  double RegionLinkBytes = 30e6 / 8; ///< Bytes per second in each direction,
                                     ///< shared by the hosts of a region.
  RecordLimits Records;
  AdmissionSettings AdmissionControl;
};

/// Decision to read the body of a caller's request.
struct ReadBody {
  std::size_t MaxBody = 0; ///< Bytes.
};
/// Decision on the head of a caller's request: read the body, or answer at
/// once.
using HeadDecision = std::variant<ReadBody, HttpResponse>;

/// State of a daemon, for operators.
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

/// Reducer of one daemon: applies events and returns effects. It is
/// deterministic: the same events give the same effects.
class Node {
public:
  explicit Node(NodeSettings Settings);
  ~Node();

  /// Applies one event and returns the effects, in order. Event::Now must not
  /// decrease.
  EffectList apply(Event Input);

  /// Returns when a TimerFired event is due, or TimePoint::max() for never.
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
