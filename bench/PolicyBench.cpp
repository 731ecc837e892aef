// PolicyBench.cpp - Comparison of server selection policies in virtual time.

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
constexpr Duration CallDeadline = 2s;
constexpr std::uint32_t ShedStatus = 503;
constexpr std::size_t MaxAttempts = 4;
constexpr double CallsToWarm = 200; ///< Requests until a server is warm.
constexpr double ColdCapacity =
    2; ///< Concurrent requests that a cold server handles.
constexpr double ColdSlowdown =
    5; ///< Service time of a cold server relative to a warm one.
constexpr TimePoint Begin{1000s};
constexpr TimePoint MeasureStart = Begin + 3s;
constexpr TimePoint FaultStart = Begin + 5s;
constexpr TimePoint FaultEnd = Begin + 12s;
constexpr TimePoint End = Begin + 20s;

struct Deployment {
  const char *Name;
  std::uint32_t Slots;
  Duration DomainDelay; ///< One-way network delay between failure domains.
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
  DomainOutage
};
constexpr const char *FaultNames[] = {
    "steady 70%",     "one server 10x slower", "one turns cold",
    "one fails fast", "noisy workspace",       "failure domain out and back"};

/// A backend server. Faults affect the last one, which is alone in its failure
/// domain.
struct Server {
  Member Self;
  std::unique_ptr<ExecutionLog> Log;
  std::unique_ptr<Admission> Admit;
  AdmissionGate Gate;
  double WarmFraction = 1;
  std::size_t Running = 0;
  TimePoint TimerDue = TimePoint::max();
};

struct Call {
  std::size_t Ingress = 0;
  TimePoint Arrived;
  bool QuietWorkspace = false;
  std::vector<HostId> Tried;
};

struct Ingress {
  PeerRef Self;
  Locality Location;
  std::unique_ptr<Balancer> Selection;
  RetryBudget Retries;
  std::vector<const Member *> Eligible;
};

struct Statistics {
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

/// Simulation of one scenario with the real Balancer and Admission.
class Simulation {
public:
  Simulation(const Deployment &Layout, const char *Policy, bool FixedLimit,
             Fault Scenario, std::uint64_t Seed)
      : Layout(Layout), Scenario(Scenario), Random(Seed) {
    for (std::size_t I = 0; I < Layout.Servers.size(); ++I)
      addServer(I, FixedLimit);
    for (std::size_t I = 0; I < Layout.Ingresses.size(); ++I)
      addIngress(I, Policy);
    scheduleArrival(false);
    if (Scenario == Fault::Noisy)
      scheduleArrival(true);
    schedule(FaultStart, [this] { startFault(); });
    schedule(FaultEnd, [this] { endFault(); });
  }

  void run() {
    while (!Events.empty()) {
      ScheduledEvent Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Action();
    }
  }

  Statistics All, QuietWorkspace;

private:
  struct ScheduledEvent {
    TimePoint At;
    std::uint64_t Sequence;
    std::function<void()> Action;
    bool operator<(const ScheduledEvent &Other) const {
      return std::tie(Other.At, Other.Sequence) < std::tie(At, Sequence);
    }
  };

  void schedule(TimePoint When, std::function<void()> Action) {
    Events.push({When, ++Sequence, std::move(Action)});
  }

  void addServer(std::size_t I, bool FixedLimit) {
    Server Created;
    Created.Self.Host = "server-" + std::to_string(I);
    Created.Self.Region = Layout.Servers[I].first;
    Created.Self.FailureDomain = Layout.Servers[I].second;
    PeerRef Self{Created.Self.Host, 1};
    AdmissionSettings Settings;
    Settings.Slots = Layout.Slots;
    Settings.FixedLimit = FixedLimit;
    Created.Log = std::make_unique<ExecutionLog>(Self, RecordLimits{});
    Created.Admit = std::make_unique<Admission>(Self, Settings, *Created.Log);
    Servers.push_back(std::move(Created));
  }

  void addIngress(std::size_t I, const char *Policy) {
    Ingress Created;
    Created.Self = {"ingress-" + std::to_string(I), I + 1};
    Created.Location = {Layout.Ingresses[I].first, Layout.Ingresses[I].second};
    Created.Selection = std::make_unique<Balancer>(
        Created.Self.Host, Created.Location, makePolicy(Policy));
    for (const Server &Each : Servers)
      Created.Eligible.push_back(&Each.Self);
    Ingresses.push_back(std::move(Created));
  }

  /// Schedules the next call; arrivals are Poisson. With a noisy workspace, the
  /// quiet one offers 30% of the capacity and the noisy one 120%, both with
  /// share 1.
  void scheduleArrival(bool Noisy) {
    double Load = Scenario == Fault::Noisy ? (Noisy ? 1.2 : 0.3) : 0.7;
    double Capacity =
        static_cast<double>(Servers.size()) * Layout.Slots / MeanServiceMicros;
    std::exponential_distribution<double> Gap(Load * Capacity);
    TimePoint When = Now + Duration(static_cast<std::int64_t>(Gap(Random)) + 1);
    if (When >= End)
      return;
    schedule(When, [this, Noisy] {
      scheduleArrival(Noisy);
      std::uint64_t Id = ++LastCall;
      Calls[Id] = {Random() % Ingresses.size(), Now, !Noisy, {}};
      Ingresses[Calls[Id].Ingress].Retries.recordCall(Now, "/s");
      send(Id);
    });
  }

  Duration delay(const Ingress &From, const Server &To) const {
    if (From.Location.Region != To.Self.Region)
      return 30ms;
    return From.Location.FailureDomain == To.Self.FailureDomain
               ? Duration(100)
               : Layout.DomainDelay;
  }

  void send(std::uint64_t Id) {
    Call &Each = Calls[Id];
    Ingress &From = Ingresses[Each.Ingress];
    const Member *Chosen =
        From.Selection->choose(Now, From.Eligible, Each.Tried, true, Random());
    if (!Chosen)
      return finishCall(Id, 0);
    Each.Tried.push_back(Chosen->Host);
    From.Selection->callSent(Now, Chosen->Host);
    Server &To = serverAt(Chosen->Host);
    Execute Message;
    Message.Call = {From.Self.Inc, Id};
    Message.Policy.Route = "/s/r";
    Message.Policy.Workspace = Each.QuietWorkspace ? "/quiet" : "/noisy";
    Message.Policy.RefusalStatus = ShedStatus;
    Message.BudgetMicros = (Each.Arrived + CallDeadline - Now).count();
    schedule(Now + delay(From, To), [this, &From, &To, Message] {
      EffectList Out;
      To.Admit->execute(Now, From.Self, Message, To.Gate, Out);
      performEffects(To, Out);
    });
  }

  Server &serverAt(const HostId &Host) {
    return Servers[std::stoul(Host.substr(7))];
  }

  void performEffects(Server &Target, EffectList &Out) {
    for (Effect &Each : Out) {
      if (auto *Send = std::get_if<SendPeer>(&Each))
        deliver(Target, std::move(Send->Message));
      if (auto *Run = std::get_if<RunBackend>(&Each))
        runBackend(Target, Run->Run, Run->Budget);
      if (std::holds_alternative<ProbeBackend>(Each))
        schedule(Now + 5ms, [this, &Target] { finishProbe(Target); });
    }
    TimePoint TimerDue = Target.Admit->nextWake();
    if (TimerDue >= Target.TimerDue || TimerDue >= End + CallDeadline)
      return;
    Target.TimerDue = TimerDue;
    schedule(std::max(TimerDue, Now), [this, &Target] {
      Target.TimerDue = TimePoint::max();
      EffectList Due;
      Target.Admit->timer(Now, Due);
      performEffects(Target, Due);
    });
  }

  void finishProbe(Server &Target) {
    EffectList Out;
    Target.Admit->probeDone(Now, {true, 5ms}, Out);
    performEffects(Target, Out);
  }

  bool isFaulty(const Server &Target) const {
    return &Target == &Servers.back() && Now >= FaultStart && Now < FaultEnd;
  }

  /// Simulates a run. A cold server has a lower capacity and is slower. Above
  /// its capacity all requests slow down; above twice the capacity it sheds.
  void runBackend(Server &Target, RunId Run, Duration Left) {
    std::lognormal_distribution<double> Service(-0.125, 0.5);
    double Micros = MeanServiceMicros * Service(Random);
    double Capacity =
        ColdCapacity + (Layout.Slots - ColdCapacity) * Target.WarmFraction;
    double Load = static_cast<double>(++Target.Running) / Capacity;
    if (Now >= MeasureStart && Load > 1.25)
      ++All.Overloads;
    std::variant<HttpResponse, BackendError> Result = HttpResponse{200, {}, {}};
    Micros *= 1 + (ColdSlowdown - 1) * (1 - Target.WarmFraction);
    Micros *= std::max(1.0, Load);
    if (isFaulty(Target) && Scenario == Fault::Slow)
      Micros *= 10;
    if (Load > 2 || (isFaulty(Target) && Scenario == Fault::FailFast)) {
      Result = HttpResponse{Load > 2 ? ShedStatus : 500, {}, {}};
      Micros = 1000;
    }
    if (Micros > static_cast<double>(Left.count())) {
      Result = BackendError::TimedOut;
      Micros = static_cast<double>(Left.count());
    }
    schedule(Now + Duration(static_cast<std::int64_t>(Micros)),
             [this, &Target, Run, Result] {
               --Target.Running;
               Target.WarmFraction =
                   std::min(1.0, Target.WarmFraction + 1 / CallsToWarm);
               EffectList Out;
               Target.Admit->backendDone(Now, {Run, Result}, Out);
               performEffects(Target, Out);
             });
  }

  void deliver(Server &Target, PeerMessage Message) {
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
    schedule(Now + delay(To, Target), [this, &Target, &To, Id, Reply] {
      handleReply(Target, To, Id, *Reply);
    });
  }

  void handleReply(Server &Target, Ingress &To, std::uint64_t Id,
                   const PeerMessage &Message) {
    const HostId &Host = Target.Self.Host;
    if (const auto *Done = std::get_if<Answer>(&Message)) {
      To.Selection->callEnded(Now, Host, Done->Response.Status < 500,
                              &Done->Load);
      return finishCall(Id, Done->Response.Status);
    }
    unsigned Status = 0;
    if (const auto *Done = std::get_if<Refused>(&Message)) {
      To.Selection->callRefused(Now, Host, Done->Load);
      To.Selection->callEnded(Now, Host, true, &Done->Load);
    }
    if (const auto *Done = std::get_if<Failed>(&Message)) {
      To.Selection->callEnded(Now, Host, false, &Done->Load);
      Status = 502;
    }
    Call &Each = Calls[Id];
    bool CanRetry =
        Each.Tried.size() < MaxAttempts && Now < Each.Arrived + CallDeadline;
    if (!CanRetry || !To.Retries.take(Now, "/s"))
      return finishCall(Id, Status);
    if (Each.Arrived >= MeasureStart)
      ++All.Retries;
    send(Id);
  }

  /// Counts the result of a call. Status 0 means refused.
  void finishCall(std::uint64_t Id, unsigned Status) {
    Call Done = Calls[Id];
    Calls.erase(Id);
    if (Done.Arrived < MeasureStart)
      return;
    for (Statistics *Each : {&All, &QuietWorkspace}) {
      if (Each == &QuietWorkspace && !Done.QuietWorkspace)
        continue;
      ++Each->Calls;
      Each->Refused += Status == 0 ? 1 : 0;
      Each->Failed += Status >= 500 ? 1 : 0;
      if (Status == 200)
        Each->Millis.push_back(
            static_cast<double>((Now - Done.Arrived).count()) / 1000);
    }
  }

  void startFault() {
    Server &Last = Servers.back();
    if (Scenario == Fault::Cold)
      Last.WarmFraction = 0;
    if (Scenario != Fault::DomainOutage)
      return;
    Last.Gate.InService = false;
    // The ingresses receive the change one after the other.
    for (std::size_t I = 0; I < Ingresses.size(); ++I)
      schedule(Now + (I + 1) * 500ms,
               [this, I] { Ingresses[I].Eligible.pop_back(); });
  }

  void endFault() {
    if (Scenario != Fault::DomainOutage)
      return;
    Server &Last = Servers.back();
    Last.Gate.InService = true;
    Last.WarmFraction = 0;
    EffectList Out;
    Last.Admit->returnToService(Now, Out);
    performEffects(Last, Out);
    for (std::size_t I = 0; I < Ingresses.size(); ++I)
      schedule(Now + (I + 1) * 500ms, [this, I] {
        Ingresses[I].Eligible.push_back(&Servers.back().Self);
        Ingresses[I].Selection->reset(Servers.back().Self.Host);
      });
  }

  const Deployment &Layout;
  Fault Scenario;
  TimePoint Now = Begin;
  std::mt19937_64 Random;
  std::priority_queue<ScheduledEvent> Events;
  std::uint64_t Sequence = 0;
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
  for (const Deployment &Layout : Deployments) {
    std::printf("\n%s\n\n| scenario | policy | limit | p50 ms | p99 ms | p99.9 "
                "ms | refused %% | failed %% "
                "| retries %% | served %% | quiet served %% | quiet p99 ms | "
                "over %% |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
                Layout.Name);
    for (int Scenario = 0; Scenario < 6; ++Scenario)
      for (const char *Policy :
           {"round-robin", "least-outstanding", "power-of-two"})
        for (bool FixedLimit : {false, true}) {
          Simulation Run(Layout, Policy, FixedLimit,
                         static_cast<Fault>(Scenario), Seed);
          Run.run();
          std::printf(
              "| %s | %s | %s | %.1f | %.1f | %.1f | %.2f | %.2f | "
              "%.2f | %.2f | %.2f | %.1f | %.2f |\n",
              FaultNames[Scenario], Policy, FixedLimit ? "fixed" : "adaptive",
              Run.All.percentile(.5), Run.All.percentile(.99),
              Run.All.percentile(.999), Run.All.rate(Run.All.Refused),
              Run.All.rate(Run.All.Failed), Run.All.rate(Run.All.Retries),
              Run.All.rate(Run.All.Millis.size()),
              Run.QuietWorkspace.rate(Run.QuietWorkspace.Millis.size()),
              Run.QuietWorkspace.percentile(.99),
              Run.All.rate(Run.All.Overloads));
          std::fflush(stdout);
        }
  }
  return 0;
}
