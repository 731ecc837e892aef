// PeerTransportTest.cpp - Guards against messages that are lost, misdirected or
// delivered from a damaged link.

#include "PeerTransport.h"

#include "Endpoint.h"
#include "LoopbackAddress.h"
#include "PeerCodec.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace figsail;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Failing tests end after this time; passing ones never wait for it.
constexpr std::chrono::seconds TestLimit{20};

std::uint64_t sequenceOf(const PeerMessage &Message) {
  const auto *Body = std::get_if<Execute>(&Message);
  return Body ? Body->Call.Sequence : 0;
}

PeerSettings inRegion(const std::string &Region) {
  PeerSettings Settings;
  Settings.Region = Region;
  return Settings;
}

/// A daemon's end of the links, with what its handler was told.
struct Peer : public PeerHandler {
  Peer(asio::io_context &Loop, HostId Host, Incarnation Inc,
       PeerSettings Settings = {})
      : Self{std::move(Host), Inc},
        Transport(Loop, *this, Self, Clock, std::move(Settings)) {}

  void listen() { ASSERT_EQ(Transport.listen(Self.Host), std::nullopt); }
  void peerReceived(PeerReceived Message) override {
    Received.push_back(std::move(Message));
  }
  void peerConnected(PeerConnected Peer) override {
    Connected.push_back(std::move(Peer));
  }
  void peerLost(PeerLost Message) override {
    Lost.push_back(std::move(Message));
  }

  PeerRef Self;
  LamportClock Clock;
  std::vector<PeerReceived> Received;
  std::vector<PeerConnected> Connected;
  std::vector<PeerLost> Lost;
  PeerTransport Transport;
};

class PeerTransportTest : public ::testing::Test {
protected:
  /// Runs the event loop until the condition holds.
  template <class F> void runUntil(F Condition) {
    Loop.restart();
    auto Limit = std::chrono::steady_clock::now() + TestLimit;
    while (!Condition()) {
      ASSERT_LT(std::chrono::steady_clock::now(), Limit);
      Loop.run_one_for(std::chrono::milliseconds(100));
      Loop.restart();
    }
  }

  /// Runs what is ready now. Used after the condition of a test holds, to give
  /// what must not happen a chance to happen.
  void settle() {
    for (int I = 0; I < 20; ++I) {
      Loop.restart();
      Loop.run_for(std::chrono::milliseconds(1));
    }
  }

  static PeerMessage call(std::uint64_t Sequence, std::size_t Size = 0) {
    Execute Message;
    Message.Call.Sequence = Sequence;
    Message.Request.Body = std::string(Size, 'x');
    return Message;
  }

  std::string HostA = loopbackAddress(1);
  std::string HostB = loopbackAddress(2);
  asio::io_context Loop{1};
};

/// A peer that writes and reads raw bytes.
class RawPeer {
public:
  explicit RawPeer(asio::io_context &Loop) : Socket(Loop), Loop(Loop) {}

  void connect(const std::string &Address) {
    Socket.connect(*parseEndpoint(Address));
  }
  void accept(tcp::acceptor &Acceptor) { Acceptor.accept(Socket); }
  void sendHello(const HostId &Host, Incarnation Inc,
                 std::uint32_t Version = PeerProtocolVersion) {
    std::string Frame;
    appendHello(Frame, 1, {Version, {Host, Inc}});
    send(Frame);
  }
  void send(const std::string &Bytes) {
    asio::write(Socket, asio::buffer(Bytes));
  }
  /// Reads one frame while the loop runs. Returns its payload, or nothing when
  /// the link has ended.
  std::optional<std::string> readFrame() {
    std::optional<std::string> Head = readBytes(FrameHeaderBytes);
    if (!Head)
      return std::nullopt;
    return readBytes(readFrameHeader(*Head).Length);
  }
  /// Reads one frame and returns the sequence number of the call in it, or 0.
  std::uint64_t readCall() {
    std::optional<std::string> Payload = readFrame();
    std::optional<PeerMessage> Message;
    if (Payload)
      Message = decodeMessage(*Payload);
    return Message ? sequenceOf(*Message) : 0;
  }
  void close() { Socket.close(); }
  /// Reads what has arrived. Returns whether the link was reset behind it.
  bool endsWithReset() {
    boost::system::error_code Error;
    std::string Bytes(65536, '\0');
    Socket.non_blocking(true);
    while (!Error)
      Socket.read_some(asio::buffer(Bytes), Error);
    return Error == asio::error::connection_reset;
  }

  tcp::socket Socket;

private:
  std::optional<std::string> readBytes(std::size_t Size) {
    std::string Bytes(Size, '\0');
    bool Done = Size == 0;
    boost::system::error_code Result;
    asio::async_read(Socket, asio::buffer(Bytes),
                     [&](const boost::system::error_code &Error, std::size_t) {
                       Done = true;
                       Result = Error;
                     });
    while (!Done) {
      Loop.restart();
      if (Loop.run_one_for(TestLimit) == 0) {
        ADD_FAILURE() << "nothing arrived";
        std::abort(); // the read refers to this frame of the stack
      }
    }
    if (Result)
      return std::nullopt;
    return Bytes;
  }

  asio::io_context &Loop;
};

} // namespace

TEST_F(PeerTransportTest, MessagesAndRepliesUseOneLink) {
  Peer A(Loop, HostA, 11);
  Peer B(Loop, HostB, 22);
  A.listen();
  B.listen();
  A.Transport.send(HostB, call(1));
  runUntil([&] { return B.Received.size() == 1; });
  EXPECT_EQ(B.Received[0].From, A.Self);
  EXPECT_EQ(sequenceOf(B.Received[0].Message), 1U);
  ASSERT_EQ(B.Connected.size(), 1U);
  EXPECT_EQ(B.Connected[0].Peer, A.Self);
  B.Transport.send(HostA, Received{{11, 1}});
  runUntil([&] { return A.Received.size() == 1; });
  EXPECT_EQ(A.Received[0].From, B.Self);
  EXPECT_EQ(A.Transport.linkCount(), 1U);
  EXPECT_EQ(B.Transport.linkCount(), 1U);
  EXPECT_GT(A.Transport.bytesSent(), 0U);
}

// The time line is only ordered when a receiver's counter passes the sender's.
TEST_F(PeerTransportTest, LamportCounterOfTheReceiverPassesTheSender) {
  Peer A(Loop, HostA, 11);
  Peer B(Loop, HostB, 22);
  B.listen();
  for (int I = 0; I < 1000; ++I)
    A.Clock.tick();
  A.Transport.send(HostB, call(1));
  runUntil([&] { return B.Received.size() == 1; });
  EXPECT_GT(B.Clock.tick(), 1000U);
}

TEST_F(PeerTransportTest, MessagesToSelfArriveThroughTheLoop) {
  Peer A(Loop, HostA, 11);
  A.Transport.send(HostA, call(1));
  EXPECT_TRUE(A.Received.empty()) << "delivered from within send()";
  runUntil([&] { return A.Received.size() == 1; });
  EXPECT_EQ(A.Received[0].From, A.Self);
  EXPECT_EQ(A.Transport.linkCount(), 0U);
}

// Large bodies span many reads.
TEST_F(PeerTransportTest, LargeMessagesArriveWhole) {
  Peer A(Loop, HostA, 11);
  Peer B(Loop, HostB, 22);
  B.listen();
  A.Transport.send(HostB, call(1, 5'000'000));
  A.Transport.send(HostB, call(2, 3));
  runUntil([&] { return B.Received.size() == 2; });
  EXPECT_EQ(std::get<Execute>(B.Received[0].Message).Request.Body,
            std::string(5'000'000, 'x'));
  EXPECT_EQ(sequenceOf(B.Received[1].Message), 2U);
}

// A heartbeat behind queued calls would let a busy member look silent.
TEST_F(PeerTransportTest, ControlMessagesOvertakeQueuedCalls) {
  Peer A(Loop, HostA, 11);
  Peer B(Loop, HostB, 22);
  B.listen();
  for (std::uint64_t I = 1; I <= 20; ++I)
    A.Transport.send(HostB, call(I, 100'000));
  A.Transport.send(HostB, Heartbeat{});
  runUntil([&] { return B.Received.size() == 21; });
  EXPECT_TRUE(std::holds_alternative<Heartbeat>(B.Received[0].Message));
  for (std::uint64_t I = 1; I <= 20; ++I)
    EXPECT_EQ(sequenceOf(B.Received[I].Message), I);
}

// The core may send these to another host; none may be missing or doubled.
TEST_F(PeerTransportTest, UnreachableHostReturnsAllMessages) {
  Peer A(Loop, HostA, 11);
  A.Transport.send(HostB, call(1));
  A.Transport.send(HostB, Heartbeat{});
  A.Transport.send(HostB, call(2));
  runUntil([&] { return !A.Lost.empty(); });
  ASSERT_EQ(A.Lost.size(), 1U);
  EXPECT_EQ(A.Lost[0].Host, HostB);
  ASSERT_EQ(A.Lost[0].Unsent.size(), 3U);
  EXPECT_EQ(sequenceOf(A.Lost[0].Unsent[1]), 1U);
  EXPECT_EQ(sequenceOf(A.Lost[0].Unsent[2]), 2U);
  EXPECT_EQ(A.Transport.linkCount(), 0U);
}

TEST_F(PeerTransportTest, MalformedAddressReturnsTheMessage) {
  Peer A(Loop, HostA, 11);
  A.Transport.send("nowhere", call(1));
  runUntil([&] { return !A.Lost.empty(); });
  EXPECT_EQ(A.Lost[0].Unsent.size(), 1U);
}

// A message of which the peer may have read a part must not be called unsent:
// the core would run it a second time. The others must be returned.
TEST_F(PeerTransportTest, LossUnderLoadReturnsOnlyMessagesNotBegun) {
  tcp::acceptor Acceptor(Loop, *parseEndpoint(HostB));
  Peer A(Loop, HostA, 11);
  constexpr std::uint64_t Calls = 24;
  for (std::uint64_t I = 1; I <= Calls; ++I)
    A.Transport.send(HostB, call(I, 1'000'000));
  RawPeer B(Loop);
  B.accept(Acceptor);
  B.sendHello(HostB, 22);
  runUntil([&] { return A.Connected.size() == 1; });
  B.readFrame();
  EXPECT_EQ(B.readCall(), 1U);
  // The socket buffers hold a few calls only, so most have not been begun.
  settle();
  B.close();
  runUntil([&] { return !A.Lost.empty(); });
  const std::vector<PeerMessage> &Unsent = A.Lost[0].Unsent;
  ASSERT_FALSE(Unsent.empty());
  ASSERT_LT(Unsent.size(), Calls);
  // The messages are one after the other up to the last.
  for (std::size_t I = 0; I < Unsent.size(); ++I)
    EXPECT_EQ(sequenceOf(Unsent[I]), Calls - Unsent.size() + 1 + I);
}

// A link that was given up must not deliver later what is under way: the core
// counts on it when it tries another host.
TEST_F(PeerTransportTest, AResetLinkDeliversNothingMore) {
  tcp::acceptor Acceptor(Loop, *parseEndpoint(HostB));
  Peer A(Loop, HostA, 11);
  A.Transport.send(HostB, call(1, 8'000'000));
  RawPeer B(Loop);
  B.accept(Acceptor);
  B.sendHello(HostB, 22);
  runUntil([&] { return A.Connected.size() == 1; });
  settle();
  A.Transport.reset(HostB);
  settle();
  EXPECT_TRUE(B.endsWithReset());
}

TEST_F(PeerTransportTest, QueueBoundBreaksTheLink) {
  PeerSettings Settings;
  Settings.MaxQueuedBytes = 1'000'000;
  Peer A(Loop, HostA, 11, Settings);
  A.Transport.send(HostB, call(1, 600'000));
  A.Transport.send(HostB, call(2, 600'000));
  EXPECT_TRUE(A.Lost.empty()) << "reported from within send()";
  runUntil([&] { return !A.Lost.empty(); });
  EXPECT_EQ(A.Lost[0].Unsent.size(), 2U);
}

// Damaged input ends the link and never reaches the handler.
TEST_F(PeerTransportTest, DamagedFramesBreakTheLink) {
  PeerSettings Settings;
  Settings.MaxFrame = 100'000;
  Peer A(Loop, HostA, 11, Settings);
  A.listen();
  std::string Good;
  appendFrame(Good, 1, call(1));
  std::string BadChecksum = Good;
  BadChecksum.back() = static_cast<char>(BadChecksum.back() ^ 1);
  std::string TooLong;
  appendFrame(TooLong, 1, call(1, 200'000));
  TooLong.resize(FrameHeaderBytes); // the head alone must be enough
  std::string Undecodable;
  appendHello(Undecodable, 1, {1, {"a Hello is not a message", 1}});
  std::size_t Losses = 0;
  for (const std::string &Bytes : {BadChecksum, TooLong, Undecodable}) {
    RawPeer B(Loop);
    B.connect(HostA);
    B.sendHello(HostB, 22);
    std::string Sent = Good;
    Sent += Bytes;
    Sent += Good;
    B.send(Sent);
    runUntil([&] { return A.Lost.size() == Losses + 1; });
    ++Losses;
    EXPECT_EQ(A.Received.size(), Losses) << "only the frame before it counts";
    EXPECT_TRUE(A.Lost.back().Unsent.empty());
  }
  EXPECT_EQ(A.Transport.linkCount(), 0U);
}

// The link between two regions is narrow and its bytes have a price.
TEST_F(PeerTransportTest, LinksBetweenRegionsAreCompressed) {
  Peer A(Loop, HostA, 11, inRegion("east"));
  Peer B(Loop, HostB, 22, inRegion("west"));
  B.listen();
  constexpr std::uint64_t Calls = 50;
  for (std::uint64_t I = 1; I <= Calls; ++I) {
    A.Transport.send(HostB, call(I, 1000));
    runUntil([&] { return B.Received.size() == I; });
    B.Transport.send(HostA, call(I, 1000));
    runUntil([&] { return A.Received.size() == I; });
    EXPECT_EQ(sequenceOf(A.Received.back().Message), I);
  }
  EXPECT_LT(A.Transport.bytesSent(), Calls * 200);
  auto Traffic = A.Transport.regionTraffic();
  ASSERT_EQ(Traffic.size(), 1U);
  EXPECT_EQ(Traffic[0].Message, "Execute");
  EXPECT_EQ(Traffic[0].Count, Calls);
  EXPECT_GT(Traffic[0].RawBytes, Calls * 1000);
  EXPECT_LE(Traffic[0].SentBytes, A.Transport.bytesSent());
}

// The close frame is part of the compressed stream too: as plain bytes it would
// break the link, and with it what is under way in the other direction.
TEST_F(PeerTransportTest, ACompressedLinkClosesInOrder) {
  Peer A(Loop, HostA, 11, inRegion("east"));
  Peer B(Loop, HostB, 22, inRegion("west"));
  B.listen();
  A.Transport.send(HostB, call(1));
  runUntil([&] { return B.Received.size() == 1; });
  A.Transport.close();
  runUntil([&] { return B.Transport.linkCount() == 0; });
  EXPECT_TRUE(B.Lost.empty());
}

TEST_F(PeerTransportTest, ADamagedCompressedStreamBreaksTheLink) {
  Peer A(Loop, HostA, 11, inRegion("east"));
  A.listen();
  RawPeer B(Loop);
  B.connect(HostA);
  std::string Bytes;
  appendHello(Bytes, 1, {PeerProtocolVersion, {HostB, 22}, "west"});
  appendFrame(Bytes, 1, call(1)); // Not compressed.
  B.send(Bytes);
  runUntil([&] { return !A.Lost.empty(); });
  EXPECT_TRUE(A.Received.empty());
}

// Another protocol version may give the same bytes another meaning.
TEST_F(PeerTransportTest, OtherProtocolVersionIsRefused) {
  tcp::acceptor Acceptor(Loop, *parseEndpoint(HostB));
  Peer A(Loop, HostA, 11);
  A.Transport.send(HostB, call(1));
  RawPeer B(Loop);
  B.accept(Acceptor);
  B.sendHello(HostB, 22, PeerProtocolVersion + 1);
  runUntil([&] { return !A.Lost.empty(); });
  EXPECT_EQ(A.Lost[0].Unsent.size(), 1U);
  EXPECT_TRUE(A.Connected.empty());
  EXPECT_TRUE(B.readFrame()) << "its own Hello tells the peer the version";
  EXPECT_FALSE(B.readFrame());
}

TEST_F(PeerTransportTest, AnotherHostAtTheAddressIsRefused) {
  tcp::acceptor Acceptor(Loop, *parseEndpoint(HostB));
  Peer A(Loop, HostA, 11);
  A.Transport.send(HostB, call(1));
  RawPeer B(Loop);
  B.accept(Acceptor);
  B.sendHello(loopbackAddress(3), 22);
  runUntil([&] { return !A.Lost.empty(); });
  EXPECT_EQ(A.Lost[0].Unsent.size(), 1U);
  EXPECT_TRUE(A.Connected.empty());
}

// Messages on a link of a former process must not count as those of its
// successor.
TEST_F(PeerTransportTest, NewIncarnationEndsLinksOfTheOldOne) {
  Peer A(Loop, HostA, 11);
  A.listen();
  RawPeer Old(Loop);
  Old.connect(HostA);
  Old.sendHello(HostB, 22);
  runUntil([&] { return A.Connected.size() == 1; });
  RawPeer New(Loop);
  New.connect(HostA);
  New.sendHello(HostB, 23);
  runUntil([&] { return A.Connected.size() == 2 && A.Lost.size() == 1; });
  EXPECT_EQ(A.Connected[1].Peer.Inc, 23U);
  std::string Frame;
  appendFrame(Frame, 1, call(2));
  boost::system::error_code Ignored;
  asio::write(Old.Socket, asio::buffer(Frame), Ignored);
  New.send(Frame);
  runUntil([&] { return !A.Received.empty(); });
  settle();
  ASSERT_EQ(A.Received.size(), 1U);
  EXPECT_EQ(A.Received[0].From.Inc, 23U);
  A.Transport.send(HostB, call(3));
  New.readFrame();
  EXPECT_EQ(New.readCall(), 3U);
}

// A link that silently stops to deliver stays open at one end; replies must use
// the link that the peer opened after it.
TEST_F(PeerTransportTest, RepliesUseTheLinkHeardLast) {
  Peer A(Loop, HostA, 11);
  A.listen();
  RawPeer Silent(Loop);
  Silent.connect(HostA);
  Silent.sendHello(HostB, 22);
  runUntil([&] { return A.Connected.size() == 1; });
  RawPeer Fresh(Loop);
  Fresh.connect(HostA);
  Fresh.sendHello(HostB, 22);
  runUntil([&] { return A.Connected.size() == 2; });
  A.Transport.send(HostB, call(1));
  Fresh.readFrame();
  EXPECT_EQ(Fresh.readCall(), 1U);
  Silent.readFrame();
  EXPECT_EQ(Silent.Socket.available(), 0U);
}

TEST_F(PeerTransportTest, ResetReturnsUnsentMessagesAndOpensANewLink) {
  Peer A(Loop, HostA, 11);
  Peer B(Loop, HostB, 22);
  B.listen();
  A.Transport.send(HostB, call(1));
  runUntil([&] { return B.Received.size() == 1; });
  A.Transport.reset(HostB);
  A.Transport.send(HostB, call(2));
  runUntil([&] { return B.Received.size() == 2; });
  EXPECT_TRUE(A.Lost.empty()) << "nothing was unsent";
  EXPECT_EQ(A.Connected.size(), 2U);
  A.Transport.reset(HostB);
  A.Transport.send(HostB, call(3));
  A.Transport.reset(HostB);
  runUntil([&] { return A.Lost.size() == 1; });
  EXPECT_EQ(A.Lost[0].Unsent.size(), 1U);
}

// An idle close that looked like a failure would make the core query its calls
// and suspect the host.
TEST_F(PeerTransportTest, IdleCloseIsNotALoss) {
  PeerSettings Settings;
  Settings.IdleTimeout = std::chrono::milliseconds(20);
  Peer A(Loop, HostA, 11, Settings);
  Peer B(Loop, HostB, 22);
  B.listen();
  for (std::size_t Round = 1; Round <= 3; ++Round) {
    A.Transport.send(HostB, call(Round));
    runUntil([&] { return B.Received.size() == Round; });
    runUntil([&] {
      return A.Transport.linkCount() == 0 && B.Transport.linkCount() == 0;
    });
  }
  EXPECT_TRUE(A.Lost.empty());
  EXPECT_TRUE(B.Lost.empty());
}

// A message that crosses the announcement of an idle close must arrive.
TEST_F(PeerTransportTest, MessagesThatCrossAnIdleCloseArrive) {
  Peer A(Loop, HostA, 11);
  A.listen();
  RawPeer B(Loop);
  B.connect(HostA);
  B.sendHello(HostB, 22);
  runUntil([&] { return A.Connected.size() == 1; });
  settle();
  A.Transport.close();
  settle();
  std::string Frame;
  appendFrame(Frame, 1, call(1));
  B.send(Frame);
  runUntil([&] { return A.Received.size() == 1; });
  B.close();
  runUntil([&] { return A.Transport.linkCount() == 0; });
  settle();
  EXPECT_TRUE(A.Lost.empty());
}

// A peer that closes may not read to the end of a call under way; messages
// behind it must not wait for that.
TEST_F(PeerTransportTest, QueuedMessagesMoveWhenThePeerCloses) {
  Peer A(Loop, HostA, 11);
  Peer B(Loop, HostB, 22);
  A.listen();
  RawPeer Closing(Loop);
  Closing.connect(HostA);
  Closing.sendHello(HostB, 22);
  runUntil([&] { return A.Connected.size() == 1; });
  B.listen();
  A.Transport.send(HostB, call(1, 15'000'000));
  A.Transport.send(HostB, call(2));
  settle();
  std::string Frame;
  appendClose(Frame, 1);
  Closing.send(Frame);
  runUntil([&] { return !B.Received.empty(); });
  EXPECT_EQ(sequenceOf(B.Received[0].Message), 2U);
  EXPECT_TRUE(A.Lost.empty());
}
