// BackendFields.h - Header fields between this daemon and its backend server.

#ifndef FIGSAIL_BACKENDFIELDS_H
#define FIGSAIL_BACKENDFIELDS_H

#include "figsail/HttpMessage.h"
#include "figsail/Types.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace figsail {

/// Whether a response belongs to the request that was sent.
enum class ResponseMatch : std::uint8_t {
  SameRequest,  ///< It answers the request.
  OtherRequest, ///< It answers another request and is skipped.
  Unusable,     ///< It cannot be passed on.
};

/// What a backend server expects in a request and says in a response. The base
/// class is figsail's own convention.
class BackendFields {
public:
  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  virtual ~BackendFields() = default;
  /// Sets the field that tells the backend server how much time is left.
  virtual void setDeadline(Message &Request, Duration Left) const;
  /// Decides on a whole response.
  virtual ResponseMatch match(const Message &Request,
                              const HttpResponse &Response) const;
};

} // namespace figsail

#endif // FIGSAIL_BACKENDFIELDS_H
