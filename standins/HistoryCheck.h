// HistoryCheck.h - Checks histories of callers against records of runs.

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

/// Whether a response body is the one of its own request.
enum class EchoResult : std::uint8_t {
  NotChecked, ///< Not checked: no 200 response, or a HEAD request.
  Match,
  Mismatch,
};

/// One attempt of one logical request; one line of a history.
struct Attempt {
  std::string LogicalId;      ///< Header X-Request-Id.
  std::string AttemptId;      ///< Header X-Attempt-Id, unique.
  std::string BookingId;      ///< Header Booking-Id; empty when idempotent.
  std::uint32_t Number = 0;   ///< Counts the attempts of the request from 0.
  std::string Target;         ///< Address that was called.
  std::int64_t DueMicros = 0; ///< When the request was to start.
  std::int64_t StartMicros = 0;
  std::int64_t EndMicros = 0;
  std::uint32_t Status = 0; ///< 0: no whole response.
  std::string Failure;      ///< Why there is no response; otherwise empty.
  std::string ErrorName;    ///< Field Figsail-Error.
  std::string RunOutcome;   ///< Field Figsail-Run.
  std::uint64_t BodyHash = 0;
  EchoResult Echo = EchoResult::NotChecked;

  bool operator==(const Attempt &) const = default;
};

/// Returns the line of an attempt, without the line end.
std::string formatAttempt(const Attempt &Entry);

/// Parses a line of a history. Returns an error text when it is none.
std::variant<Attempt, std::string> parseAttempt(const std::string &Line);

/// Rules of the checker.
enum class Violation : std::uint8_t {
  RanTwice,           ///< A Booking-Id ran more than once.
  FalseNotRun,        ///< An attempt was told "not run", but it ran.
  WrongBody,          ///< A 200 response has not the whole body of its request.
  AnsweredWithoutRun, ///< A request has a 200 response, but never ran.
  DifferentBody,      ///< A Booking-Id got 200 responses with different bodies.
};

std::string_view violationName(Violation Rule);

/// One violation and the id that it concerns.
struct Finding {
  Violation Rule = Violation::RanTwice;
  std::string Id; ///< Booking, attempt or logical id.

  bool operator==(const Finding &) const = default;
};

/// What a check found and counted.
struct CheckResult {
  std::vector<Finding> Findings;
  std::map<std::string, std::uint64_t> OutcomeCounts; ///< Attempts by kind.
  std::uint64_t LogicalRequests = 0;                  ///< Logical requests.
  std::uint64_t AnsweredRequests = 0; ///< Logical requests with a 200 response.
  std::uint64_t RunCount = 0;
  std::vector<std::int64_t> Latencies; ///< Of attempts with 200, from due to
                                       ///< end, sorted; in microseconds.
};

/// Checks a whole history against all runs of all backend servers. Without runs
/// the rules about them are not checked.
CheckResult checkHistory(const std::vector<Attempt> &History,
                         const std::optional<std::vector<RunRecord>> &Runs);

/// Returns the latency that Share (0 to 1) of the values do not exceed, or 0
/// when there are none.
std::int64_t quantile(const std::vector<std::int64_t> &Sorted, double Fraction);

} // namespace figsail

#endif // FIGSAIL_HISTORYCHECK_H
