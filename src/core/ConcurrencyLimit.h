// ConcurrencyLimit.h - Adaptive limit of concurrent requests on one backend
// server.

#ifndef FIGSAIL_CORE_CONCURRENCYLIMIT_H
#define FIGSAIL_CORE_CONCURRENCYLIMIT_H

#include "figsail/Types.h"

#include <bitset>
#include <string>
#include <unordered_map>

namespace figsail {

/// Latency of one route on the backend server, in microseconds.
struct RouteLatency {
  std::uint32_t Samples = 0; ///< Counted up to InitialSamples only.
  double Fast = 0;           ///< Moving average over about one limit's worth.
  double Slow = 0;           ///< Moving average over SlowSamples.
  double Best = 0; ///< Lowest Slow, drifting up; 0 while it is not known.
};

/// Additive increase while latency stays near the best known, multiplicative
/// decrease when it does not.
class ConcurrencyLimit {
public:
  static constexpr double GrowBelow = 2; ///< Times the best latency.
  static constexpr double CutAbove = 3;  ///< Times the best latency.
  static constexpr double CutFactor = 0.7;
  static constexpr std::uint32_t InitialSamples =
      8; ///< Samples before a route's best latency is known.
  static constexpr double SlowSamples = 16;
  /// Growth of Best per sample. A lasting change of latency by a factor of
  /// ten becomes the new normal after about 2300 samples.
  static constexpr double BestDrift = 1.001;
  static constexpr std::size_t OutcomeWindow = 20;
  static constexpr std::size_t HoldingFailures =
      10; ///< Failures in the window that hold the limit at one.
  static constexpr std::size_t MaxRoutes = 256;

  /// Both at least one; Initial is bounded by Slots. Fixed: the limit stays at
  /// Slots whatever is observed.
  ConcurrencyLimit(std::uint32_t Slots, std::uint32_t Initial,
                   bool Fixed = false);

  /// A whole response other than a 5xx has arrived. Running is the number of
  /// requests that ran beside it, itself included.
  void completed(const std::string &Route, Duration Latency,
                 std::uint32_t Running);
  /// No whole response came within the budget. Says nothing when the budget was
  /// too short for this route.
  void timedOut(const std::string &Route, Duration Latency);
  /// A 5xx response, or no whole response.
  void failed();
  /// The backend server refused the request by its refusal status.
  void shed();
  /// The backend server refused or reset a connection.
  void disconnected();
  /// Falls to the initial value if it is above.
  void lowerToInitial();
  /// Starts again at the initial value with no outcomes. Latencies are kept.
  void restart();

  /// Returns the present limit, at least one and at most Slots.
  std::uint32_t value() const {
    if (Fixed)
      return Slots;
    return isHeld() ? 1 : Limit;
  }
  /// Returns whether failures hold the limit at one.
  bool isHeld() const { return !Fixed && Outcomes.count() >= HoldingFailures; }
  std::uint32_t slots() const { return Slots; }

private:
  RouteLatency *latencyOf(const std::string &Route);
  void addSample(RouteLatency &Known, double Micros) const;
  void recordOutcome(bool Failure);
  void cut();
  void beginWindow();
  void endWindow();

  std::uint32_t Slots;
  std::uint32_t Initial;
  std::uint32_t Limit;
  bool Fixed;
  std::uint32_t Completions = 0;     ///< Completions in this window.
  std::uint32_t PeakRunning = 0;     ///< Most running in this window.
  std::uint32_t SlowCompletions = 0; ///< Completions in a row above CutAbove.
  std::uint32_t CutCooldown = 0;     ///< Completions that may not cut again.
  bool Healthy = true; ///< All of this window were below GrowBelow.
  std::bitset<OutcomeWindow> Outcomes; ///< Set bits are failures.
  std::size_t NextOutcome = 0;
  std::unordered_map<std::string, RouteLatency> Routes;
};

} // namespace figsail

#endif // FIGSAIL_CORE_CONCURRENCYLIMIT_H
