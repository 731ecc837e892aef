// LogClient.h - Client of the platform's log service.

#ifndef FIGSAIL_LOGCLIENT_H
#define FIGSAIL_LOGCLIENT_H

#include "figsail/Events.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace figsail {

/// Receives the ends of reads and appends.
class LogHandler {
public:
  virtual ~LogHandler() = default;
  virtual void logRead(LogRead Read) = 0;
  virtual void logReadFailed() = 0;
  virtual void appendDone(AppendDone Done) = 0;
};

/// Talks HTTP to the log service:
///   POST /v1/append           body: the record     -> 200 {"offset": N}
///   GET  /v1/read?from=N&max=M&wait_ms=W           -> 200 {"earliest": E,
///   "next": X,
///                                 "records": [{"offset": N, "data": "TEXT"},
///                                 ...]}
/// A read from below the earliest offset starts there. A read with wait_ms may
/// be held until there is a record at or above N.
class LogClient {
public:
  LogClient(boost::asio::io_context &Context, LogHandler &Handler,
            std::string Address, Duration Timeout);
  ~LogClient();

  /// Reads; ends in logRead() or logReadFailed(). One read at a time; a second
  /// one replaces it.
  void read(Offset From, Duration Wait);
  /// Appends; ends in appendDone(), without an offset when the outcome is not
  /// known.
  void append(AppendId Append, std::string Data);

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_LOGCLIENT_H
