// RequestHead.h - Strict checks of a request head before and after parsing.

#ifndef FIGSAIL_REQUESTHEAD_H
#define FIGSAIL_REQUESTHEAD_H

#include "figsail/ErrorKind.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string_view>
#include <variant>

namespace figsail {

/// Finds the end of a head in bytes that arrive piecewise, and rejects what
/// parsers read in different ways: folded fields, bare CR or LF, control
/// characters.
class HeadScanner {
public:
  struct NeedMore {};
  struct Complete {
    std::size_t Size = 0; ///< Bytes of the head with its empty line.
  };
  using Result = std::variant<NeedMore, Complete, ErrorKind>;

  /// Scans on in the bytes received so far, which begin with the head.
  Result scan(std::string_view Received, std::size_t MaxHead);
  /// Starts over for the next request.
  void reset() { *this = HeadScanner(); }

private:
  std::size_t Position = 0;         ///< First byte not scanned.
  std::size_t LineStart = 0;        ///< First byte of the present line.
  bool AfterCarriageReturn = false; ///< The last byte was CR.
};

using RequestFields = boost::beast::http::request_header<>;

/// Returns the kind for an error of the parser in a head.
ErrorKind headErrorKind(boost::beast::error_code Error);

/// Checks framing, version, Host, method and Expect of a parsed head. Returns
/// the error to answer with, or nothing.
std::optional<ErrorKind> checkRequestFields(const RequestFields &Head);

/// Returns the target in origin form: an absolute "http://host/path" becomes
/// "/path".
std::string_view originForm(std::string_view Target);

} // namespace figsail

#endif // FIGSAIL_REQUESTHEAD_H
