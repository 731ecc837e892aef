// RecordsBench.cpp - Cost of claims, records and takeovers with 12 members.

#include "figsail/Coordinator.h"

#include <benchmark/benchmark.h>

#include <malloc.h>
#include <memory>

using namespace figsail;

namespace {

const std::string Service = "group/workspace/service";
const std::string Route = "group/workspace/service/route";
const TimePoint Start{std::chrono::hours(1)};
const PeerRef Ingress{"10.20.30.99:7400", 900};
constexpr std::size_t Members = 12;

/// Limits that fit the largest benchmark.
RecordLimits limits() {
  RecordLimits Limits;
  Limits.MaxRecords = 200000;
  Limits.MaxTotalBytes = 256UL * 1024 * 1024;
  return Limits;
}

EpochEntry makeEpoch(Offset At, std::size_t First) {
  EpochEntry Entry;
  Entry.At = At;
  Entry.AppliedAt = Start;
  Entry.RouteRegions[Route] = {};
  for (std::size_t I = First; I < Members; ++I) {
    Member Peer;
    Peer.Host = "10.20.30." + std::to_string(10 + I) + ":7400";
    Peer.Inc = 100 + I;
    Peer.Region = "r";
    Peer.FailureDomain = "d" + std::to_string(I % 4);
    Entry.Members.push_back(Peer);
  }
  return Entry;
}

PeerRef peerRef(const Member &Peer) { return {Peer.Host, Peer.Inc}; }

/// A member with its records; by default the first member of the epoch.
struct RecordHolder {
  explicit RecordHolder(const EpochEntry &First, std::size_t Index = 0)
      : Self(peerRef(First.Members[Index])),
        Log(std::make_unique<ExecutionLog>(Self, limits())),
        KeyCoordinator(std::make_unique<Coordinator>(Self, limits())) {
    enterEpoch(First);
  }
  void enterEpoch(EpochEntry Next) {
    History.append(std::move(Next));
    Out.clear();
    KeyCoordinator->epochChanged(Start, Service, History, *Log, Out);
    Out.clear();
  }

  PeerRef Self;
  EpochHistory History;
  std::unique_ptr<ExecutionLog> Log;
  std::unique_ptr<Coordinator> KeyCoordinator;
  EffectList Out;
};

/// Returns Count keys that a host coordinates in an epoch.
std::vector<RequestKey> coordinatedKeys(const EpochEntry &Entry,
                                        const HostId &Host, std::size_t Count) {
  std::vector<RequestKey> Keys;
  for (std::uint64_t I = 0; Keys.size() < Count; ++I) {
    RequestKey Key = requestKey(Route, std::to_string(I));
    if (coordinatorOf(Entry, Route, Key)->Host == Host)
      Keys.push_back(Key);
  }
  return Keys;
}

Claim makeClaim(const EpochEntry &Entry, const HostId &Owner,
                const RequestKey &Key) {
  Claim Message;
  Message.Call = {900, Key.Low};
  Message.Key = Key;
  Message.Policy.Route = Route;
  Message.Policy.Service = Service;
  Message.Policy.Idempotent = false;
  Message.Policy.RecordLifetime = std::chrono::minutes(10);
  Message.Epoch = Entry.At;
  for (const Member &Peer : Entry.Members)
    if (mayExecute(Entry, Route, Owner, Peer.Host))
      Message.Executor = peerRef(Peer);
  return Message;
}

/// Adds completed records with response bodies of 200 bytes to the coordinator.
void fill(RecordHolder &Holder, std::size_t Count) {
  const EpochEntry &Entry = Holder.History.current();
  for (const RequestKey &Key :
       coordinatedKeys(Entry, Holder.Self.Host, Count)) {
    Holder.Out.clear();
    Holder.KeyCoordinator->claim(Start, Ingress,
                                 makeClaim(Entry, Holder.Self.Host, Key),
                                 &Holder.History, Holder.Out);
    for (const Effect &Next : Holder.Out)
      if (const auto *Sent = std::get_if<SendPeer>(&Next))
        if (const auto *Grant = std::get_if<Granted>(&Sent->Message))
          Holder.KeyCoordinator->completed(Start, Grant->Token.Executor,
                                           {Grant->Token,
                                            RecordState::Done,
                                            {200, {}, std::string(200, 'x')}});
  }
  Holder.Out.clear();
}

void claims(benchmark::State &State) {
  RecordHolder Holder(makeEpoch(10, 0));
  // Each earlier epoch lengthens the search, as after restarts of other
  // members.
  for (std::int64_t I = 1; I < State.range(0); ++I)
    Holder.enterEpoch(makeEpoch(10 + I, static_cast<std::size_t>(I % 2)));
  const EpochEntry &Current = Holder.History.current();
  if (!Current.lists(Holder.Self))
    Holder.enterEpoch(makeEpoch(10 + State.range(0), 0));
  FenceAck Ack;
  Ack.Service = Service;
  Ack.Epoch = Holder.History.current().At;
  Ack.Complete = true;
  for (const Member &Peer : Holder.History.current().Members)
    Holder.KeyCoordinator->fenceAck(Start, peerRef(Peer), Ack, &Holder.History);
  std::vector<RequestKey> Keys =
      coordinatedKeys(Holder.History.current(), Holder.Self.Host, 100000);
  Claim Message =
      makeClaim(Holder.History.current(), Holder.Self.Host, Keys[0]);
  std::size_t Next = 0;
  std::size_t Grants = 0;
  for (auto Iteration : State) {
    if (Next == Keys.size()) {
      State.PauseTiming();
      Holder.KeyCoordinator->timer(Start + std::chrono::hours(1), Holder.Out);
      Next = 0;
      State.ResumeTiming();
    }
    Message.Key = Keys[Next++];
    Holder.Out.clear();
    Holder.KeyCoordinator->claim(Start, Ingress, Message, &Holder.History,
                                 Holder.Out);
    const auto *Reply = std::get_if<SendPeer>(&Holder.Out.back());
    Grants += Reply && std::holds_alternative<Granted>(Reply->Message);
  }
  State.SetItemsProcessed(State.iterations());
  State.counters["granted"] =
      static_cast<double>(Grants) / static_cast<double>(State.iterations());
}

void replays(benchmark::State &State) {
  RecordHolder Holder(makeEpoch(10, 0));
  fill(Holder, 10000);
  std::vector<RequestKey> Keys =
      coordinatedKeys(Holder.History.current(), Holder.Self.Host, 10000);
  Claim Message =
      makeClaim(Holder.History.current(), Holder.Self.Host, Keys[0]);
  std::size_t Next = 0;
  for (auto Iteration : State) {
    Message.Key = Keys[Next++ % Keys.size()];
    Holder.Out.clear();
    Holder.KeyCoordinator->claim(Start, Ingress, Message, &Holder.History,
                                 Holder.Out);
    benchmark::DoNotOptimize(Holder.Out.data());
  }
  State.SetItemsProcessed(State.iterations());
}

void executions(benchmark::State &State) {
  EpochEntry Entry = makeEpoch(10, 0);
  PeerRef Owner = peerRef(Entry.Members[0]);
  PeerRef Self = peerRef(Entry.Members[1]);
  EpochHistory History;
  History.append(Entry);
  auto Log = std::make_unique<ExecutionLog>(Self, limits());
  Execute Message;
  Message.Policy = makeClaim(Entry, Owner.Host, {}).Policy;
  EffectList Out;
  std::uint64_t Next = 0;
  for (auto Iteration : State) {
    if (Log->size() == 100000) {
      State.PauseTiming();
      Log = std::make_unique<ExecutionLog>(Self, limits());
      State.ResumeTiming();
    }
    ++Next;
    Message.Call = {900, Next};
    Message.Grant = GrantToken{{Next, Next}, Service, 10, Owner, Self, 1};
    Out.clear();
    Log->accept(Start, Ingress, Message, &History);
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
  for (auto Iteration : State) {
    EpochEntry Entry = makeEpoch(10, 0);
    RecordHolder Holder(Entry);
    std::size_t Before = mallinfo2().uordblks;
    fill(Holder, Count);
    std::size_t AfterCoordinated = mallinfo2().uordblks;
    PeerRef Owner = peerRef(Entry.Members[3]);
    Execute Message;
    Message.Policy = makeClaim(Entry, Owner.Host, {}).Policy;
    for (std::uint64_t I = 1; I <= Count; ++I) {
      Message.Call = {900, I};
      Message.Grant = GrantToken{{I, I}, Service, 10, Owner, Holder.Self, 1};
      Holder.Out.clear();
      Holder.Log->accept(Start, Ingress, Message, nullptr);
      Holder.Log->start(Start, Message.Call);
      Holder.Log->finish(Start, Message.Call,
                         HttpResponse{200, {}, std::string(200, 'x')}, {},
                         Holder.Out);
    }
    EffectList().swap(Holder.Out);
    std::size_t After = mallinfo2().uordblks;
    Coordinated = static_cast<double>(AfterCoordinated - Before);
    Executed = static_cast<double>(After - AfterCoordinated);
  }
  State.counters["coordinator_bytes"] =
      Coordinated / static_cast<double>(Count);
  State.counters["executor_bytes"] = Executed / static_cast<double>(Count);
}

/// Measures the fence replies of a leaving member: all its records move to the
/// 11 others.
void answerFence(benchmark::State &State) {
  RecordHolder Holder(makeEpoch(10, 0));
  fill(Holder, static_cast<std::size_t>(State.range(0)));
  Holder.enterEpoch(makeEpoch(20, 1));
  std::size_t Copies = 0;
  for (auto Iteration : State) {
    Copies = 0;
    for (const Member &Peer : Holder.History.current().Members) {
      Holder.Out.clear();
      Holder.KeyCoordinator->fence(Start, peerRef(Peer), {Service, 20},
                                   &Holder.History, *Holder.Log, Holder.Out);
      for (const Effect &Next : Holder.Out)
        if (const auto *Sent = std::get_if<SendPeer>(&Next))
          if (const auto *Ack = std::get_if<FenceAck>(&Sent->Message))
            Copies += Ack->Records.size();
    }
  }
  State.counters["copies"] = static_cast<double>(Copies);
}

/// Measures the fence reply of a member that stays: no record moves.
void answerFenceUnmoved(benchmark::State &State) {
  RecordHolder Holder(makeEpoch(10, 0));
  fill(Holder, static_cast<std::size_t>(State.range(0)));
  Holder.enterEpoch(makeEpoch(20, 0));
  PeerRef Requester = peerRef(Holder.History.current().Members[1]);
  for (auto Iteration : State) {
    Holder.Out.clear();
    Holder.KeyCoordinator->fence(Start, Requester, {Service, 20},
                                 &Holder.History, *Holder.Log, Holder.Out);
    benchmark::DoNotOptimize(Holder.Out.data());
  }
}

/// Measures how a new coordinator takes over the records of a leaving member.
void takeOver(benchmark::State &State) {
  EpochEntry Before = makeEpoch(10, 0);
  EpochEntry After = makeEpoch(20, 1);
  RecordHolder Leaving(Before);
  fill(Leaving, static_cast<std::size_t>(State.range(0)));
  Leaving.enterEpoch(After);
  PeerRef Successor = peerRef(After.Members[0]);
  Leaving.KeyCoordinator->fence(Start, Successor, {Service, 20},
                                &Leaving.History, *Leaving.Log, Leaving.Out);
  std::size_t Records = 0;
  for (auto Iteration : State) {
    State.PauseTiming();
    auto Holder = std::make_unique<RecordHolder>(Before, 1);
    Holder->enterEpoch(After);
    State.ResumeTiming();
    for (const Effect &Next : Leaving.Out)
      if (const auto *Sent = std::get_if<SendPeer>(&Next))
        if (const auto *Ack = std::get_if<FenceAck>(&Sent->Message))
          Holder->KeyCoordinator->fenceAck(Start, Leaving.Self, *Ack,
                                           &Holder->History);
    Records = Holder->KeyCoordinator->size();
    State.PauseTiming();
    Holder.reset();
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
