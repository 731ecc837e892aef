// RelayStandinTest.cpp - Tests that the TCP relay plays a slow link. The times
// have lower bounds only, since a busy machine delays everything.

#include "HttpTestSupport.h"
#include "Relay.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint64_t TenMegabit = 1'250'000; ///< In bytes a second.
constexpr std::size_t HalfMegabyte = 500'000;
/// Time of half a megabyte at ten megabits a second.
constexpr auto TransferTime = 400ms;

/// Returns bytes of which no two neighbouring parts are equal.
std::string pattern(std::size_t Bytes) {
  std::string Text;
  for (std::size_t Number = 0; Text.size() < Bytes; ++Number)
    Text += std::to_string(Number) + ",";
  Text.resize(Bytes);
  return Text;
}

/// A relay on a thread of its own, and a server behind it.
class RelayStandinTest : public testing::Test {
protected:
  ~RelayStandinTest() override {
    Loop.on([&] { Link.reset(); });
  }

  void startRelay(std::uint64_t BytesPerSecond,
                  std::chrono::milliseconds Delay) {
    RelaySettings Settings{Acceptor.local_endpoint(), BytesPerSecond, Delay};
    RelayPort = Loop.on([&] {
      Link.emplace(Loop.Context, Settings);
      EXPECT_EQ(Link->listen({boost::asio::ip::address_v4::loopback(), 0}),
                std::nullopt);
      return Link->address().port();
    });
  }

  /// Sends a text through the relay to the server, or from it, and checks that
  /// it arrives whole with its end. Returns the time until then.
  Clock::duration transfer(const std::string &Text, bool FromServer) {
    RawConnection Client(RelayPort);
    RawConnection Server(Acceptor.accept());
    RawConnection &Sender = FromServer ? Server : Client;
    RawConnection &Receiver = FromServer ? Client : Server;
    auto Start = Clock::now();
    std::jthread Sending([&] {
      Sender.send(Text);
      Sender.finishSending();
    });
    bool Intact = Receiver.untilEnd() == Text;
    EXPECT_TRUE(Intact);
    return Clock::now() - Start;
  }

  boost::asio::io_context Blocking;
  tcp::acceptor Acceptor{Blocking,
                         {boost::asio::ip::address_v4::loopback(), 0}};
  LoopThread Loop;
  std::optional<Relay> Link;
  std::uint16_t RelayPort = 0;
};

} // namespace

// Guards against a relay that loses, mixes or holds back bytes without any
// limit, as the latency baseline.
TEST_F(RelayStandinTest, APlainRelayDeliversBothDirections) {
  startRelay(0, 0ms);
  transfer(pattern(HalfMegabyte), false);
  transfer(pattern(HalfMegabyte), true);
}

// Guards against a link that is faster than its limit: a test with it would not
// show what a slow link breaks.
TEST_F(RelayStandinTest, ATransferIsNeverFasterThanTheLimit) {
  startRelay(TenMegabit, 0ms);
  EXPECT_GE(transfer(pattern(HalfMegabyte), false), TransferTime);
  EXPECT_GE(transfer(pattern(HalfMegabyte), true), TransferTime);
}

// Guards against a limit that holds for each connection only: the daemons would
// get a link that grows with their connections.
TEST_F(RelayStandinTest, ConnectionsShareTheLimit) {
  startRelay(TenMegabit, 0ms);
  auto Start = Clock::now();
  RawConnection First(RelayPort);
  RawConnection FirstServer(Acceptor.accept());
  RawConnection Second(RelayPort);
  RawConnection SecondServer(Acceptor.accept());
  const std::string Half = pattern(HalfMegabyte / 2);
  std::jthread Sending([&] {
    First.send(Half);
    First.finishSending();
  });
  std::jthread SendingToo([&] {
    Second.send(Half);
    Second.finishSending();
  });
  EXPECT_TRUE(FirstServer.untilEnd() == Half);
  EXPECT_TRUE(SecondServer.untilEnd() == Half);
  EXPECT_GE(Clock::now() - Start, TransferTime);
}

// Guards against a delay that is missing in one direction, or that holds the
// end of a connection back for ever.
TEST_F(RelayStandinTest, ADelayDelaysEachDirection) {
  startRelay(0, 100ms);
  EXPECT_GE(transfer("a", false), 100ms);
  EXPECT_GE(transfer("a", true), 100ms);
  EXPECT_GE(transfer("", false), 100ms) << "the end alone";
}

// Guards against a relay that loses or mixes bytes of which many are on their
// way, and against a delay that is part of the transfer's time.
TEST_F(RelayStandinTest, LimitAndDelayAddUp) {
  startRelay(TenMegabit, 100ms);
  EXPECT_GE(transfer(pattern(HalfMegabyte), false), TransferTime + 100ms);
}

// Guards against a relay that stops reading for ever once many bytes are on
// their way to a receiver that pauses.
TEST_F(RelayStandinTest, AReceiverThatPausesGetsEverything) {
  constexpr std::size_t MoreThanInFlight = 40'000'000;
  startRelay(0, 10ms);
  RawConnection Client(RelayPort);
  RawConnection Server(Acceptor.accept());
  const std::string Text = pattern(MoreThanInFlight);
  std::jthread Sending([&] {
    Client.send(Text);
    Client.finishSending();
  });
  std::this_thread::sleep_for(300ms);
  EXPECT_TRUE(Server.untilEnd() == Text);
}

// Guards against connections that outlive their relay.
TEST_F(RelayStandinTest, TheEndOfTheRelayEndsItsConnections) {
  startRelay(TenMegabit, 1h);
  RawConnection Client(RelayPort);
  RawConnection Server(Acceptor.accept());
  Client.send("never delivered");
  Loop.on([&] { Link.reset(); });
  EXPECT_TRUE(Client.isClosedByPeer());
  EXPECT_TRUE(Server.isClosedByPeer());
}
