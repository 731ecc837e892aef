// ServerGate.cpp - Arrival of calls, and timers.

#include "ServerGate.h"

#include "DecisionText.h"
#include "RequestIdentity.h"

#include "figsail/DurationLimits.h"

#include <algorithm>
#include <utility>

namespace figsail {

using namespace std::chrono_literals;

/// Fraction of the slots that is used. A backend server slows down when nearly
/// all of its slots are taken, so the last ones cost more throughput than they
/// add.
static constexpr double UsableSlotFraction = 0.8;
/// Fractions of the overage that the operator allows on the rate of a cold
/// server: for the steady rate and for the burst. Their sum is below 1, since
/// both may fall into the same second.
static constexpr double ColdRateFraction = 0.5;
static constexpr double ColdBurstFraction = 0.4;
/// Fraction of the requests that a cold server may get in one second, after
/// which it is probed again.
static constexpr double UncheckedStartFraction = 0.5;
/// Shortest time between two probes that many starts cause.
static constexpr Duration StartsProbeInterval = 20ms;
/// Probe interval while the server does not accept connections.
static constexpr Duration UnreachableProbeInterval = 250ms;
/// Probe interval otherwise. Bounds how long a server that becomes cold between
/// two heartbeats still receives the full rate.
static constexpr Duration ProbeInterval = 500ms;
/// Probe interval while calls arrive but no response reports the load. The
/// speed of a server changes every few hundred milliseconds.
static constexpr Duration LoadProbeInterval = 100ms;
/// Probe interval while calls wait for the end of a slow period.
static constexpr Duration DelayedProbeInterval = 30ms;
/// Time after the last call in which the load is probed often. After that, a
/// reported speed would be outdated before the next call arrives.
static constexpr Duration LoadProbeDuration = 300ms;
/// Change of the speed, as a factor, from which ingresses are notified.
static constexpr double NotifyFactor = 1.4;
/// Ingresses that have sent no call for this long are not notified.
static constexpr Duration IngressLifetime = 3s;
/// A probe without a result by then counts as lost.
static constexpr Duration ProbeTimeout = 2s;
/// Missed heartbeats until the server counts as absent. Single heartbeats
/// arrive seconds late.
static constexpr int MissedHeartbeats = 4;
/// Bounds on waiting and running calls. The ingress on the same host buffers up
/// to as many bytes again; both must fit the smallest host (160 MB).
static constexpr std::size_t MaxCalls = 512;
static constexpr std::size_t MaxBufferedBytes = std::size_t{32} * 1024 * 1024;

// Limits.

ServerGate::ServerGate(const SidecarSettings &Settings)
    : Self{Settings.Host, Settings.Inc}, Region(Settings.Region),
      Bounds(Settings.Bounds), ColdTokens(1, 1), Retries(Settings.Bounds),
      Outgoing(Settings.LinkBytes) {}

void ServerGate::configure(const ServiceSettings &Service) {
  Configured = true;
  HealthTarget = Service.HealthTarget;
  MaxConnections = Service.MaxConnections;
  if (Service.ColdPerSecond == ColdPerSecond)
    return;
  ColdPerSecond = Service.ColdPerSecond;
  configureColdRate();
}

void ServerGate::configure(const SidecarBounds &Changed) {
  Bounds = Changed;
  configureColdRate();
  Retries.configure(Changed);
}

void ServerGate::configureColdRate() {
  double Overage = ColdPerSecond * std::max(0.0, Bounds.ColdOverage - 1);
  ColdTokens.configure(ColdPerSecond + Overage * ColdRateFraction,
                       std::max(1.0, Overage * ColdBurstFraction));
}

/// Returns the number of runs after whose start the server is probed again. It
/// may have become cold since the last probe, and together with those of the
/// cold rate they must stay within what a cold server may get in one second.
std::size_t ServerGate::maxStartsBetweenProbes() const {
  double Allowed = ColdPerSecond * Bounds.ColdOverage + Bounds.ColdSlack;
  return static_cast<std::size_t>(
      std::max(1.0, Allowed * UncheckedStartFraction));
}

/// Takes the runs that started while the server may already have been cold from
/// the tokens of the cold rate.
///
/// Load pattern: a server that gets many requests a second becomes cold between
/// two probes. What it got by then and what the cold rate allows fall into the
/// same second.
void ServerGate::chargeStartsWhileCold(TimePoint Now, bool WasCold) {
  if (Server.cold(Now) && !WasCold)
    ColdTokens.spend(Now, static_cast<double>(StartsSinceProbe));
}

std::uint32_t ServerGate::usableSlots() const {
  auto Usable = static_cast<std::size_t>(Server.slots() * UsableSlotFraction);
  // Each run takes a connection, and a probe one more.
  if (MaxConnections > 1)
    Usable = std::min(Usable, MaxConnections - 1);
  return static_cast<std::uint32_t>(std::max<std::size_t>(1, Usable));
}

Duration ServerGate::expectedRun(const std::string &Route,
                                 double Factor) const {
  auto Usual = static_cast<double>(Times.expected(Route).count());
  return Duration(static_cast<Duration::rep>(Usual * Factor));
}

float ServerGate::retryFraction() const {
  if (Runs.empty())
    return 0;
  float Sum = 0;
  for (const auto &[Run, Id] : Runs)
    Sum += Calls.at(Id).Message.RetryFraction;
  return Sum / static_cast<float>(Runs.size());
}

std::optional<std::uint32_t> ServerGate::mostUrgentRun() const {
  std::optional<std::uint32_t> Most;
  for (const auto &[Run, Id] : Runs) {
    std::uint32_t Priority = Calls.at(Id).Message.Policy.Priority;
    Most = std::min(Most.value_or(Priority), Priority);
  }
  return Most;
}

bool ServerGate::isOpen() const {
  return Server.state() == InstanceState::Ready && !Evacuated && !Stopping &&
         !Unreachable;
}

LoadReport ServerGate::load(TimePoint Now) const {
  LoadReport Report;
  Report.Draining = !isOpen();
  Report.Limit = usableSlots();
  if (Server.cold(Now)) {
    double Busy =
        ColdPerSecond * std::chrono::duration<double>(Times.overall()).count();
    Report.Limit = std::clamp(static_cast<std::uint32_t>(Busy), 1U,
                              std::max(1U, Report.Limit / 2));
  }
  Report.Running = static_cast<std::uint32_t>(running());
  Report.Queued = static_cast<std::uint32_t>(Waiting);
  Report.UsualServiceTime = Times.overall();
  Report.ServiceTime = Duration(static_cast<Duration::rep>(
      static_cast<double>(Times.overall().count()) * Slowdown.factor()));
  Report.TimeToStart = RateLimit.timeToStart(Now, Waiting);
  Report.Notice = notice(Now);
  return Report;
}

void ServerGate::updateLoad(TimePoint Now, const ServerLoad &Load) {
  Slowdown.update(Now, Load.SlowdownFactor);
  LastLoadAt = Now;
}

std::vector<HostId> ServerGate::takeLoadRecipients(TimePoint Now) {
  double Change = Slowdown.factor() / SentSlowdown;
  if (Change < NotifyFactor && Change > 1 / NotifyFactor)
    return {};
  SentSlowdown = Slowdown.factor();
  std::erase_if(Ingresses, [&](const auto &Entry) {
    return Entry.second + IngressLifetime < Now;
  });
  std::vector<HostId> Hosts;
  for (const auto &[Host, SentAt] : Ingresses)
    Hosts.push_back(Host);
  return Hosts;
}

// Arrival.

std::optional<ErrorKind>
ServerGate::checkAvailability(const Execute &Message) const {
  const std::vector<std::string> &Home = Message.Policy.HomeRegions;
  if (!Home.empty() && std::ranges::find(Home, Region) == Home.end())
    return ErrorKind::WrongRegion;
  if (Stopping || Evacuated || Server.state() == InstanceState::Draining)
    return ErrorKind::Draining;
  if (Server.state() == InstanceState::Absent || Unreachable)
    return ErrorKind::NoBackendServer;
  // The address may have been reassigned to another service. Another instance
  // of the same service may run the call.
  if (Message.Policy.Service != Server.service())
    return ErrorKind::WrongIncarnation;
  return std::nullopt;
}

bool ServerGate::precedes(TimePoint Now, const AdmittedCall &One,
                          const AdmittedCall &Other) const {
  return figsail::precedes(Now, {&One.Message, One.Target},
                           {&Other.Message, Other.Target});
}

/// Returns how long a call waits behind the calls that it does not precede, at
/// the given slowdown factor. Of two with the same target, the one that is here
/// already goes first.
Duration ServerGate::expectedWait(TimePoint Now, const AdmittedCall &Call,
                                  double Factor) const {
  Duration Ahead{0};
  std::size_t CallsAhead = 0;
  std::size_t LessUrgent = 0;
  for (const auto &[Id, Other] : Calls) {
    if (Other.Run == 0 && isLessUrgent(Other.Message, Call.Message))
      ++LessUrgent;
    if (Other.Run != 0 || Id == Call.Message.Call || precedes(Now, Call, Other))
      continue;
    ++CallsAhead;
    // A delayed call does not start at the present speed.
    if (isDelayed(Now, Other) && Factor == Slowdown.factor())
      continue;
    Ahead += expectedRun(Other.Message.Policy.Route, Factor);
  }
  if (Turns.inUse()) {
    QueueAhead InTurns = aheadInTurns(Now, describe(Call), waitingCalls(Now));
    CallsAhead = InTurns.Calls;
    Ahead = Duration(
        static_cast<Duration::rep>(static_cast<double>(InTurns.Work.count()) *
                                   Factor / Slowdown.factor()));
  }
  std::uint32_t Slots = usableSlots();
  Duration LimitWait = RateLimit.timeToStart(Now, CallsAhead);
  // With all slots taken, the next one is freed after about the duration of a
  // run divided by the number of slots.
  if (running() >= Slots)
    Ahead += expectedRun(Call.Message.Policy.Route, Factor);
  Duration Wait = std::max<Duration>(Ahead / Slots, LimitWait);
  if (!Server.cold(Now))
    return Wait;
  double Missing =
      static_cast<double>(Waiting - LessUrgent) + 1 - ColdTokens.available(Now);
  // The operator may allow a cold server no requests at all.
  Duration TokenWait = boundedDuration(
      std::chrono::duration<double>(std::max(0.0, Missing) / ColdPerSecond));
  return std::max(Wait, TokenWait);
}

/// Load pattern: the speed of a server changes every few hundred milliseconds,
/// and a run keeps the speed at which it starts. An ingress sends few calls to
/// each server, so its load data is old. The gate has current data and refuses
/// a call that would be late here but in time at the usual speed; its ingress
/// sends it to another server.
bool ServerGate::isFasterElsewhere(TimePoint Now,
                                   const AdmittedCall &Call) const {
  if (!Call.Message.HasAlternative || !Slowdown.isSlow())
    return false;
  Duration Usual = Times.expected(Call.Message.Policy.Route);
  Duration Left = Call.Target - Now;
  return Usual <= Left && expectedRun(Call.Message.Policy.Route) > Left;
}

/// Returns until when a call may wait for the slow period to end. Nothing if
/// the call is in time at the present speed, or late in both cases.
std::optional<TimePoint>
ServerGate::delayUntil(TimePoint Now, const AdmittedCall &Call) const {
  auto Remaining = Slowdown.expectedRemaining(Now);
  if (!Remaining || Server.cold(Now))
    return std::nullopt;
  Duration Left = std::min(Call.Target, Call.Deadline) - Now;
  Duration Usual = expectedRun(Call.Message.Policy.Route, 1);
  bool InTime = expectedRun(Call.Message.Policy.Route) <= Left;
  bool Late = *Remaining + expectedWait(Now, Call, 1) + Usual > Left;
  if (InTime || Late)
    return std::nullopt;
  return Now + Left - Usual;
}

/// Checks whether a call with a large answer would be late because of what the
/// link still has to send: the answers that are queued, and those of the calls
/// that are here. A call that would miss its target for that reason alone goes
/// to another server if there is one.
std::optional<ErrorKind> ServerGate::checkLink(TimePoint Now,
                                               const AdmittedCall &Call,
                                               Duration UntilRunEnds) const {
  std::size_t Bytes = Outgoing.expectedBytes(Call.Message.Policy.Route);
  if (Bytes == 0 || Call.From.Host == Self.Host)
    return std::nullopt;
  TimePoint WithFreeLink = Now + UntilRunEnds + Outgoing.timeAlone(Bytes);
  for (const auto &[Id, Other] : Calls)
    Bytes += Outgoing.expectedBytes(Other.Message.Policy.Route);
  TimePoint End = std::max(WithFreeLink, Now + Outgoing.timeQueued(Now, Bytes));
  if (Call.Message.HasAlternative && End > Call.Target &&
      WithFreeLink <= Call.Target)
    return ErrorKind::ServerSlow;
  if (End > Call.Deadline)
    return ErrorKind::Overloaded;
  return std::nullopt;
}

/// Checks whether a call can be served in time. A call that the server's rate
/// limit would delay is refused at once if another server can take it. With a
/// free slot every call that can meet its deadline is admitted, even after its
/// target.
std::optional<ErrorKind>
ServerGate::checkCapacity(TimePoint Now, const AdmittedCall &Call) const {
  if (isFull(Call) && callsToMakeRoom(Call).empty())
    return ErrorKind::Overloaded;
  if (isFasterElsewhere(Now, Call))
    return ErrorKind::ServerSlow;
  bool Limited = RateLimit.timeToStart(Now, Waiting) > Duration(0);
  if (Limited && Call.Message.HasAlternative)
    return ErrorKind::RateLimited;
  Duration Run = expectedRun(Call.Message.Policy.Route);
  if (delayUntil(Now, Call))
    return std::nullopt;
  Duration Wait = expectedWait(Now, Call, Slowdown.factor());
  if (auto Reason = checkLink(Now, Call, Wait + Run))
    return Reason;
  if (Wait == Duration(0))
    return Now >= Call.Deadline ? std::optional(ErrorKind::Overloaded)
                                : std::nullopt;
  if (Now + Wait + Run > std::min(Call.Target, Call.Deadline))
    return Limited ? ErrorKind::RateLimited : ErrorKind::Overloaded;
  return std::nullopt;
}

bool ServerGate::isFull(const AdmittedCall &Call) const {
  return Calls.size() >= MaxCalls ||
         BufferedBytes + Call.Bytes > MaxBufferedBytes;
}

/// Returns the waiting calls to refuse so that New can be admitted to a full
/// gate; none if that is not possible.
std::vector<CallId> ServerGate::callsToMakeRoom(const AdmittedCall &New) const {
  WaitingCalls Candidates = waitingCalls(New.Arrived);
  std::vector<CallId> Displaced;
  std::size_t Bytes = BufferedBytes + New.Bytes;
  while (Calls.size() - Displaced.size() >= MaxCalls ||
         Bytes > MaxBufferedBytes) {
    const WaitingCall *Victim = leastValuable(New.Message, Candidates);
    if (Victim == nullptr)
      return {};
    Displaced.push_back(Victim->Message->Call);
    Bytes -= Calls.at(Displaced.back()).Bytes;
    Candidates.erase(Candidates.begin() + (Victim - Candidates.data()));
  }
  return Displaced;
}

bool ServerGate::isOtherSuspectRunning(std::uint64_t Fingerprint) const {
  return SuspectRuns.size() > (SuspectRuns.contains(Fingerprint) ? 1U : 0U);
}

/// A suspect runs only while no suspect of other content is running, so that a
/// crash identifies the request that caused it.
std::optional<ErrorKind>
ServerGate::checkSuspicion(TimePoint Now, const Execute &Message) const {
  Suspicion Level = Crashes.check(Now, Message.Fingerprint);
  if (Level == Suspicion::Blocked ||
      Blocked.contains(Now, Server.service(), Message.Fingerprint))
    return ErrorKind::Quarantined;
  if (Level == Suspicion::Suspect && isOtherSuspectRunning(Message.Fingerprint))
    return ErrorKind::Overloaded;
  return std::nullopt;
}

void ServerGate::execute(GateStep &Step, const PeerRef &From, Execute Message) {
  CallId Id = Message.Call;
  if (const PeerMessage *Reply = Replies.find(Id)) {
    Step.Out.emplace_back(SendPeer{From.Host, *Reply});
    return;
  }
  if (Calls.contains(Id))
    return;
  if (Replies.mayBeEvicted(Id)) {
    Step.Out.emplace_back(SendPeer{
        From.Host, Failed{Id, ErrorKind::OutcomeUnknown, load(Step.Now)}});
    return;
  }
  if (Message.Notice)
    applyNotice(Step, *Message.Notice);
  Ingresses[From.Host] = Step.Now;
  LastCallAt = Step.Now;
  Duration Receipt{Message.ReceiptDelayMicros};
  AdmittedCall Call;
  Call.From = From;
  Call.Arrived = Step.Now;
  Call.Deadline = Step.Now + Duration(Message.BudgetMicros);
  Call.Target = Step.Now + Duration(Message.TargetMicros);
  Call.Bytes = messageSize(Message.Request.Headers, Message.Request.Body);
  Call.Message = std::move(Message);
  std::optional<ErrorKind> Reason = checkAvailability(Call.Message);
  if (!Reason && !Rollout.admits(Step.Now, Waiting))
    Reason = ErrorKind::RolloutClosed;
  if (!Reason)
    Reason = checkSuspicion(Step.Now, Call.Message);
  if (!Reason)
    Reason = checkCapacity(Step.Now, Call);
  if (!Reason && !endsBeforeStop(Step.Now, Call))
    Reason = ErrorKind::Draining;
  if (!Reason && isRetry(Call) && !Retries.takeRetry(Step.Now))
    Reason = ErrorKind::RetryBudgetSpent;
  if (Reason)
    return refuse(Step, Call, *Reason);
  if (isFull(Call))
    displace(Step, callsToMakeRoom(Call), Id);
  BufferedBytes += Call.Bytes;
  Call.DelayedUntil = delayUntil(Step.Now, Call).value_or(TimePoint{});
  Turns.add(Call.Message, Call.Deadline);
  Calls.emplace(Id, std::move(Call));
  ++Waiting;
  startWaiting(Step);
  displaceOvertaken(Step, Id);
  // For a call that has already ended, the final reply confirms the arrival.
  if (Calls.contains(Id))
    ReceiptsDue.emplace(Step.Now + Receipt, Id);
  sendReceipts(Step);
}

/// Sends the receipts that are due, for calls that have not ended yet.
///
/// Load pattern: many short calls between regions, where each message has a
/// cost and most calls end before their receipt is due.
void ServerGate::sendReceipts(GateStep &Step) {
  while (!ReceiptsDue.empty() && ReceiptsDue.begin()->first <= Step.Now) {
    CallId Id = ReceiptsDue.begin()->second;
    ReceiptsDue.erase(ReceiptsDue.begin());
    auto Found = Calls.find(Id);
    if (Found != Calls.end())
      Step.Out.emplace_back(SendPeer{Found->second.From.Host, Received{Id}});
  }
}

// Timers.

void ServerGate::timer(GateStep &Step) {
  sendReceipts(Step);
  if (Server.expire(Step.Now, Bounds.HeartbeatInterval * MissedHeartbeats)) {
    Decision Line{LogLevel::Warning, "server-silent", {}};
    Line.Fields = {{"instance", Server.instance()},
                   {"silent_ms", millisText(Step.Now - Server.lastReportAt())}};
    Step.Out.emplace_back(std::move(Line));
    refuseWaiting(Step, ErrorKind::NoBackendServer);
  }
  refuseLate(Step);
  refuseBeyondStop(Step);
  startWaiting(Step);
  if (Step.Now >= ExpectedUntil) {
    ExpectedServer.reset();
    FirstReport.reset();
  }
  bool ShouldProbe =
      Server.state() == InstanceState::Ready || (expectsServer() && Configured);
  if (!ShouldProbe || Step.Now < nextProbe())
    return;
  Probing = true;
  LastProbeAt = Step.Now;
  Step.Out.emplace_back(Count{Counter::Probes});
  Step.Out.emplace_back(ProbeServer{HealthTarget});
}

/// Interval at which waiting calls are checked.
static constexpr Duration WaitingCheckInterval = 10ms;

TimePoint ServerGate::nextWake(TimePoint Now) const {
  TimePoint Due = nextServerWake(Now);
  return ReceiptsDue.empty() ? Due : std::min(Due, ReceiptsDue.begin()->first);
}

TimePoint ServerGate::nextServerWake(TimePoint Now) const {
  if (Waiting > 0)
    return Now + WaitingCheckInterval;
  if (Server.state() == InstanceState::Absent)
    return expectsServer() && Configured ? nextProbe() : TimePoint::max();
  if (Server.state() == InstanceState::Draining)
    return Server.lastReportAt() + Bounds.HeartbeatInterval * MissedHeartbeats;
  return nextProbe();
}

TimePoint ServerGate::nextProbe() const {
  if (Probing)
    return LastProbeAt + ProbeTimeout;
  if (Unreachable)
    return LastProbeAt + UnreachableProbeInterval;
  if (RateLimit.perSecond())
    return LastProbeAt + RateLimit.probeInterval();
  TimePoint ForLoad = std::max(LastProbeAt, LastLoadAt) + LoadProbeInterval;
  TimePoint ForCold = LastProbeAt + ProbeInterval;
  if (StartsSinceProbe >= maxStartsBetweenProbes())
    ForCold = LastProbeAt + StartsProbeInterval;
  bool LoadWanted = ForLoad <= LastCallAt + LoadProbeDuration;
  if (Slowdown.isSlow() && Waiting > 0)
    return std::max(LastProbeAt, LastLoadAt) + DelayedProbeInterval;
  return LoadWanted ? std::min(ForLoad, ForCold) : ForCold;
}

} // namespace figsail
