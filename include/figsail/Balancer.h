// Balancer.h - Chooses a backend server from late and partial knowledge of
// load.

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

/// What an ingress knows of one backend server when it chooses.
struct Candidate {
  const Member *Server = nullptr;
  std::uint32_t Outstanding =
      0; ///< Calls that this ingress has under way there.
  double Utilization =
      0; ///< Aged last report plus own outstanding, over the limit.
  double FailureRate = 0; ///< Moving average of failed calls, 0 to 1.
  double Slowness = 0;    ///< Half the binary logarithm of the reported service
                          ///< time over the shortest one of the subset, aged.
  bool IsAvoided =
      false; ///< Refused or lost lately; chosen only when nothing else is left.

  bool Stale = false;       ///< No report, or one too old to count.
  Duration ExpectedTime{0}; ///< Until the answer: way, wait, run and, with the
                            ///< likelihood of a failure, a repeat.
  bool Remote = false;      ///< In another region.
  bool MeetsTarget = true;  ///< Expected is within the call's target.

  /// Utilization with failures and slowness counted in; lower is better.
  double score() const;
};

/// How to choose among candidates of one locality tier.
class SelectionPolicy {
public:
  virtual ~SelectionPolicy() = default;
  /// Returns whether candidates of one tier are preferred to all of the next.
  /// Otherwise all are passed to pick() together.
  virtual bool usesTiers() const { return true; }
  /// Returns an index into Candidates, which is not empty.
  virtual std::size_t pick(std::span<const Candidate> Candidates,
                           std::uint64_t Seed) = 0;
};

std::unique_ptr<SelectionPolicy> makeRoundRobin();
std::unique_ptr<SelectionPolicy> makeLeastOutstanding();
std::unique_ptr<SelectionPolicy> makePowerOfTwoChoices();
/// Chooses by Candidate::Expected over all tiers. Another region, whose link is
/// narrow, is chosen only where the target is met there and not here.
///
/// Load pattern: servers that slow down to a quarter of their speed for some
/// hundred milliseconds while others nearby do not.
std::unique_ptr<SelectionPolicy> makeShortestExpectedTime();

/// Returns the policy with that name ("round-robin", "least-outstanding",
/// "power-of-two", "expected-time"), or null.
std::unique_ptr<SelectionPolicy> makePolicy(const std::string &Name);

/// Where this ingress stands.
struct Locality {
  std::string Region;
  std::string FailureDomain;
  Duration DomainRoundTrip{
      std::chrono::milliseconds(3)}; ///< To another failure domain.
  Duration RegionRoundTrip{
      std::chrono::milliseconds(62)}; ///< To another region.
};

/// What is known of a call before a server is chosen.
struct CallEstimate {
  Duration UsualRunTime{0}; ///< At the usual speed of a server; 0: not known.
  Duration TimeToTarget = Duration::max(); ///< Until the target latency ends.
};

/// Tracks load of backend servers and chooses one.
class Balancer {
public:
  Balancer(HostId Self, Locality OwnLocality,
           std::unique_ptr<SelectionPolicy> Policy);

  /// Chooses among members that are already inside the home regions. Tried
  /// hosts are left out. RemoteAllowed: members of other regions may be chosen.
  /// Returns null when none is left.
  const Member *choose(TimePoint Now, std::span<const Member *const> Eligible,
                       std::span<const HostId> Tried, bool RemoteAllowed,
                       std::uint64_t Seed, const CallEstimate &Outlook = {});

  void callSent(TimePoint Now, const HostId &Host);
  /// A call has ended at this host. Load is null when no report came with it.
  void callEnded(TimePoint Now, const HostId &Host, bool Success,
                 const LoadReport *Load);
  /// The host refused a call; it is avoided until its report ages. Called
  /// before ended() for the same call.
  void callRefused(TimePoint Now, const HostId &Host, const LoadReport &Load);
  /// The host tells its load by itself.
  void loadReported(TimePoint Now, const HostId &Host, const LoadReport &Load);
  /// The link to the host broke.
  void linkLost(TimePoint Now, const HostId &Host);
  /// The host was listed anew: its old report is forgotten.
  void reset(const HostId &Host);

private:
  struct HostView;
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_BALANCER_H
