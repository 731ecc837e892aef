// RequestIdentity.h - What identifies a request, and how large it is.

#ifndef FIGSAIL_REQUESTIDENTITY_H
#define FIGSAIL_REQUESTIDENTITY_H

#include "figsail/Configuration.h"
#include "figsail/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>

namespace figsail {

/// Returns a hash of route, method, target and body; equal for equal requests.
std::uint64_t requestFingerprint(const RouteSettings &Route,
                                 const HttpRequest &Request);

/// Returns the text by which the route recognizes a repeat of this request, or
/// nothing when the header that the route names is missing.
std::optional<std::string> identityOf(const RouteSettings &Route,
                                      const HttpRequest &Request);

/// Returns the bytes of a message's header fields and body.
std::size_t messageSize(const HeaderList &Headers, const std::string &Body);

/// Returns "incarnation-sequence", which names one attempt of a call in logs
/// and time lines.
std::string callText(const CallId &Call);

} // namespace figsail

#endif // FIGSAIL_REQUESTIDENTITY_H
