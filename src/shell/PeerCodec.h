// PeerCodec.h - Encoding and decoding of the frames of the peer protocol.

#ifndef FIGSAIL_PEERCODEC_H
#define FIGSAIL_PEERCODEC_H

#include "figsail/PeerMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace figsail {

/// First frame that each side of a link sends. It identifies the sender.
struct Hello {
  std::uint32_t Version =
      PeerProtocolVersion; ///< The first field in all versions.
  PeerRef Sender;          ///< Not decoded for another version.
  std::string Region{};    ///< Region of the sender. Empty: unknown.

  bool operator==(const Hello &) const = default;
};

/// Fixed-size start of a frame: payload length (4 bytes), XXH3 checksum (8),
/// Lamport counter (8), all little-endian. The payload follows. An empty
/// payload announces an orderly close.
struct FrameHeader {
  std::uint32_t Length = 0;   ///< Payload size in bytes.
  std::uint64_t Checksum = 0; ///< Over the Lamport counter and the payload.
  std::uint64_t Lamport = 0;
};
inline constexpr std::size_t FrameHeaderBytes = 20;

/// Appends the frame of a message.
void appendFrame(std::string &Out, std::uint64_t Lamport,
                 const PeerMessage &Message);
/// Appends the frame of a Hello.
void appendHello(std::string &Out, std::uint64_t Lamport, const Hello &Message);
/// Appends the frame that announces an orderly close.
void appendClose(std::string &Out, std::uint64_t Lamport);

/// Reads the header at the start of Bytes, which must hold at least
/// FrameHeaderBytes bytes.
FrameHeader readFrameHeader(std::string_view Bytes);
/// Returns whether the checksum in the header matches the header's Lamport
/// counter and the payload.
bool checksumMatches(const FrameHeader &Header, std::string_view Payload);

/// Decodes the payload of a message. Returns nothing unless the whole payload
/// is one valid message.
std::optional<PeerMessage> decodeMessage(std::string_view Payload);
/// Decodes the payload of a Hello. For another protocol version, only the field
/// Version is set. Returns nothing when the payload is not a Hello.
std::optional<Hello> decodeHello(std::string_view Payload);

/// Estimates the bytes that a message takes in memory and on the wire. The
/// sizes of bodies and records are exact, those of the other fields are flat
/// amounts.
std::size_t estimateSize(const PeerMessage &Message);

} // namespace figsail

#endif // FIGSAIL_PEERCODEC_H
