// Ingress.cpp - Calls of callers, from arrival to the one answer.

#include "Ingress.h"

#include "RequestIdentity.h"

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
/// For so long after a change of members a coordinator may lack
/// acknowledgements that are only under way; a claim that it cannot decide is
/// tried again.
static constexpr Duration SettleTime = 1s;
/// Delay before a claim or call is sent again because two daemons' views
/// differ.
static constexpr Duration ViewDelay = 50ms;

std::string Ingress::callName(const Call &Current) const {
  return std::to_string(Self.Inc) + "/" + std::to_string(Current.Number);
}

static bool servedIn(const CallPolicy &Policy, const std::string &Region) {
  const std::vector<std::string> &Home = Policy.HomeRegions;
  return Home.empty() || std::ranges::find(Home, Region) != Home.end();
}

Ingress::Ingress(const NodeSettings &Settings)
    : Self{Settings.Self.Host, Settings.Self.Inc},
      OwnLocality{Settings.Self.Region, Settings.Self.FailureDomain},
      Selector(Self.Host, OwnLocality, makePolicy(Settings.Policy)),
      Link(Settings.RegionLinkBytes) {}

HeadDecision Ingress::checkHead(const ReplicatedState &State,
                                std::string_view Method,
                                std::string_view Target) const {
  auto Route = State.configuration().findRoute(Method, Target);
  if (!Route)
    return errorResponse(ErrorKind::NoRoute);
  if (!servedIn(Route->Policy, OwnLocality.Region)) {
    std::string Regions = "Regions:";
    for (const std::string &Region : Route->Policy.HomeRegions)
      Regions += " " + Region;
    return errorResponse(ErrorKind::WrongRegion, Regions);
  }
  return ReadBody{Route->MaxBody};
}

void Ingress::request(IngressStep &Step, CallerRequest Arrived) {
  Step.Out.push_back(Count{Counter::Calls});
  HeadDecision Head =
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
  New.Fingerprint = requestFingerprint(*New.Route, New.Request);
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

void Ingress::callerDisconnected(IngressStep &Step, CallerId Caller) {
  auto Found = ByCaller.find(Caller);
  if (Found == ByCaller.end())
    return;
  Call &Current = Calls.at(Found->second);
  // A non-idempotent call is followed to its end, so that its record is
  // settled.
  if (!Current.Route->Policy.Idempotent)
    return;
  if (!Current.Executor.Host.empty())
    Step.Out.push_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
  settleOutstanding(Step, Current, true, nullptr);
  forget(Current);
}

Ingress::Call *Ingress::find(const CallId &Id) {
  if (Id.Ingress != Self.Inc)
    return nullptr;
  auto Found = ByAttempt.find(Id.Sequence);
  return Found == ByAttempt.end() ? nullptr : &Calls.at(Found->second);
}

void Ingress::wakeAt(Call &Current, TimePoint At) {
  WakeOrder.erase({Current.WakeAt, Current.Number});
  Current.WakeAt = std::min(At, Current.Deadline);
  WakeOrder.insert({Current.WakeAt, Current.Number});
}

/// Takes a new id, so that a late reply to the attempt before matches none.
void Ingress::newAttempt(Call &Current) {
  ByAttempt.erase(Current.Id.Sequence);
  Current.Id = {Self.Inc, NextSequence++};
  ByAttempt[Current.Id.Sequence] = Current.Number;
}

void Ingress::forget(const Call &Current) {
  std::uint64_t Number = Current.Number;
  WakeOrder.erase({Current.WakeAt, Number});
  ByAttempt.erase(Current.Id.Sequence);
  ByCaller.erase(Current.Caller);
  Calls.erase(Number);
}

void Ingress::advance(IngressStep &Step, Call &Current) {
  if (Step.Now >= Current.Deadline)
    return deadlinePassed(Step, Current);
  newAttempt(Current);
  if (Current.Key)
    return claim(Step, Current);
  execute(Step, Current);
}

const Member *Ingress::chooseExecutor(IngressStep &Step, const Call &Current,
                                      const EpochEntry &Epoch,
                                      const HostId *Coordinator) {
  const std::string &Route = Current.Route->Policy.Route;
  std::vector<const Member *> Eligible;
  for (const Member *Who : eligibleMembers(Epoch, Route)) {
    // The call's own policy binds it even when the tree has changed since it
    // arrived.
    if (!servedIn(Current.Route->Policy, Who->Region))
      continue;
    if (Coordinator && !mayExecute(Epoch, Route, *Coordinator, Who->Host))
      continue;
    Eligible.push_back(Who);
  }
  return Selector.choose(Step.Now, Eligible, Current.Tried,
                         Link.available(Step.Now), Step.Seed);
}

void Ingress::claim(IngressStep &Step, Call &Current) {
  const CallPolicy &Policy = Current.Route->Policy;
  const EpochHistory *History = Step.State.epochs(Policy.Service);
  if (!History || History->empty())
    return fail(Step, Current, ErrorKind::NoBackendServer);
  const EpochEntry &Epoch = History->current();
  const Member *Coordinator = coordinatorOf(Epoch, Policy.Route, *Current.Key);
  if (!Coordinator || !servedIn(Policy, Coordinator->Region))
    return fail(Step, Current, ErrorKind::NoBackendServer);
  const Member *Executor =
      chooseExecutor(Step, Current, Epoch, &Coordinator->Host);
  if (!Executor)
    return fail(Step, Current, Current.LastRefusal);

  Current.At = Phase::Claiming;
  Current.Coordinator = Coordinator->Host;
  Current.Executor = {Executor->Host, Executor->Inc};
  Current.Grant.reset();
  Claim Message;
  Message.Call = Current.Id;
  Message.Key = *Current.Key;
  Message.Fingerprint = Current.Fingerprint;
  Message.Policy = Policy;
  Message.Epoch = Epoch.At;
  Message.Executor = Current.Executor;
  Message.Released = Current.Released;
  Step.Out.push_back(Count{Counter::Claims});
  Step.Out.push_back(SendPeer{Current.Coordinator, std::move(Message)});
  wakeAt(Current, Step.Now + ClaimTimeout);
}

void Ingress::execute(IngressStep &Step, Call &Current) {
  const EpochHistory *History =
      Step.State.epochs(Current.Route->Policy.Service);
  if (!History || History->empty())
    return fail(Step, Current, ErrorKind::NoBackendServer);
  const Member *To = chooseExecutor(Step, Current, History->current(), nullptr);
  if (!To)
    return fail(Step, Current, Current.LastRefusal);
  sendExecute(Step, Current, *To);
}

void Ingress::sendExecute(IngressStep &Step, Call &Current, const Member &To) {
  Current.At = Phase::Executing;
  Current.Executor = {To.Host, To.Inc};
  Current.Confirmed = false;
  Current.SilentChecks = 0;
  ++Current.Attempts;
  Selector.callSent(Step.Now, To.Host);
  Current.Outstanding = true;
  if (To.FailureDomain != OwnLocality.FailureDomain)
    Step.Out.push_back(Count{Counter::CrossDomain});
  if (To.Region != OwnLocality.Region) {
    std::size_t Bytes =
        messageSize(Current.Request.Headers, Current.Request.Body);
    Link.sent(Step.Now, Bytes);
    Step.Out.push_back(Count{Counter::CrossRegion});
    Step.Out.push_back(Count{Counter::CrossRegionBytes, Bytes});
  }
  Execute Message;
  Message.Call = Current.Id;
  Message.Target = To.Inc;
  Message.Policy = Current.Route->Policy;
  Message.BudgetMicros = (Current.Deadline - Step.Now).count();
  Message.Fingerprint = Current.Fingerprint;
  Message.Grant = Current.Grant;
  Message.Request = Current.Request;
  Step.Out.push_back(SendPeer{To.Host, std::move(Message)});
  wakeAt(Current, Step.Now + ConfirmTimeout);
}

void Ingress::sendAwait(IngressStep &Step, Call &Current) {
  Step.Out.push_back(
      SendPeer{Current.Executor.Host,
               Await{Current.Id, Current.Grant, Current.Executor.Inc}});
  wakeAt(Current, Step.Now + ConfirmTimeout);
}

void Ingress::received(IngressStep &Step, const Received &Message) {
  Call *Current = find(Message.Call);
  if (!Current ||
      (Current->At != Phase::Executing && Current->At != Phase::Awaiting))
    return;
  Current->Confirmed = true;
  Current->SilentChecks = 0;
  wakeAt(*Current, Step.Now + RunningCheckInterval);
}

void Ingress::answered(IngressStep &Step, const PeerRef &From, Answer Message) {
  Call *Current = find(Message.Call);
  if (!Current) {
    Step.Out.push_back(Count{Counter::StaleMessages});
    return;
  }
  const Member *Who = Step.State.member(From.Host);
  if (Who && Who->Region != OwnLocality.Region) {
    std::size_t Bytes =
        messageSize(Message.Response.Headers, Message.Response.Body);
    Link.received(Step.Now, Bytes);
    Step.Out.push_back(Count{Counter::CrossRegionBytes, Bytes});
  }
  bool SameHost = Current->Executor.Host == From.Host;
  settleOutstanding(Step, *Current, Message.Response.Status < 500,
                    SameHost ? &Message.Load : nullptr);
  finish(Step, *Current, std::move(Message.Response));
}

void Ingress::refused(IngressStep &Step, const PeerRef &From,
                      const Refused &Message) {
  Call *Current = find(Message.Call);
  // A late refusal by an executor that the call has left says nothing about the
  // present one.
  if (!Current || Current->Executor.Host != From.Host ||
      (Current->At != Phase::Executing && Current->At != Phase::Awaiting)) {
    Step.Out.push_back(Count{Counter::StaleMessages});
    return;
  }
  // An Execute that the new incarnation received never reached the old one. For
  // an Await this does not follow: the old one may have received the Execute
  // before.
  bool Undelivered = Current->At == Phase::Executing &&
                     Message.Kind == ErrorKind::WrongIncarnation;
  if (Current->Executor.Inc != From.Inc && !Undelivered)
    return executorRestarted(Step, *Current);
  if (Current->Outstanding)
    Selector.callRefused(Step.Now, From.Host, Message.Load);
  settleOutstanding(Step, *Current, true, &Message.Load);
  if (Current->Grant) {
    Current->KeyChecked = true;
    Current->Released = Current->Grant;
  }
  bool ViewsDiffer = Message.Kind == ErrorKind::StaleEpoch ||
                     Message.Kind == ErrorKind::WrongIncarnation;
  if (ViewsDiffer)
    return retryLater(Step, *Current, Message.Kind);
  bool Final = Message.Kind == ErrorKind::WrongRegion ||
               Message.Kind == ErrorKind::Quarantined ||
               Message.Kind == ErrorKind::RecordCapacity;
  if (Final)
    return fail(Step, *Current, Message.Kind);
  Current->Tried.push_back(From.Host);
  retry(Step, *Current, Message.Kind);
}

void Ingress::executorRestarted(IngressStep &Step, Call &Current) {
  settleOutstanding(Step, Current, false, nullptr);
  if (!Current.Route->Policy.Idempotent)
    return fail(Step, Current, ErrorKind::OutcomeUnknown);
  retry(Step, Current, ErrorKind::BackendFailed);
}

void Ingress::failed(IngressStep &Step, const PeerRef &From,
                     const Failed &Message) {
  Call *Current = find(Message.Call);
  if (!Current || Current->Executor.Host != From.Host) {
    Step.Out.push_back(Count{Counter::StaleMessages});
    return;
  }
  settleOutstanding(Step, *Current, false, &Message.Load);
  if (!Current->Route->Policy.Idempotent ||
      Message.Kind == ErrorKind::DeadlineUnknown)
    return fail(Step, *Current, Message.Kind);
  Current->Tried.push_back(From.Host);
  retry(Step, *Current, Message.Kind);
}

void Ingress::granted(IngressStep &Step, const Granted &Message) {
  Call *Current = find(Message.Call);
  if (!Current || Current->At != Phase::Claiming ||
      Message.Token.Executor != Current->Executor) {
    Step.Out.push_back(Count{Counter::StaleMessages});
    return;
  }
  // An Execute must not outlive its deadline, or the record that grants it
  // might be forgotten before it arrives.
  if (Step.Now >= Current->Deadline)
    return deadlinePassed(Step, *Current);
  Current->KeyChecked = true;
  Current->ClaimTries = 0;
  Current->Grant = Message.Token;
  const Member *To = Step.State.member(Message.Token.Executor.Host);
  if (!To || To->Inc != Message.Token.Executor.Inc) {
    // The executor was replaced while the claim was under way, and nothing was
    // sent to it.
    Current->Released = Message.Token;
    return retryLater(Step, *Current, ErrorKind::WrongIncarnation);
  }
  Step.Out.push_back(Trace{TraceKind::ClaimGranted, callName(*Current),
                           "attempt " + std::to_string(Message.Token.Attempt) +
                               " at " + Message.Token.Executor.Host});
  sendExecute(Step, *Current, *To);
}

void Ingress::claimHeld(IngressStep &Step, const ClaimHeld &Message) {
  Call *Current = find(Message.Call);
  if (!Current || Current->At != Phase::Claiming)
    return;
  Current->At = Phase::Awaiting;
  Current->Grant = Message.Token;
  Current->Executor = Message.Token.Executor;
  Current->Confirmed = false;
  Current->SilentChecks = 0;
  sendAwait(Step, *Current);
}

void Ingress::claimDone(IngressStep &Step, ClaimDone Message) {
  Call *Current = find(Message.Call);
  if (!Current || Current->At != Phase::Claiming)
    return;
  Step.Out.push_back(Count{Counter::ClaimsReplayed});
  finish(Step, *Current, std::move(Message.Response));
}

void Ingress::claimRefused(IngressStep &Step, const ClaimRefused &Message) {
  Call *Current = find(Message.Call);
  if (!Current || Current->At != Phase::Claiming)
    return;
  if (Message.Kind == ErrorKind::StaleEpoch ||
      Message.Kind == ErrorKind::WrongIncarnation)
    return retryLater(Step, *Current, Message.Kind);
  const EpochHistory *History =
      Step.State.epochs(Current->Route->Policy.Service);
  bool Settling = History && !History->empty() &&
                  Step.Now - History->current().AppliedAt < SettleTime;
  if (Message.Kind == ErrorKind::OutcomeUnknown && Settling)
    return retryLater(Step, *Current, Message.Kind);
  // These two are said only after the key was looked up.
  Current->KeyChecked |= Message.Kind == ErrorKind::KeyReused ||
                         Message.Kind == ErrorKind::RecordCapacity;
  fail(Step, *Current, Message.Kind);
}

void Ingress::peerLost(IngressStep &Step, const PeerLost &Lost) {
  std::set<std::uint64_t> Unsent;
  for (const PeerMessage &Message : Lost.Unsent) {
    const auto *Sent = std::get_if<Execute>(&Message);
    if (Sent && Sent->Call.Ingress == Self.Inc)
      Unsent.insert(Sent->Call.Sequence);
  }
  std::vector<std::uint64_t> Affected;
  for (const auto &[Number, Current] : Calls) {
    bool AtExecutor =
        (Current.At == Phase::Executing || Current.At == Phase::Awaiting) &&
        Current.Executor.Host == Lost.Host;
    bool AtCoordinator =
        Current.At == Phase::Claiming && Current.Coordinator == Lost.Host;
    if (AtExecutor || AtCoordinator)
      Affected.push_back(Number);
  }
  // The order of a hash map must not decide which call gets the retry budget.
  std::ranges::sort(Affected);
  if (!Affected.empty())
    Selector.linkLost(Step.Now, Lost.Host);
  for (std::uint64_t Number : Affected) {
    Call &Current = Calls.at(Number);
    if (Current.At == Phase::Claiming)
      coordinatorLost(Step, Current);
    else
      executorLost(Step, Current, Unsent.contains(Current.Id.Sequence));
  }
}

void Ingress::coordinatorLost(IngressStep &Step, Call &Current) {
  // A coordinator that is away for long is replaced after its removal, which
  // takes seconds; the caller is told before that.
  Current.ClaimTries += MaxClaimTries / 3;
  retryLater(Step, Current, ErrorKind::CoordinatorUnavailable);
}

void Ingress::executorLost(IngressStep &Step, Call &Current, bool Unsent) {
  bool Execution = Current.At == Phase::Executing;
  if (Execution && Unsent) {
    settleOutstanding(Step, Current, false, nullptr);
    Current.Tried.push_back(Current.Executor.Host);
    if (Current.Grant)
      Current.Released = Current.Grant;
    return retry(Step, Current, ErrorKind::NeverStarted);
  }
  if (Current.Route->Policy.Idempotent) {
    settleOutstanding(Step, Current, false, nullptr);
    Current.Tried.push_back(Current.Executor.Host);
    return retry(Step, Current, ErrorKind::BackendFailed);
  }
  if (++Current.SilentChecks > MaxSilentChecks) {
    settleOutstanding(Step, Current, false, nullptr);
    return fail(Step, Current, ErrorKind::OutcomeUnknown);
  }
  Current.At = Phase::Awaiting;
  Current.Confirmed = false;
  sendAwait(Step, Current);
}

void Ingress::checkSilence(IngressStep &Step, Call &Current) {
  if (Current.Confirmed) {
    // Still confirmed from the last question: ask again.
    Current.Confirmed = false;
    return sendAwait(Step, Current);
  }
  // No reply: the link may have gone silent, so the next question goes over a
  // new one.
  Step.Out.push_back(ResetPeer{Current.Executor.Host});
  Selector.linkLost(Step.Now, Current.Executor.Host);
  executorLost(Step, Current, false);
}

void Ingress::retry(IngressStep &Step, Call &Current, ErrorKind Why) {
  Current.LastRefusal = Why;
  Current.At = Phase::Backoff;
  if (Current.Attempts >= Current.Route->MaxAttempts)
    return fail(Step, Current, Why);
  if (!Budget.take(Step.Now, Current.Route->Policy.Service)) {
    Step.Out.push_back(Count{Counter::RetriesDenied});
    bool NotRun = errorEntry(Why).Run == RunState::No;
    return fail(Step, Current, NotRun ? ErrorKind::RetryBudgetSpent : Why);
  }
  Step.Out.push_back(Count{Counter::Retries});
  advance(Step, Current);
}

void Ingress::retryLater(IngressStep &Step, Call &Current, ErrorKind Why) {
  if (++Current.ClaimTries >= MaxClaimTries)
    return fail(Step, Current, Why);
  Current.At = Phase::Backoff;
  wakeAt(Current, Step.Now + ViewDelay);
}

void Ingress::deadlinePassed(IngressStep &Step, Call &Current) {
  bool Sent = Current.At == Phase::Executing || Current.At == Phase::Awaiting;
  if (Sent && Current.Route->Policy.Idempotent)
    Step.Out.push_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
  settleOutstanding(Step, Current, false, nullptr);
  fail(Step, Current,
       Sent ? ErrorKind::DeadlineUnknown : ErrorKind::DeadlineNotRun);
}

void Ingress::timer(IngressStep &Step) {
  while (!WakeOrder.empty() && WakeOrder.begin()->first <= Step.Now) {
    Call &Current = Calls.at(WakeOrder.begin()->second);
    WakeOrder.erase(WakeOrder.begin());
    if (Step.Now >= Current.Deadline) {
      deadlinePassed(Step, Current);
      continue;
    }
    switch (Current.At) {
    case Phase::Backoff:
      advance(Step, Current);
      continue;
    case Phase::Claiming:
      Step.Out.push_back(ResetPeer{Current.Coordinator});
      coordinatorLost(Step, Current);
      continue;
    case Phase::Executing:
    case Phase::Awaiting:
      checkSilence(Step, Current);
      continue;
    }
  }
}

TimePoint Ingress::nextWake() const {
  return WakeOrder.empty() ? TimePoint::max() : WakeOrder.begin()->first;
}

void Ingress::settleOutstanding(IngressStep &Step, Call &Current, bool Success,
                                const LoadReport *Load) {
  if (!Current.Outstanding)
    return;
  Current.Outstanding = false;
  Selector.callEnded(Step.Now, Current.Executor.Host, Success, Load);
}

void Ingress::finish(IngressStep &Step, Call &Current, HttpResponse Response) {
  Step.Out.push_back(Count{Counter::CallsAnswered});
  if (!Current.Route->Policy.Idempotent)
    Step.Out.push_back(Trace{TraceKind::CallAnswered, callName(Current),
                             std::to_string(Response.Status)});
  Step.Out.push_back(ReplyCaller{Current.Caller, std::move(Response)});
  forget(Current);
}

void Ingress::fail(IngressStep &Step, Call &Current, ErrorKind Kind) {
  settleOutstanding(Step, Current, false, nullptr);
  // An earlier sending of the same key may have run as long as no coordinator
  // has looked it up.
  bool NotRun = errorEntry(Kind).Run == RunState::No;
  if (Current.Key && !Current.KeyChecked && NotRun)
    Kind = ErrorKind::CoordinatorUnavailable;
  Step.Out.push_back(Count{errorEntry(Kind).Run == RunState::No
                               ? Counter::CallsRefused
                               : Counter::CallsUnknown});
  Step.Out.push_back(Trace{TraceKind::CallRefused, callName(Current),
                           std::string(errorEntry(Kind).Name)});
  Step.Out.push_back(ReplyCaller{Current.Caller, errorResponse(Kind)});
  forget(Current);
}

} // namespace figsail
