// TopicPacking.h - Compressed encoding of topic updates, against a value that
// the receiver has.

#ifndef FIGSAIL_SIDECAR_TOPICPACKING_H
#define FIGSAIL_SIDECAR_TOPICPACKING_H

#include "figsail/PeerMessages.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace figsail {

/// Large values of recent records, by digest. A new version of a value is
/// compressed against an earlier one, so it takes about as many bytes as the
/// two differ in.
class ValueBases {
public:
  /// Adds a value if it is large. The oldest values are dropped.
  void add(const std::string &Value);
  /// Returns the value with that digest, or null.
  std::shared_ptr<const std::string> find(std::uint64_t Digest) const;
  /// Returns the digest of the value that was added last; 0: none.
  std::uint64_t newest() const {
    return Values.empty() ? 0 : Values.back().Digest;
  }

private:
  struct Entry {
    std::uint64_t Digest;
    std::shared_ptr<const std::string> Value;
  };
  std::deque<Entry> Values; ///< The newest at the back.
};

/// Encoded and compressed update.
struct PackedUpdate {
  std::uint64_t Base = 0;   ///< Digest of the value that it was compressed
                            ///< against; 0: none.
  std::uint64_t Digest = 0; ///< Of the encoded update.
  std::uint64_t Size = 0;   ///< Of the encoded update, in bytes.
  std::string Bytes;
};

/// Reason why packed bytes give no update.
enum class UnpackError : std::uint8_t {
  TooLarge,    ///< The stated size exceeds the limit.
  UnknownBase, ///< The value that it was compressed against is not known.
  Corrupt,     ///< The bytes are invalid or have another digest.
};
/// Returns a short name for logs.
std::string_view unpackErrorName(UnpackError Error);

/// Encodes an update without its stream and number.
std::string encodeUpdate(const TopicUpdate &Update);

/// Compresses an encoded update. Base may be null.
PackedUpdate packUpdate(std::string_view Encoded, std::uint64_t BaseDigest,
                        const std::string *Base);

/// Restores an update. The stream and the number of the result are zero.
std::variant<TopicUpdate, UnpackError> unpackUpdate(const PackedUpdate &Packed,
                                                    const ValueBases &Bases);

/// Digest of a value. Never 0.
std::uint64_t valueDigest(std::string_view Value);

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICPACKING_H
