// HttpFrontend.cpp - HTTP/1.0 and 1.1 server for client connections.

#include "HttpFrontend.h"
#include "Endpoint.h"
#include "FrontendConnection.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <unordered_set>

namespace figsail {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

// Delay after a failed accept. The usual cause is a lack of file descriptors,
// and an immediate retry would be a busy loop.
static constexpr std::chrono::milliseconds AcceptRetryDelay{100};

struct HttpFrontend::State : ConnectionOwner,
                             std::enable_shared_from_this<State> {
  State(asio::io_context &Context, FrontendHandler &Handler,
        FrontendSettings Settings)
      : Handler(&Handler), Settings(Settings), Acceptor(Context),
        AcceptTimer(Context) {}

  const FrontendSettings &settings() const override { return Settings; }
  bool draining() const override { return Draining; }

  HeadDecision checkHead(std::string_view Method,
                         std::string_view Target) override {
    return Handler->checkHead(Method, Target);
  }

  CallerId nextCaller() override { return ++LastCallerId; }

  void dispatch(const std::shared_ptr<FrontendConnection> &Connection,
                CallerId Caller, HttpRequest Request) override {
    PendingRequests[Caller] = Connection;
    Handler->requestReceived(Caller, std::move(Request));
  }

  /// Returns the connection of a request that waits for its reply, which then
  /// waits no more. Returns null if the id is unknown.
  std::shared_ptr<FrontendConnection> takeRequest(CallerId Caller) {
    auto Found = PendingRequests.find(Caller);
    if (Found == PendingRequests.end())
      return nullptr;
    std::shared_ptr<FrontendConnection> Connection = std::move(Found->second);
    PendingRequests.erase(Found);
    return Connection;
  }

  void closed(const std::shared_ptr<FrontendConnection> &Connection) override {
    Connections.erase(Connection);
    for (CallerId Caller : Connection->unanswered())
      if (PendingRequests.erase(Caller) > 0 && Handler != nullptr)
        Handler->clientDisconnected(Caller);
    if (Handler != nullptr)
      accept();
  }

  void accept() {
    if (Accepting || !Acceptor.is_open() ||
        Connections.size() >= Settings.MaxConnections)
      return;
    Accepting = true;
    Acceptor.async_accept([Self = shared_from_this()](beast::error_code Error,
                                                      tcp::socket Socket) {
      Self->Accepting = false;
      Self->accepted(Error, std::move(Socket));
    });
  }

  void accepted(beast::error_code Error, tcp::socket Socket) {
    if (Error == asio::error::operation_aborted || Handler == nullptr)
      return;
    if (Error) {
      AcceptTimer.expires_after(AcceptRetryDelay);
      AcceptTimer.async_wait(
          [Self = shared_from_this()](beast::error_code Ended) {
            if (!Ended)
              Self->accept();
          });
      return;
    }
    openConnection(std::move(Socket));
    accept();
  }

  std::shared_ptr<FrontendConnection> openConnection(tcp::socket Socket) {
    auto Connection = std::make_shared<FrontendConnection>(std::move(Socket),
                                                           shared_from_this());
    Connections.insert(Connection);
    Connection->start();
    return Connection;
  }

  /// Accepts the connections that the kernel has already established. Closing
  /// the listener would reset them.
  void acceptBacklog() {
    beast::error_code Error;
    Acceptor.non_blocking(true, Error);
    while (!Error) {
      tcp::socket Socket = Acceptor.accept(Error);
      if (!Error)
        openConnection(std::move(Socket));
    }
  }

  void drain() {
    Draining = true;
    if (Acceptor.is_open())
      acceptBacklog();
    stopAccepting();
    auto Copy = Connections;
    for (const auto &Connection : Copy)
      Connection->drain();
  }

  void stopAccepting() {
    beast::error_code Ignored;
    Acceptor.close(Ignored);
    AcceptTimer.cancel();
  }

  void shutDown() {
    Handler = nullptr;
    stopAccepting();
    auto Copy = std::move(Connections);
    Connections.clear();
    for (const auto &Connection : Copy)
      Connection->close();
  }

  FrontendHandler *Handler; ///< Null once the HttpFrontend is destroyed.
  FrontendSettings Settings;
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  std::unordered_set<std::shared_ptr<FrontendConnection>> Connections;
  std::unordered_map<CallerId, std::shared_ptr<FrontendConnection>>
      PendingRequests; ///< Requests that wait for reply().
  CallerId LastCallerId = 0;
  bool Accepting = false;
  bool Draining = false;
};

HttpFrontend::HttpFrontend(asio::io_context &Context, FrontendHandler &Handler,
                           FrontendSettings Settings)
    : Impl(std::make_shared<State>(Context, Handler, Settings)) {}

HttpFrontend::~HttpFrontend() { Impl->shutDown(); }

std::optional<std::string> HttpFrontend::listen(const std::string &Address) {
  std::optional<tcp::endpoint> Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return "\"" + Address + "\" is not an address of the form ip:port";
  beast::error_code Error;
  Impl->Acceptor.open(Endpoint->protocol(), Error);
  if (!Error)
    Impl->Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Impl->Acceptor.bind(*Endpoint, Error);
  if (!Error)
    Impl->Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error) {
    Impl->stopAccepting();
    return "cannot listen on " + Address + ": " + Error.message();
  }
  Impl->accept();
  return std::nullopt;
}

std::uint16_t HttpFrontend::port() const {
  beast::error_code Error;
  tcp::endpoint Bound = Impl->Acceptor.local_endpoint(Error);
  return Error ? 0 : Bound.port();
}

void HttpFrontend::reply(CallerId Caller, HttpResponse Response) {
  if (auto Connection = Impl->takeRequest(Caller))
    Connection->reply(Caller, std::move(Response));
}

void HttpFrontend::endRaw(CallerId Caller, std::string_view Bytes) {
  if (auto Connection = Impl->takeRequest(Caller))
    Connection->endRaw(Bytes);
}

std::function<void(std::string_view)>
HttpFrontend::rawWriter(CallerId Caller) const {
  std::weak_ptr<FrontendConnection> Weak;
  if (auto Found = Impl->PendingRequests.find(Caller);
      Found != Impl->PendingRequests.end())
    Weak = Found->second;
  return [Weak](std::string_view Bytes) {
    if (auto Connection = Weak.lock())
      Connection->writeRaw(Bytes);
  };
}

void HttpFrontend::configure(const FrontendSettings &Settings) {
  Impl->Settings = Settings;
}

void HttpFrontend::drain() { Impl->drain(); }

void HttpFrontend::refuseUnread() {
  auto Copy = Impl->Connections;
  for (const auto &Connection : Copy)
    Connection->refuseUnread();
}

bool HttpFrontend::arrivedLate(CallerId Caller) const {
  auto Found = Impl->PendingRequests.find(Caller);
  return Found != Impl->PendingRequests.end() && Found->second->arrivedLate();
}

std::size_t HttpFrontend::busyConnections() const {
  return static_cast<std::size_t>(
      std::count_if(Impl->Connections.begin(), Impl->Connections.end(),
                    [](const auto &Connection) { return Connection->busy(); }));
}

} // namespace figsail
