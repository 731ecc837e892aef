// FrontendConnection.cpp - Server side of one client connection.

#include "FrontendConnection.h"
#include "HttpFieldFunctions.h"

#include <algorithm>
#include <boost/beast/http/empty_body.hpp>
#include <limits>

namespace figsail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

// Time for which a closing connection discards input. Closing a socket with
// unread input resets the connection, and the client may then lose the
// response.
static constexpr std::chrono::seconds LingerTimeout{2};

// Time limit for the first byte on a new connection while the daemon drains.
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
  switch (CurrentPhase) {
  case Phase::Head:
  case Phase::Body:
  case Phase::Handling:
  case Phase::Writing:
    return true;
  case Phase::Linger:
    return !RequestFullyRead;
  case Phase::Idle:
  case Phase::Closed:
    return false;
  }
  return false;
}

void FrontendConnection::drain() {
  if (CurrentPhase != Phase::Idle)
    return;
  beast::error_code Error;
  bool BytesAvailable = Socket.available(Error) > 0;
  bool RequestStarted = BytesAvailable || !Unparsed.empty();
  if (Error || (!RequestStarted && !AwaitsFirstByte)) {
    close();
    return;
  }
  // Makes the connection busy, so that the daemon replies to the request before
  // it exits.
  CurrentPhase = Phase::Head;
  if (RequestStarted)
    startTimer(Owner->settings().HeadTimeout);
  else
    startTimer(FirstByteTimeout);
}

void FrontendConnection::refuseUnread() {
  if (CurrentPhase == Phase::Head || CurrentPhase == Phase::Body)
    endReading();
}

void FrontendConnection::close() {
  if (CurrentPhase == Phase::Closed)
    return;
  CurrentPhase = Phase::Closed;
  beast::error_code Ignored;
  Timer.cancel();
  Socket.close(Ignored);
  Owner->closed(shared_from_this());
}

void FrontendConnection::nextRequest() {
  CurrentPhase = Phase::Idle;
  Version = 11;
  IsHeadRequest = false;
  KeepAlive = false;
  RequestFullyRead = false;
  Scanner.reset();
  RequestParser.reset();
  Fields.clear();
  startTimer(Owner->settings().IdleTimeout);
  if (Owner->draining())
    drain();
  process();
}

void FrontendConnection::process() {
  if (CurrentPhase == Phase::Idle || CurrentPhase == Phase::Head)
    processHead();
  else if (CurrentPhase == Phase::Body)
    processBody();
  if (CurrentPhase == Phase::Handling || CurrentPhase == Phase::Writing)
    dispatchAhead();
  switch (CurrentPhase) {
  case Phase::Idle:
  case Phase::Head:
  case Phase::Body:
    if (InputEnded)
      handleEndOfInput();
    else
      read();
    return;
  case Phase::Handling:
  case Phase::Writing:
    if (!InputEnded && Unparsed.size() < Owner->settings().MaxHead)
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
  while (CurrentPhase == Phase::Idle && Unparsed.starts_with("\r\n"))
    Unparsed.erase(0, 2);
  if (Unparsed.empty() || Unparsed == "\r")
    return;
  HeadScanner::Result Result =
      Scanner.scan(Unparsed, Owner->settings().MaxHead);
  if (const auto *Kind = std::get_if<ErrorKind>(&Result)) {
    reject(*Kind);
    return;
  }
  if (const auto *Complete = std::get_if<HeadScanner::Complete>(&Result)) {
    headComplete(Complete->Size);
    return;
  }
  if (CurrentPhase == Phase::Head)
    return;
  CurrentPhase = Phase::Head;
  startTimer(Owner->settings().HeadTimeout);
}

void FrontendConnection::headComplete(std::size_t Size) {
  beast::error_code Error;
  RequestParser.emplace();
  RequestParser->header_limit(std::numeric_limits<std::uint32_t>::max());
  RequestParser->body_limit(boost::none);
  RequestParser->put(asio::buffer(Unparsed.data(), Size), Error);
  Unparsed.erase(0, Size);
  if (Error && Error != http::error::need_more) {
    reject(headErrorKind(Error));
    return;
  }
  if (!RequestParser->is_header_done()) {
    reject(ErrorKind::BadRequest);
    return;
  }
  const auto &Head = RequestParser->get();
  IsHeadRequest = Head.method() == http::verb::head;
  KeepAlive = RequestParser->keep_alive();
  if (Head.version() == 10)
    Version = 10;
  if (std::optional<ErrorKind> Kind = checkRequestFields(Head)) {
    reject(*Kind);
    return;
  }
  HeadDecision Verdict =
      Owner->checkHead(Head.method_string(), originForm(Head.target()));
  if (auto *Response = std::get_if<HttpResponse>(&Verdict)) {
    write(std::move(*Response));
    return;
  }
  Fields = copyFields(Head);
  removeHopByHopFields(Fields);
  startBody(std::get<ReadBody>(Verdict).MaxBody);
}

void FrontendConnection::startBody(std::size_t MaxBody) {
  if (RequestParser->is_done()) {
    requestComplete();
    return;
  }
  if (RequestParser->content_length().value_or(0) > MaxBody) {
    reject(ErrorKind::BodyTooLarge);
    return;
  }
  RequestParser->body_limit(MaxBody);
  RequestParser->eager(true);
  CurrentPhase = Phase::Body;
  bool ExpectsContinue = RequestParser->get().count(http::field::expect) > 0;
  if (ExpectsContinue && Version == 11 && Unparsed.empty())
    sendContinue();
  processBody();
  if (CurrentPhase == Phase::Body)
    startTimer(Owner->settings().BodyTimeout);
}

void FrontendConnection::sendContinue() {
  static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  beast::error_code Error;
  std::size_t Sent =
      Socket.write_some(asio::buffer(Continue.data(), Continue.size()), Error);
  // With a full send buffer nothing is written. The client may then send the
  // body without the interim response.
  if (Sent > 0 && Sent < Continue.size())
    close();
}

void FrontendConnection::processBody() {
  if (CurrentPhase != Phase::Body || Unparsed.empty())
    return;
  beast::error_code Error;
  std::size_t Consumed = RequestParser->put(asio::buffer(Unparsed), Error);
  Unparsed.erase(0, Consumed);
  if (Error == http::error::body_limit) {
    reject(ErrorKind::BodyTooLarge);
    return;
  }
  if (Error && Error != http::error::need_more) {
    reject(ErrorKind::BadRequest, Error.message());
    return;
  }
  if (RequestParser->is_done()) {
    requestComplete();
    return;
  }
  // The bytes that the parser leaves are an incomplete chunk header or trailer.
  if (Unparsed.size() >= Owner->settings().MaxHead)
    reject(ErrorKind::HeadTooLarge);
}

/// Returns whether the client closed the connection after its request. A
/// delayed daemon reads requests whose clients have already disconnected.
bool FrontendConnection::hasClientDisconnected() {
  if (Owner->settings().ServeHalfClosed)
    return false;
  char Next = 0;
  beast::error_code Error;
  Socket.receive(asio::buffer(&Next, 1), tcp::socket::message_peek, Error);
  return Error && Error != asio::error::would_block;
}

void FrontendConnection::requestComplete() {
  if (hasClientDisconnected()) {
    close();
    return;
  }
  auto &Parsed = RequestParser->get();
  HttpRequest Request;
  Request.Method = std::string(Parsed.method_string());
  Request.Target = std::string(originForm(Parsed.target()));
  Request.Headers = std::move(Fields);
  Request.Body = std::move(Parsed.body());
  RequestParser.reset();
  RequestFullyRead = true;
  Safe = isSafe(Request);
  Late = Kept && Owner->draining();
  CurrentPhase = Phase::Handling;
  Timer.cancel();
  Caller = Owner->nextCaller();
  Owner->dispatch(shared_from_this(), Caller, std::move(Request));
}

bool FrontendConnection::mayDispatchAhead() const {
  if (!Safe || Closing || Unparsed.empty() || Owner->draining())
    return false;
  bool MayFollow = Ahead.empty() ? KeepAlive : Ahead.back().KeepAlive;
  return MayFollow && Ahead.size() + 1 < Owner->settings().MaxPipelined;
}

/// Dispatches the safe requests that follow the current one. A request that is
/// not safe waits until those before it are answered, and those behind it wait
/// for it.
void FrontendConnection::dispatchAhead() {
  while (mayDispatchAhead()) {
    auto Next = readSafeRequest(Unparsed, Owner->settings().MaxHead);
    if (!Next)
      return;
    HeadDecision Verdict =
        Owner->checkHead(Next->Request.Method, Next->Request.Target);
    if (!std::holds_alternative<ReadBody>(Verdict))
      return;
    Unparsed.erase(0, Next->Size);
    bool IsHead = Next->Request.Method == "HEAD";
    CallerId Added = Owner->nextCaller();
    Ahead.push_back(
        {Added, Next->Version, IsHead, Next->KeepAlive, std::nullopt});
    Owner->dispatch(shared_from_this(), Added, std::move(Next->Request));
    if (CurrentPhase == Phase::Closed)
      return;
  }
}

/// Continues with the request that was dispatched first after the one that has
/// been answered.
void FrontendConnection::handleNextDispatched() {
  PipelinedRequest Next = std::move(Ahead.front());
  Ahead.pop_front();
  Caller = Next.Caller;
  Version = Next.Version;
  IsHeadRequest = Next.IsHead;
  KeepAlive = Next.KeepAlive;
  CurrentPhase = Phase::Handling;
  Timer.cancel();
  if (Next.Response)
    write(std::move(*Next.Response));
  process();
}

std::vector<CallerId> FrontendConnection::unanswered() const {
  std::vector<CallerId> Callers{Caller};
  for (const PipelinedRequest &Later : Ahead)
    Callers.push_back(Later.Caller);
  return Callers;
}

void FrontendConnection::handleEndOfInput() {
  if (CurrentPhase == Phase::Idle) {
    close();
    return;
  }
  reject(ErrorKind::BadRequest, "The request ended early.");
}

void FrontendConnection::reject(ErrorKind Kind, std::string_view Detail) {
  write(errorResponse(Kind, Detail));
}

void FrontendConnection::reply(CallerId Replied, HttpResponse Response) {
  if (Replied == Caller && CurrentPhase == Phase::Handling)
    return write(std::move(Response));
  auto Later = std::ranges::find(Ahead, Replied, &PipelinedRequest::Caller);
  if (Later != Ahead.end())
    Later->Response = std::move(Response);
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

/// Builds a response without a body. A response to HEAD and a 304 carry the
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

void FrontendConnection::writeRaw(std::string_view Bytes) {
  if (CurrentPhase == Phase::Writing || CurrentPhase == Phase::Closed)
    return;
  beast::error_code Ignored;
  Socket.write_some(asio::buffer(Bytes.data(), Bytes.size()), Ignored);
}

void FrontendConnection::endRaw(std::string_view Bytes) {
  if (CurrentPhase != Phase::Handling)
    return;
  writeRaw(Bytes);
  linger();
}

void FrontendConnection::write(HttpResponse Response) {
  if (Response.Status < 200 || Response.Status > 999)
    Response = errorResponse(ErrorKind::Internal);
  bool MoreInput = !InputEnded || !Unparsed.empty();
  bool HandlerCloses =
      listContains(findHeader(Response.Headers, "Connection"), "close");
  Closing = Closing || HandlerCloses || Owner->draining();
  // The connection closes with the last request that was dispatched.
  bool IsLast = Ahead.empty();
  KeepAlive =
      !IsLast || (KeepAlive && RequestFullyRead && MoreInput && !Closing);
  HeaderList Headers = Response.Headers;
  removeHopByHopFields(Headers);
  if (IsHeadRequest || Response.Status == 204 || Response.Status == 304) {
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
  CurrentPhase = Phase::Writing;
  writeSome();
}

void FrontendConnection::writeSome() {
  beast::error_code Error;
  auto Buffers = Outgoing->prepare(Error);
  if (Error) {
    close();
    return;
  }
  // Limits the time without progress instead of the total time, since a slow
  // client may need long to read a large response.
  startTimer(Owner->settings().BodyTimeout);
  Socket.async_write_some(
      Buffers,
      [Self = shared_from_this()](beast::error_code Failed, std::size_t Bytes) {
        if (Self->CurrentPhase != Phase::Writing)
          return;
        if (Failed) {
          Self->close();
          return;
        }
        Self->Outgoing->consume(Bytes);
        if (Self->Outgoing->is_done())
          Self->responseWritten();
        else
          Self->writeSome();
      });
}

void FrontendConnection::responseWritten() {
  Outgoing.reset();
  Kept = true;
  if (!KeepAlive)
    linger();
  else if (Ahead.empty())
    nextRequest();
  else
    handleNextDispatched();
}

void FrontendConnection::linger() {
  CurrentPhase = Phase::Linger;
  Unparsed.clear();
  RequestParser.reset();
  beast::error_code Error;
  Socket.shutdown(tcp::socket::shutdown_send, Error);
  if (Error || InputEnded) {
    close();
    return;
  }
  startTimer(LingerTimeout);
  read();
}

void FrontendConnection::read() {
  if (ReadPending)
    return;
  ReadPending = true;
  Socket.async_read_some(
      asio::buffer(ReadBuffer),
      [Self = shared_from_this()](beast::error_code Error, std::size_t Bytes) {
        Self->ReadPending = false;
        Self->readDone(Error, Bytes);
      });
}

void FrontendConnection::readDone(beast::error_code Error, std::size_t Bytes) {
  if (CurrentPhase == Phase::Closed)
    return;
  // The end of the input alone does not mean that the client has disconnected.
  InputEnded = InputEnded || Error == asio::error::eof;
  bool Disconnected =
      Error && !(InputEnded && Owner->settings().ServeHalfClosed);
  if (Disconnected || (Error && CurrentPhase == Phase::Linger)) {
    close();
    return;
  }
  if (CurrentPhase == Phase::Linger) {
    read();
    return;
  }
  Unparsed.append(ReadBuffer.data(), Bytes);
  if (AwaitsFirstByte && Bytes > 0) {
    AwaitsFirstByte = false;
    if (CurrentPhase == Phase::Head)
      startTimer(Owner->settings().HeadTimeout);
  }
  process();
}

void FrontendConnection::watchForReset() {
  if (ResetWatchPending)
    return;
  ResetWatchPending = true;
  Socket.async_wait(tcp::socket::wait_error,
                    [Self = shared_from_this()](beast::error_code Error) {
                      Self->ResetWatchPending = false;
                      if (!Error)
                        Self->close();
                    });
}

void FrontendConnection::startTimer(Duration Timeout) {
  Timer.expires_after(Timeout);
  Timer.async_wait([Self = shared_from_this()](beast::error_code Error) {
    if (!Error)
      Self->timedOut();
  });
}

void FrontendConnection::endReading() {
  if (AwaitsFirstByte)
    close();
  else
    reject(ErrorKind::RequestTimeout);
}

void FrontendConnection::timedOut() {
  // A completion handler queued before the timer was restarted runs too early.
  if (Timer.expiry() > asio::steady_timer::clock_type::now())
    return;
  switch (CurrentPhase) {
  case Phase::Head:
  case Phase::Body:
    endReading();
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
