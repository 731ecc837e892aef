// Node.cpp - The reducer, which dispatches each event to the module that owns
// the state.

#include "figsail/Node.h"

#include "figsail/Coordinator.h"

#include "Ingress.h"
#include "Liveness.h"
#include "Replication.h"

#include <algorithm>
#include <utility>

namespace figsail {

using namespace std::chrono_literals;

/// Time to send the last replies before the process ends.
static constexpr Duration ExitDelay = 200ms;
/// Time for which epochs are kept beyond the longest record lifetime in use, so
/// that a walk over the epochs finds every epoch that can have live records.
static constexpr Duration EpochMargin = 1min;
/// Gap between two events from which this process must have been paused: the
/// heartbeat timer alone makes one event per second. Messages sent during the
/// pause may refer to grants whose records, kept for at least a minute, have
/// expired.
static constexpr Duration PauseLimit = 15s;
/// How often expired records and epochs are dropped.
static constexpr Duration ExpiryInterval = 5s;

struct Node::State {
  explicit State(NodeSettings Initial)
      : Settings(std::move(Initial)), Self{Settings.Self.Host,
                                           Settings.Self.Inc},
        Executions(Self, Settings.Records),
        KeyCoordinator(Self, Settings.Records),
        AdmissionRole(Self, Settings.AdmissionControl, Executions),
        IngressRole(Settings), LogReplication(Settings, Replicated),
        NeighbourLiveness(Settings.Self) {}

  void handle(CallerRequest &Body);
  void handle(CallerDisconnected &Body);
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
  void message(const PeerRef &From, TopicSubscribe &Message);
  void message(const PeerRef &From, TopicUpdate &Message);
  void message(const PeerRef &From, TopicPiece &Message);
  void message(const PeerRef &From, RolloutReport &Message);
  void message(const PeerRef &From, RolloutVerdict &Message);
  void message(const PeerRef &From, QuotaReport &Message);
  void message(const PeerRef &From, QuotaReply &Message);
  void message(const PeerRef &From, AnswerPiece &Message);

  bool detectPause();
  void afterEvent();
  void recordApplied(const LogRecord &Record, const ApplyResult &Result);
  void stateReplaced();
  void memberChanged(const Member &Peer, bool Listed);
  void checkInService();
  void ownEpochChanged();
  void appendMembership(const RecordBody &Body);
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
  ExecutionLog Executions;
  Coordinator KeyCoordinator;
  Admission AdmissionRole;
  Ingress IngressRole;
  Replication LogReplication;
  Liveness NeighbourLiveness;

  TimePoint LastEvent;    ///< When the previous event was applied.
  TimePoint Now;          ///< Time of the current event.
  std::uint64_t Seed = 0; ///< Random bits of the current event.
  EffectList Out;         ///< Effects of the current event.

  bool Started = false;
  bool ServiceMembersChanged =
      false; ///< Members of the own service changed in this event.
  std::size_t RegionHosts = 0; ///< Listed members in the own region.
  bool WasInService = true;
  bool Draining = false;
  TimePoint DrainEnds =
      TimePoint::max();                ///< When the drain ends at the latest.
  TimePoint ExitAt = TimePoint::max(); ///< Set once all work is done.
  TimePoint NextExpiry;
  AppendId NextAppend = 1;
  AppendId OwnAppend = 0; ///< Append of a membership record in flight; 0: none.
};

bool Node::State::listed() const {
  const Member *Peer = Replicated.member(Self.Host);
  return Peer && Peer->Inc == Self.Inc;
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

void Node::State::appendMembership(const RecordBody &Body) {
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
  if (Result.Removed)
    memberChanged(*Result.Removed, false);
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
                      std::to_string(Replicated.appliedOffset()), "snapshot"});
  RegionHosts = 0;
  ServiceMembersChanged = true; // Even if no member of the service is left.
  for (const auto &[Host, Peer] : Replicated.members())
    memberChanged(Peer, true);
  LogReplication.membersChanged();
  checkInService();
  ownEpochChanged();
}

void Node::State::ownEpochChanged() {
  const EpochHistory *History = ownEpochs();
  if (History && !History->empty())
    KeyCoordinator.epochChanged(Now, Settings.Self.Service, *History,
                                Executions, Out);
}

/// Notifies the modules that depend on this member. Most members are relevant
/// to none of them, and a change must not cost a walk over all members.
void Node::State::memberChanged(const Member &Peer, bool Listed) {
  if (Listed)
    IngressRole.memberJoined(Peer.Host);
  ServiceMembersChanged |= Peer.Service == Settings.Self.Service;
  if (Peer.FailureDomain == Settings.Self.FailureDomain)
    LogReplication.membersChanged();
  if (Peer.Region != Settings.Self.Region)
    return;
  if (Listed)
    ++RegionHosts;
  else
    --RegionHosts;
  IngressRole.setRegionHosts(RegionHosts);
}

void Node::State::checkInService() {
  bool InService = inService();
  if (InService && !WasInService)
    AdmissionRole.returnToService(Now, Out);
  WasInService = InService;
}

void Node::State::handle(CallerRequest &Body) {
  IngressStep Step = step();
  IngressRole.request(Step, std::move(Body));
}

void Node::State::handle(CallerDisconnected &Body) {
  IngressStep Step = step();
  IngressRole.callerDisconnected(Step, Body.Caller);
}

void Node::State::handle(PeerReceived &Body) {
  NeighbourLiveness.messageReceived(Now, Body.From);
  std::visit([&](auto &Message) { message(Body.From, Message); }, Body.Message);
}

void Node::State::handle(PeerLost &Body) {
  IngressStep Step = step();
  IngressRole.peerLost(Step, Body);
  LogReplication.peerLost(Now, Body.Host, Out);
}

void Node::State::handle(BackendDone &Body) {
  AdmissionRole.backendDone(Now, Body, Out);
}

void Node::State::handle(ProbeDone &Body) {
  AdmissionRole.probeDone(Now, Body, Out);
}

void Node::State::handle(LogRead &Body) {
  LogReplication.logRead(Now, Body, onApplied(), Out);
}

void Node::State::handle(LogReadFailed &) {
  LogReplication.logReadFailed(Now, Out);
}

void Node::State::handle(AppendDone &Body) {
  if (Body.Append != OwnAppend)
    return;
  OwnAppend = 0;
  if (Body.At == NoOffset)
    NeighbourLiveness.appendFailed(Now);
}

void Node::State::handle(TimerFired &) {}

void Node::State::handle(StopRequested &) {
  if (Draining)
    return;
  Draining = true;
  DrainEnds = Now + Settings.DrainLimit;
  NeighbourLiveness.startLeaving();
  AdmissionRole.drain(Now, Out);
  Out.push_back(Trace{TraceKind::DrainStarted, Self.Host, {}});
}

void Node::State::message(const PeerRef &From, Execute &Message) {
  AdmissionRole.execute(Now, From, std::move(Message), gate(), Out);
}

void Node::State::message(const PeerRef &, Received &Message) {
  IngressStep Step = step();
  IngressRole.received(Step, Message);
}

void Node::State::message(const PeerRef &From, Answer &Message) {
  IngressStep Step = step();
  IngressRole.answered(Step, From, std::move(Message));
}

void Node::State::message(const PeerRef &From, Refused &Message) {
  IngressStep Step = step();
  IngressRole.refused(Step, From, Message);
}

void Node::State::message(const PeerRef &From, Failed &Message) {
  IngressStep Step = step();
  IngressRole.failed(Step, From, Message);
}

void Node::State::message(const PeerRef &, Cancel &Message) {
  AdmissionRole.cancel(Now, Message.Call, Out);
}

void Node::State::message(const PeerRef &From, Await &Message) {
  AdmissionRole.await(Now, From, Message, Out);
}

void Node::State::message(const PeerRef &From, Claim &Message) {
  KeyCoordinator.claim(Now, From, Message,
                       Replicated.epochs(Message.Policy.Service), Out);
}

void Node::State::message(const PeerRef &, Granted &Message) {
  IngressStep Step = step();
  IngressRole.granted(Step, Message);
}

void Node::State::message(const PeerRef &, ClaimHeld &Message) {
  IngressStep Step = step();
  IngressRole.claimHeld(Step, Message);
}

void Node::State::message(const PeerRef &, ClaimDone &Message) {
  IngressStep Step = step();
  IngressRole.claimDone(Step, std::move(Message));
}

void Node::State::message(const PeerRef &, ClaimRefused &Message) {
  IngressStep Step = step();
  IngressRole.claimRefused(Step, Message);
}

void Node::State::message(const PeerRef &From, Completed &Message) {
  KeyCoordinator.completed(Now, From, Message);
}

void Node::State::message(const PeerRef &From, Fence &Message) {
  Out.push_back(Count{Counter::Fences});
  KeyCoordinator.fence(Now, From, Message, Replicated.epochs(Message.Service),
                       Executions, Out);
}

void Node::State::message(const PeerRef &From, FenceAck &Message) {
  KeyCoordinator.fenceAck(Now, From, Message,
                          Replicated.epochs(Message.Service));
}

void Node::State::message(const PeerRef &From, Probe &Message) {
  NeighbourLiveness.probe(Now, From, Message, Out);
}

void Node::State::message(const PeerRef &From, ProbeReply &Message) {
  NeighbourLiveness.probeReply(Now, From, Message, Out);
}

void Node::State::message(const PeerRef &From, Subscribe &Message) {
  LogReplication.subscribe(Now, From, Message, Out);
}

void Node::State::message(const PeerRef &From, figsail::Records &Message) {
  LogReplication.records(Now, From, Message, onApplied(), Out);
}

void Node::State::message(const PeerRef &From, Snapshot &Message) {
  if (LogReplication.snapshot(Now, From, Message, Out))
    stateReplaced();
}

void Node::State::message(const PeerRef &, SuspectReport &Message) {
  AdmissionRole.suspectReport(Now, Message);
}

// Only daemons that follow a keyed log send these three messages.
void Node::State::message(const PeerRef &, TopicSubscribe &) {
  Out.emplace_back(Count{Counter::StaleMessages});
}

void Node::State::message(const PeerRef &, TopicUpdate &) {
  Out.emplace_back(Count{Counter::StaleMessages});
}

void Node::State::message(const PeerRef &, TopicPiece &) {
  Out.emplace_back(Count{Counter::StaleMessages});
}

void Node::State::message(const PeerRef &, RolloutReport &) {
  Out.emplace_back(Count{Counter::StaleMessages});
}

void Node::State::message(const PeerRef &, RolloutVerdict &) {
  Out.emplace_back(Count{Counter::StaleMessages});
}

// Only figsail-sidecar has quotas over all daemons.
void Node::State::message(const PeerRef &, QuotaReport &) {
  Out.emplace_back(Count{Counter::StaleMessages});
}

void Node::State::message(const PeerRef &, QuotaReply &) {
  Out.emplace_back(Count{Counter::StaleMessages});
}

void Node::State::message(const PeerRef &, AnswerPiece &) {
  Out.emplace_back(Count{Counter::StaleMessages});
}

/// Reports requests that may crash backend servers to the members of the
/// service.
void Node::State::sendReports() {
  for (const auto &[Report, Regions] : AdmissionRole.takeReports()) {
    for (const auto &[Host, Peer] : Replicated.members()) {
      if (Host == Self.Host || Peer.Service != Settings.Self.Service)
        continue;
      if (!Regions.empty() &&
          std::ranges::find(Regions, Peer.Region) == Regions.end())
        continue;
      Out.push_back(SendPeer{Host, Report});
    }
  }
}

void Node::State::checkDrain() {
  if (!Draining)
    return;
  if (Now >= ExitAt) {
    IngressStep Step = step();
    IngressRole.endAll(Step);
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
                    KeyCoordinator.handedOver(Settings.Self.Service, *History));
  bool Done = HandedOver && AdmissionRole.idle() && IngressRole.inFlight() == 0;
  if (Done)
    ExitAt = Now + ExitDelay;
  else if (Now >= DrainEnds)
    ExitAt = Now;
}

/// Detects a pause of this process and drops the messages that peers sent
/// during it. Returns whether there was one.
bool Node::State::detectPause() {
  bool Paused = Started && Now - LastEvent > PauseLimit;
  LastEvent = Now;
  if (Paused)
    Out.push_back(ResetAllPeers{});
  return Paused;
}

void Node::State::afterEvent() {
  if (!Started) {
    Started = true;
    LogReplication.start(Now, Out);
  }
  if (std::exchange(ServiceMembersChanged, false))
    NeighbourLiveness.membersChanged(Now, Replicated);
  IngressStep Step = step();
  IngressRole.timer(Step);
  AdmissionRole.timer(Now, Out);
  KeyCoordinator.timer(Now, Out);
  LogReplication.timer(Now, Out);
  auto Proposal = NeighbourLiveness.timer(
      Now, Replicated, LogReplication.caughtUp(), AdmissionRole.load(), Out);
  if (Proposal && OwnAppend == 0)
    appendMembership(*Proposal);
  for (SnapshotRecord &Part : LogReplication.dueSnapshot(Now, Seed))
    Out.push_back(AppendLog{NextAppend++, encodeRecord(Part)});
  if (Now >= NextExpiry) {
    NextExpiry = Now + ExpiryInterval;
    Executions.expire(Now);
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
  bool SentBeforePause =
      Impl->detectPause() && std::holds_alternative<PeerReceived>(Input.Body);
  if (!SentBeforePause)
    std::visit([this](auto &Body) { Impl->handle(Body); }, Input.Body);
  Impl->afterEvent();
  return std::move(Impl->Out);
}

TimePoint Node::nextWake() const {
  return std::min(
      {Impl->IngressRole.nextWake(), Impl->AdmissionRole.nextWake(),
       Impl->KeyCoordinator.nextWake(), Impl->LogReplication.nextWake(),
       Impl->NeighbourLiveness.nextWake(), Impl->DrainEnds, Impl->ExitAt});
}

HeadDecision Node::checkHead(std::string_view Method,
                             std::string_view Target) const {
  // Before the configuration is read, a missing route does not mean that the
  // path has none.
  if (!Impl->LogReplication.caughtUp())
    return errorResponse(ErrorKind::NoBackendServer);
  return Impl->IngressRole.checkHead(Impl->Replicated, Method, Target);
}

const ReplicatedState &Node::replicated() const { return Impl->Replicated; }

NodeStatus Node::status() const {
  NodeStatus Status;
  Status.Applied = Impl->Replicated.appliedOffset();
  Status.Listed = Impl->listed();
  Status.InService = Impl->inService();
  Status.Draining = Impl->Draining;
  Status.LogReachable = Impl->LogReplication.logReachable();
  Status.Load = Impl->AdmissionRole.load();
  Status.CallsInFlight = Impl->IngressRole.inFlight();
  Status.CoordinatorRecords = Impl->KeyCoordinator.size();
  Status.ExecutionRecords = Impl->Executions.size();
  return Status;
}

} // namespace figsail
