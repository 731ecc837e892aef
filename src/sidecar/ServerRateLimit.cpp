// ServerRateLimit.cpp - The request rate that the backend server has named.

#include "ServerRateLimit.h"

#include "figsail/DurationLimits.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// Time whose requests may start together. Arrivals are irregular, and with no
/// burst at all the limit would not be used up.
static constexpr Duration BurstTime = 500ms;
/// Requests a second that start however low the limit is. Their responses are
/// the only way to see that a server whose probes do not name it takes more.
static constexpr double TrialRate = 0.25;
/// Bound on the time for which starts are booked.
static constexpr Duration MaxBooking = 1s;
/// Health probes per request of the limit.
static constexpr double ProbeFraction = 0.25;
static constexpr Duration MinProbeInterval = 500ms;
static constexpr Duration MaxProbeInterval = 2s;

static double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

static Duration fromSeconds(double Seconds) {
  return boundedDuration(std::chrono::duration<double>(Seconds));
}

std::string_view termsSourceName(TermsSource Source) {
  switch (Source) {
  case TermsSource::Run:
    return "run";
  case TermsSource::Probe:
    return "probe";
  case TermsSource::Peer:
    return "peer";
  }
  return "unknown";
}

double ServerRateLimit::rate() const {
  return std::max(Limit.value_or(0), TrialRate);
}

/// A new limit starts without tokens: the server has just got more than that,
/// from this daemon or from the one before it.
void ServerRateLimit::set(TimePoint Now, double PerSecond) {
  bool First = !Limit;
  Limit = PerSecond;
  Tokens.available(Now); // Adds the tokens of the time before, at its rate.
  Tokens.configure(rate(), std::max(1.0, rate() * seconds(BurstTime)));
  if (First)
    Tokens.spend(Now, Tokens.available(Now));
  BookedUntil = TimePoint{};
}

bool ServerRateLimit::apply(TimePoint Now, TimePoint StatementAt,
                            const ServerTerms &Terms, TermsSource Source) {
  if (Terms.RateLimitUnusable || StatementAt < SaidAt)
    return false;
  // The age of a peer's knowledge lacks the time of its way here.
  if (Source == TermsSource::Peer && Heard)
    return false;
  if (Source == TermsSource::Probe && Terms.RateLimit)
    ProbesNameLimit = true;
  // Silence of a probe says nothing if this server's probes never name it.
  if (Source == TermsSource::Probe && !ProbesNameLimit)
    return false;
  SaidAt = StatementAt;
  Heard = Heard || Source != TermsSource::Peer;
  if (Terms.RateLimit == Limit)
    return false;
  if (Terms.RateLimit)
    set(Now, *Terms.RateLimit);
  else
    Limit.reset();
  return true;
}

void ServerRateLimit::reset() { *this = ServerRateLimit(); }

bool ServerRateLimit::available(TimePoint Now) {
  return !Limit || Tokens.available(Now) >= 1;
}

void ServerRateLimit::take(TimePoint Now) {
  if (Limit)
    Tokens.spend(Now, 1);
}

Duration ServerRateLimit::timeToStart(TimePoint Now, std::size_t Ahead) {
  if (!Limit)
    return Duration(0);
  double Missing = static_cast<double>(Ahead) + 1 - Tokens.available(Now);
  return fromSeconds(std::max(0.0, Missing) / rate());
}

Duration ServerRateLimit::bookStart(TimePoint Now, std::size_t Ahead) {
  TimePoint Start = std::max(Now + timeToStart(Now, Ahead),
                             std::min(BookedUntil, Now + MaxBooking));
  BookedUntil = Start + fromSeconds(1 / rate());
  return Start - Now;
}

Duration ServerRateLimit::probeInterval() const {
  if (!Limit)
    return Duration(0);
  return std::clamp(fromSeconds(1 / (rate() * ProbeFraction)), MinProbeInterval,
                    MaxProbeInterval);
}

} // namespace figsail
