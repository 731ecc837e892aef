// HttpFrontend.h - HTTP/1.0 and 1.1 server for client connections.

#ifndef FIGSAIL_HTTPFRONTEND_H
#define FIGSAIL_HTTPFRONTEND_H

#include "figsail/Events.h"
#include "figsail/Node.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace figsail {

/// Receiver of the requests of clients.
class FrontendHandler {
public:
  virtual ~FrontendHandler() = default;
  /// Accepts or rejects a request head before the body is read.
  virtual HeadDecision checkHead(std::string_view Method,
                                 std::string_view Target) = 0;
  /// Handles a complete request. Must lead to exactly one
  /// HttpFrontend::reply(), at once or later.
  virtual void requestReceived(CallerId Caller, HttpRequest Request) = 0;
  /// The client connection was closed before the reply; no reply is needed any
  /// more.
  virtual void clientDisconnected(CallerId Caller) = 0;
};

/// Limits on client connections and requests.
struct FrontendSettings {
  std::size_t MaxHead =
      std::size_t{16} * 1024; ///< Largest request head, in bytes.
  std::size_t MaxConnections =
      250; ///< Further connections wait in the listen backlog.
  Duration HeadTimeout{std::chrono::seconds(
      10)}; ///< From the first byte to the end of the head.
  Duration BodyTimeout{
      std::chrono::seconds(30)}; ///< From the head to the end of the body.
  Duration IdleTimeout{std::chrono::seconds(60)}; ///< Between requests.
  /// Requests of one connection that are handled together. Only safe requests
  /// are handled beside others.
  std::size_t MaxPipelined = 1;
  bool ServeHalfClosed = true; ///< Reply to clients that closed their sending
                               ///< side. Otherwise they count as disconnected.
};

/// Server for clients: a listener and its connections.
class HttpFrontend {
public:
  HttpFrontend(boost::asio::io_context &Context, FrontendHandler &Handler,
               FrontendSettings Settings);
  ~HttpFrontend();

  /// Starts to listen on "ip:port". Returns an error message, or nothing on
  /// success.
  std::optional<std::string> listen(const std::string &Address);
  /// Returns the bound port, or 0 without one. Differs from the port given to
  /// listen() if that was 0.
  std::uint16_t port() const;
  /// Sends the response to a request, and closes the connection afterwards if
  /// the response has "Connection: close". Ignored if the id is unknown or the
  /// client has disconnected.
  void reply(CallerId Caller, HttpResponse Response);
  /// Returns a function that writes bytes outside any response on the
  /// connection of a request that waits for its reply, also after that reply.
  /// For simulators of faulty servers. The function does nothing on a closed
  /// connection or while a response is being written.
  std::function<void(std::string_view Bytes)> rawWriter(CallerId Caller) const;
  /// Ends the connection of a request with these bytes in place of a response.
  /// For simulators of faulty servers. Ignored if the id is unknown or the
  /// client has disconnected.
  void endRaw(CallerId Caller, std::string_view Bytes);
  /// Changes the settings for later connections and requests.
  void configure(const FrontendSettings &Settings);
  /// Stops accepting connections. Each open connection closes after its current
  /// request.
  void drain();
  /// Ends the reading of requests: those that are being read are answered 408.
  void refuseUnread();
  /// Returns whether the request came on a kept connection, with its last byte
  /// after drain().
  bool arrivedLate(CallerId Caller) const;
  /// Returns the number of open connections with an unfinished request.
  std::size_t busyConnections() const;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_HTTPFRONTEND_H
