// HttpFrontend.h - Accepts callers over HTTP/1.0 and 1.1.

#ifndef FIGSAIL_HTTPFRONTEND_H
#define FIGSAIL_HTTPFRONTEND_H

#include "figsail/Events.h"
#include "figsail/Node.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

namespace figsail {

/// Receives what callers send.
class FrontendHandler {
public:
  virtual ~FrontendHandler() = default;
  /// Decides on a request head before the body is read.
  virtual HeadVerdict checkHead(std::string_view Method,
                                std::string_view Target) = 0;
  /// A whole request has arrived. It must end in exactly one
  /// HttpFrontend::reply().
  virtual void requestReceived(CallerId Caller, HttpRequest Request) = 0;
  /// The caller's connection is gone; no reply is needed any more.
  virtual void clientDisconnected(CallerId Caller) = 0;
};

/// Bounds on what a caller may send.
struct FrontendSettings {
  std::size_t MaxHead = std::size_t{16} * 1024; ///< Bytes of the request head.
  std::size_t MaxConnections =
      250; ///< Further connections wait in the backlog.
  Duration HeadTimeout{std::chrono::seconds(
      10)}; ///< From the first byte to the end of the head.
  Duration BodyTimeout{
      std::chrono::seconds(30)}; ///< From the head to the end of the body.
  Duration IdleTimeout{std::chrono::seconds(60)}; ///< Between requests.
  bool ServeHalfClosed = true; ///< Answer callers that closed their sending
                               ///< half. Otherwise they count as gone.
};

/// The listener for callers and its connections.
class HttpFrontend {
public:
  HttpFrontend(boost::asio::io_context &Context, FrontendHandler &Handler,
               FrontendSettings Settings);
  ~HttpFrontend();

  /// Starts to listen on "ip:port". Returns an error text, or nothing.
  std::optional<std::string> listen(const std::string &Address);
  /// Returns the port that listen() bound, or 0. Differs from the address given
  /// to listen() when that has port 0.
  std::uint16_t port() const;
  /// Answers a request. Unknown or gone callers are ignored.
  void reply(CallerId Caller, HttpResponse Response);
  /// Changes the bounds for what arrives from now on.
  void configure(const FrontendSettings &Settings);
  /// Stops to accept; each connection closes after its present request.
  void drain();
  /// Returns the number of open connections with a request under way.
  std::size_t busyConnections() const;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_HTTPFRONTEND_H
