// ProcessSettings.h - Settings of a figsaild process.

#ifndef FIGSAIL_PROCESSSETTINGS_H
#define FIGSAIL_PROCESSSETTINGS_H

#include "figsail/Node.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace figsail {

/// Settings of figsaild from flags, the environment and a file.
struct ProcessSettings {
  NodeSettings Node; ///< Without the incarnation.
  /// "ip:port"; empty if the daemon is an ingress only.
  std::string BackendAddress;
  std::size_t BackendConnections = 0;
  std::string HealthTarget;
  std::string LogAddress;       ///< "ip:port" of the log service.
  std::size_t TimelineSize = 0; ///< In entries.
};

/// Result of --help.
struct HelpRequested {
  std::string Text;
};

/// Error of a setting that is missing, unknown or not valid.
struct SettingsError {
  std::string Text; ///< Names the setting and the allowed values.
};

using SettingsResult =
    std::variant<ProcessSettings, HelpRequested, SettingsError>;

/// Names and values of environment variables.
using Environment = std::vector<std::pair<std::string, std::string>>;

/// Reads the settings. A flag --name takes precedence over the environment
/// variable FIGSAIL_NAME, and both over the file given by --settings. Errors
/// are unknown flags, names in the file and variables that start with FIGSAIL_,
/// values out of bounds, and values that contradict each other.
SettingsResult readProcessSettings(const std::vector<std::string> &Arguments,
                                   const Environment &Variables);

/// Returns the environment of this process.
Environment processEnvironment();

} // namespace figsail

#endif // FIGSAIL_PROCESSSETTINGS_H
