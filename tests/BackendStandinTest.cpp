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
