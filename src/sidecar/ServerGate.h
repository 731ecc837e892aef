// ServerGate.h - Admission control for the backend server beside this daemon.

#ifndef FIGSAIL_SIDECAR_SERVERGATE_H
#define FIGSAIL_SIDECAR_SERVERGATE_H

#include "AdmissionPolicy.h"
#include "BlockedRequests.h"
#include "CrashDetector.h"
#include "LocalServer.h"
#include "OutgoingAnswers.h"
#include "ReplyCache.h"
#include "RolloutGate.h"
#include "RunTimes.h"
#include "ServerRateLimit.h"
#include "ServerRetryBudget.h"
#include "SidecarEvents.h"
#include "SidecarSettings.h"
#include "SlowdownTracker.h"
#include "StopTime.h"
#include "WorkspaceTurns.h"

#include "figsail/TokenBucket.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace figsail {

/// Time of one step of the gate, and the list that receives its effects.
struct GateStep {
  TimePoint Now;
  SidecarEffects &Out;
};

/// Admission control that every call to the backend server passes. It enforces
/// the limits that must be exact: concurrency, rate while the server is cold,
/// draining, evacuation, home regions and the service that a call is meant for.
///
/// Load pattern: more calls than the server can finish within their target
/// latency. In order of arrival all of them would be late. A call that would
/// miss its target behind the calls ahead of it is therefore refused on
/// arrival. A call that more urgent ones overtake is refused once it can no
/// longer meet its target.
///
/// Load pattern: a server with a short slow period. A call that would be late
/// at the present speed but in time after the slow period is delayed until
/// then. Meanwhile its slot stays free; a slow run would occupy it for long.
class ServerGate {
public:
  ServerGate(const SidecarSettings &Settings);

  /// Queues, starts or refuses a call.
  void execute(GateStep &Step, const PeerRef &From, Execute Message);
  void cancel(GateStep &Step, const CallId &Call);
  /// Reports the state of a call to its ingress. A call that has not arrived
  /// yet is refused, and the refusal is final.
  void await(GateStep &Step, const PeerRef &From, const Await &Message);
  /// CallRefused: the run failed since a service refused one of its calls.
  void runEnded(GateStep &Step, ServerRunResult Done, bool CallRefused = false);
  /// Returns when a run started, or nothing if it has ended.
  std::optional<TimePoint> runStart(RunId Run) const;
  /// Returns the route of a run for another host's ingress, or nothing.
  std::optional<std::string> remoteRoute(RunId Run) const;
  void probeEnded(GateStep &Step, const ServerProbeResult &Probe);

  /// Applies a heartbeat. The verdict says whether to announce a change. The
  /// first one after the start counts once a probe agrees: see probeEnded().
  ReportVerdict heartbeat(GateStep &Step, const ServerHeartbeat &Report);
  ReportVerdict leave(GateStep &Step, const ServerLeave &Report);

  /// Expects the server that a predecessor of this daemon announced. A probe
  /// checks whether it still runs, so that calls need not wait for its next
  /// heartbeat.
  void expectServer(TimePoint Now, AnnouncedServer Announced);

  /// Admits no calls to the server of an instance that has left, as a
  /// predecessor of this daemon announced.
  void rememberLeft(GateStep &Step, const ServerIncarnation &Gone);

  /// Applies the settings of the server's service.
  void configure(const ServiceSettings &Service);
  /// Applies changed bounds of the operator.
  void configure(const SidecarBounds &Changed);
  /// Sets the number of ready servers of the service.
  void setServerCount(TimePoint Now, std::size_t Count) {
    Retries.setServerCount(Now, Count);
  }
  /// Takes the failure domain out of service, or back into it. After its return
  /// the server counts as cold until it reports otherwise.
  void evacuate(GateStep &Step, bool Evacuated);
  /// Admits no new calls from now on; queued calls still run.
  void stop() { Stopping = true; }
  /// The process ends at the given time. Calls that cannot end before it are
  /// not started any more.
  void stopAt(TimePoint EndsAt) { Stop.set(EndsAt); }
  /// Cancels the idempotent runs of other daemons that may outlast the process,
  /// so that these can still send the calls to other servers.
  void returnIdempotentRuns(GateStep &Step);
  /// Ends all calls, since the process ends. Their ingresses are told.
  void endAll(GateStep &Step);

  void timer(GateStep &Step);
  TimePoint nextWake(TimePoint Now) const;

  const LocalServer &server() const { return Server; }
  /// Returns the limit on the runs of a new version.
  RolloutGate &rollout() { return Rollout; }
  /// Returns the requests a second that the server takes, if it names a limit.
  const std::optional<double> &rateLimit() const {
    return RateLimit.perSecond();
  }
  /// Returns the fraction of the present runs, from 0 to 1, that are retries or
  /// were caused by retries. The calls that the server makes now come from
  /// these runs; which run makes a call is not known.
  float retryFraction() const;
  std::size_t runs() const { return Runs.size(); }
  /// Returns the most urgent priority of the present runs, if there are any.
  std::optional<std::uint32_t> mostUrgentRun() const;
  /// Returns whether no call is waiting or running.
  bool idle() const { return Calls.empty(); }
  /// Returns whether the server accepts calls: it is ready, reachable and in
  /// service.
  bool isOpen() const;
  LoadReport load(TimePoint Now) const;
  /// Returns the ingresses to notify of the load if the server's speed has
  /// changed since the last notification; otherwise none.
  std::vector<HostId> takeLoadRecipients(TimePoint Now);
  /// Merges a report from the daemon of another server of the service: a
  /// request may crash servers. Returns the report for that daemon, if this one
  /// knows of more crashes.
  std::optional<SuspectReport> mergeSuspicion(TimePoint Now,
                                              const SuspectReport &Report) {
    return Crashes.merge(Now, Report);
  }
  /// Returns the reports for the daemon of another server of the service that
  /// has just started.
  std::vector<SuspectReport> knownSuspicions(TimePoint Now) const {
    return Crashes.knownReports(Now);
  }
  /// Returns whether the crashes that this daemon knows of block a request.
  bool isBlockedByCrashes(TimePoint Now, std::uint64_t Fingerprint) const {
    return Crashes.check(Now, Fingerprint) == Suspicion::Blocked;
  }
  /// Returns the blocked requests that the members topic names.
  BlockedRequests &blockedRequests() { return Blocked; }
  const BlockedRequests &blockedRequests() const { return Blocked; }
  /// Returns the reports to send to the daemons of the service's other servers,
  /// each one once.
  std::vector<SuspectReport> takeSuspicionReports() {
    return Crashes.takeReports();
  }

private:
  struct AdmittedCall {
    PeerRef From;
    Execute Message;
    TimePoint Arrived;
    TimePoint Deadline;
    TimePoint Target;      ///< When the target latency ends.
    std::size_t Bytes = 0; ///< Of the request.
    RunId Run = 0;         ///< 0 while the call waits.
    TimePoint Started;
    TimePoint
        DelayedUntil; ///< Until then it may wait for the slow period to end.
    double StartFactor = 1;   ///< Slowdown factor when the run started.
    bool StartedCold = false; ///< The server was cold when the run started.
    bool Cancelled = false;
    bool Suspect = false; ///< Its content is suspected of crashing servers.
    bool BesideSuspect =
        false; ///< A suspect of other content ran at its start.
  };
  using CallMap = std::map<CallId, AdmittedCall>;
  AdmittedCall remove(CallMap::iterator At);

  void configureColdRate();
  std::size_t maxStartsBetweenProbes() const;
  void chargeStartsWhileCold(TimePoint Now, bool WasCold);
  ReportVerdict acceptHeartbeat(GateStep &Step, const ServerHeartbeat &Report);
  ReportVerdict awaitConfirmation(TimePoint Now, const ServerHeartbeat &Report);
  void confirmServer(GateStep &Step, const ServerProbeResult &Probe);
  /// Returns whether a probe is to show which server runs.
  bool expectsServer() const { return ExpectedServer || FirstReport; }
  std::optional<ErrorKind> checkAvailability(const Execute &Message) const;
  std::optional<ErrorKind> checkCapacity(TimePoint Now,
                                         const AdmittedCall &Call) const;
  std::optional<ErrorKind> checkLink(TimePoint Now, const AdmittedCall &Call,
                                     Duration UntilRunEnds) const;
  bool isOtherSuspectRunning(std::uint64_t Fingerprint) const;
  std::optional<ErrorKind> checkSuspicion(TimePoint Now,
                                          const Execute &Message) const;
  bool isFasterElsewhere(TimePoint Now, const AdmittedCall &Call) const;
  std::uint32_t usableSlots() const;
  std::size_t running() const { return Runs.size(); }
  Duration expectedRun(const std::string &Route, double Factor) const;
  Duration expectedRun(const std::string &Route) const {
    return expectedRun(Route, Slowdown.factor());
  }
  Duration expectedWait(TimePoint Now, const AdmittedCall &Call,
                        double Factor) const;
  std::optional<TimePoint> delayUntil(TimePoint Now,
                                      const AdmittedCall &Call) const;
  bool isDelayed(TimePoint Now, const AdmittedCall &Call) const {
    return Slowdown.isSlow() && Now < Call.DelayedUntil;
  }
  bool precedes(TimePoint Now, const AdmittedCall &One,
                const AdmittedCall &Other) const;
  bool isFull(const AdmittedCall &Call) const;
  WaitingCall describe(const AdmittedCall &Call) const;
  WaitingCalls waitingCalls(TimePoint Now) const;
  std::vector<CallId> callsToMakeRoom(const AdmittedCall &New) const;
  void displace(GateStep &Step, const std::vector<CallId> &Displaced,
                const CallId &By);
  AdmittedCall &callInTurn(TimePoint Now, AdmittedCall &Best);
  void displaceOvertaken(GateStep &Step, const CallId &New);
  bool acquireStartPermit(TimePoint Now);
  void startWaiting(GateStep &Step);
  void start(GateStep &Step, AdmittedCall &Call);
  TimePoint nextProbe() const;
  TimePoint nextServerWake(TimePoint Now) const;
  void refuseLate(GateStep &Step);
  bool endsBeforeStop(TimePoint Now, const AdmittedCall &Call) const;
  void refuseBeyondStop(GateStep &Step);
  void endRun(GateStep &Step, CallMap::iterator At, ErrorKind Kind);
  void sendReceipts(GateStep &Step);
  void refuseWaiting(GateStep &Step, ErrorKind Kind);
  void refuse(GateStep &Step, const AdmittedCall &Call, ErrorKind Kind);
  void reply(GateStep &Step, const PeerRef &To, const CallId &Call,
             PeerMessage Message);
  void finish(GateStep &Step, const AdmittedCall &Call, HttpResponse Response,
              const ResponseMetadata &Metadata, bool CallRefused);
  void finish(GateStep &Step, const AdmittedCall &Call, BackendError Error);
  void logLateRun(GateStep &Step, const AdmittedCall &Call) const;
  static bool isRetry(const AdmittedCall &Call) {
    return Call.Message.RetryFraction >= 1;
  }
  void recordRunTime(const AdmittedCall &Call, TimePoint Now, bool Success);
  void countForRollout(const AdmittedCall &Call, TimePoint Now, bool Failed);
  void updateLoad(TimePoint Now, const ServerLoad &Load);
  std::optional<ServerNotice> notice(TimePoint Now) const;
  void applyNotice(GateStep &Step, const ServerNotice &Notice);
  void logUnusableLimit(GateStep &Step, const ServerTerms &Terms);
  void applyTerms(GateStep &Step, TimePoint SaidAt, const ServerTerms &Terms,
                  TermsSource Source);

  PeerRef Self;
  std::string Region;
  SidecarBounds Bounds;
  LocalServer Server;
  std::string HealthTarget = "/health";
  bool Configured = false; ///< The settings of the service are known.
  std::optional<AnnouncedServer> ExpectedServer; ///< Of the predecessor.
  std::optional<ServerHeartbeat> FirstReport;    ///< Not confirmed yet.
  TimePoint ExpectedUntil;
  double ColdPerSecond = 1;
  std::size_t MaxConnections = 1; ///< Accepted by the server.
  mutable TokenBucket ColdTokens;
  /// Runs that have started since a probe last showed whether the server is
  /// cold.
  std::size_t StartsSinceProbe = 0;
  /// Of the server's own statements. Refilling it does not change what it
  /// holds.
  mutable ServerRateLimit RateLimit;
  ServerRetryBudget Retries;
  RolloutGate Rollout;
  SlowdownTracker Slowdown; ///< From the server's load reports.
  double SentSlowdown = 1;  ///< Factor last sent to the ingresses.
  TimePoint LastLoadAt;     ///< Time of the last load report.
  TimePoint LastCallAt;     ///< Time of the last arrival of a call.
  std::map<HostId, TimePoint> Ingresses; ///< Time of the last call of each.
  RunTimes Times;
  OutgoingAnswers Outgoing;
  CallMap Calls;                                ///< Waiting or running.
  std::multimap<TimePoint, CallId> ReceiptsDue; ///< By due time.
  std::size_t Waiting = 0;
  WorkspaceTurns Turns;          ///< Of the waiting calls.
  std::size_t BufferedBytes = 0; ///< Requests of all calls.
  std::unordered_map<RunId, CallId> Runs;
  RunId LastRun = 0;
  bool LimitUnusable = false; ///< The server's newest limit is no number.
  bool Evacuated = false;
  bool Stopping = false; ///< Admits nothing.
  StopTime Stop;
  bool Unreachable = false; ///< The last connection attempt failed.
  bool Probing = false;     ///< A probe is in flight.
  TimePoint LastProbeAt;

  ReplyCache Replies; ///< Final replies, resent on Await.
  CrashDetector Crashes;
  BlockedRequests Blocked; ///< Also by daemons that have ended.
  std::map<std::uint64_t, std::size_t>
      SuspectRuns; ///< Running suspects, by fingerprint.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SERVERGATE_H
