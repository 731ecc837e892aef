// RequestHead.h - Strict validation of a request head before and after parsing.

#ifndef FIGSAIL_REQUESTHEAD_H
#define FIGSAIL_REQUESTHEAD_H

#include "figsail/ErrorKind.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string_view>
#include <variant>

namespace figsail {

/// Incremental scanner that finds the end of a request head. It rejects what
/// HTTP parsers interpret differently: folded fields, bare CR or LF, and
/// control characters.
class HeadScanner {
public:
  struct NeedMore {};
  struct Complete {
    std::size_t Size = 0; ///< Bytes of the head, including the empty line.
  };
  using Result = std::variant<NeedMore, Complete, ErrorKind>;

  /// Continues the scan. Received holds all bytes so far, from the start of the
  /// head.
  Result scan(std::string_view Received, std::size_t MaxHead);
  /// Prepares for the next request.
  void reset() { *this = HeadScanner(); }

private:
  std::size_t Position = 0;  ///< Index of the first byte not scanned yet.
  std::size_t LineStart = 0; ///< Index of the first byte of the current line.
  bool AfterCarriageReturn = false; ///< The last byte was CR.
};

using RequestFields = boost::beast::http::request_header<>;

/// Maps a parser error in a request head to an error kind.
ErrorKind headErrorKind(boost::beast::error_code Error);

/// Validates framing, version, Host, method and Expect of a parsed head.
/// Returns the error to respond with, or nothing if the head is valid.
std::optional<ErrorKind> checkRequestFields(const RequestFields &Head);

/// Converts a request target to origin form: "http://host/path" becomes
/// "/path".
std::string_view originForm(std::string_view Target);

} // namespace figsail

#endif // FIGSAIL_REQUESTHEAD_H
