// FrontendConnection.cpp - One connection of a caller.

#include "FrontendConnection.h"
#include "HttpFieldFunctions.h"

#include <boost/beast/http/empty_body.hpp>
#include <limits>

namespace figsail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

// How long a closing connection discards input. Closing with unread input
// resets the connection, which can destroy the answer on its way.
static constexpr std::chrono::seconds LingerTimeout{2};

// How long a connection that was just opened may take for the first byte of its
// request when the daemon stops.
static constexpr std::chrono::milliseconds FirstByteTimeout{300};

FrontendConnection::FrontendConnection(tcp::socket Socket,
                                       std::shared_ptr<ConnectionOwner> Owner)
    : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
      Owner(std::move(Owner)) {}

void FrontendConnection::start() {
  beast::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  nextRequest();
}

bool FrontendConnection::busy() const {
  switch (Present) {
  case Phase::Head:
  case Phase::Body:
  case Phase::Handling:
  case Phase::Writing:
    return true;
  case Phase::Linger:
    return !RequestWhole;
  case Phase::Idle:
  case Phase::Closed:
    return false;
  }
  return false;
}

void FrontendConnection::drain() {
  if (Present != Phase::Idle)
    return;
  beast::error_code Error;
  bool Waiting = Socket.available(Error) > 0;
  bool Begun = Waiting || !Received.empty();
  if (Error || (!Begun && !Fresh)) {
    close();
    return;
  }
  // Counts as busy from now on, so that the request is answered before exit.
  Present = Phase::Head;
  if (Begun)
    arm(Owner->settings().HeadTimeout);
  else
    arm(FirstByteTimeout);
}

void FrontendConnection::close() {
  if (Present == Phase::Closed)
    return;
  Present = Phase::Closed;
  beast::error_code Ignored;
  Timer.cancel();
  Socket.close(Ignored);
  Owner->closed(shared_from_this());
}

void FrontendConnection::nextRequest() {
  Present = Phase::Idle;
  Version = 11;
  HeadOnly = false;
  KeepAlive = false;
  RequestWhole = false;
  Scanner.reset();
  Message.reset();
  Fields.clear();
  arm(Owner->settings().IdleTimeout);
  if (Owner->draining())
    drain();
  process();
}

void FrontendConnection::process() {
  if (Present == Phase::Idle || Present == Phase::Head)
    processHead();
  else if (Present == Phase::Body)
    processBody();
  switch (Present) {
  case Phase::Idle:
  case Phase::Head:
  case Phase::Body:
    if (InputEnded)
      endOfInput();
    else
      read();
    return;
  case Phase::Handling:
  case Phase::Writing:
    if (!InputEnded && Received.size() < Owner->settings().MaxHead)
      read();
    else
      watchForReset();
    return;
  case Phase::Linger:
  case Phase::Closed:
    return;
  }
}

void FrontendConnection::processHead() {
  // Some legacy clients send an extra CRLF after a body.
  while (Present == Phase::Idle && Received.starts_with("\r\n"))
    Received.erase(0, 2);
  if (Received.empty() || Received == "\r")
    return;
  HeadScanner::Result Result =
      Scanner.scan(Received, Owner->settings().MaxHead);
  if (const auto *Kind = std::get_if<ErrorKind>(&Result)) {
    refuse(*Kind);
    return;
  }
  if (const auto *Whole = std::get_if<HeadScanner::Complete>(&Result)) {
    headComplete(Whole->Size);
    return;
  }
  if (Present == Phase::Head)
    return;
  Present = Phase::Head;
  arm(Owner->settings().HeadTimeout);
}

void FrontendConnection::headComplete(std::size_t Size) {
  beast::error_code Error;
  Message.emplace();
  Message->header_limit(std::numeric_limits<std::uint32_t>::max());
  Message->body_limit(boost::none);
  Message->put(asio::buffer(Received.data(), Size), Error);
  Received.erase(0, Size);
  if (Error && Error != http::error::need_more) {
    refuse(headErrorKind(Error));
    return;
  }
  if (!Message->is_header_done()) {
    refuse(ErrorKind::BadRequest);
    return;
  }
  const auto &Head = Message->get();
  HeadOnly = Head.method() == http::verb::head;
  KeepAlive = Message->keep_alive();
  if (Head.version() == 10)
    Version = 10;
  if (std::optional<ErrorKind> Kind = checkRequestFields(Head)) {
    refuse(*Kind);
    return;
  }
  HeadDecision Verdict =
      Owner->checkHead(Head.method_string(), originForm(Head.target()));
  if (auto *Response = std::get_if<HttpResponse>(&Verdict)) {
    write(std::move(*Response));
    return;
  }
  Fields = copyFields(Head);
  removeHopByHop(Fields);
  startBody(std::get<ReadBody>(Verdict).MaxBody);
}

void FrontendConnection::startBody(std::size_t MaxBody) {
  if (Message->is_done()) {
    requestComplete();
    return;
  }
  if (Message->content_length().value_or(0) > MaxBody) {
    refuse(ErrorKind::BodyTooLarge);
    return;
  }
  Message->body_limit(MaxBody);
  Message->eager(true);
  Present = Phase::Body;
  bool Expected = Message->get().count(http::field::expect) > 0;
  if (Expected && Version == 11 && Received.empty())
    sendContinue();
  processBody();
  if (Present == Phase::Body)
    arm(Owner->settings().BodyTimeout);
}

void FrontendConnection::sendContinue() {
  static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  beast::error_code Error;
  std::size_t Sent =
      Socket.write_some(asio::buffer(Continue.data(), Continue.size()), Error);
  // With a full send buffer nothing is written; the caller may then send the
  // body without the interim answer.
  if (Sent > 0 && Sent < Continue.size())
    close();
}

void FrontendConnection::processBody() {
  if (Present != Phase::Body || Received.empty())
    return;
  beast::error_code Error;
  std::size_t Used = Message->put(asio::buffer(Received), Error);
  Received.erase(0, Used);
  if (Error == http::error::body_limit) {
    refuse(ErrorKind::BodyTooLarge);
    return;
  }
  if (Error && Error != http::error::need_more) {
    refuse(ErrorKind::BadRequest, Error.message());
    return;
  }
  if (Message->is_done()) {
    requestComplete();
    return;
  }
  // What the parser leaves is an unfinished chunk header or trailer.
  if (Received.size() >= Owner->settings().MaxHead)
    refuse(ErrorKind::HeadTooLarge);
}

/// Returns whether the caller has closed the connection behind its request. A
/// daemon that was held up reads requests that nobody waits for any more.
bool FrontendConnection::callerLeft() {
  if (Owner->settings().ServeHalfClosed)
    return false;
  char Next = 0;
  beast::error_code Error;
  Socket.receive(asio::buffer(&Next, 1), tcp::socket::message_peek, Error);
  return Error && Error != asio::error::would_block;
}

void FrontendConnection::requestComplete() {
  if (callerLeft()) {
    close();
    return;
  }
  auto &Whole = Message->get();
  HttpRequest Request;
  Request.Method = std::string(Whole.method_string());
  Request.Target = std::string(originForm(Whole.target()));
  Request.Headers = std::move(Fields);
  Request.Body = std::move(Whole.body());
  Message.reset();
  RequestWhole = true;
  Present = Phase::Handling;
  Timer.cancel();
  Owner->dispatch(shared_from_this(), std::move(Request));
}

void FrontendConnection::endOfInput() {
  if (Present == Phase::Idle) {
    close();
    return;
  }
  refuse(ErrorKind::BadRequest, "The request ended early.");
}

void FrontendConnection::refuse(ErrorKind Kind, std::string_view Detail) {
  write(errorResponse(Kind, Detail));
}

void FrontendConnection::answer(HttpResponse Response) {
  if (Present == Phase::Handling)
    write(std::move(Response));
}

template <class Body>
static void setFields(http::response<Body> &Message, const HeaderList &Headers,
                      bool KeepAlive) {
  Message.reason(http::obsolete_reason(Message.result()));
  for (const auto &[Name, Value] : Headers)
    Message.insert(Name, Value);
  if (!KeepAlive)
    Message.set(http::field::connection, "close");
  else if (Message.version() == 10)
    Message.set(http::field::connection, "keep-alive");
}

/// Builds an answer without a body. An answer to HEAD and a 304 announce the
/// length that the body would have.
static http::response<http::empty_body>
bodilessMessage(const HttpResponse &Response, unsigned Version) {
  http::response<http::empty_body> Message;
  Message.version(Version);
  Message.result(Response.Status);
  if (Response.Status == 204)
    return Message;
  std::string_view Length = findHeader(Response.Headers, "Content-Length");
  if (!Length.empty())
    Message.set(http::field::content_length, Length);
  else if (!Response.Body.empty())
    Message.content_length(Response.Body.size());
  return Message;
}

void FrontendConnection::write(HttpResponse Response) {
  if (Response.Status < 200 || Response.Status > 999)
    Response = errorResponse(ErrorKind::Internal);
  bool MoreInput = !InputEnded || !Received.empty();
  KeepAlive = KeepAlive && RequestWhole && MoreInput && !Owner->draining();
  HeaderList Headers = Response.Headers;
  removeHopByHop(Headers);
  if (HeadOnly || Response.Status == 204 || Response.Status == 304) {
    auto Message = bodilessMessage(Response, Version);
    setFields(Message, Headers, KeepAlive);
    Outgoing.emplace(std::move(Message));
  } else {
    http::response<http::string_body> Message;
    Message.version(Version);
    Message.result(Response.Status);
    Message.body() = std::move(Response.Body);
    Message.content_length(Message.body().size());
    setFields(Message, Headers, KeepAlive);
    Outgoing.emplace(std::move(Message));
  }
  Present = Phase::Writing;
  writeSome();
}

void FrontendConnection::writeSome() {
  beast::error_code Error;
  auto Buffers = Outgoing->prepare(Error);
  if (Error) {
    close();
    return;
  }
  // Bounds the time without progress, since a slow caller may need long for a
  // large answer.
  arm(Owner->settings().BodyTimeout);
  Socket.async_write_some(
      Buffers,
      [Self = shared_from_this()](beast::error_code Failed, std::size_t Bytes) {
        if (Self->Present != Phase::Writing)
          return;
        if (Failed) {
          Self->close();
          return;
        }
        Self->Outgoing->consume(Bytes);
        if (Self->Outgoing->is_done())
          Self->written();
        else
          Self->writeSome();
      });
}

void FrontendConnection::written() {
  Outgoing.reset();
  if (KeepAlive)
    nextRequest();
  else
    linger();
}

void FrontendConnection::linger() {
  Present = Phase::Linger;
  Received.clear();
  Message.reset();
  beast::error_code Error;
  Socket.shutdown(tcp::socket::shutdown_send, Error);
  if (Error || InputEnded) {
    close();
    return;
  }
  arm(LingerTimeout);
  read();
}

void FrontendConnection::read() {
  if (Reading)
    return;
  Reading = true;
  Socket.async_read_some(
      asio::buffer(Inbox),
      [Self = shared_from_this()](beast::error_code Error, std::size_t Bytes) {
        Self->Reading = false;
        Self->readDone(Error, Bytes);
      });
}

void FrontendConnection::readDone(beast::error_code Error, std::size_t Bytes) {
  if (Present == Phase::Closed)
    return;
  // The end of the input alone does not mean that the caller is gone.
  InputEnded = InputEnded || Error == asio::error::eof;
  bool Gone = Error && !(InputEnded && Owner->settings().ServeHalfClosed);
  if (Gone || (Error && Present == Phase::Linger)) {
    close();
    return;
  }
  if (Present == Phase::Linger) {
    read();
    return;
  }
  Received.append(Inbox.data(), Bytes);
  if (Fresh && Bytes > 0) {
    Fresh = false;
    if (Present == Phase::Head)
      arm(Owner->settings().HeadTimeout);
  }
  process();
}

void FrontendConnection::watchForReset() {
  if (Watching)
    return;
  Watching = true;
  Socket.async_wait(tcp::socket::wait_error,
                    [Self = shared_from_this()](beast::error_code Error) {
                      Self->Watching = false;
                      if (!Error)
                        Self->close();
                    });
}

void FrontendConnection::arm(Duration Timeout) {
  Timer.expires_after(Timeout);
  Timer.async_wait([Self = shared_from_this()](beast::error_code Error) {
    if (!Error)
      Self->timedOut();
  });
}

void FrontendConnection::timedOut() {
  // A handler that was queued before the timer was set again comes too early.
  if (Timer.expiry() > asio::steady_timer::clock_type::now())
    return;
  switch (Present) {
  case Phase::Head:
  case Phase::Body:
    if (Fresh)
      close();
    else
      refuse(ErrorKind::RequestTimeout);
    return;
  case Phase::Idle:
  case Phase::Writing:
  case Phase::Linger:
    close();
    return;
  case Phase::Handling:
  case Phase::Closed:
    return;
  }
}

} // namespace figsail
