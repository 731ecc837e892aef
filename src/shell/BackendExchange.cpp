// BackendExchange.cpp - HTTP exchange of one request and response with the
// backend server.

#include "BackendExchange.h"
#include "HttpFieldFunctions.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace figsail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Largest response head, in bytes. Larger ones count as malformed.
static constexpr std::uint32_t MaxResponseHead = 64 * 1024;

// Limit on bytes that are read but not yet parsed: a head, or the size line of
// a chunk.
static constexpr std::size_t MaxUnparsed = std::size_t{128} * 1024;

// Limit on interim responses and responses to other requests before the
// response to this one.
static constexpr unsigned MaxSkippedResponses = 16;

// Refusals have a status from this one.
static constexpr unsigned FirstErrorStatus = 400;

// Bounds of the status codes that HTTP defines (RFC 9110, section 15). The
// parser accepts any three digits.
static constexpr unsigned FirstStatus = 100;
static constexpr unsigned LastStatus = 599;

// Bytes of a request that LastBytesDelay holds back. Fewer than the end of a
// head, so that they are part of the head if there is no body.
static constexpr std::size_t LateBytes = 2;

static constexpr std::string_view DeadlineField = "Figsail-Deadline-Ms";

BackendExchange::Message backendMessage(HttpRequest Request,
                                        const std::string &Host) {
  BackendExchange::Message Message;
  Message.version(11);
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  removeHopByHopFields(Request.Headers);
  for (const auto &[Name, Value] : Request.Headers)
    Message.insert(Name, Value);
  if (Message.count(http::field::host) == 0)
    Message.set(http::field::host, Host);
  bool MayHaveBody = Message.method() != http::verb::get &&
                     Message.method() != http::verb::head;
  if (MayHaveBody || !Request.Body.empty())
    Message.content_length(Request.Body.size());
  Message.body() = std::move(Request.Body);
  return Message;
}

void BackendFields::setDeadline(Message &Request, Duration Left) const {
  auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(Left);
  auto Rounded = std::max<std::chrono::milliseconds::rep>(1, Millis.count());
  Request.set(DeadlineField, std::to_string(Rounded));
}

std::string_view rejectionName(RejectionReason Reason) {
  switch (Reason) {
  case RejectionReason::OtherRequest:
    return "other-request";
  case RejectionReason::Unusable:
    return "unusable";
  case RejectionReason::Surplus:
    return "surplus";
  }
  return "unknown";
}

ResponseMatch BackendFields::match(const Message &,
                                   const HttpResponse &) const {
  return ResponseMatch::SameRequest;
}

bool BackendFields::mayReuseAfter(const Message &,
                                  const HttpResponse &Response) const {
  return Response.Status < FirstErrorStatus;
}

BackendExchange::BackendExchange(std::shared_ptr<asio::ip::tcp::socket> Socket,
                                 std::shared_ptr<const Message> Request,
                                 std::size_t MaxResponseBody,
                                 const BackendFields &Fields,
                                 std::shared_ptr<ResponseMemoryBudget> Memory,
                                 RejectionHandler OnRejection, EndHandler OnEnd)
    : Socket(std::move(Socket)), Request(std::move(Request)),
      MaxResponseBody(MaxResponseBody), Fields(Fields),
      Memory(std::move(Memory)), OnRejection(std::move(OnRejection)),
      OnEnd(std::move(OnEnd)), Buffer(MaxUnparsed) {}

BackendExchange::~BackendExchange() { Memory->release(ReservedBytes); }

void BackendExchange::start(Duration LastBytesDelay) {
  if (LastBytesDelay.count() > 0)
    writeSlowly(LastBytesDelay);
  else
    http::async_write(*Socket, *Request,
                      [Self = shared_from_this()](beast::error_code Error,
                                                  std::size_t Bytes) {
                        Self->writeDone(Error, Bytes);
                      });
  readHead();
}

/// Writes the request but for its last bytes, which writeLast() writes after
/// the delay.
void BackendExchange::writeSlowly(Duration LastBytesDelay) {
  std::ostringstream Text;
  Text << *Request;
  auto Whole = std::make_shared<const std::string>(std::move(Text).str());
  auto Timer = std::make_shared<asio::steady_timer>(Socket->get_executor());
  asio::async_write(
      *Socket, asio::buffer(Whole->data(), Whole->size() - LateBytes),
      [Self = shared_from_this(), Whole, Timer,
       LastBytesDelay](beast::error_code Error, std::size_t Bytes) {
        if (Error) {
          Self->writeDone(Error, Bytes);
          return;
        }
        Timer->expires_after(LastBytesDelay);
        Timer->async_wait([Self, Whole, Timer](beast::error_code) {
          Self->writeLast(Whole);
        });
      });
}

void BackendExchange::writeLast(
    const std::shared_ptr<const std::string> &Whole) {
  if (!OnEnd)
    return;
  const char *Last = Whole->data() + Whole->size() - LateBytes;
  asio::async_write(
      *Socket, asio::buffer(Last, LateBytes),
      [Self = shared_from_this(), Whole](beast::error_code Error, std::size_t) {
        Self->writeDone(Error, Whole->size());
      });
}

void BackendExchange::writeDone(beast::error_code Error, std::size_t Bytes) {
  if (!OnEnd)
    return;
  if (!Error) {
    RequestWritten = true;
    return;
  }
  if (Bytes == 0) {
    end(BackendError::NotSent, false);
    return;
  }
  // Once bytes were written, the result of the read counts: the backend server
  // may have responded early and closed the connection. A socket reports an
  // error only once, and this write has taken it, so that the read will see an
  // end in order. It is one only if the server had ended its side before.
  EndIsError = Error != asio::error::broken_pipe;
}

/// Skips an interim response or a response to another request, and reads the
/// next one.
void BackendExchange::skipResponse() {
  if (++SkippedResponses > MaxSkippedResponses)
    end(BackendError::Malformed, false);
  else
    readHead();
}

void BackendExchange::readHead() {
  Response.emplace();
  Response->header_limit(MaxResponseHead);
  Response->body_limit(MaxResponseBody);
  Response->skip(Request->method() == http::verb::head);
  http::async_read_header(
      *Socket, Buffer, *Response,
      [Self = shared_from_this()](beast::error_code Error, std::size_t) {
        Self->headRead(Error);
      });
}

void BackendExchange::headRead(beast::error_code Error) {
  if (!OnEnd)
    return;
  if (Error) {
    readFailed();
    return;
  }
  const auto &Head = Response->get();
  bool ValidStatus =
      Head.result_int() >= FirstStatus && Head.result_int() <= LastStatus;
  // What follows such a head may look like the response and must not be read.
  if (!ValidStatus || holdsAnotherHead(Head)) {
    end(BackendError::Malformed, false);
    return;
  }
  bool Interim = Head.result_int() < 200;
  if (Interim && Head.result() != http::status::switching_protocols) {
    skipResponse();
    return;
  }
  bool BadCoding =
      !hasOnlyChunkedCoding(Head) ||
      (Head.version() < 11 && Head.count(http::field::transfer_encoding) > 0);
  if (Interim || BadCoding) {
    end(BackendError::Malformed, false);
    return;
  }
  Headers = copyFields(Head);
  readBody();
}

/// Reserves memory for the growth of the body. Returns false if the budget is
/// exhausted.
bool BackendExchange::reserveBodyMemory() {
  std::size_t Size = Response->get().body().size();
  if (Size <= ReservedBytes)
    return true;
  if (!Memory->reserve(Size - ReservedBytes))
    return false;
  ReservedBytes = Size;
  return true;
}

void BackendExchange::readBody() {
  if (Response->is_done()) {
    bodyRead({});
    return;
  }
  http::async_read_some(
      *Socket, Buffer, *Response,
      [Self = shared_from_this()](beast::error_code Error, std::size_t) {
        Self->bodyRead(Error);
      });
}

/// Removes hop-by-hop fields. A response without a body keeps Content-Length,
/// which is the length that the body would have.
static void removeConnectionFields(HeaderList &Headers, bool Bodiless) {
  std::string Length(findHeader(Headers, "Content-Length"));
  removeHopByHopFields(Headers);
  if (Bodiless && !Length.empty())
    Headers.emplace_back("Content-Length", std::move(Length));
}

HttpResponse BackendExchange::buildResponse() {
  HttpResponse Whole;
  Whole.Status = Response->get().result_int();
  Whole.Body = std::move(Response->get().body());
  bool Bodiless = Request->method() == http::verb::head || Whole.Status == 304;
  removeConnectionFields(Headers, Bodiless);
  Whole.Headers = std::move(Headers);
  return Whole;
}

void BackendExchange::bodyRead(beast::error_code Error) {
  if (!OnEnd)
    return;
  if (Error) {
    readFailed();
    return;
  }
  if (!reserveBodyMemory()) {
    end(BackendError::Malformed, false);
    return;
  }
  if (!Response->is_done()) {
    readBody();
    return;
  }
  if (EndIsError && Response->need_eof()) {
    readFailed();
    return;
  }
  HttpResponse Whole = buildResponse();
  switch (Fields.match(*Request, Whole)) {
  case ResponseMatch::SameRequest:
    break;
  case ResponseMatch::OtherRequest:
    OnRejection(RejectionReason::OtherRequest);
    skipResponse();
    return;
  case ResponseMatch::Unusable:
    OnRejection(RejectionReason::Unusable);
    end(BackendError::Malformed, false);
    return;
  }
  if (Buffer.size() > 0)
    OnRejection(RejectionReason::Surplus);
  // Bytes after the response belong to no request. They must not be parsed as
  // the response to the next one.
  bool Reusable = RequestWritten && Response->keep_alive() &&
                  Buffer.size() == 0 && Fields.mayReuseAfter(*Request, Whole);
  end(std::move(Whole), Reusable);
}

void BackendExchange::readFailed() {
  bool NothingRead = !Response->got_some() && Buffer.size() == 0;
  end(NothingRead ? BackendError::Broken : BackendError::Malformed, false);
}

void BackendExchange::end(Result Outcome, bool Reusable) {
  EndHandler Handler = std::move(OnEnd);
  OnEnd = nullptr;
  Handler(std::move(Outcome), Reusable);
}

} // namespace figsail
