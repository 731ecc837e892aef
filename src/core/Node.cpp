// Node.cpp - The reducer: dispatches each event to the module that owns the
// state.

#include "figsail/Node.h"

#include "figsail/Coordinator.h"

#include "Ingress.h"
#include "Liveness.h"
#include "Replication.h"

#include <algorithm>
#include <utility>

namespace figsail {

using namespace std::chrono_literals;

/// Time for the last replies to leave before the process ends.
static constexpr Duration ExitDelay = 200ms;
/// Epochs are kept a little longer than the longest record lifetime in use, so
/// that the walk over epochs never misses one that matters.
static constexpr Duration EpochMargin = 1min;
/// A gap between two events that only a pause of this process explains: the
/// heartbeat timer alone makes one event a second. What peers sent meanwhile
/// may be older than the grants it names, whose records live at least a minute.
static constexpr Duration PauseLimit = 15s;
/// How often expired records and epochs are dropped.
static constexpr Duration ExpiryInterval = 5s;

struct Node::State {
  explicit State(NodeSettings Given)
      : Settings(std::move(Given)), Self{Settings.Self.Host, Settings.Self.Inc},
        Runs(Self, Settings.Records), Records(Self, Settings.Records),
        Admit(Self, Settings.Admit, Runs), Calls(Settings),
        Log(Settings, Replicated), Alive(Settings.Self) {}

  void handle(CallerRequest &Body);
  void handle(CallerGone &Body);
  void handle(PeerReceived &Body);
  void handle(PeerConnected &) {}
  void handle(PeerLost &Body);
  void handle(BackendDone &Body);
  void handle(ProbeDone &Body);
  void handle(LogRead &Body);
  void handle(LogReadFailed &);
  void handle(AppendDone &Body);
  void handle(TimerFired &);
  void handle(StopRequested &);

  void message(const PeerRef &From, Execute &Message);
  void message(const PeerRef &From, Received &Message);
  void message(const PeerRef &From, Answer &Message);
  void message(const PeerRef &From, Refused &Message);
  void message(const PeerRef &From, Failed &Message);
  void message(const PeerRef &From, Cancel &Message);
  void message(const PeerRef &From, Await &Message);
  void message(const PeerRef &From, Claim &Message);
  void message(const PeerRef &From, Granted &Message);
  void message(const PeerRef &From, ClaimHeld &Message);
  void message(const PeerRef &From, ClaimDone &Message);
  void message(const PeerRef &From, ClaimRefused &Message);
  void message(const PeerRef &From, Completed &Message);
  void message(const PeerRef &From, Fence &Message);
  void message(const PeerRef &From, FenceAck &Message);
  void message(const PeerRef &From, Heartbeat &) { (void)From; }
  void message(const PeerRef &From, Probe &Message);
  void message(const PeerRef &From, ProbeReply &Message);
  void message(const PeerRef &From, Subscribe &Message);
  void message(const PeerRef &From, figsail::Records &Message);
  void message(const PeerRef &From, Snapshot &Message);
  void message(const PeerRef &From, SuspectReport &Message);

  bool wokeFromPause();
  void afterEvent();
  void recordApplied(const LogRecord &Record, const ApplyResult &Result);
  void stateReplaced();
  void memberChanged(const Member &Who, bool Listed);
  void checkInService();
  void ownEpochChanged();
  void propose(const RecordBody &Body);
  void sendReports();
  void checkDrain();
  bool listed() const;
  bool inService() const;
  AdmissionGate gate() const;
  const EpochHistory *ownEpochs() const;
  Duration longestLifetime() const;
  IngressStep step() { return {Now, Seed, Replicated, Out}; }
  Replication::OnApplied onApplied() {
    return [this](const LogRecord &Record, const ApplyResult &Result) {
      recordApplied(Record, Result);
    };
  }

  NodeSettings Settings;
  PeerRef Self;
  ReplicatedState Replicated;
  ExecutionLog Runs;
  Coordinator Records;
  Admission Admit;
  Ingress Calls;
  Replication Log;
  Liveness Alive;

  TimePoint LastEvent;    ///< When the event before was applied.
  TimePoint Now;          ///< Of the present event.
  std::uint64_t Seed = 0; ///< Of the present event.
  EffectList Out;         ///< Of the present event.

  bool Started = false;
  bool NeighboursStale = false; ///< Members of the own service changed.
  std::size_t RegionHosts = 0;  ///< Listed members in the own region.
  bool WasInService = true;
  bool Draining = false;
  TimePoint DrainEnds = TimePoint::max(); ///< The limit of the drain.
  TimePoint ExitAt = TimePoint::max();    ///< Set once all work is done.
  TimePoint NextExpiry;
  AppendId NextAppend = 1;
  AppendId OwnAppend = 0; ///< Membership record under way; 0: none.
};

bool Node::State::listed() const {
  const Member *Who = Replicated.member(Self.Host);
  return Who && Who->Inc == Self.Inc;
}

bool Node::State::inService() const {
  return Replicated.configuration().inService(Settings.Self.FailureDomain,
                                              Self.Host);
}

const EpochHistory *Node::State::ownEpochs() const {
  return Replicated.epochs(Settings.Self.Service);
}

AdmissionGate Node::State::gate() const {
  return {inService(), listed(), ownEpochs()};
}

Duration Node::State::longestLifetime() const {
  return Replicated.configuration().longestRecordLifetime();
}

void Node::State::propose(const RecordBody &Body) {
  OwnAppend = NextAppend++;
  Out.push_back(AppendLog{OwnAppend, encodeRecord(Body)});
}

void Node::State::recordApplied(const LogRecord &Record,
                                const ApplyResult &Result) {
  if (Result.Restored)
    return stateReplaced();
  if (Result.Ignored || Result.Duplicate)
    return;
  Out.push_back(
      Trace{TraceKind::ConfigurationApplied, std::to_string(Record.At),
            std::holds_alternative<Accepted>(Result.Outcome) ? "accepted"
                                                             : "rejected"});
  checkInService();
  if (Result.Gone)
    memberChanged(*Result.Gone, false);
  if (Result.Joined)
    memberChanged(*Result.Joined, true);
  for (const std::string &Service : Result.ServicesChanged) {
    Out.push_back(
        Trace{TraceKind::EpochChanged, Service, std::to_string(Record.At)});
    if (Service == Settings.Self.Service)
      ownEpochChanged();
  }
}

void Node::State::stateReplaced() {
  Out.push_back(Trace{TraceKind::ConfigurationApplied,
                      std::to_string(Replicated.applied()), "snapshot"});
  RegionHosts = 0;
  NeighboursStale = true; // Also when no member of the service is left.
  for (const auto &[Host, Who] : Replicated.members())
    memberChanged(Who, true);
  Log.membersChanged();
  checkInService();
  ownEpochChanged();
}

void Node::State::ownEpochChanged() {
  const EpochHistory *History = ownEpochs();
  if (History && !History->empty())
    Records.epochChanged(Now, Settings.Self.Service, *History, Runs, Out);
}

/// Tells the modules that depend on this member. Most members concern none of
/// them, and a change must not cost a walk over all members.
void Node::State::memberChanged(const Member &Who, bool Listed) {
  if (Listed)
    Calls.memberJoined(Who.Host);
  NeighboursStale |= Who.Service == Settings.Self.Service;
  if (Who.FailureDomain == Settings.Self.FailureDomain)
    Log.membersChanged();
  if (Who.Region != Settings.Self.Region)
    return;
  if (Listed)
    ++RegionHosts;
  else
    --RegionHosts;
  Calls.regionHosts(RegionHosts);
}

void Node::State::checkInService() {
  bool InService = inService();
  if (InService && !WasInService)
    Admit.returnToService(Now, Out);
  WasInService = InService;
}

void Node::State::handle(CallerRequest &Body) {
  IngressStep Step = step();
  Calls.request(Step, std::move(Body));
}

void Node::State::handle(CallerGone &Body) {
  IngressStep Step = step();
  Calls.callerGone(Step, Body.Caller);
}

void Node::State::handle(PeerReceived &Body) {
  Alive.heard(Now, Body.From);
  std::visit([&](auto &Message) { message(Body.From, Message); }, Body.Message);
}

void Node::State::handle(PeerLost &Body) {
  IngressStep Step = step();
  Calls.peerLost(Step, Body);
  Log.peerLost(Now, Body.Host, Out);
}

void Node::State::handle(BackendDone &Body) {
  Admit.backendDone(Now, Body, Out);
}

void Node::State::handle(ProbeDone &Body) { Admit.probeDone(Now, Body, Out); }

void Node::State::handle(LogRead &Body) {
  Log.logRead(Now, Body, onApplied(), Out);
}

void Node::State::handle(LogReadFailed &) { Log.logReadFailed(Now, Out); }

void Node::State::handle(AppendDone &Body) {
  if (Body.Append != OwnAppend)
    return;
  OwnAppend = 0;
  if (Body.At == NoOffset)
    Alive.appendFailed(Now);
}

void Node::State::handle(TimerFired &) {}

void Node::State::handle(StopRequested &) {
  if (Draining)
    return;
  Draining = true;
  DrainEnds = Now + Settings.DrainLimit;
  Alive.leave();
  Admit.drain(Now, Out);
  Out.push_back(Trace{TraceKind::DrainStarted, Self.Host, {}});
}

void Node::State::message(const PeerRef &From, Execute &Message) {
  Admit.execute(Now, From, std::move(Message), gate(), Out);
}

void Node::State::message(const PeerRef &, Received &Message) {
  IngressStep Step = step();
  Calls.received(Step, Message);
}

void Node::State::message(const PeerRef &From, Answer &Message) {
  IngressStep Step = step();
  Calls.answered(Step, From, std::move(Message));
}

void Node::State::message(const PeerRef &From, Refused &Message) {
  IngressStep Step = step();
  Calls.refused(Step, From, Message);
}

void Node::State::message(const PeerRef &From, Failed &Message) {
  IngressStep Step = step();
  Calls.failed(Step, From, Message);
}

void Node::State::message(const PeerRef &, Cancel &Message) {
  Admit.cancel(Now, Message.Call, Out);
}

void Node::State::message(const PeerRef &From, Await &Message) {
  Admit.await(Now, From, Message, Out);
}

void Node::State::message(const PeerRef &From, Claim &Message) {
  Records.claim(Now, From, Message, Replicated.epochs(Message.Policy.Service),
                Out);
}

void Node::State::message(const PeerRef &, Granted &Message) {
  IngressStep Step = step();
  Calls.granted(Step, Message);
}

void Node::State::message(const PeerRef &, ClaimHeld &Message) {
  IngressStep Step = step();
  Calls.claimHeld(Step, Message);
}

void Node::State::message(const PeerRef &, ClaimDone &Message) {
  IngressStep Step = step();
  Calls.claimDone(Step, std::move(Message));
}

void Node::State::message(const PeerRef &, ClaimRefused &Message) {
  IngressStep Step = step();
  Calls.claimRefused(Step, Message);
}

void Node::State::message(const PeerRef &From, Completed &Message) {
  Records.completed(Now, From, Message);
}

void Node::State::message(const PeerRef &From, Fence &Message) {
  Out.push_back(Count{Counter::Fences});
  Records.fence(Now, From, Message, Replicated.epochs(Message.Service), Runs,
                Out);
}

void Node::State::message(const PeerRef &From, FenceAck &Message) {
  Records.fenceAck(Now, From, Message, Replicated.epochs(Message.Service));
}

void Node::State::message(const PeerRef &From, Probe &Message) {
  Alive.probe(Now, From, Message, Out);
}

void Node::State::message(const PeerRef &From, ProbeReply &Message) {
  Alive.probeReply(Now, From, Message, Out);
}

void Node::State::message(const PeerRef &From, Subscribe &Message) {
  Log.subscribe(Now, From, Message, Out);
}

void Node::State::message(const PeerRef &From, figsail::Records &Message) {
  Log.records(Now, From, Message, onApplied(), Out);
}

void Node::State::message(const PeerRef &From, Snapshot &Message) {
  if (Log.snapshot(Now, From, Message, Out))
    stateReplaced();
}

void Node::State::message(const PeerRef &, SuspectReport &Message) {
  Admit.suspectReport(Now, Message);
}

/// Tells the members of the service about requests that may crash backend
/// servers.
void Node::State::sendReports() {
  for (const auto &[Report, Regions] : Admit.takeReports()) {
    for (const auto &[Host, Who] : Replicated.members()) {
      if (Host == Self.Host || Who.Service != Settings.Self.Service)
        continue;
      if (!Regions.empty() &&
          std::ranges::find(Regions, Who.Region) == Regions.end())
        continue;
      Out.push_back(SendPeer{Host, Report});
    }
  }
}

void Node::State::checkDrain() {
  if (!Draining)
    return;
  if (Now >= ExitAt) {
    Out.push_back(Trace{TraceKind::DrainEnded, Self.Host, {}});
    Out.push_back(ExitProcess{});
    ExitAt = TimePoint::max();
    DrainEnds = TimePoint::max();
    return;
  }
  if (ExitAt != TimePoint::max())
    return;
  const EpochHistory *History = ownEpochs();
  bool HandedOver =
      !listed() && (!History || History->empty() ||
                    Records.handedOver(Settings.Self.Service, *History));
  bool Done = HandedOver && Admit.idle() && Calls.underWay() == 0;
  if (Done)
    ExitAt = Now + ExitDelay;
  else if (Now >= DrainEnds)
    ExitAt = Now;
}

/// Drops what peers sent during a pause. Returns whether there was one.
bool Node::State::wokeFromPause() {
  bool Paused = Started && Now - LastEvent > PauseLimit;
  LastEvent = Now;
  if (Paused)
    Out.push_back(ResetAllPeers{});
  return Paused;
}

void Node::State::afterEvent() {
  if (!Started) {
    Started = true;
    Log.start(Now, Out);
  }
  if (std::exchange(NeighboursStale, false))
    Alive.membersChanged(Now, Replicated);
  IngressStep Step = step();
  Calls.timer(Step);
  Admit.timer(Now, Out);
  Records.timer(Now, Out);
  Log.timer(Now, Out);
  auto Proposal =
      Alive.timer(Now, Replicated, Log.caughtUp(), Admit.load(), Out);
  if (Proposal && OwnAppend == 0)
    propose(*Proposal);
  for (SnapshotRecord &Part : Log.dueSnapshot(Now, Seed))
    Out.push_back(AppendLog{NextAppend++, encodeRecord(Part)});
  if (Now >= NextExpiry) {
    NextExpiry = Now + ExpiryInterval;
    Runs.expire(Now);
    Replicated.expireEpochs(Now, longestLifetime() + EpochMargin);
  }
  sendReports();
  checkDrain();
}

Node::Node(NodeSettings Settings)
    : Impl(std::make_unique<State>(std::move(Settings))) {}
Node::~Node() = default;

EffectList Node::apply(Event Input) {
  Impl->Now = Input.Now;
  Impl->Seed = Input.Seed;
  Impl->Out.clear();
  bool Unread =
      Impl->wokeFromPause() && std::holds_alternative<PeerReceived>(Input.Body);
  if (!Unread)
    std::visit([this](auto &Body) { Impl->handle(Body); }, Input.Body);
  Impl->afterEvent();
  return std::move(Impl->Out);
}

TimePoint Node::nextWake() const {
  return std::min({Impl->Calls.nextWake(), Impl->Admit.nextWake(),
                   Impl->Records.nextWake(), Impl->Log.nextWake(),
                   Impl->Alive.nextWake(), Impl->DrainEnds, Impl->ExitAt});
}

HeadVerdict Node::checkHead(std::string_view Method,
                            std::string_view Target) const {
  // Without the configuration an unknown path says nothing about the route.
  if (!Impl->Log.caughtUp())
    return errorResponse(ErrorKind::NoBackendServer);
  return Impl->Calls.checkHead(Impl->Replicated, Method, Target);
}

const ReplicatedState &Node::replicated() const { return Impl->Replicated; }

NodeStatus Node::status() const {
  NodeStatus Status;
  Status.Applied = Impl->Replicated.applied();
  Status.Listed = Impl->listed();
  Status.InService = Impl->inService();
  Status.Draining = Impl->Draining;
  Status.LogReachable = Impl->Log.logReachable();
  Status.Load = Impl->Admit.load();
  Status.CallsUnderWay = Impl->Calls.underWay();
  Status.CoordinatorRecords = Impl->Records.size();
  Status.ExecutionRecords = Impl->Runs.size();
  return Status;
}

} // namespace figsail
