// BackendFields.h - Header field protocol between a daemon and its backend
// server.

#ifndef FIGSAIL_BACKENDFIELDS_H
#define FIGSAIL_BACKENDFIELDS_H

#include "figsail/HttpMessage.h"
#include "figsail/Types.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace figsail {

/// Relation of a response to the request that was sent.
enum class ResponseMatch : std::uint8_t {
  SameRequest,  ///< It belongs to the request.
  OtherRequest, ///< It belongs to another request and is skipped.
  Unusable,     ///< It is invalid and must not be forwarded.
};

/// Why what a backend server wrote is not the response to a request.
enum class RejectionReason : std::uint8_t {
  OtherRequest, ///< It names another request.
  Unusable,     ///< ResponseMatch::Unusable.
  Surplus,      ///< It follows a response, before the next request.
};

/// Returns the name of a reason, for the log.
std::string_view rejectionName(RejectionReason Reason);

/// Convention for the header fields of requests to a backend server and of its
/// responses. The base class implements figsail's own convention.
class BackendFields {
public:
  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  virtual ~BackendFields() = default;
  /// Sets the field that carries the remaining time to the backend server.
  virtual void setDeadline(Message &Request, Duration Left) const;
  /// Checks whether a complete response belongs to a request.
  virtual ResponseMatch match(const Message &Request,
                              const HttpResponse &Response) const;
  /// Returns whether the connection of a response may carry another request.
  /// It may not if a second copy of the response, should the server write one,
  /// would be read as the statement that the next request did not run. In
  /// figsail's own convention any status from 400 may be a refusal, and a
  /// response names no request.
  virtual bool mayReuseAfter(const Message &Request,
                             const HttpResponse &Response) const;
};

} // namespace figsail

#endif // FIGSAIL_BACKENDFIELDS_H
