// NodeBench.cpp - Cost of a replicated record by number of members.

#include "figsail/Node.h"

#include <benchmark/benchmark.h>

using namespace figsail;

namespace {

constexpr std::size_t MembersPerService = 12;
constexpr std::size_t FailureDomains = 19;
constexpr std::size_t Regions = 6;

Member makeMember(std::size_t Index) {
  Member Joining;
  Joining.Host = "10." + std::to_string(Index / 65536) + "." +
                 std::to_string(Index / 256 % 256) + "." +
                 std::to_string(Index % 256) + ":7000";
  Joining.Inc = Index + 1;
  Joining.HttpAddress = Joining.OperatorAddress = Joining.Host;
  std::size_t Domain = Index % FailureDomains;
  Joining.Region = "r" + std::to_string(Domain % Regions);
  Joining.FailureDomain = "d" + std::to_string(Domain);
  Joining.Service = "/w/s" + std::to_string(Index / MembersPerService);
  Joining.Slots = 10;
  return Joining;
}

/// A reducer that has applied the given number of joins.
struct LoadedNode {
  explicit LoadedNode(std::size_t Members) : Reducer(settings()) {
    LogRead Read;
    for (std::size_t I = 0; I < Members; ++I)
      Read.Batch.push_back(
          {NextOffset++, encodeRecord(JoinRecord{makeMember(I)})});
    Read.Next = NextOffset;
    Reducer.apply({Now, 1, TimerFired{}});
    Reducer.apply({Now, 1, std::move(Read)});
  }

  static NodeSettings settings() {
    NodeSettings Settings;
    Settings.Self = makeMember(0);
    Settings.AdmissionControl.Region = Settings.Self.Region;
    Settings.AdmissionControl.Slots = Settings.Self.Slots;
    return Settings;
  }

  void apply(const RecordBody &Body) {
    LogRead Read;
    Read.Batch.push_back({NextOffset++, encodeRecord(Body)});
    Read.Next = NextOffset;
    Now += Duration(1);
    benchmark::DoNotOptimize(Reducer.apply({Now, 1, std::move(Read)}));
  }

  TimePoint Now{std::chrono::hours(1)};
  Offset NextOffset = 0;
  Node Reducer;
};

} // namespace

static void applyChange(benchmark::State &State) {
  LoadedNode Daemon(static_cast<std::size_t>(State.range(0)));
  std::size_t Number = 0;
  for (auto _ : State) {
    std::string Name = std::to_string(Number++);
    Daemon.apply(
        Change{Name, {{"/g" + Name, NodeKind::Group, false, {}, NoOffset}}});
  }
}
BENCHMARK(applyChange)
    ->Arg(76)
    ->Arg(760)
    ->Arg(7600)
    ->Unit(benchmark::kMicrosecond);

static void applyRestart(benchmark::State &State) {
  auto Members = static_cast<std::size_t>(State.range(0));
  LoadedNode Daemon(Members);
  std::size_t Number = 1;
  for (auto _ : State) {
    Member Joining = makeMember(Number++ % Members);
    Joining.Inc += Members * Number;
    Daemon.apply(JoinRecord{Joining});
  }
}
BENCHMARK(applyRestart)
    ->Arg(76)
    ->Arg(760)
    ->Arg(7600)
    ->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
