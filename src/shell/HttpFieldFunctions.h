// HttpFieldFunctions.h - Header field helpers for Beast and core messages.

#ifndef FIGSAIL_HTTPFIELDFUNCTIONS_H
#define FIGSAIL_HTTPFIELDFUNCTIONS_H

#include "figsail/HttpMessage.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string_view>

namespace figsail {

/// Removes the hop-by-hop fields, the fields listed in Connection, and the
/// framing fields Content-Length and Transfer-Encoding.
void removeHopByHopFields(HeaderList &Headers);

/// Copies all fields. Their names keep the case in which they were received.
HeaderList copyFields(const boost::beast::http::fields &Fields);

/// Returns the number of fields with a name.
std::size_t countFields(const boost::beast::http::fields &Fields,
                        boost::beast::http::field Name);

/// Returns whether there is no Transfer-Encoding, or exactly one with the value
/// "chunked". Other codings cannot be decoded.
bool hasOnlyChunkedCoding(const boost::beast::http::fields &Fields);

/// Returns whether the reason phrase or a field value contains a status line.
/// The sender has then stopped in the middle of that line and sent another
/// response after it: the status is that of the first response, the length and
/// the body are those of the second.
bool holdsAnotherHead(const boost::beast::http::response_header<> &Head);

/// Returns whether a comma-separated list contains a token, ignoring case.
bool listContains(std::string_view List, std::string_view Token);

} // namespace figsail

#endif // FIGSAIL_HTTPFIELDFUNCTIONS_H
