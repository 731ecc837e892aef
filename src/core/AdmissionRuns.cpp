// AdmissionRuns.cpp - Start and end of runs, and the estimates from their
// results.

#include "AdmissionBase.h"

#include <algorithm>

namespace figsail {

/// Weight of one run in the moving average of the service time.
static constexpr double ServiceTimeWeight = 0.1;

/// The ids of ended idempotent calls are kept for this time, so that await()
/// can distinguish "ran" from "never arrived". At 395 calls/s, 65536 ids cover
/// 165 s.
static constexpr Duration EndedCallLifetime = std::chrono::seconds(60);
static constexpr std::size_t MaxEndedCalls = 65536;

bool Admission::State::mayStart(TimePoint Now, const CallId &Call) const {
  if (SuspectsRunning == 0)
    return true;
  std::uint64_t Fingerprint = Calls.at(Call).Message.Fingerprint;
  return Suspects.check(Now, Fingerprint) == Suspicion::None;
}

void Admission::State::startQueued(TimePoint Now, EffectList &Out) {
  for (const CallId &Call : Queue.removeExpired(Now))
    refuseQueued(Now, Call, ErrorKind::DeadlineNotRun, Out);
  while (Runs.size() < Limit.value()) {
    auto Next =
        Queue.pop([&](const CallId &Call) { return mayStart(Now, Call); });
    if (!Next)
      return;
    start(Now, *Next, Out);
  }
}

void Admission::State::start(TimePoint Now, const CallId &Call,
                             EffectList &Out) {
  AdmittedCall &Starting = Calls.at(Call);
  std::uint64_t Fingerprint = Starting.Message.Fingerprint;
  Suspicion SuspicionLevel = Suspects.check(Now, Fingerprint);
  if (SuspicionLevel == Suspicion::Blocked) {
    Out.emplace_back(Count{Counter::Quarantined});
    refuseQueued(Now, Call, ErrorKind::Quarantined, Out);
    return;
  }
  if (!Starting.Message.Policy.Idempotent && !Log.start(Now, Call)) {
    refuseQueued(Now, Call, ErrorKind::StaleEpoch, Out);
    return;
  }
  Starting.Run = ++LastRun;
  Starting.Started = Now;
  Starting.ConcurrentSuspects = SuspectsRunning;
  Starting.Suspect = SuspicionLevel == Suspicion::Suspect;
  if (Starting.Suspect)
    ++SuspectsRunning;
  Runs.emplace(Starting.Run, Call);
  LastTraffic = Now;
  Out.emplace_back(RunBackend{Starting.Run, std::move(Starting.Message.Request),
                              Starting.Deadline - Now});
  Out.emplace_back(Count{Counter::RunsStarted});
  Out.emplace_back(Trace{TraceKind::RunStarted, callText(Call), {}});
}

void Admission::State::refuseRun(TimePoint Now, AdmittedCall &Ended,
                                 ErrorKind Kind, EffectList &Out) {
  refuseNew(Now, Ended.From, Ended.Message, Kind, Out);
  if (Ended.Message.Policy.Idempotent)
    recordOutcome(Now, Ended.Message.Call, CallOutcome::NotRun);
}

void Admission::State::finish(TimePoint Now, AdmittedCall &Ended,
                              std::variant<HttpResponse, ErrorKind> Result,
                              EffectList &Out) {
  const CallId &Call = Ended.Message.Call;
  if (!Ended.Message.Policy.Idempotent) {
    Log.finish(Now, Call, Result, load(), Out);
    return;
  }
  recordOutcome(Now, Call, CallOutcome::Ran);
  if (auto *Response = std::get_if<HttpResponse>(&Result))
    Out.emplace_back(
        SendPeer{Ended.From, Answer{Call, std::move(*Response), load()}});
  else
    Out.emplace_back(SendPeer{
        Ended.From, Failed{Call, std::get<ErrorKind>(Result), load()}});
}

void Admission::State::recordOutcome(TimePoint Now, const CallId &Call,
                                     CallOutcome Outcome) {
  auto [Known, Added] = EndedCalls.emplace(Call, Outcome);
  // A later refusal does not change that a call has run.
  if (Known->second != CallOutcome::Ran)
    Known->second = Outcome;
  if (!Added)
    return;
  EndedOrder.emplace_back(Now, Call);
  while (EndedOrder.size() > MaxEndedCalls ||
         EndedOrder.front().first + EndedCallLifetime < Now) {
    EndedCalls.erase(EndedOrder.front().second);
    EndedOrder.pop_front();
  }
}

void Admission::State::queueReport(const AdmittedCall &Ended,
                                   std::optional<SuspectReport> Report) {
  if (Report)
    Reports.emplace_back(*Report, Ended.Message.Policy.HomeRegions);
}

/// Updates the limit, the service time and the suspects after a run.
void Admission::State::updateEstimates(TimePoint Now, const AdmittedCall &Ended,
                                       const BackendDone &Done) {
  Duration RunTime = Now - Ended.Started;
  const CallPolicy &Policy = Ended.Message.Policy;
  auto Running = static_cast<std::uint32_t>(Runs.size()) + 1;
  if (const auto *Response = std::get_if<HttpResponse>(&Done.Result)) {
    bool Shed =
        Policy.RefusalStatus && Response->Status == Policy.RefusalStatus;
    if (Shed)
      return Limit.shed();
    queueReport(Ended, Suspects.succeeded(Now, Ended.Message.Fingerprint));
    // The latency of fast failures would make the server look fast.
    if (Response->Status >= 500)
      return Limit.failed();
    Limit.completed(Policy.Route, RunTime, Running);
    double Error = static_cast<double>((RunTime - ServiceTime).count());
    ServiceTime = ServiceTime.count() == 0
                      ? RunTime
                      : ServiceTime + Duration(static_cast<std::int64_t>(
                                          Error * ServiceTimeWeight));
    return;
  }
  // The result of a cancelled run does not depend on the server's condition.
  if (Ended.Cancelled)
    return;
  switch (std::get<BackendError>(Done.Result)) {
  case BackendError::Broken:
    queueReport(Ended,
                Suspects.crashed(Now, Ended.Message.Fingerprint, Ended.Started,
                                 Ended.ConcurrentSuspects == 0));
    return Limit.disconnected();
  case BackendError::NotSent:
    return Limit.disconnected();
  case BackendError::Malformed:
    return Limit.failed();
  case BackendError::TimedOut:
    return Limit.timedOut(Policy.Route, RunTime);
  case BackendError::Cancelled:
    return;
  }
}

void Admission::State::handleResult(TimePoint Now, AdmittedCall &Ended,
                                    HttpResponse Response, EffectList &Out) {
  const CallPolicy &Policy = Ended.Message.Policy;
  if (Policy.RefusalStatus && Response.Status == Policy.RefusalStatus)
    refuseRun(Now, Ended, ErrorKind::Overloaded, Out);
  else
    finish(Now, Ended, std::move(Response), Out);
}

void Admission::State::handleResult(TimePoint Now, AdmittedCall &Ended,
                                    BackendError Error, EffectList &Out) {
  if (Error == BackendError::NotSent)
    return refuseRun(Now, Ended, ErrorKind::NoBackendServer, Out);
  Out.emplace_back(Count{Counter::RunsFailed});
  ErrorKind Kind = Error == BackendError::TimedOut ? ErrorKind::DeadlineUnknown
                                                   : ErrorKind::BackendFailed;
  if (!Ended.Message.Policy.Idempotent)
    Kind = ErrorKind::OutcomeUnknown;
  finish(Now, Ended, Kind, Out);
}

/// Adds a timeline entry if the limit has at least halved since the last entry
/// or has reached its upper bound.
void Admission::State::traceLimit(EffectList &Out) {
  std::uint32_t CurrentLimit = Limit.value();
  bool Halved = CurrentLimit * 2 <= TracedLimit;
  bool AtBound = CurrentLimit == Limit.slots() && TracedLimit != CurrentLimit;
  if (!Halved && !AtBound)
    return;
  TracedLimit = CurrentLimit;
  Out.emplace_back(
      Trace{TraceKind::LimitChanged, Self.Host, std::to_string(CurrentLimit)});
}

} // namespace figsail
