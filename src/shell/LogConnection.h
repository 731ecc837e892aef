// LogConnection.h - Blocking client of the log service, for tools.

#ifndef FIGSAIL_LOGCONNECTION_H
#define FIGSAIL_LOGCONNECTION_H

#include "LogClient.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

namespace figsail {

/// Blocking wrapper of a LogClient. It has its own event loop, which runs
/// during each call.
class LogConnection : private LogHandler {
public:
  LogConnection(std::string Address, Duration Timeout);

  /// Reads from an offset, and waits up to Wait when there is no record yet.
  /// Returns nothing when the log cannot be read.
  std::optional<LogRead> read(Offset From, Duration Wait);
  /// Appends a record. Returns its offset, or nothing when it is unknown
  /// whether the append took effect.
  std::optional<Offset> append(std::string Data);

  Duration timeout() const { return Timeout; }

private:
  void logRead(LogRead Result) override;
  void logReadFailed() override;
  void appendDone(AppendDone Done) override;
  void run();

  Duration Timeout;
  boost::asio::io_context Context;
  LogClient Client;
  AppendId LastAppend = 0;
  bool CallEnded = false; ///< The current call has ended.
  std::optional<LogRead> Read;
  std::optional<Offset> Appended;
};

} // namespace figsail

#endif // FIGSAIL_LOGCONNECTION_H
