// Logging.h - Log lines through log4cxx. Written for changes of state; for each
// call only by DecisionLog, which bounds them.

#ifndef FIGSAIL_LOGGING_H
#define FIGSAIL_LOGGING_H

#include <log4cxx/level.h>
#include <string>

namespace figsail {

/// Sends log lines to standard error. Without it, log lines are dropped.
void startLogging();

/// From now on each line is the inside of a JSON object; plain texts become its
/// field "message".
void useStructuredLines();

/// Writes a line as it is.
void logLine(const log4cxx::LevelPtr &Level, const char *Component,
             const std::string &Line);

/// Writes one line for a component, such as "peer" or "log".
void logInfo(const char *Component, const std::string &Line);
void logWarning(const char *Component, const std::string &Line);
void logError(const char *Component, const std::string &Line);

} // namespace figsail

#endif // FIGSAIL_LOGGING_H
