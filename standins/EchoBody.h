// EchoBody.h - Response bodies with a request id and a checksum.

#ifndef FIGSAIL_ECHOBODY_H
#define FIGSAIL_ECHOBODY_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace figsail {

/// Returns a body for a request id: a line with the id, the payload length and
/// a checksum, then the payload. The checksum reveals truncated and mixed-up
/// bodies.
std::string makeEchoBody(std::string_view RequestId, std::size_t PayloadBytes);

/// Returns whether a body is the complete body for a request id.
bool isEchoBody(std::string_view Body, std::string_view RequestId);

/// Returns the XXH3 hash of a text.
std::uint64_t textHash(std::string_view Text);

} // namespace figsail

#endif // FIGSAIL_ECHOBODY_H
