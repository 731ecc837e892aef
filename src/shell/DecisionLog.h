// DecisionLog.h - Rate-limited, non-blocking structured log on standard output.

#ifndef FIGSAIL_DECISIONLOG_H
#define FIGSAIL_DECISIONLOG_H

#include "SidecarEvents.h"

#include "figsail/TokenBucket.h"

#include <string>

namespace figsail {

/// Sends log lines to standard output as JSON, one object a line, through a
/// bounded buffer. Host is the field "host" of each line.
void startStructuredLogging(const std::string &Host);

/// Writes as many buffered lines as standard output accepts without blocking.
void flushLog();

/// Returns the number of lines that were dropped because the buffer was full.
std::uint64_t droppedLogLines();

/// Escapes the characters that a JSON string must not contain.
std::string escapeJson(std::string_view Text);

/// Rate-limited log of the reducer's decisions. Informational lines have a
/// budget of their own, so that they do not displace warnings and errors. The
/// next line that is written contains the number of suppressed lines.
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
  std::uint64_t ReportedSuppressed = 0; ///< Already written to the log.
};

} // namespace figsail

#endif // FIGSAIL_DECISIONLOG_H
