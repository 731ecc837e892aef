// SidecarCluster.h - Reducers of several hosts, their backend servers and their
// clients in virtual time, without a network.

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

/// A service of the cluster. Its servers call the next service in the list.
struct ClusterService {
  std::string Name;
  std::size_t Hosts = 1;
  Duration Work{std::chrono::milliseconds(20)};
  unsigned CallsPerRun = 0; ///< To the next service, one after the other.
};

/// A request that reached a backend server.
struct ClusterArrival {
  TimePoint At;
  std::string Service;
  bool Beyond = false; ///< Not the first of its request, or made by a run that
                       ///< was not.
};

/// A request of a client or of a backend server.
struct ClusterRequest {
  TimePoint At;
  std::string Service;
};

/// Plays requests, runs and messages. Messages between hosts take 1 ms.
class SidecarCluster {
public:
  SidecarCluster(std::vector<ClusterService> Given, std::uint64_t Seed)
      : Services(std::move(Given)), Random(Seed) {
    Config = std::make_shared<ServiceConfig>();
    Config->Version = 1;
    for (const ClusterService &Service : Services)
      addService(Service);
    for (auto &[Name, Host] : Hosts)
      start(Name, *Host);
  }

  /// The share of requests that the servers of a service refuse to run.
  std::map<std::string, double> Shedding;
  /// Daemons that receive nothing and whose messages get lost.
  std::set<HostId> CutOff;

  /// Lets a client of a random host ask the service.
  void request(const std::string &Service) {
    auto At = std::next(Hosts.begin(),
                        static_cast<std::ptrdiff_t>(Random() % Hosts.size()));
    ask(At->first, Service, false,
        [this](const HttpResponse &Response) { ++Answers[Response.Status]; });
  }

  /// Lets time pass.
  void run(Duration Time) {
    TimePoint End = Now + Time;
    while (Now < End) {
      for (auto &[Name, Host] : Hosts)
        if (Host->Under->nextWake() <= Now)
          apply(Name, TimerFired{});
      while (!Agenda.empty() && Agenda.begin()->first <= Now) {
        auto Do = std::move(Agenda.begin()->second);
        Agenda.erase(Agenda.begin());
        Do();
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
    std::unique_ptr<Sidecar> Under;
    std::string Service;
    std::map<RunId, bool> Beyond; ///< Runs under way.
  };
  using Continue = std::function<void(const HttpResponse &)>;

  void after(Duration Time, std::function<void()> Do) {
    Agenda.emplace(Now + Time, std::move(Do));
  }
  bool drawn(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Share;
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
    Self.Under = std::make_unique<Sidecar>(Settings, Decoder);
    apply(Name, TimerFired{});
    Decoder.Contents["config@1"] = ConfigPtr(Config);
    TopicSnapshot Operator{Topic::Operator, {{"config", "x", 1}}, 2};
    TopicSnapshot Members{Topic::Members, {}, 1};
    for (auto &[Other, Known] : Hosts) {
      Announcement Said = announcement(Other, Known->Service);
      Said.Order.Inc = 1;
      Decoder.Contents[Other + "@1"] = Said;
      if (Other != Name)
        Members.Records.push_back({Other, "x", 1});
    }
    apply(Name, std::move(Operator));
    apply(Name, std::move(Members));
    beat(Name, 1);
  }

  void beat(const HostId &Name, std::uint64_t Sequence) {
    ServerHeartbeat Said = heartbeat(Sequence, "i-" + Name);
    Said.Service = Hosts.at(Name)->Service;
    Said.Slots = 100;
    apply(Name, Said);
    after(std::chrono::seconds(1),
          [this, Name, Sequence] { beat(Name, Sequence + 1); });
  }

  void ask(const HostId &From, const std::string &Service, bool Beyond,
           Continue Then) {
    ClientRequest Arrived;
    Arrived.Caller = ++LastCaller;
    Arrived.Id = std::to_string(LastCaller);
    Arrived.Host = "desk.example";
    Arrived.ClientTimeout = std::chrono::milliseconds(1500);
    Arrived.Request.Method = "GET";
    Arrived.Request.Target = "/" + Service + "/" + Arrived.Id;
    Callers[Arrived.Caller] = std::move(Then);
    FromRepeat[Arrived.Request.Target] = Beyond;
    Requests.push_back({Now, Service});
    apply(From, std::move(Arrived));
  }

  void apply(const HostId &Name, SidecarEventBody Body) {
    Sidecar &Under = *Hosts.at(Name)->Under;
    for (SidecarEffect &Effect : Under.apply({Now, Random(), std::move(Body)}))
      perform(Name, Effect);
  }

  void perform(const HostId &Name, SidecarEffect &Effect) {
    if (auto *Sent = std::get_if<SendPeer>(&Effect))
      deliver(Name, Sent->Host, std::move(Sent->Message));
    else if (auto *Run = std::get_if<StartRun>(&Effect))
      reach(Name, *Run);
    else if (auto *Reply = std::get_if<ReplyCaller>(&Effect))
      answer(*Reply);
    else if (std::holds_alternative<ProbeServer>(Effect))
      after(std::chrono::milliseconds(1), [this, Name] {
        apply(Name, ServerProbeResult{true, "i-" + Name, std::nullopt, {}});
      });
    else if (auto *Cancelled = std::get_if<CancelRun>(&Effect))
      after(Duration(0), [this, Name, Run = Cancelled->Run] {
        finish(Name, Run, BackendError::Cancelled, {});
      });
  }

  void deliver(const HostId &From, const HostId &To, PeerMessage Message) {
    bool Lost = CutOff.contains(From) != CutOff.contains(To);
    if (Lost || !Hosts.contains(To))
      return;
    Duration Delay{From == To ? 0 : 1000};
    after(Delay, [this, From, To, Message = std::move(Message)]() mutable {
      apply(To, PeerReceived{{From, 1}, std::move(Message)});
    });
  }

  void answer(const ReplyCaller &Reply) {
    auto Found = Callers.extract(Reply.Caller);
    if (!Found.empty())
      Found.mapped()(Reply.Response);
  }

  /// A request arrives at the server of a host.
  void reach(const HostId &Name, const StartRun &Run) {
    Host &Self = *Hosts.at(Name);
    bool First = Reached.insert(Run.Request.Target).second;
    bool Beyond = !First || FromRepeat[Run.Request.Target];
    Arrivals.push_back({Now, Self.Service, Beyond});
    Self.Beyond[Run.Run] = Beyond;
    if (drawn(Shedding[Self.Service])) {
      HttpResponse Refusal;
      Refusal.Status = 503;
      ResponseMetadata Note;
      Note.NotExecuted = true;
      return after(std::chrono::milliseconds(1),
                   [this, Name, Run = Run.Run, Refusal, Note] {
                     finish(Name, Run, Refusal, Note);
                   });
    }
    const ClusterService *Next = nextOf(Self.Service);
    unsigned Calls = Next ? service(Self.Service).CallsPerRun : 0;
    after(service(Self.Service).Work,
          [this, Name, Run = Run.Run, Calls] { makeCalls(Name, Run, Calls); });
  }

  void makeCalls(const HostId &Name, RunId Run, unsigned Left) {
    Host &Self = *Hosts.at(Name);
    if (!Self.Beyond.contains(Run))
      return;
    HttpResponse Response;
    Response.Status = 200;
    if (Left == 0)
      return finish(Name, Run, Response, {});
    ask(Name, nextOf(Self.Service)->Name, Self.Beyond[Run],
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
    if (Hosts.at(Name)->Beyond.erase(Run) == 0)
      return;
    after(Duration(0), [this, Name, Run, Result, Note] {
      apply(Name, ServerRunResult{Run, Result, Note});
    });
  }

  std::vector<ClusterService> Services;
  std::mt19937_64 Random;
  std::shared_ptr<ServiceConfig> Config;
  FakeDecoder Decoder;
  std::map<HostId, std::unique_ptr<Host>> Hosts;
  std::multimap<TimePoint, std::function<void()>> Agenda;
  CallerId LastCaller = 0;
  std::map<CallerId, Continue> Callers;
  std::map<std::string, bool> FromRepeat; ///< By target.
  std::set<std::string> Reached;          ///< Targets.
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_SIDECARCLUSTER_H
