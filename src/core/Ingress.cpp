// Ingress.cpp - Handling of calls from arrival to their answer.

#include "Ingress.h"

#include "RequestIdentity.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// Time for an executor to confirm a call. It confirms at once; the longest
/// round trip between regions is about 60 ms.
static constexpr Duration ConfirmTimeout = 200ms;
/// Interval of queries for a confirmed call, so that an unresponsive link is
/// detected.
static constexpr Duration RunningCheckInterval = 1s;
/// Queries without a reply before the executor is considered unreachable.
static constexpr std::uint32_t MaxUnansweredAwaits = 2;
/// Time for a coordinator to reply to a claim.
static constexpr Duration ClaimTimeout = 300ms;
/// Claims without a usable reply before the call fails. With ViewSyncDelay this
/// covers the time that a new epoch takes to reach the other members.
static constexpr std::uint32_t MaxClaimTries = 12;
/// Time after a change of members in which acknowledgements to a coordinator
/// may still be in flight; a claim that it cannot decide is retried.
static constexpr Duration SettleTime = 1s;
/// Delay before a claim or call is sent again when two daemons have different
/// member lists.
static constexpr Duration ViewSyncDelay = 50ms;

std::string Ingress::callLabel(const Call &Current) const {
  return std::to_string(Self.Inc) + "/" + std::to_string(Current.Number);
}

static bool isServedIn(const CallPolicy &Policy, const std::string &Region) {
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
  if (!isServedIn(Route->Policy, OwnLocality.Region)) {
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
  Budget.recordCall(Step.Now, New.Route->Policy.Service);

  bool Keyed = !New.Route->Policy.Idempotent &&
               New.Route->Identity.From != IdentityRule::Source::None;
  if (!New.Route->Policy.Idempotent)
    Step.Out.push_back(
        Trace{TraceKind::CallArrived, callLabel(New), New.Route->Policy.Route});
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
  // A non-idempotent call continues to its end, so that its record gets an
  // outcome.
  if (!Current.Route->Policy.Idempotent)
    return;
  if (!Current.Executor.Host.empty())
    Step.Out.push_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
  endOutstanding(Step, Current, true, nullptr);
  erase(Current);
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

/// Assigns a new id, so that a late reply to the previous attempt matches no
/// call.
void Ingress::newAttempt(Call &Current) {
  ByAttempt.erase(Current.Id.Sequence);
  Current.Id = {Self.Inc, NextSequence++};
  ByAttempt[Current.Id.Sequence] = Current.Number;
}

void Ingress::erase(const Call &Current) {
  std::uint64_t Number = Current.Number;
  WakeOrder.erase({Current.WakeAt, Number});
  ByAttempt.erase(Current.Id.Sequence);
  ByCaller.erase(Current.Caller);
  Calls.erase(Number);
}

void Ingress::advance(IngressStep &Step, Call &Current) {
  if (Step.Now >= Current.Deadline)
    return deadlineExceeded(Step, Current);
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
  for (const Member *Peer : eligibleMembers(Epoch, Route)) {
    // The policy of the call applies even if the configuration has changed
    // since its arrival.
    if (!isServedIn(Current.Route->Policy, Peer->Region))
      continue;
    if (Coordinator && !mayExecute(Epoch, Route, *Coordinator, Peer->Host))
      continue;
    Eligible.push_back(Peer);
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
  if (!Coordinator || !isServedIn(Policy, Coordinator->Region))
    return fail(Step, Current, ErrorKind::NoBackendServer);
  const Member *Executor =
      chooseExecutor(Step, Current, Epoch, &Coordinator->Host);
  if (!Executor)
    return fail(Step, Current, Current.LastRefusal);

  Current.Stage = Phase::Claiming;
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
  Current.Stage = Phase::Executing;
  Current.Executor = {To.Host, To.Inc};
  Current.Confirmed = false;
  Current.UnansweredAwaits = 0;
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
      (Current->Stage != Phase::Executing && Current->Stage != Phase::Awaiting))
    return;
  Current->Confirmed = true;
  Current->UnansweredAwaits = 0;
  wakeAt(*Current, Step.Now + RunningCheckInterval);
}

void Ingress::answered(IngressStep &Step, const PeerRef &From, Answer Message) {
  Call *Current = find(Message.Call);
  if (!Current) {
    Step.Out.push_back(Count{Counter::StaleMessages});
    return;
  }
  const Member *Peer = Step.State.member(From.Host);
  if (Peer && Peer->Region != OwnLocality.Region) {
    std::size_t Bytes =
        messageSize(Message.Response.Headers, Message.Response.Body);
    Link.received(Step.Now, Bytes);
    Step.Out.push_back(Count{Counter::CrossRegionBytes, Bytes});
  }
  bool SameHost = Current->Executor.Host == From.Host;
  endOutstanding(Step, *Current, Message.Response.Status < 500,
                 SameHost ? &Message.Load : nullptr);
  finish(Step, *Current, std::move(Message.Response));
}

void Ingress::refused(IngressStep &Step, const PeerRef &From,
                      const Refused &Message) {
  Call *Current = find(Message.Call);
  // A late refusal by an earlier executor of the call does not apply to the
  // current one.
  if (!Current || Current->Executor.Host != From.Host ||
      (Current->Stage != Phase::Executing &&
       Current->Stage != Phase::Awaiting)) {
    Step.Out.push_back(Count{Counter::StaleMessages});
    return;
  }
  // An Execute that the new incarnation received never reached the old one.
  // This does not hold for an Await: the old incarnation may have received the
  // Execute before.
  bool Undelivered = Current->Stage == Phase::Executing &&
                     Message.Kind == ErrorKind::WrongIncarnation;
  if (Current->Executor.Inc != From.Inc && !Undelivered)
    return executorRestarted(Step, *Current);
  if (Current->Outstanding)
    Selector.callRefused(Step.Now, From.Host, Message.Load);
  endOutstanding(Step, *Current, true, &Message.Load);
  if (Current->Grant) {
    Current->KeyChecked = true;
    Current->Released = Current->Grant;
  }
  bool ViewsDiffer = Message.Kind == ErrorKind::StaleEpoch ||
                     Message.Kind == ErrorKind::WrongIncarnation;
  if (ViewsDiffer)
    return retryLater(Step, *Current, Message.Kind);
  bool NotRetryable = Message.Kind == ErrorKind::WrongRegion ||
                      Message.Kind == ErrorKind::Quarantined ||
                      Message.Kind == ErrorKind::RecordCapacity;
  if (NotRetryable)
    return fail(Step, *Current, Message.Kind);
  Current->Tried.push_back(From.Host);
  retry(Step, *Current, Message.Kind);
}

void Ingress::executorRestarted(IngressStep &Step, Call &Current) {
  endOutstanding(Step, Current, false, nullptr);
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
  endOutstanding(Step, *Current, false, &Message.Load);
  if (!Current->Route->Policy.Idempotent ||
      Message.Kind == ErrorKind::DeadlineUnknown)
    return fail(Step, *Current, Message.Kind);
  Current->Tried.push_back(From.Host);
  retry(Step, *Current, Message.Kind);
}

void Ingress::granted(IngressStep &Step, const Granted &Message) {
  Call *Current = find(Message.Call);
  if (!Current || Current->Stage != Phase::Claiming ||
      Message.Token.Executor != Current->Executor) {
    Step.Out.push_back(Count{Counter::StaleMessages});
    return;
  }
  // An Execute sent after its deadline might arrive after the record of its
  // grant has expired.
  if (Step.Now >= Current->Deadline)
    return deadlineExceeded(Step, *Current);
  Current->KeyChecked = true;
  Current->ClaimTries = 0;
  Current->Grant = Message.Token;
  const Member *To = Step.State.member(Message.Token.Executor.Host);
  if (!To || To->Inc != Message.Token.Executor.Inc) {
    // The executor was replaced while the claim was in flight, and no Execute
    // was sent to it.
    Current->Released = Message.Token;
    return retryLater(Step, *Current, ErrorKind::WrongIncarnation);
  }
  Step.Out.push_back(Trace{TraceKind::ClaimGranted, callLabel(*Current),
                           "attempt " + std::to_string(Message.Token.Attempt) +
                               " at " + Message.Token.Executor.Host});
  sendExecute(Step, *Current, *To);
}

void Ingress::claimHeld(IngressStep &Step, const ClaimHeld &Message) {
  Call *Current = find(Message.Call);
  if (!Current || Current->Stage != Phase::Claiming)
    return;
  Current->Stage = Phase::Awaiting;
  Current->Grant = Message.Token;
  Current->Executor = Message.Token.Executor;
  Current->Confirmed = false;
  Current->UnansweredAwaits = 0;
  sendAwait(Step, *Current);
}

void Ingress::claimDone(IngressStep &Step, ClaimDone Message) {
  Call *Current = find(Message.Call);
  if (!Current || Current->Stage != Phase::Claiming)
    return;
  Step.Out.push_back(Count{Counter::ClaimsReplayed});
  finish(Step, *Current, std::move(Message.Response));
}

void Ingress::claimRefused(IngressStep &Step, const ClaimRefused &Message) {
  Call *Current = find(Message.Call);
  if (!Current || Current->Stage != Phase::Claiming)
    return;
  if (Message.Kind == ErrorKind::StaleEpoch ||
      Message.Kind == ErrorKind::WrongIncarnation)
    return retryLater(Step, *Current, Message.Kind);
  const EpochHistory *History =
      Step.State.epochs(Current->Route->Policy.Service);
  bool RecentlyChanged = History && !History->empty() &&
                         Step.Now - History->current().AppliedAt < SettleTime;
  if (Message.Kind == ErrorKind::OutcomeUnknown && RecentlyChanged)
    return retryLater(Step, *Current, Message.Kind);
  // A coordinator sends these two kinds only after it has looked up the key.
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
    bool AtExecutor = (Current.Stage == Phase::Executing ||
                       Current.Stage == Phase::Awaiting) &&
                      Current.Executor.Host == Lost.Host;
    bool AtCoordinator =
        Current.Stage == Phase::Claiming && Current.Coordinator == Lost.Host;
    if (AtExecutor || AtCoordinator)
      Affected.push_back(Number);
  }
  // The order of a hash map must not determine which call gets the retry
  // budget.
  std::ranges::sort(Affected);
  if (!Affected.empty())
    Selector.linkLost(Step.Now, Lost.Host);
  for (std::uint64_t Number : Affected) {
    Call &Current = Calls.at(Number);
    if (Current.Stage == Phase::Claiming)
      coordinatorLost(Step, Current);
    else
      executorLost(Step, Current, Unsent.contains(Current.Id.Sequence));
  }
}

void Ingress::coordinatorLost(IngressStep &Step, Call &Current) {
  // A coordinator that stays unreachable is replaced after its removal, which
  // takes seconds; the call fails before that.
  Current.ClaimTries += MaxClaimTries / 3;
  retryLater(Step, Current, ErrorKind::CoordinatorUnavailable);
}

void Ingress::executorLost(IngressStep &Step, Call &Current, bool Unsent) {
  bool AwaitsExecution = Current.Stage == Phase::Executing;
  if (AwaitsExecution && Unsent) {
    endOutstanding(Step, Current, false, nullptr);
    Current.Tried.push_back(Current.Executor.Host);
    if (Current.Grant)
      Current.Released = Current.Grant;
    return retry(Step, Current, ErrorKind::NeverStarted);
  }
  if (Current.Route->Policy.Idempotent) {
    endOutstanding(Step, Current, false, nullptr);
    Current.Tried.push_back(Current.Executor.Host);
    return retry(Step, Current, ErrorKind::BackendFailed);
  }
  if (++Current.UnansweredAwaits > MaxUnansweredAwaits) {
    endOutstanding(Step, Current, false, nullptr);
    return fail(Step, Current, ErrorKind::OutcomeUnknown);
  }
  Current.Stage = Phase::Awaiting;
  Current.Confirmed = false;
  sendAwait(Step, Current);
}

void Ingress::checkResponsiveness(IngressStep &Step, Call &Current) {
  if (Current.Confirmed) {
    // Confirmed since the last query: send the next one.
    Current.Confirmed = false;
    return sendAwait(Step, Current);
  }
  // No reply: the link may be dead, so the next query uses a new one.
  Step.Out.push_back(ResetPeer{Current.Executor.Host});
  Selector.linkLost(Step.Now, Current.Executor.Host);
  executorLost(Step, Current, false);
}

void Ingress::retry(IngressStep &Step, Call &Current, ErrorKind Reason) {
  Current.LastRefusal = Reason;
  Current.Stage = Phase::Backoff;
  if (Current.Attempts >= Current.Route->MaxAttempts)
    return fail(Step, Current, Reason);
  if (!Budget.take(Step.Now, Current.Route->Policy.Service)) {
    Step.Out.push_back(Count{Counter::RetriesDenied});
    bool NotRun = errorEntry(Reason).Run == RunState::No;
    return fail(Step, Current, NotRun ? ErrorKind::RetryBudgetSpent : Reason);
  }
  Step.Out.push_back(Count{Counter::Retries});
  advance(Step, Current);
}

void Ingress::retryLater(IngressStep &Step, Call &Current, ErrorKind Reason) {
  if (++Current.ClaimTries >= MaxClaimTries)
    return fail(Step, Current, Reason);
  Current.Stage = Phase::Backoff;
  wakeAt(Current, Step.Now + ViewSyncDelay);
}

void Ingress::deadlineExceeded(IngressStep &Step, Call &Current) {
  endEarly(Step, Current, ErrorKind::DeadlineUnknown,
           ErrorKind::DeadlineNotRun);
}

void Ingress::endAll(IngressStep &Step) {
  std::vector<std::uint64_t> Open;
  for (const auto &[Number, Current] : Calls)
    Open.push_back(Number);
  for (std::uint64_t Number : Open)
    endEarly(Step, Calls.at(Number), ErrorKind::OutcomeUnknown,
             ErrorKind::Draining);
}

/// Ends a call before its executor has replied.
void Ingress::endEarly(IngressStep &Step, Call &Current, ErrorKind Unknown,
                       ErrorKind NotRun) {
  bool Sent =
      Current.Stage == Phase::Executing || Current.Stage == Phase::Awaiting;
  if (Sent && Current.Route->Policy.Idempotent)
    Step.Out.push_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
  endOutstanding(Step, Current, false, nullptr);
  fail(Step, Current, Sent ? Unknown : NotRun);
}

void Ingress::timer(IngressStep &Step) {
  while (!WakeOrder.empty() && WakeOrder.begin()->first <= Step.Now) {
    Call &Current = Calls.at(WakeOrder.begin()->second);
    WakeOrder.erase(WakeOrder.begin());
    if (Step.Now >= Current.Deadline) {
      deadlineExceeded(Step, Current);
      continue;
    }
    switch (Current.Stage) {
    case Phase::Backoff:
      advance(Step, Current);
      continue;
    case Phase::Claiming:
      Step.Out.push_back(ResetPeer{Current.Coordinator});
      coordinatorLost(Step, Current);
      continue;
    case Phase::Executing:
    case Phase::Awaiting:
      checkResponsiveness(Step, Current);
      continue;
    }
  }
}

TimePoint Ingress::nextWake() const {
  return WakeOrder.empty() ? TimePoint::max() : WakeOrder.begin()->first;
}

void Ingress::endOutstanding(IngressStep &Step, Call &Current, bool Success,
                             const LoadReport *Load) {
  if (!Current.Outstanding)
    return;
  Current.Outstanding = false;
  Selector.callEnded(Step.Now, Current.Executor.Host, Success, Load);
}

void Ingress::finish(IngressStep &Step, Call &Current, HttpResponse Response) {
  Step.Out.push_back(Count{Counter::CallsAnswered});
  if (!Current.Route->Policy.Idempotent)
    Step.Out.push_back(Trace{TraceKind::CallAnswered, callLabel(Current),
                             std::to_string(Response.Status)});
  Step.Out.push_back(ReplyCaller{Current.Caller, std::move(Response)});
  erase(Current);
}

void Ingress::fail(IngressStep &Step, Call &Current, ErrorKind Kind) {
  endOutstanding(Step, Current, false, nullptr);
  // Until a coordinator has looked up the key, an earlier request with the same
  // key may have run.
  bool NotRun = errorEntry(Kind).Run == RunState::No;
  if (Current.Key && !Current.KeyChecked && NotRun)
    Kind = ErrorKind::CoordinatorUnavailable;
  Step.Out.push_back(Count{errorEntry(Kind).Run == RunState::No
                               ? Counter::CallsRefused
                               : Counter::CallsUnknown});
  Step.Out.push_back(Trace{TraceKind::CallRefused, callLabel(Current),
                           std::string(errorEntry(Kind).Name)});
  Step.Out.push_back(ReplyCaller{Current.Caller, errorResponse(Kind)});
  erase(Current);
}

} // namespace figsail
