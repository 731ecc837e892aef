// ErrorKind.h - Kinds of errors and the HTTP answer of each.

#ifndef FIGSAIL_ERRORKIND_H
#define FIGSAIL_ERRORKIND_H

#include "figsail/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace figsail {

/// Reason for which figsail itself ends a call. The order is the wire
/// encoding: append only.
enum class ErrorKind : std::uint8_t {
  BadRequest,
  AmbiguousFraming,
  HeadTooLarge,
  BodyTooLarge,
  RequestTimeout,
  MethodNotSupported,
  ExpectationFailed,
  NoRoute,
  WrongRegion,
  MissingIdentity,
  KeyReused,
  Draining,
  NoBackendServer,
  Overloaded,
  WorkspaceOverloaded,
  RetryBudgetSpent,
  DeadlineNotRun,
  RecordCapacity,
  Quarantined,
  StaleEpoch,
  WrongIncarnation,
  NeverStarted,
  Cancelled,
  CoordinatorUnavailable,
  OutcomeUnknown,
  BackendFailed,
  DeadlineUnknown,
  AnswerNotKept,
  Internal,
  ServerRefused,
  ServerSlow,
  RateLimited,
  ConfigurationBehind,
  Unauthorized,
  KeyUnconfirmed,
  RolloutClosed,
  QuotaExceeded,
  CalledServiceRefuses,
};
inline constexpr std::size_t ErrorKindCount =
    static_cast<std::size_t>(ErrorKind::CalledServiceRefuses) + 1;

/// Tells whether the request ran on a backend server.
enum class RunState : std::uint8_t { No, Unknown, Yes };

/// Row of the error table.
struct ErrorEntry {
  ErrorKind Kind;
  std::string_view Name; ///< Value of the Figsail-Error field.
  unsigned Status;       ///< HTTP status.
  RunState Run;          ///< Value of the Figsail-Run field.
  std::chrono::seconds
      RetryAfter; ///< Value of Retry-After; zero: a resend does not help.
  std::string_view Text; ///< One sentence for the body.
};

/// Returns the row of a kind.
const ErrorEntry &errorEntry(ErrorKind Kind);

/// Returns "no", "unknown" or "yes".
std::string_view runStateName(RunState Run);

/// Builds the HTTP answer of a kind. Detail, if any, is appended to the body.
HttpResponse errorResponse(ErrorKind Kind, std::string_view Detail = {});

} // namespace figsail

#endif // FIGSAIL_ERRORKIND_H
