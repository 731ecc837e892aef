// PolicyBench.cpp - Compares selection policies in virtual time, over the real
// Balancer and Admission.

#include "figsail/Admission.h"
#include "figsail/Balancer.h"

#include "RetryBudget.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <string_view>

using namespace figsail;
using namespace std::chrono_literals;

namespace {

constexpr double MeanServiceMicros = 20000;
constexpr Duration Budget = 2s;
constexpr std::uint32_t ShedStatus = 503;
constexpr std::size_t MaxAttempts = 4;
constexpr double CallsToWarm = 200; ///< Requests until a server is warm.
constexpr double ColdCapacity = 2;  ///< Concurrent requests borne when cold.
constexpr double ColdSlowdown = 5;  ///< Service time when cold over warm.
constexpr TimePoint Begin{1000s};
constexpr TimePoint MeasureFrom = Begin + 3s;
constexpr TimePoint FaultFrom = Begin + 5s;
constexpr TimePoint FaultUntil = Begin + 12s;
constexpr TimePoint End = Begin + 20s;

struct Deployment {
  const char *Name;
  std::uint32_t Slots;
  Duration DomainDelay; ///< One way between failure domains.
  std::vector<std::pair<const char *, const char *>>
      Servers; ///< Region, domain.
  std::vector<std::pair<const char *, const char *>> Ingresses;
};

enum class Fault : std::uint8_t {
  None,
  Slow,
  Cold,
  FailFast,
  Noisy,
  DomainOut
};
constexpr const char *FaultNames[] = {
    "steady 70%",     "one server 10x slower", "one turns cold",
    "one fails fast", "noisy workspace",       "failure domain out and back"};

/// Faults hit the last server, which is alone in its failure domain.
struct Server {
  Member Who;
  std::unique_ptr<ExecutionLog> Log;
  std::unique_ptr<Admission> Admit;
  AdmissionGate Gate;
  double Warmth = 1;
  std::size_t Running = 0;
  TimePoint Wake = TimePoint::max();
};

struct Call {
  std::size_t Ingress = 0;
  TimePoint Arrived;
  bool Quiet = false;
  std::vector<HostId> Tried;
};

struct Ingress {
  PeerRef Who;
  Locality Here;
  std::unique_ptr<Balancer> Choice;
  RetryBudget Retries;
  std::vector<const Member *> Eligible;
};

struct Tally {
  std::vector<double> Millis;
  std::size_t Calls = 0, Refused = 0, Failed = 0, Retries = 0, Overloads = 0;
  double percentile(double P) {
    if (Millis.empty())
      return 0;
    auto At =
        static_cast<std::size_t>(P * static_cast<double>(Millis.size() - 1));
    std::nth_element(Millis.begin(),
                     Millis.begin() + static_cast<std::ptrdiff_t>(At),
                     Millis.end());
    return Millis[At];
  }
  double rate(std::size_t Count) const {
    return 100.0 * static_cast<double>(Count) /
           static_cast<double>(std::max<std::size_t>(Calls, 1));
  }
};

class Simulation {
public:
  Simulation(const Deployment &Place, const char *Policy, bool Fixed,
             Fault Kind, std::uint64_t Seed)
      : Place(Place), Kind(Kind), Random(Seed) {
    for (std::size_t I = 0; I < Place.Servers.size(); ++I)
      addServer(I, Fixed);
    for (std::size_t I = 0; I < Place.Ingresses.size(); ++I)
      addIngress(I, Policy);
    scheduleArrival(false);
    if (Kind == Fault::Noisy)
      scheduleArrival(true);
    at(FaultFrom, [this] { faultBegins(); });
    at(FaultUntil, [this] { faultEnds(); });
  }

  void run() {
    while (!Events.empty()) {
      Step Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Do();
    }
  }

  Tally All, Quiet;

private:
  struct Step {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Do;
    bool operator<(const Step &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  void at(TimePoint When, std::function<void()> Do) {
    Events.push({When, ++Order, std::move(Do)});
  }

  void addServer(std::size_t I, bool Fixed) {
    Server Fresh;
    Fresh.Who.Host = "server-" + std::to_string(I);
    Fresh.Who.Region = Place.Servers[I].first;
    Fresh.Who.FailureDomain = Place.Servers[I].second;
    PeerRef Self{Fresh.Who.Host, 1};
    AdmissionSettings Settings;
    Settings.Slots = Place.Slots;
    Settings.FixedLimit = Fixed;
    Fresh.Log = std::make_unique<ExecutionLog>(Self, RecordLimits{});
    Fresh.Admit = std::make_unique<Admission>(Self, Settings, *Fresh.Log);
    Servers.push_back(std::move(Fresh));
  }

  void addIngress(std::size_t I, const char *Policy) {
    Ingress Fresh;
    Fresh.Who = {"ingress-" + std::to_string(I), I + 1};
    Fresh.Here = {Place.Ingresses[I].first, Place.Ingresses[I].second};
    Fresh.Choice = std::make_unique<Balancer>(Fresh.Who.Host, Fresh.Here,
                                              makePolicy(Policy));
    for (const Server &Each : Servers)
      Fresh.Eligible.push_back(&Each.Who);
    Ingresses.push_back(std::move(Fresh));
  }

  /// Arrivals are Poisson. With a noisy workspace the quiet one asks for 30% of
  /// the capacity and the noisy one for 120%, both with share 1.
  void scheduleArrival(bool Noisy) {
    double Load = Kind == Fault::Noisy ? (Noisy ? 1.2 : 0.3) : 0.7;
    double Capacity =
        static_cast<double>(Servers.size()) * Place.Slots / MeanServiceMicros;
    std::exponential_distribution<double> Gap(Load * Capacity);
    TimePoint When = Now + Duration(static_cast<std::int64_t>(Gap(Random)) + 1);
    if (When >= End)
      return;
    at(When, [this, Noisy] {
      scheduleArrival(Noisy);
      std::uint64_t Id = ++LastCall;
      Calls[Id] = {Random() % Ingresses.size(), Now, !Noisy, {}};
      Ingresses[Calls[Id].Ingress].Retries.recordCall(Now, "/s");
      send(Id);
    });
  }

  Duration delay(const Ingress &From, const Server &To) const {
    if (From.Here.Region != To.Who.Region)
      return 30ms;
    return From.Here.FailureDomain == To.Who.FailureDomain ? Duration(100)
                                                           : Place.DomainDelay;
  }

  void send(std::uint64_t Id) {
    Call &Each = Calls[Id];
    Ingress &From = Ingresses[Each.Ingress];
    const Member *Who =
        From.Choice->choose(Now, From.Eligible, Each.Tried, true, Random());
    if (!Who)
      return end(Id, 0);
    Each.Tried.push_back(Who->Host);
    From.Choice->sent(Now, Who->Host);
    Server &To = serverAt(Who->Host);
    Execute Message;
    Message.Call = {From.Who.Inc, Id};
    Message.Policy.Route = "/s/r";
    Message.Policy.Workspace = Each.Quiet ? "/quiet" : "/noisy";
    Message.Policy.RefusalStatus = ShedStatus;
    Message.BudgetMicros = (Each.Arrived + Budget - Now).count();
    at(Now + delay(From, To), [this, &From, &To, Message] {
      EffectList Out;
      To.Admit->execute(Now, From.Who, Message, To.Gate, Out);
      carryOut(To, Out);
    });
  }

  Server &serverAt(const HostId &Host) {
    return Servers[std::stoul(Host.substr(7))];
  }

  void carryOut(Server &At, EffectList &Out) {
    for (Effect &Each : Out) {
      if (auto *Send = std::get_if<SendPeer>(&Each))
        deliver(At, std::move(Send->Message));
      if (auto *Run = std::get_if<RunBackend>(&Each))
        runBackend(At, Run->Run, Run->Budget);
      if (std::holds_alternative<ProbeBackend>(Each))
        at(Now + 5ms, [this, &At] { probed(At); });
    }
    TimePoint Wake = At.Admit->nextWake();
    if (Wake >= At.Wake || Wake >= End + Budget)
      return;
    At.Wake = Wake;
    at(std::max(Wake, Now), [this, &At] {
      At.Wake = TimePoint::max();
      EffectList Due;
      At.Admit->timer(Now, Due);
      carryOut(At, Due);
    });
  }

  void probed(Server &At) {
    EffectList Out;
    At.Admit->probeDone(Now, {true, 5ms}, Out);
    carryOut(At, Out);
  }

  bool isFaulty(const Server &At) const {
    return &At == &Servers.back() && Now >= FaultFrom && Now < FaultUntil;
  }

  /// A cold server bears fewer requests and is slower; beyond what it bears,
  /// all requests slow down, and beyond twice that it sheds.
  void runBackend(Server &At, RunId Run, Duration Left) {
    std::lognormal_distribution<double> Service(-0.125, 0.5);
    double Micros = MeanServiceMicros * Service(Random);
    double Bears = ColdCapacity + (Place.Slots - ColdCapacity) * At.Warmth;
    double Load = static_cast<double>(++At.Running) / Bears;
    if (Now >= MeasureFrom && Load > 1.25)
      ++All.Overloads;
    std::variant<HttpResponse, BackendError> Result = HttpResponse{200, {}, {}};
    Micros *= 1 + (ColdSlowdown - 1) * (1 - At.Warmth);
    Micros *= std::max(1.0, Load);
    if (isFaulty(At) && Kind == Fault::Slow)
      Micros *= 10;
    if (Load > 2 || (isFaulty(At) && Kind == Fault::FailFast)) {
      Result = HttpResponse{Load > 2 ? ShedStatus : 500, {}, {}};
      Micros = 1000;
    }
    if (Micros > static_cast<double>(Left.count())) {
      Result = BackendError::TimedOut;
      Micros = static_cast<double>(Left.count());
    }
    at(Now + Duration(static_cast<std::int64_t>(Micros)),
       [this, &At, Run, Result] {
         --At.Running;
         At.Warmth = std::min(1.0, At.Warmth + 1 / CallsToWarm);
         EffectList Out;
         At.Admit->backendDone(Now, {Run, Result}, Out);
         carryOut(At, Out);
       });
  }

  void deliver(Server &At, PeerMessage Message) {
    auto Reply = std::make_shared<PeerMessage>(std::move(Message));
    std::uint64_t Id = 0;
    if (auto *Done = std::get_if<Answer>(Reply.get()))
      Id = Done->Call.Sequence;
    if (auto *Done = std::get_if<Refused>(Reply.get()))
      Id = Done->Call.Sequence;
    if (auto *Done = std::get_if<Failed>(Reply.get()))
      Id = Done->Call.Sequence;
    if (Id == 0)
      return;
    Ingress &To = Ingresses[Calls[Id].Ingress];
    at(Now + delay(To, At),
       [this, &At, &To, Id, Reply] { replied(At, To, Id, *Reply); });
  }

  void replied(Server &At, Ingress &To, std::uint64_t Id,
               const PeerMessage &Message) {
    const HostId &Host = At.Who.Host;
    if (const auto *Done = std::get_if<Answer>(&Message)) {
      To.Choice->ended(Now, Host, Done->Response.Status < 500, &Done->Load);
      return end(Id, Done->Response.Status);
    }
    unsigned Status = 0;
    if (const auto *Done = std::get_if<Refused>(&Message)) {
      To.Choice->refused(Now, Host, Done->Load);
      To.Choice->ended(Now, Host, true, &Done->Load);
    }
    if (const auto *Done = std::get_if<Failed>(&Message)) {
      To.Choice->ended(Now, Host, false, &Done->Load);
      Status = 502;
    }
    Call &Each = Calls[Id];
    bool Again = Each.Tried.size() < MaxAttempts && Now < Each.Arrived + Budget;
    if (!Again || !To.Retries.take(Now, "/s"))
      return end(Id, Status);
    if (Each.Arrived >= MeasureFrom)
      ++All.Retries;
    send(Id);
  }

  /// Status 0: refused.
  void end(std::uint64_t Id, unsigned Status) {
    Call Done = Calls[Id];
    Calls.erase(Id);
    if (Done.Arrived < MeasureFrom)
      return;
    for (Tally *Each : {&All, &Quiet}) {
      if (Each == &Quiet && !Done.Quiet)
        continue;
      ++Each->Calls;
      Each->Refused += Status == 0 ? 1 : 0;
      Each->Failed += Status >= 500 ? 1 : 0;
      if (Status == 200)
        Each->Millis.push_back(
            static_cast<double>((Now - Done.Arrived).count()) / 1000);
    }
  }

  void faultBegins() {
    Server &Last = Servers.back();
    if (Kind == Fault::Cold)
      Last.Warmth = 0;
    if (Kind != Fault::DomainOut)
      return;
    Last.Gate.InService = false;
    // Ingresses learn of it one after the other.
    for (std::size_t I = 0; I < Ingresses.size(); ++I)
      at(Now + (I + 1) * 500ms,
         [this, I] { Ingresses[I].Eligible.pop_back(); });
  }

  void faultEnds() {
    if (Kind != Fault::DomainOut)
      return;
    Server &Last = Servers.back();
    Last.Gate.InService = true;
    Last.Warmth = 0;
    EffectList Out;
    Last.Admit->returnToService(Now, Out);
    carryOut(Last, Out);
    for (std::size_t I = 0; I < Ingresses.size(); ++I)
      at(Now + (I + 1) * 500ms, [this, I] {
        Ingresses[I].Eligible.push_back(&Servers.back().Who);
        Ingresses[I].Choice->forget(Servers.back().Who.Host);
      });
  }

  const Deployment &Place;
  Fault Kind;
  TimePoint Now = Begin;
  std::mt19937_64 Random;
  std::priority_queue<Step> Events;
  std::uint64_t Order = 0;
  std::uint64_t LastCall = 0;
  std::vector<Server> Servers;
  std::vector<Ingress> Ingresses;
  std::map<std::uint64_t, Call> Calls;
};

const Deployment Deployments[] = {
    {"Tsukushi counter tickets",
     10,
     1500us,
     {{"fukuoka", "hakata"},
      {"fukuoka", "hakata"},
      {"fukuoka", "kokura"},
      {"fukuoka", "kokura"},
      {"kagoshima", "tenmonkan"},
      {"kagoshima", "kagoshima-chuo"}},
     {{"fukuoka", "hakata"},
      {"fukuoka", "kokura"},
      {"kagoshima", "tenmonkan"}}},
    {"Fraserline",
     20,
     1ms,
     {{"coast", "coast-a"},
      {"coast", "coast-b"},
      {"interior", "interior-a"},
      {"interior", "interior-b"}},
     {{"coast", "coast-a"}, {"coast", "coast-b"}, {"interior", "interior-a"}}}};

} // namespace

// The optional argument is the seed.
int main(int Count, char **Arguments) {
  std::uint64_t Seed = Count > 1 ? std::stoull(Arguments[1]) : 20261204;
  for (const Deployment &Place : Deployments) {
    std::printf("\n%s\n\n| scenario | policy | limit | p50 ms | p99 ms | p99.9 "
                "ms | refused %% | failed %% "
                "| retries %% | served %% | quiet served %% | quiet p99 ms | "
                "over %% |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
                Place.Name);
    for (int Kind = 0; Kind < 6; ++Kind)
      for (const char *Policy :
           {"round-robin", "least-outstanding", "power-of-two"})
        for (bool Fixed : {false, true}) {
          Simulation Run(Place, Policy, Fixed, static_cast<Fault>(Kind), Seed);
          Run.run();
          std::printf(
              "| %s | %s | %s | %.1f | %.1f | %.1f | %.2f | %.2f | "
              "%.2f | %.2f | %.2f | %.1f | %.2f |\n",
              FaultNames[Kind], Policy, Fixed ? "fixed" : "adaptive",
              Run.All.percentile(.5), Run.All.percentile(.99),
              Run.All.percentile(.999), Run.All.rate(Run.All.Refused),
              Run.All.rate(Run.All.Failed), Run.All.rate(Run.All.Retries),
              Run.All.rate(Run.All.Millis.size()),
              Run.Quiet.rate(Run.Quiet.Millis.size()),
              Run.Quiet.percentile(.99), Run.All.rate(Run.All.Overloads));
          std::fflush(stdout);
        }
  }
  return 0;
}
