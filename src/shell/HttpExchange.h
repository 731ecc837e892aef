// HttpExchange.h - HTTP client connection that carries one request at a time.

#ifndef FIGSAIL_HTTPEXCHANGE_H
#define FIGSAIL_HTTPEXCHANGE_H

#include "figsail/Types.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace figsail {

/// The response, or nothing when the exchange failed or timed out.
using ExchangeResult = std::optional<
    boost::beast::http::response<boost::beast::http::string_body>>;

/// HTTP client for one address. Sends one request at a time and reuses its
/// connection for the next one.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Callback = std::function<void(ExchangeResult)>;

  HttpExchange(boost::asio::io_context &Context, std::string Address);

  /// Starts an exchange; Done is called once, from the event loop. No other
  /// exchange may be in flight.
  void start(Request Next, Duration Timeout, Callback Done);
  /// Lets a response take longer than the timeout of its exchange once it has
  /// begun to arrive: up to MaxTime from then on, while no pause is longer than
  /// MaxPause. A large response over a full link is then received once, and not
  /// given up and requested again.
  void allowTransfer(Duration MaxPause, Duration MaxTime);
  /// Lets opening a connection take as long as Time. By default it is short,
  /// since an attempt into a partition hangs.
  void allowConnect(Duration Time) { ConnectTime = Time; }
  /// Returns whether an exchange is in flight.
  bool inFlight() const { return Done != nullptr; }
  /// Returns the bytes of the response to the present or last request that have
  /// arrived.
  std::uint64_t receivedBytes() const { return Received; }
  /// Changes the address and closes the connection. An exchange in flight
  /// fails.
  void moveTo(std::string NewAddress);
  /// Closes the connection. The callback of an exchange in flight is not
  /// called.
  void close();

private:
  void connected(const boost::system::error_code &Error);
  void write();
  void requestWritten(const boost::system::error_code &Error);
  void readResponse();
  void readMore();
  void extendTransfer();
  void someRead(const boost::system::error_code &Error, std::size_t Bytes);
  void responseRead();
  void finish(ExchangeResult Result);
  void closeConnection();

  std::string Address;
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  Request Outgoing;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      Parser;
  std::uint64_t Received = 0;    ///< Bytes of the response.
  unsigned InterimResponses = 0; ///< Before the response to this request.
  Duration Timeout{0};           ///< Excludes the connection attempt.
  Duration ConnectTime;          ///< For the connection attempt.
  Duration MaxPause{0}; ///< Within a response; 0: only the timeout applies.
  Duration MaxTransfer{0};
  std::chrono::steady_clock::time_point TransferEnd;
  Callback Done;
};

} // namespace figsail

#endif // FIGSAIL_HTTPEXCHANGE_H
