// EchoBody.cpp - Response bodies with a request id and a checksum.

#include "EchoBody.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace figsail {

std::uint64_t textHash(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

std::string makeEchoBody(std::string_view RequestId, std::size_t PayloadBytes) {
  // The payload depends on the id, so that a mixture of two bodies matches
  // neither checksum.
  std::string Payload(PayloadBytes, '.');
  for (std::size_t I = 0; I < PayloadBytes && !RequestId.empty(); ++I)
    Payload[I] = RequestId[I % RequestId.size()];
  std::string Prefix = "id " + std::string(RequestId) + " length " +
                       std::to_string(PayloadBytes) + " checksum ";
  std::uint64_t Checksum = textHash(Prefix + Payload);
  return Prefix + std::to_string(Checksum) + "\n" + Payload;
}

/// Returns the payload length from the first line, or 0 when it is unreadable.
static std::size_t parseLength(std::string_view Line) {
  constexpr std::string_view Label = " length ";
  std::size_t LabelStart = Line.rfind(Label);
  if (LabelStart == std::string_view::npos)
    return 0;
  std::size_t Length = 0;
  std::from_chars(Line.data() + LabelStart + Label.size(),
                  Line.data() + Line.size(), Length);
  return Length;
}

bool isEchoBody(std::string_view Body, std::string_view RequestId) {
  std::size_t LineEnd = Body.find('\n');
  if (LineEnd == std::string_view::npos)
    return false;
  std::size_t Length = parseLength(Body.substr(0, LineEnd));
  if (Length != Body.size() - LineEnd - 1)
    return false;
  return Body == makeEchoBody(RequestId, Length);
}

} // namespace figsail
