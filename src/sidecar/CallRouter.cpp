// CallRouter.cpp - Routing of client calls: arrival, choice of a server, lost
// daemons and the single reply.

#include "CallRouter.h"

#include "DecisionText.h"

#include "figsail/Epoch.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace figsail {

using namespace std::chrono_literals;

/// Time to wait for a daemon to confirm a call. It confirms at once, but a
/// daemon with a fifth of a core may be busy.
static constexpr Duration ConfirmTimeout = 200ms;
/// The same for another region, where opening a link takes two round trips of
/// 60 ms and the request a third one.
static constexpr Duration RemoteConfirmTimeout = 400ms;
/// Queries without a reply before the daemon counts as unreachable.
static constexpr std::uint32_t MaxUnansweredQueries = 2;
/// Refusals by daemons before the call fails. After so many, the load reports
/// on which the choice rests are of little use, and the client is waiting.
static constexpr std::uint32_t MaxRefusals = 3;
/// Refusals by rate limits before the call fails. They cost little and are
/// exact, so more of them are worth a try.
static constexpr std::uint32_t MaxLimitRefusals = 6;
/// Refusals by servers of a new version before the call fails. After the first
/// one, the call goes to the old version.
static constexpr std::uint32_t MaxRolloutRefusals = 4;
/// Bound on the requests that are buffered for retries. The smallest host has
/// 160 MB and also needs memory for as many requests at the gate.
static constexpr std::size_t MaxBufferedBytes = std::size_t{32} * 1024 * 1024;
/// Time limit of a call when the client sets none. The route's limit also
/// applies.
static constexpr Duration DefaultTimeout = 30s;
/// Bounds of the backlog time from which Retry-After is derived.
static constexpr Duration MinBacklogTime = 30ms;
static constexpr Duration MaxBacklogTime = 1s;
/// The same for a request whose route this daemon does not know yet. A newer
/// configuration takes about as long to arrive.
static constexpr Duration ConfigurationDelay = 500ms;
/// The same for a request that a called service keeps from being served. About
/// the time in which recent failures lose their weight.
static constexpr Duration DependencyDelay = 500ms;
/// Retry-After is at most this fraction of the client's remaining time. Clients
/// give up when it is later.
static constexpr double MaxRetryAfterFraction = 1.0 / 3;

/// Fraction of a route's requests that are nested calls, from which on each of
/// them counts as one.
static constexpr double NestedThreshold = 0.5;

CallRouter::CallRouter(const SidecarSettings &Settings)
    : Self{Settings.Host, Settings.Inc},
      CallingService(Settings.Service), OwnLocality{Settings.Region,
                                                    Settings.FailureDomain},
      Selector(Settings.Host, OwnLocality, makeShortestExpectedTime()),
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

void CallRouter::scheduleWake(Call &Current, TimePoint At) {
  WakeOrder.erase({Current.WakeAt, Current.Number});
  Current.WakeAt = std::min({At, withdrawAt(Current), Current.Deadline});
  WakeOrder.insert({Current.WakeAt, Current.Number});
}

void CallRouter::removeCall(Call &Current) {
  std::uint64_t Number = Current.Number;
  BufferedBytes -= Current.Bytes;
  Assembly.remove(Current.Id);
  WakeOrder.erase({Current.WakeAt, Number});
  ByAttempt.erase(Current.Id.Sequence);
  ByCaller.erase(Current.Caller);
  Lost.removeCall(Number);
  Calls.erase(Number);
}

/// Refuses a request on arrival, before it becomes a call.
void CallRouter::refuseRequest(RouterStep &Step, const ClientRequest &Arrived,
                               ErrorKind Kind, TimePoint Deadline) {
  Decision Line{LogLevel::Warning, "call-unrouted", {}};
  Line.Fields = {
      {"id", Arrived.Id},
      {"host", Arrived.Host},
      {"reason", std::string(errorEntry(Kind).Name)},
      {"version", Step.Config ? std::to_string(Step.Config->Version) : "none"},
      {"held_bytes", std::to_string(BufferedBytes)}};
  Step.Out.emplace_back(std::move(Line));
  Step.Out.emplace_back(Count{Counter::CallsRefused});
  Step.Out.emplace_back(CountRefusal{RefusedBy::Ingress, Kind});
  bool Awaited = Kind == ErrorKind::ConfigurationBehind ||
                 Kind == ErrorKind::KeyUnconfirmed;
  Duration Delay = Awaited ? ConfigurationDelay : Duration(0);
  Step.Out.emplace_back(ReplyCaller{
      Arrived.Caller, refusalResponse(Step, Kind, Deadline, Delay)});
}

/// Counts a request against the quota of its workspace. If that is used up,
/// refuses the request and returns true. Such refusals are not logged one by
/// one: a workspace may send ten times its limit.
bool CallRouter::isOverQuota(RouterStep &Step, const ClientRequest &Arrived,
                             const Workspace *Client,
                             TimePoint Deadline) const {
  if (!Client)
    return false;
  std::optional<Duration> Wait = Step.Quota.admit(Step.Now, *Client);
  if (!Wait)
    return false;
  Step.Out.emplace_back(Count{Counter::CallsRefused});
  Step.Out.emplace_back(
      CountRefusal{RefusedBy::Ingress, ErrorKind::QuotaExceeded});
  Step.Out.emplace_back(ReplyCaller{
      Arrived.Caller,
      refusalResponse(Step, ErrorKind::QuotaExceeded, Deadline, *Wait)});
  return true;
}

/// Returns the same hash whenever a request is resent, whichever client and
/// daemon it comes from. Callers are distinguished by the service on their
/// host.
static std::uint64_t fingerprintOf(const std::string &CallingService,
                                   const std::string &Host,
                                   const HttpRequest &Request) {
  std::uint64_t Hash = hashText(CallingService);
  Hash = hashText(Host, Hash);
  Hash = hashText(Request.Method, Hash);
  Hash = hashText(Request.Target, Hash);
  return hashText(Request.Body, Hash);
}

/// Returns the reason for refusing a request that matches no route. Only the
/// newest configuration shows that a request is wrong.
static ErrorKind unknownRouteKind(const RouterStep &Step) {
  if (!Step.Config)
    return ErrorKind::NoBackendServer;
  return Step.ConfigBehind ? ErrorKind::ConfigurationBehind
                           : ErrorKind::NoRoute;
}

/// Returns the priority of a call that a run of this host's server makes. Which
/// run makes it is not known, and the most urgent one must not wait for it.
static std::uint32_t
nestedPriority(std::uint32_t Own, const std::optional<std::uint32_t> &Running) {
  return std::min(Own, Running.value_or(Own));
}

void CallRouter::request(RouterStep &Step, ClientRequest Arrived) {
  Step.Out.emplace_back(Count{Counter::Calls});
  RoutePtr Route;
  if (Step.Config)
    Route = Step.Config->findRoute(Arrived.Host, Arrived.Request.Target);
  Duration Limit = Arrived.ClientTimeout.value_or(DefaultTimeout);
  if (Arrived.Late)
    return refuseRequest(Step, Arrived, ErrorKind::Draining, Step.Now + Limit);
  if (!Route)
    return refuseRequest(Step, Arrived, unknownRouteKind(Step),
                         Step.Now + Limit);
  Authentication Checked =
      authenticate(*Step.Config, *Route, Arrived.Credential, Step.ConfigBehind);
  if (Checked.RefusalCount)
    Step.Out.emplace_back(Count{*Checked.RefusalCount});
  if (Checked.Refusal)
    return refuseRequest(Step, Arrived, *Checked.Refusal, Step.Now + Limit);
  std::optional<CallTerms> Terms = callTerms(*Route, Checked.Client.get());
  if (!Terms)
    return refuseRequest(Step, Arrived, ErrorKind::NoBackendServer,
                         Step.Now + Limit);
  if (Step.Config->hasWorkspaces())
    removeHeader(Arrived.Request.Headers, "Authorization");
  std::size_t Bytes =
      messageSize(Arrived.Request.Headers, Arrived.Request.Body);
  if (BufferedBytes + Bytes > MaxBufferedBytes)
    return refuseRequest(Step, Arrived, ErrorKind::Overloaded,
                         Step.Now + Limit);
  TimePoint Deadline = Step.Now + std::min(Limit, Route->Timeout);
  if (isOverQuota(Step, Arrived, Checked.Client.get(), Deadline))
    return;
  BufferedBytes += Bytes;
  std::uint64_t Number = NextNumber++;
  Call &New = Calls[Number];
  New.Number = Number;
  New.Caller = Arrived.Caller;
  New.ClientId = std::move(Arrived.Id);
  New.Request = std::move(Arrived.Request);
  New.Bytes = Bytes;
  New.Client = std::move(Checked.Client);
  New.Terms = std::move(*Terms);
  New.Service = Splits.next(*Route);
  UsedServices.insert(New.Service);
  New.Fingerprint = fingerprintOf(CallingService, Arrived.Host, New.Request);
  New.Arrived = Step.Now;
  // A client that has already waited elsewhere sets a shorter time limit.
  Duration Spent = std::max(Duration(0), Route->Timeout - Limit);
  New.Target = Step.Now + Route->TargetLatency - Spent;
  New.Deadline = Deadline;
  New.Route = std::move(Route);
  ByCaller[New.Caller] = Number;
  // Runs make their calls without a key.
  double Nested =
      New.Client ? 0 : Origins.addRequest(Step.Now, New.Route->Name);
  New.Nested = Nested >= NestedThreshold;
  if (New.Nested)
    New.Terms.Priority =
        nestedPriority(New.Terms.Priority, Step.RunningPriority);
  New.RetryFraction = static_cast<float>(Step.RetryFraction * Nested);
  if (!Dependencies.refusesRequest(Step.Now, New.Route->Name, Step.Out))
    return tryNextServer(Step, New);
  New.BacklogTime = DependencyDelay;
  fail(Step, New, ErrorKind::CalledServiceRefuses);
}

void CallRouter::clientDisconnected(RouterStep &Step, CallerId Caller) {
  auto Found = ByCaller.find(Caller);
  if (Found == ByCaller.end())
    return;
  Call &Current = Calls.at(Found->second);
  if (!Current.Executor.Host.empty())
    Step.Out.emplace_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
  endAttempt(Step, Current, true, nullptr);
  logEnd(Step, Current, HttpResponse{}, "client-gone");
  removeCall(Current);
}

// Choice.

/// Leaves only servers that name no limit, if there is one in this region.
///
/// Load pattern: most servers of a large service are limited. An ingress uses a
/// part of them, of which few are free, and those would be overloaded.
void CallRouter::preferUnlimited(std::vector<const Member *> &Eligible) const {
  auto Limited = [&](const Member *Server) {
    return Notices.isLimited(Server->Host);
  };
  bool AnyNear = std::ranges::any_of(Eligible, [&](const Member *Server) {
    return Server->Region == OwnLocality.Region && !Limited(Server);
  });
  if (AnyNear)
    std::erase_if(Eligible, Limited);
}

const Member *CallRouter::chooseServer(RouterStep &Step, const Call &Current) {
  std::vector<const Member *> Eligible;
  const std::vector<std::string> &Home = Current.Terms.HomeRegions;
  for (const Member &Server : Step.Directory.ready(Current.Service)) {
    if (Step.Evacuated.contains(Server.FailureDomain) ||
        Step.Peers.isSuspected(Server.Host) ||
        Notices.isLeaving(Server.Host, Step.Directory))
      continue;
    if (!Home.empty() && std::ranges::find(Home, Server.Region) == Home.end())
      continue;
    Eligible.push_back(&Server);
  }
  Step.Versions.restrictServers(Step.Now, Current.Service, Step.Seed,
                                Current.RolloutRefusals > 0, Step.Directory,
                                Eligible);
  if (Eligible.empty())
    return nullptr;
  if (Current.LimitRefusals > 0)
    preferUnlimited(Eligible);
  CallEstimate Outlook;
  Outlook.UsualRunTime = RouteTimes.expected(Current.Route->Name);
  Outlook.TimeToTarget = Current.Target - Step.Now;
  return Selector.choose(Step.Now, Eligible, Current.TriedHosts,
                         Link.available(Step.Now), Step.Seed, Outlook);
}

void CallRouter::tryNextServer(RouterStep &Step, Call &Current) {
  if (Step.Now >= Current.Deadline)
    return deadlinePassed(Step, Current);
  if (Current.Withdrawn)
    return fail(Step, Current,
                Stop.isSet() ? ErrorKind::Draining : ErrorKind::Overloaded);
  bool EndsInTime = endsBeforeStop(Step, Current);
  bool MaySend = EndsInTime && Current.Refusals < MaxRefusals &&
                 Current.LimitRefusals < MaxLimitRefusals &&
                 Current.RolloutRefusals < MaxRolloutRefusals;
  const Member *To = MaySend ? chooseServer(Step, Current) : nullptr;
  if (To)
    return sendExecute(Step, Current, *To, true);
  const Member *Fallback = EndsInTime ? chooseFallback(Step, Current) : nullptr;
  if (Fallback)
    return sendExecute(Step, Current, *Fallback, false);
  if (Current.FallbackResponse)
    return deliver(Step, Current, std::move(*Current.FallbackResponse));
  fail(Step, Current, Current.LastError);
}

/// Returns the server that would end the call first among those that refused it
/// in favour of another one, or null.
const Member *CallRouter::chooseFallback(RouterStep &Step, Call &Current) {
  while (!Current.Fallbacks.empty()) {
    auto First =
        std::ranges::min_element(Current.Fallbacks, {}, &FallbackServer::EndAt);
    FallbackServer Next = std::move(*First);
    Current.Fallbacks.erase(First);
    if (Next.StartAt > Current.Target)
      continue;
    for (const Member &Server : Step.Directory.ready(Current.Service))
      if (Server.Host == Next.Host && !Step.Peers.isSuspected(Next.Host) &&
          !Step.Evacuated.contains(Server.FailureDomain))
        return &Server;
  }
  return nullptr;
}

void CallRouter::sendExecute(RouterStep &Step, Call &Current, const Member &To,
                             bool HasAlternative) {
  Assembly.remove(Current.Id);
  ByAttempt.erase(Current.Id.Sequence);
  Current.Id = {Self.Inc, NextSequence++};
  ByAttempt[Current.Id.Sequence] = Current.Number;
  Current.Executor = {To.Host, To.Inc};
  Current.Instance = Step.Directory.find(To.Host)->Instance;
  Current.Confirmed = false;
  Current.QueryInFlight = false;
  Current.UnansweredQueries = 0;
  Current.Outstanding = true;
  Current.SentAt = Step.Now;
  Current.CheckedAt = Step.Now;
  Selector.callSent(Step.Now, To.Host);
  if (To.FailureDomain != OwnLocality.FailureDomain)
    Step.Out.emplace_back(Count{Counter::CrossDomain});
  if (To.Region != OwnLocality.Region) {
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
  if (Current.Client)
    Message.Policy.Workspace = Current.Client->Name;
  Message.Policy.HomeRegions = Current.Terms.HomeRegions;
  Message.Policy.Idempotent = Current.Route->Idempotent;
  Message.Policy.Priority = Current.Terms.Priority;
  Message.Nested = Current.Nested;
  Message.BudgetMicros = (Current.Deadline - Step.Now).count();
  Message.Fingerprint = Current.Fingerprint;
  Message.TargetMicros = (Current.Target - Step.Now).count();
  Message.Instance = Current.Instance;
  Message.RetryFraction =
      Current.ServersReached > 0 ? 1 : Current.RetryFraction;
  if (Current.ServersReached > 0)
    Step.Out.emplace_back(Count{Counter::Retries});
  // A refusal from another region costs a round trip, and so does the next
  // attempt.
  Duration RedirectDelay = To.Region == OwnLocality.Region
                               ? Duration(0)
                               : 2 * OwnLocality.RegionRoundTrip;
  bool InTime =
      Step.Now + RedirectDelay + RouteTimes.expected(Current.Route->Name) <
      Current.Target;
  Message.HasAlternative = HasAlternative && InTime &&
                           Step.Directory.ready(Current.Service).size() >
                               Current.TriedHosts.size() + 1;
  Current.HasAlternative = Message.HasAlternative;
  Message.ReceiptDelayMicros = receiptDelay(To.Region != OwnLocality.Region);
  Message.Notice = Notices.find(Step.Now, To.Host);
  Message.Request = Current.Request;
  Step.Out.emplace_back(SendPeer{To.Host, std::move(Message)});
  Current.Remote = To.Region != OwnLocality.Region;
  scheduleWake(Current, Step.Now + confirmTimeout(Current));
}

/// Returns the time after which a daemon confirms a call that has not ended: a
/// quarter of the confirm timeout. Many calls end earlier and need no receipt,
/// and a host with a fifth of a core still sends it in time.
std::uint32_t CallRouter::receiptDelay(bool Remote) {
  Duration Timeout = Remote ? RemoteConfirmTimeout : ConfirmTimeout;
  return static_cast<std::uint32_t>((Timeout / 4).count());
}

Duration CallRouter::confirmTimeout(const Call &Current) {
  return Current.Remote ? RemoteConfirmTimeout : ConfirmTimeout;
}

// Lost daemons.

void CallRouter::peerLost(RouterStep &Step, const PeerLost &Link) {
  Step.Peers.markUnreachable(Step.Now, Link.Host, Step.Out);
  Selector.linkLost(Step.Now, Link.Host);
  std::vector<CallId> Unsent;
  for (const PeerMessage &Message : Link.Unsent)
    if (const auto *Sent = std::get_if<Execute>(&Message))
      Unsent.push_back(Sent->Call);
  for (const CallId &Attempt : Unsent)
    settleUnsent(Link.Host, Attempt);
  std::vector<std::uint64_t> Affected;
  for (const auto &[Number, Current] : Calls)
    if (Current.Executor.Host == Link.Host)
      Affected.push_back(Number);
  for (std::uint64_t Number : Affected) {
    auto Found = Calls.find(Number);
    if (Found == Calls.end())
      continue;
    bool NeverSent =
        std::ranges::find(Unsent, Found->second.Id) != Unsent.end();
    if (!NeverSent && isQueryPending(Found->second))
      continue;
    executorLost(Step, Found->second, NeverSent);
  }
}

/// Returns whether a query of the call has been sent and its reply is not yet
/// overdue. A loss of its link says nothing of the daemon: probes and queries
/// of other calls reset links that are still being opened. The query is sent
/// again when the reply is overdue.
bool CallRouter::isQueryPending(const Call &Current) {
  return Current.QueryInFlight && isQueryUseful(Current);
}

/// Returns whether the reply of an unreachable daemon is awaited: the call may
/// not be sent to another server, and it may turn out not to have arrived.
bool CallRouter::isQueryUseful(const Call &Current) {
  if (!Current.Route->Idempotent)
    return true;
  bool LastServer = Current.ServersReached + 1 >= Current.Route->MaxServers;
  return LastServer && !Current.Confirmed;
}

/// Handles a call whose daemon is unreachable. A call that was never sent, or
/// is idempotent, goes to another server. For any other call, which may have
/// run, the daemon is queried over a new link. That includes an idempotent call
/// that may reach no further server and was never confirmed.
void CallRouter::executorLost(RouterStep &Step, Call &Current, bool Unsent) {
  if (Unsent) {
    endAttempt(Step, Current, false, nullptr);
    Current.TriedHosts.push_back(Current.Executor.Host);
    Current.LastError = ErrorKind::NoBackendServer;
    ++Current.Refusals;
    return tryNextServer(Step, Current);
  }
  if (isQueryUseful(Current) &&
      Current.UnansweredQueries < MaxUnansweredQueries)
    return queryExecutor(Step, Current);
  if (Current.Route->Idempotent) {
    // The request may still arrive there, or run without a receiver.
    Step.Out.emplace_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
    endAttempt(Step, Current, false, nullptr);
    ++Current.ServersReached;
    Lost.add(Current.Number, Current.Id, Current.Executor);
    return retryAfterRun(Step, Current, ErrorKind::BackendFailed);
  }
  endAttempt(Step, Current, false, nullptr);
  fail(Step, Current, ErrorKind::OutcomeUnknown);
}

void CallRouter::queryExecutor(RouterStep &Step, Call &Current) {
  Current.QueryInFlight = true;
  ++Current.UnansweredQueries;
  Current.CheckedAt = Step.Now;
  Step.Out.emplace_back(
      SendPeer{Current.Executor.Host,
               Await{Current.Id, std::nullopt, Current.Executor.Inc}});
  scheduleWake(Current, Step.Now + confirmTimeout(Current));
}

/// Queries the daemon of a confirmed call. An unconfirmed call, or a query
/// without a reply, means that the link is silent. A link on which bytes of a
/// large message have arrived since is not silent: the reply is queued behind
/// that message.
void CallRouter::checkExecutor(RouterStep &Step, Call &Current) {
  if (Current.Confirmed && !Current.QueryInFlight)
    return queryExecutor(Step, Current);
  if (Activity.isActiveSince(Current.Executor.Host, Current.CheckedAt)) {
    Current.CheckedAt = Step.Now;
    return scheduleWake(Current, Step.Now + confirmTimeout(Current));
  }
  Decision Line{LogLevel::Warning, "peer-silent", {}};
  Line.Fields = {{"id", Current.ClientId},
                 {"peer", Current.Executor.Host},
                 {"checks", std::to_string(Current.UnansweredQueries)}};
  Step.Out.emplace_back(std::move(Line));
  Step.Out.emplace_back(ResetPeer{Current.Executor.Host});
  Step.Peers.markUnreachable(Step.Now, Current.Executor.Host, Step.Out);
  Selector.linkLost(Step.Now, Current.Executor.Host);
  executorLost(Step, Current, false);
}

void CallRouter::timer(RouterStep &Step) {
  while (!WakeOrder.empty() && WakeOrder.begin()->first <= Step.Now) {
    Call &Current = Calls.at(WakeOrder.begin()->second);
    if (Step.Now >= Current.Deadline)
      deadlinePassed(Step, Current);
    else if (Step.Now >= withdrawAt(Current))
      withdraw(Step, Current);
    else
      checkExecutor(Step, Current);
  }
}

TimePoint CallRouter::nextWake() const {
  return WakeOrder.empty() ? TimePoint::max() : WakeOrder.begin()->first;
}

// Ends of calls.

void CallRouter::deadlinePassed(RouterStep &Step, Call &Current) {
  if (Current.Outstanding && Current.Route->Idempotent)
    Step.Out.emplace_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
  Current.MayHaveRun = Current.MayHaveRun || Current.Outstanding;
  endAttempt(Step, Current, false, nullptr);
  fail(Step, Current,
       mayHaveRun(Current) ? ErrorKind::DeadlineUnknown
                           : ErrorKind::Overloaded);
}

void CallRouter::endAttempt(RouterStep &Step, Call &Current, bool Success,
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
  removeCall(Current);
}

/// Ends a call with an error response of the router. A call that may have run
/// is never reported as "not run".
void CallRouter::fail(RouterStep &Step, Call &Current, ErrorKind Kind) {
  if (mayHaveRun(Current) && errorEntry(Kind).Run == RunState::No)
    Kind = ErrorKind::BackendFailed;
  bool NotRun = errorEntry(Kind).Run == RunState::No;
  if (NotRun && Current.Client)
    Step.Quota.refund(Step.Now, Current.Client->Name);
  if (NotRun && Current.Nested)
    RefusedByServices.add(Step.Now);
  Step.Out.emplace_back(
      Count{NotRun ? Counter::CallsRefused : Counter::CallsUnknown});
  Step.Out.emplace_back(CountRefusal{RefusedBy::Ingress, Kind});
  HttpResponse Response =
      refusalResponse(Step, Kind, Current.Deadline, Current.BacklogTime);
  // The client is to come back to another process.
  if (Stop.isSet())
    Response.Headers.emplace_back("Connection", "close");
  logEnd(Step, Current, Response, errorEntry(Kind).Name);
  Step.Out.emplace_back(ReplyCaller{Current.Caller, std::move(Response)});
  removeCall(Current);
}

/// Maps random bits to a fraction from 0 to 1.
static double uniformFraction(std::uint64_t Seed) {
  return static_cast<double>(Seed >> 11) * 0x1.0p-53;
}

/// Builds an error response whose Retry-After is the time in which the server
/// empties its queue, randomized so that refused clients do not return
/// together.
HttpResponse CallRouter::refusalResponse(const RouterStep &Step, ErrorKind Kind,
                                         TimePoint Deadline,
                                         Duration BacklogTime) const {
  HttpResponse Response = errorResponse(Kind);
  // The table's Retry-After stays: an early retry would be refused as well.
  if (Kind == ErrorKind::Quarantined)
    return Response;
  std::erase_if(Response.Headers,
                [](const auto &Field) { return Field.first == "Retry-After"; });
  if (Response.Status != 503 && Response.Status != 429)
    return Response;
  Duration Base = std::clamp(BacklogTime, MinBacklogTime, MaxBacklogTime);
  double Left = std::chrono::duration<double>(Deadline - Step.Now).count();
  double Latest = std::min(2 * std::chrono::duration<double>(Base).count(),
                           std::max(0.0, Left) * MaxRetryAfterFraction);
  double Seconds =
      Latest * (1 + uniformFraction(Step.Seed * 0x9e3779b97f4a7c15ULL)) / 2;
  // An earlier return would be refused again.
  if (Kind == ErrorKind::QuotaExceeded)
    Seconds = std::min(std::chrono::duration<double>(BacklogTime).count(),
                       std::max(0.0, Left) * MaxRetryAfterFraction);
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
                 {"servers", std::to_string(Current.ServersReached)},
                 {"refusals", std::to_string(Current.Refusals)},
                 {"status", std::to_string(Response.Status)},
                 {"outcome", std::string(Reason)},
                 {"ms", millisText(Step.Now - Current.Arrived)}};
  Step.Out.emplace_back(std::move(Line));
}

} // namespace figsail
