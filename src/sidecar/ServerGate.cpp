// ServerGate.cpp - Admits calls to the backend server beside this daemon.

#include "ServerGate.h"

#include "DecisionText.h"
#include "RequestIdentity.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// Share of the slots that is used. A backend server slows down when nearly all
/// of its slots are taken, so the last ones cost more than they bring.
static constexpr double UsableSlotShare = 0.8;
/// Shares of the overage that the operator allows on the rate of a cold server:
/// for the steady rate, and for what may come at once. Together below 1, since
/// both may fall into the same second.
static constexpr double ColdRateShare = 0.5;
static constexpr double ColdBurstShare = 0.4;
/// How long a server counts as cold after its failure domain returns, unless it
/// says something else. Longer than the time between two heartbeats.
static constexpr Duration ReturnColdTime = 3s;
/// Probe interval while the server does not accept connections.
static constexpr Duration UnreachableProbe = 250ms;
/// Probe interval otherwise. Bounds how long a server that turned cold between
/// two heartbeats gets the full rate.
static constexpr Duration ProbeInterval = 500ms;
/// Probe interval while calls come but no response tells the load. The speed of
/// a server changes every few hundred milliseconds.
static constexpr Duration LoadProbeInterval = 100ms;
/// Probe interval while calls wait for a slow server to become faster.
static constexpr Duration HeldProbeInterval = 30ms;
/// Without calls for so long the speed is not asked for so often: it will have
/// changed before the next call.
static constexpr Duration LoadProbeTime = 300ms;
/// Ingresses are told when the speed has changed by this factor.
static constexpr double TellFactor = 1.4;
/// Ingresses that have sent nothing for so long are not told.
static constexpr Duration IngressLifetime = 3s;
/// How long a server that an earlier daemon knew is asked for: until its next
/// heartbeat, which may be one interval late.
static constexpr Duration ExpectTime = 3s;
/// A probe without an end by then counts as lost.
static constexpr Duration ProbeLimit = 2s;
/// Heartbeats missed before the server counts as gone. Single ones arrive
/// seconds late.
static constexpr int MissedHeartbeats = 4;
/// Bounds on waiting and running calls. The bytes leave room for as many at the
/// ingress on the smallest host (160 MB).
static constexpr std::size_t MaxCalls = 512;
static constexpr std::size_t MaxHeldBytes = std::size_t{32} * 1024 * 1024;

// Limits.

ServerGate::ServerGate(const SidecarSettings &Settings)
    : Self{Settings.Host, Settings.Inc}, Region(Settings.Region),
      Bounds(Settings.Bounds), ColdTokens(1, 1), Repeats(Settings.Bounds) {}

void ServerGate::configure(const ServiceSettings &Service) {
  Configured = true;
  HealthTarget = Service.HealthTarget;
  MaxConnections = Service.MaxConnections;
  if (Service.ColdPerSecond == ColdPerSecond)
    return;
  ColdPerSecond = Service.ColdPerSecond;
  limitColdRate();
}

void ServerGate::configure(const SidecarBounds &Changed) {
  Bounds = Changed;
  limitColdRate();
  Repeats.configure(Changed);
}

void ServerGate::limitColdRate() {
  double Overage = ColdPerSecond * std::max(0.0, Bounds.ColdOverage - 1);
  ColdTokens.configure(ColdPerSecond + Overage * ColdRateShare,
                       std::max(1.0, Overage * ColdBurstShare));
}

std::uint32_t ServerGate::usableSlots() const {
  auto Usable = static_cast<std::size_t>(Server.slots() * UsableSlotShare);
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

float ServerGate::repeatShare() const {
  if (Runs.empty())
    return 0;
  float Sum = 0;
  for (const auto &[Run, Id] : Runs)
    Sum += Calls.at(Id).Message.RetryFraction;
  return Sum / static_cast<float>(Runs.size());
}

LoadReport ServerGate::load(TimePoint Now) const {
  LoadReport Report;
  bool Open = Server.state() == InstanceState::Ready && !Evacuated &&
              !Stopping && !Unreachable;
  Report.Draining = !Open;
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
      static_cast<double>(Times.overall().count()) * Speed.factor()));
  return Report;
}

void ServerGate::noteLoad(TimePoint Now, const ServerLoad &Load) {
  Speed.note(Now, Load.SlowdownFactor);
  LoadAt = Now;
}

std::vector<HostId> ServerGate::takeListeners(TimePoint Now) {
  double Change = Speed.factor() / ToldSlowdown;
  if (Change < TellFactor && Change > 1 / TellFactor)
    return {};
  ToldSlowdown = Speed.factor();
  std::erase_if(Ingresses, [&](const auto &Entry) {
    return Entry.second + IngressLifetime < Now;
  });
  std::vector<HostId> Hosts;
  for (const auto &[Host, SentAt] : Ingresses)
    Hosts.push_back(Host);
  return Hosts;
}

// Arrival.

std::optional<ErrorKind> ServerGate::checkGate(const Execute &Message) const {
  const std::vector<std::string> &Home = Message.Policy.HomeRegions;
  if (!Home.empty() && std::ranges::find(Home, Region) == Home.end())
    return ErrorKind::WrongRegion;
  if (Stopping || Evacuated || Server.state() == InstanceState::Draining)
    return ErrorKind::Draining;
  if (Server.state() == InstanceState::Absent || Unreachable)
    return ErrorKind::NoBackendServer;
  // The address may have gone to another service. Another instance of the same
  // service is as good as the one that the ingress knows.
  if (Message.Policy.Service != Server.service())
    return ErrorKind::WrongIncarnation;
  return std::nullopt;
}

/// Returns whether One is served before Other: those that can still make their
/// target first, then by priority, then by the nearer target.
bool ServerGate::goesBefore(TimePoint Now, const AdmittedCall &One,
                            const AdmittedCall &Other) const {
  bool OneLate = One.Target <= Now;
  bool OtherLate = Other.Target <= Now;
  if (OneLate != OtherLate)
    return OtherLate;
  if (One.Message.Policy.Priority != Other.Message.Policy.Priority)
    return One.Message.Policy.Priority < Other.Message.Policy.Priority;
  return One.Target < Other.Target;
}

/// Returns how long a call waits behind those that go before it, at a speed of
/// the server.
Duration ServerGate::expectedWait(TimePoint Now, const AdmittedCall &Call,
                                  double Factor) const {
  Duration Ahead{0};
  for (const auto &[Id, Other] : Calls) {
    if (Other.Run != 0 || Id == Call.Message.Call ||
        !goesBefore(Now, Other, Call))
      continue;
    // A held call does not start at the present speed.
    if (isHeld(Now, Other) && Factor == Speed.factor())
      continue;
    Ahead += expectedRun(Other.Message.Policy.Route, Factor);
  }
  std::uint32_t Slots = usableSlots();
  // A full server frees its next slot after about one run over its slots.
  if (running() >= Slots)
    Ahead += expectedRun(Call.Message.Policy.Route, Factor);
  Duration Wait = Ahead / Slots;
  if (!Server.cold(Now))
    return Wait;
  double Missing = static_cast<double>(Waiting) + 1 - ColdTokens.available(Now);
  auto TokenWait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::max(0.0, Missing) / ColdPerSecond));
  return std::max(Wait, TokenWait);
}

/// Load pattern: the speed of a server changes every few hundred milliseconds,
/// a run keeps the speed with which it starts, and an ingress sends so few
/// calls to one server that its news are old. The gate knows, so it passes on
/// what would be late here and would not be at the usual speed.
bool ServerGate::betterElsewhere(TimePoint Now,
                                 const AdmittedCall &Call) const {
  if (!Call.Message.HasAlternative || !Speed.slow())
    return false;
  Duration Usual = Times.expected(Call.Message.Policy.Route);
  Duration Left = Call.Target - Now;
  return Usual <= Left && expectedRun(Call.Message.Policy.Route) > Left;
}

/// Returns until when a call may wait for the server to become faster. Nothing
/// when it is in time at the present speed, or late anyway.
std::optional<TimePoint> ServerGate::holdUntil(TimePoint Now,
                                               const AdmittedCall &Call) const {
  auto Rest = Speed.expectedLeft(Now);
  if (!Rest || Server.cold(Now))
    return std::nullopt;
  Duration Left = std::min(Call.Target, Call.Deadline) - Now;
  Duration Usual = expectedRun(Call.Message.Policy.Route, 1);
  bool InTime = expectedRun(Call.Message.Policy.Route) <= Left;
  bool Late = *Rest + expectedWait(Now, Call, 1) + Usual > Left;
  if (InTime || Late)
    return std::nullopt;
  return Now + Left - Usual;
}

/// With a free slot everything that can make its deadline is admitted, also
/// when it is late already.
std::optional<ErrorKind> ServerGate::checkRoom(TimePoint Now,
                                               const AdmittedCall &Call) const {
  if (Calls.size() >= MaxCalls || HeldBytes + Call.Bytes > MaxHeldBytes)
    return ErrorKind::Overloaded;
  if (betterElsewhere(Now, Call))
    return ErrorKind::ServerSlow;
  Duration Run = expectedRun(Call.Message.Policy.Route);
  if (holdUntil(Now, Call))
    return std::nullopt;
  Duration Wait = expectedWait(Now, Call, Speed.factor());
  if (Wait == Duration(0))
    return Now >= Call.Deadline ? std::optional(ErrorKind::Overloaded)
                                : std::nullopt;
  if (Now + Wait + Run > std::min(Call.Target, Call.Deadline))
    return ErrorKind::Overloaded;
  return std::nullopt;
}

bool ServerGate::otherSuspectRuns(std::uint64_t Fingerprint) const {
  return SuspectRuns.size() > (SuspectRuns.contains(Fingerprint) ? 1U : 0U);
}

/// A suspect runs only where none of other content is running, so that a crash
/// tells which one caused it.
std::optional<ErrorKind>
ServerGate::checkSuspicion(TimePoint Now, const Execute &Message) const {
  Suspicion Doubt = Crashes.check(Now, Message.Fingerprint);
  if (Doubt == Suspicion::Blocked)
    return ErrorKind::Quarantined;
  if (Doubt == Suspicion::Suspect && otherSuspectRuns(Message.Fingerprint))
    return ErrorKind::Overloaded;
  return std::nullopt;
}

void ServerGate::execute(GateStep &Step, const PeerRef &From, Execute Message) {
  CallId Id = Message.Call;
  if (const PeerMessage *Reply = Ended.find(Id)) {
    Step.Out.emplace_back(SendPeer{From.Host, *Reply});
    return;
  }
  if (Calls.contains(Id))
    return;
  if (Ended.forgotten(Id)) {
    Step.Out.emplace_back(SendPeer{
        From.Host, Failed{Id, ErrorKind::OutcomeUnknown, load(Step.Now)}});
    return;
  }
  Ingresses[From.Host] = Step.Now;
  CalledAt = Step.Now;
  Duration Receipt{Message.ReceiptDelayMicros};
  AdmittedCall Call;
  Call.From = From;
  Call.Arrived = Step.Now;
  Call.Deadline = Step.Now + Duration(Message.BudgetMicros);
  Call.Target = Step.Now + Duration(Message.TargetMicros);
  Call.Bytes = messageSize(Message.Request.Headers, Message.Request.Body);
  Call.Message = std::move(Message);
  std::optional<ErrorKind> Reason = checkGate(Call.Message);
  if (!Reason)
    Reason = checkSuspicion(Step.Now, Call.Message);
  if (!Reason)
    Reason = checkRoom(Step.Now, Call);
  if (!Reason && repeats(Call) && !Repeats.takeRepeat(Step.Now))
    Reason = ErrorKind::RetryBudgetSpent;
  if (Reason)
    return refuse(Step, Call, *Reason);
  HeldBytes += Call.Bytes;
  Call.HoldUntil = holdUntil(Step.Now, Call).value_or(TimePoint{});
  Calls.emplace(Id, std::move(Call));
  ++Waiting;
  pump(Step);
  // The ingress otherwise learns of the arrival by the final reply.
  if (Calls.contains(Id))
    Receipts.emplace(Step.Now + Receipt, Id);
  sendReceipts(Step);
}

/// Tells ingresses that their calls have arrived, which have not ended yet.
///
/// Load pattern: many short calls between regions, where each message has a
/// price and most calls end before their receipt is due.
void ServerGate::sendReceipts(GateStep &Step) {
  while (!Receipts.empty() && Receipts.begin()->first <= Step.Now) {
    CallId Id = Receipts.begin()->second;
    Receipts.erase(Receipts.begin());
    auto Found = Calls.find(Id);
    if (Found != Calls.end())
      Step.Out.emplace_back(SendPeer{Found->second.From.Host, Received{Id}});
  }
}

// The server's own reports.

ReportVerdict ServerGate::heartbeat(GateStep &Step,
                                    const ServerHeartbeat &Said) {
  std::string Before = Server.instance();
  std::int64_t BornBefore = Server.bornMillis();
  ReportVerdict Verdict = Server.heartbeat(Step.Now, Said);
  Expected.reset();
  if (!Before.empty() && BornBefore != 0 &&
      (Server.instance() != Before || Server.bornMillis() != BornBefore))
    Crashes.serverLost(Step.Now);
  if (Verdict == ReportVerdict::Changed || Verdict == ReportVerdict::Unchanged)
    Unreachable = false;
  if (Server.state() != InstanceState::Ready)
    refuseWaiting(Step, ErrorKind::Draining);
  pump(Step);
  return Verdict;
}

ReportVerdict ServerGate::leaves(GateStep &Step, const ServerLeaves &Said) {
  ReportVerdict Verdict = Server.leaves(Said);
  if (Server.state() != InstanceState::Ready)
    refuseWaiting(Step, ErrorKind::Draining);
  return Verdict;
}

void ServerGate::evacuate(GateStep &Step, bool Out) {
  if (Out == Evacuated)
    return;
  Evacuated = Out;
  if (Out)
    return refuseWaiting(Step, ErrorKind::Draining);
  Server.coldFor(Step.Now, ReturnColdTime);
  ProbedAt = TimePoint{};
}

void ServerGate::expect(TimePoint Now, KnownServer Known) {
  if (!Server.instance().empty())
    return;
  Expected = std::move(Known);
  ExpectedUntil = Now + ExpectTime;
  ProbedAt = TimePoint{};
}

/// A server that leaves does not say that it is well.
void ServerGate::recoverServer(TimePoint Now, const ServerProbed &Probe) {
  if (!Expected || Probe.Instance.empty())
    return;
  if (Probe.Healthy && Probe.Instance == Expected->Instance)
    Server.recover(Now, *Expected);
  Expected.reset();
}

void ServerGate::probed(GateStep &Step, const ServerProbed &Probe) {
  Probing = false;
  recoverServer(Step.Now, Probe);
  if (Probe.Load)
    noteLoad(Step.Now, *Probe.Load);
  bool Same = !Probe.Instance.empty() && Probe.Instance == Server.instance();
  if (Same)
    Unreachable = false;
  if (Same && Probe.Cold)
    Server.coldFor(Step.Now, *Probe.Cold);
  pump(Step);
}

// Time.

void ServerGate::timer(GateStep &Step) {
  sendReceipts(Step);
  if (Server.expire(Step.Now, Bounds.HeartbeatInterval * MissedHeartbeats)) {
    Decision Line{LogLevel::Warning, "server-silent", {}};
    Line.Fields = {{"instance", Server.instance()},
                   {"silent_ms", millisText(Step.Now - Server.heardAt())}};
    Step.Out.emplace_back(std::move(Line));
    refuseWaiting(Step, ErrorKind::NoBackendServer);
  }
  refuseLate(Step);
  pump(Step);
  if (Expected && Step.Now >= ExpectedUntil)
    Expected.reset();
  bool Asks =
      Server.state() == InstanceState::Ready || (Expected && Configured);
  if (!Asks || Step.Now < nextProbe())
    return;
  Probing = true;
  ProbedAt = Step.Now;
  Step.Out.emplace_back(Count{Counter::Probes});
  Step.Out.emplace_back(ProbeServer{HealthTarget});
}

/// Time between two looks at waiting calls.
static constexpr Duration WaitingCheck = 10ms;

TimePoint ServerGate::nextWake(TimePoint Now) const {
  TimePoint Due = nextServerWake(Now);
  return Receipts.empty() ? Due : std::min(Due, Receipts.begin()->first);
}

TimePoint ServerGate::nextServerWake(TimePoint Now) const {
  if (Waiting > 0)
    return Now + WaitingCheck;
  if (Server.state() == InstanceState::Absent)
    return Expected && Configured ? nextProbe() : TimePoint::max();
  if (Server.state() == InstanceState::Draining)
    return Server.heardAt() + Bounds.HeartbeatInterval * MissedHeartbeats;
  return nextProbe();
}

TimePoint ServerGate::nextProbe() const {
  if (Probing)
    return ProbedAt + ProbeLimit;
  if (Unreachable)
    return ProbedAt + UnreachableProbe;
  TimePoint ForLoad = std::max(ProbedAt, LoadAt) + LoadProbeInterval;
  TimePoint ForCold = ProbedAt + ProbeInterval;
  bool Wanted = ForLoad <= CalledAt + LoadProbeTime;
  if (Speed.slow() && Waiting > 0)
    return std::max(ProbedAt, LoadAt) + HeldProbeInterval;
  return Wanted ? std::min(ForLoad, ForCold) : ForCold;
}

} // namespace figsail
