// RequestIdentity.h - Fingerprint, identity and size of a request.

#ifndef FIGSAIL_REQUESTIDENTITY_H
#define FIGSAIL_REQUESTIDENTITY_H

#include "figsail/Configuration.h"
#include "figsail/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>

namespace figsail {

/// Returns a hash of route, method, target and body.
std::uint64_t requestFingerprint(const RouteSettings &Route,
                                 const HttpRequest &Request);

/// Returns the text by which the route recognizes a resent request, or nothing
/// if the header that the route names is missing.
std::optional<std::string> identityOf(const RouteSettings &Route,
                                      const HttpRequest &Request);

/// Returns the size of a message's header fields and body, in bytes.
std::size_t messageSize(const HeaderList &Headers, const std::string &Body);

/// Returns "incarnation-sequence", which names one attempt of a call in logs
/// and timelines.
std::string callText(const CallId &Call);

} // namespace figsail

#endif // FIGSAIL_REQUESTIDENTITY_H
