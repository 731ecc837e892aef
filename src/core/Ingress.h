// Ingress.h - Calls of callers, from arrival to the one answer.

#ifndef FIGSAIL_INGRESS_H
#define FIGSAIL_INGRESS_H

#include "figsail/Balancer.h"
#include "figsail/Events.h"
#include "figsail/Node.h"
#include "figsail/ReplicatedState.h"

#include "RegionLink.h"
#include "RetryBudget.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace figsail {

/// What one step of the ingress works with.
struct IngressStep {
  TimePoint Now;
  std::uint64_t Seed = 0;
  const ReplicatedState &State;
  EffectList &Out;
};

/// The ingress role: finds the route, obtains a grant where one is needed,
/// chooses an executor, retries what certainly did not run, and answers every
/// caller exactly once.
class Ingress {
public:
  Ingress(const NodeSettings &Settings);

  /// Decides on a request head: route and home regions.
  HeadDecision checkHead(const ReplicatedState &State, std::string_view Method,
                         std::string_view Target) const;

  void request(IngressStep &Step, CallerRequest Arrived);
  void callerDisconnected(IngressStep &Step, CallerId Caller);

  void received(IngressStep &Step, const Received &Message);
  void answered(IngressStep &Step, const PeerRef &From, Answer Message);
  void refused(IngressStep &Step, const PeerRef &From, const Refused &Message);
  void failed(IngressStep &Step, const PeerRef &From, const Failed &Message);
  void granted(IngressStep &Step, const Granted &Message);
  void claimHeld(IngressStep &Step, const ClaimHeld &Message);
  void claimDone(IngressStep &Step, ClaimDone Message);
  void claimRefused(IngressStep &Step, const ClaimRefused &Message);
  void peerLost(IngressStep &Step, const PeerLost &Lost);
  /// Sets the number of hosts that share the link between regions.
  void setRegionHosts(std::size_t Hosts) { Link.setHostCount(Hosts); }
  /// A host was listed under a new incarnation.
  void memberJoined(const HostId &Host) { Selector.reset(Host); }

  void timer(IngressStep &Step);
  TimePoint nextWake() const;
  std::size_t inFlight() const { return Calls.size(); }

private:
  /// What a call waits for.
  enum class Phase : std::uint8_t {
    Backoff,   ///< The next try, after a short delay.
    Claiming,  ///< The coordinator's reply.
    Executing, ///< The executor's reply to Execute.
    Awaiting,  ///< The executor's reply to Await.
  };

  struct Call {
    std::uint64_t Number = 0; ///< Names the call within this incarnation.
    CallId Id;                ///< Of the present attempt.
    CallerId Caller = 0;
    HttpRequest Request;
    std::shared_ptr<const RouteSettings> Route;
    TimePoint Deadline;
    Phase At = Phase::Backoff;
    TimePoint WakeAt; ///< When timer() looks at the call next.
    std::uint64_t Fingerprint = 0;
    std::optional<RequestKey> Key; ///< Set for keyed calls.
    bool KeyChecked =
        false;          ///< A coordinator found the key free for this call.
    HostId Coordinator; ///< Asked last.
    PeerRef Executor;   ///< Asked or chosen last.
    std::optional<GrantToken> Grant;
    std::optional<GrantToken>
        Released; ///< Grant that its executor refused with finality.
    std::vector<HostId> Tried;      ///< Executors that refused or failed.
    std::uint32_t Attempts = 0;     ///< Executors tried.
    std::uint32_t ClaimTries = 0;   ///< Claims without a useful reply.
    std::uint32_t SilentChecks = 0; ///< Awaits without a reply.
    bool Confirmed = false;   ///< The executor has said that it has the call.
    bool Outstanding = false; ///< Counted in the balancer at Executor.
    ErrorKind LastRefusal = ErrorKind::NoBackendServer;
  };

  std::string callName(const Call &Current) const;
  Call *find(const CallId &Id);
  void newAttempt(Call &Current);
  void forget(const Call &Current);
  void wakeAt(Call &Current, TimePoint At);
  void advance(IngressStep &Step, Call &Current);
  void claim(IngressStep &Step, Call &Current);
  void execute(IngressStep &Step, Call &Current);
  void sendExecute(IngressStep &Step, Call &Current, const Member &To);
  void sendAwait(IngressStep &Step, Call &Current);
  void executorRestarted(IngressStep &Step, Call &Current);
  void checkSilence(IngressStep &Step, Call &Current);
  void executorLost(IngressStep &Step, Call &Current, bool Unsent);
  void coordinatorLost(IngressStep &Step, Call &Current);
  void retry(IngressStep &Step, Call &Current, ErrorKind Why);
  void retryLater(IngressStep &Step, Call &Current, ErrorKind Why);
  void deadlinePassed(IngressStep &Step, Call &Current);
  const Member *chooseExecutor(IngressStep &Step, const Call &Current,
                               const EpochEntry &Epoch,
                               const HostId *Coordinator);
  void settleOutstanding(IngressStep &Step, Call &Current, bool Success,
                         const LoadReport *Load);
  void finish(IngressStep &Step, Call &Current, HttpResponse Response);
  void fail(IngressStep &Step, Call &Current, ErrorKind Kind);

  PeerRef Self;
  Locality OwnLocality;
  Balancer Selector;
  RetryBudget Budget;
  RegionLink Link;
  std::uint64_t NextNumber = 1;
  std::uint64_t NextSequence = 1;                ///< Of attempts.
  std::unordered_map<std::uint64_t, Call> Calls; ///< By number.
  std::unordered_map<std::uint64_t, std::uint64_t>
      ByAttempt;                                        ///< Sequence to number.
  std::unordered_map<CallerId, std::uint64_t> ByCaller; ///< To number.
  std::set<std::pair<TimePoint, std::uint64_t>> WakeOrder; ///< To number.
};

} // namespace figsail

#endif // FIGSAIL_INGRESS_H
