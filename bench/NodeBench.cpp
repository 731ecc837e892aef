// NodeBench.cpp - Cost of a replicated record in the whole reducer, by size of
// the system.

#include "figsail/Node.h"

#include <benchmark/benchmark.h>

using namespace figsail;

namespace {

constexpr std::size_t MembersPerService = 12;
constexpr std::size_t FailureDomains = 19;
constexpr std::size_t Regions = 6;

Member memberAt(std::size_t Index) {
  Member Who;
  Who.Host = "10." + std::to_string(Index / 65536) + "." +
             std::to_string(Index / 256 % 256) + "." +
             std::to_string(Index % 256) + ":7000";
  Who.Inc = Index + 1;
  Who.HttpAddress = Who.OperatorAddress = Who.Host;
  std::size_t Domain = Index % FailureDomains;
  Who.Region = "r" + std::to_string(Domain % Regions);
  Who.FailureDomain = "d" + std::to_string(Domain);
  Who.Service = "/w/s" + std::to_string(Index / MembersPerService);
  Who.Slots = 10;
  return Who;
}

/// A reducer that has applied the given number of joins.
struct Loaded {
  explicit Loaded(std::size_t Members) : Subject(settings()) {
    LogRead Read;
    for (std::size_t I = 0; I < Members; ++I)
      Read.Batch.push_back({Next++, encodeRecord(JoinRecord{memberAt(I)})});
    Read.Next = Next;
    Subject.apply({Now, 1, TimerFired{}});
    Subject.apply({Now, 1, std::move(Read)});
  }

  static NodeSettings settings() {
    NodeSettings Settings;
    Settings.Self = memberAt(0);
    Settings.AdmissionControl.Region = Settings.Self.Region;
    Settings.AdmissionControl.Slots = Settings.Self.Slots;
    return Settings;
  }

  void apply(const RecordBody &Body) {
    LogRead Read;
    Read.Batch.push_back({Next++, encodeRecord(Body)});
    Read.Next = Next;
    Now += Duration(1);
    benchmark::DoNotOptimize(Subject.apply({Now, 1, std::move(Read)}));
  }

  TimePoint Now{std::chrono::hours(1)};
  Offset Next = 0;
  Node Subject;
};

} // namespace

static void applyChange(benchmark::State &State) {
  Loaded Daemon(static_cast<std::size_t>(State.range(0)));
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
  Loaded Daemon(Members);
  std::size_t Number = 1;
  for (auto _ : State) {
    Member Who = memberAt(Number++ % Members);
    Who.Inc += Members * Number;
    Daemon.apply(JoinRecord{Who});
  }
}
BENCHMARK(applyRestart)
    ->Arg(76)
    ->Arg(760)
    ->Arg(7600)
    ->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
