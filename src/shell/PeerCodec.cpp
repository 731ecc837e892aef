// PeerCodec.cpp - Encoding and decoding of the frames of the peer protocol.

#include "PeerCodec.h"

#include "PeerArchive.h"

#include <boost/endian/conversion.hpp>
#include <ostream>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace figsail {

namespace endian = boost::endian;

static unsigned char *bytesAt(std::string &Text, std::size_t Position) {
  return reinterpret_cast<unsigned char *>(Text.data() + Position);
}

static std::uint64_t frameChecksum(std::uint64_t Lamport,
                                   std::string_view Payload) {
  return XXH3_64bits_withSeed(Payload.data(), Payload.size(), Lamport);
}

/// Fills in the header of the frame that spans from Start to the end of Out.
static void finishFrame(std::string &Out, std::size_t Start,
                        std::uint64_t Lamport) {
  std::string_view Payload =
      std::string_view(Out).substr(Start + FrameHeaderBytes);
  std::uint64_t Checksum = frameChecksum(Lamport, Payload);
  endian::store_little_u32(bytesAt(Out, Start),
                           static_cast<std::uint32_t>(Payload.size()));
  endian::store_little_u64(bytesAt(Out, Start + 4), Checksum);
  endian::store_little_u64(bytesAt(Out, Start + 12), Lamport);
}

template <class... Fields>
static void appendPayload(std::string &Out, std::uint64_t Lamport,
                          const Fields &...Values) {
  std::size_t Start = Out.size();
  Out.resize(Start + FrameHeaderBytes);
  AppendBuffer Buffer(Out);
  std::ostream Stream(&Buffer);
  cereal::PortableBinaryOutputArchive Archive(
      Stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
  Archive(Values...);
  finishFrame(Out, Start, Lamport);
}

void appendFrame(std::string &Out, std::uint64_t Lamport,
                 const PeerMessage &Message) {
  appendPayload(Out, Lamport, Message);
}

void appendHello(std::string &Out, std::uint64_t Lamport,
                 const Hello &Message) {
  appendPayload(Out, Lamport, Message.Version, Message.Sender, Message.Region);
}

void appendClose(std::string &Out, std::uint64_t Lamport) {
  std::size_t Start = Out.size();
  Out.resize(Start + FrameHeaderBytes);
  finishFrame(Out, Start, Lamport);
}

FrameHeader readFrameHeader(std::string_view Bytes) {
  const auto *Data = reinterpret_cast<const unsigned char *>(Bytes.data());
  FrameHeader Header;
  Header.Length = endian::load_little_u32(Data);
  Header.Checksum = endian::load_little_u64(Data + 4);
  Header.Lamport = endian::load_little_u64(Data + 12);
  return Header;
}

bool checksumMatches(const FrameHeader &Header, std::string_view Payload) {
  return frameChecksum(Header.Lamport, Payload) == Header.Checksum;
}

static bool isValidKind(ErrorKind Kind) {
  return static_cast<std::size_t>(Kind) < ErrorKindCount;
}

static bool isValidState(RecordState State) {
  return State <= RecordState::Released;
}

/// Returns whether every enum field holds an enumerator of its type. cereal
/// accepts any number.
template <class T> static bool hasValidEnums(const T &Message) {
  if constexpr (requires { isValidKind(Message.Kind); })
    return isValidKind(Message.Kind);
  if constexpr (requires { isValidState(Message.State); })
    return isValidState(Message.State);
  return true;
}

static bool hasValidEnums(const FenceAck &Message) {
  for (const RecordCopy &Copy : Message.Records)
    if (!hasValidEnums(Copy))
      return false;
  return true;
}

std::optional<PeerMessage> decodeMessage(std::string_view Payload) {
  try {
    PeerMessage Message;
    ViewInputArchive Archive(Payload);
    Archive(Message);
    if (Archive.remaining() != 0)
      return std::nullopt;
    bool Valid = std::visit(
        [](const auto &Body) { return hasValidEnums(Body); }, Message);
    if (!Valid)
      return std::nullopt;
    return Message;
  } catch (const cereal::Exception &) {
    return std::nullopt;
  }
}

std::optional<Hello> decodeHello(std::string_view Payload) {
  try {
    Hello Message;
    ViewInputArchive Archive(Payload);
    Archive(Message.Version);
    if (Message.Version != PeerProtocolVersion)
      return Message;
    Archive(Message.Sender, Message.Region);
    if (Archive.remaining() != 0)
      return std::nullopt;
    return Message;
  } catch (const cereal::Exception &) {
    return std::nullopt;
  }
}

/// Estimates the size of an HTTP message, with 64 bytes for each header field.
static std::size_t estimateHttpSize(const HttpRequest &Request) {
  return Request.Target.size() + Request.Body.size() +
         Request.Headers.size() * 64;
}

static std::size_t estimateHttpSize(const HttpResponse &Response) {
  return Response.Body.size() + Response.Headers.size() * 64;
}

template <class T> static std::size_t estimateVariableSize(const T &Message) {
  if constexpr (requires { estimateHttpSize(Message.Request); })
    return estimateHttpSize(Message.Request);
  if constexpr (requires { estimateHttpSize(Message.Response); })
    return estimateHttpSize(Message.Response);
  return 0;
}

static std::size_t estimateVariableSize(const Records &Message) {
  std::size_t Size = 0;
  for (const LogRecord &Record : Message.Batch)
    Size += Record.Data.size() + sizeof(Record);
  return Size;
}

static std::size_t estimateVariableSize(const FenceAck &Message) {
  std::size_t Size = 0;
  for (const RecordCopy &Copy : Message.Records)
    Size += estimateHttpSize(Copy.Response) + sizeof(Copy);
  return Size;
}

static std::size_t estimateVariableSize(const TopicUpdate &Message) {
  std::size_t Size = 0;
  for (const TopicContents &Part : Message.Parts)
    for (const KeyedRecord &Record : Part.Records)
      Size += Record.Key.size() + sizeof(Record) +
              (Record.Value ? Record.Value->size() : 0);
  return Size;
}

static std::size_t estimateVariableSize(const TopicPiece &Message) {
  return Message.Bytes.size();
}

static std::size_t estimateVariableSize(const QuotaReport &Message) {
  std::size_t Size = 0;
  for (const QuotaUsage &Usage : Message.Usage)
    Size += Usage.Workspace.size() + sizeof(Usage);
  return Size;
}

static std::size_t estimateVariableSize(const QuotaReply &Message) {
  std::size_t Size = 0;
  for (const QuotaGrant &Grant : Message.Grants)
    Size += Grant.Workspace.size() + sizeof(Grant);
  return Size;
}

static std::size_t estimateVariableSize(const AnswerPiece &Message) {
  return Message.Bytes.size() +
         (Message.Head ? estimateHttpSize(Message.Head->Response) : 0);
}

static std::size_t estimateVariableSize(const Snapshot &Message) {
  return Message.State.size();
}

std::size_t estimateSize(const PeerMessage &Message) {
  // 256 bytes for the fixed-size fields.
  return 256 +
         std::visit([](const auto &Body) { return estimateVariableSize(Body); },
                    Message);
}

} // namespace figsail
