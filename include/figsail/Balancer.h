// Balancer.h - Selection of a backend server from delayed and incomplete load
// reports.

#ifndef FIGSAIL_BALANCER_H
#define FIGSAIL_BALANCER_H

#include "figsail/Events.h"
#include "figsail/TokenBucket.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace figsail {

/// State of one backend server, as the ingress sees it when it chooses.
struct Candidate {
  const Member *Server = nullptr;
  std::uint32_t Outstanding = 0; ///< Calls of this ingress in flight there.
  double Utilization = 0; ///< Load of the last report, weighted by its age,
                          ///< plus Outstanding; divided by the limit.
  double FailureRate = 0; ///< Moving average of failed calls, 0 to 1.
  double Slowness = 0;    ///< Half the binary logarithm of the reported service
                          ///< time over the shortest one of the subset,
                          ///< weighted by the age of the report.
  bool IsAvoided = false; ///< Recently refused a call or lost its link; chosen
                          ///< only when no other is left.

  bool Stale = false;       ///< No report, or an expired one.
  Duration ExpectedTime{0}; ///< Time until the answer: network delay, queueing,
                            ///< run and, weighted by the failure rate, a retry.
  bool Near = false;        ///< In the ingress's own failure domain.
  bool Remote = false;      ///< In another region.
  bool MeetsTarget = true;  ///< Expected is within the call's target.

  /// Returns the utilization plus penalties for failures and slowness; lower is
  /// better.
  double score() const;
};

/// Interface of the algorithms that choose among candidates.
class SelectionPolicy {
public:
  virtual ~SelectionPolicy() = default;
  /// Returns whether pick() gets the candidates of one locality tier at a time,
  /// nearest first. Otherwise it gets the candidates of all tiers together.
  virtual bool usesTiers() const { return true; }
  /// Returns an index into Candidates, which is not empty.
  virtual std::size_t pick(std::span<const Candidate> Candidates,
                           std::uint64_t Seed) = 0;
};

std::unique_ptr<SelectionPolicy> makeRoundRobin();
std::unique_ptr<SelectionPolicy> makeLeastOutstanding();
std::unique_ptr<SelectionPolicy> makePowerOfTwoChoices();
/// Chooses the shortest Candidate::ExpectedTime over all tiers. The link
/// between regions is narrow, so a server of another region is chosen only if
/// it meets the target latency and no near server does.
///
/// Load pattern: servers that slow down to a quarter of their speed for some
/// hundred milliseconds while others nearby do not.
std::unique_ptr<SelectionPolicy> makeShortestExpectedTime();

/// Returns the policy with the given name ("round-robin", "least-outstanding",
/// "power-of-two", "expected-time"), or null.
std::unique_ptr<SelectionPolicy> makePolicy(const std::string &Name);

/// Location of this ingress, and round-trip times to other locations.
struct Locality {
  std::string Region;
  std::string FailureDomain;
  Duration DomainRoundTrip{
      std::chrono::milliseconds(3)}; ///< To another failure domain.
  Duration RegionRoundTrip{
      std::chrono::milliseconds(62)}; ///< To another region.
};

/// Estimates for a call, made before a server is chosen.
struct CallEstimate {
  Duration UsualRunTime{
      0}; ///< Run time on a server at its usual speed; 0: not known.
  Duration TimeToTarget = Duration::max(); ///< Time left until the target
                                           ///< latency; negative: exceeded.
};

/// Tracks load of backend servers and chooses one.
class Balancer {
public:
  Balancer(HostId Self, Locality OwnLocality,
           std::unique_ptr<SelectionPolicy> Policy);

  /// Chooses among Eligible, which holds only members of the home regions.
  /// Hosts in Tried are excluded. RemoteAllowed: members of other regions may
  /// be chosen. Returns null when no member remains.
  const Member *choose(TimePoint Now, std::span<const Member *const> Eligible,
                       std::span<const HostId> Tried, bool RemoteAllowed,
                       std::uint64_t Seed, const CallEstimate &Outlook = {});

  /// A call was sent to the host.
  void callSent(TimePoint Now, const HostId &Host);
  /// A call to the host has ended. Load is null when the reply had no report.
  void callEnded(TimePoint Now, const HostId &Host, bool Success,
                 const LoadReport *Load);
  /// The host refused a call. It is avoided for about the time in which it
  /// serves half of its queue, or until its rate limit lets a call start.
  /// Called before callEnded() for the same call.
  void callRefused(TimePoint Now, const HostId &Host, const LoadReport &Load);
  /// The host reported its load outside of a reply.
  void loadReported(TimePoint Now, const HostId &Host, const LoadReport &Load);
  /// The link to the host was lost.
  void linkLost(TimePoint Now, const HostId &Host);
  /// Discards the reports of a host that has a new incarnation. Its calls in
  /// flight stay counted.
  void reset(const HostId &Host);

private:
  struct HostView;
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_BALANCER_H
