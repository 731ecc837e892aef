// CallRouterCertainty.cpp - Routing of client calls: what certainly did not
// run.

#include "CallRouter.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// Time before its deadline at which a call that has not started is withdrawn.
/// Leaves a busy daemon the time to answer before the client gives up.
static constexpr Duration WithdrawTime = 100ms;

void CallRouter::settleUnsent(const HostId &Host, const CallId &Attempt) {
  attemptSettled(Lost.settleUnsent(Attempt, Host));
}

/// Returns whether the attempt was known as one that may have run.
bool CallRouter::settleRefused(const PeerRef &From, const CallId &Attempt) {
  std::optional<std::uint64_t> Number = Lost.settleRefused(Attempt, From);
  attemptSettled(Number);
  return Number.has_value();
}

/// A server that did not receive the call does not count as reached.
void CallRouter::attemptSettled(std::optional<std::uint64_t> Number) {
  if (Number)
    --Calls.at(*Number).ServersReached;
}

/// Returns the earliest time at which a call may be withdrawn. A query that is
/// sent at once would overtake the request.
TimePoint CallRouter::mayWithdrawFrom(const Call &Current) const {
  if (!Current.Outstanding || Current.Withdrawn || Current.Route->Idempotent)
    return TimePoint::max();
  return Current.SentAt + withdrawTime(Current);
}

Duration CallRouter::withdrawTime(const Call &Current) const {
  return Current.Remote ? WithdrawTime + OwnLocality.RegionRoundTrip
                        : WithdrawTime;
}

/// Returns when a call that may still be waiting is withdrawn. It has missed
/// its target by then, and could hardly end before its deadline.
TimePoint CallRouter::withdrawAt(const Call &Current) const {
  return std::max({Current.Target, Current.Deadline - withdrawTime(Current),
                   mayWithdrawFrom(Current)});
}

/// Asks the daemon not to start a call that is not idempotent. A query refuses
/// one that has not arrived, a cancel one that waits; one that runs continues.
/// The query goes first: a cancel would replace the record of an old call.
void CallRouter::withdraw(RouterStep &Step, Call &Current) {
  Current.Withdrawn = true;
  // A cancel would drop the rest of an answer that is arriving.
  if (Assembly.contains(Current.Id))
    return scheduleWake(Current, Current.Deadline);
  Step.Out.emplace_back(
      SendPeer{Current.Executor.Host,
               Await{Current.Id, std::nullopt, Current.Executor.Inc}});
  Step.Out.emplace_back(SendPeer{Current.Executor.Host, Cancel{Current.Id}});
  scheduleWake(Current, Current.Deadline);
}

} // namespace figsail
