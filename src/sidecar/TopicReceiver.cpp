// TopicReceiver.cpp - Assembly of the topic updates that other daemons send.

#include "TopicReceiver.h"

#include <algorithm>
#include <utility>

namespace figsail {

/// Bound on the compressed bytes of an update.
static constexpr std::size_t MaxPackedBytes = std::size_t{16} * 1024 * 1024;

std::uint64_t TopicReceiver::stream(const HostId &Source, std::uint64_t Seed) {
  SourceState &State = Sources[Source];
  if (State.Stream == 0)
    State.Stream = std::max<std::uint64_t>(1, Seed);
  return State.Stream;
}

bool TopicReceiver::inOrder(const HostId &Source, const TopicUpdate &Update) {
  if (Update.Stream == 0)
    return true;
  auto Found = Sources.find(Source);
  if (Found == Sources.end() || Found->second.Stream != Update.Stream)
    return false;
  SourceState &State = Found->second;
  // A source that lost the link starts the stream anew.
  bool Starts = (Update.Number & 0xffffffff) == 1;
  bool Expected = Starts || Update.Number == State.Number + 1;
  if (!Expected) {
    Sources.erase(Found);
    return false;
  }
  State.Number = Update.Number;
  return true;
}

void TopicReceiver::fail(const HostId &Source, std::string_view Reason,
                         SidecarEffects &Out) {
  Sources.erase(Source);
  Decision Line{LogLevel::Warning, "topic-update-unusable", {}};
  Line.Fields = {{"source", Source}, {"reason", std::string(Reason)}};
  Out.emplace_back(std::move(Line));
}

std::optional<TopicUpdate> TopicReceiver::receive(const HostId &Source,
                                                  const TopicPiece &Piece,
                                                  const ValueBases &Bases,
                                                  SidecarEffects &Out) {
  if (!expects(Source, Piece))
    return std::nullopt;
  SourceState &State = Sources[Source];
  if (Piece.Index == 0) {
    State.PieceNumber = Piece.Number;
    State.NextPiece = 0;
    State.Unfinished = {Piece.Base, Piece.Digest, Piece.Size, {}};
  }
  bool Follows =
      Piece.Index == State.NextPiece && Piece.Number == State.PieceNumber &&
      Piece.Digest == State.Unfinished.Digest && Piece.Index < Piece.Count;
  if (!Follows) {
    fail(Source, "piece-missing", Out);
    return std::nullopt;
  }
  if (State.Unfinished.Bytes.size() + Piece.Bytes.size() > MaxPackedBytes) {
    fail(Source, unpackErrorName(UnpackError::TooLarge), Out);
    return std::nullopt;
  }
  State.Unfinished.Bytes += Piece.Bytes;
  if (++State.NextPiece < Piece.Count)
    return std::nullopt;
  PackedUpdate Packed = std::exchange(State.Unfinished, {});
  State.NextPiece = 0;
  auto Unpacked = unpackUpdate(Packed, Bases);
  if (const auto *Error = std::get_if<UnpackError>(&Unpacked)) {
    fail(Source, unpackErrorName(*Error), Out);
    return std::nullopt;
  }
  auto &Update = std::get<TopicUpdate>(Unpacked);
  Update.Stream = Piece.Stream;
  Update.Number = Piece.Number;
  return std::move(Update);
}

void TopicReceiver::keepOnly(const HostId &Source) {
  std::erase_if(Sources,
                [&](const auto &Entry) { return Entry.first != Source; });
}

bool TopicReceiver::expects(const HostId &Source,
                            const TopicPiece &Piece) const {
  auto Found = Sources.find(Source);
  return Found != Sources.end() && Found->second.Stream == Piece.Stream;
}

} // namespace figsail
