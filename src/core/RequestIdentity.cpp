// RequestIdentity.cpp - Fingerprint, identity and size of a request.

#include "RequestIdentity.h"

#include "figsail/Epoch.h"

namespace figsail {

std::uint64_t requestFingerprint(const RouteSettings &Route,
                                 const HttpRequest &Request) {
  std::uint64_t Hash = hashText(Route.Policy.Route);
  Hash = hashText(Request.Method, Hash);
  Hash = hashText(Request.Target, Hash);
  return hashText(Request.Body, Hash);
}

std::optional<std::string> identityOf(const RouteSettings &Route,
                                      const HttpRequest &Request) {
  if (Route.Identity.From == IdentityRule::Source::Body)
    return Request.Method + '\n' + Request.Target + '\n' + Request.Body;
  std::string_view Value =
      findHeader(Request.Headers, Route.Identity.HeaderName);
  if (Value.empty())
    return std::nullopt;
  return std::string(Value);
}

std::size_t messageSize(const HeaderList &Headers, const std::string &Body) {
  std::size_t Size = Body.size();
  for (const auto &[Name, Value] : Headers)
    Size += Name.size() + Value.size();
  return Size;
}

std::string callText(const CallId &Call) {
  return std::to_string(Call.Ingress) + '-' + std::to_string(Call.Sequence);
}

} // namespace figsail
