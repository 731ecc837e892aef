// PeerLink.cpp - Link between two daemons over one TCP connection.

#include "PeerLink.h"

#include "Logging.h"
#include "PeerCodec.h"
#include "SocketOptions.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <iterator>
#include <optional>
#include <utility>

namespace figsail {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Limit on the bytes of a link that the kernel has accepted and not yet sent.
/// What is queued later cannot overtake them.
static constexpr std::size_t MaxUnsentKernelBytes = std::size_t(64) * 1024;

/// Buffers with a larger capacity are freed after use: a daemon has up to a few
/// thousand links and 128 MB of memory.
static constexpr std::size_t MaxRetainedBufferBytes = 4096;
static constexpr std::size_t MaxRetainedMessages = 16;

/// Payload of a frame from which on the arrival of its parts is reported. It
/// takes 6 ms on a link of 10 Mbit/s; other messages hardly wait behind smaller
/// ones.
static constexpr std::size_t MinReportedFrameBytes = std::size_t(8) * 1024;

static TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

static void clearBuffer(std::string &Buffer) {
  if (Buffer.capacity() > MaxRetainedBufferBytes)
    Buffer = std::string();
  Buffer.clear();
}

PeerLink::PeerLink(std::shared_ptr<LinkContext> Context, tcp::socket Socket)
    : Context(std::move(Context)), Socket(std::move(Socket)),
      Deadline(this->Context->Loop),
      LastUsed(std::chrono::steady_clock::now()) {}

bool PeerLink::busy() const {
  return Writing || FlushScheduled || !Queue.empty();
}

// Opening.

void PeerLink::connect(const HostId &Host, const tcp::endpoint &Address) {
  Peer.Host = Host;
  startDeadline();
  Socket.async_connect(Address,
                       [Self = shared_from_this()](const error_code &Error) {
                         Self->handleConnect(Error);
                       });
}

void PeerLink::handleConnect(const error_code &Error) {
  if (CurrentPhase == Phase::Closed)
    return;
  if (Error)
    return closeNow(LinkCloseReason::Broken);
  sendHello();
}

void PeerLink::startAccepted() {
  startDeadline();
  sendHello();
}

void PeerLink::startDeadline() {
  Deadline.expires_after(Context->Settings.ConnectTimeout);
  Deadline.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error && Self->CurrentPhase <= Phase::AwaitingHello)
      Self->closeNow(LinkCloseReason::Broken);
  });
}

void PeerLink::sendHello() {
  CurrentPhase = Phase::AwaitingHello;
  error_code Error;
  Socket.set_option(tcp::no_delay(true), Error);
  setTcpUserTimeout(Socket, Context->Settings.UnacknowledgedLimit);
  setUnsentLimit(Socket, MaxUnsentKernelBytes);
  Socket.non_blocking(true, Error);
  if (Error)
    return closeNow(LinkCloseReason::Broken);
  appendHello(
      PendingFrame, Context->Clock.tick(),
      Hello{PeerProtocolVersion, Context->Self, Context->Settings.Region});
  flush();
  waitUntilReadable();
}

// Closing.

void PeerLink::fail(const std::string &Reason) {
  if (CurrentPhase == Phase::Closed)
    return;
  std::string Name = Peer.Host.empty() ? "unknown peer" : Peer.Host;
  logWarning("peer", "link to " + Name + " closed: " + Reason);
  closeNow(LinkCloseReason::Broken);
}

void PeerLink::close() {
  if (CurrentPhase != Phase::Open || busy())
    return;
  CurrentPhase = Phase::Closing;
  FrameBuffer.clear();
  appendClose(FrameBuffer, Context->Clock.tick());
  appendEncoded(PendingFrame, FrameBuffer);
  CloseFrameBuffered = true;
  LastUsed = std::chrono::steady_clock::now();
  flush();
}

void PeerLink::closeNow(LinkCloseReason Reason) {
  if (CurrentPhase == Phase::Closed)
    return;
  CurrentPhase = Phase::Closed;
  ReportedReason = Reason;
  error_code Ignored;
  // Send a TCP reset. Otherwise the kernel would still deliver the written
  // bytes, seconds later after a partition.
  if (Reason != LinkCloseReason::Orderly)
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
  Deadline.cancel();
  // With an unfinished write, its completion handler reports the close: only
  // then is it known of which messages a byte was written.
  if (!Writing)
    asio::post(Context->Loop,
               [Self = shared_from_this()] { Self->reportClosed(); });
}

void PeerLink::reportClosed() {
  std::vector<PeerMessage> Unsent = collectUnsent();
  if (Context->Owner)
    Context->Owner->linkClosed(shared_from_this(), ReportedReason,
                               std::move(Unsent));
}

std::vector<PeerMessage> PeerLink::collectUnsent() {
  std::vector<PeerMessage> Unsent;
  for (EncodedMessage &Entry : EncodedMessages)
    Unsent.push_back(std::move(Entry.Message));
  EncodedMessages.clear();
  std::ranges::move(Queue.takeAll(), std::back_inserter(Unsent));
  return Unsent;
}

// Writing.

void PeerLink::send(PeerMessage Message) {
  Queue.push(std::move(Message));
  LastUsed = std::chrono::steady_clock::now();
  if (Queue.queuedBytes() > Context->Settings.MaxQueuedBytes)
    return fail("the peer reads too slowly: the queue exceeds its limit");
  scheduleFlush();
}

/// Defers the write until the current handler has returned, so that all
/// messages that one event sends share a write.
void PeerLink::scheduleFlush() {
  if (FlushScheduled || Writing || CurrentPhase != Phase::Open)
    return;
  FlushScheduled = true;
  asio::post(Context->Loop, [Self = shared_from_this()] {
    Self->FlushScheduled = false;
    Self->flush();
  });
}

void PeerLink::flush() {
  if (Writing || CurrentPhase == Phase::Closed)
    return;
  WriteBuffer.append(PendingFrame);
  PendingFrame.clear();
  if (CurrentPhase == Phase::Open)
    fillWriteBuffer();
  if (WriteBuffer.empty())
    return;
  Writing = true;
  asio::async_write(
      Socket, asio::buffer(WriteBuffer),
      [Self = shared_from_this()](const error_code &Error, std::size_t Bytes) {
        Self->handleWritten(Error, Bytes);
      });
}

void PeerLink::fillWriteBuffer() {
  // A message that is too large is dropped. If that leaves the write empty, no
  // end of a write starts the next one.
  bool Taken = true;
  while (WriteBuffer.empty() && Taken) {
    Taken = false;
    Queue.startWrite(mayWriteAnswers());
    while (std::optional<PeerMessage> Message =
               Queue.next(WriteBuffer.size())) {
      Taken = true;
      encode(std::move(*Message));
    }
  }
}

/// Returns whether the next write may contain a piece of an answer. If not, the
/// pacer starts a write later.
bool PeerLink::mayWriteAnswers() {
  return !Queue.hasAnswers() ||
         Context->Pacer.request(steadyNow(), shared_from_this());
}

void PeerLink::encode(PeerMessage Message) {
  std::size_t Start = WriteBuffer.size();
  FrameBuffer.clear();
  appendFrame(FrameBuffer, Context->Clock.tick(), Message);
  std::size_t Payload = FrameBuffer.size() - FrameHeaderBytes;
  if (Payload <= Context->Settings.MaxFrameBytes) {
    appendEncoded(WriteBuffer, FrameBuffer);
    if (std::holds_alternative<AnswerPiece>(Message))
      Context->Pacer.spend(steadyNow(), WriteBuffer.size() - Start);
    if (Compressor) {
      CrossRegionTraffic &Counters = Context->Traffic[Message.index()];
      Counters.MessageType = messageName(Message);
      ++Counters.Count;
      Counters.RawBytes += FrameBuffer.size();
      Counters.SentBytes += WriteBuffer.size() - Start;
    }
    EncodedMessages.push_back({Start, std::move(Message)});
  } else {
    // The peer would break the link, and the messages after this one would be
    // lost.
    logError("peer", std::string(messageName(Message)) + " of " +
                         std::to_string(Payload) + " bytes to " + Peer.Host +
                         " exceeds the frame limit and was dropped");
  }
  clearBuffer(FrameBuffer);
}

/// Compresses links between regions, where bandwidth is scarce. Each side knows
/// both regions from the two Hellos, so both switch at the same place in the
/// stream: directly after the Hello.
void PeerLink::startCompression(const std::string &PeerRegion) {
  const std::string &Own = Context->Settings.Region;
  if (Own.empty() || PeerRegion.empty() || Own == PeerRegion)
    return;
  Compressor.emplace();
  Decompressor.emplace();
}

void PeerLink::appendEncoded(std::string &Out, std::string_view Frame) {
  if (Compressor)
    Compressor->append(Out, Frame);
  else
    Out.append(Frame);
}

void PeerLink::handleWritten(const error_code &Error, std::size_t Bytes) {
  Writing = false;
  Context->BytesSent += Bytes;
  std::erase_if(EncodedMessages, [&](const EncodedMessage &Entry) {
    return Entry.Start < Bytes;
  });
  clearBuffer(WriteBuffer);
  if (EncodedMessages.empty() &&
      EncodedMessages.capacity() > MaxRetainedMessages)
    EncodedMessages.shrink_to_fit();
  if (CurrentPhase == Phase::Closed)
    return reportClosed();
  if (Error)
    return closeNow(LinkCloseReason::Broken);
  if (CurrentPhase == Phase::PeerClosing)
    return closeNow(LinkCloseReason::Orderly);
  if (CurrentPhase == Phase::Closing && CloseFrameBuffered) {
    error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    return;
  }
  flush();
}

// Reading.

/// Waits until the socket is readable. It takes no buffer, so an idle link
/// holds no memory for reading.
void PeerLink::waitUntilReadable() {
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](const error_code &Error) {
                      if (Self->CurrentPhase == Phase::Closed)
                        return;
                      if (Error)
                        return Self->closeNow(LinkCloseReason::Broken);
                      Self->readAvailable();
                    });
}

void PeerLink::readAvailable() {
  error_code Error;
  std::size_t Bytes =
      Socket.read_some(asio::buffer(Context->ReadBuffer), Error);
  Context->BytesReceived += Bytes;
  if (Error == asio::error::would_block)
    return waitUntilReadable();
  if (Error)
    return closeNow(CurrentPhase == Phase::Closing ? LinkCloseReason::Orderly
                                                   : LinkCloseReason::Broken);
  processInput({Context->ReadBuffer.data(), Bytes});
  reportUnfinishedFrame();
  if (CurrentPhase != Phase::Closed)
    waitUntilReadable();
}

/// Reports that a part of a large frame has arrived.
void PeerLink::reportUnfinishedFrame() {
  bool HasHeader = PartialFrame.size() >= FrameHeaderBytes;
  if (!HasHeader || CurrentPhase != Phase::Open || !Context->Owner)
    return;
  if (readFrameHeader(PartialFrame).Length >= MinReportedFrameBytes)
    Context->Owner->linkReceiving(shared_from_this());
}

void PeerLink::processInput(std::string_view Data) {
  if (Decompressor)
    return decompress(Data);
  processFrames(Data);
  // The bytes that followed the Hello are compressed.
  if (Decompressor && !PartialFrame.empty())
    decompress(std::exchange(PartialFrame, {}));
}

void PeerLink::decompress(std::string_view Data) {
  bool Valid =
      Decompressor->decompress(Data, [this](std::string_view Decompressed) {
        processFrames(Decompressed);
        return CurrentPhase != Phase::Closed;
      });
  if (!Valid)
    fail("the compressed stream is invalid");
}

void PeerLink::processFrames(std::string_view Data) {
  if (PartialFrame.empty()) {
    Data.remove_prefix(handleCompleteFrames(Data));
    PartialFrame.assign(Data);
    return;
  }
  PartialFrame.append(Data);
  std::size_t HandledBytes = handleCompleteFrames(PartialFrame);
  if (HandledBytes == PartialFrame.size())
    clearBuffer(PartialFrame);
  else
    PartialFrame.erase(0, HandledBytes);
}

/// Handles all complete frames and returns their size in bytes. Stops after a
/// Hello that starts compression.
std::size_t PeerLink::handleCompleteFrames(std::string_view Data) {
  std::size_t HandledBytes = 0;
  bool WasUncompressed = !Decompressor;
  while (CurrentPhase != Phase::Closed && WasUncompressed == !Decompressor) {
    std::string_view Rest = Data.substr(HandledBytes);
    if (Rest.size() < FrameHeaderBytes)
      break;
    FrameHeader Header = readFrameHeader(Rest);
    if (Header.Length > Context->Settings.MaxFrameBytes) {
      fail("a frame exceeds the length limit");
      break;
    }
    if (Rest.size() < FrameHeaderBytes + Header.Length)
      break;
    std::string_view Payload = Rest.substr(FrameHeaderBytes, Header.Length);
    HandledBytes += FrameHeaderBytes + Header.Length;
    if (checksumMatches(Header, Payload))
      handleFrame(Header.Lamport, Payload);
    else
      fail("the checksum of a frame does not match");
  }
  return HandledBytes;
}

void PeerLink::handleFrame(std::uint64_t Lamport, std::string_view Payload) {
  Context->Clock.observe(Lamport);
  if (CurrentPhase == Phase::AwaitingHello)
    return handleHello(Payload);
  if (Payload.empty())
    return handlePeerClose();
  std::optional<PeerMessage> Message = decodeMessage(Payload);
  if (!Message)
    return fail("a frame does not hold a valid message");
  LastUsed = std::chrono::steady_clock::now();
  if (Context->Owner)
    Context->Owner->linkReceived(shared_from_this(), std::move(*Message));
}

void PeerLink::handleHello(std::string_view Payload) {
  std::optional<Hello> PeerHello = decodeHello(Payload);
  if (!PeerHello)
    return fail("the first frame is not a valid Hello");
  if (!acceptsHello(*PeerHello))
    return;
  Peer = PeerHello->Sender;
  startCompression(PeerHello->Region);
  CurrentPhase = Phase::Open;
  Deadline.cancel();
  LastUsed = std::chrono::steady_clock::now();
  if (Context->Owner)
    Context->Owner->linkOpened(shared_from_this());
  scheduleFlush();
}

bool PeerLink::acceptsHello(const Hello &PeerHello) {
  if (PeerHello.Version != PeerProtocolVersion) {
    fail("the peer has protocol version " + std::to_string(PeerHello.Version) +
         ", this daemon has " + std::to_string(PeerProtocolVersion));
    return false;
  }
  if (!Peer.Host.empty() && PeerHello.Sender.Host != Peer.Host) {
    fail("the peer's Hello names the host " + PeerHello.Sender.Host);
    return false;
  }
  if (PeerHello.Sender.Host == Context->Self.Host) {
    fail("the peer's Hello names this daemon's own host");
    return false;
  }
  return true;
}

void PeerLink::handlePeerClose() {
  if (CurrentPhase == Phase::Closed)
    return;
  CurrentPhase = Phase::PeerClosing;
  if (!Writing)
    return closeNow(LinkCloseReason::Orderly);
  // The peer may take long to read the unfinished write, so the queued messages
  // move to another link now.
  std::vector<PeerMessage> Queued = Queue.takeAll();
  if (Context->Owner)
    Context->Owner->linkClosingByPeer(shared_from_this(), std::move(Queued));
}

} // namespace figsail
