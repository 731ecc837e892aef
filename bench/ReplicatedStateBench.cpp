// ReplicatedStateBench.cpp - Cost of the replicated state at several scales.

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
  Member Joining;
  Joining.Host = "10." + std::to_string(Number / 65536) + "." +
                 std::to_string(Number / 256 % 256) + "." +
                 std::to_string(Number % 256) + ":7000";
  Joining.Inc = Inc;
  Joining.HttpAddress = Joining.Host;
  Joining.OperatorAddress = Joining.Host;
  Joining.Region = "region-" + std::to_string(Number % 6);
  Joining.FailureDomain = "domain-" + std::to_string(Number % 19);
  Joining.Service = servicePath(Number % Services);
  Joining.Slots = 20;
  return Joining;
}

/// A replicated state at the target scale divided by the benchmark argument.
struct ScaledState {
  int Services;
  int Members;
  ReplicatedState State;

  explicit ScaledState(int Divisor)
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
      // Expires the epochs of the setup; only the current ones are measured.
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

/// Measures a change of one route, including the parsing of its record.
static void changeOneRoute(benchmark::State &Bench) {
  ScaledState Scaled(static_cast<int>(Bench.range(0)));
  int Count = 0;
  for (auto Iteration : Bench) {
    Bench.PauseTiming();
    NodeEdit Edit = routeEdit(Count % Scaled.Services, Count % RoutesPerService,
                              1000 + Count % 5000);
    Edit.ExpectedVersion =
        Scaled.State.configuration().nodes().at(Edit.Path).Version;
    LogRecord Record{
        Scaled.State.appliedOffset() + 1,
        encodeRecord(Change{"c" + std::to_string(++Count), {Edit}})};
    Bench.ResumeTiming();
    benchmark::DoNotOptimize(Scaled.State.applyRecord({}, Record));
  }
}

/// Measures a change that takes a failure domain out or brings it back.
static void changeFailureDomain(benchmark::State &Bench) {
  ScaledState Scaled(static_cast<int>(Bench.range(0)));
  int Count = 0;
  Offset Version = NoOffset;
  std::size_t Services = 0;
  for (auto Iteration : Bench) {
    bool Out = Count++ % 2 == 0;
    Change Proposal{"c" + std::to_string(Count),
                    {{failureDomainPath("domain-3"),
                      NodeKind::FailureDomain,
                      false,
                      {{"in_service", Out ? "false" : "true"}},
                      Version}}};
    Services = Scaled.apply(Proposal).ServicesChanged.size();
    Version = Scaled.State.appliedOffset();
    // Expires past epochs, as a daemon does.
    Scaled.State.expireEpochs(TimePoint(Duration(1)), Duration(0));
  }
  Bench.counters["services"] = static_cast<double>(Services);
}

/// Measures a restart: the host joins with another incarnation.
static void joinMember(benchmark::State &Bench) {
  ScaledState Scaled(static_cast<int>(Bench.range(0)));
  int Count = 0;
  for (auto Iteration : Bench) {
    ++Count;
    Scaled.apply(JoinRecord{makeMember(Count % Scaled.Members, Scaled.Services,
                                       static_cast<Incarnation>(Count) + 1)});
    Scaled.State.expireEpochs(TimePoint(Duration(1)), Duration(0));
  }
}

static void findRoute(benchmark::State &Bench) {
  ScaledState Scaled(static_cast<int>(Bench.range(0)));
  std::vector<std::string> Targets;
  for (int I = 0; I < 1000; ++I)
    Targets.push_back(
        "/service-" + std::to_string(I * 7 % Scaled.Services) + "/resource-" +
        std::to_string(I % RoutesPerService) +
        (I % RoutesPerService % 2 ? "" : "/item-" + std::to_string(I)) +
        "?x=1");
  std::size_t Next = 0;
  std::size_t Missed = 0;
  for (auto Iteration : Bench)
    Missed += Scaled.State.configuration().findRoute(
                  "GET", Targets[Next++ % Targets.size()])
                  ? 0
                  : 1;
  Bench.counters["missed"] = static_cast<double>(Missed);
}

static void writeSnapshot(benchmark::State &Bench) {
  ScaledState Scaled(static_cast<int>(Bench.range(0)));
  std::size_t Bytes = 0;
  for (auto Iteration : Bench)
    Bytes = Scaled.State.snapshot().size();
  Bench.counters["bytes"] = static_cast<double>(Bytes);
}

static void restoreSnapshot(benchmark::State &Bench) {
  ScaledState Scaled(static_cast<int>(Bench.range(0)));
  std::string Text = Scaled.State.snapshot();
  for (auto Iteration : Bench) {
    ReplicatedState Restored;
    benchmark::DoNotOptimize(
        Restored.restore({}, Scaled.State.appliedOffset(), Text));
  }
}

/// Measures the growth of the process while it holds one state. Only the first
/// run in a process is meaningful, because freed memory is reused.
static void memory(benchmark::State &Bench) {
  double Growth = 0;
  for (auto Iteration : Bench) {
    double Before = residentBytes();
    ScaledState Scaled(static_cast<int>(Bench.range(0)));
    Growth = residentBytes() - Before;
  }
  Bench.counters["bytes"] = Growth;
}

// The smallest scale runs first, so that each one has to allocate fresh memory.
BENCHMARK(memory)->Arg(100)->Arg(10)->Arg(1)->Iterations(1);
BENCHMARK(changeOneRoute)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(changeFailureDomain)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(joinMember)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(findRoute)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(writeSnapshot)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(restoreSnapshot)->Arg(1)->Arg(10)->Arg(100);

} // namespace figsail

BENCHMARK_MAIN();
