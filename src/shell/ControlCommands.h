// ControlCommands.h - The commands of figsailctl.

#ifndef FIGSAIL_CONTROLCOMMANDS_H
#define FIGSAIL_CONTROLCOMMANDS_H

#include "figsail/Types.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace figsail {

/// Exit statuses of figsailctl.
enum class ControlStatus : int {
  Success = 0,
  Failed = 1, ///< Invalid, rejected or not reachable; nothing was changed.
  UsageError = 2,
  Conflict = 3,       ///< Another operator was first; nothing was changed.
  OutcomeUnknown = 4, ///< Not known whether the change takes effect.
};

/// Settings and streams of one command.
struct ControlContext {
  std::string LogAddress;                           ///< "ip:port".
  Duration RequestTimeout{std::chrono::seconds(5)}; ///< Of one request.
  Duration SettleTimeout{
      std::chrono::seconds(30)}; ///< To settle a lost acknowledgement.
  std::string Operator;          ///< Name that begins the change ids.
  bool Prune = false; ///< Publish removes nodes that are not declared.
  std::ostream &Out;
  std::ostream &Error;
};

using ArgumentList = std::vector<std::string>;

/// Checks declaration files.
ControlStatus checkCommand(ControlContext &Context, const ArgumentList &Files);
/// Publishes declaration files.
ControlStatus publishCommand(ControlContext &Context,
                             const ArgumentList &Files);
/// Takes a failure domain or backend server out of service, or brings it back.
/// Arguments: "failure-domain" or "backend-server", and the name.
ControlStatus setInServiceCommand(ControlContext &Context,
                                  const ArgumentList &Arguments,
                                  bool InService);
/// Reports the verdict of a change id.
ControlStatus verdictCommand(ControlContext &Context,
                             const std::string &ChangeId);

/// Shows the tree, or a part of it, with effective settings and their origin.
ControlStatus showCommand(ControlContext &Context, const std::string &Path);
/// Lists the members.
ControlStatus membersCommand(ControlContext &Context);
/// Lists the applied offset of each daemon.
ControlStatus offsetsCommand(ControlContext &Context);
/// Shows the status of each daemon, or of those at the given hosts.
ControlStatus statusCommand(ControlContext &Context, const ArgumentList &Hosts);

/// Runs figsailctl with its arguments, without the program name. Variables
/// named FIGSAIL_NAME stand for --name.
ControlStatus runFigsailctl(const ArgumentList &Arguments, std::ostream &Out,
                            std::ostream &Error);

} // namespace figsail

#endif // FIGSAIL_CONTROLCOMMANDS_H
