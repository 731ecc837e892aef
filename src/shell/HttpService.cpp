// HttpService.cpp - Small HTTP server for interfaces outside the path of client
// requests.

#include "HttpService.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <set>

namespace figsail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

static constexpr std::size_t MaxRequestBytes = std::size_t(16) * 1024 * 1024;
static constexpr std::chrono::seconds IdleTimeout{60};
/// Delay before the next accept after a failed one.
static constexpr std::chrono::milliseconds AcceptRetryDelay{100};

namespace {

/// One connection to an HTTP client.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, const HttpService::Handler &HandleRequest)
      : Stream(std::move(Socket)), HandleRequest(HandleRequest) {}

  void readNext();
  void close() {
    HandleRequest = nullptr;
    Stream.close();
  }
  bool isClosed() const { return !HandleRequest; }

private:
  void requestRead(const error_code &Error);
  void send(std::optional<HttpService::Response> Answer);

  beast::tcp_stream Stream;
  HttpService::Handler HandleRequest; ///< Null once closed.
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  HttpService::Response Outgoing;
};

void Session::readNext() {
  Parser.emplace();
  Parser->body_limit(MaxRequestBytes);
  Stream.expires_after(IdleTimeout);
  http::async_read(
      Stream, Buffer, *Parser,
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        Self->requestRead(Error);
      });
}

void Session::requestRead(const error_code &Error) {
  if (Error || isClosed())
    return close();
  Stream.expires_never();
  HandleRequest(
      Parser->get(),
      [Self = shared_from_this()](std::optional<HttpService::Response> Answer) {
        Self->send(std::move(Answer));
      });
}

void Session::send(std::optional<HttpService::Response> Answer) {
  if (!Answer || isClosed())
    return close();
  Outgoing = std::move(*Answer);
  Outgoing.version(Parser->get().version());
  Outgoing.keep_alive(Parser->keep_alive());
  Outgoing.prepare_payload();
  Stream.expires_after(IdleTimeout);
  http::async_write(
      Stream, Outgoing,
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        if (Error || Self->isClosed() || !Self->Outgoing.keep_alive())
          return Self->close();
        Self->readNext();
      });
}

} // namespace

struct HttpService::State : public std::enable_shared_from_this<State> {
  State(asio::io_context &Context, Handler HandleRequest)
      : HandleRequest(std::move(HandleRequest)), Acceptor(Context),
        AcceptTimer(Context) {}

  void acceptNext();
  void acceptLater();

  Handler HandleRequest;
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  std::set<std::weak_ptr<Session>, std::owner_less<>> Sessions;
};

void HttpService::State::acceptNext() {
  Acceptor.async_accept(
      [Self = shared_from_this()](const error_code &Error, tcp::socket Socket) {
        if (!Self->Acceptor.is_open())
          return;
        if (Error)
          return Self->acceptLater();
        auto Connection =
            std::make_shared<Session>(std::move(Socket), Self->HandleRequest);
        std::erase_if(Self->Sessions,
                      [](const auto &Entry) { return Entry.expired(); });
        Self->Sessions.insert(Connection);
        Connection->readNext();
        Self->acceptNext();
      });
}

void HttpService::State::acceptLater() {
  AcceptTimer.expires_after(AcceptRetryDelay);
  AcceptTimer.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error && Self->Acceptor.is_open())
      Self->acceptNext();
  });
}

HttpService::HttpService(asio::io_context &Context, Handler HandleRequest)
    : Impl(std::make_shared<State>(Context, std::move(HandleRequest))) {}

HttpService::~HttpService() { stop(); }

tcp::endpoint HttpService::listen(const tcp::endpoint &Endpoint) {
  Impl->Acceptor.open(Endpoint.protocol());
  Impl->Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Impl->Acceptor.bind(Endpoint);
  Impl->Acceptor.listen();
  Impl->acceptNext();
  return Impl->Acceptor.local_endpoint();
}

void HttpService::stop() {
  error_code Ignored;
  Impl->Acceptor.close(Ignored);
  Impl->AcceptTimer.cancel();
  for (const std::weak_ptr<Session> &Entry : Impl->Sessions)
    if (std::shared_ptr<Session> Connection = Entry.lock())
      Connection->close();
  Impl->Sessions.clear();
}

HttpService::Response makeResponse(http::status Status, std::string Body,
                                   const std::string &ContentType) {
  HttpService::Response Answer(Status, 11);
  Answer.set(http::field::content_type, ContentType);
  Answer.body() = std::move(Body);
  return Answer;
}

} // namespace figsail
