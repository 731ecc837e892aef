// Admission.cpp - Admission of calls, cancellation and probes.

#include "AdmissionBase.h"

#include <algorithm>

namespace figsail {

/// A probe without a result has failed after this time; the next may start.
static constexpr Duration ProbeTimeout = std::chrono::seconds(10);

LoadReport Admission::State::load() const {
  LoadReport Load;
  Load.Limit = Limit.value();
  Load.Running = static_cast<std::uint32_t>(Runs.size());
  Load.Queued = static_cast<std::uint32_t>(Queue.size());
  Load.ServiceTime = ServiceTime;
  Load.Draining = Draining || OutOfService;
  // A server that fails fast has few running requests but must not look idle.
  if (Limit.isHeld())
    Load.Running = std::max(Load.Running, Load.Limit);
  return Load;
}

bool Admission::State::inHomeRegions(const CallPolicy &Policy) const {
  if (Policy.HomeRegions.empty())
    return true;
  return std::ranges::find(Policy.HomeRegions, Settings.Region) !=
         Policy.HomeRegions.end();
}

std::optional<ErrorKind>
Admission::State::checkGate(const AdmissionGate &Gate,
                            const Execute &Message) const {
  if (Draining)
    return ErrorKind::Draining;
  if (!Gate.InService)
    return ErrorKind::NoBackendServer;
  if (Message.Target != 0 && Message.Target != Self.Inc)
    return ErrorKind::WrongIncarnation;
  // Rule 7 of the at-most-once design: no non-idempotent request is admitted
  // before the log lists this incarnation.
  if (!Message.Policy.Idempotent && !Gate.Listed)
    return ErrorKind::StaleEpoch;
  return std::nullopt;
}

Duration Admission::State::estimatedWait(const Execute &Message) const {
  if (Queue.size() == 0 && Runs.size() < Limit.value())
    return Duration(0);
  auto CallsAhead =
      Queue.callsAhead(Message.Policy.Workspace, Message.Policy.Share) + 1;
  return Duration(ServiceTime.count() * static_cast<std::int64_t>(CallsAhead) /
                  Limit.value());
}

std::optional<ErrorKind> Admission::State::checkCapacity(TimePoint Now,
                                                         const Execute &Message,
                                                         EffectList &Out) {
  if (Suspects.check(Now, Message.Fingerprint) == Suspicion::Blocked) {
    Out.emplace_back(Count{Counter::Quarantined});
    return ErrorKind::Quarantined;
  }
  if (Message.BudgetMicros <= 0)
    return ErrorKind::DeadlineNotRun;
  const CallPolicy &Policy = Message.Policy;
  if (estimatedWait(Message).count() > Message.BudgetMicros)
    return ErrorKind::Overloaded;
  switch (Queue.availability(Policy.Workspace, Policy.Share)) {
  case WorkspaceQueue::Availability::Free:
    return std::nullopt;
  case WorkspaceQueue::Availability::OverShare:
    return ErrorKind::WorkspaceOverloaded;
  case WorkspaceQueue::Availability::Full:
    return ErrorKind::Overloaded;
  case WorkspaceQueue::Availability::Displace:
    if (auto Displaced = Queue.displace())
      refuseQueued(Now, *Displaced, ErrorKind::WorkspaceOverloaded, Out);
    return std::nullopt;
  }
  return ErrorKind::Internal;
}

/// Replies to an Await of an idempotent call that is known here.
void Admission::State::replyToKnown(const HostId &To, const CallId &Call,
                                    EffectList &Out) const {
  // The ingress may use a new connection; the result is then sent on it.
  if (Calls.contains(Call))
    Out.emplace_back(SendPeer{To, Received{Call}});
  else if (EndedCalls.at(Call) == CallOutcome::Ran)
    Out.emplace_back(
        SendPeer{To, Failed{Call, ErrorKind::BackendFailed, load()}});
  else
    Out.emplace_back(
        SendPeer{To, Refused{Call, ErrorKind::NeverStarted, load()}});
}

/// Replies to an idempotent Execute of a call that waits or runs already, or
/// that was reported as never started. Returns whether it is such a call. An
/// Execute of a call that has ended is a retry and runs again.
bool Admission::State::replyIfKnown(const HostId &From, const CallId &Call,
                                    EffectList &Out) const {
  auto Ended = EndedCalls.find(Call);
  bool Final =
      Ended != EndedCalls.end() && Ended->second == CallOutcome::NeverArrived;
  if (!Final && !Calls.contains(Call))
    return false;
  replyToKnown(From, Call, Out);
  return true;
}

/// Sets the load in a reply of the execution log, which leaves it empty.
PeerMessage Admission::State::withLoad(PeerMessage Reply) const {
  if (auto *Known = std::get_if<Answer>(&Reply))
    Known->Load = load();
  if (auto *Known = std::get_if<Refused>(&Reply))
    Known->Load = load();
  if (auto *Known = std::get_if<Failed>(&Reply))
    Known->Load = load();
  return Reply;
}

/// Returns whether this is an idempotent call that was admitted and has ended.
bool Admission::State::hasEndedHere(const CallId &Call) const {
  auto Ended = EndedCalls.find(Call);
  return Ended != EndedCalls.end() &&
         Ended->second != CallOutcome::NeverArrived;
}

void Admission::State::refuseNew(TimePoint Now, const HostId &To,
                                 const Execute &Message, ErrorKind Kind,
                                 EffectList &Out) {
  Out.emplace_back(Count{Counter::RunsRefused});
  if (!Message.Policy.Idempotent)
    Log.refuse(Now, Message.Call, Kind, load(), Out);
  else
    Out.emplace_back(SendPeer{To, Refused{Message.Call, Kind, load()}});
}

void Admission::State::refuseQueued(TimePoint Now, const CallId &Call,
                                    ErrorKind Kind, EffectList &Out) {
  auto Ended = Calls.extract(Call);
  if (Ended.empty())
    return;
  refuseNew(Now, Ended.mapped().From, Ended.mapped().Message, Kind, Out);
  if (Ended.mapped().Message.Policy.Idempotent)
    recordOutcome(Now, Call, CallOutcome::NotRun);
}

void Admission::State::admit(TimePoint Now, const PeerRef &From,
                             Execute Message, EffectList &Out) {
  CallId Call = Message.Call;
  TimePoint Deadline = Now + Duration(Message.BudgetMicros);
  Out.emplace_back(SendPeer{From.Host, Received{Call}});
  Queue.push(Message.Policy.Workspace, Message.Policy.Share, Call, Deadline);
  AdmittedCall Admitted;
  Admitted.From = From.Host;
  Admitted.Message = std::move(Message);
  Admitted.Deadline = Deadline;
  Calls.emplace(Call, std::move(Admitted));
  startQueued(Now, Out);
}

Admission::Admission(PeerRef Self, AdmissionSettings Settings,
                     ExecutionLog &Log)
    : Impl(std::make_unique<State>(std::move(Self), std::move(Settings), Log)) {
}

Admission::~Admission() = default;

void Admission::execute(TimePoint Now, const PeerRef &From, Execute Message,
                        const AdmissionGate &Gate, EffectList &Out) {
  State &S = *Impl;
  S.OutOfService = !Gate.InService;
  // Outside the home regions nothing of the request may be stored, so it is not
  // passed to the execution log.
  if (!S.inHomeRegions(Message.Policy)) {
    Out.emplace_back(Count{Counter::WrongRegion});
    Out.emplace_back(SendPeer{
        From.Host, Refused{Message.Call, ErrorKind::WrongRegion, S.load()}});
    return;
  }
  if (Message.Policy.Idempotent) {
    if (S.replyIfKnown(From.Host, Message.Call, Out))
      return;
  } else {
    // The log decides first. A refusal of a request that has run would be a
    // false "not run".
    AcceptResult Result = S.Log.accept(Now, From, Message, Gate.History);
    if (auto *Known = std::get_if<KnownReply>(&Result)) {
      Out.emplace_back(
          SendPeer{From.Host, S.withLoad(std::move(Known->Reply))});
      return;
    }
    if (std::holds_alternative<AlreadyInFlight>(Result)) {
      Out.emplace_back(SendPeer{From.Host, Received{Message.Call}});
      return;
    }
  }
  S.LastTraffic = Now;
  std::optional<ErrorKind> Reason = S.checkGate(Gate, Message);
  if (!Reason)
    Reason = S.checkCapacity(Now, Message, Out);
  if (Reason)
    S.refuseNew(Now, From.Host, Message, *Reason, Out);
  else
    S.admit(Now, From, std::move(Message), Out);
}

void Admission::backendDone(TimePoint Now, const BackendDone &Done,
                            EffectList &Out) {
  State &S = *Impl;
  auto Found = S.Runs.find(Done.Run);
  if (Found == S.Runs.end())
    return;
  CallId Call = Found->second;
  S.Runs.erase(Found);
  AdmittedCall Ended = std::move(S.Calls.extract(Call).mapped());
  if (Ended.Suspect)
    --S.SuspectsRunning;
  S.LastTraffic = Now;
  S.updateEstimates(Now, Ended, Done);
  Out.emplace_back(Trace{TraceKind::RunEnded, callText(Call), {}});
  if (Ended.Cancelled)
    S.recordOutcome(Now, Call, CallOutcome::Ran);
  else
    std::visit([&](auto Result) { S.handleResult(Now, Ended, Result, Out); },
               Done.Result);
  S.startQueued(Now, Out);
  S.traceLimit(Out);
}

void Admission::cancel(TimePoint Now, const CallId &Call, EffectList &Out) {
  State &S = *Impl;
  auto Found = S.Calls.find(Call);
  if (Found == S.Calls.end())
    return;
  AdmittedCall &Known = Found->second;
  if (Known.Run == 0) {
    S.Queue.erase(Call);
    S.refuseQueued(Now, Call, ErrorKind::Cancelled, Out);
    return;
  }
  if (!Known.Message.Policy.Idempotent || Known.Cancelled)
    return;
  Known.Cancelled = true;
  Out.emplace_back(CancelRun{Known.Run});
}

void Admission::await(TimePoint Now, const PeerRef &From, const Await &Message,
                      EffectList &Out) {
  State &S = *Impl;
  auto Known = S.Calls.find(Message.Call);
  bool Idempotent = Known != S.Calls.end()
                        ? Known->second.Message.Policy.Idempotent
                        : S.hasEndedHere(Message.Call);
  if (Idempotent && !Message.Grant) {
    S.replyToKnown(From.Host, Message.Call, Out);
    return;
  }
  S.Log.await(Now, From, Message, S.load(), Out);
  // The log has no idempotent calls. This entry makes execute() refuse a late
  // Execute of a call that was reported as never started.
  bool ForThisIncarnation = Message.Target == 0 || Message.Target == S.Self.Inc;
  if (ForThisIncarnation && !Message.Grant && Known == S.Calls.end())
    S.recordOutcome(Now, Message.Call, CallOutcome::NeverArrived);
}

void Admission::probeDone(TimePoint Now, const ProbeDone &Done,
                          EffectList &Out) {
  State &S = *Impl;
  S.ProbePending = false;
  // Health endpoints can report a bad server as healthy, so a bad result lowers
  // the limit but a good one does not raise it.
  if (!Done.Healthy)
    S.Limit.lowerToInitial();
  S.startQueued(Now, Out);
  S.traceLimit(Out);
}

void Admission::suspectReport(TimePoint Now, const SuspectReport &Report) {
  Impl->Suspects.merge(Now, Report);
}

std::vector<std::pair<SuspectReport, std::vector<std::string>>>
Admission::takeReports() {
  return std::exchange(Impl->Reports, {});
}

void Admission::drain(TimePoint, EffectList &) { Impl->Draining = true; }

void Admission::returnToService(TimePoint Now, EffectList &Out) {
  Impl->OutOfService = false;
  Impl->Limit.restart();
  Impl->startQueued(Now, Out);
  Impl->traceLimit(Out);
}

bool Admission::idle() const { return Impl->Calls.empty(); }

LoadReport Admission::load() const { return Impl->load(); }

void Admission::timer(TimePoint Now, EffectList &Out) {
  State &S = *Impl;
  S.Suspects.expire(Now);
  S.startQueued(Now, Out);
  S.traceLimit(Out);
  if (Now < S.nextProbe())
    return;
  // Set even if no token is available, so that the timer is not due again at
  // once.
  S.LastProbeAttempt = Now;
  if (!S.ProbeTokens.take(Now))
    return;
  S.ProbePending = true;
  Out.emplace_back(ProbeBackend{});
  Out.emplace_back(Count{Counter::Probes});
}

/// Returns when the backend server may be probed; TimePoint::max() while there
/// is traffic.
TimePoint Admission::State::nextProbe() const {
  if (!Calls.empty() || Settings.ProbesPerSecond <= 0)
    return TimePoint::max();
  TimePoint Idle = LastTraffic + Settings.ProbeIdle;
  if (LastProbeAttempt == TimePoint{})
    return Idle;
  double Interval = 1e6 / Settings.ProbesPerSecond;
  auto Wait = Duration(static_cast<std::int64_t>(Interval) + 1);
  return std::max(Idle,
                  LastProbeAttempt + (ProbePending ? ProbeTimeout : Wait));
}

TimePoint Admission::nextWake() const {
  return std::min(Impl->Queue.nextDeadline(), Impl->nextProbe());
}

} // namespace figsail
