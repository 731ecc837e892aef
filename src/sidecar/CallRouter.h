// CallRouter.h - Routing of client calls, from arrival to the single reply.

#ifndef FIGSAIL_SIDECAR_CALLROUTER_H
#define FIGSAIL_SIDECAR_CALLROUTER_H

#include "AnswerAssembly.h"
#include "Authentication.h"
#include "CallDependencies.h"
#include "HostActivity.h"
#include "Instance.h"
#include "LostAttempts.h"
#include "NestedCallEstimator.h"
#include "PeerHealth.h"
#include "RefusedCalls.h"
#include "Rollouts.h"
#include "RunTimes.h"
#include "ServerNotices.h"
#include "ServiceConfig.h"
#include "SidecarEvents.h"
#include "SidecarSettings.h"
#include "StopTime.h"
#include "WorkspaceQuota.h"

#include "RegionLink.h"
#include "RequestIdentity.h"

#include "figsail/Balancer.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace figsail {

/// The inputs of one step of the router and the list for its effects.
struct RouterStep {
  TimePoint Now;
  std::uint64_t Seed;
  const ServiceConfig *Config; ///< Null until one has been read.
  bool ConfigBehind; ///< A newer one is known to exist, or is arriving.
  const InstanceDirectory &Directory;
  const std::set<std::string> &Evacuated; ///< Failure domains.
  PeerHealth &Peers;
  const Rollouts &Versions; ///< Which versions of a service get calls.
  /// Fraction of the runs at this host's server that are retries. A request
  /// that arrives now may be a call made by one of them.
  float RetryFraction;
  WorkspaceQuota &Quota;
  SidecarEffects &Out;
  /// Most urgent priority of the runs at this host's server, if there are any.
  std::optional<std::uint32_t> RunningPriority{};
};

/// Router of client calls. It finds the route, chooses a backend server and
/// thereby its daemon, retries calls that may be retried, and replies to every
/// client exactly once. A call that no backend server accepts is refused at
/// once, with a Retry-After time.
class CallRouter {
public:
  CallRouter(const SidecarSettings &Settings);

  void request(RouterStep &Step, ClientRequest Arrived);
  void clientDisconnected(RouterStep &Step, CallerId Caller);

  void received(RouterStep &Step, const PeerRef &From, const CallId &Id);
  void answered(RouterStep &Step, const PeerRef &From, Answer Message);
  void pieceReceived(RouterStep &Step, const PeerRef &From, AnswerPiece Piece);
  void refused(RouterStep &Step, const PeerRef &From, const Refused &Message);
  void failed(RouterStep &Step, const PeerRef &From, const Failed &Message);
  void peerLost(RouterStep &Step, const PeerLost &Lost);
  /// Bytes of a large message that is not complete yet have arrived.
  void bytesReceived(TimePoint Now, const HostId &Host) {
    Activity.add(Now, Host);
  }
  /// A daemon has reported the load of its server outside a reply.
  void loadReported(TimePoint Now, const HostId &Host, const LoadReport &Load) {
    Notices.received(Now, Host, Load.Notice, false);
    Selector.loadReported(Now, Host, Load);
  }
  /// A run of this host's server has failed. Returns whether a service refused
  /// one of the server's calls since the start of the run; each call explains
  /// one run.
  bool explainFailedRun(TimePoint RunStart) {
    return RefusedByServices.explain(RunStart);
  }

  /// A run of this host's server for another ingress has ended.
  void remoteRunEnded(TimePoint Now, const std::string &Route,
                      bool CallRefused) {
    Dependencies.runEnded(Now, Route, CallRefused);
  }

  /// Sets the number of hosts that share the link between regions.
  void setRegionHosts(std::size_t Count) { Link.setHostCount(Count); }
  /// A host has another backend server or daemon. Discards its load reports.
  void hostChanged(const Announcement &Announced) {
    Notices.announced(Announced);
    Selector.reset(Announced.Host);
  }

  /// Updates the number of runs at this host's server.
  void setServerRuns(TimePoint Now, std::size_t Count) {
    Origins.setRunning(Now, Count);
  }
  void timer(RouterStep &Step);
  TimePoint nextWake() const;
  /// Returns whether a request for the service has arrived.
  bool usesService(const std::string &Service) const {
    return UsedServices.contains(Service);
  }
  std::size_t inFlight() const { return Calls.size(); }
  /// The process ends at the given time. Calls that cannot end before it are
  /// passed on no more.
  void stopAt(TimePoint EndsAt) { Stop.set(EndsAt); }
  /// Ends all calls, since the process ends. Every client gets an answer that
  /// says whether its request may have run.
  void endAll(RouterStep &Step);
  /// Withdraws the calls that are not idempotent and have not started yet: the
  /// process ends soon. The others continue.
  void withdrawAll(RouterStep &Step);

private:
  /// A server that refused a call because another one would serve it earlier.
  struct FallbackServer {
    HostId Host;
    TimePoint StartAt; ///< When it can start the call.
    TimePoint EndAt;   ///< When the call would end.
  };
  struct Call {
    std::uint64_t Number = 0;
    CallId Id; ///< Of the current attempt.
    CallerId Caller = 0;
    std::string ClientId;
    HttpRequest Request;
    std::size_t Bytes = 0; ///< Size of the request.
    RoutePtr Route;
    WorkspacePtr Client; ///< Null: anonymous.
    CallTerms Terms;
    std::string Service;
    std::uint64_t Fingerprint = 0; ///< Equal whenever the request is resent.
    TimePoint Arrived;
    TimePoint Deadline;
    TimePoint Target; ///< When the target latency of the route ends.
    TimePoint SentAt; ///< Of the current attempt.
    TimePoint WakeAt;
    /// When the request, the last query or the last check was made.
    TimePoint CheckedAt;
    PeerRef Executor;
    std::string Instance;
    std::vector<HostId> TriedHosts;
    /// Backend servers that may have received it.
    std::uint32_t ServersReached = 0;
    bool Nested = false; ///< A run of this host's server has probably made it.
    float RetryFraction = 0; ///< Probability that a retried run made it.
    bool MayHaveRun = false; ///< A backend server may have run it, apart
                             ///< from its attempts in LostAttempts.
    bool Withdrawn = false;  ///< Its daemon was asked not to start it any more.
    std::uint32_t Refusals = 0; ///< By daemons, before any server received it.
    /// Refused only by a rate limit, not counted in Refusals.
    std::uint32_t LimitRefusals = 0;
    /// Refused since a new version takes no more calls, not counted above.
    std::uint32_t RolloutRefusals = 0;
    std::vector<FallbackServer> Fallbacks;
    bool HasAlternative = false; ///< As sent with the current attempt.
    std::uint32_t UnansweredQueries = 0;
    bool Confirmed = false;
    bool QueryInFlight = false; ///< An Await was sent and not yet answered.
    bool Outstanding = false;   ///< The balancer counts it as in flight.
    bool Remote = false;        ///< The executor is in another region.
    ErrorKind LastError = ErrorKind::NoBackendServer;
    /// Time until the server that refused last has emptied its queue.
    Duration BacklogTime{0};
    /// Error response of a server, delivered if no other server can be tried.
    std::optional<HttpResponse> FallbackResponse;
  };

  void refuseRequest(RouterStep &Step, const ClientRequest &Arrived,
                     ErrorKind Kind, TimePoint Deadline);
  bool isOverQuota(RouterStep &Step, const ClientRequest &Arrived,
                   const Workspace *Client, TimePoint Deadline) const;
  Call *find(const CallId &Id, const PeerRef &From);
  Duration timeAtUsualSpeed(const Call &Current, TimePoint Now,
                            const LoadReport &Load) const;
  double fractionOfUsualTime(const Call &Current, TimePoint Now,
                             const LoadReport &Load) const;
  void recordRunTime(const Call &Current, TimePoint Now,
                     const LoadReport &Load);
  Duration expectedRun(const Call &Current, const LoadReport &Load) const;
  void recordRefusal(TimePoint Now, Call &Current,
                     const Refused &Message) const;
  void scheduleWake(Call &Current, TimePoint At);
  void removeCall(Call &Current);
  void preferUnlimited(std::vector<const Member *> &Eligible) const;
  const Member *chooseServer(RouterStep &Step, const Call &Current);
  void tryNextServer(RouterStep &Step, Call &Current);
  const Member *chooseFallback(RouterStep &Step, Call &Current);
  void sendExecute(RouterStep &Step, Call &Current, const Member &To,
                   bool HasAlternative);
  static Duration confirmTimeout(const Call &Current);
  static std::uint32_t receiptDelay(bool Remote);
  void queryExecutor(RouterStep &Step, Call &Current);
  void checkExecutor(RouterStep &Step, Call &Current);
  static bool isQueryPending(const Call &Current);
  static bool isQueryUseful(const Call &Current);
  void executorLost(RouterStep &Step, Call &Current, bool Unsent);
  void retryAfterRun(RouterStep &Step, Call &Current, ErrorKind Why);
  static bool mayRetry(const Call &Current);
  bool mayHaveRun(const Call &Current) const {
    return Current.MayHaveRun || Lost.mayHaveRun(Current.Number);
  }
  void settleUnsent(const HostId &Host, const CallId &Attempt);
  bool settleRefused(const PeerRef &From, const CallId &Attempt);
  void attemptSettled(std::optional<std::uint64_t> Number);
  TimePoint mayWithdrawFrom(const Call &Current) const;
  Duration withdrawTime(const Call &Current) const;
  TimePoint withdrawAt(const Call &Current) const;
  void withdraw(RouterStep &Step, Call &Current);
  void deadlinePassed(RouterStep &Step, Call &Current);
  void endCall(RouterStep &Step, Call &Current);
  bool endsBeforeStop(const RouterStep &Step, Call &Current) const;
  void endAttempt(RouterStep &Step, Call &Current, bool Success,
                  const LoadReport *Load);
  void deliver(RouterStep &Step, Call &Current, HttpResponse Response);
  void fail(RouterStep &Step, Call &Current, ErrorKind Kind);
  HttpResponse refusalResponse(const RouterStep &Step, ErrorKind Kind,
                               TimePoint Deadline, Duration BacklogTime) const;
  void logEnd(RouterStep &Step, const Call &Current,
              const HttpResponse &Response, std::string_view Reason);

  PeerRef Self;
  std::string CallingService; ///< Service of the backend server on this host.
  Locality OwnLocality;
  Balancer Selector;
  ServerNotices Notices;
  RefusedCalls RefusedByServices;
  LostAttempts Lost;
  CallDependencies Dependencies;
  StopTime Stop;
  RegionLink Link;
  HostActivity Activity;
  AnswerAssembly Assembly; ///< Of the answers to the present attempts.
  NestedCallEstimator Origins;
  SplitSchedule Splits;
  std::set<std::string> UsedServices;
  std::size_t BufferedBytes = 0; ///< Size of the requests of all calls.
  RunTimes RouteTimes; ///< Usual time from sending to the answer, by route.
  std::uint64_t NextNumber = 1;
  std::uint64_t NextSequence = 1;
  std::unordered_map<std::uint64_t, Call> Calls;              ///< By number.
  std::unordered_map<std::uint64_t, std::uint64_t> ByAttempt; ///< To number.
  std::unordered_map<CallerId, std::uint64_t> ByCaller;       ///< To number.
  std::set<std::pair<TimePoint, std::uint64_t>> WakeOrder;    ///< To number.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_CALLROUTER_H
