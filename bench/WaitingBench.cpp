// WaitingBench.cpp - Comparison of queueing policies in virtual time.

#include "ServerGate.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace figsail;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Slots = 10;
constexpr double MeanRunMicros = 60000;
constexpr double KneeFraction =
    0.8; ///< Fraction of the slots above which runs slow down.
constexpr double KneeSlowdown = 1.5;
constexpr double SlowFactor = 3; ///< Service-time factor of a slow server.
constexpr double UrgentFraction = 0.3; ///< Fraction of urgent calls.
constexpr Duration Deadline = 1s;
constexpr std::size_t QueueBound = 20; ///< Maximum length of bounded queues.
constexpr TimePoint Begin{1000s};
constexpr TimePoint DisturbanceStart = Begin + 4s;
constexpr TimePoint DisturbanceEnd = Begin + 8s;
constexpr TimePoint End = Begin + 12s;

struct BenchCall {
  std::uint64_t Id = 0;
  bool Urgent = false;
  TimePoint Arrived;
  Duration targetLatency() const { return Urgent ? 250ms : 300ms; }
  bool operator<(const BenchCall &Other) const {
    return Arrived + targetLatency() < Other.Arrived + Other.targetLatency();
  }
};

/// Calls that a policy starts or refuses in one step.
struct Decisions {
  std::vector<std::uint64_t> Starts;
  std::vector<std::uint64_t> Refusals;
};

/// Policy that decides which calls run, wait or are refused.
class WaitingPolicy {
public:
  virtual ~WaitingPolicy() = default;
  virtual void arrive(TimePoint Now, const BenchCall &Call, Decisions &Out) = 0;
  virtual void ended(TimePoint Now, std::uint64_t Id, double Slowdown,
                     Decisions &Out) = 0;
  virtual void tick(TimePoint Now, Decisions &Out) = 0;
};

/// A queue ordered by arrival or by target latency.
class QueuePolicy : public WaitingPolicy {
public:
  QueuePolicy(std::size_t Bound, bool ByTarget)
      : Bound(Bound), ByTarget(ByTarget) {}

  void arrive(TimePoint, const BenchCall &Call, Decisions &Out) override {
    if (Queue.size() >= Bound) {
      Out.Refusals.push_back(Call.Id);
      return;
    }
    auto At = Queue.end();
    if (ByTarget)
      At = std::upper_bound(Queue.begin(), Queue.end(), Call);
    Queue.insert(At, Call);
    startQueued(Out);
  }
  void ended(TimePoint, std::uint64_t, double, Decisions &Out) override {
    --Running;
    startQueued(Out);
  }
  /// Refuses the queued calls whose deadline has passed.
  void tick(TimePoint Now, Decisions &Out) override {
    for (const BenchCall &Call : Queue)
      if (Call.Arrived + Deadline <= Now)
        Out.Refusals.push_back(Call.Id);
    std::erase_if(Queue, [&](const BenchCall &Call) {
      return Call.Arrived + Deadline <= Now;
    });
  }

private:
  void startQueued(Decisions &Out) {
    while (Running < Slots && !Queue.empty()) {
      Out.Starts.push_back(Queue.front().Id);
      Queue.pop_front();
      ++Running;
    }
  }

  std::size_t Bound;
  bool ByTarget;
  std::uint32_t Running = 0;
  std::deque<BenchCall> Queue;
};

SidecarSettings gateSettings() {
  SidecarSettings Settings;
  Settings.Host = "server";
  Settings.Inc = 1;
  return Settings;
}

/// The admission gate of the sidecar.
class GatePolicy : public WaitingPolicy {
public:
  GatePolicy() : Gate(gateSettings()) {
    ServiceSettings Service;
    Service.MaxConnections = 100;
    Gate.configure(Service);
  }

  void arrive(TimePoint Now, const BenchCall &Call, Decisions &Out) override {
    Execute Message;
    Message.Call = {9, Call.Id};
    Message.Request.Target = std::to_string(Call.Id);
    Message.Policy.Route = "route";
    Message.Policy.Service = "service";
    Message.Policy.Priority = Call.Urgent ? 0 : 1;
    Message.BudgetMicros = Duration(Deadline).count();
    Message.TargetMicros = Call.targetLatency().count();
    step(Now, Out, [&](GateStep &Step) {
      Gate.execute(Step, {"ingress", 9}, std::move(Message));
    });
  }
  void ended(TimePoint Now, std::uint64_t Id, double Slowdown,
             Decisions &Out) override {
    ServerRunResult Done{RunIds.at(Id), HttpResponse{200, {}, {}}, {}};
    Done.Metadata.Load = ServerLoad{0, 0, Slots, Slowdown};
    step(Now, Out, [&](GateStep &Step) { Gate.runEnded(Step, Done); });
  }
  /// Sends a heartbeat of the server and fires the timer of the gate.
  void tick(TimePoint Now, Decisions &Out) override {
    step(Now, Out, [&](GateStep &Step) {
      ServerHeartbeat Heartbeat;
      Heartbeat.Instance = "i";
      Heartbeat.Service = "service";
      Heartbeat.Slots = Slots;
      Heartbeat.Sequence = ++HeartbeatCount;
      Heartbeat.StartMillis = 1;
      Gate.heartbeat(Step, Heartbeat);
      Gate.timer(Step);
    });
  }

private:
  template <class Action>
  void step(TimePoint Now, Decisions &Out, Action Decide) {
    SidecarEffects Effects;
    GateStep Step{Now, Effects};
    Decide(Step);
    for (const SidecarEffect &Each : Effects) {
      if (const auto *Run = std::get_if<StartRun>(&Each)) {
        Out.Starts.push_back(std::stoull(Run->Request.Target));
        RunIds[Out.Starts.back()] = Run->Run;
      }
      if (const auto *Sent = std::get_if<SendPeer>(&Each))
        if (const auto *Reply = std::get_if<Refused>(&Sent->Message))
          Out.Refusals.push_back(Reply->Call.Sequence);
    }
  }

  ServerGate Gate;
  std::uint64_t HeartbeatCount = 0;
  std::map<std::uint64_t, RunId> RunIds; ///< By call.
};

/// Results of the calls of one priority.
struct Statistics {
  std::size_t Calls = 0, InTime = 0, Late = 0, Refused = 0;
  Duration RefusalDelay{0}; ///< Sum over the refused calls.

  double percentage(std::size_t Count) const {
    return 100.0 * static_cast<double>(Count) /
           static_cast<double>(std::max<std::size_t>(1, Calls));
  }
  double refusalMillis() const {
    return static_cast<double>(RefusalDelay.count()) / 1000 /
           static_cast<double>(std::max<std::size_t>(1, Refused));
  }
};

/// Offered load and server speed before and during the disturbance.
struct LoadProfile {
  const char *Name;
  double Offered;            ///< Fraction of the capacity.
  double DisturbanceOffered; ///< The same during the disturbance.
  bool SlowServer;           ///< During the disturbance.
};

class Simulation {
public:
  Simulation(const LoadProfile &Profile, WaitingPolicy &Policy,
             std::uint64_t Seed)
      : Profile(Profile), Policy(Policy), Random(Seed) {}

  void run() {
    for (Now = Begin; Now < End + Deadline; Now += 1ms) {
      Decisions Out;
      Policy.tick(Now, Out);
      applyDecisions(Out);
      endRuns();
      if (Now < End)
        arrivals();
    }
  }

  Statistics Urgent, Normal; ///< Of calls that arrived during the disturbance.

private:
  bool isDisturbed() const {
    return Now >= DisturbanceStart && Now < DisturbanceEnd;
  }
  double slowdown() const {
    return Profile.SlowServer && isDisturbed() ? SlowFactor : 1;
  }

  void arrivals() {
    double LoadFactor =
        isDisturbed() ? Profile.DisturbanceOffered : Profile.Offered;
    double EachMilli = LoadFactor * Slots * 1000 / MeanRunMicros;
    std::poisson_distribution<int> Count(EachMilli);
    std::bernoulli_distribution IsUrgent(UrgentFraction);
    for (int I = Count(Random); I > 0; --I) {
      BenchCall Call{++LastCall, IsUrgent(Random), Now};
      Calls[Call.Id] = Call;
      if (Statistics *Each = statisticsOf(Call))
        ++Each->Calls;
      Decisions Out;
      Policy.arrive(Now, Call, Out);
      applyDecisions(Out);
    }
  }

  void endRuns() {
    while (!Runs.empty() && Runs.begin()->first <= Now) {
      std::uint64_t Id = Runs.begin()->second;
      Runs.erase(Runs.begin());
      const BenchCall &Call = Calls.at(Id);
      if (Statistics *Each = statisticsOf(Call))
        ++(Now - Call.Arrived <= Call.targetLatency() ? Each->InTime
                                                      : Each->Late);
      Decisions Out;
      Policy.ended(Now, Id, slowdown(), Out);
      applyDecisions(Out);
    }
  }

  void applyDecisions(const Decisions &Out) {
    std::lognormal_distribution<double> Work(-0.045, 0.3);
    for (std::uint64_t Id : Out.Starts) {
      double Micros = MeanRunMicros * Work(Random) * slowdown();
      if (static_cast<double>(Runs.size()) >= KneeFraction * Slots)
        Micros *= KneeSlowdown;
      Runs.emplace(Now + Duration(static_cast<std::int64_t>(Micros)), Id);
    }
    for (std::uint64_t Id : Out.Refusals) {
      const BenchCall &Call = Calls.at(Id);
      if (Statistics *Each = statisticsOf(Call)) {
        ++Each->Refused;
        Each->RefusalDelay += Now - Call.Arrived;
      }
    }
  }

  Statistics *statisticsOf(const BenchCall &Call) {
    bool IsMeasured =
        Call.Arrived >= DisturbanceStart && Call.Arrived < DisturbanceEnd;
    return IsMeasured ? (Call.Urgent ? &Urgent : &Normal) : nullptr;
  }

  const LoadProfile &Profile;
  WaitingPolicy &Policy;
  TimePoint Now;
  std::mt19937_64 Random;
  std::uint64_t LastCall = 0;
  std::map<std::uint64_t, BenchCall> Calls;
  std::multimap<TimePoint, std::uint64_t> Runs; ///< Calls by end of run.
};

constexpr LoadProfile Profiles[] = {
    {"70% of the slots", 0.7, 0.7, false},
    {"burst of 200%", 0.7, 2.0, false},
    {"server three times slower", 0.7, 0.7, true}};

struct NamedPolicy {
  const char *Name;
  std::unique_ptr<WaitingPolicy> (*Make)();
};

const NamedPolicy Policies[] = {
    {"first come, no bound",
     []() -> std::unique_ptr<WaitingPolicy> {
       return std::make_unique<QueuePolicy>(~std::size_t{0}, false);
     }},
    {"first come, 20 wait",
     []() -> std::unique_ptr<WaitingPolicy> {
       return std::make_unique<QueuePolicy>(QueueBound, false);
     }},
    {"nearest target, 20 wait",
     []() -> std::unique_ptr<WaitingPolicy> {
       return std::make_unique<QueuePolicy>(QueueBound, true);
     }},
    {"gate",
     []() -> std::unique_ptr<WaitingPolicy> {
       return std::make_unique<GatePolicy>();
     }},
};

void print(const LoadProfile &Profile, const char *Policy, const char *Class,
           const Statistics &Each) {
  std::printf("| %s | %s | %s | %.1f | %.1f | %.1f | %.0f |\n", Profile.Name,
              Policy, Class, Each.percentage(Each.InTime),
              Each.percentage(Each.Late), Each.percentage(Each.Refused),
              Each.refusalMillis());
}

} // namespace

// The optional argument is the seed.
int main(int Count, char **Arguments) {
  std::uint64_t Seed = Count > 1 ? std::stoull(Arguments[1]) : 20261204;
  std::printf(
      "| load | policy | calls | in time %% | late %% | refused %% | ms "
      "until refused |\n|---|---|---|---|---|---|---|\n");
  for (const LoadProfile &Profile : Profiles)
    for (const NamedPolicy &Named : Policies) {
      auto Policy = Named.Make();
      Simulation Run(Profile, *Policy, Seed);
      Run.run();
      print(Profile, Named.Name, "urgent", Run.Urgent);
      print(Profile, Named.Name, "usual", Run.Normal);
    }
  return 0;
}
