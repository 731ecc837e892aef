// CallRouterStop.cpp - Routing of client calls: the end of the process.

#include "CallRouter.h"

namespace figsail {

/// Returns whether another attempt of the call can end before the process does.
/// If not, that is the reason of its end, unless a server has received it.
bool CallRouter::endsBeforeStop(const RouterStep &Step, Call &Current) const {
  Duration Usual = RouteTimes.expected(Current.Route->Name);
  if (Stop.allows(Step.Now, Usual, Current.Deadline))
    return true;
  if (!mayHaveRun(Current))
    Current.LastError = ErrorKind::Draining;
  return false;
}

void CallRouter::endAll(RouterStep &Step) {
  std::vector<std::uint64_t> Open;
  for (const auto &[Number, Current] : Calls)
    Open.push_back(Number);
  for (std::uint64_t Number : Open)
    endCall(Step, Calls.at(Number));
}

void CallRouter::withdrawAll(RouterStep &Step) {
  for (auto &[Number, Current] : Calls)
    if (mayWithdrawFrom(Current) <= Step.Now)
      withdraw(Step, Current);
}

void CallRouter::endCall(RouterStep &Step, Call &Current) {
  // A run that is not idempotent ends by itself, so that its outcome is known.
  if (Current.Outstanding && Current.Route->Idempotent)
    Step.Out.emplace_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
  Current.MayHaveRun = Current.MayHaveRun || Current.Outstanding;
  endAttempt(Step, Current, false, nullptr);
  if (Current.FallbackResponse)
    return deliver(Step, Current, std::move(*Current.FallbackResponse));
  fail(Step, Current,
       mayHaveRun(Current) ? ErrorKind::OutcomeUnknown : ErrorKind::Draining);
}

} // namespace figsail
