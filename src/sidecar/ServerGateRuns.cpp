// ServerGateRuns.cpp - Runs at the backend server and the replies to ingresses.

#include "ServerGate.h"

#include "DecisionText.h"
#include "RequestIdentity.h"

namespace figsail {

/// Time after the end of its delay in which a call is still started instead of
/// refused as late.
static constexpr Duration DelayGrace = std::chrono::milliseconds(20);

// Replies.

void ServerGate::reply(GateStep &Step, const PeerRef &To, const CallId &Call,
                       PeerMessage Message) {
  Replies.add(Step.Now, Call, Message);
  Step.Out.emplace_back(SendPeer{To.Host, std::move(Message)});
}

void ServerGate::refuse(GateStep &Step, const AdmittedCall &Call,
                        ErrorKind Kind) {
  Step.Out.emplace_back(Count{Counter::RunsRefused});
  Step.Out.emplace_back(CountRefusal{RefusedBy::Gate, Kind});
  if (Kind == ErrorKind::Overloaded || Kind == ErrorKind::RateLimited)
    Rollout.refused();
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
  LoadReport Load = load(Step.Now);
  // No other server is left: the client is told when to come back.
  if (Kind == ErrorKind::RateLimited && !Call.Message.HasAlternative)
    Load.TimeToStart = RateLimit.bookStart(Step.Now, Waiting);
  if (Kind == ErrorKind::RateLimited)
    Line.Fields.emplace_back("start_in_ms", millisText(Load.TimeToStart));
  Step.Out.emplace_back(std::move(Line));
  reply(Step, Call.From, Call.Message.Call,
        Refused{Call.Message.Call, Kind, Load});
}

ServerGate::AdmittedCall ServerGate::remove(CallMap::iterator At) {
  AdmittedCall Removed = std::move(At->second);
  Calls.erase(At);
  BufferedBytes -= Removed.Bytes;
  if (Removed.Run != 0)
    return Removed;
  --Waiting;
  Turns.remove(Removed.Message.Call);
  if (isRetry(Removed))
    Retries.returnRetry();
  return Removed;
}

void ServerGate::refuseWaiting(GateStep &Step, ErrorKind Kind) {
  std::vector<CallId> ToRefuse;
  for (const auto &[Id, Call] : Calls)
    if (Call.Run == 0)
      ToRefuse.push_back(Id);
  for (const CallId &Id : ToRefuse) {
    refuse(Step, remove(Calls.find(Id)), Kind);
  }
}

/// Refuses waiting calls that can no longer meet their target because more
/// urgent calls overtook them.
void ServerGate::refuseLate(GateStep &Step) {
  if (Waiting == 0)
    return;
  std::vector<CallId> Late;
  for (const auto &[Id, Call] : Calls) {
    Duration Run = expectedRun(Call.Message.Policy.Route);
    TimePoint Latest = std::min(Call.Target, Call.Deadline) - Run / 2;
    bool StillDelayed = Step.Now < Call.DelayedUntil + DelayGrace;
    if (Call.Run == 0 && Step.Now > Latest && !StillDelayed)
      Late.push_back(Id);
  }
  for (const CallId &Id : Late) {
    refuse(Step, remove(Calls.find(Id)),
           RateLimit.perSecond() ? ErrorKind::RateLimited
                                 : ErrorKind::Overloaded);
  }
}

// Runs.

bool ServerGate::acquireStartPermit(TimePoint Now) {
  if (running() >= usableSlots() || !RateLimit.available(Now))
    return false;
  if (Server.cold(Now) && !ColdTokens.take(Now))
    return false;
  RateLimit.take(Now);
  return true;
}

void ServerGate::startWaiting(GateStep &Step) {
  while (Waiting > 0) {
    // Since these calls were admitted, the version may have been judged bad,
    // or the grant has been lowered or has expired.
    if (!Rollout.admits(Step.Now, 0))
      return refuseWaiting(Step, ErrorKind::RolloutClosed);
    AdmittedCall *Next = nullptr;
    for (auto &[Id, Call] : Calls) {
      if (Call.Run != 0 || isDelayed(Step.Now, Call))
        continue;
      if (Next == nullptr || precedes(Step.Now, Call, *Next))
        Next = &Call;
    }
    if (Next == nullptr || !acquireStartPermit(Step.Now))
      return;
    start(Step, Turns.inUse() ? callInTurn(Step.Now, *Next) : *Next);
  }
}

void ServerGate::start(GateStep &Step, AdmittedCall &Call) {
  Call.Message.Instance = Server.instance();
  Call.Run = ++LastRun;
  Call.Started = Step.Now;
  Call.StartFactor = Slowdown.factor();
  Call.StartedCold = Server.cold(Step.Now);
  Rollout.started();
  Call.BesideSuspect = isOtherSuspectRunning(Call.Message.Fingerprint);
  Call.Suspect =
      Crashes.check(Step.Now, Call.Message.Fingerprint) == Suspicion::Suspect;
  if (Call.Suspect)
    ++SuspectRuns[Call.Message.Fingerprint];
  --Waiting;
  Turns.remove(Call.Message.Call);
  if (!isRetry(Call))
    Retries.addFirstArrival(Step.Now, Call.Message.RetryFraction);
  ++StartsSinceProbe;
  Runs.emplace(Call.Run, Call.Message.Call);
  Step.Out.emplace_back(Count{Counter::RunsStarted});
  Step.Out.emplace_back(
      StartRun{Call.Run, std::move(Call.Message.Request), Call.Message.Instance,
               Call.Deadline - Step.Now, Call.Message.Policy.Idempotent,
               Call.Message.Policy.Workspace});
}

std::optional<TimePoint> ServerGate::runStart(RunId Run) const {
  auto Found = Runs.find(Run);
  if (Found == Runs.end())
    return std::nullopt;
  return Calls.at(Found->second).Started;
}

std::optional<std::string> ServerGate::remoteRoute(RunId Run) const {
  auto Found = Runs.find(Run);
  if (Found == Runs.end())
    return std::nullopt;
  const AdmittedCall &Call = Calls.at(Found->second);
  if (Call.From.Host == Self.Host)
    return std::nullopt;
  return Call.Message.Policy.Route;
}

void ServerGate::runEnded(GateStep &Step, ServerRunResult Done,
                          bool CallRefused) {
  auto Found = Runs.find(Done.Run);
  if (Found == Runs.end())
    return;
  AdmittedCall Call = remove(Calls.find(Found->second));
  Runs.erase(Found);
  if (Done.Metadata.Load)
    updateLoad(Step.Now, *Done.Metadata.Load);
  bool FromServer = std::holds_alternative<HttpResponse>(Done.Result) &&
                    !Done.Metadata.OtherInstance &&
                    Call.Message.Instance == Server.instance();
  if (FromServer)
    applyTerms(Step, Step.Now, Done.Metadata.Terms, TermsSource::Run);
  if (Call.Suspect && --SuspectRuns[Call.Message.Fingerprint] == 0)
    SuspectRuns.erase(Call.Message.Fingerprint);
  if (auto *Response = std::get_if<HttpResponse>(&Done.Result))
    finish(Step, Call, std::move(*Response), Done.Metadata, CallRefused);
  else
    finish(Step, Call, std::get<BackendError>(Done.Result));
  refuseLate(Step);
  startWaiting(Step);
}

void ServerGate::recordRunTime(const AdmittedCall &Call, TimePoint Now,
                               bool Success) {
  Unreachable = false;
  // Fast failures would lower the estimated duration of a run.
  if (!Success)
    return;
  auto Took = static_cast<double>((Now - Call.Started).count());
  Times.add(Call.Message.Policy.Route,
            Duration(static_cast<Duration::rep>(Took / Call.StartFactor)));
}

/// Counts a run that has ended for the comparison of two versions. A run keeps
/// the speed at which it starts, which is known with a delay.
void ServerGate::countForRollout(const AdmittedCall &Call, TimePoint Now,
                                 bool Failed) {
  const std::string &Route = Call.Message.Policy.Route;
  Rollout.ended(Route, Failed);
  if (Now > Call.Target)
    Rollout.late();
  // A failure may be fast, and a cold server is slow in any version.
  if (Failed || Call.StartedCold)
    return;
  double Factor = std::max(Call.StartFactor, Slowdown.factor());
  auto Took = static_cast<double>((Now - Call.Started).count());
  Rollout.timed(Route, Duration(static_cast<Duration::rep>(Took / Factor)));
}

void ServerGate::finish(GateStep &Step, const AdmittedCall &Call,
                        HttpResponse Response, const ResponseMetadata &Metadata,
                        bool CallRefused) {
  const CallId &Id = Call.Message.Call;
  if (Metadata.NotExecuted || Metadata.OtherInstance) {
    Decision Line{LogLevel::Warning, "server-refused", {}};
    Line.Fields = {{"call", callText(Id)},
                   {"instance", Call.Message.Instance},
                   {"status", std::to_string(Response.Status)},
                   {"other_instance", Metadata.OtherInstance ? "yes" : "no"}};
    Step.Out.emplace_back(std::move(Line));
    Step.Out.emplace_back(
        CountRefusal{RefusedBy::Gate, ErrorKind::ServerRefused});
    return reply(Step, Call.From, Id,
                 Refused{Id, ErrorKind::ServerRefused, load(Step.Now)});
  }
  logLateRun(Step, Call);
  if (CallRefused) {
    Decision Line{LogLevel::Info, "run-call-refused", {}};
    Line.Fields = {{"call", callText(Id)},
                   {"route", Call.Message.Policy.Route},
                   {"instance", Call.Message.Instance},
                   {"status", std::to_string(Response.Status)}};
    Step.Out.emplace_back(std::move(Line));
  }
  Crashes.succeeded(Step.Now, Call.Message.Fingerprint);
  recordRunTime(Call, Step.Now, Response.Status < 500);
  if (!CallRefused)
    countForRollout(Call, Step.Now, Response.Status >= 500);
  // Bodies of failures would lower the expected size.
  if (Response.Status < 500)
    Outgoing.add(Step.Now, Call.Message.Policy.Route, Response.Body.size(),
                 Call.From.Host != Self.Host);
  reply(Step, Call.From, Id,
        Answer{Id, std::move(Response), load(Step.Now), CallRefused});
}

/// Logs for a run that missed its target how long the call waited here and how
/// long the server took.
void ServerGate::logLateRun(GateStep &Step, const AdmittedCall &Call) const {
  if (Step.Now <= Call.Target)
    return;
  Decision Line{LogLevel::Info, "run-late", {}};
  Line.Fields = {{"call", callText(Call.Message.Call)},
                 {"route", Call.Message.Policy.Route},
                 {"instance", Call.Message.Instance},
                 {"waited_ms", millisText(Call.Started - Call.Arrived)},
                 {"run_ms", millisText(Step.Now - Call.Started)},
                 {"target_ms", millisText(Call.Target - Call.Arrived)},
                 {"start_factor", std::to_string(Call.StartFactor)},
                 {"factor", std::to_string(Slowdown.factor())}};
  Step.Out.emplace_back(std::move(Line));
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
    if (Unreachable)
      Crashes.serverLost(Step.Now);
    Step.Out.emplace_back(
        CountRefusal{RefusedBy::Gate, ErrorKind::NoBackendServer});
    return reply(Step, Call.From, Id,
                 Refused{Id, ErrorKind::NoBackendServer, load(Step.Now)});
  }
  if (Error == BackendError::Broken && !Call.Cancelled)
    Crashes.connectionBroken(Step.Now, Call.Message.Fingerprint, Call.Started,
                             !Call.BesideSuspect);
  // The server is slow: its run has outlasted the deadline.
  if (Error == BackendError::TimedOut)
    countForRollout(Call, Step.Now, false);
  Step.Out.emplace_back(Count{Counter::RunsFailed});
  ErrorKind Kind = Error == BackendError::TimedOut ? ErrorKind::DeadlineUnknown
                                                   : ErrorKind::BackendFailed;
  reply(Step, Call.From, Id, Failed{Id, Kind, load(Step.Now)});
}

void ServerGate::cancel(GateStep &Step, const CallId &Call) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end()) {
    // A cancel may overtake its request. The request must not run afterwards.
    if (!Replies.find(Call))
      Replies.add(Step.Now, Call,
                  Refused{Call, ErrorKind::Cancelled, load(Step.Now)});
    return;
  }
  AdmittedCall &Pending = Found->second;
  if (Pending.Run == 0) {
    return refuse(Step, remove(Found), ErrorKind::Cancelled);
  }
  // A run that is not idempotent must end, so that its outcome is known.
  if (!Pending.Message.Policy.Idempotent || Pending.Cancelled)
    return;
  Pending.Cancelled = true;
  Step.Out.emplace_back(CancelRun{Pending.Run});
}

void ServerGate::await(GateStep &Step, const PeerRef &From,
                       const Await &Message) {
  const CallId &Id = Message.Call;
  if (const PeerMessage *Reply = Replies.find(Id)) {
    Step.Out.emplace_back(SendPeer{From.Host, *Reply});
    return;
  }
  if (Calls.contains(Id)) {
    Step.Out.emplace_back(SendPeer{From.Host, Received{Id}});
    return;
  }
  if (Message.Target != Self.Inc || Replies.mayBeEvicted(Id)) {
    Step.Out.emplace_back(SendPeer{
        From.Host, Failed{Id, ErrorKind::OutcomeUnknown, load(Step.Now)}});
    return;
  }
  // The refusal is kept, so that a request that arrives later does not run.
  reply(Step, From, Id, Refused{Id, ErrorKind::NeverStarted, load(Step.Now)});
}

} // namespace figsail
