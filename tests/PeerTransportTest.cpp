// PeerTransportTest.cpp - Tests against messages that are lost, misdirected or
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

/// Time limit for a condition that never holds; passing tests don't reach it.
constexpr std::chrono::seconds TestLimit{20};

std::uint64_t sequenceOf(const PeerMessage &Message) {
  const auto *Body = std::get_if<Execute>(&Message);
  return Body ? Body->Call.Sequence : 0;
}

/// Returns the number of a message made by bulkMessage(), or 0.
std::uint64_t bulkNumberOf(const PeerMessage &Message) {
  const auto *Body = std::get_if<TopicUpdate>(&Message);
  return Body ? Body->History : 0;
}

PeerSettings settingsForRegion(const std::string &Region) {
  PeerSettings Settings;
  Settings.Region = Region;
  return Settings;
}

/// The transport of one daemon, with a record of its notifications.
struct Peer : public PeerHandler {
  Peer(asio::io_context &Loop, HostId Host, Incarnation Inc,
       PeerSettings Settings = {})
      : Self{std::move(Host), Inc},
        Transport(Loop, *this, Self, Clock, std::move(Settings)) {}

  void listen() { ASSERT_EQ(Transport.listen(Self.Host), std::nullopt); }
  void peerReceived(PeerReceived Message) override {
    Received.push_back(std::move(Message));
  }
  void peerReceiving(const PeerReceiving &Peer) override {
    Receiving.push_back(Peer);
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
  std::vector<PeerReceiving> Receiving;
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

  /// Runs the event loop for a short time, so that an event that must not
  /// happen would happen before the test checks for it.
  void runReadyHandlers() {
    for (int I = 0; I < 20; ++I) {
      Loop.restart();
      Loop.run_for(std::chrono::milliseconds(1));
    }
  }

  static PeerMessage callMessage(std::uint64_t Sequence, std::size_t Size = 0) {
    Execute Message;
    Message.Call.Sequence = Sequence;
    Message.Request.Body = std::string(Size, 'x');
    return Message;
  }

  static PeerMessage bulkMessage(std::uint64_t Number, std::size_t Size) {
    TopicUpdate Message;
    Message.History = Number;
    Message.Parts = {{0, {{"config", std::string(Size, 'x'), 1}}}};
    return Message;
  }

  std::string LocalAddress = loopbackAddress(1);
  std::string RemoteAddress = loopbackAddress(2);
  asio::io_context Loop{1};
};

/// Peer that reads and writes raw bytes on a socket.
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
  /// Reads one frame while the event loop runs. Returns its payload, or nothing
  /// when the link is closed.
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
  /// Reads all bytes that have arrived. Returns whether a TCP reset follows
  /// them.
  bool readsUntilReset() {
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
        ADD_FAILURE() << "no bytes arrived within the time limit";
        std::abort(); // The pending read refers to local variables.
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
  Peer Local(Loop, LocalAddress, 11);
  Peer Remote(Loop, RemoteAddress, 22);
  Local.listen();
  Remote.listen();
  Local.Transport.send(RemoteAddress, callMessage(1));
  runUntil([&] { return Remote.Received.size() == 1; });
  EXPECT_EQ(Remote.Received[0].From, Local.Self);
  EXPECT_EQ(sequenceOf(Remote.Received[0].Message), 1U);
  ASSERT_EQ(Remote.Connected.size(), 1U);
  EXPECT_EQ(Remote.Connected[0].Peer, Local.Self);
  Remote.Transport.send(LocalAddress, Received{{11, 1}});
  runUntil([&] { return Local.Received.size() == 1; });
  EXPECT_EQ(Local.Received[0].From, Remote.Self);
  EXPECT_EQ(Local.Transport.linkCount(), 1U);
  EXPECT_EQ(Remote.Transport.linkCount(), 1U);
  EXPECT_GT(Local.Transport.bytesSent(), 0U);
}

// The timeline is ordered only if the receiver's counter exceeds the sender's.
TEST_F(PeerTransportTest, ReceiverLamportCounterExceedsTheSenders) {
  Peer Local(Loop, LocalAddress, 11);
  Peer Remote(Loop, RemoteAddress, 22);
  Remote.listen();
  for (int I = 0; I < 1000; ++I)
    Local.Clock.tick();
  Local.Transport.send(RemoteAddress, callMessage(1));
  runUntil([&] { return Remote.Received.size() == 1; });
  EXPECT_GT(Remote.Clock.tick(), 1000U);
}

TEST_F(PeerTransportTest, MessagesToOwnHostArriveThroughTheEventLoop) {
  Peer Local(Loop, LocalAddress, 11);
  Local.Transport.send(LocalAddress, callMessage(1));
  EXPECT_TRUE(Local.Received.empty()) << "delivered from within send()";
  runUntil([&] { return Local.Received.size() == 1; });
  EXPECT_EQ(Local.Received[0].From, Local.Self);
  EXPECT_EQ(Local.Transport.linkCount(), 0U);
}

// Large bodies span many reads.
TEST_F(PeerTransportTest, LargeMessagesArriveWhole) {
  Peer Local(Loop, LocalAddress, 11);
  Peer Remote(Loop, RemoteAddress, 22);
  Remote.listen();
  Local.Transport.send(RemoteAddress, callMessage(1, 5'000'000));
  Local.Transport.send(RemoteAddress, callMessage(2, 3));
  runUntil([&] { return Remote.Received.size() == 2; });
  EXPECT_EQ(std::get<Execute>(Remote.Received[0].Message).Request.Body,
            std::string(5'000'000, 'x'));
  EXPECT_EQ(sequenceOf(Remote.Received[1].Message), 2U);
}

// A host whose large answer arrives over seconds would count as silent. Small
// frames must not cost an event each.
TEST_F(PeerTransportTest, BytesOfALargeUnfinishedFrameAreReported) {
  Peer Local(Loop, LocalAddress, 11);
  Local.listen();
  RawPeer Remote(Loop);
  Remote.connect(LocalAddress);
  Remote.sendHello(RemoteAddress, 22);
  std::string Small;
  appendFrame(Small, 1, callMessage(1, 4'000));
  Remote.send(Small.substr(0, 3'000));
  runUntil([&] { return Local.Connected.size() == 1; });
  runReadyHandlers();
  EXPECT_TRUE(Local.Receiving.empty());
  std::string Large;
  appendFrame(Large, 1, callMessage(2, 500'000));
  Remote.send(Small.substr(3'000) + Large.substr(0, 10'000));
  runUntil([&] { return Local.Receiving.size() == 1; });
  EXPECT_EQ(Local.Receiving[0].From, (PeerRef{RemoteAddress, 22}));
  Remote.send(Large.substr(10'000));
  runUntil([&] { return Local.Received.size() == 2; });
}

// A heartbeat that waits behind queued calls would make a busy member look
// unreachable.
TEST_F(PeerTransportTest, ControlMessagesOvertakeQueuedCalls) {
  Peer Local(Loop, LocalAddress, 11);
  Peer Remote(Loop, RemoteAddress, 22);
  Remote.listen();
  for (std::uint64_t I = 1; I <= 20; ++I)
    Local.Transport.send(RemoteAddress, callMessage(I, 100'000));
  Local.Transport.send(RemoteAddress, Heartbeat{});
  runUntil([&] { return Remote.Received.size() == 21; });
  EXPECT_TRUE(std::holds_alternative<Heartbeat>(Remote.Received[0].Message));
  for (std::uint64_t I = 1; I <= 20; ++I)
    EXPECT_EQ(sequenceOf(Remote.Received[I].Message), I);
}

// Calls waited behind a configuration of half a megabyte on the same link, and
// their receipts too: the ingress took the host for dead (issue 26).
TEST_F(PeerTransportTest, CallsOvertakeQueuedConfigurations) {
  Peer Local(Loop, LocalAddress, 11);
  Peer Remote(Loop, RemoteAddress, 22);
  Remote.listen();
  for (std::uint64_t I = 1; I <= 4; ++I)
    Local.Transport.send(RemoteAddress, bulkMessage(I, 500'000));
  Local.Transport.send(RemoteAddress, callMessage(1));
  Local.Transport.send(RemoteAddress, figsail::Received{});
  runUntil([&] { return Remote.Received.size() == 6; });
  EXPECT_TRUE(
      std::holds_alternative<figsail::Received>(Remote.Received[0].Message));
  EXPECT_EQ(sequenceOf(Remote.Received[1].Message), 1U);
  for (std::uint64_t I = 1; I <= 4; ++I)
    EXPECT_EQ(bulkNumberOf(Remote.Received[1 + I].Message), I);
}

// Answers on one link were in the kernel ahead of a call on another link of the
// host. Without pacing, the loopback passes them all at once.
TEST_F(PeerTransportTest, PacedAnswersArriveWholeAndBehindCallsOnOtherLinks) {
  PeerSettings Paced;
  Paced.LinkBytes = 2e6;
  Peer Local(Loop, LocalAddress, 11, Paced);
  Peer Remote(Loop, RemoteAddress, 22);
  Peer Other(Loop, loopbackAddress(3), 33);
  Remote.listen();
  Other.listen();
  constexpr std::uint32_t Pieces = 20;
  for (std::uint32_t I = 0; I < Pieces; ++I)
    Local.Transport.send(RemoteAddress,
                         AnswerPiece{{22, 1}, 1, I, std::string(16384, 'x')});
  runUntil([&] { return !Remote.Received.empty(); });
  Local.Transport.send(Other.Self.Host, callMessage(1));
  Local.Transport.send(RemoteAddress, callMessage(2));
  runUntil([&] { return Other.Received.size() == 1; });
  EXPECT_LT(Remote.Received.size(), Pieces);
  runUntil([&] { return Remote.Received.size() == Pieces + 1; });
  EXPECT_NE(sequenceOf(Remote.Received.back().Message), 2U);
}

// The rest of an answer that nobody waits for would take 0.4 s of a slow link.
TEST_F(PeerTransportTest, ACancelledAnswerIsNotSentOn) {
  PeerSettings Paced;
  Paced.LinkBytes = 1e5;
  Peer Local(Loop, LocalAddress, 11, Paced);
  Peer Remote(Loop, RemoteAddress, 22);
  Remote.listen();
  for (std::uint32_t I = 0; I < 100; ++I)
    Local.Transport.send(RemoteAddress,
                         AnswerPiece{{22, 1}, 1, I, std::string(16384, 'x')});
  runUntil([&] { return !Remote.Received.empty(); });
  Remote.Transport.send(LocalAddress, Cancel{{22, 1}});
  runUntil([&] { return !Local.Received.empty(); });
  Local.Transport.close();
  runUntil([&] { return Local.Transport.linkCount() == 0; });
  EXPECT_LT(Remote.Received.size(), 100U);
}

// A bulk message above the frame limit is dropped. If the write ended with it,
// those behind it would wait until something else is sent.
TEST_F(PeerTransportTest, ADroppedBulkMessageDoesNotDelayTheNext) {
  PeerSettings Settings;
  Settings.MaxFrameBytes = 100'000;
  Peer Local(Loop, LocalAddress, 11, Settings);
  Peer Remote(Loop, RemoteAddress, 22);
  Remote.listen();
  Local.Transport.send(RemoteAddress, bulkMessage(1, 200'000));
  Local.Transport.send(RemoteAddress, bulkMessage(2, 1'000));
  runUntil([&] { return Remote.Received.size() == 1; });
  EXPECT_EQ(bulkNumberOf(Remote.Received[0].Message), 2U);
}

// Bulk that the kernel has taken can't be overtaken any more: it held hundreds
// of kilobytes ahead of a call on a slow link. The receiver here reads nothing
// until the call is queued.
TEST_F(PeerTransportTest, TheKernelHoldsLittleBulkAheadOfACall) {
  tcp::acceptor Acceptor(Loop);
  tcp::endpoint Endpoint = *parseEndpoint(RemoteAddress);
  Acceptor.open(Endpoint.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.set_option(asio::socket_base::receive_buffer_size(16384));
  Acceptor.bind(Endpoint);
  Acceptor.listen();
  Peer Local(Loop, LocalAddress, 11);
  constexpr std::uint64_t Pieces = 300;
  for (std::uint64_t I = 1; I <= Pieces; ++I)
    Local.Transport.send(RemoteAddress, bulkMessage(I, 16'000));
  RawPeer Remote(Loop);
  Remote.accept(Acceptor);
  Remote.sendHello(RemoteAddress, 22);
  runUntil([&] { return Local.Connected.size() == 1; });
  runReadyHandlers();
  Local.Transport.send(RemoteAddress, callMessage(7));
  Remote.readFrame();
  std::uint64_t PiecesAhead = 0;
  while (PiecesAhead < Pieces && Remote.readCall() != 7)
    ++PiecesAhead;
  EXPECT_LE(PiecesAhead, 16U) << "a quarter of a megabyte";
}

// The core may send the returned messages to another host, so each must be
// returned exactly once.
TEST_F(PeerTransportTest, UnreachableHostReturnsAllMessages) {
  Peer Local(Loop, LocalAddress, 11);
  Local.Transport.send(RemoteAddress, callMessage(1));
  Local.Transport.send(RemoteAddress, Heartbeat{});
  Local.Transport.send(RemoteAddress, callMessage(2));
  runUntil([&] { return !Local.Lost.empty(); });
  ASSERT_EQ(Local.Lost.size(), 1U);
  EXPECT_EQ(Local.Lost[0].Host, RemoteAddress);
  ASSERT_EQ(Local.Lost[0].Unsent.size(), 3U);
  EXPECT_EQ(sequenceOf(Local.Lost[0].Unsent[1]), 1U);
  EXPECT_EQ(sequenceOf(Local.Lost[0].Unsent[2]), 2U);
  EXPECT_EQ(Local.Transport.linkCount(), 0U);
}

TEST_F(PeerTransportTest, MalformedAddressReturnsTheMessage) {
  Peer Local(Loop, LocalAddress, 11);
  Local.Transport.send("nowhere", callMessage(1));
  runUntil([&] { return !Local.Lost.empty(); });
  EXPECT_EQ(Local.Lost[0].Unsent.size(), 1U);
}

// A message of which the peer may have read a part must not be reported as
// unsent: the core would send the call to another host, where it would run a
// second time. All others must be returned.
TEST_F(PeerTransportTest, LossUnderLoadReturnsOnlyMessagesNotPartlyWritten) {
  tcp::acceptor Acceptor(Loop, *parseEndpoint(RemoteAddress));
  Peer Local(Loop, LocalAddress, 11);
  constexpr std::uint64_t Calls = 24;
  for (std::uint64_t I = 1; I <= Calls; ++I)
    Local.Transport.send(RemoteAddress, callMessage(I, 1'000'000));
  RawPeer Remote(Loop);
  Remote.accept(Acceptor);
  Remote.sendHello(RemoteAddress, 22);
  runUntil([&] { return Local.Connected.size() == 1; });
  Remote.readFrame();
  EXPECT_EQ(Remote.readCall(), 1U);
  // The socket buffers hold only a few calls, so most are still queued.
  runReadyHandlers();
  Remote.close();
  runUntil([&] { return !Local.Lost.empty(); });
  const std::vector<PeerMessage> &Unsent = Local.Lost[0].Unsent;
  ASSERT_FALSE(Unsent.empty());
  ASSERT_LT(Unsent.size(), Calls);
  // The unsent messages are the last ones, without a gap.
  for (std::size_t I = 0; I < Unsent.size(); ++I)
    EXPECT_EQ(sequenceOf(Unsent[I]), Calls - Unsent.size() + 1 + I);
}

// A reset link must not deliver messages in flight later: the core relies on
// this when it tries another host.
TEST_F(PeerTransportTest, ResetLinkDeliversNothingMore) {
  tcp::acceptor Acceptor(Loop, *parseEndpoint(RemoteAddress));
  Peer Local(Loop, LocalAddress, 11);
  Local.Transport.send(RemoteAddress, callMessage(1, 8'000'000));
  RawPeer Remote(Loop);
  Remote.accept(Acceptor);
  Remote.sendHello(RemoteAddress, 22);
  runUntil([&] { return Local.Connected.size() == 1; });
  runReadyHandlers();
  Local.Transport.reset(RemoteAddress);
  runReadyHandlers();
  EXPECT_TRUE(Remote.readsUntilReset());
}

TEST_F(PeerTransportTest, QueueOverflowBreaksTheLink) {
  PeerSettings Settings;
  Settings.MaxQueuedBytes = 1'000'000;
  Peer Local(Loop, LocalAddress, 11, Settings);
  Local.Transport.send(RemoteAddress, callMessage(1, 600'000));
  Local.Transport.send(RemoteAddress, callMessage(2, 600'000));
  EXPECT_TRUE(Local.Lost.empty()) << "reported from within send()";
  runUntil([&] { return !Local.Lost.empty(); });
  EXPECT_EQ(Local.Lost[0].Unsent.size(), 2U);
}

// Damaged input breaks the link and never reaches the handler.
TEST_F(PeerTransportTest, DamagedFramesBreakTheLink) {
  PeerSettings Settings;
  Settings.MaxFrameBytes = 100'000;
  Peer Local(Loop, LocalAddress, 11, Settings);
  Local.listen();
  std::string Good;
  appendFrame(Good, 1, callMessage(1));
  std::string BadChecksum = Good;
  BadChecksum.back() = static_cast<char>(BadChecksum.back() ^ 1);
  std::string TooLong;
  appendFrame(TooLong, 1, callMessage(1, 200'000));
  TooLong.resize(FrameHeaderBytes); // The header alone must suffice.
  std::string NotAMessage;
  appendHello(NotAMessage, 1, {1, {"a Hello is not a message", 1}});
  std::size_t Losses = 0;
  for (const std::string &Bytes : {BadChecksum, TooLong, NotAMessage}) {
    RawPeer Remote(Loop);
    Remote.connect(LocalAddress);
    Remote.sendHello(RemoteAddress, 22);
    std::string Sent = Good;
    Sent += Bytes;
    Sent += Good;
    Remote.send(Sent);
    runUntil([&] { return Local.Lost.size() == Losses + 1; });
    ++Losses;
    EXPECT_EQ(Local.Received.size(), Losses)
        << "only the frame before the damaged one is delivered";
    EXPECT_TRUE(Local.Lost.back().Unsent.empty());
  }
  EXPECT_EQ(Local.Transport.linkCount(), 0U);
}

// A frame that was cut must not be delivered, wherever the peer stopped.
TEST_F(PeerTransportTest, FrameCutAnywhereIsNotDelivered) {
  Peer Local(Loop, LocalAddress, 11);
  Local.listen();
  std::string Frame;
  appendFrame(Frame, 1, callMessage(1, 10));
  for (std::size_t Cut = 0; Cut < Frame.size(); ++Cut) {
    RawPeer Remote(Loop);
    Remote.connect(LocalAddress);
    Remote.sendHello(RemoteAddress, 22);
    Remote.send(Frame + Frame.substr(0, Cut));
    Remote.close();
    runUntil([&] { return Local.Lost.size() == Cut + 1; });
    EXPECT_EQ(Local.Received.size(), Cut + 1) << "cut at " << Cut;
  }
  EXPECT_EQ(Local.Transport.linkCount(), 0U);
}

// Links between regions have little bandwidth, and their traffic is billed by
// the byte.
TEST_F(PeerTransportTest, LinksBetweenRegionsAreCompressed) {
  Peer Local(Loop, LocalAddress, 11, settingsForRegion("east"));
  Peer Remote(Loop, RemoteAddress, 22, settingsForRegion("west"));
  Remote.listen();
  constexpr std::uint64_t Calls = 50;
  for (std::uint64_t I = 1; I <= Calls; ++I) {
    Local.Transport.send(RemoteAddress, callMessage(I, 1000));
    runUntil([&] { return Remote.Received.size() == I; });
    Remote.Transport.send(LocalAddress, callMessage(I, 1000));
    runUntil([&] { return Local.Received.size() == I; });
    EXPECT_EQ(sequenceOf(Local.Received.back().Message), I);
  }
  EXPECT_LT(Local.Transport.bytesSent(), Calls * 200);
  auto Traffic = Local.Transport.crossRegionTraffic();
  ASSERT_EQ(Traffic.size(), 1U);
  EXPECT_EQ(Traffic[0].MessageType, "Execute");
  EXPECT_EQ(Traffic[0].Count, Calls);
  EXPECT_GT(Traffic[0].RawBytes, Calls * 1000);
  EXPECT_LE(Traffic[0].SentBytes, Local.Transport.bytesSent());
}

// The close frame must be compressed too. As plain bytes it would break the
// link, and messages in flight in the other direction would be lost.
TEST_F(PeerTransportTest, CompressedLinkClosesOrderly) {
  Peer Local(Loop, LocalAddress, 11, settingsForRegion("east"));
  Peer Remote(Loop, RemoteAddress, 22, settingsForRegion("west"));
  Remote.listen();
  Local.Transport.send(RemoteAddress, callMessage(1));
  runUntil([&] { return Remote.Received.size() == 1; });
  Local.Transport.close();
  runUntil([&] { return Remote.Transport.linkCount() == 0; });
  EXPECT_TRUE(Remote.Lost.empty());
}

TEST_F(PeerTransportTest, DamagedCompressedStreamBreaksTheLink) {
  Peer Local(Loop, LocalAddress, 11, settingsForRegion("east"));
  Local.listen();
  RawPeer Remote(Loop);
  Remote.connect(LocalAddress);
  std::string Bytes;
  appendHello(Bytes, 1, {PeerProtocolVersion, {RemoteAddress, 22}, "west"});
  appendFrame(Bytes, 1, callMessage(1)); // Not compressed.
  Remote.send(Bytes);
  runUntil([&] { return !Local.Lost.empty(); });
  EXPECT_TRUE(Local.Received.empty());
}

// In another protocol version the same bytes may have another meaning.
TEST_F(PeerTransportTest, OtherProtocolVersionIsRefused) {
  tcp::acceptor Acceptor(Loop, *parseEndpoint(RemoteAddress));
  Peer Local(Loop, LocalAddress, 11);
  Local.Transport.send(RemoteAddress, callMessage(1));
  RawPeer Remote(Loop);
  Remote.accept(Acceptor);
  Remote.sendHello(RemoteAddress, 22, PeerProtocolVersion + 1);
  runUntil([&] { return !Local.Lost.empty(); });
  EXPECT_EQ(Local.Lost[0].Unsent.size(), 1U);
  EXPECT_TRUE(Local.Connected.empty());
  EXPECT_TRUE(Remote.readFrame())
      << "the daemon still sends its Hello, which holds its version";
  EXPECT_FALSE(Remote.readFrame());
}

TEST_F(PeerTransportTest, AnotherHostAtTheAddressIsRefused) {
  tcp::acceptor Acceptor(Loop, *parseEndpoint(RemoteAddress));
  Peer Local(Loop, LocalAddress, 11);
  Local.Transport.send(RemoteAddress, callMessage(1));
  RawPeer Remote(Loop);
  Remote.accept(Acceptor);
  Remote.sendHello(loopbackAddress(3), 22);
  runUntil([&] { return !Local.Lost.empty(); });
  EXPECT_EQ(Local.Lost[0].Unsent.size(), 1U);
  EXPECT_TRUE(Local.Connected.empty());
}

// Messages on a link of the host's previous process must not be attributed to
// its successor.
TEST_F(PeerTransportTest, NewIncarnationClosesLinksOfThePreviousOne) {
  Peer Local(Loop, LocalAddress, 11);
  Local.listen();
  RawPeer Previous(Loop);
  Previous.connect(LocalAddress);
  Previous.sendHello(RemoteAddress, 22);
  runUntil([&] { return Local.Connected.size() == 1; });
  RawPeer Current(Loop);
  Current.connect(LocalAddress);
  Current.sendHello(RemoteAddress, 23);
  runUntil(
      [&] { return Local.Connected.size() == 2 && Local.Lost.size() == 1; });
  EXPECT_EQ(Local.Connected[1].Peer.Inc, 23U);
  std::string Frame;
  appendFrame(Frame, 1, callMessage(2));
  boost::system::error_code Ignored;
  asio::write(Previous.Socket, asio::buffer(Frame), Ignored);
  Current.send(Frame);
  runUntil([&] { return !Local.Received.empty(); });
  runReadyHandlers();
  ASSERT_EQ(Local.Received.size(), 1U);
  EXPECT_EQ(Local.Received[0].From.Inc, 23U);
  Local.Transport.send(RemoteAddress, callMessage(3));
  Current.readFrame();
  EXPECT_EQ(Current.readCall(), 3U);
}

// A link that silently stops delivering stays open at one end. Replies must use
// the link that the peer opened after it.
TEST_F(PeerTransportTest, RepliesUseTheLinkThatReceivedLast) {
  Peer Local(Loop, LocalAddress, 11);
  Local.listen();
  RawPeer Silent(Loop);
  Silent.connect(LocalAddress);
  Silent.sendHello(RemoteAddress, 22);
  runUntil([&] { return Local.Connected.size() == 1; });
  RawPeer Newer(Loop);
  Newer.connect(LocalAddress);
  Newer.sendHello(RemoteAddress, 22);
  runUntil([&] { return Local.Connected.size() == 2; });
  Local.Transport.send(RemoteAddress, callMessage(1));
  Newer.readFrame();
  EXPECT_EQ(Newer.readCall(), 1U);
  Silent.readFrame();
  EXPECT_EQ(Silent.Socket.available(), 0U);
}

TEST_F(PeerTransportTest, ResetReturnsUnsentMessagesAndOpensANewLink) {
  Peer Local(Loop, LocalAddress, 11);
  Peer Remote(Loop, RemoteAddress, 22);
  Remote.listen();
  Local.Transport.send(RemoteAddress, callMessage(1));
  runUntil([&] { return Remote.Received.size() == 1; });
  Local.Transport.reset(RemoteAddress);
  Local.Transport.send(RemoteAddress, callMessage(2));
  runUntil([&] { return Remote.Received.size() == 2; });
  EXPECT_TRUE(Local.Lost.empty()) << "all messages were already sent";
  EXPECT_EQ(Local.Connected.size(), 2U);
  Local.Transport.reset(RemoteAddress);
  Local.Transport.send(RemoteAddress, callMessage(3));
  Local.Transport.reset(RemoteAddress);
  runUntil([&] { return Local.Lost.size() == 1; });
  EXPECT_EQ(Local.Lost[0].Unsent.size(), 1U);
}

// If the close of an idle link were reported as a failure, the core would query
// its calls and suspect the host.
TEST_F(PeerTransportTest, IdleCloseIsNotALoss) {
  PeerSettings Settings;
  Settings.IdleTimeout = std::chrono::milliseconds(20);
  Peer Local(Loop, LocalAddress, 11, Settings);
  Peer Remote(Loop, RemoteAddress, 22);
  Remote.listen();
  for (std::size_t Round = 1; Round <= 3; ++Round) {
    Local.Transport.send(RemoteAddress, callMessage(Round));
    runUntil([&] { return Remote.Received.size() == Round; });
    runUntil([&] {
      return Local.Transport.linkCount() == 0 &&
             Remote.Transport.linkCount() == 0;
    });
  }
  EXPECT_TRUE(Local.Lost.empty());
  EXPECT_TRUE(Remote.Lost.empty());
}

// A message that the peer sends before it reads the announced close must
// arrive.
TEST_F(PeerTransportTest, MessagesThatCrossAnIdleCloseArrive) {
  Peer Local(Loop, LocalAddress, 11);
  Local.listen();
  RawPeer Remote(Loop);
  Remote.connect(LocalAddress);
  Remote.sendHello(RemoteAddress, 22);
  runUntil([&] { return Local.Connected.size() == 1; });
  runReadyHandlers();
  Local.Transport.close();
  runReadyHandlers();
  std::string Frame;
  appendFrame(Frame, 1, callMessage(1));
  Remote.send(Frame);
  runUntil([&] { return Local.Received.size() == 1; });
  Remote.close();
  runUntil([&] { return Local.Transport.linkCount() == 0; });
  runReadyHandlers();
  EXPECT_TRUE(Local.Lost.empty());
}

// A closing peer may never read the rest of a call that is being written. The
// messages queued after it must not wait for that.
TEST_F(PeerTransportTest, QueuedMessagesMoveToAnotherLinkWhenThePeerCloses) {
  Peer Local(Loop, LocalAddress, 11);
  Peer Remote(Loop, RemoteAddress, 22);
  Local.listen();
  RawPeer Closing(Loop);
  Closing.connect(LocalAddress);
  Closing.sendHello(RemoteAddress, 22);
  runUntil([&] { return Local.Connected.size() == 1; });
  Remote.listen();
  Local.Transport.send(RemoteAddress, callMessage(1, 15'000'000));
  Local.Transport.send(RemoteAddress, callMessage(2));
  runReadyHandlers();
  std::string Frame;
  appendClose(Frame, 1);
  Closing.send(Frame);
  runUntil([&] { return !Remote.Received.empty(); });
  EXPECT_EQ(sequenceOf(Remote.Received[0].Message), 2U);
  EXPECT_TRUE(Local.Lost.empty());
}
