// CoreBench.cpp - Time and allocations of the per-call decisions.

#include "figsail/Admission.h"
#include "figsail/Balancer.h"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>

static std::size_t Allocations = 0;

// Not inlined: GCC 12 would report a mismatch of new and free().
[[gnu::noinline]] void *operator new(std::size_t Size) {
  ++Allocations;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void *Memory) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *Memory, std::size_t) noexcept {
  std::free(Memory);
}

using namespace figsail;

static void reportAllocations(benchmark::State &State,
                              std::size_t AllocationsBefore) {
  State.counters["allocations"] =
      benchmark::Counter(static_cast<double>(Allocations - AllocationsBefore),
                         benchmark::Counter::kAvgIterations);
}

static void choose(benchmark::State &State) {
  std::vector<Member> Members(static_cast<std::size_t>(State.range(0)));
  std::vector<const Member *> Eligible;
  for (std::size_t I = 0; I < Members.size(); ++I) {
    Members[I].Host = "10.0." + std::to_string(I / 250) + "." +
                      std::to_string(I % 250) + ":7000";
    Members[I].Region = I % 2 ? "north" : "south";
    Members[I].FailureDomain = Members[I].Region + std::to_string(I % 4);
    Eligible.push_back(&Members[I]);
  }
  Balancer BenchBalancer("10.9.9.9:7000", {"north", "north1"},
                         makePowerOfTwoChoices());
  TimePoint Now{std::chrono::seconds(1000)};
  LoadReport Load{.Limit = 10, .Running = 3};
  for (const Member &Candidate : Members) {
    BenchBalancer.callSent(Now, Candidate.Host);
    BenchBalancer.callEnded(Now, Candidate.Host, true, &Load);
  }
  std::uint64_t Seed = 1;
  std::size_t AllocationsBefore = Allocations;
  for (auto _ : State) {
    Seed = Seed * 6364136223846793005ULL + 1442695040888963407ULL;
    benchmark::DoNotOptimize(
        BenchBalancer.choose(Now, Eligible, {}, false, Seed));
  }
  reportAllocations(State, AllocationsBefore);
}
BENCHMARK(choose)->Arg(12)->Arg(120)->Arg(610);

static void executeAndDone(benchmark::State &State) {
  PeerRef Self{"10.0.0.1:7000", 11};
  PeerRef Ingress{"10.0.0.2:7000", 22};
  ExecutionLog Log(Self, {});
  AdmissionSettings Settings;
  Settings.Slots = 10;
  Admission BenchAdmission(Self, Settings, Log);
  Execute Message;
  Message.Policy.Route = "/tickets/counter/sell";
  Message.Policy.Service = "/tickets/counter";
  Message.Policy.Workspace = "/tickets";
  Message.Policy.Idempotent = State.range(0) != 0;
  Message.Policy.RecordLifetime = std::chrono::seconds(1);
  Message.BudgetMicros = 1000000;
  Message.Request = {"GET", "/sell/1234567890123456", {}, ""};
  TimePoint Now{std::chrono::seconds(1000)};
  RunId Run = 0;
  EffectList Out;
  std::size_t AllocationsBefore = Allocations;
  for (auto _ : State) {
    ++Message.Call.Sequence;
    Now += Duration(1000);
    Out.clear();
    BenchAdmission.execute(Now, Ingress, Message, {}, Out);
    BenchAdmission.backendDone(Now, {++Run, HttpResponse{200, {}, {}}}, Out);
    benchmark::DoNotOptimize(Out.data());
  }
  reportAllocations(State, AllocationsBefore);
}
BENCHMARK(executeAndDone)->ArgName("idempotent")->Arg(1)->Arg(0);

BENCHMARK_MAIN();
