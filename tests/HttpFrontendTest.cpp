// HttpFrontendTest.cpp - Tests of the HTTP frontend with legacy clients and
// invalid input.

#include "HttpFrontend.h"
#include "HttpTestSupport.h"
#include "figsail/ErrorKind.h"

#include <gtest/gtest.h>
#include <set>

using namespace figsail;
using namespace figsail::test;

static constexpr std::size_t MaxBody = 1000;

namespace {

/// A handler that replies with "METHOD TARGET BODY". Requests to /hold wait for
/// release().
class EchoHandler : public FrontendHandler {
public:
  HeadDecision checkHead(std::string_view /*Method*/,
                         std::string_view Target) override {
    if (Target == "/missing")
      return errorResponse(ErrorKind::NoRoute);
    return ReadBody{MaxBody};
  }

  void requestReceived(CallerId Caller, HttpRequest Request) override {
    LastRequest = Request;
    ++RequestCount;
    if (Request.Target.starts_with("/hold")) {
      Held.emplace_back(Caller, std::move(Request));
      return;
    }
    reply(Caller, Request);
  }

  void clientDisconnected(CallerId Caller) override {
    EXPECT_TRUE(Gone.insert(Caller).second) << "reported twice";
    if (Gone.size() >= ExpectedGone)
      Disconnected.set_value();
  }

  void release() {
    for (auto &[Caller, Request] : std::exchange(Held, {}))
      reply(Caller, Request);
  }

  void reply(CallerId Caller, const HttpRequest &Request) {
    HttpResponse Response{200, {{"X-Kept", "1"}, {"Keep-Alive", "5"}}, {}};
    if (Request.Target.starts_with("/status/"))
      Response.Status =
          static_cast<std::uint32_t>(std::stoul(Request.Target.substr(8)));
    if (Request.Target == "/last")
      Response.Headers.emplace_back("Connection", "close");
    if (Request.Target == "/length")
      Response.Headers.emplace_back("Content-Length", "12345");
    else
      Response.Body =
          Request.Method + " " + Request.Target + " " + Request.Body;
    Frontend->reply(Caller, std::move(Response));
  }

  HttpFrontend *Frontend = nullptr;
  HttpRequest LastRequest;
  std::size_t RequestCount = 0;
  std::vector<std::pair<CallerId, HttpRequest>> Held;
  std::set<CallerId> Gone; ///< Requests whose client has disconnected.
  std::size_t ExpectedGone = 1;
  std::promise<void> Disconnected; ///< Of that many; one more throws.
};

class HttpFrontendTest : public testing::Test {
protected:
  explicit HttpFrontendTest(FrontendSettings Settings = {}) {
    Loop.on([&] {
      Frontend.emplace(Loop.Context, Handler, Settings);
      Handler.Frontend = &*Frontend;
      EXPECT_EQ(Frontend->listen("127.0.0.1:0"), std::nullopt);
      Port = Frontend->port();
    });
  }
  ~HttpFrontendTest() override {
    Loop.on([&] { Frontend.reset(); });
  }

  /// Waits until that many requests wait for release().
  void awaitHeld(std::size_t Count) {
    while (Loop.on([&] { return Handler.Held.size(); }) < Count)
      std::this_thread::yield();
  }
  void release() {
    Loop.on([&] { Handler.release(); });
  }
  std::string lastField(const char *Name) {
    return Loop.on([&] {
      return std::string(findHeader(Handler.LastRequest.Headers, Name));
    });
  }

  EchoHandler Handler;
  std::optional<HttpFrontend> Frontend;
  std::uint16_t Port = 0;
  LoopThread Loop;
};

} // namespace

// Guards against rejecting legacy clients for a missing Host, and against
// connections that stay open while such a client waits for their end.
TEST_F(HttpFrontendTest, Http10WithoutHostIsAnsweredAndClosed) {
  RawConnection Client(Port);
  Client.send("GET /a HTTP/1.0\r\n\r\n");
  Response Answer = Client.response();
  EXPECT_EQ(Answer.version(), 10U);
  EXPECT_EQ(Answer.body(), "GET /a ");
  EXPECT_EQ(Answer[http::field::content_length], "7");
  EXPECT_TRUE(Client.isClosedByPeer());
}

TEST_F(HttpFrontendTest, Http10KeepAliveIsConfirmed) {
  RawConnection Client(Port);
  for (int I = 0; I < 2; ++I) {
    Client.send("GET /a HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n");
    Response Answer = Client.response();
    EXPECT_EQ(Answer.version(), 10U);
    EXPECT_EQ(Answer[http::field::connection], "keep-alive");
  }
}

TEST_F(HttpFrontendTest, Http11KeepsAliveUntilClose) {
  RawConnection Client(Port);
  Client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(Client.response().body(), "GET /a ");
  // Some clients send an extra CRLF after a request.
  Client.send("\r\nGET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  Response Answer = Client.response();
  EXPECT_EQ(Answer.body(), "GET /b ");
  EXPECT_EQ(Answer[http::field::connection], "close");
  EXPECT_TRUE(Client.isClosedByPeer());
}

// Guards against responses out of order, and against loss of requests when the
// read-ahead buffer is full.
TEST_F(HttpFrontendTest, PipelinedRequestsAreAnsweredInOrder) {
  RawConnection Client(Port);
  std::string Pipelined = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
  constexpr int Count = 1000;
  for (int I = 0; I < Count; ++I)
    Pipelined += "POST /" + std::to_string(I) +
                 " HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
  std::thread Sender([&] { Client.send(Pipelined); });
  awaitHeld(1);
  EXPECT_EQ(Loop.on([&] { return Handler.RequestCount; }), 1U);
  release();
  EXPECT_EQ(Client.response().body(), "GET /hold ");
  for (int I = 0; I < Count; ++I)
    ASSERT_EQ(Client.response().body(), "POST /" + std::to_string(I) + " body");
  Sender.join();
}

// A trailer field must not be used like a field that was validated with the
// head.
TEST_F(HttpFrontendTest, ChunkedBodyIsJoinedAndTrailersAreRemoved) {
  RawConnection Client(Port);
  Client.send("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nBooking-Id: 7\r\n\r\n");
  EXPECT_EQ(Client.response().body(), "POST /c abcde");
  EXPECT_EQ(lastField("Booking-Id"), "");
  EXPECT_EQ(lastField("Transfer-Encoding"), "");
}

TEST_F(HttpFrontendTest, RequestSentByteByByteIsRead) {
  RawConnection Client(Port);
  for (char Byte : std::string_view("POST /l HTTP/1.1\r\nHost: h\r\n"
                                    "Content-Length: 5\r\n\r\nabcde"))
    Client.send({&Byte, 1});
  EXPECT_EQ(Client.response().body(), "POST /l abcde");
}

TEST_F(HttpFrontendTest, ContinueIsSentBeforeTheBody) {
  RawConnection Client(Port);
  Client.send("POST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\n\r\n");
  EXPECT_EQ(Client.response().result_int(), 100U);
  Client.send("ok");
  EXPECT_EQ(Client.response().body(), "POST /e ok");
  EXPECT_EQ(lastField("Expect"), "");
}

// A client that received 100 Continue would send a body that the server does
// not read.
TEST_F(HttpFrontendTest, RejectedHeadGetsNoContinue) {
  for (const char *Rest : {"/missing HTTP/1.1\r\nContent-Length: 2\r\n",
                           "/ HTTP/1.1\r\nContent-Length: 1001\r\n"}) {
    RawConnection Client(Port);
    Client.send(std::string("POST ") + Rest +
                "Host: h\r\nExpect: 100-continue\r\n\r\n");
    EXPECT_GE(Client.response().result_int(), 404U);
    EXPECT_TRUE(Client.isClosedByPeer());
  }
}

TEST_F(HttpFrontendTest, HeadResponseHasContentLengthButNoBody) {
  RawConnection Client(Port);
  Client.send("HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n"
              "HEAD /length HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /g HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(Client.response(true)[http::field::content_length], "8");
  EXPECT_EQ(Client.response(true)[http::field::content_length], "12345");
  EXPECT_EQ(Client.response().body(), "GET /g ");
}

TEST_F(HttpFrontendTest, BodilessStatusesHaveNoBody) {
  RawConnection Client(Port);
  Client.send("GET /status/204 HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /status/304 HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /status/150 HTTP/1.1\r\nHost: h\r\n\r\n");
  Response NoContent = Client.response();
  EXPECT_EQ(NoContent.result_int(), 204U);
  EXPECT_EQ(NoContent.count(http::field::content_length), 0U);
  EXPECT_EQ(Client.response().result_int(), 304U);
  // An interim status is not a final response.
  EXPECT_EQ(Client.response().result_int(), 500U);
}

TEST_F(HttpFrontendTest, HalfClosedConnectionIsAnswered) {
  RawConnection Client(Port);
  Client.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  Client.finishSending();
  awaitHeld(1);
  release();
  EXPECT_EQ(Client.response().body(), "GET /hold ");
  EXPECT_EQ(Client.response().body(), "GET /b ");
  EXPECT_TRUE(Client.isClosedByPeer());
}

namespace {

/// A frontend that treats a half-closed connection as disconnected.
class NoHalfClosedFrontendTest : public HttpFrontendTest {
protected:
  NoHalfClosedFrontendTest() : HttpFrontendTest(settings()) {}
  static FrontendSettings settings() {
    FrontendSettings Settings;
    Settings.ServeHalfClosed = false;
    return Settings;
  }
};

} // namespace

// A daemon that was delayed for seconds executed requests of clients that had
// disconnected long before (seen in a test sweep with 300 hosts).
TEST_F(NoHalfClosedFrontendTest, RequestOfADisconnectedClientIsNotHandled) {
  for (bool Reset : {false, true}) {
    std::size_t Before = Loop.on([&] { return Handler.RequestCount; });
    // Runs in the event loop, so that the frontend reads the request and the
    // end of the connection together.
    Loop.on([&] {
      RawConnection Client(Port);
      Client.send("GET /gone HTTP/1.1\r\nHost: h\r\n\r\n");
      if (Reset)
        Client.reset();
    });
    RawConnection Next(Port);
    Next.send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(Next.response().body(), "GET /next ");
    EXPECT_EQ(Loop.on([&] { return Handler.RequestCount; }), Before + 1);
  }
}

TEST_F(NoHalfClosedFrontendTest, PipelinedRequestIsHandled) {
  RawConnection Client(Port);
  Client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(Client.response().body(), "GET /a ");
  EXPECT_EQ(Client.response().body(), "GET /b ");
}

struct PipelinedFrontendTest : HttpFrontendTest {
  PipelinedFrontendTest() : HttpFrontendTest(settings()) {}
  static FrontendSettings settings() {
    FrontendSettings Settings;
    Settings.MaxPipelined = 4;
    return Settings;
  }
  static std::string get(const std::string &Target) {
    return "GET " + Target + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  std::size_t requestCount() {
    return Loop.on([&] { return Handler.RequestCount; });
  }
};

// Guards against requests that wait for the work of the one before them on
// their connection, and against responses out of order.
TEST_F(PipelinedFrontendTest, SafeRequestsAreHandledTogether) {
  RawConnection Client(Port);
  Client.send(get("/hold/1") + get("/b") + "\r\n" + get("/hold/3"));
  awaitHeld(2);
  EXPECT_EQ(requestCount(), 3U);
  release();
  EXPECT_EQ(Client.response().body(), "GET /hold/1 ");
  EXPECT_EQ(Client.response().body(), "GET /b ");
  EXPECT_EQ(Client.response().body(), "GET /hold/3 ");
  Client.send(get("/hold/4"));
  awaitHeld(1);
  Client.send(get("/e"));
  while (requestCount() < 5)
    std::this_thread::yield();
  release();
  EXPECT_EQ(Client.response().body(), "GET /hold/4 ");
  EXPECT_EQ(Client.response().body(), "GET /e ");
}

// Guards against an unsafe request that runs beside a request before or behind
// it, whose effects the client meant to have an order.
TEST_F(PipelinedFrontendTest, AnUnsafeRequestRunsAlone) {
  RawConnection Client(Port);
  Client.send(get("/hold/1") +
              "POST /hold/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx" +
              get("/c"));
  awaitHeld(1);
  EXPECT_EQ(requestCount(), 1U);
  release();
  EXPECT_EQ(Client.response().body(), "GET /hold/1 ");
  awaitHeld(1);
  EXPECT_EQ(requestCount(), 2U);
  release();
  EXPECT_EQ(Client.response().body(), "POST /hold/2 x");
  EXPECT_EQ(Client.response().body(), "GET /c ");
}

// Guards against a connection that is closed before a request that has been
// passed on is answered.
TEST_F(PipelinedFrontendTest, AllDispatchedRequestsAreAnsweredBeforeAClose) {
  RawConnection Client(Port);
  Client.send(get("/hold/1") + get("/last") + get("/hold/3"));
  awaitHeld(2);
  Loop.on([&] { Frontend->drain(); });
  Client.send(get("/late"));
  release();
  EXPECT_EQ(Client.response().body(), "GET /hold/1 ");
  EXPECT_EQ(Client.response().body(), "GET /last ");
  Response Last = Client.response();
  EXPECT_EQ(Last.body(), "GET /hold/3 ");
  EXPECT_EQ(Last[http::field::connection], "close");
  EXPECT_TRUE(Client.isClosedByPeer());
  EXPECT_EQ(requestCount(), 3U);
}

// Guards against memory that a client fills with requests, and against requests
// behind one that closes the connection.
TEST_F(PipelinedFrontendTest, FewRequestsAreHandledAtOnce) {
  RawConnection Client(Port);
  std::string Pipelined;
  for (int I = 0; I < 9; ++I)
    Pipelined += get("/hold/" + std::to_string(I));
  Client.send(Pipelined +
              "GET /end HTTP/1.1\r\nHost: h\r\nConnection: "
              "close\r\n\r\n" +
              get("/behind"));
  for (std::size_t Expected : {4U, 8U, 10U}) {
    awaitHeld(
        std::min<std::size_t>(4, 9 - (Expected == 10 ? 8 : Expected - 4)));
    EXPECT_LE(requestCount(), Expected);
    release();
  }
  for (int I = 0; I < 9; ++I)
    EXPECT_EQ(Client.response().body(), "GET /hold/" + std::to_string(I) + " ");
  EXPECT_EQ(Client.response().body(), "GET /end ");
  EXPECT_TRUE(Client.isClosedByPeer());
  EXPECT_EQ(requestCount(), 10U);
}

// Guards against runs that go on for a client that has left.
TEST_F(PipelinedFrontendTest, ADisconnectEndsAllRequests) {
  RawConnection Client(Port);
  Handler.ExpectedGone = 2;
  Client.send(get("/hold/1") + get("/hold/2"));
  awaitHeld(2);
  Client.reset();
  EXPECT_EQ(
      Handler.Disconnected.get_future().wait_for(std::chrono::seconds(30)),
      std::future_status::ready);
}

TEST_F(HttpFrontendTest, TruncatedRequestIsRejected) {
  for (const char *Partial :
       {"GET / HTTP/1.1\r\nHo", "POST / HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: 5\r\n\r\nab"}) {
    RawConnection Client(Port);
    Client.send(Partial);
    Client.finishSending();
    EXPECT_EQ(Client.response().result_int(), 400U);
  }
  EXPECT_EQ(Loop.on([&] { return Handler.RequestCount; }), 0U);
}

// A request that was cut must not be dispatched, wherever the client stopped:
// its path, fields or body may have been longer.
TEST_F(HttpFrontendTest, RequestCutAnywhereIsNotDispatched) {
  const std::string Post = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string Requests[] = {
      "GET /a?b=1 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n",
      "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
      Post + "Content-Length: 3\r\n\r\nabc",
      Post + "Transfer-Encoding: chunked\r\n\r\n"
             "2\r\nab\r\n1\r\nc\r\n0\r\nX-T: 1\r\n\r\n"};
  for (const std::string &Request : Requests)
    for (std::size_t Cut = 0; Cut < Request.size(); ++Cut) {
      RawConnection Ended(Port);
      Ended.send(Request.substr(0, Cut));
      Ended.finishSending();
      if (Cut > 0) {
        EXPECT_EQ(Ended.response().result_int(), 400U)
            << Request.substr(0, Cut);
      }
      EXPECT_TRUE(Ended.isClosedByPeer());
      RawConnection Reset(Port);
      Reset.send(Request.substr(0, Cut));
      Reset.reset();
    }
  while (Loop.on([&] { return Frontend->busyConnections(); }) > 0)
    std::this_thread::yield();
  EXPECT_EQ(Loop.on([&] { return Handler.RequestCount; }), 0U);
}

// The client must be able to tell that a response was cut: it has a length, and
// the connection ends.
TEST_F(HttpFrontendTest, ResponseThatIsCutIsNotFramedAsComplete) {
  RawConnection Client(Port);
  Client.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  awaitHeld(1);
  Loop.on([&] {
    // More than one write passes to the kernel.
    HttpResponse Large{200, {}, std::string(8'000'000, 'x')};
    Frontend->reply(Handler.Held.front().first, std::move(Large));
    Frontend.reset();
  });
  try {
    Client.response();
    ADD_FAILURE() << "the response must not be complete";
  } catch (const boost::system::system_error &Error) {
    EXPECT_EQ(Error.code(), http::error::partial_message);
  }
}

TEST_F(HttpFrontendTest, HopByHopFieldsAreRemoved) {
  RawConnection Client(Port);
  Client.send("GET http://h/a?b HTTP/1.1\r\nHost: h\r\nConnection: X-Hop, "
              "keep-alive\r\nX-Hop: 1\r\nTE: trailers\r\nX-End: 2\r\n"
              "Proxy-Connection: keep-alive\r\n\r\n");
  Response Answer = Client.response();
  EXPECT_EQ(Answer.body(), "GET /a?b ");
  EXPECT_EQ(Answer["X-Kept"], "1");
  EXPECT_EQ(Answer.count(http::field::keep_alive), 0U);
  for (const char *Name : {"X-Hop", "Connection", "TE", "Proxy-Connection"})
    EXPECT_EQ(lastField(Name), "") << Name;
  EXPECT_EQ(lastField("X-End"), "2");
}

// A reset while the body is unread would discard the response.
TEST_F(HttpFrontendTest, ResponseToRejectedHeadArrivesDespiteUnreadBody) {
  RawConnection Client(Port);
  constexpr std::size_t Length = std::size_t{4} << 20;
  Client.send("POST /missing HTTP/1.1\r\nHost: h\r\nContent-Length: " +
              std::to_string(Length) + "\r\n\r\n");
  Client.sendIgnoringErrors(std::string(Length, 'x'));
  EXPECT_EQ(Client.response()["Figsail-Error"], "no-route");
  EXPECT_EQ(Loop.on([&] { return Handler.RequestCount; }), 0U);
}

TEST_F(HttpFrontendTest, ResetIsReportedOnceAndLateReplyIsIgnored) {
  for (bool FullReadAhead : {false, true}) {
    Handler.Disconnected = std::promise<void>();
    RawConnection Client(Port);
    Client.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    awaitHeld(1);
    if (FullReadAhead)
      Client.send(std::string(std::size_t{1} << 15, 'x'));
    Client.reset();
    Handler.Disconnected.get_future().wait();
    release();
    EXPECT_EQ(Loop.on([&] { return Frontend->busyConnections(); }), 0U);
  }
}

TEST_F(HttpFrontendTest, DrainFinishesRequestsAndClosesIdleConnections) {
  RawConnection Idle(Port);
  RawConnection Busy(Port);
  RawConnection Partial(Port);
  Idle.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  Idle.response();
  Busy.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  Partial.send("GET /p HTTP/1.1\r\n");
  awaitHeld(1);
  Loop.on([&] { Frontend->drain(); });
  EXPECT_TRUE(Idle.isClosedByPeer());
  Partial.send("Host: h\r\n\r\n");
  EXPECT_EQ(Partial.response()[http::field::connection], "close");
  release();
  EXPECT_EQ(Busy.response().body(), "GET /hold ");
  EXPECT_TRUE(Busy.isClosedByPeer());
  EXPECT_EQ(Loop.on([&] { return Frontend->busyConnections(); }), 0U);
  EXPECT_ANY_THROW(RawConnection(Port).response());
}

// Guards against requests that are dispatched when nothing can answer them any
// more: at its end a process reads no further requests, and says so.
TEST_F(HttpFrontendTest, TheEndAnswersRequestsThatAreBeingRead) {
  RawConnection Head(Port);
  RawConnection Body(Port);
  RawConnection Silent(Port);
  RawConnection Busy(Port);
  Busy.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
            "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  Head.send("GET /p HTTP/1.1\r\n");
  Body.send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
  awaitHeld(1);
  auto Start = std::chrono::steady_clock::now();
  Loop.on([&] {
    Frontend->drain();
    Frontend->refuseUnread();
  });
  EXPECT_EQ(Head.response().result_int(), 408U);
  EXPECT_TRUE(Head.isClosedByPeer());
  EXPECT_EQ(Body.response().result_int(), 408U);
  EXPECT_TRUE(Silent.isClosedByPeer());
  EXPECT_LT(std::chrono::steady_clock::now() - Start, std::chrono::seconds(5))
      << "the process does not wait for the time limit of a head";
  release();
  EXPECT_EQ(Busy.response().body(), "GET /hold ")
      << "what was dispatched is still answered";
  EXPECT_TRUE(Busy.isClosedByPeer());
  EXPECT_EQ(Loop.on([&] { return Handler.RequestCount; }), 1U);
}

// Guards against late requests that look like those that arrived before the
// stop.
TEST_F(HttpFrontendTest, NamesRequestsThatArriveLateOnAKeptConnection) {
  RawConnection Kept(Port);
  RawConnection New(Port);
  Kept.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  Kept.response();
  Kept.send("GET /hold/kept HTTP/1.1\r\n");
  New.send("GET /hold/new HTTP/1.1\r\n");
  while (Loop.on([&] { return Frontend->busyConnections(); }) < 2)
    std::this_thread::yield();
  Loop.on([&] { Frontend->drain(); });
  Kept.send("Host: h\r\n\r\n");
  New.send("Host: h\r\n\r\n");
  awaitHeld(2);
  Loop.on([&] {
    for (const auto &[Caller, Request] : Handler.Held)
      EXPECT_EQ(Frontend->arrivedLate(Caller), Request.Target == "/hold/kept");
  });
  release();
}

// Guards against a client that keeps a connection to a stopping process after a
// refusal, and is refused there again.
TEST_F(HttpFrontendTest, AHandlerMayEndTheConnection) {
  RawConnection Client(Port);
  Client.send("GET /last HTTP/1.1\r\nHost: h\r\n\r\n");
  Response Last = Client.response();
  EXPECT_EQ(Last[http::field::connection], "close");
  EXPECT_EQ(Last.count(http::field::connection), 1U);
  EXPECT_TRUE(Client.isClosedByPeer());
}

namespace {

/// Input that must be rejected, with the expected error.
struct BadInput {
  const char *Name;
  std::string Bytes;
  unsigned Status;
  const char *Error;
};

class BadInputTest : public HttpFrontendTest,
                     public testing::WithParamInterface<BadInput> {};

} // namespace

// Each kind of invalid input is rejected and closes its own connection. It does
// not affect a partially sent request on another connection.
TEST_P(BadInputTest, IsRejectedWithoutAffectingOtherConnections) {
  RawConnection Other(Port);
  Other.send("POST /other HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
  RawConnection Client(Port);
  // A server that interprets the framing differently would handle the bytes
  // that follow as a separate request.
  Client.send(GetParam().Bytes);
  Client.sendIgnoringErrors("GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
  Response Answer = Client.response();
  EXPECT_EQ(Answer.result_int(), GetParam().Status);
  EXPECT_EQ(Answer["Figsail-Error"], GetParam().Error);
  EXPECT_EQ(Answer["Figsail-Run"], "no");
  EXPECT_EQ(Answer[http::field::connection], "close");
  EXPECT_TRUE(Client.isClosedByPeer());
  EXPECT_EQ(Loop.on([&] { return Handler.RequestCount; }), 0U);
  Other.send("cd");
  EXPECT_EQ(Other.response().body(), "POST /other abcd");
}

static std::string post(const std::string &Fields, const std::string &Body) {
  return "POST / HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n" + Body;
}

static const char *const Ambiguous = "ambiguous-framing";
static const char *const Bad = "bad-request";

INSTANTIATE_TEST_SUITE_P(
    Kinds, BadInputTest,
    testing::Values(
        BadInput{"LengthAndChunked",
                 post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                      "0\r\n\r\n"),
                 400, Ambiguous},
        BadInput{"ChunkedAndLength",
                 post("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
                      "0\r\n\r\n"),
                 400, Ambiguous},
        BadInput{"TwoLengths",
                 post("Content-Length: 3\r\nContent-Length: 4\r\n", "abc"), 400,
                 Ambiguous},
        BadInput{"SameLengthTwice",
                 post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), 400,
                 Ambiguous},
        BadInput{"ListOfLengths", post("Content-Length: 3, 3\r\n", "abc"), 400,
                 Ambiguous},
        BadInput{"NegativeLength", post("Content-Length: -3\r\n", "abc"), 400,
                 Ambiguous},
        BadInput{"SignedLength", post("Content-Length: +3\r\n", "abc"), 400,
                 Ambiguous},
        BadInput{"HugeLength",
                 post("Content-Length: 99999999999999999999\r\n", ""), 400,
                 Ambiguous},
        BadInput{"EmptyLength", post("Content-Length:\r\n", ""), 400,
                 Ambiguous},
        BadInput{"GzipCoding", post("Transfer-Encoding: gzip\r\n", ""), 400,
                 Ambiguous},
        BadInput{"GzipThenChunked",
                 post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400,
                 Ambiguous},
        BadInput{"ChunkedTwice",
                 post("Transfer-Encoding: chunked\r\n"
                      "Transfer-Encoding: chunked\r\n",
                      "0\r\n\r\n"),
                 400, Ambiguous},
        BadInput{"EmptyCoding",
                 post("Transfer-Encoding:\r\nTransfer-Encoding: chunked\r\n",
                      "0\r\n\r\n"),
                 400, Ambiguous},
        BadInput{"ChunkedInHttp10",
                 "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\n\r\n",
                 400, Ambiguous},
        BadInput{"FoldedField", post("X-A: 1\r\n 2\r\n", ""), 400, Bad},
        BadInput{"BareCarriageReturn", post("X-A: 1\r2\r\n", ""), 400, Bad},
        BadInput{"BareLineFeed", post("X-A: 1\nX-B: 2\r\n", ""), 400, Bad},
        BadInput{"ControlCharacter", post("X-A: 1\x01\r\n", ""), 400, Bad},
        BadInput{"NulCharacter", post(std::string("X-A: 1\0\r\n", 9), ""), 400,
                 Bad},
        BadInput{"SpaceBeforeColon", post("Content-Length : 3\r\n", "abc"), 400,
                 Bad},
        BadInput{"NoColon", post("X-A\r\n", ""), 400, Bad},
        BadInput{"NoHostInHttp11", "GET / HTTP/1.1\r\n\r\n", 400, Bad},
        BadInput{"TwoHosts", post("Host: i\r\n", ""), 400, Bad},
        BadInput{"NoVersion", "GET /\r\n\r\n", 400, Bad},
        BadInput{"OtherVersion", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 400, Bad},
        BadInput{"TlsHandshake", "\x16\x03\x01\x02", 400, Bad},
        BadInput{"BadChunkSize",
                 post("Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n"), 400,
                 Bad},
        BadInput{"ChunkWithoutEnd",
                 post("Transfer-Encoding: chunked\r\n", "3\r\nabcdef\r\n"), 400,
                 Bad},
        BadInput{"EndlessChunkExtension",
                 post("Transfer-Encoding: chunked\r\n",
                      "3;" + std::string(100000, 'x')),
                 431, "head-too-large"},
        BadInput{"HugeField", post("X-A: " + std::string(20000, 'x'), ""), 431,
                 "head-too-large"},
        BadInput{"HugeTarget", "GET /" + std::string(20000, 'x'), 431,
                 "head-too-large"},
        BadInput{"LengthBeyondMaxBody",
                 post("Content-Length: 1001\r\n", std::string(1001, 'x')), 413,
                 "body-too-large"},
        BadInput{"ChunksBeyondMaxBody",
                 post("Transfer-Encoding: chunked\r\n",
                      "3e8\r\n" + std::string(1000, 'x') + "\r\n1\r\nx\r\n"),
                 413, "body-too-large"},
        BadInput{"Connect", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 501,
                 "method-not-supported"},
        BadInput{"Upgrade",
                 post("Connection: upgrade\r\nUpgrade: websocket\r\n", ""), 501,
                 "method-not-supported"},
        BadInput{"OtherExpectation", post("Expect: magic\r\n", ""), 417,
                 "expectation-failed"}),
    [](const auto &Info) { return std::string(Info.param.Name); });

namespace {

class SlowSenderTest : public HttpFrontendTest {
protected:
  SlowSenderTest() : HttpFrontendTest(settings()) {}
  static FrontendSettings settings() {
    FrontendSettings Settings;
    Settings.HeadTimeout = std::chrono::milliseconds(20);
    Settings.BodyTimeout = std::chrono::milliseconds(20);
    return Settings;
  }
};

class OneConnectionTest : public HttpFrontendTest {
protected:
  OneConnectionTest() : HttpFrontendTest(settings()) {}
  static FrontendSettings settings() {
    FrontendSettings Settings;
    Settings.MaxConnections = 1;
    return Settings;
  }
};

} // namespace

// Clients that never finish a request would occupy connections forever.
TEST_F(SlowSenderTest, UnfinishedRequestTimesOut) {
  for (const char *Partial : {"GET / HT", "POST / HTTP/1.1\r\nHost: h\r\n"
                                          "Content-Length: 5\r\n\r\nab"}) {
    RawConnection Client(Port);
    Client.send(Partial);
    Response Answer = Client.response();
    EXPECT_EQ(Answer.result_int(), 408U);
    EXPECT_EQ(Answer["Figsail-Run"], "no");
    EXPECT_TRUE(Client.isClosedByPeer());
  }
}

TEST_F(OneConnectionTest, FurtherConnectionsWaitUntilOneCloses) {
  RawConnection First(Port);
  First.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  awaitHeld(1);
  RawConnection Second(Port);
  Second.send("GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(Loop.on([&] { return Handler.RequestCount; }), 1U);
  release();
  EXPECT_EQ(First.response().body(), "GET /hold ");
  First.close();
  EXPECT_EQ(Second.response().body(), "GET /b ");
}
