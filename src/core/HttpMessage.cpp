// HttpMessage.cpp - Lookup of header fields.

#include "figsail/HttpMessage.h"

#include <boost/beast/core/string.hpp>

namespace figsail {

std::string_view findHeader(const HeaderList &Headers, std::string_view Name) {
  for (const auto &[Field, Value] : Headers)
    if (boost::beast::iequals(Field, Name))
      return Value;
  return {};
}

} // namespace figsail
