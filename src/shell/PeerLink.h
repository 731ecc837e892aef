// PeerLink.h - Link between two daemons over one TCP connection.

#ifndef FIGSAIL_PEERLINK_H
#define FIGSAIL_PEERLINK_H

#include "BulkPacer.h"
#include "LinkCompression.h"
#include "PeerSendQueue.h"
#include "PeerTransport.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace figsail {

class PeerLink;
struct Hello;

/// Reason for which a link was closed.
enum class LinkCloseReason : std::uint8_t {
  Broken,  ///< The link failed or could not be opened.
  Orderly, ///< One side announced the close; no sent message is lost.
  Reset,   ///< Closed by PeerTransport::reset().
};

/// Owner of links, notified of their events. A link never calls it from within
/// one of its own public functions.
class LinkOwner {
public:
  virtual ~LinkOwner() = default;
  /// Both sides have exchanged their Hello.
  virtual void linkOpened(const std::shared_ptr<PeerLink> &Link) = 0;
  /// A message has arrived.
  virtual void linkReceived(const std::shared_ptr<PeerLink> &Link,
                            PeerMessage Message) = 0;
  /// Bytes of a large message that is not complete yet have arrived.
  virtual void linkReceiving(const std::shared_ptr<PeerLink> &Link) = 0;
  /// The peer has announced a close while a write is unfinished. Queued:
  /// messages that are not encoded yet, to be sent over another link.
  virtual void linkClosingByPeer(const std::shared_ptr<PeerLink> &Link,
                                 std::vector<PeerMessage> Queued) = 0;
  /// The link is closed. Unsent: messages of which no byte was written.
  virtual void linkClosed(const std::shared_ptr<PeerLink> &Link,
                          LinkCloseReason Reason,
                          std::vector<PeerMessage> Unsent) = 0;
};

/// State that all links of a daemon share.
struct LinkContext {
  boost::asio::io_context &Loop;
  PeerRef Self;
  LamportClock &Clock;
  PeerSettings Settings;
  LinkOwner *Owner = nullptr; ///< Null once the transport is stopped.
  std::vector<char> ReadBuffer = std::vector<char>(
      std::size_t(256) * 1024); ///< Used by one link at a time.
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::vector<CrossRegionTraffic> Traffic = std::vector<CrossRegionTraffic>(
      std::variant_size_v<PeerMessage>); ///< By the message type's index.
  BulkPacer Pacer{Settings.LinkBytes};
};

/// One link to a peer. Each side sends a Hello first; messages follow.
class PeerLink : public BulkSender,
                 public std::enable_shared_from_this<PeerLink> {
public:
  enum class Phase : std::uint8_t {
    Connecting,    ///< The TCP connection is not open yet.
    AwaitingHello, ///< The peer's Hello has not arrived yet.
    Open,
    Closing,     ///< This side announced an orderly close; it still reads.
    PeerClosing, ///< The peer announced one; this side finishes its write.
    Closed,
  };

  PeerLink(std::shared_ptr<LinkContext> Context,
           boost::asio::ip::tcp::socket Socket);

  /// Opens the connection to a host.
  void connect(const HostId &Host,
               const boost::asio::ip::tcp::endpoint &Address);
  /// Starts the link on an accepted connection.
  void startAccepted();
  /// Queues a message; PeerSendQueue decides the order. The link breaks when
  /// the queued bytes exceed PeerSettings::MaxQueuedBytes.
  void send(PeerMessage Message);
  /// Drops what is queued of an answer that the peer no longer wants.
  void dropAnswer(const CallId &Call) { Queue.dropAnswer(Call); }
  void resumeBulk() override { flush(); }
  /// Announces an orderly close, if the link is open and has nothing left to
  /// send.
  void close();
  /// Closes the link at once.
  void closeNow(LinkCloseReason Reason);

  Phase phase() const { return CurrentPhase; }
  /// Returns the peer; the incarnation is 0 until its Hello has arrived.
  const PeerRef &peer() const { return Peer; }
  /// Returns when a message was last sent or received.
  std::chrono::steady_clock::time_point lastUsed() const { return LastUsed; }
  /// Returns whether a message is queued or being written.
  bool busy() const;

private:
  void handleConnect(const boost::system::error_code &Error);
  void sendHello();
  void startDeadline();
  void fail(const std::string &Reason);
  void scheduleFlush();
  void flush();
  void fillWriteBuffer();
  bool mayWriteAnswers();
  void encode(PeerMessage Message);
  void handleWritten(const boost::system::error_code &Error, std::size_t Bytes);
  void reportClosed();
  std::vector<PeerMessage> collectUnsent();
  void waitUntilReadable();
  void readAvailable();
  void startCompression(const std::string &PeerRegion);
  void appendEncoded(std::string &Out, std::string_view Frame);
  void processInput(std::string_view Data);
  void decompress(std::string_view Data);
  void processFrames(std::string_view Data);
  std::size_t handleCompleteFrames(std::string_view Data);
  void reportUnfinishedFrame();
  void handleFrame(std::uint64_t Lamport, std::string_view Payload);
  void handleHello(std::string_view Payload);
  bool acceptsHello(const Hello &PeerHello);
  void handlePeerClose();

  /// A message in the write buffer.
  struct EncodedMessage {
    std::size_t Start; ///< Position of its first byte.
    PeerMessage Message;
  };

  std::shared_ptr<LinkContext> Context;
  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Deadline; ///< Runs until the link is open.
  Phase CurrentPhase = Phase::Connecting;
  LinkCloseReason ReportedReason = LinkCloseReason::Broken;
  PeerRef Peer;
  bool Writing = false;            ///< An asynchronous write is unfinished.
  bool FlushScheduled = false;     ///< flush() is posted.
  bool CloseFrameBuffered = false; ///< The close frame is in the write buffer.
  std::string PendingFrame;        ///< Hello or close frame to write next.
  std::string WriteBuffer;         ///< Bytes of the current write.
  std::vector<EncodedMessage> EncodedMessages; ///< Messages in WriteBuffer.
  PeerSendQueue Queue;     ///< Messages that are not encoded yet.
  std::string FrameBuffer; ///< Frame that is being encoded.
  std::optional<LinkCompressor> Compressor; ///< Set on links between regions.
  std::optional<LinkDecompressor> Decompressor; ///< Set with Compressor.
  std::string PartialFrame; ///< Received start of an incomplete frame.
  std::chrono::steady_clock::time_point LastUsed;
};

} // namespace figsail

#endif // FIGSAIL_PEERLINK_H
