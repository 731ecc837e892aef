// Logging.cpp - Functions that write log lines through log4cxx.

#include "Logging.h"

#include "DecisionLog.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace figsail {

void startLogging() {
  using namespace log4cxx;
  LayoutPtr Layout =
      std::make_shared<PatternLayout>(LOG4CXX_STR("%d{ISO8601} %p %c: %m%n"));
  AppenderPtr Appender = std::make_shared<ConsoleAppender>(
      Layout, ConsoleAppender::getSystemErr());
  BasicConfigurator::resetConfiguration();
  BasicConfigurator::configure(Appender);
  Logger::getRootLogger()->setLevel(Level::getInfo());
}

static bool Structured = false;

void useStructuredLines() { Structured = true; }

void logLine(const log4cxx::LevelPtr &Level, const char *Component,
             const std::string &Line) {
  log4cxx::Logger::getLogger(Component)->log(Level, Line,
                                             log4cxx::spi::LocationInfo());
}

/// Writes a line if an appender is configured. Without an appender, log4cxx
/// would print a warning on standard error.
static void writeLine(const char *Component, const std::string &Line,
                      const log4cxx::LevelPtr &Level) {
  if (log4cxx::Logger::getRootLogger()->getAllAppenders().empty())
    return;
  logLine(Level, Component,
          Structured ? "\"message\":\"" + escapeJson(Line) + "\"" : Line);
}

void logInfo(const char *Component, const std::string &Line) {
  writeLine(Component, Line, log4cxx::Level::getInfo());
}

void logWarning(const char *Component, const std::string &Line) {
  writeLine(Component, Line, log4cxx::Level::getWarn());
}

void logError(const char *Component, const std::string &Line) {
  writeLine(Component, Line, log4cxx::Level::getError());
}

} // namespace figsail
