// KeyDigest.h - Digests of the keys with which clients identify a workspace.

#ifndef FIGSAIL_SIDECAR_KEYDIGEST_H
#define FIGSAIL_SIDECAR_KEYDIGEST_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace figsail {

/// SHA-256 digest of a key. Configurations hold digests in place of keys.
using KeyDigest = std::array<std::uint8_t, 32>;

/// Returns the digest of a key, or nothing if the cryptographic library cannot
/// compute it.
std::optional<KeyDigest> digestOfKey(std::string_view Key);

/// Hash function for tables by digest.
struct KeyDigestHash {
  std::size_t operator()(const KeyDigest &Digest) const;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_KEYDIGEST_H
