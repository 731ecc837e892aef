// Logging.h - Functions that write log lines through log4cxx.
//
// Lines are written for changes of state. Only DecisionLog writes lines for
// single calls, and it limits their rate.

#ifndef FIGSAIL_LOGGING_H
#define FIGSAIL_LOGGING_H

#include <log4cxx/level.h>
#include <string>

namespace figsail {

/// Sends log lines to standard error. Without a call to it or to
/// startStructuredLogging(), log lines are dropped.
void startLogging();

/// Switches to lines that are the members of a JSON object. Plain texts become
/// the member "message".
void useStructuredLines();

/// Writes a line unchanged.
void logLine(const log4cxx::LevelPtr &Level, const char *Component,
             const std::string &Line);

/// Writes one line for a component, such as "peer" or "log".
void logInfo(const char *Component, const std::string &Line);
void logWarning(const char *Component, const std::string &Line);
void logError(const char *Component, const std::string &Line);

} // namespace figsail

#endif // FIGSAIL_LOGGING_H
