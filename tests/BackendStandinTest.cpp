// BackendStandinTest.cpp - Tests that the backend server simulator records its
// runs correctly; the verdicts of history-check depend on it.

#include "BackendStandin.h"
#include "HttpTestSupport.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

/// A simulator with one slot, called without sockets unless a test needs the
/// response.
class BackendStandinTest : public testing::Test {
protected:
  BackendStandinTest() {
    Settings.Slots = 1;
    Settings.ServiceTime = std::chrono::milliseconds(20);
  }

  static HttpRequest request(const std::string &Id,
                             HeaderList ExtraHeaders = {}) {
    HttpRequest Request{"POST", "/", std::move(ExtraHeaders), ""};
    Request.Headers.emplace_back("X-Request-Id", Id);
    return Request;
  }

  static std::string fileText(const std::string &Path) {
    std::ifstream In(Path);
    return {std::istreambuf_iterator<char>(In), {}};
  }

  boost::asio::io_context Context;
  BackendStandinSettings Settings;
  RunRecorder Recorder;
};

} // namespace

TEST_F(BackendStandinTest, QueuedRequestPastItsDeadlineNeverRuns) {
  BackendStandin Server(Context, Settings, Recorder);
  Server.requestReceived(1, request("a"));
  Server.requestReceived(2, request("b", {{"Figsail-Deadline-Ms", "1"}}));
  Context.run();
  EXPECT_EQ(Recorder.text(), "a 1 2 - -\n");
}

// A cancelled run must free its slot, and a cancelled queued request must not
// run later.
TEST_F(BackendStandinTest, CancelledRequestIsDropped) {
  Settings.ServiceTime = std::chrono::hours(1);
  BackendStandin Server(Context, Settings, Recorder);
  for (CallerId Caller = 1; Caller <= 3; ++Caller)
    Server.requestReceived(Caller, request(std::to_string(Caller)));
  Server.clientDisconnected(2);
  Server.clientDisconnected(1);
  EXPECT_EQ(Recorder.text(), "1 1 2 - -\n3 3 0 - -\n");
}

TEST_F(BackendStandinTest, RunIsEndedAtItsDeadline) {
  Settings.ServiceTime = std::chrono::hours(1);
  BackendStandin Server(Context, Settings, Recorder);
  Server.requestReceived(1, request("a", {{"Figsail-Deadline-Ms", "1"}}));
  Context.run();
  EXPECT_EQ(Recorder.text(), "a 1 2 - -\n");
}

// The start must be in the file before the process dies; otherwise a second
// execution after a crash would not be detected.
TEST_F(BackendStandinTest, StartIsRecordedBeforeCrash) {
  std::string Path =
      testing::TempDir() + "BackendStandinTest." + std::to_string(::getpid());
  auto Crash = [&] {
    EXPECT_EQ(Recorder.open(Path), std::nullopt);
    BackendStandin Server(Context, Settings, Recorder);
    Server.requestReceived(1, request("a", {{"X-Crash", "1"},
                                            {"X-Attempt-Id", "a.0"},
                                            {"Booking-Id", "B"}}));
  };
  EXPECT_EXIT(Crash(), testing::ExitedWithCode(3), "");
  std::string Text = fileText(Path);
  EXPECT_TRUE(Text.starts_with("start ")) << Text;
  EXPECT_TRUE(Text.ends_with(" 1 a a.0 B\n")) << Text;
  std::remove(Path.c_str());
}

TEST_F(BackendStandinTest, ShedRequestIsReportedAsNotRun) {
  Settings.ServiceTime = std::chrono::hours(1);
  Settings.Overload = OverloadMode::Shed;
  LoopThread Loop;
  std::optional<BackendStandin> Server;
  std::uint16_t Port = Loop.on([&] {
    Server.emplace(Loop.Context, Settings, Recorder);
    EXPECT_EQ(Server->listen("127.0.0.1:0"), std::nullopt);
    return Server->port();
  });
  RawConnection First(Port);
  First.send("GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n\r\n");
  auto Runs = [&] { return Loop.on([&] { return Recorder.text(); }); };
  while (Runs().empty())
    std::this_thread::yield();
  RawConnection Second(Port);
  Second.send("GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\n\r\n");
  Response Reply = Second.response();
  EXPECT_EQ(Reply.result_int(), 503U);
  EXPECT_EQ(Reply["Backend-Not-Run"], "1");
  EXPECT_EQ(Runs(), "a 1 0 - -\n");
  Loop.on([&] { Server.reset(); });
}

static std::string targetRequest(const std::string &Target) {
  return "POST " + Target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n" +
         "Content-Length: 0\r\n\r\n";
}

namespace {

/// A simulator that listens, on a thread of its own.
class ListeningStandin {
public:
  explicit ListeningStandin(const BackendStandinSettings &Settings) {
    Port = Loop.on([&] {
      Server.emplace(Loop.Context, Settings, Recorder);
      EXPECT_EQ(Server->listen("127.0.0.1:0"), std::nullopt);
      return Server->port();
    });
  }
  ~ListeningStandin() {
    Loop.on([&] { Server.reset(); });
  }
  ListeningStandin(const ListeningStandin &) = delete;
  ListeningStandin &operator=(const ListeningStandin &) = delete;

  Response control(const std::string &Query) const {
    return call("/_control?" + Query);
  }
  Response call(const std::string &Target) const {
    RawConnection Client(Port);
    Client.send(targetRequest(Target));
    return Client.response();
  }
  /// Sends a request and returns all bytes until the connection ends.
  std::string bytesOf(const std::string &Target) const {
    RawConnection Client(Port);
    Client.send(targetRequest(Target));
    return Client.untilEnd();
  }
  std::string runs() {
    return Loop.on([&] { return Recorder.text(); });
  }

private:
  LoopThread Loop;
  RunRecorder Recorder;
  std::optional<BackendStandin> Server;
  std::uint16_t Port = 0;
};

constexpr std::string_view ErrorPage =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 11\r\n"
    "Content-Type: text/plain\r\nX-Request-Id: a\r\n\r\nerror page\n";

} // namespace

// Guards against a stand-in that cuts heads elsewhere than it was told, or not
// at all: tests of clients with it would pass whatever the client does.
TEST_F(BackendStandinTest, AHeadIsCutAfterEachNumberOfBytes) {
  Settings.ServiceTime = std::chrono::milliseconds(1);
  ListeningStandin Server(Settings);
  Server.control("cut_head=100000");
  const std::string Head = Server.bytesOf("/");
  EXPECT_TRUE(Head.starts_with("HTTP/1.1 200 OK\r\n")) << Head;
  EXPECT_TRUE(Head.ends_with("\r\n\r\n")) << "more than the head: " << Head;
  for (std::size_t Bytes = 0; Bytes <= Head.size(); ++Bytes) {
    std::string Cut = "cut_head=" + std::to_string(Bytes);
    Server.control(Cut + "&cut_head_error_page=0");
    EXPECT_EQ(Server.bytesOf("/"), Head.substr(0, Bytes));
    Server.control(Cut + "&cut_head_error_page=1");
    EXPECT_EQ(Server.bytesOf("/"),
              Head.substr(0, Bytes) + std::string(ErrorPage));
  }
}

// Guards against a cut that hides a run from the record, hits the operator's
// own requests or outlasts its end.
TEST_F(BackendStandinTest, ACutLeavesRecordsProbesAndControlAlone) {
  Settings.ServiceTime = std::chrono::milliseconds(1);
  Settings.HealthDelay = Duration(0);
  ListeningStandin Server(Settings);
  EXPECT_EQ(Server.control("cut_head=10").result_int(), 200U);
  EXPECT_EQ(Server.bytesOf("/"), "HTTP/1.1 2");
  EXPECT_EQ(Server.runs(), "a 1 2 - -\n");
  EXPECT_EQ(Server.call("/health").result_int(), 200U);
  EXPECT_EQ(Server.call("/_runs").body(), "a 1 2 - -\n");
  Server.control("drain=1");
  EXPECT_EQ(Server.bytesOf("/"), "HTTP/1.1 5") << "a refusal";
  EXPECT_EQ(Server.control("cut_head=none&drain=0").result_int(), 200U);
  EXPECT_EQ(Server.call("/").result_int(), 200U);
}

// Guards against a misspelt value that plays another fault than the one that
// was meant, or none.
TEST_F(BackendStandinTest, BadControlValuesAreRefusedAndChangeNothing) {
  Settings.ServiceTime = std::chrono::milliseconds(1);
  ListeningStandin Server(Settings);
  for (const std::string Bad : {"slow_factor=",
                                "slow_factor=fast",
                                "slow_factor=-1",
                                "slow_factor=nan",
                                "slow_factor=inf",
                                "slow_factor=1e9",
                                "slow_factor=2x",
                                "limit=",
                                "limit=many",
                                "limit=-1",
                                "limit=nan",
                                "limit=1/s",
                                "repeat_refusal=",
                                "repeat_refusal=soon",
                                "repeat_refusal=-1",
                                "repeat_refusal=5ms",
                                "repeat_refusal=1.5",
                                "repeat_refusal=4294967296",
                                "cut_head=",
                                "cut_head=x",
                                "cut_head=-1",
                                "cut_head=+1",
                                "cut_head=7.",
                                "cut_head=99999999999999999999",
                                "cut_head_error_page=",
                                "cut_head_error_page=2",
                                "fail_fast=yes",
                                "drain=2",
                                "leave=no",
                                "cold=0",
                                "health=well"}) {
    std::string Name = Bad.substr(0, Bad.find('='));
    Response Reply = Server.control(Bad);
    EXPECT_EQ(Reply.result_int(), 400U) << Bad;
    EXPECT_TRUE(Reply.body().starts_with("\"" + Name + "\" must be "))
        << Bad << ": " << Reply.body();
  }
  EXPECT_EQ(Server.control("cut=1").body(), "unknown argument \"cut\"\n");
  EXPECT_EQ(Server.control("fail_fast=1&slow_factor=x").result_int(), 400U);
  EXPECT_EQ(Server.call("/").result_int(), 200U) << "fail_fast is not set";
}

// Guards against a stand-in that plays no repeated refusal: tests of clients
// with it would pass whatever the client does.
TEST_F(BackendStandinTest, ARefusalIsWrittenOnceMoreOnItsConnection) {
  Settings.ServiceTime = std::chrono::milliseconds(100);
  LoopThread Loop;
  std::optional<BackendStandin> Server;
  std::uint16_t Port = Loop.on([&] {
    Server.emplace(Loop.Context, Settings, Recorder);
    EXPECT_EQ(Server->listen("127.0.0.1:0"), std::nullopt);
    return Server->port();
  });
  RawConnection Operator(Port);
  RawConnection Peer(Port);
  Operator.send(targetRequest("/_control?drain=1&repeat_refusal=20"));
  Operator.response();
  Peer.send(targetRequest("/"));
  EXPECT_EQ(Peer.response()["Backend-Not-Run"], "1");
  Operator.send(targetRequest("/_control?drain=0"));
  Operator.response();
  Peer.send(targetRequest("/"));
  EXPECT_EQ(Peer.response()["Backend-Not-Run"], "1") << "the copy";
  Response Own = Peer.response();
  EXPECT_EQ(Own.result_int(), 200U);
  EXPECT_EQ(Own["X-Request-Id"], "a");
  Loop.on([&] { Server.reset(); });
}
