// Ingress.cpp - Calls of callers, from arrival to the one answer.

#include "Ingress.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// An executor confirms at once; the longest round trip between regions is
/// about 60 ms.
static constexpr Duration ConfirmTimeout = 200ms;
/// A confirmed call is asked after at this interval, so that a silent link is
/// noticed.
static constexpr Duration RunningCheckInterval = 1s;
/// Questions without a reply before the executor counts as unreachable.
static constexpr std::uint32_t MaxSilentChecks = 2;
/// Time for a coordinator to reply to a claim.
static constexpr Duration ClaimTimeout = 300ms;
/// Claims without a useful reply before the caller is told. With ViewDelay this
/// covers the time that a new epoch takes to reach the other members.
static constexpr std::uint32_t MaxClaimTries = 12;
/// Delay before a claim or call is sent again because two daemons' views
/// differ.
static constexpr Duration ViewDelay = 50ms;

std::string Ingress::callName(const Call &Which) const {
  return std::to_string(Self.Inc) + "/" + std::to_string(Which.Number);
}

static std::uint64_t fingerprint(const RouteSettings &Route,
                                 const HttpRequest &Request) {
  std::uint64_t Hash = hashText(Route.Policy.Route);
  Hash = hashText(Request.Method, Hash);
  Hash = hashText(Request.Target, Hash);
  return hashText(Request.Body, Hash);
}

static std::size_t messageSize(const HeaderList &Headers,
                               const std::string &Body) {
  std::size_t Size = Body.size();
  for (const auto &[Name, Value] : Headers)
    Size += Name.size() + Value.size();
  return Size;
}

static bool servedIn(const CallPolicy &Policy, const std::string &Region) {
  const std::vector<std::string> &Home = Policy.HomeRegions;
  return Home.empty() || std::ranges::find(Home, Region) != Home.end();
}

/// Returns the text that identifies a request, or nothing when the named header
/// is missing.
static std::optional<std::string> identityOf(const RouteSettings &Route,
                                             const HttpRequest &Request) {
  if (Route.Identity.From == IdentityRule::Source::Body)
    return Request.Method + '\n' + Request.Target + '\n' + Request.Body;
  std::string_view Value =
      findHeader(Request.Headers, Route.Identity.HeaderName);
  if (Value.empty())
    return std::nullopt;
  return std::string(Value);
}

Ingress::Ingress(const NodeSettings &Settings)
    : Self{Settings.Self.Host, Settings.Self.Inc},
      Here{Settings.Self.Region, Settings.Self.FailureDomain},
      Choice(Self.Host, Here, makePolicy(Settings.Policy)),
      Link(Settings.RegionLinkBytes) {}

HeadVerdict Ingress::checkHead(const ReplicatedState &State,
                               std::string_view Method,
                               std::string_view Target) const {
  auto Route = State.configuration().findRoute(Method, Target);
  if (!Route)
    return errorResponse(ErrorKind::NoRoute);
  if (!servedIn(Route->Policy, Here.Region)) {
    std::string Regions = "Regions:";
    for (const std::string &Region : Route->Policy.HomeRegions)
      Regions += " " + Region;
    return errorResponse(ErrorKind::WrongRegion, Regions);
  }
  return ReadBody{Route->MaxBody};
}

void Ingress::request(IngressStep &Step, CallerRequest Arrived) {
  Step.Out.push_back(Count{Counter::Calls});
  HeadVerdict Head =
      checkHead(Step.State, Arrived.Request.Method, Arrived.Request.Target);
  if (auto *Refusal = std::get_if<HttpResponse>(&Head)) {
    Step.Out.push_back(Count{Counter::CallsRefused});
    Step.Out.push_back(ReplyCaller{Arrived.Caller, std::move(*Refusal)});
    return;
  }
  auto Route = Step.State.configuration().findRoute(Arrived.Request.Method,
                                                    Arrived.Request.Target);
  std::uint64_t Number = NextNumber++;
  Call &New = Calls[Number];
  New.Number = Number;
  New.Caller = Arrived.Caller;
  New.Request = std::move(Arrived.Request);
  New.Route = std::move(Route);
  New.Deadline = Step.Now + New.Route->Deadline;
  New.Fingerprint = fingerprint(*New.Route, New.Request);
  ByCaller[New.Caller] = Number;
  Budget.called(Step.Now, New.Route->Policy.Service);

  bool Keyed = !New.Route->Policy.Idempotent &&
               New.Route->Identity.From != IdentityRule::Source::None;
  if (!New.Route->Policy.Idempotent)
    Step.Out.push_back(
        Trace{TraceKind::CallArrived, callName(New), New.Route->Policy.Route});
  if (Keyed) {
    auto Identity = identityOf(*New.Route, New.Request);
    if (!Identity)
      return fail(Step, New, ErrorKind::MissingIdentity);
    New.Key = requestKey(New.Route->Policy.Route, *Identity);
  }
  advance(Step, New);
}

void Ingress::callerGone(IngressStep &Step, CallerId Caller) {
  auto Found = ByCaller.find(Caller);
  if (Found == ByCaller.end())
    return;
  Call &Which = Calls.at(Found->second);
  // A non-idempotent call is followed to its end, so that its record is
  // settled.
  if (!Which.Route->Policy.Idempotent)
    return;
  if (!Which.Executor.Host.empty())
    Step.Out.push_back(SendPeer{Which.Executor.Host, Cancel{Which.Id}});
  settleOutstanding(Step, Which, true, nullptr);
  forget(Which);
}

Ingress::Call *Ingress::find(const CallId &Id) {
  if (Id.Ingress != Self.Inc)
    return nullptr;
  auto Found = ByAttempt.find(Id.Sequence);
  return Found == ByAttempt.end() ? nullptr : &Calls.at(Found->second);
}

void Ingress::wakeAt(Call &Which, TimePoint At) {
  WakeOrder.erase({Which.WakeAt, Which.Number});
  Which.WakeAt = std::min(At, Which.Deadline);
  WakeOrder.insert({Which.WakeAt, Which.Number});
}

/// Takes a new id, so that a late reply to the attempt before matches none.
void Ingress::newAttempt(Call &Which) {
  ByAttempt.erase(Which.Id.Sequence);
  Which.Id = {Self.Inc, NextSequence++};
  ByAttempt[Which.Id.Sequence] = Which.Number;
}

void Ingress::forget(const Call &Which) {
  std::uint64_t Number = Which.Number;
  WakeOrder.erase({Which.WakeAt, Number});
  ByAttempt.erase(Which.Id.Sequence);
  ByCaller.erase(Which.Caller);
  Calls.erase(Number);
}

void Ingress::advance(IngressStep &Step, Call &Which) {
  if (Step.Now >= Which.Deadline)
    return deadlinePassed(Step, Which);
  newAttempt(Which);
  if (Which.Key)
    return claim(Step, Which);
  execute(Step, Which);
}

const Member *Ingress::chooseExecutor(IngressStep &Step, const Call &Which,
                                      const EpochEntry &Epoch,
                                      const HostId *Coordinator) {
  const std::string &Route = Which.Route->Policy.Route;
  std::vector<const Member *> Eligible;
  for (const Member *Who : eligibleMembers(Epoch, Route)) {
    // The call's own policy binds it even when the tree has changed since it
    // arrived.
    if (!servedIn(Which.Route->Policy, Who->Region))
      continue;
    if (Coordinator && !mayExecute(Epoch, Route, *Coordinator, Who->Host))
      continue;
    Eligible.push_back(Who);
  }
  return Choice.choose(Step.Now, Eligible, Which.Tried,
                       Link.available(Step.Now), Step.Seed);
}

void Ingress::claim(IngressStep &Step, Call &Which) {
  const CallPolicy &Policy = Which.Route->Policy;
  const EpochHistory *History = Step.State.epochs(Policy.Service);
  if (!History || History->empty())
    return fail(Step, Which, ErrorKind::NoBackendServer);
  const EpochEntry &Epoch = History->current();
  const Member *Coordinator = coordinatorOf(Epoch, Policy.Route, *Which.Key);
  if (!Coordinator || !servedIn(Policy, Coordinator->Region))
    return fail(Step, Which, ErrorKind::NoBackendServer);
  const Member *Executor =
      chooseExecutor(Step, Which, Epoch, &Coordinator->Host);
  if (!Executor)
    return fail(Step, Which, Which.LastRefusal);

  Which.At = Phase::Claiming;
  Which.Coordinator = Coordinator->Host;
  Which.Executor = {Executor->Host, Executor->Inc};
  Which.Grant.reset();
  Claim Message;
  Message.Call = Which.Id;
  Message.Key = *Which.Key;
  Message.Fingerprint = Which.Fingerprint;
  Message.Policy = Policy;
  Message.Epoch = Epoch.At;
  Message.Executor = Which.Executor;
  Message.Released = Which.Released;
  Step.Out.push_back(Count{Counter::Claims});
  Step.Out.push_back(SendPeer{Which.Coordinator, std::move(Message)});
  wakeAt(Which, Step.Now + ClaimTimeout);
}

void Ingress::execute(IngressStep &Step, Call &Which) {
  const EpochHistory *History = Step.State.epochs(Which.Route->Policy.Service);
  if (!History || History->empty())
    return fail(Step, Which, ErrorKind::NoBackendServer);
  const Member *To = chooseExecutor(Step, Which, History->current(), nullptr);
  if (!To)
    return fail(Step, Which, Which.LastRefusal);
  sendExecute(Step, Which, *To);
}

void Ingress::sendExecute(IngressStep &Step, Call &Which, const Member &To) {
  Which.At = Phase::Executing;
  Which.Executor = {To.Host, To.Inc};
  Which.Confirmed = false;
  Which.SilentChecks = 0;
  ++Which.Attempts;
  Choice.sent(Step.Now, To.Host);
  Which.Outstanding = true;
  if (To.FailureDomain != Here.FailureDomain)
    Step.Out.push_back(Count{Counter::CrossDomain});
  if (To.Region != Here.Region) {
    std::size_t Bytes = messageSize(Which.Request.Headers, Which.Request.Body);
    Link.sent(Step.Now, Bytes);
    Step.Out.push_back(Count{Counter::CrossRegion});
    Step.Out.push_back(Count{Counter::CrossRegionBytes, Bytes});
  }
  Execute Message;
  Message.Call = Which.Id;
  Message.Target = To.Inc;
  Message.Policy = Which.Route->Policy;
  Message.BudgetMicros = (Which.Deadline - Step.Now).count();
  Message.Fingerprint = Which.Fingerprint;
  Message.Grant = Which.Grant;
  Message.Request = Which.Request;
  Step.Out.push_back(SendPeer{To.Host, std::move(Message)});
  wakeAt(Which, Step.Now + ConfirmTimeout);
}

void Ingress::sendAwait(IngressStep &Step, Call &Which) {
  Step.Out.push_back(SendPeer{
      Which.Executor.Host, Await{Which.Id, Which.Grant, Which.Executor.Inc}});
  wakeAt(Which, Step.Now + ConfirmTimeout);
}

void Ingress::received(IngressStep &Step, const Received &Message) {
  Call *Which = find(Message.Call);
  if (!Which || (Which->At != Phase::Executing && Which->At != Phase::Awaiting))
    return;
  Which->Confirmed = true;
  Which->SilentChecks = 0;
  wakeAt(*Which, Step.Now + RunningCheckInterval);
}

void Ingress::answered(IngressStep &Step, const PeerRef &From, Answer Message) {
  Call *Which = find(Message.Call);
  if (!Which) {
    Step.Out.push_back(Count{Counter::StaleMessages});
    return;
  }
  const Member *Who = Step.State.member(From.Host);
  if (Who && Who->Region != Here.Region) {
    std::size_t Bytes =
        messageSize(Message.Response.Headers, Message.Response.Body);
    Link.received(Step.Now, Bytes);
    Step.Out.push_back(Count{Counter::CrossRegionBytes, Bytes});
  }
  bool Current = Which->Executor.Host == From.Host;
  settleOutstanding(Step, *Which, Message.Response.Status < 500,
                    Current ? &Message.Load : nullptr);
  finish(Step, *Which, std::move(Message.Response));
}

void Ingress::refused(IngressStep &Step, const PeerRef &From,
                      const Refused &Message) {
  Call *Which = find(Message.Call);
  // A late refusal by an executor that the call has left says nothing about the
  // present one.
  if (!Which || Which->Executor.Host != From.Host ||
      (Which->At != Phase::Executing && Which->At != Phase::Awaiting)) {
    Step.Out.push_back(Count{Counter::StaleMessages});
    return;
  }
  // An Execute that the new incarnation received never reached the old one. For
  // an Await this does not follow: the old one may have received the Execute
  // before.
  bool Undelivered = Which->At == Phase::Executing &&
                     Message.Kind == ErrorKind::WrongIncarnation;
  if (Which->Executor.Inc != From.Inc && !Undelivered)
    return executorRestarted(Step, *Which);
  if (Which->Outstanding)
    Choice.refused(Step.Now, From.Host, Message.Load);
  settleOutstanding(Step, *Which, true, &Message.Load);
  if (Which->Grant) {
    Which->KeyChecked = true;
    Which->Released = Which->Grant;
  }
  bool ViewsDiffer = Message.Kind == ErrorKind::StaleEpoch ||
                     Message.Kind == ErrorKind::WrongIncarnation;
  if (ViewsDiffer)
    return retryLater(Step, *Which, Message.Kind);
  bool Final = Message.Kind == ErrorKind::WrongRegion ||
               Message.Kind == ErrorKind::Quarantined ||
               Message.Kind == ErrorKind::RecordCapacity;
  if (Final)
    return fail(Step, *Which, Message.Kind);
  Which->Tried.push_back(From.Host);
  retry(Step, *Which, Message.Kind);
}

void Ingress::executorRestarted(IngressStep &Step, Call &Which) {
  settleOutstanding(Step, Which, false, nullptr);
  if (!Which.Route->Policy.Idempotent)
    return fail(Step, Which, ErrorKind::OutcomeUnknown);
  retry(Step, Which, ErrorKind::BackendFailed);
}

void Ingress::failed(IngressStep &Step, const PeerRef &From,
                     const Failed &Message) {
  Call *Which = find(Message.Call);
  if (!Which || Which->Executor.Host != From.Host) {
    Step.Out.push_back(Count{Counter::StaleMessages});
    return;
  }
  settleOutstanding(Step, *Which, false, &Message.Load);
  if (!Which->Route->Policy.Idempotent ||
      Message.Kind == ErrorKind::DeadlineUnknown)
    return fail(Step, *Which, Message.Kind);
  Which->Tried.push_back(From.Host);
  retry(Step, *Which, Message.Kind);
}

void Ingress::granted(IngressStep &Step, const Granted &Message) {
  Call *Which = find(Message.Call);
  if (!Which || Which->At != Phase::Claiming ||
      Message.Token.Executor != Which->Executor) {
    Step.Out.push_back(Count{Counter::StaleMessages});
    return;
  }
  // An Execute must not outlive its deadline, or the record that grants it
  // might be forgotten before it arrives.
  if (Step.Now >= Which->Deadline)
    return deadlinePassed(Step, *Which);
  Which->KeyChecked = true;
  Which->ClaimTries = 0;
  Which->Grant = Message.Token;
  const Member *To = Step.State.member(Message.Token.Executor.Host);
  if (!To || To->Inc != Message.Token.Executor.Inc) {
    // The executor was replaced while the claim was under way, and nothing was
    // sent to it.
    Which->Released = Message.Token;
    return retryLater(Step, *Which, ErrorKind::WrongIncarnation);
  }
  Step.Out.push_back(Trace{TraceKind::ClaimGranted, callName(*Which),
                           "attempt " + std::to_string(Message.Token.Attempt) +
                               " at " + Message.Token.Executor.Host});
  sendExecute(Step, *Which, *To);
}

void Ingress::claimHeld(IngressStep &Step, const ClaimHeld &Message) {
  Call *Which = find(Message.Call);
  if (!Which || Which->At != Phase::Claiming)
    return;
  Which->At = Phase::Awaiting;
  Which->Grant = Message.Token;
  Which->Executor = Message.Token.Executor;
  Which->Confirmed = false;
  Which->SilentChecks = 0;
  sendAwait(Step, *Which);
}

void Ingress::claimDone(IngressStep &Step, ClaimDone Message) {
  Call *Which = find(Message.Call);
  if (!Which || Which->At != Phase::Claiming)
    return;
  Step.Out.push_back(Count{Counter::ClaimsReplayed});
  finish(Step, *Which, std::move(Message.Response));
}

void Ingress::claimRefused(IngressStep &Step, const ClaimRefused &Message) {
  Call *Which = find(Message.Call);
  if (!Which || Which->At != Phase::Claiming)
    return;
  if (Message.Kind == ErrorKind::StaleEpoch ||
      Message.Kind == ErrorKind::WrongIncarnation)
    return retryLater(Step, *Which, Message.Kind);
  // These two are said only after the key was looked up.
  Which->KeyChecked |= Message.Kind == ErrorKind::KeyReused ||
                       Message.Kind == ErrorKind::RecordCapacity;
  fail(Step, *Which, Message.Kind);
}

void Ingress::peerLost(IngressStep &Step, const PeerLost &Lost) {
  std::set<std::uint64_t> Unsent;
  for (const PeerMessage &Message : Lost.Unsent) {
    const auto *Sent = std::get_if<Execute>(&Message);
    if (Sent && Sent->Call.Ingress == Self.Inc)
      Unsent.insert(Sent->Call.Sequence);
  }
  std::vector<std::uint64_t> Affected;
  for (const auto &[Number, Which] : Calls) {
    bool AtExecutor =
        (Which.At == Phase::Executing || Which.At == Phase::Awaiting) &&
        Which.Executor.Host == Lost.Host;
    bool AtCoordinator =
        Which.At == Phase::Claiming && Which.Coordinator == Lost.Host;
    if (AtExecutor || AtCoordinator)
      Affected.push_back(Number);
  }
  // The order of a hash map must not decide which call gets the retry budget.
  std::ranges::sort(Affected);
  if (!Affected.empty())
    Choice.lost(Step.Now, Lost.Host);
  for (std::uint64_t Number : Affected) {
    Call &Which = Calls.at(Number);
    if (Which.At == Phase::Claiming)
      coordinatorLost(Step, Which);
    else
      executorLost(Step, Which, Unsent.contains(Which.Id.Sequence));
  }
}

void Ingress::coordinatorLost(IngressStep &Step, Call &Which) {
  // A coordinator that is away for long is replaced after its removal, which
  // takes seconds; the caller is told before that.
  Which.ClaimTries += MaxClaimTries / 3;
  retryLater(Step, Which, ErrorKind::CoordinatorUnavailable);
}

void Ingress::executorLost(IngressStep &Step, Call &Which, bool Unsent) {
  bool Execution = Which.At == Phase::Executing;
  if (Execution && Unsent) {
    settleOutstanding(Step, Which, false, nullptr);
    Which.Tried.push_back(Which.Executor.Host);
    if (Which.Grant)
      Which.Released = Which.Grant;
    return retry(Step, Which, ErrorKind::NeverStarted);
  }
  if (Which.Route->Policy.Idempotent) {
    settleOutstanding(Step, Which, false, nullptr);
    Which.Tried.push_back(Which.Executor.Host);
    return retry(Step, Which, ErrorKind::BackendFailed);
  }
  if (++Which.SilentChecks > MaxSilentChecks) {
    settleOutstanding(Step, Which, false, nullptr);
    return fail(Step, Which, ErrorKind::OutcomeUnknown);
  }
  Which.At = Phase::Awaiting;
  Which.Confirmed = false;
  sendAwait(Step, Which);
}

void Ingress::checkSilence(IngressStep &Step, Call &Which) {
  if (Which.Confirmed) {
    // Still confirmed from the last question: ask again.
    Which.Confirmed = false;
    return sendAwait(Step, Which);
  }
  // No reply: the link may have gone silent, so the next question goes over a
  // new one.
  Step.Out.push_back(ResetPeer{Which.Executor.Host});
  Choice.lost(Step.Now, Which.Executor.Host);
  executorLost(Step, Which, false);
}

void Ingress::retry(IngressStep &Step, Call &Which, ErrorKind Why) {
  Which.LastRefusal = Why;
  Which.At = Phase::Backoff;
  if (Which.Attempts >= Which.Route->MaxAttempts)
    return fail(Step, Which, Why);
  if (!Budget.take(Step.Now, Which.Route->Policy.Service)) {
    Step.Out.push_back(Count{Counter::RetriesDenied});
    bool NotRun = errorEntry(Why).Run == RunState::No;
    return fail(Step, Which, NotRun ? ErrorKind::RetryBudgetSpent : Why);
  }
  Step.Out.push_back(Count{Counter::Retries});
  advance(Step, Which);
}

void Ingress::retryLater(IngressStep &Step, Call &Which, ErrorKind Why) {
  if (++Which.ClaimTries >= MaxClaimTries)
    return fail(Step, Which, Why);
  Which.At = Phase::Backoff;
  wakeAt(Which, Step.Now + ViewDelay);
}

void Ingress::deadlinePassed(IngressStep &Step, Call &Which) {
  bool Sent = Which.At == Phase::Executing || Which.At == Phase::Awaiting;
  if (Sent && Which.Route->Policy.Idempotent)
    Step.Out.push_back(SendPeer{Which.Executor.Host, Cancel{Which.Id}});
  settleOutstanding(Step, Which, false, nullptr);
  fail(Step, Which,
       Sent ? ErrorKind::DeadlineUnknown : ErrorKind::DeadlineNotRun);
}

void Ingress::timer(IngressStep &Step) {
  while (!WakeOrder.empty() && WakeOrder.begin()->first <= Step.Now) {
    Call &Which = Calls.at(WakeOrder.begin()->second);
    WakeOrder.erase(WakeOrder.begin());
    if (Step.Now >= Which.Deadline) {
      deadlinePassed(Step, Which);
      continue;
    }
    switch (Which.At) {
    case Phase::Backoff:
      advance(Step, Which);
      continue;
    case Phase::Claiming:
      Step.Out.push_back(ResetPeer{Which.Coordinator});
      coordinatorLost(Step, Which);
      continue;
    case Phase::Executing:
    case Phase::Awaiting:
      checkSilence(Step, Which);
      continue;
    }
  }
}

TimePoint Ingress::nextWake() const {
  return WakeOrder.empty() ? TimePoint::max() : WakeOrder.begin()->first;
}

void Ingress::settleOutstanding(IngressStep &Step, Call &Which, bool Success,
                                const LoadReport *Load) {
  if (!Which.Outstanding)
    return;
  Which.Outstanding = false;
  Choice.ended(Step.Now, Which.Executor.Host, Success, Load);
}

void Ingress::finish(IngressStep &Step, Call &Which, HttpResponse Response) {
  Step.Out.push_back(Count{Counter::CallsAnswered});
  if (!Which.Route->Policy.Idempotent)
    Step.Out.push_back(Trace{TraceKind::CallAnswered, callName(Which),
                             std::to_string(Response.Status)});
  Step.Out.push_back(ReplyCaller{Which.Caller, std::move(Response)});
  forget(Which);
}

void Ingress::fail(IngressStep &Step, Call &Which, ErrorKind Kind) {
  settleOutstanding(Step, Which, false, nullptr);
  // An earlier sending of the same key may have run as long as no coordinator
  // has looked it up.
  bool NotRun = errorEntry(Kind).Run == RunState::No;
  if (Which.Key && !Which.KeyChecked && NotRun)
    Kind = ErrorKind::CoordinatorUnavailable;
  Step.Out.push_back(Count{errorEntry(Kind).Run == RunState::No
                               ? Counter::CallsRefused
                               : Counter::CallsUnknown});
  Step.Out.push_back(Trace{TraceKind::CallRefused, callName(Which),
                           std::string(errorEntry(Kind).Name)});
  Step.Out.push_back(ReplyCaller{Which.Caller, errorResponse(Kind)});
  forget(Which);
}

} // namespace figsail
