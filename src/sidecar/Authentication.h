// Authentication.h - Decision on the key with which a request identifies its
// workspace.

#ifndef FIGSAIL_SIDECAR_AUTHENTICATION_H
#define FIGSAIL_SIDECAR_AUTHENTICATION_H

#include "ServiceConfig.h"

#include "figsail/ErrorKind.h"
#include "figsail/Events.h"

#include <optional>
#include <string>
#include <vector>

namespace figsail {

/// Result of the check of a request's key.
struct Authentication {
  std::optional<ErrorKind> Refusal;    ///< None: the request is accepted.
  std::optional<Counter> RefusalCount; ///< Counter of the refusal, if any.
  WorkspacePtr Client;                 ///< Null: anonymous.
};

/// Checks the key of a request to a route of the configuration. Accepts every
/// request if the configuration holds no workspaces. Key is none without an
/// Authorization field, and empty if the fields name no key. Behind: a newer
/// configuration, which may hold the key, may exist.
Authentication authenticate(const ServiceConfig &Config,
                            const ServiceRoute &Route,
                            const std::optional<std::string> &Key, bool Behind);

/// The terms of one call, from its route and its workspace. A change of the
/// configuration does not affect them.
struct CallTerms {
  std::uint32_t Priority = 0;           ///< 0 is the most urgent.
  std::vector<std::string> HomeRegions; ///< Empty: any region.
};

/// Returns the terms of a call, or nothing if the home regions of the route and
/// of the workspace have none in common. Client may be null.
std::optional<CallTerms> callTerms(const ServiceRoute &Route,
                                   const Workspace *Client);

} // namespace figsail

#endif // FIGSAIL_SIDECAR_AUTHENTICATION_H
