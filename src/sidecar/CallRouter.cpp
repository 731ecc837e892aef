// CallRouter.cpp - Calls of clients, from arrival to the one answer.

#include "CallRouter.h"

#include "DecisionText.h"

#include "figsail/Epoch.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace figsail {

using namespace std::chrono_literals;

/// The daemon beside the server confirms at once, but may be busy with a fifth
/// of a core.
static constexpr Duration ConfirmTimeout = 200ms;
/// The same in another region, where opening a link takes two round trips of
/// 60 ms and the request itself another one.
static constexpr Duration RemoteConfirmTimeout = 400ms;
/// A confirmed call is asked after at this interval, so that a link which went
/// silent is noticed.
static constexpr Duration RunningCheckInterval = 500ms;
/// Questions without a reply before the daemon counts as unreachable.
static constexpr std::uint32_t MaxSilentChecks = 2;
/// Refusals by daemons before the client is told: by then the views of load are
/// of little use, and the client waits.
static constexpr std::uint32_t MaxRefusals = 3;
/// Bound on the requests that are held for repeats. Leaves room for as many at
/// the gate on the smallest host (160 MB).
static constexpr std::size_t MaxHeldBytes = std::size_t{32} * 1024 * 1024;
/// Time limit of a call when neither client nor route says one.
static constexpr Duration DefaultTimeout = 30s;
/// Bounds of the time after which a refused client returns.
static constexpr Duration MinReturn = 30ms;
static constexpr Duration MaxReturn = 1s;
/// A client is told to return within this share of its time, since clients
/// give up on later ones.
static constexpr double MaxReturnShare = 1.0 / 3;
/// A server that fails within this share of the usual run is itself at fault.
static constexpr double OwnFaultShare = 0.5;

CallRouter::CallRouter(const SidecarSettings &Settings)
    : Self{Settings.Host, Settings.Inc},
      CallingService(Settings.Service), Here{Settings.Region,
                                             Settings.FailureDomain},
      Selector(Settings.Host, Here, makeShortestExpectedTime()),
      Link(Settings.RegionLinkBytes) {}

// Calls.

CallRouter::Call *CallRouter::find(const CallId &Id, const PeerRef &From) {
  if (Id.Ingress != Self.Inc)
    return nullptr;
  auto Found = ByAttempt.find(Id.Sequence);
  if (Found == ByAttempt.end())
    return nullptr;
  Call &Current = Calls.at(Found->second);
  return Current.Executor.Host == From.Host ? &Current : nullptr;
}

void CallRouter::wakeAt(Call &Current, TimePoint At) {
  WakeOrder.erase({Current.WakeAt, Current.Number});
  Current.WakeAt = std::min(At, Current.Deadline);
  WakeOrder.insert({Current.WakeAt, Current.Number});
}

void CallRouter::forget(Call &Current) {
  std::uint64_t Number = Current.Number;
  HeldBytes -= Current.Bytes;
  WakeOrder.erase({Current.WakeAt, Number});
  ByAttempt.erase(Current.Id.Sequence);
  ByCaller.erase(Current.Caller);
  Calls.erase(Number);
}

/// Ends a request that does not become a call.
void CallRouter::refuseArrival(RouterStep &Step, const ClientRequest &Arrived,
                               ErrorKind Kind, TimePoint Deadline) {
  Decision Line{LogLevel::Warning, "call-unrouted", {}};
  Line.Fields = {
      {"id", Arrived.Id},
      {"host", Arrived.Host},
      {"reason", std::string(errorEntry(Kind).Name)},
      {"version", Step.Config ? std::to_string(Step.Config->Version) : "none"},
      {"held_bytes", std::to_string(HeldBytes)}};
  Step.Out.emplace_back(std::move(Line));
  Step.Out.emplace_back(Count{Counter::CallsRefused});
  Step.Out.emplace_back(CountRefusal{RefusedBy::Ingress, Kind});
  Step.Out.emplace_back(
      ReplyCaller{Arrived.Caller, refusal(Step, Kind, Deadline, Duration(0))});
}

/// Returns the same hash for repeats of one request, whichever client and
/// daemon they come from. Callers are told apart by the service beside them.
static std::uint64_t fingerprintOf(const std::string &CallingService,
                                   const std::string &Host,
                                   const HttpRequest &Request) {
  std::uint64_t Hash = hashText(CallingService);
  Hash = hashText(Host, Hash);
  Hash = hashText(Request.Method, Hash);
  Hash = hashText(Request.Target, Hash);
  return hashText(Request.Body, Hash);
}

void CallRouter::request(RouterStep &Step, ClientRequest Arrived) {
  Step.Out.emplace_back(Count{Counter::Calls});
  RoutePtr Route;
  if (Step.Config)
    Route = Step.Config->find(Arrived.Host, Arrived.Request.Target);
  Duration Limit = Arrived.Patience.value_or(DefaultTimeout);
  if (!Route)
    return refuseArrival(Step, Arrived,
                         Step.Config ? ErrorKind::NoRoute
                                     : ErrorKind::NoBackendServer,
                         Step.Now + Limit);
  std::size_t Bytes =
      messageSize(Arrived.Request.Headers, Arrived.Request.Body);
  if (HeldBytes + Bytes > MaxHeldBytes)
    return refuseArrival(Step, Arrived, ErrorKind::Overloaded,
                         Step.Now + Limit);
  HeldBytes += Bytes;
  std::uint64_t Number = NextNumber++;
  Call &New = Calls[Number];
  New.Number = Number;
  New.Caller = Arrived.Caller;
  New.ClientId = std::move(Arrived.Id);
  New.Request = std::move(Arrived.Request);
  New.Bytes = Bytes;
  New.Service = Splits.next(*Route);
  UsedServices.insert(New.Service);
  New.Fingerprint = fingerprintOf(CallingService, Arrived.Host, New.Request);
  New.Arrived = Step.Now;
  // A client that has waited elsewhere before says so by a shorter patience.
  Duration Spent = std::max(Duration(0), Route->Timeout - Limit);
  New.Target = Step.Now + Route->TargetLatency - Spent;
  New.Deadline = Step.Now + std::min(Limit, Route->Timeout);
  New.Route = std::move(Route);
  ByCaller[New.Caller] = Number;
  New.RetryFraction = static_cast<float>(
      Step.RetryFraction * Origins.arrived(Step.Now, New.Route->Name));
  advance(Step, New);
}

void CallRouter::callerGone(RouterStep &Step, CallerId Caller) {
  auto Found = ByCaller.find(Caller);
  if (Found == ByCaller.end())
    return;
  Call &Current = Calls.at(Found->second);
  if (!Current.Executor.Host.empty())
    Step.Out.emplace_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
  settle(Step, Current, true, nullptr);
  logEnd(Step, Current, HttpResponse{}, "client-gone");
  forget(Current);
}

// Choice.

const Member *CallRouter::choose(RouterStep &Step, const Call &Current) {
  std::vector<const Member *> Eligible;
  const std::vector<std::string> &Home = Current.Route->HomeRegions;
  for (const Member &Who : Step.Directory.ready(Current.Service)) {
    if (Step.Evacuated.contains(Who.FailureDomain) ||
        Step.Peers.suspected(Who.Host))
      continue;
    if (!Home.empty() && std::ranges::find(Home, Who.Region) == Home.end())
      continue;
    Eligible.push_back(&Who);
  }
  if (Eligible.empty())
    return nullptr;
  CallEstimate Outlook;
  Outlook.UsualRunTime = Times.expected(Current.Route->Name);
  Outlook.TimeToTarget = Current.Target - Step.Now;
  return Selector.choose(Step.Now, Eligible, Current.Tried,
                         Link.available(Step.Now), Step.Seed, Outlook);
}

void CallRouter::advance(RouterStep &Step, Call &Current) {
  if (Step.Now >= Current.Deadline)
    return deadlinePassed(Step, Current);
  const Member *To =
      Current.Refusals < MaxRefusals ? choose(Step, Current) : nullptr;
  if (To)
    return send(Step, Current, *To, true);
  if (const Member *Slow = chooseSlow(Step, Current))
    return send(Step, Current, *Slow, false);
  if (Current.Spare)
    return deliver(Step, Current, std::move(*Current.Spare));
  fail(Step, Current, Current.LastError);
}

/// Returns a server that would have taken the call but for its speed, or null.
const Member *CallRouter::chooseSlow(RouterStep &Step, Call &Current) {
  while (!Current.Slow.empty()) {
    HostId Host = std::move(Current.Slow.back());
    Current.Slow.pop_back();
    for (const Member &Who : Step.Directory.ready(Current.Service))
      if (Who.Host == Host && !Step.Peers.suspected(Host) &&
          !Step.Evacuated.contains(Who.FailureDomain))
        return &Who;
  }
  return nullptr;
}

void CallRouter::send(RouterStep &Step, Call &Current, const Member &To,
                      bool HasAlternative) {
  ByAttempt.erase(Current.Id.Sequence);
  Current.Id = {Self.Inc, NextSequence++};
  ByAttempt[Current.Id.Sequence] = Current.Number;
  Current.Executor = {To.Host, To.Inc};
  Current.Instance = Step.Directory.find(To.Host)->Instance;
  Current.Confirmed = false;
  Current.Asking = false;
  Current.SilentChecks = 0;
  Current.Outstanding = true;
  Current.SentAt = Step.Now;
  Selector.callSent(Step.Now, To.Host);
  if (To.FailureDomain != Here.FailureDomain)
    Step.Out.emplace_back(Count{Counter::CrossDomain});
  if (To.Region != Here.Region) {
    std::size_t Bytes =
        messageSize(Current.Request.Headers, Current.Request.Body);
    Link.sent(Step.Now, Bytes);
    Step.Out.emplace_back(Count{Counter::CrossRegion});
    Step.Out.emplace_back(Count{Counter::CrossRegionBytes, Bytes});
  }
  Execute Message;
  Message.Call = Current.Id;
  Message.Target = To.Inc;
  Message.Policy.Route = Current.Route->Name;
  Message.Policy.Service = Current.Service;
  Message.Policy.HomeRegions = Current.Route->HomeRegions;
  Message.Policy.Idempotent = Current.Route->Idempotent;
  Message.Policy.Priority = Current.Route->Priority;
  Message.BudgetMicros = (Current.Deadline - Step.Now).count();
  Message.Fingerprint = Current.Fingerprint;
  Message.TargetMicros = (Current.Target - Step.Now).count();
  Message.Instance = Current.Instance;
  Message.RetryFraction = Current.Servers > 0 ? 1 : Current.RetryFraction;
  if (Current.Servers > 0)
    Step.Out.emplace_back(Count{Counter::Retries});
  // A refusal from another region costs a round trip, and so does the next try.
  Duration Detour =
      To.Region == Here.Region ? Duration(0) : 2 * Here.RegionRoundTrip;
  bool InTime =
      Step.Now + Detour + Times.expected(Current.Route->Name) < Current.Target;
  Message.HasAlternative =
      HasAlternative && InTime &&
      Step.Directory.ready(Current.Service).size() > Current.Tried.size() + 1;
  Message.ReceiptDelayMicros = receiptTime(To.Region != Here.Region);
  Message.Request = Current.Request;
  Step.Out.emplace_back(SendPeer{To.Host, std::move(Message)});
  Current.Remote = To.Region != Here.Region;
  wakeAt(Current, Step.Now + confirmTimeout(Current));
}

/// A quarter of the time after which silence counts as a loss. Many calls have
/// ended by then and need no receipt, and a host with a fifth of a core still
/// sends it in time.
std::uint32_t CallRouter::receiptTime(bool Remote) {
  Duration Timeout = Remote ? RemoteConfirmTimeout : ConfirmTimeout;
  return static_cast<std::uint32_t>((Timeout / 4).count());
}

Duration CallRouter::confirmTimeout(const Call &Current) {
  return Current.Remote ? RemoteConfirmTimeout : ConfirmTimeout;
}

// Replies of daemons.

void CallRouter::received(RouterStep &Step, const PeerRef &From,
                          const CallId &Id) {
  Call *Current = find(Id, From);
  if (!Current)
    return;
  Current->Confirmed = true;
  Current->Asking = false;
  Current->SilentChecks = 0;
  wakeAt(*Current, Step.Now + RunningCheckInterval);
}

void CallRouter::answered(RouterStep &Step, const PeerRef &From,
                          Answer Message) {
  Call *Current = find(Message.Call, From);
  if (!Current) {
    Step.Out.emplace_back(Count{Counter::StaleMessages});
    return;
  }
  const Announcement *Who = Step.Directory.find(From.Host);
  if (Who && Who->Region != Here.Region)
    Link.received(Step.Now,
                  messageSize(Message.Response.Headers, Message.Response.Body));
  bool Success = Message.Response.Status < 500;
  bool OwnFault = runShare(*Current, Step.Now, Message.Load) < OwnFaultShare;
  if (Success)
    learn(*Current, Step.Now, Message.Load);
  settle(Step, *Current, Success, &Message.Load);
  ++Current->Servers;
  Current->MayHaveRun = true;
  if (Success || !Current->Route->Idempotent || !OwnFault)
    return deliver(Step, *Current, std::move(Message.Response));
  Current->Spare = std::move(Message.Response);
  retryAfterRun(Step, *Current, ErrorKind::BackendFailed);
}

/// Returns the duration of the present attempt at the usual speed of the
/// server.
Duration CallRouter::usualRun(const Call &Current, TimePoint Now,
                              const LoadReport &Load) const {
  Duration Took = Now - Current.SentAt;
  if (Current.Remote)
    Took -= std::min(Took, Here.RegionRoundTrip);
  double Factor = 1;
  if (Load.UsualServiceTime > Duration(0) && Load.ServiceTime > Duration(0))
    Factor = static_cast<double>(Load.ServiceTime.count()) /
             static_cast<double>(Load.UsualServiceTime.count());
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Took.count()) / Factor));
}

void CallRouter::learn(const Call &Current, TimePoint Now,
                       const LoadReport &Load) {
  Times.add(Current.Route->Name, usualRun(Current, Now, Load));
}

/// Returns how long the present attempt took, over the usual time.
///
/// Load pattern: a service fails a part of its calls, and the runs that made
/// them fail in turn. Such a run fails late; to repeat it would repeat its
/// calls and spend the retry budget of the service that is short.
double CallRouter::runShare(const Call &Current, TimePoint Now,
                            const LoadReport &Load) const {
  return static_cast<double>(usualRun(Current, Now, Load).count()) /
         static_cast<double>(Times.expected(Current.Route->Name).count());
}

void CallRouter::refused(RouterStep &Step, const PeerRef &From,
                         const Refused &Message) {
  Call *Current = find(Message.Call, From);
  if (!Current) {
    Step.Out.emplace_back(Count{Counter::StaleMessages});
    return;
  }
  // For a question, a new incarnation does not know what the old one did.
  bool Restarted = Current->Executor.Inc != From.Inc &&
                   Message.Kind != ErrorKind::WrongIncarnation;
  if (Current->Asking && Restarted)
    return executorLost(Step, *Current, false);
  if (Current->Outstanding)
    Selector.callRefused(Step.Now, From.Host, Message.Load);
  // A server that refuses what its daemon admits is at fault; it would look
  // idle and attract all work.
  settle(Step, *Current, Message.Kind != ErrorKind::ServerRefused,
         &Message.Load);
  Current->Tried.push_back(From.Host);
  // Other statuses than 503 would tell the client that a repeat is of no use.
  Current->LastError = errorEntry(Message.Kind).Status == 503
                           ? Message.Kind
                           : ErrorKind::NoBackendServer;
  Current->BusyFor = Message.Load.ServiceTime * (Message.Load.Queued + 1) /
                     std::max(1U, Message.Load.Limit);
  if (Message.Kind == ErrorKind::ServerSlow)
    Current->Slow.push_back(From.Host);
  if (Message.Kind == ErrorKind::Quarantined)
    return fail(Step, *Current, Message.Kind);
  if (Message.Kind == ErrorKind::RetryBudgetSpent)
    Step.Out.emplace_back(Count{Counter::RetriesDenied});
  if (Message.Kind != ErrorKind::ServerRefused) {
    ++Current->Refusals;
    return advance(Step, *Current);
  }
  ++Current->Servers;
  if (!mayRepeat(*Current))
    return fail(Step, *Current, Message.Kind);
  advance(Step, *Current);
}

void CallRouter::failed(RouterStep &Step, const PeerRef &From,
                        const Failed &Message) {
  Call *Current = find(Message.Call, From);
  if (!Current) {
    Step.Out.emplace_back(Count{Counter::StaleMessages});
    return;
  }
  settle(Step, *Current, false, &Message.Load);
  ++Current->Servers;
  Current->MayHaveRun = true;
  if (!Current->Route->Idempotent)
    return fail(Step, *Current,
                Message.Kind == ErrorKind::DeadlineUnknown
                    ? Message.Kind
                    : ErrorKind::OutcomeUnknown);
  retryAfterRun(Step, *Current, Message.Kind);
}

/// The gate beside the next server holds the retry budget.
bool CallRouter::mayRepeat(const Call &Current) {
  return Current.Servers < Current.Route->MaxServers;
}

/// Tries another server after one that may have run the call.
void CallRouter::retryAfterRun(RouterStep &Step, Call &Current, ErrorKind Why) {
  Current.Tried.push_back(Current.Executor.Host);
  Current.LastError = Why;
  if (Step.Now < Current.Deadline && mayRepeat(Current))
    return advance(Step, Current);
  if (Current.Spare)
    return deliver(Step, Current, std::move(*Current.Spare));
  fail(Step, Current, Why);
}

// Lost daemons.

void CallRouter::peerLost(RouterStep &Step, const PeerLost &Lost) {
  Step.Peers.lost(Step.Now, Lost.Host, Step.Out);
  Selector.linkLost(Step.Now, Lost.Host);
  std::vector<CallId> Unsent;
  for (const PeerMessage &Message : Lost.Unsent)
    if (const auto *Sent = std::get_if<Execute>(&Message))
      Unsent.push_back(Sent->Call);
  std::vector<std::uint64_t> Affected;
  for (const auto &[Number, Current] : Calls)
    if (Current.Executor.Host == Lost.Host)
      Affected.push_back(Number);
  for (std::uint64_t Number : Affected) {
    auto Found = Calls.find(Number);
    if (Found == Calls.end())
      continue;
    bool Never = std::ranges::find(Unsent, Found->second.Id) != Unsent.end();
    executorLost(Step, Found->second, Never);
  }
}

/// The daemon of a call cannot be reached. What may have run must not run
/// again unless it is idempotent; the daemon is asked over a new link.
void CallRouter::executorLost(RouterStep &Step, Call &Current, bool Unsent) {
  if (Unsent) {
    settle(Step, Current, false, nullptr);
    Current.Tried.push_back(Current.Executor.Host);
    Current.LastError = ErrorKind::NoBackendServer;
    ++Current.Refusals;
    return advance(Step, Current);
  }
  if (Current.Route->Idempotent) {
    // The request may still arrive there, or run for nobody.
    Step.Out.emplace_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
    settle(Step, Current, false, nullptr);
    ++Current.Servers;
    Current.MayHaveRun = true;
    return retryAfterRun(Step, Current, ErrorKind::BackendFailed);
  }
  if (Current.SilentChecks < MaxSilentChecks)
    return ask(Step, Current);
  settle(Step, Current, false, nullptr);
  fail(Step, Current, ErrorKind::OutcomeUnknown);
}

void CallRouter::ask(RouterStep &Step, Call &Current) {
  Current.Asking = true;
  ++Current.SilentChecks;
  Step.Out.emplace_back(
      SendPeer{Current.Executor.Host,
               Await{Current.Id, std::nullopt, Current.Executor.Inc}});
  wakeAt(Current, Step.Now + confirmTimeout(Current));
}

/// A confirmed call is asked after; an unconfirmed one, or a question without a
/// reply, means that the link is silent.
void CallRouter::checkSilence(RouterStep &Step, Call &Current) {
  if (Current.Confirmed && !Current.Asking)
    return ask(Step, Current);
  Decision Line{LogLevel::Warning, "peer-silent", {}};
  Line.Fields = {{"id", Current.ClientId},
                 {"peer", Current.Executor.Host},
                 {"checks", std::to_string(Current.SilentChecks)}};
  Step.Out.emplace_back(std::move(Line));
  Step.Out.emplace_back(ResetPeer{Current.Executor.Host});
  Step.Peers.lost(Step.Now, Current.Executor.Host, Step.Out);
  Selector.linkLost(Step.Now, Current.Executor.Host);
  executorLost(Step, Current, false);
}

void CallRouter::timer(RouterStep &Step) {
  while (!WakeOrder.empty() && WakeOrder.begin()->first <= Step.Now) {
    Call &Current = Calls.at(WakeOrder.begin()->second);
    if (Step.Now >= Current.Deadline)
      deadlinePassed(Step, Current);
    else
      checkSilence(Step, Current);
  }
}

TimePoint CallRouter::nextWake() const {
  return WakeOrder.empty() ? TimePoint::max() : WakeOrder.begin()->first;
}

// Ends.

void CallRouter::deadlinePassed(RouterStep &Step, Call &Current) {
  if (Current.Outstanding && Current.Route->Idempotent)
    Step.Out.emplace_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
  Current.MayHaveRun = Current.MayHaveRun || Current.Outstanding;
  settle(Step, Current, false, nullptr);
  fail(Step, Current,
       Current.MayHaveRun ? ErrorKind::DeadlineUnknown : ErrorKind::Overloaded);
}

void CallRouter::settle(RouterStep &Step, Call &Current, bool Success,
                        const LoadReport *Load) {
  if (!Current.Outstanding)
    return;
  Current.Outstanding = false;
  Selector.callEnded(Step.Now, Current.Executor.Host, Success, Load);
}

void CallRouter::deliver(RouterStep &Step, Call &Current,
                         HttpResponse Response) {
  Step.Out.emplace_back(Count{Counter::CallsAnswered});
  logEnd(Step, Current, Response, "answered");
  Step.Out.emplace_back(ReplyCaller{Current.Caller, std::move(Response)});
  forget(Current);
}

/// Ends a call with an answer of its own. A call that may have run is never
/// called "not run".
void CallRouter::fail(RouterStep &Step, Call &Current, ErrorKind Kind) {
  if (Current.MayHaveRun && errorEntry(Kind).Run == RunState::No)
    Kind = ErrorKind::BackendFailed;
  bool Known = errorEntry(Kind).Run == RunState::No;
  Step.Out.emplace_back(
      Count{Known ? Counter::CallsRefused : Counter::CallsUnknown});
  Step.Out.emplace_back(CountRefusal{RefusedBy::Ingress, Kind});
  HttpResponse Response =
      refusal(Step, Kind, Current.Deadline, Current.BusyFor);
  logEnd(Step, Current, Response, errorEntry(Kind).Name);
  Step.Out.emplace_back(ReplyCaller{Current.Caller, std::move(Response)});
  forget(Current);
}

/// Returns a value from 0 to 1 that spreads clients over time.
static double spread(std::uint64_t Seed) {
  return static_cast<double>(Seed >> 11) * 0x1.0p-53;
}

/// Builds an answer that says when to return: when the server has worked off
/// what waits, spread so that refused clients do not return together.
HttpResponse CallRouter::refusal(const RouterStep &Step, ErrorKind Kind,
                                 TimePoint Deadline, Duration BusyFor) const {
  HttpResponse Response = errorResponse(Kind);
  // To return soon with such a request is of no use.
  if (Kind == ErrorKind::Quarantined)
    return Response;
  std::erase_if(Response.Headers,
                [](const auto &Field) { return Field.first == "Retry-After"; });
  if (Response.Status != 503 && Response.Status != 429)
    return Response;
  Duration Base = std::clamp(BusyFor, MinReturn, MaxReturn);
  double Left = std::chrono::duration<double>(Deadline - Step.Now).count();
  double Latest = std::min(2 * std::chrono::duration<double>(Base).count(),
                           std::max(0.0, Left) * MaxReturnShare);
  double Seconds = Latest * (1 + spread(Step.Seed * 0x9e3779b97f4a7c15ULL)) / 2;
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f", Seconds);
  Response.Headers.emplace_back("Retry-After", Text.data());
  return Response;
}

void CallRouter::logEnd(RouterStep &Step, const Call &Current,
                        const HttpResponse &Response, std::string_view Reason) {
  LogLevel Level = Reason == "answered" ? LogLevel::Info : LogLevel::Warning;
  Decision Line{Level, "call-ended", {}};
  Line.Fields = {{"id", Current.ClientId},
                 {"route", Current.Route->Name},
                 {"service", Current.Service},
                 {"call", callText(Current.Id)},
                 {"peer", Current.Executor.Host},
                 {"instance", Current.Instance},
                 {"servers", std::to_string(Current.Servers)},
                 {"refusals", std::to_string(Current.Refusals)},
                 {"status", std::to_string(Response.Status)},
                 {"outcome", std::string(Reason)},
                 {"ms", millisText(Step.Now - Current.Arrived)}};
  Step.Out.emplace_back(std::move(Line));
}

} // namespace figsail
