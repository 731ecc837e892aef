// HttpFieldFunctions.cpp - Header fields between Beast messages and core
// messages.

#include "HttpFieldFunctions.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace figsail {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Expect is handled by the frontend before the body is read.
static constexpr std::array<std::string_view, 11> ConnectionFields{
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

bool listHolds(std::string_view List, std::string_view Token) {
  return http::token_list(List).exists(Token);
}

void removeHopByHop(HeaderList &Headers) {
  std::string Named;
  for (const auto &[Name, Value] : Headers) {
    if (!beast::iequals(Name, "Connection"))
      continue;
    Named += Value;
    Named += ',';
  }
  std::erase_if(Headers, [&Named](const auto &Field) {
    for (std::string_view Name : ConnectionFields)
      if (beast::iequals(Field.first, Name))
        return true;
    return !Named.empty() && listHolds(Named, Field.first);
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

bool onlyChunkedCoding(const http::fields &Fields) {
  auto [First, Last] = Fields.equal_range(http::field::transfer_encoding);
  if (First == Last)
    return true;
  return beast::iequals(First->value(), "chunked") && std::next(First) == Last;
}

} // namespace figsail
