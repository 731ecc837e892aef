// LoadStandinTest.cpp - Tests that the simulator of clients plays clients of a
// stopping server and tells apart how their requests ended.

#include "LoadStandin.h"
#include "BackendStandin.h"
#include "HttpTestSupport.h"

#include <gtest/gtest.h>
#include <sstream>

using namespace figsail;
using namespace figsail::test;

namespace {

/// Simulated clients with one connection, and a server on another thread.
class LoadStandinTest : public testing::Test {
protected:
  LoadStandinTest() {
    Settings.Targets = {address(Acceptor.local_endpoint().port())};
    Settings.Count = 1;
    Settings.UniqueIds = true;
    Settings.IdPrefix = "r";
  }

  static std::string address(std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }

  /// Runs all requests and returns the history.
  std::vector<Attempt> run() {
    boost::asio::io_context Context;
    std::ostringstream Text;
    LoadStandin Load(Context, Settings, Text, [&Context] { Context.stop(); });
    boost::asio::post(Context, [&Load] { Load.start(); });
    Context.run();
    std::vector<Attempt> History;
    std::istringstream Lines(Text.str());
    for (std::string Line; std::getline(Lines, Line);)
      History.push_back(std::get<Attempt>(parseAttempt(Line)));
    return History;
  }

  /// Returns what a server gets that answers 408 after a part of the request.
  std::string bytesUntilEarlyAnswer(const std::string &Part) {
    std::string Bytes;
    std::jthread Server([&] {
      tcp::socket Socket = Acceptor.accept();
      auto Buffer = boost::asio::dynamic_buffer(Bytes);
      boost::asio::read_until(Socket, Buffer, Part);
      std::string Early = "HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n";
      boost::asio::write(Socket, boost::asio::buffer(Early));
      boost::system::error_code End;
      boost::asio::read(Socket, Buffer, End);
    });
    std::vector<Attempt> History = run();
    EXPECT_EQ(History.at(0).Status, 408U);
    Server.join();
    return Bytes;
  }

  boost::asio::io_context Blocking;
  tcp::acceptor Acceptor{Blocking,
                         {boost::asio::ip::address_v4::loopback(), 0}};
  LoadSettings Settings;
};

/// Answers a request and keeps the connection.
void answer(RawConnection &Client, const std::string &StatusLine) {
  Client.request();
  Client.send("HTTP/1.1 " + StatusLine + "\r\nContent-Length: 0\r\n\r\n");
}

} // namespace

// Guards against clients that open a new connection after a refusal, which a
// stopping server no longer accepts, and against a history in which a request
// that was cut looks like a refused one.
TEST_F(LoadStandinTest, KeptConnectionsAreUsedUntilTheServerIsGone) {
  Settings.Count = 4;
  Settings.KeepConnections = true;
  std::jthread Server([&] {
    RawConnection Client(Acceptor.accept());
    Acceptor.close();
    answer(Client, "503 Refused");
    answer(Client, "200 OK");
    Client.request();
  });
  std::vector<Attempt> History = run();
  ASSERT_EQ(History.size(), 4U);
  EXPECT_EQ(History[0].Status, 503U);
  EXPECT_EQ(History[1].Status, 200U);
  EXPECT_EQ(History[2].Status, 0U);
  EXPECT_EQ(History[2].Failure, "connection-lost") << "cut without an answer";
  EXPECT_EQ(History[3].Status, 0U);
  EXPECT_EQ(History[3].Failure, "not-sent") << "no connection is accepted";
}

// Guards against an option that has no effect because it is always on: the
// other clients give a connection up after a refusal.
TEST_F(LoadStandinTest, OtherClientsGiveAConnectionUpAfterARefusal) {
  Settings.Count = 2;
  std::jthread Server([&] {
    RawConnection Client(Acceptor.accept());
    Acceptor.close();
    answer(Client, "503 Refused");
    EXPECT_TRUE(Client.isClosedByPeer());
  });
  std::vector<Attempt> History = run();
  ASSERT_EQ(History.size(), 2U);
  EXPECT_EQ(History[0].Status, 503U);
  EXPECT_EQ(History[1].Failure, "not-sent");
}

// Guards against a slow client that sends its whole head at once: the server
// would never hold a part of it.
TEST_F(LoadStandinTest, TheLastBytesOfAHeadAreHeldBack) {
  Settings.LastBytesDelay = std::chrono::hours(1);
  std::string Part = "Host: " + Settings.Targets[0] + "\r\n";
  std::string Bytes = bytesUntilEarlyAnswer(Part);
  EXPECT_TRUE(Bytes.ends_with(Part)) << Bytes;
}

// Guards against a slow client whose body arrives with its head.
TEST_F(LoadStandinTest, TheLastBytesOfABodyAreHeldBack) {
  Settings.LastBytesDelay = std::chrono::hours(1);
  Settings.Method = "POST";
  Settings.BodyBytes = 10;
  std::string Bytes = bytesUntilEarlyAnswer("\r\n\r\nbbbbbbbb");
  EXPECT_TRUE(Bytes.ends_with("\r\n\r\nbbbbbbbb")) << Bytes;
}

// Guards against a slow client that never ends its request, or not as late as
// it was told.
TEST_F(LoadStandinTest, TheLastBytesArriveAfterTheDelay) {
  LoopThread Loop;
  RunRecorder Recorder;
  std::optional<BackendStandin> Server;
  std::uint16_t Port = Loop.on([&] {
    Server.emplace(Loop.Context, BackendStandinSettings(), Recorder);
    EXPECT_EQ(Server->listen("127.0.0.1:0"), std::nullopt);
    return Server->port();
  });
  Settings.Targets = {address(Port)};
  Settings.LastBytesDelay = std::chrono::milliseconds(50);
  Settings.Count = 2;
  for (const char *Method : {"GET", "POST"}) {
    Settings.Method = Method;
    for (const Attempt &Ended : run()) {
      EXPECT_EQ(Ended.Status, 200U) << Method;
      EXPECT_EQ(Ended.Echo, EchoResult::Match) << Method;
      EXPECT_GE(Ended.EndMicros - Ended.StartMicros,
                Settings.LastBytesDelay.count())
          << Method;
    }
  }
  Loop.on([&] { Server.reset(); });
}
