// HistoryCheck.h - Checker of client histories against run records.

#ifndef FIGSAIL_HISTORYCHECK_H
#define FIGSAIL_HISTORYCHECK_H

#include "RunRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figsail {

/// Result of the check that a response body belongs to its request.
enum class EchoResult : std::uint8_t {
  NotChecked, ///< No 200 response, or a HEAD request.
  Match,
  Mismatch,
};

/// One attempt of a logical request; a line of a history.
struct Attempt {
  std::string LogicalId; ///< Header X-Request-Id.
  std::string AttemptId; ///< Header X-Attempt-Id, unique per attempt.
  std::string BookingId; ///< Header Booking-Id; empty for idempotent requests.
  std::uint32_t Number = 0;   ///< Index of the attempt, from 0.
  std::string Target;         ///< Address the request was sent to.
  std::int64_t DueMicros = 0; ///< Scheduled start.
  std::int64_t StartMicros = 0;
  std::int64_t EndMicros = 0;
  std::uint32_t Status = 0; ///< 0: no complete response.
  std::string Failure;      ///< Why there is no response; otherwise empty.
  std::string ErrorName;    ///< Header Figsail-Error.
  std::string RunOutcome;   ///< Header Figsail-Run.
  std::uint64_t BodyHash = 0;
  EchoResult Echo = EchoResult::NotChecked;

  bool operator==(const Attempt &) const = default;
};

/// Returns the line of an attempt, without the line end.
std::string formatAttempt(const Attempt &Entry);

/// Parses a line of a history. Returns an error text for a malformed
/// line.
std::variant<Attempt, std::string> parseAttempt(const std::string &Line);

/// Kinds of rule violations.
enum class Violation : std::uint8_t {
  RanTwice,           ///< A Booking-Id ran more than once.
  FalseNotRun,        ///< An attempt reported as not run did run.
  WrongBody,          ///< The body of a 200 response is not the complete body
                      ///< of its request.
  AnsweredWithoutRun, ///< A request has a 200 response but no run.
  DifferentBody,      ///< A Booking-Id got 200 responses with different bodies.
};

std::string_view violationName(Violation Rule);

/// One violation and the id that it concerns.
struct Finding {
  Violation Rule = Violation::RanTwice;
  std::string Id; ///< Booking, attempt or logical id.

  bool operator==(const Finding &) const = default;
};

/// Violations and statistics of a check.
struct CheckResult {
  std::vector<Finding> Findings;
  std::map<std::string, std::uint64_t> OutcomeCounts; ///< Attempts by outcome.
  std::uint64_t LogicalRequests = 0;                  ///< Distinct logical ids.
  std::uint64_t AnsweredRequests = 0; ///< Logical requests with a 200 response.
  std::uint64_t RunCount = 0;
  std::vector<std::int64_t> Latencies; ///< Of attempts with status 200, from
                                       ///< due to end, sorted; in microseconds.
};

/// Checks a complete history against all runs of all backend servers. Without
/// runs, checks the bodies only.
CheckResult checkHistory(const std::vector<Attempt> &History,
                         const std::optional<std::vector<RunRecord>> &Runs);

/// Returns the latency that a fraction (0 to 1) of the values do not exceed, or
/// 0 when there are none.
std::int64_t quantile(const std::vector<std::int64_t> &Sorted, double Fraction);

} // namespace figsail

#endif // FIGSAIL_HISTORYCHECK_H
