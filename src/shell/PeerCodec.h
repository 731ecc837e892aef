// PeerCodec.h - Frames of the peer protocol.

#ifndef FIGSAIL_PEERCODEC_H
#define FIGSAIL_PEERCODEC_H

#include "figsail/PeerMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace figsail {

/// First frame of each side of a link.
struct Hello {
  std::uint32_t Version =
      PeerProtocolVersion; ///< First field in every version.
  PeerRef Sender;          ///< Not set when the version is another one.
  std::string Region{};    ///< Of Who. Empty: not known.

  bool operator==(const Hello &) const = default;
};

/// Fixed part of a frame: length (4 bytes), XXH3 checksum (8), Lamport counter
/// (8), all little-endian. The payload follows; an empty one announces an
/// orderly close.
struct FrameHeader {
  std::uint32_t Length = 0;   ///< Bytes of the payload.
  std::uint64_t Checksum = 0; ///< Of the Lamport counter and the payload.
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

/// Reads the header at the start of Bytes, which holds at least
/// FrameHeaderBytes.
FrameHeader readFrameHeader(std::string_view Bytes);
/// Returns whether the checksum fits the counter and the payload.
bool checksumMatches(const FrameHeader &Header, std::string_view Payload);

/// Decodes a payload. Returns nothing unless all of it is one valid message.
std::optional<PeerMessage> decodeMessage(std::string_view Payload);
/// Decodes the payload of a Hello. With another version only that is set.
std::optional<Hello> decodeHello(std::string_view Payload);

/// Estimates the bytes that a message takes in memory and on the wire; exact in
/// its large parts.
std::size_t estimateSize(const PeerMessage &Message);

} // namespace figsail

#endif // FIGSAIL_PEERCODEC_H
