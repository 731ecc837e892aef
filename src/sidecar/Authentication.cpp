// Authentication.cpp - Lookup of a request's key, and the terms of its call.

#include "Authentication.h"

#include <algorithm>

namespace figsail {

static Authentication refusal(ErrorKind Kind, Counter Reason) {
  return {Kind, Reason, nullptr};
}

/// Returns the workspace of a key, or null.
static WorkspacePtr findByKey(const ServiceConfig &Config,
                              const std::string &Key) {
  if (Key.empty())
    return nullptr;
  std::optional<KeyDigest> Digest = digestOfKey(Key);
  return Digest ? Config.findWorkspace(*Digest) : nullptr;
}

Authentication authenticate(const ServiceConfig &Config,
                            const ServiceRoute &Route,
                            const std::optional<std::string> &Key,
                            bool Behind) {
  if (!Config.hasWorkspaces())
    return {};
  if (!Key && Route.AllowAnonymous)
    return {};
  if (!Key)
    return refusal(ErrorKind::Unauthorized, Counter::KeysMissing);
  WorkspacePtr Client = findByKey(Config, *Key);
  if (Client)
    return {std::nullopt, std::nullopt, std::move(Client)};
  // No configuration holds a key that is not well-formed.
  if (Behind && !Key->empty())
    return {ErrorKind::KeyUnconfirmed, std::nullopt, nullptr};
  return refusal(ErrorKind::Unauthorized, Counter::KeysUnknown);
}

std::optional<CallTerms> callTerms(const ServiceRoute &Route,
                                   const Workspace *Client) {
  CallTerms Terms{Route.Priority, Route.HomeRegions};
  if (!Client)
    return Terms;
  Terms.Priority = Client->Priority.value_or(Route.Priority);
  const std::vector<std::string> &Home = Client->HomeRegions;
  if (Home.empty())
    return Terms;
  if (Terms.HomeRegions.empty()) {
    Terms.HomeRegions = Home;
    return Terms;
  }
  std::erase_if(Terms.HomeRegions, [&](const std::string &Region) {
    return std::ranges::find(Home, Region) == Home.end();
  });
  if (Terms.HomeRegions.empty())
    return std::nullopt;
  return Terms;
}

} // namespace figsail
