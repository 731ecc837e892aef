// RecordsBench.cpp - Cost of claims, records, fences and takeovers in a service
// of 12 members.

#include "figsail/Coordinator.h"

#include <benchmark/benchmark.h>

#include <malloc.h>
#include <memory>

using namespace figsail;

namespace {

const std::string Service = "group/workspace/service";
const std::string Route = "group/workspace/service/route";
const TimePoint Start{std::chrono::hours(1)};
const PeerRef Front{"10.20.30.99:7400", 900};
constexpr std::size_t Members = 12;

/// Room for the largest case.
RecordLimits limits() {
  RecordLimits Limits;
  Limits.MaxRecords = 200000;
  Limits.MaxTotalBytes = 256UL * 1024 * 1024;
  return Limits;
}

EpochEntry epoch(Offset At, std::size_t First) {
  EpochEntry Entry;
  Entry.At = At;
  Entry.AppliedAt = Start;
  Entry.RouteRegions[Route] = {};
  for (std::size_t I = First; I < Members; ++I) {
    Member Who;
    Who.Host = "10.20.30." + std::to_string(10 + I) + ":7400";
    Who.Inc = 100 + I;
    Who.Region = "r";
    Who.FailureDomain = "d" + std::to_string(I % 4);
    Entry.Members.push_back(Who);
  }
  return Entry;
}

PeerRef ref(const Member &Who) { return {Who.Host, Who.Inc}; }

/// One member with its records; the first listed one unless told otherwise.
struct Station {
  explicit Station(const EpochEntry &First, std::size_t Index = 0)
      : Self(ref(First.Members[Index])),
        Log(std::make_unique<ExecutionLog>(Self, limits())),
        Keys(std::make_unique<Coordinator>(Self, limits())) {
    enter(First);
  }
  void enter(EpochEntry Next) {
    History.append(std::move(Next));
    Out.clear();
    Keys->epochChanged(Start, Service, History, *Log, Out);
    Out.clear();
  }

  PeerRef Self;
  EpochHistory History;
  std::unique_ptr<ExecutionLog> Log;
  std::unique_ptr<Coordinator> Keys;
  EffectList Out;
};

/// Returns keys that a host coordinates in an epoch.
std::vector<RequestKey> keysOf(const EpochEntry &Entry, const HostId &Host,
                               std::size_t Count) {
  std::vector<RequestKey> Keys;
  for (std::uint64_t I = 0; Keys.size() < Count; ++I) {
    RequestKey Key = requestKey(Route, std::to_string(I));
    if (coordinatorOf(Entry, Route, Key)->Host == Host)
      Keys.push_back(Key);
  }
  return Keys;
}

Claim question(const EpochEntry &Entry, const HostId &Owner,
               const RequestKey &Key) {
  Claim Message;
  Message.Call = {900, Key.Low};
  Message.Key = Key;
  Message.Policy.Route = Route;
  Message.Policy.Service = Service;
  Message.Policy.Idempotent = false;
  Message.Policy.RecordLifetime = std::chrono::minutes(10);
  Message.Epoch = Entry.At;
  for (const Member &Who : Entry.Members)
    if (mayExecute(Entry, Route, Owner, Who.Host))
      Message.Executor = ref(Who);
  return Message;
}

/// Fills a station with finished records of 200 byte answers, on both sides.
void fill(Station &To, std::size_t Count) {
  const EpochEntry &Entry = To.History.current();
  for (const RequestKey &Key : keysOf(Entry, To.Self.Host, Count)) {
    To.Out.clear();
    To.Keys->claim(Start, Front, question(Entry, To.Self.Host, Key),
                   &To.History, To.Out);
    for (const Effect &Next : To.Out)
      if (const auto *Sending = std::get_if<SendPeer>(&Next))
        if (const auto *Yes = std::get_if<Granted>(&Sending->Message))
          To.Keys->completed(Start, Yes->Token.Executor,
                             {Yes->Token,
                              RecordState::Done,
                              {200, {}, std::string(200, 'x')}});
  }
  To.Out.clear();
}

void claims(benchmark::State &State) {
  Station Under(epoch(10, 0));
  // Earlier epochs make the walk longer, as after restarts of other members.
  for (std::int64_t I = 1; I < State.range(0); ++I)
    Under.enter(epoch(10 + I, static_cast<std::size_t>(I % 2)));
  const EpochEntry &Current = Under.History.current();
  if (!Current.lists(Under.Self))
    Under.enter(epoch(10 + State.range(0), 0));
  FenceAck Ack;
  Ack.Service = Service;
  Ack.Epoch = Under.History.current().At;
  Ack.Complete = true;
  for (const Member &Who : Under.History.current().Members)
    Under.Keys->fenceAck(Start, ref(Who), Ack, &Under.History);
  std::vector<RequestKey> Keys =
      keysOf(Under.History.current(), Under.Self.Host, 100000);
  Claim Message = question(Under.History.current(), Under.Self.Host, Keys[0]);
  std::size_t Next = 0;
  std::size_t Grants = 0;
  for (auto Step : State) {
    if (Next == Keys.size()) {
      State.PauseTiming();
      Under.Keys->timer(Start + std::chrono::hours(1), Under.Out);
      Next = 0;
      State.ResumeTiming();
    }
    Message.Key = Keys[Next++];
    Under.Out.clear();
    Under.Keys->claim(Start, Front, Message, &Under.History, Under.Out);
    const auto *Reply = std::get_if<SendPeer>(&Under.Out.back());
    Grants += Reply && std::holds_alternative<Granted>(Reply->Message);
  }
  State.SetItemsProcessed(State.iterations());
  State.counters["granted"] =
      static_cast<double>(Grants) / static_cast<double>(State.iterations());
}

void replays(benchmark::State &State) {
  Station Under(epoch(10, 0));
  fill(Under, 10000);
  std::vector<RequestKey> Keys =
      keysOf(Under.History.current(), Under.Self.Host, 10000);
  Claim Message = question(Under.History.current(), Under.Self.Host, Keys[0]);
  std::size_t Next = 0;
  for (auto Step : State) {
    Message.Key = Keys[Next++ % Keys.size()];
    Under.Out.clear();
    Under.Keys->claim(Start, Front, Message, &Under.History, Under.Out);
    benchmark::DoNotOptimize(Under.Out.data());
  }
  State.SetItemsProcessed(State.iterations());
}

void executions(benchmark::State &State) {
  EpochEntry Entry = epoch(10, 0);
  PeerRef Owner = ref(Entry.Members[0]);
  PeerRef Self = ref(Entry.Members[1]);
  EpochHistory History;
  History.append(Entry);
  auto Log = std::make_unique<ExecutionLog>(Self, limits());
  Execute Message;
  Message.Policy = question(Entry, Owner.Host, {}).Policy;
  EffectList Out;
  std::uint64_t Next = 0;
  for (auto Step : State) {
    if (Log->size() == 100000) {
      State.PauseTiming();
      Log = std::make_unique<ExecutionLog>(Self, limits());
      State.ResumeTiming();
    }
    ++Next;
    Message.Call = {900, Next};
    Message.Grant = GrantToken{{Next, Next}, Service, 10, Owner, Self, 1};
    Out.clear();
    Log->accept(Start, Front, Message, &History);
    Log->start(Start, Message.Call);
    Log->finish(Start, Message.Call,
                HttpResponse{200, {}, std::string(200, 'x')}, {}, Out);
  }
  State.SetItemsProcessed(State.iterations());
}

void memory(benchmark::State &State) {
  std::size_t Count = static_cast<std::size_t>(State.range(0));
  double Coordinated = 0;
  double Executed = 0;
  for (auto Step : State) {
    EpochEntry Entry = epoch(10, 0);
    Station Under(Entry);
    std::size_t Before = mallinfo2().uordblks;
    fill(Under, Count);
    std::size_t Between = mallinfo2().uordblks;
    PeerRef Owner = ref(Entry.Members[3]);
    Execute Message;
    Message.Policy = question(Entry, Owner.Host, {}).Policy;
    for (std::uint64_t I = 1; I <= Count; ++I) {
      Message.Call = {900, I};
      Message.Grant = GrantToken{{I, I}, Service, 10, Owner, Under.Self, 1};
      Under.Out.clear();
      Under.Log->accept(Start, Front, Message, nullptr);
      Under.Log->start(Start, Message.Call);
      Under.Log->finish(Start, Message.Call,
                        HttpResponse{200, {}, std::string(200, 'x')}, {},
                        Under.Out);
    }
    EffectList().swap(Under.Out);
    std::size_t After = mallinfo2().uordblks;
    Coordinated = static_cast<double>(Between - Before);
    Executed = static_cast<double>(After - Between);
  }
  State.counters["coordinator_bytes"] =
      Coordinated / static_cast<double>(Count);
  State.counters["executor_bytes"] = Executed / static_cast<double>(Count);
}

/// A member with records leaves: all its records go to the 11 others.
void answerFence(benchmark::State &State) {
  Station Under(epoch(10, 0));
  fill(Under, static_cast<std::size_t>(State.range(0)));
  Under.enter(epoch(20, 1));
  std::size_t Copies = 0;
  for (auto Step : State) {
    Copies = 0;
    for (const Member &Who : Under.History.current().Members) {
      Under.Out.clear();
      Under.Keys->fence(Start, ref(Who), {Service, 20}, &Under.History,
                        *Under.Log, Under.Out);
      for (const Effect &Next : Under.Out)
        if (const auto *Sending = std::get_if<SendPeer>(&Next))
          if (const auto *Ack = std::get_if<FenceAck>(&Sending->Message))
            Copies += Ack->Records.size();
    }
  }
  State.counters["copies"] = static_cast<double>(Copies);
}

/// A listed member that keeps its records answers a fence: nothing has moved.
void answerFenceUnmoved(benchmark::State &State) {
  Station Under(epoch(10, 0));
  fill(Under, static_cast<std::size_t>(State.range(0)));
  Under.enter(epoch(20, 0));
  PeerRef Asker = ref(Under.History.current().Members[1]);
  for (auto Step : State) {
    Under.Out.clear();
    Under.Keys->fence(Start, Asker, {Service, 20}, &Under.History, *Under.Log,
                      Under.Out);
    benchmark::DoNotOptimize(Under.Out.data());
  }
}

/// A new coordinator takes over the records of a member that leaves.
void takeOver(benchmark::State &State) {
  EpochEntry Before = epoch(10, 0);
  EpochEntry After = epoch(20, 1);
  Station Leaving(Before);
  fill(Leaving, static_cast<std::size_t>(State.range(0)));
  Leaving.enter(After);
  PeerRef Heir = ref(After.Members[0]);
  Leaving.Keys->fence(Start, Heir, {Service, 20}, &Leaving.History,
                      *Leaving.Log, Leaving.Out);
  std::size_t Records = 0;
  for (auto Step : State) {
    State.PauseTiming();
    auto Under = std::make_unique<Station>(Before, 1);
    Under->enter(After);
    State.ResumeTiming();
    for (const Effect &Next : Leaving.Out)
      if (const auto *Sending = std::get_if<SendPeer>(&Next))
        if (const auto *Ack = std::get_if<FenceAck>(&Sending->Message))
          Under->Keys->fenceAck(Start, Leaving.Self, *Ack, &Under->History);
    Records = Under->Keys->size();
    State.PauseTiming();
    Under.reset();
    State.ResumeTiming();
  }
  State.counters["records"] = static_cast<double>(Records);
}

} // namespace

BENCHMARK(claims)->Arg(1)->Arg(4)->Arg(16);
BENCHMARK(replays);
BENCHMARK(executions);
BENCHMARK(memory)->Arg(1000)->Arg(10000)->Arg(100000)->Iterations(1);
BENCHMARK(answerFence)->Arg(1000)->Arg(10000)->Arg(100000);
BENCHMARK(answerFenceUnmoved)->Arg(1000)->Arg(10000)->Arg(100000);
BENCHMARK(takeOver)->Arg(1000)->Arg(10000)->Arg(100000);

BENCHMARK_MAIN();
