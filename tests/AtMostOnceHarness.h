// AtMostOnceHarness.h - Simulation of members and ingresses with delayed, lost
// and duplicated messages, with a check that no request runs twice.

#ifndef FIGSAIL_ATMOSTONCEHARNESS_H
#define FIGSAIL_ATMOSTONCEHARNESS_H

#include "figsail/Coordinator.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace figsail::harness {

/// Mechanisms of at-most-once execution that the harness disables, by altering
/// the messages and epochs that the code under test receives.
struct DisabledMechanisms {
  bool FenceCheck = false; ///< Tokens reach the executor with a very high
                           ///< epoch, which no fence refuses.
  bool AckWait = false;    ///< Acknowledgements of all members are forged.
  bool Complete = false;   ///< All acknowledgements arrive as complete.
  bool FinalMarks = false; ///< "Never started" is sent without a mark.
  bool ExecutorIncarnation = false; ///< Tokens are changed to name the process
                                    ///< that receives them.
  bool OwnIncarnation = false; ///< A restarted member sees itself as listed.
  bool DomainRule = false;     ///< Grants see each host as a failure domain.
  bool FreshCallIds = false;   ///< A call keeps its id over its attempts.
  bool ReleasedToken = false;  ///< A release matches by attempt number only.
};

/// Region and failure domain of one host.
struct HostPlacement {
  std::string Region;
  std::string Domain;
};

struct Scenario {
  std::vector<HostPlacement> Hosts;
  std::vector<std::vector<std::string>> Routes; ///< Home regions of each.
  std::size_t Ingresses = 3;
  bool Orderly = false; ///< More changes of the member list, with most messages
                        ///< delivered.
  std::size_t MaxRequests = 1000; ///< Bound on different identities.
  DisabledMechanisms Disabled = {};
};

/// One step of a simulation. The numbers choose among the possible actions.
struct Step {
  std::uint32_t Kind = 0;
  std::uint32_t A = 0;
  std::uint32_t B = 0;
};

/// Counts of events, to check that a simulation exercised the code.
struct Counts {
  std::size_t Submitted = 0, Answered = 0, Unknown = 0, Runs = 0, Held = 0,
              Replayed = 0, Released = 0, Stale = 0, Fenced = 0, Epochs = 0,
              Restarts = 0, GrantsAfterTakeover = 0;
};

inline constexpr Duration Lifetime = std::chrono::minutes(10);
inline const std::string Service = "group/service";

/// A client's request. All submissions of one identity share it.
struct Request {
  RequestKey Key;
  std::string Route;
  bool Keyed = true;
  std::vector<std::string> Runs; ///< The response body of each run.
};

/// Returns a name of a grant, unique in a simulation.
std::string grantName(const GrantToken &Token);

enum class CallState { Idle, Claiming, Executing, Awaiting, Ended };

/// One submission at an ingress, handled by rules 1 to 4 of the at-most-once
/// design.
struct Call {
  CallId Id; ///< Fresh for each attempt, so that a late reply matches none.
  std::size_t RequestIndex = 0; ///< Index of the request.
  CallState State = CallState::Idle;
  HostId Peer; ///< The member whose reply is awaited.
  Incarnation Target = 0;
  std::optional<GrantToken> Token;
  std::optional<GrantToken> Released;
};

/// A daemon: a member of the service, or an ingress only.
struct Process {
  Process(PeerRef Ref, Duration Skew)
      : Ref(Ref), Skew(Skew), Log(Ref, {}), KeyCoordinator(std::move(Ref), {}) {
  }

  PeerRef Ref;
  Duration Skew; ///< Difference of its clock from the simulation's.
  bool Alive = true;
  bool Paused = false;
  std::size_t Applied = 0; ///< Number of applied log entries.
  EpochHistory History;
  ExecutionLog Log;
  Coordinator KeyCoordinator;
  std::vector<CallId> Queue, Running;
  std::unordered_map<CallId, Execute> Work;
  std::set<std::string> ArrivedGrants; ///< Grants whose Execute has arrived.
  std::vector<Call> Calls;
  std::uint64_t NextCall = 1;

  const EpochHistory *history() const {
    return History.empty() ? nullptr : &History;
  }
};

/// The simulated processes, network and log. All random choices come from the
/// steps.
class SimulatedCluster {
public:
  explicit SimulatedCluster(Scenario Initial);

  void perform(const Step &Next);
  /// Delivers messages, runs requests and retries calls until all have ended.
  void settle();

  void submit(std::size_t Ingress, std::size_t RequestIndex);
  std::size_t addRequest(std::size_t Route, bool Keyed);
  void kill(const HostId &Host);
  void restart(const HostId &Host, bool Truncated);
  void setListed(const HostId &Host, bool Listed);
  void pause(const HostId &Host, bool Paused);
  void applyAll();
  void tick(Duration By);

  const std::string &violation() const { return Violation; }
  const Counts &counts() const { return Totals; }
  const std::vector<Request> &requests() const { return Requests; }

private:
  struct InFlightMessage {
    Process *From;
    Process *To;
    std::optional<PeerMessage> Message; ///< Empty: the link broke.
  };

  Process &ingress(std::size_t I) { return *Ingresses[I % Ingresses.size()]; }
  Process *findProcess(const HostId &Host);
  std::vector<Process *> live();
  TimePoint now(const Process &Daemon) const { return Clock + Daemon.Skew; }
  void recordViolation(const std::string &Text) {
    if (Violation.empty())
      Violation = Text;
  }

  void appendEpoch();
  void applyNext(Process &Daemon);
  void send(Process &From, const HostId &To, PeerMessage Message);
  void performOnNetwork(const Step &Next, bool Copy, bool Lose);
  void submitSome(std::size_t Ingress, std::uint32_t Choice);
  void applyEffects(Process &Daemon, EffectList &Effects);
  void deliver(std::size_t Index);
  void loseLink(Process *A, Process *B);
  void receive(Process &Daemon, Process &From, PeerMessage Message);
  void alterMessage(Process &Daemon, PeerMessage &Message) const;
  void execute(Process &Daemon, const Process &From, const Execute &Message);
  void claim(Process &Daemon, const Process &From, Claim Message);
  void forgeAcks(Process &Daemon);
  void runNext(Process &Daemon, std::uint32_t Choice);
  void finishNext(Process &Daemon, std::uint32_t Choice);

  void advance(Process &Daemon, Call &Current, std::uint32_t Choice);
  void startAttempt(Process &Daemon, Call &Current, std::uint32_t Choice);
  void queryExecutor(Process &Daemon, Call &Current);
  void linkLost(Process &Daemon, const HostId &Host);
  void reply(Process &Daemon, const PeerMessage &Message);
  void answered(Call &Current, const std::string &Body);
  void refused(Call &Current);
  void claimRefused(Call &Current, ErrorKind Kind);
  CallPolicy policy(const Request &Subject) const;

  Scenario Setup;
  TimePoint Clock{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Process>> Processes; ///< Ended ones too.
  std::vector<std::unique_ptr<Process>> Ingresses;
  std::set<HostId> Listed;
  std::map<HostId, Incarnation> ListedInc;
  std::vector<EpochEntry> Log;
  std::vector<InFlightMessage> InFlight;
  std::vector<Request> Requests;
  std::set<std::string> RefusedGrants; ///< Finally refused.
  std::set<std::string> RunGrants;
  std::string Violation;
  Counts Totals;
  Incarnation NextInc = 100;
};

} // namespace figsail::harness

#endif // FIGSAIL_ATMOSTONCEHARNESS_H
