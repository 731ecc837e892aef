// HttpExchange.cpp - HTTP client connection that carries one request at a time.

#include "HttpExchange.h"

#include "Endpoint.h"
#include "SocketOptions.h"

#include <boost/asio/post.hpp>

namespace figsail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/// Largest response body. One read of the log returns up to 500 records.
static constexpr std::size_t MaxResponseBytes = std::size_t(64) * 1024 * 1024;

/// Limit on interim responses before the response to a request.
static constexpr unsigned MaxInterimResponses = 16;

/// Default time limit for opening a connection. Shorter than that of an
/// exchange, which may be a long poll: a connection attempt into a partition
/// hangs, and the kernel resends it only after seconds.
static constexpr std::chrono::milliseconds ConnectTimeout{1000};

HttpExchange::HttpExchange(asio::io_context &Context, std::string Address)
    : Address(std::move(Address)), Stream(Context),
      ConnectTime(ConnectTimeout) {}

void HttpExchange::start(Request Next, Duration RequestTimeout,
                         Callback WhenDone) {
  Outgoing = std::move(Next);
  Outgoing.version(11);
  Outgoing.set(http::field::host, Address);
  Outgoing.prepare_payload();
  Done = std::move(WhenDone);
  Timeout = RequestTimeout;
  InterimResponses = 0;
  Received = 0;
  if (Stream.socket().is_open() && hasNothingToRead(Stream.socket()))
    return write();
  closeConnection();
  Stream.expires_after(std::min(ConnectTime, Timeout));
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint) {
    asio::post(Stream.get_executor(),
               [Self = shared_from_this()] { Self->finish(std::nullopt); });
    return;
  }
  Stream.async_connect(*Endpoint,
                       [Self = shared_from_this()](const error_code &Error) {
                         Self->connected(Error);
                       });
}

void HttpExchange::moveTo(std::string NewAddress) {
  Address = std::move(NewAddress);
  closeConnection();
}

void HttpExchange::close() {
  Done = nullptr;
  closeConnection();
}

/// Closes the connection and drops what was read from it, which would otherwise
/// be parsed as the next response.
void HttpExchange::closeConnection() {
  Stream.close();
  Buffer.clear();
}

void HttpExchange::connected(const error_code &Error) {
  if (Error)
    return finish(std::nullopt);
  error_code Ignored;
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  setKeepAlive(Stream.socket());
  write();
}

void HttpExchange::write() {
  Stream.expires_after(Timeout);
  http::async_write(
      Stream, Outgoing,
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        Self->requestWritten(Error);
      });
}

void HttpExchange::requestWritten(const error_code &Error) {
  if (Error)
    return finish(std::nullopt);
  readResponse();
}

void HttpExchange::readResponse() {
  Parser.emplace();
  Parser->body_limit(MaxResponseBytes);
  readMore();
}

void HttpExchange::readMore() {
  http::async_read_some(
      Stream, Buffer, *Parser,
      [Self = shared_from_this()](const error_code &Error, std::size_t Bytes) {
        Self->someRead(Error, Bytes);
      });
}

void HttpExchange::allowTransfer(Duration Pause, Duration MaxTime) {
  MaxPause = Pause;
  MaxTransfer = MaxTime;
}

/// Bytes of the response have arrived.
void HttpExchange::extendTransfer() {
  Stream.expires_at(
      std::min(std::chrono::steady_clock::now() + MaxPause, TransferEnd));
}

void HttpExchange::someRead(const error_code &Error, std::size_t Bytes) {
  if (Received == 0)
    TransferEnd = std::chrono::steady_clock::now() + MaxTransfer;
  Received += Bytes;
  if (Error)
    return finish(std::nullopt);
  if (MaxPause > Duration(0))
    extendTransfer();
  if (!Parser->is_done())
    return readMore();
  responseRead();
}

void HttpExchange::responseRead() {
  // The response to the request is not an interim one but the one after it.
  if (Parser->get().result_int() < 200)
    return ++InterimResponses > MaxInterimResponses ? finish(std::nullopt)
                                                    : readResponse();
  // Bytes after the response belong to no request. They must not be parsed as
  // the response to the next one.
  bool Reusable = Parser->keep_alive() && Buffer.size() == 0;
  ExchangeResult Result = Parser->release();
  Stream.expires_never();
  if (!Reusable)
    closeConnection();
  finish(std::move(Result));
}

void HttpExchange::finish(ExchangeResult Result) {
  if (!Result)
    closeConnection();
  if (Callback Handler = std::exchange(Done, nullptr))
    Handler(std::move(Result));
}

} // namespace figsail
