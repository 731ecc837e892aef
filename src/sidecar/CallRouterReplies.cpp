// CallRouterReplies.cpp - Routing of client calls: the replies of daemons.

#include "CallRouter.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// Interval of status queries for a confirmed call. They detect a link that
/// went silent.
static constexpr Duration RunningQueryInterval = 500ms;
/// A server that fails within this fraction of the usual time is itself at
/// fault. A failure of one of its calls takes longer.
static constexpr double EarlyFailureFraction = 0.5;

// Replies of daemons.

void CallRouter::received(RouterStep &Step, const PeerRef &From,
                          const CallId &Id) {
  Call *Current = find(Id, From);
  if (!Current)
    return;
  Current->Confirmed = true;
  Current->QueryInFlight = false;
  Current->UnansweredQueries = 0;
  scheduleWake(*Current, Step.Now + RunningQueryInterval);
}

/// A piece shows that the call has run and that its answer arrives. If the
/// pieces stop before the answer is complete, the daemon is queried, and sends
/// the answer again.
void CallRouter::pieceReceived(RouterStep &Step, const PeerRef &From,
                               AnswerPiece Piece) {
  Activity.add(Step.Now, From.Host);
  if (!find(Piece.Call, From)) {
    Step.Out.emplace_back(Count{Counter::StaleMessages});
    return;
  }
  received(Step, From, Piece.Call);
  if (!Assembly.hasRoom(Piece))
    Step.Out.emplace_back(Count{Counter::AnswerPiecesDropped});
  if (std::optional<Answer> Whole = Assembly.add(From, std::move(Piece)))
    answered(Step, From, std::move(*Whole));
}

void CallRouter::answered(RouterStep &Step, const PeerRef &From,
                          Answer Message) {
  Notices.received(Step.Now, From.Host, Message.Load.Notice, true);
  Call *Current = find(Message.Call, From);
  if (!Current) {
    Step.Out.emplace_back(Count{Counter::StaleMessages});
    return;
  }
  const Announcement *Sender = Step.Directory.find(From.Host);
  if (Sender && Sender->Region != OwnLocality.Region)
    Link.received(Step.Now,
                  messageSize(Message.Response.Headers, Message.Response.Body));
  bool Success = Message.Response.Status < 500;
  bool FailedEarly = fractionOfUsualTime(*Current, Step.Now, Message.Load) <
                     EarlyFailureFraction;
  if (Success)
    recordRunTime(*Current, Step.Now, Message.Load);
  endAttempt(Step, *Current, Success, &Message.Load);
  ++Current->ServersReached;
  Current->MayHaveRun = true;
  Dependencies.runEnded(Step.Now, Current->Route->Name, Message.CallRefused);
  if (Message.CallRefused && Current->Nested)
    RefusedByServices.add(Step.Now);
  // A retry would make the run's calls again, and a service refuses these.
  bool Retry = !Success && Current->Route->Idempotent && FailedEarly &&
               !Message.CallRefused;
  if (!Retry)
    return deliver(Step, *Current, std::move(Message.Response));
  Current->FallbackResponse = std::move(Message.Response);
  retryAfterRun(Step, *Current, ErrorKind::BackendFailed);
}

/// Returns the present run time of a server over its usual one.
static double slowdownFactor(const LoadReport &Load) {
  if (Load.UsualServiceTime <= Duration(0) || Load.ServiceTime <= Duration(0))
    return 1;
  return static_cast<double>(Load.ServiceTime.count()) /
         static_cast<double>(Load.UsualServiceTime.count());
}

/// Returns the duration that the current attempt would have had at the usual
/// speed of its server.
Duration CallRouter::timeAtUsualSpeed(const Call &Current, TimePoint Now,
                                      const LoadReport &Load) const {
  Duration Elapsed = Now - Current.SentAt;
  if (Current.Remote)
    Elapsed -= std::min(Elapsed, OwnLocality.RegionRoundTrip);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Elapsed.count()) / slowdownFactor(Load)));
}

void CallRouter::recordRunTime(const Call &Current, TimePoint Now,
                               const LoadReport &Load) {
  RouteTimes.add(Current.Route->Name, timeAtUsualSpeed(Current, Now, Load));
}

/// Returns the duration of the current attempt divided by the usual one of its
/// route.
///
/// Load pattern: a service fails a fraction of its calls, and the runs that
/// made these calls fail in turn. Such a run fails late. A retry of the run
/// would repeat its calls and spend the retry budget of the overloaded service.
double CallRouter::fractionOfUsualTime(const Call &Current, TimePoint Now,
                                       const LoadReport &Load) const {
  return static_cast<double>(timeAtUsualSpeed(Current, Now, Load).count()) /
         static_cast<double>(RouteTimes.expected(Current.Route->Name).count());
}

void CallRouter::refused(RouterStep &Step, const PeerRef &From,
                         const Refused &Message) {
  Notices.received(Step.Now, From.Host, Message.Load.Notice, false);
  Call *Current = find(Message.Call, From);
  if (!Current) {
    if (!settleRefused(From, Message.Call))
      Step.Out.emplace_back(Count{Counter::StaleMessages});
    return;
  }
  // A new incarnation cannot answer a query about the previous one.
  bool Restarted = Current->Executor.Inc != From.Inc &&
                   Message.Kind != ErrorKind::WrongIncarnation;
  if (Current->QueryInFlight && Restarted)
    return executorLost(Step, *Current, false);
  if (Current->Outstanding)
    Selector.callRefused(Step.Now, From.Host, Message.Load);
  // A refusal by the server of a call that its daemon admitted counts as a
  // failure: otherwise the server would look idle and attract all calls.
  endAttempt(Step, *Current, Message.Kind != ErrorKind::ServerRefused,
             &Message.Load);
  Current->TriedHosts.push_back(From.Host);
  // A status other than 503 would keep the client from retrying.
  Current->LastError = errorEntry(Message.Kind).Status == 503
                           ? Message.Kind
                           : ErrorKind::NoBackendServer;
  recordRefusal(Step.Now, *Current, Message);
  if (Message.Kind == ErrorKind::Quarantined)
    return fail(Step, *Current, Message.Kind);
  if (Message.Kind == ErrorKind::RetryBudgetSpent)
    Step.Out.emplace_back(Count{Counter::RetriesDenied});
  if (Message.Kind != ErrorKind::ServerRefused)
    return tryNextServer(Step, *Current);
  ++Current->ServersReached;
  if (!mayRetry(*Current))
    return fail(Step, *Current, Message.Kind);
  tryNextServer(Step, *Current);
}

/// Returns how long the call would run at the present speed of a server.
Duration CallRouter::expectedRun(const Call &Current,
                                 const LoadReport &Load) const {
  auto Usual =
      static_cast<double>(RouteTimes.expected(Current.Route->Name).count());
  return Duration(static_cast<Duration::rep>(Usual * slowdownFactor(Load)));
}

/// Counts a refusal, and keeps when the server could have ended the call.
void CallRouter::recordRefusal(TimePoint Now, Call &Current,
                               const Refused &Message) const {
  const LoadReport &Load = Message.Load;
  bool Limited = Message.Kind == ErrorKind::RateLimited;
  bool InFavourOfAnother = Current.HasAlternative &&
                           (Limited || Message.Kind == ErrorKind::ServerSlow);
  if (InFavourOfAnother)
    Current.Fallbacks.push_back(
        {Current.Executor.Host, Now + Load.TimeToStart,
         Now + Load.TimeToStart + expectedRun(Current, Load)});
  if (Message.Kind == ErrorKind::RolloutClosed) {
    ++Current.RolloutRefusals;
    return;
  }
  if (Limited) {
    bool First = Current.LimitRefusals++ == 0;
    Current.BacklogTime = First
                              ? Load.TimeToStart
                              : std::min(Current.BacklogTime, Load.TimeToStart);
    return;
  }
  Current.BacklogTime =
      Load.ServiceTime * (Load.Queued + 1) / std::max(1U, Load.Limit);
  if (Message.Kind != ErrorKind::ServerRefused)
    ++Current.Refusals;
}

void CallRouter::failed(RouterStep &Step, const PeerRef &From,
                        const Failed &Message) {
  Notices.received(Step.Now, From.Host, Message.Load.Notice, false);
  Call *Current = find(Message.Call, From);
  if (!Current) {
    Step.Out.emplace_back(Count{Counter::StaleMessages});
    return;
  }
  endAttempt(Step, *Current, false, &Message.Load);
  ++Current->ServersReached;
  Current->MayHaveRun = true;
  if (!Current->Route->Idempotent)
    return fail(Step, *Current,
                Message.Kind == ErrorKind::DeadlineUnknown
                    ? Message.Kind
                    : ErrorKind::OutcomeUnknown);
  retryAfterRun(Step, *Current, Message.Kind);
}

/// Returns whether the route allows another server. The retry budget is checked
/// by the gate of the next server.
bool CallRouter::mayRetry(const Call &Current) {
  return Current.ServersReached < Current.Route->MaxServers;
}

/// Retries the call at another server after one that may have run it.
void CallRouter::retryAfterRun(RouterStep &Step, Call &Current, ErrorKind Why) {
  Current.TriedHosts.push_back(Current.Executor.Host);
  Current.LastError = Why;
  if (Step.Now < Current.Deadline && mayRetry(Current))
    return tryNextServer(Step, Current);
  if (Current.FallbackResponse)
    return deliver(Step, Current, std::move(*Current.FallbackResponse));
  fail(Step, Current, Why);
}

} // namespace figsail
