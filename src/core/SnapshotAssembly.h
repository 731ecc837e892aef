// SnapshotAssembly.h - Assembly of a snapshot that a parent sends in pieces.

#ifndef FIGSAIL_SNAPSHOTASSEMBLY_H
#define FIGSAIL_SNAPSHOTASSEMBLY_H

#include "figsail/PeerMessages.h"

#include <optional>
#include <string>

namespace figsail {

/// Collector of the pieces of one snapshot. A piece that does not follow the
/// one before it ends the collection; the parent then sees no progress and
/// sends the snapshot again.
class SnapshotAssembly {
public:
  /// Adds a piece. Returns the text of the snapshot when it is complete.
  std::optional<std::string> add(const PeerRef &From, const Snapshot &Piece);
  /// Drops the pieces of a daemon whose link broke.
  void linkLost(const HostId &Host);
  /// Returns the number of pieces of the unfinished snapshot.
  std::uint32_t pieces() const { return Pieces; }

private:
  void clear() { *this = SnapshotAssembly(); }

  PeerRef Source;
  Offset At = NoOffset;
  std::uint32_t Count = 0;
  std::uint32_t Pieces = 0; ///< That have arrived.
  std::string Text;
};

} // namespace figsail

#endif // FIGSAIL_SNAPSHOTASSEMBLY_H
