// EchoBody.h - Response bodies that show whose response they are and that they
// are whole.

#ifndef FIGSAIL_ECHOBODY_H
#define FIGSAIL_ECHOBODY_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace figsail {

/// Returns a body for a request id: a line with the id, the payload length and
/// a checksum of both, then the payload.
std::string makeEchoBody(std::string_view RequestId, std::size_t PayloadBytes);

/// Returns whether a body is the whole body for that request id.
bool isEchoBody(std::string_view Body, std::string_view RequestId);

/// Returns the XXH3 hash of a text.
std::uint64_t textHash(std::string_view Text);

} // namespace figsail

#endif // FIGSAIL_ECHOBODY_H
