// ErrorTable.cpp - Table from error kind to HTTP answer.

#include "figsail/ErrorKind.h"

#include <array>
#include <string>

namespace figsail {

using std::chrono::seconds;

/// HTTP status whose answers must name the way to authenticate.
static constexpr unsigned UnauthorizedStatus = 401;

static constexpr std::array<ErrorEntry, ErrorKindCount> ErrorTable{{
    // clang-format off
    {ErrorKind::BadRequest,             "bad-request",             400, RunState::No,      seconds(0),   "The request is not valid HTTP."},
    {ErrorKind::AmbiguousFraming,       "ambiguous-framing",       400, RunState::No,      seconds(0),   "The length of the request body is ambiguous."},
    {ErrorKind::HeadTooLarge,           "head-too-large",          431, RunState::No,      seconds(0),   "The request head is too large."},
    {ErrorKind::BodyTooLarge,           "body-too-large",          413, RunState::No,      seconds(0),   "The request body is larger than the route allows."},
    {ErrorKind::RequestTimeout,         "request-timeout",         408, RunState::No,      seconds(1),   "The request did not arrive in time."},
    {ErrorKind::MethodNotSupported,     "method-not-supported",    501, RunState::No,      seconds(0),   "The method is not supported."},
    {ErrorKind::ExpectationFailed,      "expectation-failed",      417, RunState::No,      seconds(0),   "Only 100-continue is supported in Expect."},
    {ErrorKind::NoRoute,                "no-route",                404, RunState::No,      seconds(0),   "No route matches the request."},
    {ErrorKind::WrongRegion,            "wrong-region",            421, RunState::No,      seconds(0),   "The route is not served in this region."},
    {ErrorKind::MissingIdentity,        "missing-identity",        400, RunState::No,      seconds(0),   "The header that identifies the request is missing."},
    {ErrorKind::KeyReused,              "key-reused",              422, RunState::No,      seconds(0),   "Another request with the same identity has other content."},
    {ErrorKind::Draining,               "draining",                503, RunState::No,      seconds(1),   "The server is shutting down."},
    {ErrorKind::NoBackendServer,        "no-backend-server",       503, RunState::No,      seconds(2),   "No backend server is in service for the route."},
    {ErrorKind::Overloaded,             "overloaded",              503, RunState::No,      seconds(1),   "All backend servers are at their limit."},
    {ErrorKind::WorkspaceOverloaded,    "workspace-overloaded",    429, RunState::No,      seconds(1),   "The workspace has used its share of the backend servers."},
    {ErrorKind::RetryBudgetSpent,       "retry-budget-spent",      503, RunState::No,      seconds(1),   "The backend server refused and the retry budget is spent."},
    {ErrorKind::DeadlineNotRun,         "deadline-not-run",        504, RunState::No,      seconds(1),   "The deadline passed before the request was started."},
    {ErrorKind::RecordCapacity,         "record-capacity",         503, RunState::No,      seconds(5),   "There is no memory for another idempotency record."},
    {ErrorKind::Quarantined,            "quarantined",             503, RunState::No,      seconds(600), "The request is suspected of crashing backend servers."},
    {ErrorKind::StaleEpoch,             "stale-epoch",             503, RunState::No,      seconds(1),   "The member list changed while the request was forwarded."},
    {ErrorKind::WrongIncarnation,       "wrong-incarnation",       503, RunState::No,      seconds(1),   "The backend server's daemon restarted."},
    {ErrorKind::NeverStarted,           "never-started",           503, RunState::No,      seconds(1),   "The request did not reach its backend server."},
    {ErrorKind::Cancelled,              "cancelled",               503, RunState::No,      seconds(1),   "The request was cancelled before it was started."},
    {ErrorKind::CoordinatorUnavailable, "coordinator-unavailable", 502, RunState::Unknown, seconds(3),   "The record of earlier attempts cannot be reached."},
    {ErrorKind::OutcomeUnknown,         "outcome-unknown",         502, RunState::Unknown, seconds(5),   "The request may have run; its outcome is not known."},
    {ErrorKind::BackendFailed,          "backend-failed",          502, RunState::Unknown, seconds(1),   "The backend server failed while it ran the request."},
    {ErrorKind::DeadlineUnknown,        "deadline-unknown",        504, RunState::Unknown, seconds(2),   "The deadline passed while the request was running."},
    {ErrorKind::AnswerNotKept,          "answer-not-kept",         409, RunState::Yes,     seconds(0),   "The request ran before; its answer is no longer kept."},
    {ErrorKind::Internal,               "internal",                500, RunState::Unknown, seconds(5),   "Internal error."},
    {ErrorKind::ServerRefused,          "server-refused",          503, RunState::No,      seconds(1),   "The backend server refused the request without running it."},
    {ErrorKind::ServerSlow,             "server-slow",             503, RunState::No,      seconds(1),   "The backend server is slow at this moment."},
    {ErrorKind::RateLimited,            "rate-limited",            503, RunState::No,      seconds(1),   "The backend servers have named a rate limit, and it is used up."},
    {ErrorKind::ConfigurationBehind,    "configuration-behind",    503, RunState::No,      seconds(1),   "No route matches the request; a newer configuration is being read."},
    {ErrorKind::Unauthorized,           "unauthorized",            401, RunState::No,      seconds(0),   "The request carries no key of a workspace."},
    {ErrorKind::KeyUnconfirmed,         "key-unconfirmed",         503, RunState::No,      seconds(1),   "The key is not known here; a newer configuration is being read."},
    {ErrorKind::RolloutClosed,          "rollout-closed",          503, RunState::No,      seconds(1),   "The backend server has a version that takes no more requests at present."},
    {ErrorKind::QuotaExceeded,          "quota-exceeded",          429, RunState::No,      seconds(1),   "The workspace has used up its quota."},
    {ErrorKind::CalledServiceRefuses,   "called-service-refuses",  503, RunState::No,      seconds(1),   "A service that the request needs refuses calls at this moment."},
    // clang-format on
}};

static constexpr bool tableIsInOrder() {
  for (std::size_t I = 0; I < ErrorTable.size(); ++I)
    if (static_cast<std::size_t>(ErrorTable[I].Kind) != I)
      return false;
  return true;
}
static_assert(tableIsInOrder(), "rows must follow the order of ErrorKind");

const ErrorEntry &errorEntry(ErrorKind Kind) {
  return ErrorTable[static_cast<std::size_t>(Kind)];
}

std::string_view runStateName(RunState Run) {
  switch (Run) {
  case RunState::No:
    return "no";
  case RunState::Unknown:
    return "unknown";
  case RunState::Yes:
    return "yes";
  }
  return "unknown";
}

HttpResponse errorResponse(ErrorKind Kind, std::string_view Detail) {
  const ErrorEntry &Entry = errorEntry(Kind);
  HttpResponse Response;
  Response.Status = Entry.Status;
  Response.Headers = {{"Content-Type", "text/plain"},
                      {"Figsail-Error", std::string(Entry.Name)},
                      {"Figsail-Run", std::string(runStateName(Entry.Run))}};
  if (Entry.Status == UnauthorizedStatus)
    Response.Headers.emplace_back("WWW-Authenticate", "Bearer");
  if (Entry.RetryAfter.count() > 0)
    Response.Headers.emplace_back("Retry-After",
                                  std::to_string(Entry.RetryAfter.count()));
  Response.Body = Entry.Text;
  if (!Detail.empty()) {
    Response.Body += ' ';
    Response.Body += Detail;
  }
  Response.Body += '\n';
  return Response;
}

} // namespace figsail
