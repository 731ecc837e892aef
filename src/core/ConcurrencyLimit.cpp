// ConcurrencyLimit.cpp - Growth, cuts and the hold of the concurrency limit.

#include "ConcurrencyLimit.h"

#include <algorithm>

namespace figsail {

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t Slots, std::uint32_t Initial,
                                   bool Fixed)
    : Slots(std::max(Slots, 1U)), Initial(std::clamp(Initial, 1U, this->Slots)),
      Limit(this->Initial), Fixed(Fixed) {}

void ConcurrencyLimit::completed(const std::string &Route, Duration Latency,
                                 std::uint32_t Running) {
  record(false);
  ++Seen;
  Peak = std::max(Peak, Running);
  if (CutPause > 0)
    --CutPause;
  RouteLatency *Known = latencyOf(Route);
  if (Known)
    sample(*Known,
           static_cast<double>(std::max<std::int64_t>(Latency.count(), 1)));
  if (!Known || Known->Best == 0) {
    // A route whose best latency is unknown says nothing about the load.
    Healthy = false;
  } else if (Known->Fast > CutAbove * Known->Best) {
    ++SlowSeen;
    Healthy = false;
    if (CutPause == 0)
      cut();
    // A full limit's worth of slow completions: the server is cold again.
    if (SlowSeen >= Limit)
      Limit = std::min(Limit, Initial);
  } else {
    SlowSeen = 0;
    Healthy = Healthy && Known->Fast < GrowBelow * Known->Best;
  }
  if (Seen >= Limit)
    windowDone();
}

void ConcurrencyLimit::timedOut(const std::string &Route, Duration Latency) {
  RouteLatency *Known = latencyOf(Route);
  if (Known && static_cast<double>(Latency.count()) < CutAbove * Known->Best)
    return;
  record(true);
  if (CutPause == 0)
    cut();
}

void ConcurrencyLimit::failed() { record(true); }

void ConcurrencyLimit::shed() {
  Healthy = false;
  if (CutPause == 0)
    cut();
  else
    --CutPause;
}

void ConcurrencyLimit::disconnected() {
  record(true);
  lower();
}

void ConcurrencyLimit::lower() {
  Limit = std::min(Limit, Initial);
  beginWindow();
}

void ConcurrencyLimit::restart() {
  Limit = Initial;
  Outcomes.reset();
  CutPause = 0;
  beginWindow();
}

RouteLatency *ConcurrencyLimit::latencyOf(const std::string &Route) {
  auto Found = Routes.find(Route);
  if (Found != Routes.end())
    return &Found->second;
  if (Routes.size() >= MaxRoutes)
    return nullptr;
  return &Routes[Route];
}

void ConcurrencyLimit::sample(RouteLatency &Known, double Micros) const {
  if (Known.Samples < LearnSamples) {
    ++Known.Samples;
    Known.Slow += (Micros - Known.Slow) / Known.Samples;
    Known.Fast = Known.Slow;
    if (Known.Samples == LearnSamples)
      Known.Best = Known.Slow;
    return;
  }
  double Weight = std::clamp(2.0 / (Limit + 1), 1 / SlowSamples, 0.25);
  Known.Fast += (Micros - Known.Fast) * Weight;
  Known.Slow += (Micros - Known.Slow) / SlowSamples;
  Known.Best = std::min(Known.Best * BestDrift, Known.Slow);
}

void ConcurrencyLimit::record(bool Failure) {
  bool Before = held();
  Outcomes[NextOutcome] = Failure;
  NextOutcome = (NextOutcome + 1) % OutcomeWindow;
  if (held() && !Before)
    lower();
}

void ConcurrencyLimit::cut() {
  Limit = std::max(1U, static_cast<std::uint32_t>(Limit * CutFactor));
  CutPause = Limit;
  Seen = 0;
  Peak = 0;
}

void ConcurrencyLimit::beginWindow() {
  Seen = 0;
  Peak = 0;
  SlowSeen = 0;
  Healthy = true;
}

void ConcurrencyLimit::windowDone() {
  // A limit that was not half used has not been tested.
  if (Healthy && Peak * 2 >= Limit && !held())
    Limit = std::min(Limit + 1, Slots);
  Seen = 0;
  Peak = 0;
  Healthy = true;
}

} // namespace figsail
