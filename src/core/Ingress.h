// Ingress.h - Handling of calls from arrival to their answer.

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

/// Inputs and outputs of one step of the ingress.
struct IngressStep {
  TimePoint Now;
  std::uint64_t Seed = 0;
  const ReplicatedState &State;
  EffectList &Out;
};

/// Ingress role of a daemon: finds the route, obtains a grant if the call needs
/// one, chooses an executor, retries idempotent calls and calls that certainly
/// did not run, and answers every caller exactly once.
class Ingress {
public:
  Ingress(const NodeSettings &Settings);

  /// Checks the route and the home regions of a request head.
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
  /// A host joined with a new incarnation.
  void memberJoined(const HostId &Host) { Selector.reset(Host); }

  void timer(IngressStep &Step);
  TimePoint nextWake() const;
  std::size_t inFlight() const { return Calls.size(); }
  /// Ends all calls, since the process ends. Every caller gets an answer that
  /// says whether its request may have run.
  void endAll(IngressStep &Step);

private:
  /// Event that a call waits for.
  enum class Phase : std::uint8_t {
    Backoff,   ///< The next attempt, after a short delay.
    Claiming,  ///< The coordinator's reply.
    Executing, ///< The executor's reply to Execute.
    Awaiting,  ///< The executor's reply to Await.
  };

  struct Call {
    std::uint64_t Number = 0; ///< Id of the call within this incarnation.
    CallId Id;                ///< Id of the current attempt.
    CallerId Caller = 0;
    HttpRequest Request;
    std::shared_ptr<const RouteSettings> Route;
    TimePoint Deadline;
    Phase Stage = Phase::Backoff;
    TimePoint WakeAt; ///< When timer() handles the call next.
    std::uint64_t Fingerprint = 0;
    std::optional<RequestKey> Key; ///< Set for keyed calls.
    bool KeyChecked =
        false;          ///< A coordinator has looked up the key for this call.
    HostId Coordinator; ///< Coordinator of the last claim.
    PeerRef Executor;   ///< Executor queried or chosen last.
    std::optional<GrantToken> Grant;
    std::optional<GrantToken>
        Released;                 ///< Grant that its executor refused for good.
    std::vector<HostId> Tried;    ///< Executors that refused or failed.
    std::uint32_t Attempts = 0;   ///< Executors tried.
    std::uint32_t ClaimTries = 0; ///< Claims without a usable reply.
    std::uint32_t UnansweredAwaits = 0; ///< Awaits in a row without a reply.
    bool Confirmed = false; ///< The executor confirmed that it has the call.
    bool Outstanding =
        false; ///< Counted in the balancer as in flight at Executor.
    ErrorKind LastRefusal = ErrorKind::NoBackendServer;
  };

  std::string callLabel(const Call &Current) const;
  Call *find(const CallId &Id);
  void newAttempt(Call &Current);
  void erase(const Call &Current);
  void wakeAt(Call &Current, TimePoint At);
  void advance(IngressStep &Step, Call &Current);
  void claim(IngressStep &Step, Call &Current);
  void execute(IngressStep &Step, Call &Current);
  void sendExecute(IngressStep &Step, Call &Current, const Member &To);
  void sendAwait(IngressStep &Step, Call &Current);
  void executorRestarted(IngressStep &Step, Call &Current);
  void checkResponsiveness(IngressStep &Step, Call &Current);
  void executorLost(IngressStep &Step, Call &Current, bool Unsent);
  void coordinatorLost(IngressStep &Step, Call &Current);
  void retry(IngressStep &Step, Call &Current, ErrorKind Reason);
  void retryLater(IngressStep &Step, Call &Current, ErrorKind Reason);
  void deadlineExceeded(IngressStep &Step, Call &Current);
  void endEarly(IngressStep &Step, Call &Current, ErrorKind Unknown,
                ErrorKind NotRun);
  const Member *chooseExecutor(IngressStep &Step, const Call &Current,
                               const EpochEntry &Epoch,
                               const HostId *Coordinator);
  void endOutstanding(IngressStep &Step, Call &Current, bool Success,
                      const LoadReport *Load);
  void finish(IngressStep &Step, Call &Current, HttpResponse Response);
  void fail(IngressStep &Step, Call &Current, ErrorKind Kind);

  PeerRef Self;
  Locality OwnLocality;
  Balancer Selector;
  RetryBudget Budget;
  RegionLink Link;
  std::uint64_t NextNumber = 1;
  std::uint64_t NextSequence = 1; ///< Sequence number of the next attempt.
  std::unordered_map<std::uint64_t, Call> Calls; ///< Calls by number.
  std::unordered_map<std::uint64_t, std::uint64_t>
      ByAttempt; ///< Call numbers by sequence of the attempt.
  std::unordered_map<CallerId, std::uint64_t>
      ByCaller; ///< Call numbers by caller.
  std::set<std::pair<TimePoint, std::uint64_t>>
      WakeOrder; ///< Call numbers by wake time.
};

} // namespace figsail

#endif // FIGSAIL_INGRESS_H
