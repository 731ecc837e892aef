// HttpExchange.h - One HTTP request at a time on a connection of its own.

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

/// Response of an exchange, or nothing when it failed or timed out.
using ExchangeResult = std::optional<
    boost::beast::http::response<boost::beast::http::string_body>>;

/// Sends one request to an address and reads the response. The connection is
/// kept for the next exchange.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Callback = std::function<void(ExchangeResult)>;

  HttpExchange(boost::asio::io_context &Context, std::string Address);

  /// Starts an exchange; Done is called once, from the event loop. Must not be
  /// called while one is under way.
  void start(Request Next, Duration Timeout, Callback Done);
  /// Uses another address from the next connection on. An exchange under way
  /// fails.
  void moveTo(std::string NewAddress);
  /// Closes the connection. An exchange under way ends without its callback.
  void close();

private:
  void connected(const boost::system::error_code &Error);
  void write();
  void requestWritten(const boost::system::error_code &Error);
  void responseRead(const boost::system::error_code &Error);
  void finish(ExchangeResult Result);

  std::string Address;
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  Request Outgoing;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      Parser;
  Duration Timeout{0}; ///< Of the exchange under way, without connecting.
  Callback Done;
};

} // namespace figsail

#endif // FIGSAIL_HTTPEXCHANGE_H
