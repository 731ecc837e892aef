// ConcurrencyLimit.cpp - Increase and decrease of the concurrency limit.

#include "ConcurrencyLimit.h"

#include <algorithm>

namespace figsail {

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t Slots, std::uint32_t Initial,
                                   bool Fixed)
    : Slots(std::max(Slots, 1U)), Initial(std::clamp(Initial, 1U, this->Slots)),
      Limit(this->Initial), Fixed(Fixed) {}

void ConcurrencyLimit::completed(const std::string &Route, Duration Latency,
                                 std::uint32_t Running) {
  recordOutcome(false);
  ++Completions;
  PeakRunning = std::max(PeakRunning, Running);
  if (CutCooldown > 0)
    --CutCooldown;
  RouteLatency *Known = latencyOf(Route);
  if (Known)
    addSample(*Known,
              static_cast<double>(std::max<std::int64_t>(Latency.count(), 1)));
  if (!Known || Known->Best == 0) {
    // Without a known best latency, this sample gives no evidence for growth.
    Healthy = false;
  } else if (Known->Fast > CutAbove * Known->Best) {
    ++SlowCompletions;
    Healthy = false;
    if (CutCooldown == 0)
      cut();
    // After as many slow completions as the limit, the server counts as cold.
    if (SlowCompletions >= Limit)
      Limit = std::min(Limit, Initial);
  } else {
    SlowCompletions = 0;
    Healthy = Healthy && Known->Fast < GrowBelow * Known->Best;
  }
  if (Completions >= Limit)
    endWindow();
}

void ConcurrencyLimit::timedOut(const std::string &Route, Duration Latency) {
  RouteLatency *Known = latencyOf(Route);
  if (Known && static_cast<double>(Latency.count()) < CutAbove * Known->Best)
    return;
  recordOutcome(true);
  if (CutCooldown == 0)
    cut();
}

void ConcurrencyLimit::failed() { recordOutcome(true); }

void ConcurrencyLimit::shed() {
  Healthy = false;
  if (CutCooldown == 0)
    cut();
  else
    --CutCooldown;
}

void ConcurrencyLimit::disconnected() {
  recordOutcome(true);
  lowerToInitial();
}

void ConcurrencyLimit::lowerToInitial() {
  Limit = std::min(Limit, Initial);
  beginWindow();
}

void ConcurrencyLimit::restart() {
  Limit = Initial;
  Outcomes.reset();
  CutCooldown = 0;
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

void ConcurrencyLimit::addSample(RouteLatency &Known, double Micros) const {
  if (Known.Samples < InitialSamples) {
    ++Known.Samples;
    Known.Slow += (Micros - Known.Slow) / Known.Samples;
    Known.Fast = Known.Slow;
    if (Known.Samples == InitialSamples)
      Known.Best = Known.Slow;
    return;
  }
  double Weight = std::clamp(2.0 / (Limit + 1), 1 / SlowSamples, 0.25);
  Known.Fast += (Micros - Known.Fast) * Weight;
  Known.Slow += (Micros - Known.Slow) / SlowSamples;
  Known.Best = std::min(Known.Best * BestDrift, Known.Slow);
}

void ConcurrencyLimit::recordOutcome(bool Failure) {
  bool WasHeld = isHeld();
  Outcomes[NextOutcome] = Failure;
  NextOutcome = (NextOutcome + 1) % OutcomeWindow;
  if (isHeld() && !WasHeld)
    lowerToInitial();
}

void ConcurrencyLimit::cut() {
  Limit = std::max(1U, static_cast<std::uint32_t>(Limit * CutFactor));
  CutCooldown = Limit;
  Completions = 0;
  PeakRunning = 0;
}

void ConcurrencyLimit::beginWindow() {
  Completions = 0;
  PeakRunning = 0;
  SlowCompletions = 0;
  Healthy = true;
}

void ConcurrencyLimit::endWindow() {
  // The limit grows only if at least half of it was used.
  if (Healthy && PeakRunning * 2 >= Limit && !isHeld())
    Limit = std::min(Limit + 1, Slots);
  Completions = 0;
  PeakRunning = 0;
  Healthy = true;
}

} // namespace figsail
