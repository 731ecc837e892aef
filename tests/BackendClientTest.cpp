// BackendClientTest.cpp - Tests of the backend client against scripted servers.

#include "BackendClient.h"
#include "../standins/BackendStandin.h"
#include "HeaderFields.h"
#include "HttpTestSupport.h"
#include "ScriptedServer.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>

using namespace figsail;
using namespace figsail::test;
using std::chrono::seconds;

namespace {

/// A client whose event loop runs on the test's thread, so that a test controls
/// when the client handles an event.
class BackendClientTest : public testing::Test, public BackendHandler {
protected:
  using Result = std::variant<HttpResponse, BackendError>;

  ~BackendClientTest() override {
    Client.reset();
    poll();
  }

  /// Runs the handlers that are ready.
  void poll() {
    Context.restart();
    Context.poll();
  }

  /// Returns how a scripted server ends this client.
  std::function<void()> endsClient() {
    return [this] { Client.reset(); };
  }

  void connectTo(std::uint16_t Port, BackendSettings Settings = {}) {
    Settings.Address = "127.0.0.1:" + std::to_string(Port);
    Client.emplace(Context, *this, Settings);
  }

  void start(RunId Run, Duration Budget = seconds(30),
             HttpRequest Request = {"GET", "/x", {}, {}}) {
    Client->run(Run, std::move(Request), Budget);
  }

  /// Runs the event loop until a run has ended, and returns its outcome.
  Result awaitOutcome(RunId Run) {
    while (!Outcomes.contains(Run)) {
      Context.restart();
      Context.run_one();
    }
    // A second report for the run would be counted here.
    poll();
    EXPECT_EQ(Outcomes.count(Run), 1U);
    return Outcomes.find(Run)->second;
  }

  Result run(RunId Run, Duration Budget = seconds(30)) {
    start(Run, Budget);
    return awaitOutcome(Run);
  }

  ProbeDone probe() {
    Probe.reset();
    Client->probe();
    while (!Probe) {
      Context.restart();
      Context.run_one();
    }
    return *Probe;
  }

  void backendDone(BackendDone Done) override {
    Outcomes.emplace(Done.Run, std::move(Done.Result));
  }
  void probeDone(ProbeDone Done) override { Probe = Done; }
  void responseRejected(RejectionReason Reason) override {
    Rejections.push_back(Reason);
  }

  boost::asio::io_context Context{1};
  std::optional<BackendClient> Client;
  std::multimap<RunId, Result> Outcomes;
  std::optional<ProbeDone> Probe;
  std::vector<RejectionReason> Rejections;
};

std::string bodyOrError(const std::variant<HttpResponse, BackendError> &End) {
  const auto *Response = std::get_if<HttpResponse>(&End);
  return Response != nullptr ? Response->Body : "no response";
}

std::optional<BackendError>
errorOf(const std::variant<HttpResponse, BackendError> &End) {
  const auto *Error = std::get_if<BackendError>(&End);
  return Error != nullptr ? std::optional(*Error) : std::nullopt;
}

const std::string OkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Responds to each request of a connection with the same bytes.
ScriptedServer::Script answerEveryRequest(std::string Bytes) {
  return [Bytes = std::move(Bytes)](RawConnection &Peer, std::size_t) {
    for (;;) {
      Peer.request();
      Peer.send(Bytes);
    }
  };
}

/// Responds to one request with bytes and closes the connection.
ScriptedServer::Script answerOnce(std::string Bytes) {
  return [Bytes = std::move(Bytes)](RawConnection &Peer, std::size_t) {
    Peer.request();
    Peer.send(Bytes);
    Peer.finishSending();
    Peer.isClosedByPeer();
  };
}

} // namespace

TEST_F(BackendClientTest, RequestCarriesDeadlineHostAndBody) {
  std::promise<http::request<http::string_body>> ReceivedRequest;
  ScriptedServer Server(endsClient(), [&](RawConnection &Peer, std::size_t) {
    ReceivedRequest.set_value(Peer.request());
    Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: 1\r\n"
              "Connection: X-Hop\r\nX-Hop: 1\r\n\r\nok");
  });
  connectTo(Server.port());
  start(1, seconds(30),
        {"POST", "/t?q", {{"X-B", "2"}, {"figsail-deadline-ms", "9"}}, "body"});
  Result End = awaitOutcome(1);
  EXPECT_EQ(std::get<HttpResponse>(End),
            (HttpResponse{200, {{"X-A", "1"}}, "ok"}));
  auto Request = ReceivedRequest.get_future().get();
  EXPECT_EQ(Request.target(), "/t?q");
  EXPECT_EQ(Request.body(), "body");
  EXPECT_EQ(Request["X-B"], "2");
  EXPECT_EQ(Request[http::field::host],
            "127.0.0.1:" + std::to_string(Server.port()));
  EXPECT_EQ(Request.count("Figsail-Deadline-Ms"), 1U);
  unsigned long DeadlineMilliseconds =
      std::stoul(Request["Figsail-Deadline-Ms"]);
  EXPECT_GT(DeadlineMilliseconds, 9U);
  EXPECT_LE(DeadlineMilliseconds, 30000U);
}

TEST_F(BackendClientTest, CompleteResponseOfEachFramingIsReturned) {
  const std::pair<std::string, std::string> Cases[] = {
      {OkResponse, "ok"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "1\r\no\r\n1\r\nk\r\n0\r\nX-Trailer: 1\r\n\r\n",
       "ok"},
      {"HTTP/1.0 200 OK\r\n\r\nto the end", "to the end"},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" +
           OkResponse,
       "ok"},
      {"HTTP/1.1 204 No Content\r\n\r\n", ""},
  };
  for (const auto &[Bytes, Body] : Cases) {
    Outcomes.clear();
    ScriptedServer Server(endsClient(), answerOnce(Bytes));
    connectTo(Server.port());
    Result End = run(1);
    EXPECT_EQ(bodyOrError(End), Body);
    ASSERT_EQ(errorOf(End), std::nullopt);
    EXPECT_TRUE(std::get<HttpResponse>(End).Headers.empty());
  }
}

// A partial, oversized or ambiguous response must never reach a client.
TEST_F(BackendClientTest, PartialOversizedAndAmbiguousResponsesAreMalformed) {
  const std::string StatusLine = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = StatusLine + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Large(101, 'x');
  const std::string Cases[] = {
      StatusLine + "Content-Length: 5\r\n\r\nabcd",
      Chunked + "5\r\nabcd",
      Chunked + "4\r\nabcd\r\n",
      Chunked + "4\r\nabcd\r\n0\r\n",
      StatusLine + "Content-Le",
      StatusLine + "Content-Length: 101\r\n\r\n" + Large,
      Chunked + "65\r\n" + Large + "\r\n0\r\n\r\n",
      "HTTP/1.0 200 OK\r\n\r\n" + Large,
      StatusLine + "X-A: " + std::string(70000, 'x') + "\r\n\r\n",
      StatusLine +
          "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      StatusLine + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
      StatusLine + "Transfer-Encoding: gzip\r\n\r\nabc",
      StatusLine + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
      "no HTTP at all\r\n\r\n",
  };
  for (const std::string &Bytes : Cases) {
    Outcomes.clear();
    ScriptedServer Server(endsClient(), answerOnce(Bytes));
    BackendSettings Settings;
    Settings.MaxResponseBody = 100;
    connectTo(Server.port(), Settings);
    EXPECT_EQ(errorOf(run(1)), BackendError::Malformed) << Bytes.substr(0, 80);
  }
}

// Guards against a faulty server that answers with status 000 (MIXED). It was
// skipped like an interim response: the call waited until its deadline, or what
// followed became its response.
TEST_F(BackendClientTest, AStatusOutsideOfHttpIsMalformed) {
  for (const char *Status : {"000", "001", "099", "600", "999"}) {
    for (const std::string &Rest :
         {std::string("Content-Length: 0\r\n\r\n"),
          "Content-Length: 2\r\n\r\nok" + OkResponse, "\r\n" + OkResponse}) {
      Outcomes.clear();
      ScriptedServer Server(
          endsClient(), [&](RawConnection &Peer, std::size_t) {
            Peer.request();
            Peer.send("HTTP/1.1 " + std::string(Status) + " odd\r\n" + Rest);
            Peer.isClosedByPeer();
          });
      connectTo(Server.port());
      EXPECT_EQ(errorOf(run(1)), BackendError::Malformed)
          << Status << ", then " << Rest;
    }
  }
}

// A response without a length ends with the stream. A reset is not such an end.
TEST_F(BackendClientTest, ResetDoesNotEndAResponseWithoutLength) {
  std::promise<void> Sent;
  std::promise<void> MayReset;
  ScriptedServer Server(endsClient(), [&](RawConnection &Peer, std::size_t) {
    Peer.request();
    Peer.send("HTTP/1.0 200 OK\r\n\r\npart");
    Sent.set_value();
    MayReset.get_future().wait();
    Peer.reset();
  });
  connectTo(Server.port());
  start(1);
  auto SentFuture = Sent.get_future();
  while (SentFuture.wait_for(seconds(0)) != std::future_status::ready)
    poll();
  // Lets the client read the first part before the reset, which would discard
  // it.
  for (int I = 0; I < 100; ++I)
    poll();
  MayReset.set_value();
  EXPECT_EQ(errorOf(awaitOutcome(1)), BackendError::Malformed);
}

namespace {

/// A response as the backend server would send it whole.
struct WholeResponse {
  std::string Description;
  std::string Bytes;
  /// Complete at this size and at every larger one, if the connection then ends
  /// in order.
  std::size_t CompleteFrom;
  bool EndsWithConnection = false; ///< It has no length: a reset cuts it.
  std::string Method = "GET";
};

WholeResponse whole(std::string Description, std::string Bytes,
                    std::string Method = "GET") {
  std::size_t Size = Bytes.size();
  return {std::move(Description), std::move(Bytes), Size, false,
          std::move(Method)};
}

WholeResponse withoutLength(std::string Description, const std::string &Head,
                            const std::string &Body) {
  return {std::move(Description), Head + Body, Head.size(), true, "GET"};
}

const std::string SealedStart = "HTTP/1.1 200 OK\r\nX-Seal: 3e1b.07.5a2\r\n";

/// In each head the fields that identify the response come before those that
/// frame it.
std::vector<WholeResponse> wholeResponses() {
  const std::string NoLength =
      SealedStart + "Server: s\r\nConnection: close\r\n\r\n";
  const std::string Hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  return {
      whole("length", SealedStart + "Content-Length: 3\r\n\r\nyes"),
      whole("length 0", SealedStart + "Content-Length: 0\r\n\r\n"),
      whole("length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"
                            "X-Seal: 3e1b\r\n\r\nabcdefghijkl"),
      whole("chunks and a trailer",
            SealedStart + "Transfer-Encoding: chunked\r\n\r\n"
                          "2\r\nye\r\n1;e=1\r\ns\r\n0\r\nX-T: 1\r\n\r\n"),
      withoutLength("no length", NoLength, "yes"),
      withoutLength("no length, version 1.0", "HTTP/1.0 200 OK\r\n\r\n", "yes"),
      whole("after interim responses", "HTTP/1.1 100 Continue\r\n\r\n" + Hints +
                                           SealedStart +
                                           "Content-Length: 3\r\n\r\nyes"),
      whole("no content", "HTTP/1.1 204 No Content\r\nX-Seal: 3e1b\r\n\r\n"),
      whole("to HEAD", SealedStart + "Content-Length: 3\r\n\r\n", "HEAD"),
      whole("to HEAD, no length", NoLength, "HEAD"),
      whole("folded field", "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n"
                            "Content-Length: 3\r\n\r\nyes"),
  };
}

/// Responds to the connection with number N with the first N bytes. Then ends
/// it, in order or with a reset.
ScriptedServer::Script cutAtConnectionNumber(const std::string &Bytes,
                                             bool Reset) {
  return [=](RawConnection &Peer, std::size_t Number) {
    Peer.request();
    Peer.send(Bytes.substr(0, Number));
    if (Reset) {
      Peer.reset();
      return;
    }
    Peer.finishSending();
    Peer.isClosedByPeer();
  };
}

} // namespace

// A backend server that stops in the middle of a response must not get a
// client a short response that is framed as complete, wherever it stops.
TEST_F(BackendClientTest, ResponseCutAnywhereIsNoResponse) {
  for (const WholeResponse &Tested : wholeResponses()) {
    ScriptedServer Server(endsClient(),
                          cutAtConnectionNumber(Tested.Bytes, false));
    connectTo(Server.port());
    for (std::size_t Cut = 0; Cut <= Tested.Bytes.size(); ++Cut) {
      start(Cut, seconds(30), {Tested.Method, "/x", {}, {}});
      bool Responded = errorOf(awaitOutcome(Cut)) == std::nullopt;
      EXPECT_EQ(Responded, Cut >= Tested.CompleteFrom)
          << Tested.Description << ", cut at " << Cut;
    }
    Outcomes.clear();
  }
}

// As above, with a reset: a response without a length is then never complete.
TEST_F(BackendClientTest, ResponseResetAnywhereIsNoResponse) {
  for (const WholeResponse &Tested : wholeResponses()) {
    ScriptedServer Server(endsClient(),
                          cutAtConnectionNumber(Tested.Bytes, true));
    connectTo(Server.port());
    for (std::size_t Cut = 0; Cut <= Tested.Bytes.size(); ++Cut) {
      start(Cut, seconds(30), {Tested.Method, "/x", {}, {}});
      bool Responded = errorOf(awaitOutcome(Cut)) == std::nullopt;
      bool MayRespond = Cut >= Tested.CompleteFrom &&
                        !(Tested.EndsWithConnection && Tested.Method == "GET");
      EXPECT_TRUE(MayRespond || !Responded)
          << Tested.Description << ", reset at " << Cut;
    }
    Outcomes.clear();
  }
}

// A backend server that stops in the middle of a head and then sends another
// response on the same connection: the status of the first and the length and
// body of the second must not become one response.
TEST_F(BackendClientTest, HeadContinuedByAnotherResponseIsMalformed) {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\nX-A: b\r\n c\r\n"
      "Content-Type: text/plain\r\nContent-Length: 3\r\n\r\n";
  const std::string Seconds[] = {
      "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad",
      "HTTP/1.0 503 \r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
  for (const std::string &Second : Seconds) {
    ScriptedServer Server(endsClient(),
                          [&](RawConnection &Peer, std::size_t Number) {
                            Peer.request();
                            Peer.send(Head.substr(0, Number + 1) + Second);
                            Peer.finishSending();
                            Peer.isClosedByPeer();
                          });
    connectTo(Server.port());
    for (std::size_t Cut = 1; Cut < Head.size(); ++Cut)
      EXPECT_EQ(errorOf(run(Cut)), BackendError::Malformed)
          << "head cut at " << Cut << ": " << Head.substr(0, Cut) << Second;
    Outcomes.clear();
  }
}

TEST_F(BackendClientTest, RefusedConnectionIsReportedAsNotSent) {
  std::uint16_t Unused = 0;
  {
    boost::asio::io_context Other;
    tcp::acceptor Closed(Other, {boost::asio::ip::address_v4::loopback(), 0});
    Unused = Closed.local_endpoint().port();
  }
  connectTo(Unused);
  EXPECT_EQ(errorOf(run(1)), BackendError::NotSent);
  EXPECT_FALSE(probe().Healthy);
}

TEST_F(BackendClientTest, ExpiredBudgetIsReportedAsNotSent) {
  ScriptedServer Server(endsClient(), answerEveryRequest(OkResponse));
  connectTo(Server.port());
  EXPECT_EQ(errorOf(run(1, Duration(0))), BackendError::NotSent);
  EXPECT_EQ(Server.accepted(), 0U);
}

// Once the request may have arrived, NotSent would allow a second execution.
TEST_F(BackendClientTest, CloseAfterTheRequestIsReportedAsBroken) {
  ScriptedServer Server(endsClient(),
                        [](RawConnection &Peer, std::size_t Number) {
                          Peer.request();
                          if (Number == 1)
                            Peer.reset();
                        });
  connectTo(Server.port());
  EXPECT_EQ(errorOf(run(1)), BackendError::Broken);
  EXPECT_EQ(errorOf(run(2)), BackendError::Broken);
}

TEST_F(BackendClientTest, ConnectionIsReusedForTheNextRequest) {
  ScriptedServer Server(endsClient(), answerEveryRequest(OkResponse));
  connectTo(Server.port());
  for (RunId Run = 1; Run <= 5; ++Run)
    EXPECT_EQ(bodyOrError(run(Run)), "ok");
  EXPECT_EQ(Server.accepted(), 1U);
}

// The backend server closes an idle connection just before the next request.
// The client's event loop does not run in between, so only the check before the
// write can detect it.
TEST_F(BackendClientTest, StaleConnectionIsReplaced) {
  std::promise<void> Closed;
  ScriptedServer Server(endsClient(),
                        [&](RawConnection &Peer, std::size_t Number) {
                          Peer.request();
                          Peer.send(OkResponse);
                          if (Number > 0)
                            Peer.request();
                          Peer.close();
                          Closed.set_value();
                        });
  connectTo(Server.port());
  EXPECT_EQ(bodyOrError(run(1)), "ok");
  Closed.get_future().wait();
  Closed = std::promise<void>();
  EXPECT_EQ(bodyOrError(run(2)), "ok");
  EXPECT_EQ(Server.accepted(), 2U);
}

// Bytes that follow a response must not be parsed as the response to another
// request.
TEST_F(BackendClientTest, ExtraBytesAreNotUsedAsTheNextResponse) {
  std::promise<void> SendStray;
  std::promise<void> StraySent;
  ScriptedServer Server(
      endsClient(), [&](RawConnection &Peer, std::size_t Number) {
        Peer.request();
        if (Number == 0) {
          Peer.send(OkResponse + OkResponse);
          Peer.request();
        }
        Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
        if (Number == 1) {
          SendStray.get_future().wait();
          Peer.send(OkResponse);
          StraySent.set_value();
        }
        Peer.request();
      });
  connectTo(Server.port());
  EXPECT_EQ(bodyOrError(run(1)), "ok");
  EXPECT_EQ(bodyOrError(run(2)), "own");
  SendStray.set_value();
  StraySent.get_future().wait();
  EXPECT_EQ(bodyOrError(run(3)), "own");
  EXPECT_EQ(Server.accepted(), 3U);
}

/// Refuses the first request of the first connection, and writes the refusal
/// once more after the next request on it has arrived. Answers all others.
ScriptedServer::Script repeatRefusal(const std::string &Refusal) {
  return [=](RawConnection &Peer, std::size_t Number) {
    Peer.request();
    if (Number == 0) {
      Peer.send(Refusal);
      Peer.request();
      Peer.send(Refusal);
    }
    Peer.send(OkResponse);
    Peer.isClosedByPeer();
  };
}

// Guards against a second copy of a refusal that ends the next request on its
// connection as not run while it runs. Without ids, only the connection tells
// which request a refusal belongs to.
TEST_F(BackendClientTest, ARepeatedRefusalEndsNoOtherRequest) {
  for (const char *Status : {"400", "421", "429", "503", "599"}) {
    Outcomes.clear();
    ScriptedServer Server(endsClient(),
                          repeatRefusal("HTTP/1.1 " + std::string(Status) +
                                        " No\r\nContent-Length: 2\r\n\r\nno"));
    connectTo(Server.port());
    EXPECT_EQ(bodyOrError(run(1)), "no");
    EXPECT_EQ(bodyOrError(run(2)), "ok") << Status;
    EXPECT_EQ(Server.accepted(), 2U) << Status;
  }
}

HttpRequest requestWithAttemptId(const std::string &Id, std::string Body) {
  return {"POST", "/x", {{"Figsail-Attempt-Id", Id}}, std::move(Body)};
}

// Guards against a refusal of an earlier request that ends a later one as not
// run: the copy arrives before the request has been read, in two parts, or
// complete before the response.
TEST_F(BackendClientTest, ARepeatedRefusalWithAnIdIsSkipped) {
  const std::string Refusal = "HTTP/1.1 503 No\r\nContent-Length: 2\r\n"
                              "Figsail-Attempt-Id: first\r\n"
                              "Figsail-Not-Executed: 1\r\n\r\nno";
  const std::string Own = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                          "Figsail-Attempt-Id: second\r\n"
                          "Figsail-Server-Seal: s\r\n\r\nok";
  for (std::size_t Early : {Refusal.size(), Refusal.size() / 2, 0UL}) {
    Outcomes.clear();
    ScriptedServer Server(endsClient(), [&](RawConnection &Peer, std::size_t) {
      Peer.request();
      Peer.send(Refusal);
      EXPECT_FALSE(Peer.isClosedByPeer()) << "reads one byte";
      Peer.send(Refusal.substr(0, Early));
      Peer.request();
      Peer.send(Refusal.substr(Early));
      Peer.send(Own);
      Peer.isClosedByPeer();
    });
    BackendSettings Settings;
    Settings.Fields = std::make_shared<platform::HeaderFields>("till");
    connectTo(Server.port(), Settings);
    start(1, seconds(30), requestWithAttemptId("first", ""));
    EXPECT_EQ(bodyOrError(awaitOutcome(1)), "no");
    const std::string LongBody(std::size_t{900} * 1024, 'x');
    start(2, seconds(30), requestWithAttemptId("second", LongBody));
    EXPECT_EQ(bodyOrError(awaitOutcome(2)), "ok") << Early;
    EXPECT_EQ(Server.accepted(), 1U);
  }
}

/// A convention by which requests and responses carry an id in the field X-Id.
class IdMatchingFields : public BackendFields {
public:
  ResponseMatch match(const Message &Request,
                      const HttpResponse &Response) const override {
    std::string_view Id = findHeader(Response.Headers, "X-Id");
    if (Id.empty())
      return ResponseMatch::Unusable;
    return Id == Request["X-Id"] ? ResponseMatch::SameRequest
                                 : ResponseMatch::OtherRequest;
  }
};

std::string responseWithId(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\nX-Id: " + Id + "\r\n\r\n" + Body;
}

// A second response to an earlier request may arrive before the response to the
// current one. It must not be returned.
TEST_F(BackendClientTest, ResponseToAnotherRequestIsSkipped) {
  ScriptedServer Server(endsClient(), [](RawConnection &Peer, std::size_t) {
    Peer.request();
    Peer.send(responseWithId("6", "foreign"));
    Peer.send(responseWithId("7", "own"));
    Peer.isClosedByPeer();
  });
  BackendSettings Settings;
  Settings.Fields = std::make_shared<IdMatchingFields>();
  connectTo(Server.port(), Settings);
  start(1, seconds(30), {"GET", "/x", {{"X-Id", "7"}}, {}});
  EXPECT_EQ(bodyOrError(awaitOutcome(1)), "own");
}

// Guards against a faulty server that only its clients can tell from others.
TEST_F(BackendClientTest, EveryForeignResponseIsReportedWithAReason) {
  using enum RejectionReason;
  std::promise<void> StraySent;
  ScriptedServer Server(endsClient(),
                        [&](RawConnection &Peer, std::size_t Number) {
                          Peer.request();
                          if (Number == 0)
                            Peer.send(responseWithId("6", "foreign") +
                                      responseWithId("7", "own") + OkResponse);
                          if (Number == 1) {
                            Peer.send(responseWithId("7", "own"));
                            Peer.send(OkResponse);
                            StraySent.set_value();
                          }
                          if (Number == 2)
                            Peer.send(OkResponse);
                          Peer.isClosedByPeer();
                        });
  BackendSettings Settings;
  Settings.Fields = std::make_shared<IdMatchingFields>();
  connectTo(Server.port(), Settings);
  for (RunId Run = 1; Run <= 3; ++Run) {
    start(Run, seconds(30), {"GET", "/x", {{"X-Id", "7"}}, {}});
    awaitOutcome(Run);
    if (Run == 2)
      StraySent.get_future().wait();
  }
  EXPECT_EQ(Rejections,
            (std::vector{OtherRequest, Surplus, Surplus, Unusable}));
  EXPECT_EQ(errorOf(Outcomes.find(3)->second), BackendError::Malformed);
}

TEST_F(BackendClientTest, ResponseWithoutIdIsMalformed) {
  ScriptedServer Server(endsClient(), answerOnce(OkResponse));
  BackendSettings Settings;
  Settings.Fields = std::make_shared<IdMatchingFields>();
  connectTo(Server.port(), Settings);
  start(1, seconds(30), {"GET", "/x", {{"X-Id", "7"}}, {}});
  EXPECT_EQ(errorOf(awaitOutcome(1)), BackendError::Malformed);
}

/// Responds on the first connection with a head and then the same bytes until
/// the client closes it, and on later ones with OkResponse.
ScriptedServer::Script answerWithoutEnd(const std::string &Head,
                                        const std::string &Bytes,
                                        std::atomic<std::size_t> &Sent) {
  return [=, &Sent](RawConnection &Peer, std::size_t Number) {
    Peer.request();
    if (Number > 0) {
      Peer.send(OkResponse);
      Peer.isClosedByPeer();
      return;
    }
    Peer.send(Head);
    for (;;) {
      Peer.send(Bytes);
      Sent += Bytes.size();
    }
  };
}

// A faulty server sends bytes that never complete a response, until the client
// closes the connection. The run must end without waiting for the deadline, and
// the next run must succeed.
TEST_F(BackendClientTest, UnboundedInputTakesBoundedTimeAndMemory) {
  struct Case {
    std::string Description;
    std::string Head;
    std::string Bytes;
  };
  const std::string Block(8192, 'x');
  const std::vector<Case> Cases{
      {"garbage", "", Block},
      {"a head", "HTTP/1.1 200 OK\r\nX-A: ", Block},
      {"fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", Block},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "2000\r\n" + Block + "\r\n"},
      {"a chunk extension",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", Block},
      {"a trailer",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ",
       Block},
      {"empty lines", "", "\r\n\r\n"}};
  for (const Case &Tested : Cases) {
    std::atomic<std::size_t> Sent = 0;
    ScriptedServer Server(endsClient(),
                          answerWithoutEnd(Tested.Head, Tested.Bytes, Sent));
    connectTo(Server.port());
    EXPECT_EQ(errorOf(run(1)), BackendError::Malformed) << Tested.Description;
    EXPECT_LT(Sent, std::size_t{32} * 1024 * 1024) << Tested.Description;
    EXPECT_EQ(bodyOrError(run(2)), "ok") << Tested.Description;
    Outcomes.clear();
  }
}

TEST_F(BackendClientTest, UnboundedResponsesToOtherRequestsAreMalformed) {
  std::atomic<std::size_t> Sent = 0;
  ScriptedServer Server(
      endsClient(), answerWithoutEnd("", responseWithId("6", "foreign"), Sent));
  BackendSettings Settings;
  Settings.Fields = std::make_shared<IdMatchingFields>();
  connectTo(Server.port(), Settings);
  start(1, seconds(30), {"GET", "/x", {{"X-Id", "7"}}, {}});
  EXPECT_EQ(errorOf(awaitOutcome(1)), BackendError::Malformed);
}

// Ten endless bodies of 8 MiB each would use half of a host's memory.
TEST_F(BackendClientTest, ResponseBodiesShareOneMemoryLimit) {
  ScriptedServer Server(endsClient(), [](RawConnection &Peer, std::size_t) {
    Peer.request();
    Peer.send("HTTP/1.1 200 OK\r\n\r\n" + std::string(30000, 'x'));
    Peer.isClosedByPeer(); // Keeps the connection open.
  });
  BackendSettings Settings;
  Settings.MaxResponseMemory = 100000;
  connectTo(Server.port(), Settings);
  for (RunId Run = 1; Run <= 4; ++Run)
    start(Run);
  while (Outcomes.empty()) {
    Context.restart();
    Context.run_one();
  }
  EXPECT_EQ(Outcomes.size(), 1U) << "the run that exceeded the memory limit";
  EXPECT_EQ(errorOf(Outcomes.begin()->second), BackendError::Malformed);
  for (RunId Run = 1; Run <= 4; ++Run)
    Client->cancel(Run);
  poll();
}

TEST_F(BackendClientTest, TimeoutAndCancelCloseTheConnection) {
  std::promise<void> Arrived;
  std::promise<void> Ended[2];
  ScriptedServer Server(endsClient(),
                        [&](RawConnection &Peer, std::size_t Number) {
                          Peer.request();
                          if (Number == 1)
                            Arrived.set_value();
                          if (Peer.isClosedByPeer())
                            Ended[Number].set_value();
                        });
  connectTo(Server.port());
  EXPECT_EQ(errorOf(run(1, std::chrono::milliseconds(20))),
            BackendError::TimedOut);
  Ended[0].get_future().wait();
  start(2);
  auto ArrivedFuture = Arrived.get_future();
  while (ArrivedFuture.wait_for(seconds(0)) != std::future_status::ready)
    poll();
  Client->cancel(2);
  Client->cancel(2);
  EXPECT_EQ(errorOf(awaitOutcome(2)), BackendError::Cancelled);
  Ended[1].get_future().wait();
}

TEST_F(BackendClientTest, ConnectionCountStaysWithinTheLimit) {
  ScriptedServer Server(endsClient(), answerEveryRequest(OkResponse));
  BackendSettings Settings;
  Settings.MaxConnections = 2;
  connectTo(Server.port(), Settings);
  for (RunId Run = 1; Run <= 20; ++Run)
    start(Run);
  for (RunId Run = 1; Run <= 20; ++Run)
    EXPECT_EQ(bodyOrError(awaitOutcome(Run)), "ok");
  EXPECT_LE(Server.accepted(), 2U);
}

TEST_F(BackendClientTest, TimeoutWhileWaitingForAConnectionIsNotSent) {
  ScriptedServer Server(endsClient(), [](RawConnection &Peer, std::size_t) {
    Peer.request();
    Peer.isClosedByPeer();
  });
  BackendSettings Settings;
  Settings.MaxConnections = 1;
  connectTo(Server.port(), Settings);
  start(1);
  EXPECT_EQ(errorOf(run(2, std::chrono::milliseconds(20))),
            BackendError::NotSent);
  Client->cancel(1);
  EXPECT_EQ(errorOf(awaitOutcome(1)), BackendError::Cancelled);
}

TEST_F(BackendClientTest, HeadResponseKeepsContentLength) {
  ScriptedServer Server(
      endsClient(),
      answerEveryRequest("HTTP/1.1 200 OK\r\nContent-Length: 12345\r\n\r\n"));
  connectTo(Server.port());
  for (RunId Run = 1; Run <= 2; ++Run) {
    start(Run, seconds(30), {"HEAD", "/x", {}, {}});
    Result End = awaitOutcome(Run);
    EXPECT_EQ(std::get<HttpResponse>(End),
              (HttpResponse{200, {{"Content-Length", "12345"}}, ""}));
  }
  EXPECT_EQ(Server.accepted(), 1U);
}

TEST_F(BackendClientTest, ProbeDerivesHealthFromTheStatus) {
  ScriptedServer Server(endsClient(), [](RawConnection &Peer, std::size_t) {
    EXPECT_EQ(Peer.request().target(), "/health");
    Peer.send(OkResponse);
    Peer.request();
    Peer.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  });
  connectTo(Server.port());
  EXPECT_TRUE(probe().Healthy);
  EXPECT_FALSE(probe().Healthy);
}

// Guards against a repeated refusal that ends the next request as not run, with
// the stand-in of a backend server: the request runs and must get its response.
TEST_F(BackendClientTest, ARequestThatRunsIsNotEndedByARepeatedRefusal) {
  LoopThread Loop;
  BackendStandinSettings Played;
  Played.ServiceTime = std::chrono::milliseconds(200);
  RunRecorder Recorder;
  std::optional<BackendStandin> Server;
  std::uint16_t Port = Loop.on([&] {
    Server.emplace(Loop.Context, Played, Recorder);
    EXPECT_EQ(Server->listen("127.0.0.1:0"), std::nullopt);
    return Server->port();
  });
  auto Control = [&](const std::string &Query) {
    RawConnection Operator(Port);
    Operator.send("POST /_control?" + Query +
                  " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    Operator.response();
  };
  connectTo(Port);
  Control("drain=1&repeat_refusal=50");
  EXPECT_EQ(std::get<HttpResponse>(run(1)).Status, 503U);
  Control("drain=0");
  start(2, seconds(30), {"GET", "/x", {{"X-Request-Id", "a"}}, {}});
  Result End = awaitOutcome(2);
  EXPECT_EQ(std::get<HttpResponse>(End).Status, 200U);
  EXPECT_EQ(Loop.on([&] { return Recorder.text(); }), "a 1 2 - -\n");
  Client.reset();
  Loop.on([&] { Server.reset(); });
}
