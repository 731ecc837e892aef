// ReplicatedStateBench.cpp - Cost of the replicated state at the target scale
// and at fractions of it. The argument is the divisor of the target scale.

#include "figsail/ReplicatedState.h"

#include <benchmark/benchmark.h>
#include <fstream>
#include <unistd.h>

namespace figsail {

static constexpr int TargetServices = 610;
static constexpr int RoutesPerService = 10;
static constexpr int TargetMembers = 7600;

static std::string servicePath(int Service) {
  return "/w" + std::to_string(Service % 10) + "/service-" +
         std::to_string(Service);
}

static std::string routeMatch(int Service, int Route) {
  return "/service-" + std::to_string(Service) + "/resource-" +
         std::to_string(Route) + (Route % 2 ? "" : "/*");
}

static NodeEdit routeEdit(int Service, int Route, int Deadline) {
  return {servicePath(Service) + "/route-" + std::to_string(Route),
          NodeKind::Route,
          false,
          {{"match_path", routeMatch(Service, Route)},
           {"deadline", std::to_string(Deadline) + "ms"}},
          NoOffset};
}

static Member makeMember(int Number, int Services, Incarnation Inc) {
  Member Who;
  Who.Host = "10." + std::to_string(Number / 65536) + "." +
             std::to_string(Number / 256 % 256) + "." +
             std::to_string(Number % 256) + ":7000";
  Who.Inc = Inc;
  Who.HttpAddress = Who.Host;
  Who.OperatorAddress = Who.Host;
  Who.Region = "region-" + std::to_string(Number % 6);
  Who.FailureDomain = "domain-" + std::to_string(Number % 19);
  Who.Service = servicePath(Number % Services);
  Who.Slots = 20;
  return Who;
}

/// The state and the number of services and members in it.
struct Scale {
  int Services;
  int Members;
  ReplicatedState State;

  explicit Scale(int Divisor)
      : Services(TargetServices / Divisor), Members(TargetMembers / Divisor) {
    for (int I = 0; I < 10; ++I)
      apply(Change{"w" + std::to_string(I),
                   {{"/w" + std::to_string(I),
                     NodeKind::Workspace,
                     false,
                     {{"home_regions", ""}},
                     NoOffset}}});
    for (int Service = 0; Service < Services; ++Service) {
      Change Proposal{"s" + std::to_string(Service), {}};
      Proposal.Edits.push_back(
          {servicePath(Service), NodeKind::Service, false, {}, NoOffset});
      for (int Route = 0; Route < RoutesPerService; ++Route)
        Proposal.Edits.push_back(routeEdit(Service, Route, 1000));
      apply(Proposal);
    }
    for (int Number = 0; Number < Members; ++Number) {
      apply(JoinRecord{makeMember(Number, Services, 1)});
      // Only the present epochs are measured, not those of the setup.
      if (Number % 50 == 0)
        State.expireEpochs(TimePoint(Duration(1)), Duration(0));
    }
    State.expireEpochs(TimePoint(Duration(1)), Duration(0));
  }

  ApplyResult apply(const RecordBody &Body) {
    return State.applyRecord({},
                             {State.appliedOffset() + 1, encodeRecord(Body)});
  }
};

static double residentBytes() {
  std::ifstream Source("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  Source >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Measures a change of one route, from the text of its record.
static void changeOneRoute(benchmark::State &Bench) {
  Scale Sized(static_cast<int>(Bench.range(0)));
  int Count = 0;
  for (auto Unused : Bench) {
    Bench.PauseTiming();
    NodeEdit Edit = routeEdit(Count % Sized.Services, Count % RoutesPerService,
                              1000 + Count % 5000);
    Edit.ExpectedVersion =
        Sized.State.configuration().nodes().at(Edit.Path).Version;
    LogRecord Record{
        Sized.State.appliedOffset() + 1,
        encodeRecord(Change{"c" + std::to_string(++Count), {Edit}})};
    Bench.ResumeTiming();
    benchmark::DoNotOptimize(Sized.State.applyRecord({}, Record));
  }
}

/// Measures a change that takes a failure domain out or brings it back.
static void changeFailureDomain(benchmark::State &Bench) {
  Scale Sized(static_cast<int>(Bench.range(0)));
  int Count = 0;
  Offset Version = NoOffset;
  std::size_t Services = 0;
  for (auto Unused : Bench) {
    bool Out = Count++ % 2 == 0;
    Change Proposal{"c" + std::to_string(Count),
                    {{failureDomainPath("domain-3"),
                      NodeKind::FailureDomain,
                      false,
                      {{"in_service", Out ? "false" : "true"}},
                      Version}}};
    Services = Sized.apply(Proposal).ServicesChanged.size();
    Version = Sized.State.appliedOffset();
    // Epochs of the past are forgotten as in a daemon.
    Sized.State.expireEpochs(TimePoint(Duration(1)), Duration(0));
  }
  Bench.counters["services"] = static_cast<double>(Services);
}

/// Measures a restart: the host joins with another incarnation.
static void joinMember(benchmark::State &Bench) {
  Scale Sized(static_cast<int>(Bench.range(0)));
  int Count = 0;
  for (auto Unused : Bench) {
    ++Count;
    Sized.apply(JoinRecord{makeMember(Count % Sized.Members, Sized.Services,
                                      static_cast<Incarnation>(Count) + 1)});
    Sized.State.expireEpochs(TimePoint(Duration(1)), Duration(0));
  }
}

static void findRoute(benchmark::State &Bench) {
  Scale Sized(static_cast<int>(Bench.range(0)));
  std::vector<std::string> Targets;
  for (int I = 0; I < 1000; ++I)
    Targets.push_back(
        "/service-" + std::to_string(I * 7 % Sized.Services) + "/resource-" +
        std::to_string(I % RoutesPerService) +
        (I % RoutesPerService % 2 ? "" : "/item-" + std::to_string(I)) +
        "?x=1");
  std::size_t Next = 0;
  std::size_t Missed = 0;
  for (auto Unused : Bench)
    Missed += Sized.State.configuration().findRoute(
                  "GET", Targets[Next++ % Targets.size()])
                  ? 0
                  : 1;
  Bench.counters["missed"] = static_cast<double>(Missed);
}

static void writeSnapshot(benchmark::State &Bench) {
  Scale Sized(static_cast<int>(Bench.range(0)));
  std::size_t Bytes = 0;
  for (auto Unused : Bench)
    Bytes = Sized.State.snapshot().size();
  Bench.counters["bytes"] = static_cast<double>(Bytes);
}

static void restoreSnapshot(benchmark::State &Bench) {
  Scale Sized(static_cast<int>(Bench.range(0)));
  std::string Text = Sized.State.snapshot();
  for (auto Unused : Bench) {
    ReplicatedState Fresh;
    benchmark::DoNotOptimize(
        Fresh.restore({}, Sized.State.appliedOffset(), Text));
  }
}

/// Measures the growth of the process while it holds one state. Only the first
/// run in a process is meaningful: freed memory is used again.
static void memory(benchmark::State &Bench) {
  double Growth = 0;
  for (auto Unused : Bench) {
    double Before = residentBytes();
    Scale Sized(static_cast<int>(Bench.range(0)));
    Growth = residentBytes() - Before;
  }
  Bench.counters["bytes"] = Growth;
}

// The smallest scale runs first, so that each memory figure is of fresh memory.
BENCHMARK(memory)->Arg(100)->Arg(10)->Arg(1)->Iterations(1);
BENCHMARK(changeOneRoute)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(changeFailureDomain)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(joinMember)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(findRoute)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(writeSnapshot)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(restoreSnapshot)->Arg(1)->Arg(10)->Arg(100);

} // namespace figsail

BENCHMARK_MAIN();
