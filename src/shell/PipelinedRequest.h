// PipelinedRequest.h - Requests that a client sends before the response to an
// earlier one.

#ifndef FIGSAIL_PIPELINEDREQUEST_H
#define FIGSAIL_PIPELINEDREQUEST_H

#include "figsail/Events.h"

#include <optional>
#include <string_view>

namespace figsail {

/// A safe request without a body, at the start of the received bytes.
struct SafeRequest {
  HttpRequest Request;
  std::size_t Size = 0; ///< Bytes of it, and of empty lines before it.
  unsigned Version = 11;
  bool KeepAlive = false; ///< Another request may follow.
};

/// Reads the next request if it is complete, valid and safe, and has no body.
/// Nothing is returned for any other: it is read when the requests before it
/// have been answered.
std::optional<SafeRequest> readSafeRequest(std::string_view Received,
                                           std::size_t MaxHead);

/// Returns whether a request has no effect, so that it may run beside others of
/// its connection (RFC 9112, section 9.3.2).
bool isSafe(const HttpRequest &Request);

/// A request that was dispatched while an earlier one of its connection was
/// being handled. Its response is written after those of the earlier ones.
struct PipelinedRequest {
  CallerId Caller = 0;
  unsigned Version = 11;
  bool IsHead = false;
  bool KeepAlive = false;
  std::optional<HttpResponse> Response; ///< Set once the handler has replied.
};

} // namespace figsail

#endif // FIGSAIL_PIPELINEDREQUEST_H
