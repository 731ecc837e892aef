// SnapshotAssembly.cpp - Assembly of a snapshot that a parent sends in pieces.

#include "SnapshotAssembly.h"

#include <utility>

namespace figsail {

/// Bound on the text of a snapshot. At 7,600 members it has 2.3 MB.
static constexpr std::size_t MaxSnapshotBytes = std::size_t{32} * 1024 * 1024;

std::optional<std::string> SnapshotAssembly::add(const PeerRef &From,
                                                 const Snapshot &Piece) {
  if (Piece.Index == 0) {
    clear();
    Source = From;
    At = Piece.At;
    Count = Piece.Count;
  }
  bool Follows = From == Source && Piece.At == At && Piece.Count == Count &&
                 Piece.Index == Pieces && Piece.Index < Count;
  if (!Follows || Text.size() + Piece.State.size() > MaxSnapshotBytes) {
    clear();
    return std::nullopt;
  }
  Text += Piece.State;
  if (++Pieces < Count)
    return std::nullopt;
  std::string Complete = std::move(Text);
  clear();
  return Complete;
}

void SnapshotAssembly::linkLost(const HostId &Host) {
  if (Source.Host == Host)
    clear();
}

} // namespace figsail
