// CallDependencies.cpp - Routes whose runs fail since a service that they call
// refuses calls.

#include "CallDependencies.h"

#include <algorithm>
#include <cmath>

namespace figsail {

using namespace std::chrono_literals;

/// Time constant of the exponential decay. A host gets a few requests of a
/// route in a second.
static constexpr double DecaySeconds = 2;
/// Recent runs from which on their failures say something.
static constexpr double MinRuns = 4;
/// Fraction of failed runs from which on requests are refused. Below it, a
/// refused request loses more than the slots that the failing runs take: its
/// run may succeed.
static constexpr double MinFailedFraction = 0.9;
/// Fraction below which the end of the refusals is logged. Below the former
/// one, so that a fraction around it does not fill the log.
static constexpr double LoggedEndFraction = 0.75;
/// Longest time without an admitted request, while requests arrive.
static constexpr Duration TrialInterval = 300ms;
static constexpr std::size_t MaxRoutes = 4096;

static double decay(TimePoint From, TimePoint To) {
  double Seconds = std::chrono::duration<double>(To - From).count();
  return std::exp(-std::max(0.0, Seconds) / DecaySeconds);
}

void CallDependencies::runEnded(TimePoint Now, const std::string &Route,
                                bool CallRefused) {
  // Routes without such failures, which are most, take no memory.
  auto Found = Routes.find(Route);
  if (Found == Routes.end() && !CallRefused)
    return;
  if (Found == Routes.end() && Routes.size() >= MaxRoutes)
    Routes.erase(Routes.begin());
  RecentRuns &Runs = Routes[Route];
  double Kept = decay(Runs.UpdatedAt, Now);
  Runs.UpdatedAt = Now;
  Runs.Ended = Runs.Ended * Kept + 1;
  Runs.Refused = Runs.Refused * Kept + (CallRefused ? 1 : 0);
}

bool CallDependencies::refusesRequest(TimePoint Now, const std::string &Route,
                                      SidecarEffects &Out) {
  auto Found = Routes.find(Route);
  if (Found == Routes.end())
    return false;
  RecentRuns &Runs = Found->second;
  bool Enough = Runs.Ended * decay(Runs.UpdatedAt, Now) >= MinRuns;
  double Fraction = Enough ? Runs.Refused / Runs.Ended : 0;
  logChange(Runs, Route, Fraction, Out);
  Runs.Credit = Fraction < MinFailedFraction ? 0 : Runs.Credit + Fraction;
  bool Trial = Now - Runs.LastAdmitted >= TrialInterval;
  bool Refuse = Runs.Credit >= 1 && !Trial;
  if (Runs.Credit >= 1) {
    Runs.Credit -= 1;
    Out.emplace_back(Count{Refuse ? Counter::DependencyRefusals
                                  : Counter::DependencyTrials});
  }
  if (!Refuse)
    Runs.LastAdmitted = Now;
  return Refuse;
}

/// Logs the start and the end of the refusals of a route's requests.
void CallDependencies::logChange(RecentRuns &Runs, const std::string &Route,
                                 double Fraction, SidecarEffects &Out) {
  bool Refusing =
      Fraction >= (Runs.Refusing ? LoggedEndFraction : MinFailedFraction);
  if (Refusing == Runs.Refusing)
    return;
  Runs.Refusing = Refusing;
  Decision Line{
      LogLevel::Warning, Refusing ? "route-refused" : "route-admitted", {}};
  Line.Fields = {{"route", Route}, {"fraction", std::to_string(Fraction)}};
  Out.emplace_back(std::move(Line));
}

} // namespace figsail
