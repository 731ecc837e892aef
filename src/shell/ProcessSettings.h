// ProcessSettings.h - Settings of figsaild from flags, the environment and a
// file.

#ifndef FIGSAIL_PROCESSSETTINGS_H
#define FIGSAIL_PROCESSSETTINGS_H

#include "figsail/Node.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace figsail {

/// Everything that figsaild learns before it starts.
struct ProcessSettings {
  NodeSettings Node;          ///< Without the incarnation.
  std::string BackendAddress; ///< "ip:port"; empty without a service.
  std::size_t BackendConnections = 0;
  std::string HealthTarget;
  std::string LogAddress;       ///< "ip:port" of the log service.
  std::size_t TimelineSize = 0; ///< Entries.
};

/// --help was given.
struct HelpRequested {
  std::string Text;
};

/// The settings are not usable.
struct SettingsError {
  std::string Text; ///< Names the setting and what is allowed.
};

using SettingsResult =
    std::variant<ProcessSettings, HelpRequested, SettingsError>;

/// Names and values of environment variables.
using Environment = std::vector<std::pair<std::string, std::string>>;

/// Reads the settings. --name precedes the variable FIGSAIL_NAME, which
/// precedes the file that --settings names. Unknown names, also in the file and
/// of variables that start with FIGSAIL_, values out of bounds and
/// contradictions are errors.
SettingsResult readProcessSettings(const std::vector<std::string> &Arguments,
                                   const Environment &Variables);

/// Returns the environment of this process.
Environment processEnvironment();

} // namespace figsail

#endif // FIGSAIL_PROCESSSETTINGS_H
