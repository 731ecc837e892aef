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
std::string jsonText(std::string_view Text);

/// Writes decisions. Under load lines of information are left out first; the
/// next line that is written tells how many.
class DecisionLog {
public:
  void write(TimePoint Now, const Decision &Line);
  std::uint64_t leftOut() const { return LeftOut; }

private:
  static constexpr double InfoPerSecond = 100;
  static constexpr double WarningsPerSecond = 200;
  TokenBucket Infos{InfoPerSecond, InfoPerSecond};
  TokenBucket Warnings{WarningsPerSecond, WarningsPerSecond};
  std::uint64_t LeftOut = 0;  ///< Since the start.
  std::uint64_t Reported = 0; ///< Of LeftOut.
};

} // namespace figsail

#endif // FIGSAIL_DECISIONLOG_H
