// LogClient.h - Client of the platform's log service.

#ifndef FIGSAIL_LOGCLIENT_H
#define FIGSAIL_LOGCLIENT_H

#include "figsail/Events.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace figsail {

/// Receiver of the results of reads and appends.
class LogHandler {
public:
  virtual ~LogHandler() = default;
  virtual void logRead(LogRead Read) = 0;
  virtual void logReadFailed() = 0;
  virtual void appendDone(AppendDone Done) = 0;
};

/// HTTP client of the log service, with this interface:
///   POST /v1/append           body: the record     -> 200 {"offset": N}
///   GET  /v1/read?from=N&max=M&wait_ms=W           -> 200 {"earliest": E,
///   "next": X,
///                                 "records": [{"offset": N, "data": "TEXT"},
///                                 ...]}
/// A read from below the earliest offset starts at the earliest offset. With
/// wait_ms, the service may delay the response until there is a record at or
/// above N.
class LogClient {
public:
  LogClient(boost::asio::io_context &Context, LogHandler &Handler,
            std::string Address, Duration Timeout);
  ~LogClient();

  /// Starts a read, which ends with logRead() or logReadFailed(). At most one
  /// read is in flight; a second one replaces it, and the first reports no
  /// result.
  void read(Offset From, Duration Wait);
  /// Appends a record. Ends with appendDone(), which has no offset when it is
  /// unknown whether the append took effect.
  void append(AppendId Append, std::string Data);

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_LOGCLIENT_H
