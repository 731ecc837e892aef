// SidecarCluster.h - Simulation of several hosts' reducers, their backend
// servers and their clients in virtual time, without a network.

#ifndef FIGSAIL_TESTS_SIDECARCLUSTER_H
#define FIGSAIL_TESTS_SIDECARCLUSTER_H

#include "Sidecar.h"
#include "SidecarFixture.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace figsail::test {

/// A service of the cluster. The runs of its servers call the next service in
/// the list.
struct ClusterService {
  std::string Name;
  std::size_t Hosts = 1;
  Duration Work{std::chrono::milliseconds(20)};
  unsigned CallsPerRun = 0; ///< To the next service, sequentially.
};

/// A request that reached a backend server.
struct ClusterArrival {
  TimePoint At;
  std::string Service;
  bool CausedByRetry = false; ///< A retry, or a call of a retried run.
};

/// A request of a client or of a backend server.
struct ClusterRequest {
  TimePoint At;
  std::string Service;
};

/// Simulator of requests, runs and messages. Messages between hosts take 1 ms.
class SidecarCluster {
public:
  SidecarCluster(std::vector<ClusterService> List, std::uint64_t Seed)
      : Services(std::move(List)), Random(Seed) {
    Config = std::make_shared<ServiceConfig>();
    Config->Version = 1;
    for (const ClusterService &Service : Services)
      addService(Service);
    for (auto &[Name, Host] : Hosts)
      start(Name, *Host);
  }

  /// Fraction of requests that the servers refuse to run, by service.
  std::map<std::string, double> RefusedFraction;
  /// Daemons that no message reaches and whose messages are lost.
  std::set<HostId> Partitioned;

  /// Sends a client's request for the service to a random host.
  void request(const std::string &Service) {
    auto At = std::next(Hosts.begin(),
                        static_cast<std::ptrdiff_t>(Random() % Hosts.size()));
    sendRequest(
        At->first, Service, false,
        [this](const HttpResponse &Response) { ++Answers[Response.Status]; });
  }

  /// Advances the virtual time.
  void run(Duration Time) {
    TimePoint End = Now + Time;
    while (Now < End) {
      for (auto &[Name, Host] : Hosts)
        if (Host->Reducer->nextWake() <= Now)
          apply(Name, TimerFired{});
      while (!Scheduled.empty() && Scheduled.begin()->first <= Now) {
        auto Action = std::move(Scheduled.begin()->second);
        Scheduled.erase(Scheduled.begin());
        Action();
      }
      Now += std::chrono::milliseconds(1);
    }
  }

  std::vector<ClusterArrival> Arrivals;
  std::vector<ClusterRequest> Requests;
  std::map<unsigned, unsigned> Answers; ///< To clients, by status.
  TimePoint Now = TestStart;

private:
  struct Host {
    std::unique_ptr<Sidecar> Reducer;
    std::string Service;
    std::map<RunId, bool> Runs; ///< Runs in progress; true: caused by a retry.
  };
  using ReplyHandler = std::function<void(const HttpResponse &)>;

  void schedule(Duration Time, std::function<void()> Action) {
    Scheduled.emplace(Now + Time, std::move(Action));
  }
  bool happens(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }
  const ClusterService *nextOf(const std::string &Name) const {
    for (std::size_t I = 0; I + 1 < Services.size(); ++I)
      if (Services[I].Name == Name)
        return &Services[I + 1];
    return nullptr;
  }
  const ClusterService &service(const std::string &Name) const {
    return *std::ranges::find(Services, Name, &ClusterService::Name);
  }

  void addService(const ClusterService &Service) {
    ServiceRoute Route;
    Route.Name = Service.Name;
    Route.Host = "desk.example";
    Route.PathPrefix = "/" + Service.Name + "/";
    Route.Idempotent = true;
    Route.Timeout = std::chrono::seconds(2);
    Route.TargetLatency = std::chrono::milliseconds(500);
    Route.MaxServers = 3;
    Route.Parts = {{Service.Name, 1}};
    Config->add(Route);
    ServiceSettings Settings;
    Settings.Name = Service.Name;
    Settings.MaxConnections = 200;
    Settings.ColdPerSecond = 1000;
    Config->add(Settings);
    for (std::size_t I = 0; I < Service.Hosts; ++I) {
      HostId Name = Service.Name + std::to_string(I);
      Hosts[Name] = std::make_unique<Host>();
      Hosts[Name]->Service = Service.Name;
    }
  }

  void start(const HostId &Name, Host &Self) {
    SidecarSettings Settings = testSettings(Name);
    Settings.Service = Self.Service;
    Self.Reducer = std::make_unique<Sidecar>(Settings, Decoder);
    apply(Name, TimerFired{});
    Decoder.Contents["config@1"] = ConfigPtr(Config);
    TopicSnapshot Operator{Topic::Operator, {{"config", "x", 1}}, 2};
    TopicSnapshot Members{Topic::Members, {}, 1};
    for (auto &[Other, Known] : Hosts) {
      Announcement Own = announcement(Other, Known->Service);
      Own.Order.Inc = 1;
      Decoder.Contents[Other + "@1"] = Own;
      if (Other != Name)
        Members.Records.push_back({Other, "x", 1});
    }
    apply(Name, std::move(Operator));
    apply(Name, std::move(Members));
    sendHeartbeat(Name, 1);
  }

  void sendHeartbeat(const HostId &Name, std::uint64_t Sequence) {
    ServerHeartbeat Own = heartbeat(Sequence, "i-" + Name);
    Own.Service = Hosts.at(Name)->Service;
    Own.Slots = 100;
    apply(Name, Own);
    schedule(std::chrono::seconds(1),
             [this, Name, Sequence] { sendHeartbeat(Name, Sequence + 1); });
  }

  void sendRequest(const HostId &From, const std::string &Service,
                   bool CausedByRetry, ReplyHandler OnReply) {
    ClientRequest Arrived;
    Arrived.Caller = ++LastCaller;
    Arrived.Id = std::to_string(LastCaller);
    Arrived.Host = "desk.example";
    Arrived.ClientTimeout = std::chrono::milliseconds(1500);
    Arrived.Request.Method = "GET";
    Arrived.Request.Target = "/" + Service + "/" + Arrived.Id;
    Callers[Arrived.Caller] = std::move(OnReply);
    IsRetryByTarget[Arrived.Request.Target] = CausedByRetry;
    Requests.push_back({Now, Service});
    apply(From, std::move(Arrived));
  }

  void apply(const HostId &Name, SidecarEventBody Body) {
    Sidecar &Reducer = *Hosts.at(Name)->Reducer;
    for (SidecarEffect &Effect :
         Reducer.apply({Now, Random(), std::move(Body)}))
      perform(Name, Effect);
  }

  void perform(const HostId &Name, SidecarEffect &Effect) {
    if (auto *Sent = std::get_if<SendPeer>(&Effect))
      deliver(Name, Sent->Host, std::move(Sent->Message));
    else if (auto *Run = std::get_if<StartRun>(&Effect))
      arriveAtServer(Name, *Run);
    else if (auto *Reply = std::get_if<ReplyCaller>(&Effect))
      answer(*Reply);
    else if (std::holds_alternative<ProbeServer>(Effect))
      schedule(std::chrono::milliseconds(1), [this, Name] {
        apply(Name, ServerProbeResult{true, "i-" + Name, std::nullopt, {}, {}});
      });
    else if (auto *Cancelled = std::get_if<CancelRun>(&Effect))
      schedule(Duration(0), [this, Name, Run = Cancelled->Run] {
        finish(Name, Run, BackendError::Cancelled, {});
      });
  }

  void deliver(const HostId &From, const HostId &To, PeerMessage Message) {
    bool Lost = Partitioned.contains(From) != Partitioned.contains(To);
    if (Lost || !Hosts.contains(To))
      return;
    Duration Delay{From == To ? 0 : 1000};
    schedule(Delay, [this, From, To, Message = std::move(Message)]() mutable {
      apply(To, PeerReceived{{From, 1}, std::move(Message)});
    });
  }

  void answer(const ReplyCaller &Reply) {
    auto Found = Callers.extract(Reply.Caller);
    if (!Found.empty())
      Found.mapped()(Reply.Response);
  }

  /// Delivers a request to the backend server of a host.
  void arriveAtServer(const HostId &Name, const StartRun &Run) {
    Host &Self = *Hosts.at(Name);
    bool First = ReachedTargets.insert(Run.Request.Target).second;
    bool CausedByRetry = !First || IsRetryByTarget[Run.Request.Target];
    Arrivals.push_back({Now, Self.Service, CausedByRetry});
    Self.Runs[Run.Run] = CausedByRetry;
    if (happens(RefusedFraction[Self.Service])) {
      HttpResponse Refusal;
      Refusal.Status = 503;
      ResponseMetadata Note;
      Note.NotExecuted = true;
      return schedule(std::chrono::milliseconds(1),
                      [this, Name, Run = Run.Run, Refusal, Note] {
                        finish(Name, Run, Refusal, Note);
                      });
    }
    const ClusterService *Next = nextOf(Self.Service);
    unsigned Calls = Next ? service(Self.Service).CallsPerRun : 0;
    schedule(service(Self.Service).Work, [this, Name, Run = Run.Run, Calls] {
      makeCalls(Name, Run, Calls);
    });
  }

  void makeCalls(const HostId &Name, RunId Run, unsigned Left) {
    Host &Self = *Hosts.at(Name);
    if (!Self.Runs.contains(Run))
      return;
    HttpResponse Response;
    Response.Status = 200;
    if (Left == 0)
      return finish(Name, Run, Response, {});
    sendRequest(Name, nextOf(Self.Service)->Name, Self.Runs[Run],
                [this, Name, Run, Left](const HttpResponse &Answer) {
                  if (Answer.Status == 200)
                    return makeCalls(Name, Run, Left - 1);
                  HttpResponse Failure;
                  Failure.Status = 500;
                  finish(Name, Run, Failure, {});
                });
  }

  void finish(const HostId &Name, RunId Run,
              const std::variant<HttpResponse, BackendError> &Result,
              const ResponseMetadata &Note) {
    if (Hosts.at(Name)->Runs.erase(Run) == 0)
      return;
    schedule(Duration(0), [this, Name, Run, Result, Note] {
      apply(Name, ServerRunResult{Run, Result, Note});
    });
  }

  std::vector<ClusterService> Services;
  std::mt19937_64 Random;
  std::shared_ptr<ServiceConfig> Config;
  FakeDecoder Decoder;
  std::map<HostId, std::unique_ptr<Host>> Hosts;
  std::multimap<TimePoint, std::function<void()>> Scheduled;
  CallerId LastCaller = 0;
  std::map<CallerId, ReplyHandler> Callers;
  std::map<std::string, bool> IsRetryByTarget;
  std::set<std::string> ReachedTargets;
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_SIDECARCLUSTER_H
