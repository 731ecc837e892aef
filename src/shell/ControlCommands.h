// ControlCommands.h - Commands of figsailctl, the tool for operators.

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
  /// Input invalid, change rejected or log service not reachable; nothing was
  /// changed.
  Failed = 1,
  UsageError = 2,
  /// Another change to the node came first; nothing was changed.
  Conflict = 3,
  /// It is not known whether the change takes effect.
  OutcomeUnknown = 4,
};

/// Flags and output streams of one command.
struct ControlContext {
  std::string LogAddress; ///< "ip:port" of the log service.
  Duration RequestTimeout{std::chrono::seconds(5)};
  /// Time to find out whether a change took effect when its acknowledgement was
  /// lost (--patience).
  Duration SettleTimeout{std::chrono::seconds(30)};
  std::string Operator; ///< Prefix of the change ids.
  bool Prune = false;   ///< publish removes nodes that no file declares.
  std::ostream &Out;
  std::ostream &Error;
};

using ArgumentList = std::vector<std::string>;

/// Checks declaration files without a connection to the log service.
ControlStatus checkCommand(ControlContext &Context, const ArgumentList &Files);
/// Proposes the changes that bring the configuration to the declared state.
ControlStatus publishCommand(ControlContext &Context,
                             const ArgumentList &Files);
/// Takes a failure domain or backend server out of service, or brings it back.
/// Arguments are "failure-domain" or "backend-server", and the name.
ControlStatus setInServiceCommand(ControlContext &Context,
                                  const ArgumentList &Arguments,
                                  bool InService);
/// Reports whether the log holds a change, and whether it was accepted.
ControlStatus verdictCommand(ControlContext &Context,
                             const std::string &ChangeId);

/// Shows the node at Path and those below it, or all nodes if Path is empty,
/// with their effective settings and the node each setting comes from.
ControlStatus showCommand(ControlContext &Context, const std::string &Path);
/// Lists the member daemons.
ControlStatus membersCommand(ControlContext &Context);
/// Lists the log offset up to which each daemon has applied records.
ControlStatus offsetsCommand(ControlContext &Context);
/// Shows the status of each daemon, or of those at the given hosts.
ControlStatus statusCommand(ControlContext &Context, const ArgumentList &Hosts);

/// Runs figsailctl. Arguments exclude the program name. FIGSAIL_LOG,
/// FIGSAIL_OPERATOR, FIGSAIL_TIMEOUT and FIGSAIL_PATIENCE in the environment
/// are the defaults of the flags of these names.
ControlStatus runFigsailctl(const ArgumentList &Arguments, std::ostream &Out,
                            std::ostream &Error);

} // namespace figsail

#endif // FIGSAIL_CONTROLCOMMANDS_H
