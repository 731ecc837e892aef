// HttpExchangeTest.cpp - Tests of the HTTP client of the store, the log service
// and the operator interface against servers that break off.

#include "HttpExchange.h"
#include "HttpTestSupport.h"

#include <atomic>
#include <functional>
#include <future>
#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;
using std::chrono::seconds;

namespace {

/// Runs exchanges on the test's thread. The server runs a script for each
/// connection in turn, on a second thread.
class HttpExchangeTest : public testing::Test {
protected:
  using Script = std::function<void(RawConnection &, std::size_t)>;

  HttpExchangeTest()
      : Acceptor(Blocking, {boost::asio::ip::address_v4::loopback(), 0}) {
    Exchange = std::make_shared<HttpExchange>(
        Loop, "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()));
  }
  ~HttpExchangeTest() override {
    Exchange->close();
    Loop.restart();
    Loop.poll();
    Stopping = true;
    RawConnection Wake(Acceptor.local_endpoint().port());
    if (Server.joinable())
      Server.join();
  }

  /// Serves that many connections.
  void serve(std::size_t Connections, Script HandleConnection) {
    if (Server.joinable())
      Server.join();
    Server =
        std::thread([this, Connections, Handle = std::move(HandleConnection)] {
          for (std::size_t Number = 0; Number < Connections; ++Number) {
            RawConnection Peer(Acceptor.accept());
            if (Stopping)
              return;
            try {
              Handle(Peer, Number);
            } catch (const boost::system::system_error &) {
              // The client has closed the connection.
            }
          }
        });
  }

  ExchangeResult exchange(Duration Timeout = seconds(30)) {
    HttpExchange::Request Request;
    Request.method(http::verb::get);
    Request.target("/x");
    std::optional<ExchangeResult> Ended;
    Exchange->start(std::move(Request), Timeout,
                    [&](ExchangeResult Result) { Ended = std::move(Result); });
    while (!Ended) {
      Loop.restart();
      Loop.run_one();
    }
    return std::move(*Ended);
  }

  boost::asio::io_context Loop{1};
  boost::asio::io_context Blocking;
  tcp::acceptor Acceptor;
  std::shared_ptr<HttpExchange> Exchange;
  std::atomic<bool> Stopping = false;
  std::thread Server;
};

struct WholeResponse {
  std::string Bytes;
  std::size_t CompleteFrom; ///< Complete at this size, and if larger.
  bool EndsWithConnection;  ///< It has no length: a reset cuts it.
};

std::vector<WholeResponse> wholeResponses() {
  const std::string Status = "HTTP/1.1 200 OK\r\nStore-History: 7\r\n";
  const std::string Close = "Connection: close\r\n";
  const std::string Length = Status + Close + "Content-Length: 3\r\n\r\nyes";
  const std::string Chunks = Status + Close +
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "2\r\nye\r\n1\r\ns\r\n0\r\nX-T: 1\r\n\r\n";
  const std::string Head = Status + Close + "\r\n";
  return {{Length, Length.size(), false},
          {Chunks, Chunks.size(), false},
          {Head + "yes", Head.size(), true}};
}

std::string bodyOf(const ExchangeResult &Result) {
  return Result ? Result->body() : "no response";
}

const std::string OkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

const std::string OwnResponse =
    "HTTP/1.1 503 Busy\r\nContent-Length: 3\r\n\r\nown";

} // namespace

// A page of the log or of a snapshot that was cut must not count as whole,
// wherever the server stopped.
TEST_F(HttpExchangeTest, ResponseCutAnywhereIsNoResponse) {
  for (const WholeResponse &Tested : wholeResponses()) {
    for (bool Reset : {false, true}) {
      serve(Tested.Bytes.size() + 1,
            [&, Reset](RawConnection &Peer, std::size_t Number) {
              Peer.request();
              Peer.send(Tested.Bytes.substr(0, Number));
              if (Reset) {
                Peer.reset();
                return;
              }
              Peer.finishSending();
              Peer.isClosedByPeer();
            });
      for (std::size_t Cut = 0; Cut <= Tested.Bytes.size(); ++Cut) {
        bool Responded = exchange().has_value();
        bool Complete = Cut >= Tested.CompleteFrom;
        if (Reset)
          EXPECT_TRUE(!Responded || (Complete && !Tested.EndsWithConnection))
              << Tested.Bytes << ", reset at " << Cut;
        else
          EXPECT_EQ(Responded, Complete) << Tested.Bytes << ", cut at " << Cut;
      }
    }
  }
}

// Bytes that follow a response must not become the response to the next
// request: an append would count as done that is not.
TEST_F(HttpExchangeTest, SurplusBytesAreNotTheNextResponse) {
  serve(2, [&](RawConnection &Peer, std::size_t Number) {
    Peer.request();
    Peer.send(Number == 0 ? OkResponse + OkResponse : OwnResponse);
    Peer.request();
  });
  EXPECT_EQ(bodyOf(exchange()), "ok");
  EXPECT_EQ(bodyOf(exchange()), "own");
}

// As above, with bytes that arrive after the response was handled.
TEST_F(HttpExchangeTest, LateSurplusBytesAreNotTheNextResponse) {
  std::promise<void> SendSurplus;
  std::promise<void> SurplusSent;
  serve(2, [&](RawConnection &Peer, std::size_t Number) {
    Peer.request();
    Peer.send(Number == 0 ? OkResponse : OwnResponse);
    if (Number == 0) {
      SendSurplus.get_future().wait();
      Peer.send(OkResponse);
      SurplusSent.set_value();
    }
    Peer.request();
  });
  EXPECT_EQ(bodyOf(exchange()), "ok");
  SendSurplus.set_value();
  SurplusSent.get_future().wait();
  EXPECT_EQ(bodyOf(exchange()), "own");
}

// Guards against CONFIG (issue 38): an answer of the store that took longer
// than its read's timeout, over a full link, was thrown away and requested
// again.
TEST_F(HttpExchangeTest, AResponseThatKeepsArrivingIsNotGivenUp) {
  Exchange->allowTransfer(seconds(30), seconds(60));
  serve(1, [](RawConnection &Peer, std::size_t) {
    Peer.request();
    Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n");
    for (char Byte : {'a', 'n', 's', 'w', 'e', 'r'}) {
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
      Peer.send(std::string(1, Byte));
    }
    Peer.request();
  });
  EXPECT_EQ(bodyOf(exchange(seconds(2))), "answer");
  EXPECT_GT(Exchange->receivedBytes(), 6U);
}

// Guards against a read that never ends, since a server stops in the middle of
// an answer, or sends one byte now and then without end.
TEST_F(HttpExchangeTest, AResponseThatStopsOrNeverEndsIsGivenUp) {
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
  Exchange->allowTransfer(std::chrono::milliseconds(200), seconds(30));
  serve(1, [&](RawConnection &Peer, std::size_t) {
    Peer.request();
    Peer.send(Head);
    Peer.isClosedByPeer();
  });
  EXPECT_EQ(bodyOf(exchange()), "no response");
  Exchange->allowTransfer(seconds(30), seconds(1));
  serve(1, [&](RawConnection &Peer, std::size_t) {
    Peer.request();
    Peer.send(Head);
    for (int I = 0; I < 1000000; ++I) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      Peer.send("x");
    }
  });
  EXPECT_EQ(bodyOf(exchange()), "no response");
}

// With an interim response taken for the response, the next request would get
// the response to this one.
TEST_F(HttpExchangeTest, InterimResponsesAreSkipped) {
  serve(1, [&](RawConnection &Peer, std::size_t) {
    Peer.request();
    Peer.send("HTTP/1.1 103 Early Hints\r\n\r\n" + OkResponse);
    Peer.request();
    Peer.send(OwnResponse);
    Peer.request();
  });
  EXPECT_EQ(bodyOf(exchange()), "ok");
  EXPECT_EQ(bodyOf(exchange()), "own");
}

// A server that sends interim responses without end must not hold an exchange.
TEST_F(HttpExchangeTest, EndlessInterimResponsesFail) {
  serve(1, [&](RawConnection &Peer, std::size_t) {
    Peer.request();
    for (;;)
      Peer.send("HTTP/1.1 103 Early Hints\r\n\r\n");
  });
  EXPECT_EQ(bodyOf(exchange()), "no response");
}
