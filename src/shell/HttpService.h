// HttpService.h - Small HTTP server for interfaces outside the path of client
// requests.

#ifndef FIGSAIL_HTTPSERVICE_H
#define FIGSAIL_HTTPSERVICE_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace figsail {

/// HTTP server that listens on one address and passes each request to a
/// handler. Requests of one connection are handled in sequence.
class HttpService {
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;
  /// Sends the response. Called once, from the event loop. An empty optional
  /// closes the connection without a response.
  using Reply = std::function<void(std::optional<Response>)>;
  using Handler = std::function<void(const Request &, const Reply &)>;

  HttpService(boost::asio::io_context &Context, Handler HandleRequest);
  ~HttpService();

  /// Starts to listen; port 0 selects a free port. Returns the bound endpoint.
  /// Throws boost::system::system_error.
  boost::asio::ip::tcp::endpoint
  listen(const boost::asio::ip::tcp::endpoint &Endpoint);

  /// Closes the listener and all connections.
  void stop();

private:
  struct State;
  std::shared_ptr<State> Impl;
};

/// Returns a response with a body of the given content type.
HttpService::Response makeResponse(boost::beast::http::status Status,
                                   std::string Body,
                                   const std::string &ContentType);

} // namespace figsail

#endif // FIGSAIL_HTTPSERVICE_H
