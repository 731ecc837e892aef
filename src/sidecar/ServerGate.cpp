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
/// A server counts as slow from this factor on its usual duration.
static constexpr double SlowFactor = 1.5;
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
/// Ingresses are told when the speed has changed by this factor.
static constexpr double TellFactor = 1.4;
/// Ingresses that have sent nothing for so long are not told.
static constexpr Duration IngressLifetime = 3s;
/// A probe without an end by then counts as lost.
static constexpr Duration ProbeLimit = 2s;
/// Heartbeats missed before the server counts as gone. Single ones arrive
/// seconds late.
static constexpr int MissedHeartbeats = 4;
/// Final replies are kept this long, for an ingress whose link broke.
static constexpr Duration ReplyLifetime = 10s;
static constexpr std::size_t MaxReplyBytes = std::size_t{8} * 1024 * 1024;
static constexpr std::size_t ReplyOverhead = 200; ///< Bytes kept besides.
/// Memory for the bodies of waiting and running calls.
static constexpr std::size_t MaxCalls = 512;

// Limits.

ServerGate::ServerGate(const SidecarSettings &Settings)
    : Self{Settings.Host, Settings.Inc}, Region(Settings.Region),
      Bounds(Settings.Bounds), ColdTokens(1, 1) {}

void ServerGate::configure(const ServiceSettings &Service) {
  HealthTarget = Service.HealthTarget;
  if (Service.ColdPerSecond == ColdPerSecond)
    return;
  ColdPerSecond = Service.ColdPerSecond;
  limitColdRate();
}

void ServerGate::configure(const SidecarBounds &Changed) {
  Bounds = Changed;
  limitColdRate();
}

void ServerGate::limitColdRate() {
  double Overage = ColdPerSecond * std::max(0.0, Bounds.ColdOverage - 1);
  ColdTokens.configure(ColdPerSecond + Overage * ColdRateShare,
                       std::max(1.0, Overage * ColdBurstShare));
}

std::uint32_t ServerGate::usableSlots() const {
  auto Usable = static_cast<std::uint32_t>(Server.slots() * UsableSlotShare);
  return std::max(1U, Usable);
}

Duration ServerGate::expectedRun(const std::string &Route) const {
  auto Usual = static_cast<double>(Times.expected(Route).count());
  return Duration(static_cast<Duration::rep>(Usual * Slowdown));
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
  Report.UsualTime = Times.overall();
  Report.ServiceTime = Duration(static_cast<Duration::rep>(
      static_cast<double>(Times.overall().count()) * Slowdown));
  return Report;
}

void ServerGate::noteLoad(TimePoint Now, const ServerLoad &Load) {
  Slowdown = Load.SlowdownFactor;
  LoadAt = Now;
}

std::vector<HostId> ServerGate::takeListeners(TimePoint Now) {
  double Change = Slowdown / ToldSlowdown;
  if (Change < TellFactor && Change > 1 / TellFactor)
    return {};
  ToldSlowdown = Slowdown;
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

/// Returns how long a call waits behind those that go before it.
Duration ServerGate::expectedWait(TimePoint Now,
                                  const AdmittedCall &Call) const {
  Duration Ahead{0};
  for (const auto &[Id, Other] : Calls)
    if (Other.Run == 0 && Id != Call.Message.Call &&
        goesBefore(Now, Other, Call))
      Ahead += expectedRun(Other.Message.Policy.Route);
  std::uint32_t Slots = usableSlots();
  // A full server frees its next slot after about one run over its slots.
  if (running() >= Slots)
    Ahead += expectedRun(Call.Message.Policy.Route);
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
  if (!Call.Message.MayGoElsewhere || Slowdown < SlowFactor)
    return false;
  Duration Usual = Times.expected(Call.Message.Policy.Route);
  Duration Left = Call.Target - Now;
  return Usual <= Left && expectedRun(Call.Message.Policy.Route) > Left;
}

/// With a free slot everything that can make its deadline is admitted, also
/// when it is late already.
std::optional<ErrorKind> ServerGate::checkRoom(TimePoint Now,
                                               const AdmittedCall &Call) const {
  if (Calls.size() >= MaxCalls)
    return ErrorKind::Overloaded;
  if (betterElsewhere(Now, Call))
    return ErrorKind::ServerSlow;
  Duration Run = expectedRun(Call.Message.Policy.Route);
  Duration Wait = expectedWait(Now, Call);
  if (Wait == Duration(0))
    return Now >= Call.Deadline ? std::optional(ErrorKind::Overloaded)
                                : std::nullopt;
  if (Now + Wait + Run > std::min(Call.Target, Call.Deadline))
    return ErrorKind::Overloaded;
  return std::nullopt;
}

void ServerGate::execute(GateStep &Step, const PeerRef &From, Execute Message) {
  CallId Id = Message.Call;
  auto Ended = Replies.find(Id);
  if (Ended != Replies.end()) {
    Step.Out.emplace_back(SendPeer{From.Host, Ended->second});
    return;
  }
  if (Calls.contains(Id))
    return;
  Ingresses[From.Host] = Step.Now;
  AdmittedCall Call;
  Call.From = From;
  Call.Deadline = Step.Now + Duration(Message.BudgetMicros);
  Call.Target = Step.Now + Duration(Message.TargetMicros);
  Call.Message = std::move(Message);
  std::optional<ErrorKind> Reason = checkGate(Call.Message);
  if (!Reason)
    Reason = checkRoom(Step.Now, Call);
  if (Reason)
    return refuse(Step, Call, *Reason);
  Calls.emplace(Id, std::move(Call));
  ++Waiting;
  pump(Step);
  // The ingress otherwise learns of the arrival by the final reply.
  if (Calls.contains(Id))
    Step.Out.emplace_back(SendPeer{From.Host, Received{Id}});
}

// Replies.

void ServerGate::reply(GateStep &Step, const PeerRef &To, const CallId &Call,
                       PeerMessage Message) {
  std::size_t Bytes = ReplyOverhead;
  if (const auto *Whole = std::get_if<Answer>(&Message))
    Bytes += messageSize(Whole->Response.Headers, Whole->Response.Body);
  if (Replies.emplace(Call, Message).second) {
    ReplyOrder.push_back({Step.Now, Call, Bytes});
    ReplyBytes += Bytes;
  }
  while (!ReplyOrder.empty() &&
         (ReplyBytes > MaxReplyBytes ||
          ReplyOrder.front().At + ReplyLifetime < Step.Now)) {
    ReplyBytes -= ReplyOrder.front().Bytes;
    Replies.erase(ReplyOrder.front().Call);
    ReplyOrder.pop_front();
  }
  Step.Out.emplace_back(SendPeer{To.Host, std::move(Message)});
}

void ServerGate::refuse(GateStep &Step, const AdmittedCall &Call,
                        ErrorKind Kind) {
  Step.Out.emplace_back(Count{Counter::RunsRefused});
  Decision Line{LogLevel::Info, "gate-refused", {}};
  Line.Fields = {{"call", callText(Call.Message.Call)},
                 {"route", Call.Message.Policy.Route},
                 {"instance", Call.Message.Instance},
                 {"reason", std::string(errorEntry(Kind).Name)},
                 {"running", std::to_string(running())},
                 {"waiting", std::to_string(Waiting)},
                 {"slots", std::to_string(usableSlots())},
                 {"run_ms", millisText(expectedRun(Call.Message.Policy.Route))},
                 {"target_left_ms", millisText(Call.Target - Step.Now)}};
  Step.Out.emplace_back(std::move(Line));
  reply(Step, Call.From, Call.Message.Call,
        Refused{Call.Message.Call, Kind, load(Step.Now)});
}

void ServerGate::refuseWaiting(GateStep &Step, ErrorKind Kind) {
  std::vector<CallId> Refusing;
  for (const auto &[Id, Call] : Calls)
    if (Call.Run == 0)
      Refusing.push_back(Id);
  for (const CallId &Id : Refusing) {
    auto Ended = Calls.extract(Id);
    --Waiting;
    refuse(Step, Ended.mapped(), Kind);
  }
}

/// Refuses what can no longer make its target because more urgent calls took
/// its place.
void ServerGate::refuseLate(GateStep &Step) {
  if (Waiting == 0)
    return;
  std::vector<CallId> Late;
  for (const auto &[Id, Call] : Calls) {
    Duration Run = expectedRun(Call.Message.Policy.Route);
    TimePoint Latest = std::min(Call.Target, Call.Deadline) - Run / 2;
    if (Call.Run == 0 && Step.Now > Latest)
      Late.push_back(Id);
  }
  for (const CallId &Id : Late) {
    auto Ended = Calls.extract(Id);
    --Waiting;
    refuse(Step, Ended.mapped(), ErrorKind::Overloaded);
  }
}

// Runs.

bool ServerGate::mayStart(TimePoint Now) {
  if (running() >= usableSlots())
    return false;
  return !Server.cold(Now) || ColdTokens.take(Now);
}

void ServerGate::pump(GateStep &Step) {
  while (Waiting > 0) {
    AdmittedCall *Next = nullptr;
    for (auto &[Id, Call] : Calls) {
      if (Call.Run != 0)
        continue;
      if (Next == nullptr || goesBefore(Step.Now, Call, *Next))
        Next = &Call;
    }
    if (!mayStart(Step.Now))
      return;
    start(Step, *Next);
  }
}

void ServerGate::start(GateStep &Step, AdmittedCall &Call) {
  Call.Message.Instance = Server.instance();
  Call.Run = ++LastRun;
  Call.Started = Step.Now;
  --Waiting;
  Runs.emplace(Call.Run, Call.Message.Call);
  Step.Out.emplace_back(Count{Counter::RunsStarted});
  Step.Out.emplace_back(RunServer{
      Call.Run, std::move(Call.Message.Request), Call.Message.Instance,
      Call.Deadline - Step.Now, Call.Message.Policy.Idempotent});
}

void ServerGate::serverDone(GateStep &Step, ServerDone Done) {
  auto Found = Runs.find(Done.Run);
  if (Found == Runs.end())
    return;
  auto Ended = Calls.extract(Found->second);
  Runs.erase(Found);
  if (Done.Note.Load)
    noteLoad(Step.Now, *Done.Note.Load);
  AdmittedCall &Call = Ended.mapped();
  if (auto *Response = std::get_if<HttpResponse>(&Done.Result))
    finish(Step, Call, std::move(*Response), Done.Note);
  else
    finish(Step, Call, std::get<BackendError>(Done.Result));
  refuseLate(Step);
  pump(Step);
}

void ServerGate::learn(const AdmittedCall &Call, TimePoint Now, bool Success) {
  Unreachable = false;
  // Fast failures would make the server look fast.
  if (!Success)
    return;
  auto Took = static_cast<double>((Now - Call.Started).count());
  Times.add(Call.Message.Policy.Route,
            Duration(static_cast<Duration::rep>(Took / Slowdown)));
}

void ServerGate::finish(GateStep &Step, const AdmittedCall &Call,
                        HttpResponse Response, const ServerNote &Note) {
  const CallId &Id = Call.Message.Call;
  if (Note.NotExecuted || Note.OtherInstance) {
    Decision Line{LogLevel::Warning, "server-refused", {}};
    Line.Fields = {{"call", callText(Id)},
                   {"instance", Call.Message.Instance},
                   {"status", std::to_string(Response.Status)},
                   {"other_instance", Note.OtherInstance ? "yes" : "no"}};
    Step.Out.emplace_back(std::move(Line));
    return reply(Step, Call.From, Id,
                 Refused{Id, ErrorKind::ServerRefused, load(Step.Now)});
  }
  learn(Call, Step.Now, Response.Status < 500);
  reply(Step, Call.From, Id, Answer{Id, std::move(Response), load(Step.Now)});
}

static std::string_view backendErrorName(BackendError Error) {
  switch (Error) {
  case BackendError::NotSent:
    return "not-sent";
  case BackendError::Broken:
    return "broken";
  case BackendError::Malformed:
    return "malformed";
  case BackendError::TimedOut:
    return "timed-out";
  case BackendError::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

void ServerGate::finish(GateStep &Step, const AdmittedCall &Call,
                        BackendError Error) {
  const CallId &Id = Call.Message.Call;
  Decision Line{LogLevel::Warning, "run-failed", {}};
  Line.Fields = {{"call", callText(Id)},
                 {"route", Call.Message.Policy.Route},
                 {"instance", Call.Message.Instance},
                 {"error", std::string(backendErrorName(Error))},
                 {"after_ms", millisText(Step.Now - Call.Started)}};
  Step.Out.emplace_back(std::move(Line));
  if (Error == BackendError::NotSent) {
    Unreachable = Step.Now < Call.Deadline;
    return reply(Step, Call.From, Id,
                 Refused{Id, ErrorKind::NoBackendServer, load(Step.Now)});
  }
  Step.Out.emplace_back(Count{Counter::RunsFailed});
  ErrorKind Kind = Error == BackendError::TimedOut ? ErrorKind::DeadlineUnknown
                                                   : ErrorKind::BackendFailed;
  reply(Step, Call.From, Id, Failed{Id, Kind, load(Step.Now)});
}

void ServerGate::cancel(GateStep &Step, const CallId &Call) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return;
  AdmittedCall &Known = Found->second;
  if (Known.Run == 0) {
    auto Ended = Calls.extract(Found);
    --Waiting;
    return refuse(Step, Ended.mapped(), ErrorKind::Cancelled);
  }
  // A run that must not be repeated is followed to its end.
  if (!Known.Message.Policy.Idempotent || Known.Cancelled)
    return;
  Known.Cancelled = true;
  Step.Out.emplace_back(CancelRun{Known.Run});
}

void ServerGate::await(GateStep &Step, const PeerRef &From,
                       const Await &Message) {
  const CallId &Id = Message.Call;
  auto Ended = Replies.find(Id);
  if (Ended != Replies.end()) {
    Step.Out.emplace_back(SendPeer{From.Host, Ended->second});
    return;
  }
  if (Calls.contains(Id)) {
    Step.Out.emplace_back(SendPeer{From.Host, Received{Id}});
    return;
  }
  if (Message.Target != Self.Inc) {
    Step.Out.emplace_back(SendPeer{
        From.Host, Failed{Id, ErrorKind::OutcomeUnknown, load(Step.Now)}});
    return;
  }
  // Kept, so that a request that arrives after the question does not run.
  reply(Step, From, Id, Refused{Id, ErrorKind::NeverStarted, load(Step.Now)});
}

// The server's own reports.

ReportVerdict ServerGate::heartbeat(GateStep &Step,
                                    const ServerHeartbeat &Said) {
  ReportVerdict Verdict = Server.heartbeat(Step.Now, Said);
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

void ServerGate::probed(GateStep &Step, const ServerProbed &Probe) {
  Probing = false;
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
  if (Server.expire(Step.Now, Bounds.HeartbeatInterval * MissedHeartbeats)) {
    Decision Line{LogLevel::Warning, "server-silent", {}};
    Line.Fields = {{"instance", Server.instance()},
                   {"silent_ms", millisText(Step.Now - Server.heardAt())}};
    Step.Out.emplace_back(std::move(Line));
    refuseWaiting(Step, ErrorKind::NoBackendServer);
  }
  refuseLate(Step);
  pump(Step);
  if (Server.state() != InstanceState::Ready || Step.Now < nextProbe())
    return;
  Probing = true;
  ProbedAt = Step.Now;
  Step.Out.emplace_back(Count{Counter::Probes});
  Step.Out.emplace_back(ProbeServer{HealthTarget});
}

/// Time between two looks at waiting calls.
static constexpr Duration WaitingCheck = 10ms;

TimePoint ServerGate::nextWake(TimePoint Now) const {
  if (Waiting > 0)
    return Now + WaitingCheck;
  if (Server.state() == InstanceState::Absent)
    return TimePoint::max();
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
  return Ingresses.empty() ? ForCold : std::min(ForLoad, ForCold);
}

} // namespace figsail
