// Logging.h - Log lines. Written for changes of state only, never for each
// call.

#ifndef FIGSAIL_LOGGING_H
#define FIGSAIL_LOGGING_H

#include <string>

namespace figsail {

/// Sends log lines to standard error. Without it, log lines are dropped.
void startLogging();

/// Writes one line for a component, such as "peer" or "log".
void logInfo(const char *Component, const std::string &Line);
void logWarning(const char *Component, const std::string &Line);
void logError(const char *Component, const std::string &Line);

} // namespace figsail

#endif // FIGSAIL_LOGGING_H
