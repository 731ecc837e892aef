// ServerGate.h - Admits calls to the backend server beside this daemon.

#ifndef FIGSAIL_SIDECAR_SERVERGATE_H
#define FIGSAIL_SIDECAR_SERVERGATE_H

#include "CrashWatch.h"
#include "EndedReplies.h"
#include "LocalServer.h"
#include "RepeatBudget.h"
#include "RunTimes.h"
#include "SidecarEvents.h"
#include "SidecarSettings.h"
#include "SpeedWatch.h"

#include "figsail/TokenBucket.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace figsail {

/// What one step of the gate works with.
struct GateStep {
  TimePoint Now;
  SidecarEffects &Out;
};

/// The only way to the backend server. Holds the limits that must be exact:
/// concurrency, rate while cold, draining, evacuation, home regions, and the
/// instance that a call is meant for.
///
/// Load pattern: more calls than the server can finish within their target
/// latency. First in, first out would make all of them late. A call that cannot
/// make its target behind those that go first is therefore refused on arrival,
/// and one that loses its place to more urgent ones is refused when its target
/// can no longer be made.
///
/// Load pattern: a server that is slow for a moment. A call that would be late
/// at the present speed and in time after the slow stretch is held for so long;
/// meanwhile its slot is free, and a slow run would have kept it for long.
class ServerGate {
public:
  ServerGate(const SidecarSettings &Settings);

  /// Queues, starts or refuses a call.
  void execute(GateStep &Step, const PeerRef &From, Execute Message);
  void cancel(GateStep &Step, const CallId &Call);
  /// Says what became of a call. A call that never arrived is refused for good.
  void await(GateStep &Step, const PeerRef &From, const Await &Message);
  void serverDone(GateStep &Step, ServerDone Done);
  void probed(GateStep &Step, const ServerProbed &Probe);

  /// A heartbeat. The verdict tells whether others need to know.
  ReportVerdict heartbeat(GateStep &Step, const ServerHeartbeat &Said);
  ReportVerdict leaves(GateStep &Step, const ServerLeaves &Said);

  /// An earlier daemon of this host knew that server. It is asked whether it is
  /// still there, so that calls need not wait for its next heartbeat.
  void expect(TimePoint Now, KnownServer Known);

  /// Sets the settings of the server's service.
  void configure(const ServiceSettings &Service);
  /// The operator's bounds have changed.
  void configure(const SidecarBounds &Changed);
  /// The number of ready servers of the service has changed.
  void setServerCount(TimePoint Now, std::size_t Count) {
    Repeats.setServers(Now, Count);
  }
  /// The failure domain is taken out of service or back. Taking it back counts
  /// the server as cold until it says otherwise.
  void evacuate(GateStep &Step, bool Evacuated);
  /// Takes no new calls from now on; what is queued still runs.
  void stop() { Stopping = true; }

  void timer(GateStep &Step);
  TimePoint nextWake(TimePoint Now) const;

  const LocalServer &server() const { return Server; }
  /// Returns the part of the runs under way, from 0 to 1, that are repeats or
  /// were made by repeats. Calls that the server makes now come from these
  /// runs; from which one is not known.
  float repeatShare() const;
  std::size_t runs() const { return Runs.size(); }
  /// Returns whether no call waits or runs.
  bool idle() const { return Calls.empty(); }
  LoadReport load(TimePoint Now) const;
  /// Returns the ingresses to tell of the load, when the speed of the server
  /// has changed since they were last told; otherwise nothing.
  std::vector<HostId> takeListeners(TimePoint Now);
  /// The daemon of another server of the service suspects a request.
  void suspected(TimePoint Now, const SuspectReport &Report) {
    Crashes.merge(Now, Report);
  }
  /// Returns suspicions to tell the daemons of the service's other servers.
  std::vector<SuspectReport> takeSuspicions() { return Crashes.takeReports(); }

private:
  struct AdmittedCall {
    PeerRef From;
    Execute Message;
    TimePoint Arrived;
    TimePoint Deadline;
    TimePoint Target;      ///< When the target latency ends.
    std::size_t Bytes = 0; ///< Of the request.
    RunId Run = 0;         ///< 0 while it waits.
    TimePoint Started;
    TimePoint HoldUntil;    ///< Waits so long for the server to be faster.
    double StartFactor = 1; ///< Of the server when the run started.
    bool Cancelled = false;
    bool Suspect = false;       ///< It may have crashed a server before.
    bool BesideSuspect = false; ///< One of other content ran when it started.
  };
  using CallMap = std::map<CallId, AdmittedCall>;
  AdmittedCall remove(CallMap::iterator At);

  void limitColdRate();
  void recoverServer(TimePoint Now, const ServerProbed &Probe);
  std::optional<ErrorKind> checkGate(const Execute &Message) const;
  std::optional<ErrorKind> checkRoom(TimePoint Now,
                                     const AdmittedCall &Call) const;
  bool otherSuspectRuns(std::uint64_t Fingerprint) const;
  std::optional<ErrorKind> checkSuspicion(TimePoint Now,
                                          const Execute &Message) const;
  bool betterElsewhere(TimePoint Now, const AdmittedCall &Call) const;
  std::uint32_t usableSlots() const;
  std::size_t running() const { return Runs.size(); }
  Duration expectedRun(const std::string &Route, double Factor) const;
  Duration expectedRun(const std::string &Route) const {
    return expectedRun(Route, Speed.factor());
  }
  Duration expectedWait(TimePoint Now, const AdmittedCall &Call,
                        double Factor) const;
  std::optional<TimePoint> holdUntil(TimePoint Now,
                                     const AdmittedCall &Call) const;
  bool isHeld(TimePoint Now, const AdmittedCall &Call) const {
    return Speed.slow() && Now < Call.HoldUntil;
  }
  bool goesBefore(TimePoint Now, const AdmittedCall &One,
                  const AdmittedCall &Other) const;
  bool mayStart(TimePoint Now);
  void pump(GateStep &Step);
  void start(GateStep &Step, AdmittedCall &Call);
  TimePoint nextProbe() const;
  TimePoint nextServerWake(TimePoint Now) const;
  void refuseLate(GateStep &Step);
  void sendReceipts(GateStep &Step);
  void refuseWaiting(GateStep &Step, ErrorKind Kind);
  void refuse(GateStep &Step, const AdmittedCall &Call, ErrorKind Kind);
  void reply(GateStep &Step, const PeerRef &To, const CallId &Call,
             PeerMessage Message);
  void finish(GateStep &Step, const AdmittedCall &Call, HttpResponse Response,
              const ServerNote &Note);
  void finish(GateStep &Step, const AdmittedCall &Call, BackendError Error);
  void logLate(GateStep &Step, const AdmittedCall &Call) const;
  static bool repeats(const AdmittedCall &Call) {
    return Call.Message.RetryFraction >= 1;
  }
  void learn(const AdmittedCall &Call, TimePoint Now, bool Success);
  void noteLoad(TimePoint Now, const ServerLoad &Load);

  PeerRef Self;
  std::string Region;
  SidecarBounds Bounds;
  LocalServer Server;
  std::string HealthTarget = "/health";
  bool Configured = false; ///< HealthTarget is known.
  std::optional<KnownServer> Expected;
  TimePoint ExpectedUntil;
  double ColdPerSecond = 1;
  std::size_t MaxConnections = 1; ///< That the server accepts.
  mutable TokenBucket ColdTokens;
  RepeatBudget Repeats;
  SpeedWatch Speed;        ///< As the server reports it.
  double ToldSlowdown = 1; ///< Last told to the ingresses.
  TimePoint LoadAt;        ///< When the server last told its load.
  TimePoint CalledAt;      ///< When a call last arrived.
  std::map<HostId, TimePoint> Ingresses; ///< To when they sent a call last.
  RunTimes Times;
  CallMap Calls;                             ///< Waiting or running.
  std::multimap<TimePoint, CallId> Receipts; ///< By when they are due.
  std::size_t Waiting = 0;
  std::size_t HeldBytes = 0; ///< Of the requests of all calls.
  std::unordered_map<RunId, CallId> Runs;
  RunId LastRun = 0;
  bool Evacuated = false;
  bool Stopping = false;
  bool Unreachable = false; ///< The last connection attempt failed.
  bool Probing = false;     ///< A probe is under way.
  TimePoint ProbedAt;

  EndedReplies Ended; ///< For Await.
  CrashWatch Crashes;
  std::map<std::uint64_t, std::size_t> SuspectRuns; ///< By fingerprint.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SERVERGATE_H
