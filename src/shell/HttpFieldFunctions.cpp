// HttpFieldFunctions.cpp - Header field helpers for Beast and core messages.

#include "HttpFieldFunctions.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace figsail {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Includes Expect, since the frontend handles it before it reads the body.
static constexpr std::array<std::string_view, 11> HopByHopFields{
    "Connection",
    "Content-Length",
    "Expect",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
};

bool listContains(std::string_view List, std::string_view Token) {
  return http::token_list(List).exists(Token);
}

void removeHopByHopFields(HeaderList &Headers) {
  std::string ListedNames;
  for (const auto &[Name, Value] : Headers) {
    if (!beast::iequals(Name, "Connection"))
      continue;
    ListedNames += Value;
    ListedNames += ',';
  }
  std::erase_if(Headers, [&ListedNames](const auto &Field) {
    for (std::string_view Name : HopByHopFields)
      if (beast::iequals(Field.first, Name))
        return true;
    return !ListedNames.empty() && listContains(ListedNames, Field.first);
  });
}

HeaderList copyFields(const http::fields &Fields) {
  HeaderList Headers;
  for (const auto &Field : Fields)
    Headers.emplace_back(Field.name_string(), Field.value());
  return Headers;
}

std::size_t countFields(const http::fields &Fields, http::field Name) {
  auto [First, Last] = Fields.equal_range(Name);
  return static_cast<std::size_t>(std::distance(First, Last));
}

/// Returns whether a text starts with the version and the status code of a
/// status line.
static bool startsWithStatusLine(std::string_view Text) {
  static constexpr std::string_view Pattern = "HTTP/1.# ###";
  return Text.size() >= Pattern.size() &&
         std::ranges::equal(Text.substr(0, Pattern.size()), Pattern,
                            [](char Byte, char Expected) {
                              bool Digit = Byte >= '0' && Byte <= '9';
                              return Expected == '#' ? Digit : Byte == Expected;
                            });
}

/// Returns whether a text contains the start of a status line.
static bool containsStatusLine(std::string_view Text) {
  for (std::size_t At = Text.find("HTTP/1."); At != std::string_view::npos;
       At = Text.find("HTTP/1.", At + 1))
    if (startsWithStatusLine(Text.substr(At)))
      return true;
  return false;
}

bool holdsAnotherHead(const http::response_header<> &Head) {
  if (containsStatusLine(Head.reason()))
    return true;
  return std::ranges::any_of(Head, [](const auto &Field) {
    return containsStatusLine(Field.value());
  });
}

bool hasOnlyChunkedCoding(const http::fields &Fields) {
  auto [First, Last] = Fields.equal_range(http::field::transfer_encoding);
  if (First == Last)
    return true;
  return beast::iequals(First->value(), "chunked") && std::next(First) == Last;
}

} // namespace figsail
