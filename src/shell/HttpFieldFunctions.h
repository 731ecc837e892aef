// HttpFieldFunctions.h - Header fields between Beast messages and core
// messages.

#ifndef FIGSAIL_HTTPFIELDFUNCTIONS_H
#define FIGSAIL_HTTPFIELDFUNCTIONS_H

#include "figsail/HttpMessage.h"

#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace figsail {

/// Removes fields that concern one connection only, the fields that Connection
/// names, and the framing fields Content-Length and Transfer-Encoding.
void removeHopByHopFields(HeaderList &Headers);

/// Copies all fields, names as received.
HeaderList copyFields(const boost::beast::http::fields &Fields);

/// Returns how many fields of that name there are.
std::size_t countFields(const boost::beast::http::fields &Fields,
                        boost::beast::http::field Name);

/// Returns whether every Transfer-Encoding is exactly "chunked", and there is
/// at most one. Other codings cannot be decoded here.
bool hasOnlyChunkedCoding(const boost::beast::http::fields &Fields);

/// Returns whether a comma-separated list holds a token, ignoring case.
bool listContains(std::string_view List, std::string_view Token);

} // namespace figsail

#endif // FIGSAIL_HTTPFIELDFUNCTIONS_H
