// RepeatBudget.cpp - Bounds the requests that reach a backend server beyond the
// first of each call.

#include "RepeatBudget.h"

#include <algorithm>

namespace figsail {

RepeatBudget::RepeatBudget(const SidecarBounds &Bounds)
    : Ratio(Bounds.RetryRatio), Slack(Bounds.RetrySlack),
      Window(Bounds.RetryWindow) {
  limit();
}

/// Starts empty: a predecessor of this process may have used the slack.
void RepeatBudget::begin(TimePoint Now) {
  if (Begun)
    return;
  Begun = true;
  Tokens.spend(Now, Tokens.available(Now));
}

void RepeatBudget::configure(const SidecarBounds &Changed) {
  Ratio = Changed.RetryRatio;
  Slack = Changed.RetrySlack;
  Window = Changed.RetryWindow;
  limit();
}

void RepeatBudget::setServers(TimePoint Now, std::size_t Count) {
  begin(Now);
  Count = std::max<std::size_t>(1, Count);
  if (Count >= Servers)
    LowerAt = Now + Window;
  else if (Now < LowerAt)
    return;
  if (Count == Servers)
    return;
  Servers = Count;
  limit();
}

/// Half of the slack comes as the burst, half over the window. With less than
/// one repeat each, what is saved up must still reach one.
void RepeatBudget::limit() {
  double Share = Slack / static_cast<double>(Servers);
  double Burst = std::max(1.0, Share / 2);
  double Seconds = std::chrono::duration<double>(Window).count();
  Tokens.configure(std::max(0.0, Share - Burst) / Seconds, Burst);
}

void RepeatBudget::arrived(TimePoint Now, double FromRepeats) {
  begin(Now);
  Tokens.spend(Now, FromRepeats);
  Tokens.put(Ratio * (1 - FromRepeats));
}

bool RepeatBudget::takeRepeat(TimePoint Now) {
  begin(Now);
  return Tokens.take(Now);
}

} // namespace figsail
