// HttpMessage.cpp - Lookup and removal of header fields.

#include "figsail/HttpMessage.h"

#include <boost/beast/core/string.hpp>

namespace figsail {

std::string_view findHeader(const HeaderList &Headers, std::string_view Name) {
  for (const auto &[Field, Value] : Headers)
    if (boost::beast::iequals(Field, Name))
      return Value;
  return {};
}

void removeHeader(HeaderList &Headers, std::string_view Name) {
  std::erase_if(Headers, [&](const auto &Field) {
    return boost::beast::iequals(Field.first, Name);
  });
}

} // namespace figsail
