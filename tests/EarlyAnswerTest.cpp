// EarlyAnswerTest.cpp - A server answers while the request is still being
// written to it, and ends the connection.

#include "BackendClient.h"
#include "HttpTestSupport.h"
#include "ScriptedServer.h"

#include <chrono>
#include <functional>
#include <gtest/gtest.h>
#include <optional>
#include <thread>

using namespace figsail;
using namespace figsail::test;
using namespace std::chrono_literals;

namespace {

/// More than the socket buffers of both ends hold, so that the write of the
/// request is not finished when the server answers.
constexpr std::size_t UploadBytes = std::size_t{8} * 1024 * 1024;

/// A client whose event loop runs on the test's thread.
struct EarlyAnswerTest : testing::Test, BackendHandler {
  using Result = std::variant<HttpResponse, BackendError>;

  ~EarlyAnswerTest() override {
    Client.reset();
    Context.restart();
    Context.poll();
  }
  std::function<void()> endsClient() {
    return [this] { Client.reset(); };
  }
  /// Sends an upload to the server and returns its outcome.
  Result upload(std::uint16_t Port, Duration LastBytesDelay = Duration(0)) {
    BackendSettings Settings;
    Settings.Address = "127.0.0.1:" + std::to_string(Port);
    Settings.LastBytesDelay = LastBytesDelay;
    Client.emplace(Context, *this, Settings);
    Outcome.reset();
    Client->run(1, {"POST", "/x", {}, std::string(UploadBytes, 'u')}, 30s);
    while (!Outcome) {
      Context.restart();
      Context.run_one();
    }
    return *Outcome;
  }
  void backendDone(BackendDone Done) override {
    Outcome = std::move(Done.Result);
  }
  void probeDone(ProbeDone /*Done*/) override {}
  void responseRejected(RejectionReason /*Reason*/) override {}

  boost::asio::io_context Context;
  std::optional<BackendClient> Client;
  std::optional<Result> Outcome;
};

constexpr std::string_view HeadWithoutLength = "HTTP/1.1 200 OK\r\n\r\n";

/// Numbers of bytes of the body that are sent before the end.
constexpr std::size_t PartSizes[] = {0, 1, 1000, 100'000};
/// Times from the answer to the end of the connection.
constexpr std::chrono::milliseconds Pauses[] = {0ms, 1ms, 20ms};
constexpr int Rounds = 10; ///< Of each case.

// Guards against MIXED of issue 48: a part of an answer without a length was
// passed on as the whole one. The write of the request took the error of the
// reset, so that the read saw an end in order.
TEST_F(EarlyAnswerTest, AResetDuringTheUploadEndsNoAnswerWithoutLength) {
  std::size_t Part = 0;
  std::chrono::milliseconds Pause{0};
  ScriptedServer Server(endsClient(), [&](RawConnection &Peer, std::size_t) {
    Peer.requestHead();
    Peer.send(HeadWithoutLength);
    Peer.send(std::string(Part, 'a'));
    std::this_thread::sleep_for(Pause);
    Peer.reset();
  });
  std::size_t Successes = 0;
  for (std::size_t Size : PartSizes) {
    for (auto Time : Pauses) {
      Part = Size;
      Pause = Time;
      for (int I = 0; I < Rounds; ++I)
        Successes +=
            std::holds_alternative<HttpResponse>(upload(Server.port())) ? 1 : 0;
    }
  }
  EXPECT_EQ(Successes, 0U);
}

// The same where the last bytes of the request are written later.
TEST_F(EarlyAnswerTest, AResetBeforeTheLastBytesEndsNoAnswerWithoutLength) {
  ScriptedServer Server(endsClient(), [&](RawConnection &Peer, std::size_t) {
    Peer.requestHead();
    Peer.send(HeadWithoutLength);
    Peer.send("part");
    std::this_thread::sleep_for(5ms);
    Peer.reset();
  });
  for (int I = 0; I < Rounds; ++I)
    EXPECT_TRUE(
        std::holds_alternative<BackendError>(upload(Server.port(), 50ms)));
}

// An answer with a length is complete with its last byte, whatever happens to
// the rest of the upload.
TEST_F(EarlyAnswerTest, AnAnswerWithALengthIsCompleteBeforeTheReset) {
  ScriptedServer Server(endsClient(), [&](RawConnection &Peer, std::size_t) {
    Peer.requestHead();
    Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    std::this_thread::sleep_for(20ms);
    Peer.reset();
  });
  for (int I = 0; I < Rounds; ++I) {
    Result Ended = upload(Server.port());
    ASSERT_TRUE(std::holds_alternative<HttpResponse>(Ended));
    EXPECT_EQ(std::get<HttpResponse>(Ended).Body, "whole");
  }
}

// A server that ends its answer in order and then closes without reading the
// rest of the upload, which resets the connection: the answer is whole.
TEST_F(EarlyAnswerTest, AnAnswerThatEndedInOrderIsWholeThoughTheUploadIsReset) {
  std::size_t Part = 0;
  std::chrono::milliseconds Pause{0};
  ScriptedServer Server(endsClient(), [&](RawConnection &Peer, std::size_t) {
    Peer.requestHead();
    Peer.send(HeadWithoutLength);
    Peer.send(std::string(Part, 'a'));
    Peer.finishSending();
    Peer.awaitAcknowledgement();
    std::this_thread::sleep_for(Pause);
    Peer.close();
  });
  for (std::size_t Size : PartSizes) {
    for (auto Time : Pauses) {
      Part = Size;
      Pause = Time;
      for (int I = 0; I < Rounds; ++I) {
        Result Ended = upload(Server.port());
        ASSERT_TRUE(std::holds_alternative<HttpResponse>(Ended))
            << Size << " bytes, " << Time.count() << " ms";
        EXPECT_EQ(std::get<HttpResponse>(Ended).Body.size(), Size);
      }
    }
  }
}

// The same without waiting: the reset may discard the end of the answer.
TEST_F(EarlyAnswerTest, AnAnswerCutByTheCloseOfTheServerIsNoPart) {
  ScriptedServer Server(endsClient(), [&](RawConnection &Peer, std::size_t) {
    Peer.requestHead();
    Peer.send(HeadWithoutLength);
    Peer.send(std::string(PartSizes[3], 'a'));
    Peer.finishSending();
    Peer.close();
  });
  for (int I = 0; I < 10 * Rounds; ++I) {
    Result Ended = upload(Server.port());
    const auto *Whole = std::get_if<HttpResponse>(&Ended);
    EXPECT_TRUE(!Whole || Whole->Body.size() == PartSizes[3]);
  }
}

} // namespace
