// DecisionLog.cpp - Rate-limited, structured log on standard output.

#include "DecisionLog.h"

#include "Logging.h"

#include <array>
#include <cstdio>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/stringhelper.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <poll.h>
#include <unistd.h>

namespace figsail {

/// Size of the buffer above which lines are dropped until the reader of
/// standard output has caught up.
static constexpr std::size_t MaxBufferBytes = std::size_t{256} * 1024;
/// PIPE_BUF: a pipe that is ready for writing accepts this many bytes without
/// blocking.
static constexpr std::size_t MaxWriteBytes = 4096;

namespace {

std::string Buffer;
std::uint64_t Dropped = 0;

/// Appender that buffers lines until flushLog(). It never blocks.
class BufferAppender : public log4cxx::AppenderSkeleton {
public:
  explicit BufferAppender(log4cxx::LayoutPtr Layout)
      : Format(std::move(Layout)) {}

  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &Pool) override {
    if (Buffer.size() >= MaxBufferBytes) {
      ++Dropped;
      return;
    }
    log4cxx::LogString Line;
    Format->format(Line, Event, Pool);
    LOG4CXX_ENCODE_CHAR(Encoded, Line);
    Buffer += Encoded;
    bool Urgent = Event->getLevel()->toInt() >= log4cxx::Level::WARN_INT;
    if (Urgent || Buffer.size() >= MaxWriteBytes)
      flushLog();
  }

  void close() override { flushLog(); }
  bool requiresLayout() const override { return false; }

private:
  log4cxx::LayoutPtr Format;
};

} // namespace

static bool outputReady() {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
}

void flushLog() {
  std::size_t Written = 0;
  while (Written < Buffer.size() && outputReady()) {
    std::size_t Size = std::min(MaxWriteBytes, Buffer.size() - Written);
    ssize_t Count = ::write(STDOUT_FILENO, Buffer.data() + Written, Size);
    if (Count <= 0)
      break;
    Written += static_cast<std::size_t>(Count);
  }
  Buffer.erase(0, Written);
}

std::uint64_t droppedLogLines() { return Dropped; }

void startStructuredLogging(const std::string &Host) {
  using namespace log4cxx;
  std::string Pattern = R"({"time":"%d{ISO8601}","host":")" + escapeJson(Host) +
                        R"(","level":"%p","component":"%c",%m}%n)";
  LOG4CXX_DECODE_CHAR(Decoded, Pattern);
  LayoutPtr Layout = std::make_shared<PatternLayout>(Decoded);
  BasicConfigurator::resetConfiguration();
  BasicConfigurator::configure(std::make_shared<BufferAppender>(Layout));
  Logger::getRootLogger()->setLevel(Level::getInfo());
  useStructuredLines();
}

std::string escapeJson(std::string_view Text) {
  std::string Escaped;
  Escaped.reserve(Text.size());
  for (char Byte : Text) {
    auto Value = static_cast<unsigned char>(Byte);
    if (Value < 0x20 || Value >= 0x7f) {
      std::array<char, 8> Code{};
      std::snprintf(Code.data(), Code.size(), "\\u%04x", Value);
      Escaped += Code.data();
      continue;
    }
    if (Byte == '"' || Byte == '\\')
      Escaped += '\\';
    Escaped += Byte;
  }
  return Escaped;
}

static void addField(std::string &Line, std::string_view Name,
                     std::string_view Value) {
  Line += ",\"";
  Line += Name;
  Line += "\":\"";
  Line += escapeJson(Value);
  Line += '"';
}

void DecisionLog::write(TimePoint Now, const Decision &Entry) {
  TokenBucket &Budget =
      Entry.Level == LogLevel::Info ? InfoBudget : WarningBudget;
  if (!Budget.take(Now)) {
    ++Suppressed;
    return;
  }
  std::string Line = "\"what\":\"";
  Line += Entry.Kind;
  Line += '"';
  for (const auto &[Name, Value] : Entry.Fields)
    addField(Line, Name, Value);
  if (Suppressed > ReportedSuppressed) {
    addField(Line, "lines_left_out",
             std::to_string(Suppressed - ReportedSuppressed));
    ReportedSuppressed = Suppressed;
  }
  switch (Entry.Level) {
  case LogLevel::Info:
    return logLine(log4cxx::Level::getInfo(), "sidecar", Line);
  case LogLevel::Warning:
    return logLine(log4cxx::Level::getWarn(), "sidecar", Line);
  case LogLevel::Error:
    return logLine(log4cxx::Level::getError(), "sidecar", Line);
  }
}

} // namespace figsail
