// PeerLink.cpp - One TCP connection between two daemons.

#include "PeerLink.h"

#include "Logging.h"
#include "PeerCodec.h"
#include "SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <iterator>
#include <utility>

namespace figsail {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Messages are encoded into one write up to this size. Larger writes would
/// delay control messages that arrive meanwhile.
static constexpr std::size_t WriteBatchBytes = std::size_t(64) * 1024;

/// Buffers above these sizes are released after use: a daemon has up to a few
/// thousand links and 128 MB.
static constexpr std::size_t KeptBufferBytes = 4096;
static constexpr std::size_t KeptBatchSize = 16;

static void recycle(std::string &Buffer) {
  if (Buffer.capacity() > KeptBufferBytes)
    Buffer = std::string();
  Buffer.clear();
}

PeerLink::PeerLink(std::shared_ptr<LinkContext> Common, tcp::socket Socket)
    : Common(std::move(Common)), Socket(std::move(Socket)),
      Deadline(this->Common->Loop), LastUsed(std::chrono::steady_clock::now()) {
}

bool PeerLink::busy() const {
  return Writing || FlushScheduled || !Control.empty() || !Calls.empty();
}

// Opening.

void PeerLink::connect(const HostId &Host, const tcp::endpoint &Address) {
  Peer.Host = Host;
  startDeadline();
  Socket.async_connect(Address,
                       [Self = shared_from_this()](const error_code &Error) {
                         Self->connected(Error);
                       });
}

void PeerLink::connected(const error_code &Error) {
  if (State == Phase::Ended)
    return;
  if (Error)
    return end(LinkEnd::Broken);
  greet();
}

void PeerLink::accepted() {
  startDeadline();
  greet();
}

void PeerLink::startDeadline() {
  Deadline.expires_after(Common->Settings.ConnectTimeout);
  Deadline.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error && Self->State <= Phase::Greeting)
      Self->end(LinkEnd::Broken);
  });
}

void PeerLink::greet() {
  State = Phase::Greeting;
  error_code Error;
  Socket.set_option(tcp::no_delay(true), Error);
  setUserTimeout(Socket, Common->Settings.UnacknowledgedLimit);
  Socket.non_blocking(true, Error);
  if (Error)
    return end(LinkEnd::Broken);
  appendHello(
      Pending, Common->Clock.tick(),
      Hello{PeerProtocolVersion, Common->Self, Common->Settings.Region});
  flush();
  waitReadable();
}

// Closing.

void PeerLink::fail(const std::string &Reason) {
  if (State == Phase::Ended)
    return;
  std::string Name = Peer.Host.empty() ? "unknown peer" : Peer.Host;
  logWarning("peer", "link to " + Name + " closed: " + Reason);
  end(LinkEnd::Broken);
}

void PeerLink::close() {
  if (State != Phase::Open || busy())
    return;
  State = Phase::Closing;
  Frame.clear();
  appendClose(Frame, Common->Clock.tick());
  encode(Pending, Frame);
  CloseWritten = true;
  LastUsed = std::chrono::steady_clock::now();
  flush();
}

void PeerLink::end(LinkEnd Why) {
  if (State == Phase::Ended)
    return;
  State = Phase::Ended;
  EndedBy = Why;
  error_code Ignored;
  // Otherwise the kernel would still deliver what is under way, seconds later
  // after a partition.
  if (Why != LinkEnd::Orderly)
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
  Deadline.cancel();
  // A write under way reports when it has ended: only then is it known which
  // messages were begun.
  if (!Writing)
    asio::post(Common->Loop, [Self = shared_from_this()] { Self->report(); });
}

void PeerLink::report() {
  std::vector<PeerMessage> Unsent = collectUnsent();
  if (Common->Owner)
    Common->Owner->linkEnded(shared_from_this(), EndedBy, std::move(Unsent));
}

std::vector<PeerMessage> PeerLink::collectUnsent() {
  std::vector<PeerMessage> Unsent;
  for (InFlight &Entry : Batch)
    Unsent.push_back(std::move(Entry.Message));
  Batch.clear();
  takeQueued(Unsent);
  return Unsent;
}

void PeerLink::takeQueued(std::vector<PeerMessage> &Out) {
  std::ranges::move(Control, std::back_inserter(Out));
  std::ranges::move(Calls, std::back_inserter(Out));
  Control.clear();
  Calls.clear();
  QueuedBytes = 0;
}

// Writing.

void PeerLink::send(PeerMessage Message) {
  QueuedBytes += estimateSize(Message);
  std::deque<PeerMessage> &Queue = isControl(Message) ? Control : Calls;
  Queue.push_back(std::move(Message));
  LastUsed = std::chrono::steady_clock::now();
  if (QueuedBytes > Common->Settings.MaxQueuedBytes)
    return fail("the peer does not keep up");
  scheduleFlush();
}

/// Defers the write to the end of the current handler, so that all messages
/// sent by one event share a write.
void PeerLink::scheduleFlush() {
  if (FlushScheduled || Writing || State != Phase::Open)
    return;
  FlushScheduled = true;
  asio::post(Common->Loop, [Self = shared_from_this()] {
    Self->FlushScheduled = false;
    Self->flush();
  });
}

void PeerLink::flush() {
  if (Writing || State == Phase::Ended)
    return;
  WriteBuffer.append(Pending);
  Pending.clear();
  if (State == Phase::Open)
    takeMessages();
  if (WriteBuffer.empty())
    return;
  Writing = true;
  asio::async_write(
      Socket, asio::buffer(WriteBuffer),
      [Self = shared_from_this()](const error_code &Error, std::size_t Bytes) {
        Self->written(Error, Bytes);
      });
}

void PeerLink::takeMessages() {
  while (WriteBuffer.size() < WriteBatchBytes) {
    if (!Control.empty())
      takeMessage(Control);
    else if (!Calls.empty())
      takeMessage(Calls);
    else
      return;
  }
}

void PeerLink::takeMessage(std::deque<PeerMessage> &Queue) {
  std::size_t Start = WriteBuffer.size();
  PeerMessage &Message = Queue.front();
  QueuedBytes -= estimateSize(Message);
  Frame.clear();
  appendFrame(Frame, Common->Clock.tick(), Message);
  std::size_t Payload = Frame.size() - FrameHeaderBytes;
  if (Payload <= Common->Settings.MaxFrame) {
    encode(WriteBuffer, Frame);
    if (Compressor) {
      RegionTraffic &Sum = Common->Traffic[Message.index()];
      Sum.Message = messageName(Message);
      ++Sum.Count;
      Sum.RawBytes += Frame.size();
      Sum.SentBytes += WriteBuffer.size() - Start;
    }
    Batch.push_back({Start, std::move(Message)});
  } else {
    // The peer would break the link, and the messages behind would be lost.
    logError("peer", std::string(messageName(Message)) + " of " +
                         std::to_string(Payload) + " bytes to " + Peer.Host +
                         " exceeds the frame limit and was dropped");
  }
  recycle(Frame);
  Queue.pop_front();
}

/// Between regions bytes are scarce. Each side knows both regions from the two
/// Hellos, so both change at the same place: behind the Hello.
void PeerLink::startCompression(const std::string &PeerRegion) {
  const std::string &Own = Common->Settings.Region;
  if (Own.empty() || PeerRegion.empty() || Own == PeerRegion)
    return;
  Compressor.emplace();
  Decompressor.emplace();
}

void PeerLink::encode(std::string &Out, std::string_view Whole) {
  if (Compressor)
    Compressor->append(Out, Whole);
  else
    Out.append(Whole);
}

void PeerLink::written(const error_code &Error, std::size_t Bytes) {
  Writing = false;
  Common->BytesSent += Bytes;
  std::erase_if(Batch,
                [&](const InFlight &Entry) { return Entry.Start < Bytes; });
  recycle(WriteBuffer);
  if (Batch.empty() && Batch.capacity() > KeptBatchSize)
    Batch.shrink_to_fit();
  if (State == Phase::Ended)
    return report();
  if (Error)
    return end(LinkEnd::Broken);
  if (State == Phase::PeerClosing)
    return end(LinkEnd::Orderly);
  if (State == Phase::Closing && CloseWritten) {
    error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    return;
  }
  flush();
}

// Reading.

/// Waits without a buffer: an idle link holds no read buffer.
void PeerLink::waitReadable() {
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](const error_code &Error) {
                      if (Self->State == Phase::Ended)
                        return;
                      if (Error)
                        return Self->end(LinkEnd::Broken);
                      Self->readAvailable();
                    });
}

void PeerLink::readAvailable() {
  error_code Error;
  std::size_t Bytes = Socket.read_some(asio::buffer(Common->Scratch), Error);
  Common->BytesReceived += Bytes;
  if (Error == asio::error::would_block)
    return waitReadable();
  if (Error)
    return end(State == Phase::Closing ? LinkEnd::Orderly : LinkEnd::Broken);
  arrived({Common->Scratch.data(), Bytes});
  if (State != Phase::Ended)
    waitReadable();
}

void PeerLink::arrived(std::string_view Data) {
  if (Decompressor)
    return decode(Data);
  consume(Data);
  // What followed the Hello is compressed.
  if (Decompressor && !Partial.empty())
    decode(std::exchange(Partial, {}));
}

void PeerLink::decode(std::string_view Data) {
  bool Sound = Decompressor->feed(Data, [this](std::string_view Plain) {
    consume(Plain);
    return State != Phase::Ended;
  });
  if (!Sound)
    fail("the compressed stream is damaged");
}

void PeerLink::consume(std::string_view Data) {
  if (Partial.empty()) {
    Data.remove_prefix(consumeFrames(Data));
    Partial.assign(Data);
    return;
  }
  Partial.append(Data);
  std::size_t Used = consumeFrames(Partial);
  if (Used == Partial.size())
    recycle(Partial);
  else
    Partial.erase(0, Used);
}

/// Handles all whole frames and returns their size.
std::size_t PeerLink::consumeFrames(std::string_view Data) {
  std::size_t Used = 0;
  bool Plain = !Decompressor;
  while (State != Phase::Ended && Plain == !Decompressor) {
    std::string_view Rest = Data.substr(Used);
    if (Rest.size() < FrameHeaderBytes)
      break;
    FrameHeader Header = readFrameHeader(Rest);
    if (Header.Length > Common->Settings.MaxFrame) {
      fail("a frame is too long");
      break;
    }
    if (Rest.size() < FrameHeaderBytes + Header.Length)
      break;
    std::string_view Payload = Rest.substr(FrameHeaderBytes, Header.Length);
    Used += FrameHeaderBytes + Header.Length;
    if (checksumMatches(Header, Payload))
      frame(Header.Lamport, Payload);
    else
      fail("a frame fails its checksum");
  }
  return Used;
}

void PeerLink::frame(std::uint64_t Lamport, std::string_view Payload) {
  Common->Clock.observe(Lamport);
  if (State == Phase::Greeting)
    return helloReceived(Payload);
  if (Payload.empty())
    return peerCloses();
  std::optional<PeerMessage> Message = decodeMessage(Payload);
  if (!Message)
    return fail("a frame does not decode");
  LastUsed = std::chrono::steady_clock::now();
  if (Common->Owner)
    Common->Owner->linkReceived(shared_from_this(), std::move(*Message));
}

void PeerLink::helloReceived(std::string_view Payload) {
  std::optional<Hello> Greeting = decodeHello(Payload);
  if (!Greeting)
    return fail("the first frame is not a Hello");
  if (!acceptable(*Greeting))
    return;
  Peer = Greeting->Who;
  startCompression(Greeting->Region);
  State = Phase::Open;
  Deadline.cancel();
  LastUsed = std::chrono::steady_clock::now();
  if (Common->Owner)
    Common->Owner->linkOpened(shared_from_this());
  scheduleFlush();
}

bool PeerLink::acceptable(const Hello &Greeting) {
  if (Greeting.Version != PeerProtocolVersion) {
    fail("it has protocol version " + std::to_string(Greeting.Version) +
         ", this daemon has " + std::to_string(PeerProtocolVersion));
    return false;
  }
  if (!Peer.Host.empty() && Greeting.Who.Host != Peer.Host) {
    fail("it calls itself " + Greeting.Who.Host);
    return false;
  }
  if (Greeting.Who.Host == Common->Self.Host) {
    fail("it has the address of this daemon");
    return false;
  }
  return true;
}

void PeerLink::peerCloses() {
  if (State == Phase::Ended)
    return;
  State = Phase::PeerClosing;
  if (!Writing)
    return end(LinkEnd::Orderly);
  // The peer may be slow to take the write under way.
  std::vector<PeerMessage> Queued;
  takeQueued(Queued);
  if (Common->Owner)
    Common->Owner->linkClosing(shared_from_this(), std::move(Queued));
}

} // namespace figsail
