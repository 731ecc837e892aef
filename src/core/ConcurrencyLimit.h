// ConcurrencyLimit.h - Adaptive limit of the concurrent requests on one backend
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
  double Fast = 0;           ///< Moving average over about Limit samples.
  double Slow = 0;           ///< Moving average over SlowSamples.
  double Best = 0; ///< Lowest Slow, rising slowly; 0 while it is not known.
};

/// An AIMD limit: it increases additively while latency stays near the best
/// known, and decreases multiplicatively when it does not.
class ConcurrencyLimit {
public:
  static constexpr double GrowBelow = 2; ///< Multiple of the best latency.
  static constexpr double CutAbove = 3;  ///< Multiple of the best latency.
  static constexpr double CutFactor = 0.7;
  static constexpr std::uint32_t InitialSamples =
      8; ///< Samples before a route's best latency is known.
  static constexpr double SlowSamples = 16;
  /// Growth of Best per sample. After a lasting increase of latency by a factor
  /// of ten, Best has adapted after about 2300 samples.
  static constexpr double BestDrift = 1.001;
  static constexpr std::size_t OutcomeWindow = 20;
  static constexpr std::size_t HoldingFailures =
      10; ///< Failures in the window that hold the limit at one.
  static constexpr std::size_t MaxRoutes = 256;

  /// Slots and Initial are raised to at least one, and Initial is lowered to at
  /// most Slots. If Fixed is true, the limit always is Slots.
  ConcurrencyLimit(std::uint32_t Slots, std::uint32_t Initial,
                   bool Fixed = false);

  /// Handles a whole response other than a 5xx. Running is the number of
  /// requests that ran at the same time, this one included.
  void completed(const std::string &Route, Duration Latency,
                 std::uint32_t Running);
  /// Handles a request without a whole response within its budget. Has no
  /// effect if the budget was too short for this route.
  void timedOut(const std::string &Route, Duration Latency);
  /// Handles a 5xx response or a malformed one.
  void failed();
  /// Handles a response with the refusal status of the route.
  void shed();
  /// Handles a connection that the backend server refused or reset.
  void disconnected();
  /// Lowers the limit to its initial value if it is higher.
  void lowerToInitial();
  /// Sets the limit to its initial value and clears the outcomes, but keeps the
  /// latencies.
  void restart();

  /// Returns the current limit, at least one and at most Slots.
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
  std::uint32_t Completions = 0; ///< Completions in this window.
  std::uint32_t PeakRunning = 0; ///< Most requests running in this window.
  std::uint32_t SlowCompletions =
      0;                         ///< Consecutive completions above CutAbove.
  std::uint32_t CutCooldown = 0; ///< Completions until the next cut may follow.
  bool Healthy = true; ///< All latencies of this window are below GrowBelow.
  std::bitset<OutcomeWindow> Outcomes; ///< Set bits are failures.
  std::size_t NextOutcome = 0;
  std::unordered_map<std::string, RouteLatency> Routes;
};

} // namespace figsail

#endif // FIGSAIL_CORE_CONCURRENCYLIMIT_H
