// KeyDigest.cpp - SHA-256 of keys, computed by libcrypto.

#include "KeyDigest.h"

#include <cstring>
#include <openssl/evp.h>

namespace figsail {

std::optional<KeyDigest> digestOfKey(std::string_view Key) {
  KeyDigest Digest{};
  unsigned Length = 0;
  int Done = EVP_Digest(Key.data(), Key.size(), Digest.data(), &Length,
                        EVP_sha256(), nullptr);
  if (Done != 1 || Length != Digest.size())
    return std::nullopt;
  return Digest;
}

/// The bytes of a digest are evenly distributed, so any part of it is a hash.
std::size_t KeyDigestHash::operator()(const KeyDigest &Digest) const {
  std::size_t Hash = 0;
  std::memcpy(&Hash, Digest.data(), sizeof(Hash));
  return Hash;
}

} // namespace figsail
