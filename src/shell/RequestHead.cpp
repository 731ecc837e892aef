// RequestHead.cpp - Strict validation of a request head before and after
// parsing.

#include "RequestHead.h"
#include "HttpFieldFunctions.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/verb.hpp>

namespace figsail {

namespace beast = boost::beast;
namespace http = boost::beast::http;

static bool isControl(unsigned char Byte) {
  return (Byte < 0x20 && Byte != '\t') || Byte == 0x7f;
}

HeadScanner::Result HeadScanner::scan(std::string_view Received,
                                      std::size_t MaxHead) {
  std::size_t End = std::min(Received.size(), MaxHead);
  for (; Position < End; ++Position) {
    char Byte = Received[Position];
    if (AfterCarriageReturn != (Byte == '\n'))
      return ErrorKind::BadRequest;
    if (AfterCarriageReturn) {
      AfterCarriageReturn = false;
      bool EmptyLine = Position == LineStart + 1;
      LineStart = Position + 1;
      if (EmptyLine)
        return Complete{LineStart};
      continue;
    }
    if (Byte == '\r') {
      AfterCarriageReturn = true;
      continue;
    }
    if (isControl(static_cast<unsigned char>(Byte)))
      return ErrorKind::BadRequest;
    bool Folded = Position == LineStart && (Byte == ' ' || Byte == '\t');
    if (Folded)
      return ErrorKind::BadRequest;
  }
  if (Received.size() >= MaxHead)
    return ErrorKind::HeadTooLarge;
  return NeedMore{};
}

ErrorKind headErrorKind(beast::error_code Error) {
  if (Error == http::error::bad_content_length ||
      Error == http::error::multiple_content_length ||
      Error == http::error::bad_transfer_encoding)
    return ErrorKind::AmbiguousFraming;
  if (Error == http::error::header_limit)
    return ErrorKind::HeadTooLarge;
  return ErrorKind::BadRequest;
}

static bool hasAmbiguousFraming(const RequestFields &Head) {
  std::size_t Lengths = countFields(Head, http::field::content_length);
  std::size_t Codings = countFields(Head, http::field::transfer_encoding);
  if (Lengths > 1 || (Lengths > 0 && Codings > 0))
    return true;
  if (Head[http::field::content_length].find(',') != std::string_view::npos)
    return true;
  if (Codings > 0 && Head.version() < 11)
    return true;
  return !hasOnlyChunkedCoding(Head);
}

static bool hasInvalidHost(const RequestFields &Head) {
  std::size_t Hosts = countFields(Head, http::field::host);
  return Hosts > 1 || (Hosts == 0 && Head.version() >= 11);
}

static bool hasUnsupportedExpectation(const RequestFields &Head) {
  auto [First, Last] = Head.equal_range(http::field::expect);
  return std::any_of(First, Last, [](const auto &Field) {
    return !beast::iequals(Field.value(), "100-continue");
  });
}

std::optional<ErrorKind> checkRequestFields(const RequestFields &Head) {
  if (Head.version() != 10 && Head.version() != 11)
    return ErrorKind::BadRequest;
  if (hasAmbiguousFraming(Head))
    return ErrorKind::AmbiguousFraming;
  if (hasInvalidHost(Head))
    return ErrorKind::BadRequest;
  if (Head.method() == http::verb::connect ||
      Head.count(http::field::upgrade) > 0)
    return ErrorKind::MethodNotSupported;
  if (hasUnsupportedExpectation(Head))
    return ErrorKind::ExpectationFailed;
  return std::nullopt;
}

std::string_view originForm(std::string_view Target) {
  constexpr std::string_view Scheme = "http://";
  if (!beast::iequals(Target.substr(0, Scheme.size()), Scheme))
    return Target;
  std::size_t Path = Target.find('/', Scheme.size());
  return Path == std::string_view::npos ? "/" : Target.substr(Path);
}

} // namespace figsail
