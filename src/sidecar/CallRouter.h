// CallRouter.h - Calls of clients, from arrival to the one answer.

#ifndef FIGSAIL_SIDECAR_CALLROUTER_H
#define FIGSAIL_SIDECAR_CALLROUTER_H

#include "CallOrigins.h"
#include "Instance.h"
#include "PeerHealth.h"
#include "RunTimes.h"
#include "ServiceConfig.h"
#include "SidecarEvents.h"
#include "SidecarSettings.h"

#include "RegionLink.h"
#include "RequestIdentity.h"

#include "figsail/Balancer.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace figsail {

/// What one step of the router works with.
struct RouterStep {
  TimePoint Now;
  std::uint64_t Seed;
  const ServiceConfig *Config; ///< Null while none is known.
  const InstanceDirectory &Directory;
  const std::set<std::string> &Evacuated; ///< Failure domains.
  PeerHealth &Peers;
  /// Part of the runs at the own server that are repeats: a request that
  /// arrives now may be a call of one of them.
  float RetryFraction;
  SidecarEffects &Out;
};

/// Finds the route, chooses a backend server and thereby its daemon, sends
/// again what may be sent again, and answers every client exactly once. A call
/// that no backend server can take is refused at once, with a time to return.
class CallRouter {
public:
  CallRouter(const SidecarSettings &Settings);

  void request(RouterStep &Step, ClientRequest Arrived);
  void callerGone(RouterStep &Step, CallerId Caller);

  void received(RouterStep &Step, const PeerRef &From, const CallId &Id);
  void answered(RouterStep &Step, const PeerRef &From, Answer Message);
  void refused(RouterStep &Step, const PeerRef &From, const Refused &Message);
  void failed(RouterStep &Step, const PeerRef &From, const Failed &Message);
  void peerLost(RouterStep &Step, const PeerLost &Lost);
  /// A daemon tells the load of its server by itself.
  void loadReported(TimePoint Now, const HostId &Host, const LoadReport &Load) {
    Selector.loadReported(Now, Host, Load);
  }

  /// The number of hosts has changed, over which the link between regions is
  /// divided.
  void setRegionHosts(std::size_t Count) { Link.setHostCount(Count); }
  /// A host has another backend server or daemon; old reports are forgotten.
  void hostChanged(const HostId &Host) { Selector.reset(Host); }

  /// The number of runs at the own server may have changed.
  void serverRuns(TimePoint Now, std::size_t Count) {
    Origins.runs(Now, Count);
  }
  void timer(RouterStep &Step);
  TimePoint nextWake() const;
  /// Returns whether a request for the service has arrived.
  bool uses(const std::string &Service) const {
    return UsedServices.contains(Service);
  }
  std::size_t underWay() const { return Calls.size(); }

private:
  struct Call {
    std::uint64_t Number = 0;
    CallId Id; ///< Of the present attempt.
    CallerId Caller = 0;
    std::string ClientId;
    HttpRequest Request;
    std::size_t Bytes = 0; ///< Of the request.
    RoutePtr Route;
    std::string Service;
    std::uint64_t Fingerprint = 0; ///< Hash of caller, host, path and body.
    TimePoint Arrived;
    TimePoint Deadline;
    TimePoint Target;
    TimePoint SentAt; ///< Of the present attempt.
    TimePoint WakeAt;
    PeerRef Executor;
    std::string Instance;
    std::vector<HostId> Tried;
    std::uint32_t Servers = 0;  ///< Backend servers that it may have reached.
    float RetryFraction = 0;    ///< Of the run that may have made it.
    bool MayHaveRun = false;    ///< One of them may have run it.
    std::uint32_t Refusals = 0; ///< By daemons; nothing reached a server.
    std::vector<HostId> Slow;   ///< Refused because they were slow then.
    std::uint32_t SilentChecks = 0;
    bool Confirmed = false;
    bool Asking = false; ///< An Await is under way.
    bool Outstanding = false;
    bool Remote = false; ///< The executor is in another region.
    ErrorKind LastError = ErrorKind::NoBackendServer;
    Duration BusyFor{0};               ///< Of the server that refused last.
    std::optional<HttpResponse> Spare; ///< Failure to deliver if no other
                                       ///< server can be tried.
  };

  void refuseArrival(RouterStep &Step, const ClientRequest &Arrived,
                     ErrorKind Kind, TimePoint Deadline);
  Call *find(const CallId &Id, const PeerRef &From);
  Duration usualRun(const Call &Current, TimePoint Now,
                    const LoadReport &Load) const;
  double runShare(const Call &Current, TimePoint Now,
                  const LoadReport &Load) const;
  void learn(const Call &Current, TimePoint Now, const LoadReport &Load);
  void wakeAt(Call &Current, TimePoint At);
  void forget(Call &Current);
  const Member *choose(RouterStep &Step, const Call &Current);
  void advance(RouterStep &Step, Call &Current);
  const Member *chooseSlow(RouterStep &Step, Call &Current);
  void send(RouterStep &Step, Call &Current, const Member &To,
            bool HasAlternative);
  static Duration confirmTimeout(const Call &Current);
  static std::uint32_t receiptTime(bool Remote);
  void ask(RouterStep &Step, Call &Current);
  void checkSilence(RouterStep &Step, Call &Current);
  void executorLost(RouterStep &Step, Call &Current, bool Unsent);
  void retryAfterRun(RouterStep &Step, Call &Current, ErrorKind Why);
  static bool mayRepeat(const Call &Current);
  void deadlinePassed(RouterStep &Step, Call &Current);
  void settle(RouterStep &Step, Call &Current, bool Success,
              const LoadReport *Load);
  void deliver(RouterStep &Step, Call &Current, HttpResponse Response);
  void fail(RouterStep &Step, Call &Current, ErrorKind Kind);
  HttpResponse refusal(const RouterStep &Step, ErrorKind Kind,
                       TimePoint Deadline, Duration BusyFor) const;
  void logEnd(RouterStep &Step, const Call &Current,
              const HttpResponse &Response, std::string_view Reason);

  PeerRef Self;
  std::string CallingService; ///< Of the backend server beside this daemon.
  Locality Here;
  Balancer Selector;
  RegionLink Link;
  CallOrigins Origins;
  SplitSchedule Splits;
  std::set<std::string> UsedServices;
  std::size_t HeldBytes = 0; ///< Of the requests of all calls.
  RunTimes Times;            ///< From sending to the answer, at usual speed.
  std::uint64_t NextNumber = 1;
  std::uint64_t NextSequence = 1;
  std::unordered_map<std::uint64_t, Call> Calls;              ///< By number.
  std::unordered_map<std::uint64_t, std::uint64_t> ByAttempt; ///< To number.
  std::unordered_map<CallerId, std::uint64_t> ByCaller;       ///< To number.
  std::set<std::pair<TimePoint, std::uint64_t>> WakeOrder;    ///< To number.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_CALLROUTER_H
