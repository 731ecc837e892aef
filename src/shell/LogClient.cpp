// LogClient.cpp - Client of the platform's log service.

#include "LogClient.h"

#include "HttpExchange.h"

#include <boost/json.hpp>
#include <deque>

namespace figsail {

namespace http = boost::beast::http;
namespace json = boost::json;

/// Largest number of records requested in one read. Bounds the size of a
/// response.
static constexpr int MaxRecordsPerRead = 500;

struct LogClient::State : public std::enable_shared_from_this<State> {
  State(boost::asio::io_context &Context, LogHandler &Handler,
        std::string Address, Duration Timeout)
      : Context(Context), Handler(&Handler), Address(std::move(Address)),
        Timeout(Timeout) {}

  void read(Offset From, Duration Wait);
  void readEnded(std::uint64_t ReadNumber, const ExchangeResult &Result);
  void append(AppendId Append, std::string Data);
  void startNextAppend();
  void appendEnded(const ExchangeResult &Result);

  struct PendingAppend {
    AppendId Append;
    std::string Data;
  };

  boost::asio::io_context &Context;
  LogHandler *Handler; ///< Null after the client is destroyed.
  std::string Address;
  Duration Timeout;
  std::shared_ptr<HttpExchange> Reader;
  std::uint64_t CurrentRead = 0; ///< Sequence number of the latest read.
  bool Reading = false;
  std::shared_ptr<HttpExchange>
      Appender; ///< Null while no append is in flight.
  std::deque<PendingAppend> PendingAppends; ///< The first is in flight.
};

/// Parses the body of a read response. Returns nothing if it is malformed.
static std::optional<LogRead> parseRead(const std::string &Body) {
  // Another writer's record need not be text.
  json::parse_options Options;
  Options.allow_invalid_utf8 = true;
  try {
    json::object Root = json::parse(Body, {}, Options).as_object();
    LogRead Read;
    Read.Earliest = Root.at("earliest").to_number<Offset>();
    Read.Next = Root.at("next").to_number<Offset>();
    for (json::value &Entry : Root.at("records").as_array()) {
      LogRecord Record;
      Record.At = Entry.at("offset").to_number<Offset>();
      Record.Data = Entry.at("data").as_string();
      if (!Read.Batch.empty() && Record.At <= Read.Batch.back().At)
        return std::nullopt;
      Read.Batch.push_back(std::move(Record));
    }
    return Read;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

/// Parses the body of an append response. Returns NoOffset if it is malformed.
static Offset parseAppend(const std::string &Body) {
  try {
    return json::parse(Body).at("offset").to_number<Offset>();
  } catch (const std::exception &) {
    return NoOffset;
  }
}

static bool succeeded(const ExchangeResult &Result) {
  return Result && Result->result() == http::status::ok;
}

// Reads.

void LogClient::State::read(Offset From, Duration Wait) {
  if (Reading && Reader)
    Reader->close();
  // The connection of a cancelled exchange is not reused.
  if (!Reader || Reading)
    Reader = std::make_shared<HttpExchange>(Context, Address);
  Reading = true;
  std::uint64_t ReadNumber = ++CurrentRead;
  auto WaitMillis = std::chrono::ceil<std::chrono::milliseconds>(Wait).count();
  HttpExchange::Request Request;
  Request.method(http::verb::get);
  Request.target("/v1/read?from=" + std::to_string(From) +
                 "&max=" + std::to_string(MaxRecordsPerRead) +
                 "&wait_ms=" + std::to_string(WaitMillis));
  Reader->start(
      std::move(Request), Wait + Timeout,
      [Self = shared_from_this(), ReadNumber](const ExchangeResult &Result) {
        Self->readEnded(ReadNumber, Result);
      });
}

void LogClient::State::readEnded(std::uint64_t ReadNumber,
                                 const ExchangeResult &Result) {
  if (!Handler || ReadNumber != CurrentRead)
    return;
  Reading = false;
  std::optional<LogRead> Read;
  if (succeeded(Result))
    Read = parseRead(Result->body());
  if (Read)
    Handler->logRead(std::move(*Read));
  else
    Handler->logReadFailed();
}

// Appends.

void LogClient::State::append(AppendId Append, std::string Data) {
  PendingAppends.push_back({Append, std::move(Data)});
  if (PendingAppends.size() == 1)
    startNextAppend();
}

/// Sends the next append after the previous one has ended, so that the log has
/// the records of one daemon in their order.
void LogClient::State::startNextAppend() {
  if (PendingAppends.empty()) {
    // The service may close a connection that has been idle for long, and an
    // append on such a connection would end with an unknown outcome.
    Appender = nullptr;
    return;
  }
  if (!Appender)
    Appender = std::make_shared<HttpExchange>(Context, Address);
  HttpExchange::Request Request;
  Request.method(http::verb::post);
  Request.target("/v1/append");
  Request.body() = std::move(PendingAppends.front().Data);
  Appender->start(std::move(Request), Timeout,
                  [Self = shared_from_this()](const ExchangeResult &Result) {
                    Self->appendEnded(Result);
                  });
}

void LogClient::State::appendEnded(const ExchangeResult &Result) {
  AppendDone Done;
  Done.Append = PendingAppends.front().Append;
  if (succeeded(Result))
    Done.At = parseAppend(Result->body());
  PendingAppends.pop_front();
  if (!Handler)
    return;
  startNextAppend();
  Handler->appendDone(Done);
}

// Public interface.

LogClient::LogClient(boost::asio::io_context &Context, LogHandler &Handler,
                     std::string Address, Duration Timeout)
    : Impl(std::make_shared<State>(Context, Handler, std::move(Address),
                                   Timeout)) {}

LogClient::~LogClient() {
  Impl->Handler = nullptr;
  if (Impl->Reader)
    Impl->Reader->close();
  if (Impl->Appender)
    Impl->Appender->close();
}

void LogClient::read(Offset From, Duration Wait) { Impl->read(From, Wait); }

void LogClient::append(AppendId Append, std::string Data) {
  Impl->append(Append, std::move(Data));
}

} // namespace figsail
