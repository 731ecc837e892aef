// ServerRetryBudget.cpp - Retry budget of one backend server, enforced beside
// it.

#include "ServerRetryBudget.h"

#include <algorithm>

namespace figsail {

ServerRetryBudget::ServerRetryBudget(const SidecarBounds &Bounds)
    : Ratio(Bounds.RetryRatio), Slack(Bounds.RetrySlack),
      Window(Bounds.RetryWindow) {
  configureTokens();
}

/// Empties the bucket at the first use: a predecessor of this process may have
/// used the slack.
void ServerRetryBudget::startEmpty(TimePoint Now) {
  if (Started)
    return;
  Started = true;
  Tokens.spend(Now, Tokens.available(Now));
}

void ServerRetryBudget::configure(const SidecarBounds &Changed) {
  Ratio = Changed.RetryRatio;
  Slack = Changed.RetrySlack;
  Window = Changed.RetryWindow;
  configureTokens();
}

void ServerRetryBudget::setServerCount(TimePoint Now, std::size_t Count) {
  startEmpty(Now);
  Count = std::max<std::size_t>(1, Count);
  if (Count >= ServerCount)
    DecreaseAllowedAt = Now + Window;
  else if (Now < DecreaseAllowedAt)
    return;
  if (Count == ServerCount)
    return;
  ServerCount = Count;
  configureTokens();
}

/// Half of the server's slack is the burst, the other half accrues over the
/// window. The burst is at least 1: a server with less slack than one retry
/// must still be able to save up for one.
void ServerRetryBudget::configureTokens() {
  double ServerSlack = Slack / static_cast<double>(ServerCount);
  double Burst = std::max(1.0, ServerSlack / 2);
  double Seconds = std::chrono::duration<double>(Window).count();
  Tokens.configure(std::max(0.0, ServerSlack - Burst) / Seconds, Burst);
}

void ServerRetryBudget::addFirstArrival(TimePoint Now, double RetryFraction) {
  startEmpty(Now);
  Tokens.spend(Now, RetryFraction);
  Tokens.put(Ratio * (1 - RetryFraction));
}

bool ServerRetryBudget::takeRetry(TimePoint Now) {
  startEmpty(Now);
  return Tokens.take(Now);
}

} // namespace figsail
