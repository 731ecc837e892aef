// DecisionLog.h - Structured log lines on standard output, bounded and without
// waiting.

#ifndef FIGSAIL_DECISIONLOG_H
#define FIGSAIL_DECISIONLOG_H

#include "SidecarEvents.h"

#include "figsail/TokenBucket.h"

#include <string>

namespace figsail {

/// Sends log lines to standard output as JSON, one object a line, through a
/// bounded buffer. Host names this process in each line.
void startStructuredLogging(const std::string &Host);

/// Writes buffered lines as far as the reader of standard output takes them.
void flushLog();

/// Returns the lines that were left out because the reader did not keep up.
std::uint64_t droppedLogLines();

/// Returns a text with the characters escaped that JSON does not allow.
std::string escapeJson(std::string_view Text);

/// Writes decisions. Under load lines of information are left out first; the
/// next line that is written tells how many.
class DecisionLog {
public:
  void write(TimePoint Now, const Decision &Entry);
  std::uint64_t suppressed() const { return Suppressed; }

private:
  static constexpr double InfoPerSecond = 100;
  static constexpr double WarningsPerSecond = 200;
  TokenBucket InfoBudget{InfoPerSecond, InfoPerSecond};
  TokenBucket WarningBudget{WarningsPerSecond, WarningsPerSecond};
  std::uint64_t Suppressed = 0;         ///< Since the start.
  std::uint64_t ReportedSuppressed = 0; ///< Of Suppressed.
};

} // namespace figsail

#endif // FIGSAIL_DECISIONLOG_H
