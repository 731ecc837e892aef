// TopicReceiver.h - Assembly of the topic updates that other daemons send.

#ifndef FIGSAIL_SIDECAR_TOPICRECEIVER_H
#define FIGSAIL_SIDECAR_TOPICRECEIVER_H

#include "SidecarEvents.h"
#include "TopicPacking.h"

#include <map>
#include <optional>
#include <string>

namespace figsail {

/// Receiver of streams of topic updates. It assembles the pieces of large ones
/// and notices updates that are missing: then it begins another stream, and the
/// next subscription is answered with all records from its offsets on.
class TopicReceiver {
public:
  /// Returns the stream for the next subscription at a source. Seed chooses the
  /// number of a new one.
  std::uint64_t stream(const HostId &Source, std::uint64_t Seed);

  /// An update has arrived. Returns whether all earlier ones of its stream have
  /// arrived as well, so that its offsets are valid.
  bool inOrder(const HostId &Source, const TopicUpdate &Update);
  /// A piece has arrived. Returns the update when it is complete.
  std::optional<TopicUpdate> receive(const HostId &Source,
                                     const TopicPiece &Piece,
                                     const ValueBases &Bases,
                                     SidecarEffects &Out);
  /// Returns whether a piece belongs to the present stream of its source.
  bool expects(const HostId &Source, const TopicPiece &Piece) const;

  /// The link to a source broke. Updates may be lost.
  void linkLost(const HostId &Source) { Sources.erase(Source); }
  /// Drops the state of all sources but one.
  void keepOnly(const HostId &Source);

private:
  struct SourceState {
    std::uint64_t Stream = 0;
    std::uint64_t Number = 0;      ///< Of the last update.
    std::uint32_t NextPiece = 0;   ///< Expected next; 0: no unfinished update.
    std::uint64_t PieceNumber = 0; ///< Number of the unfinished update.
    PackedUpdate Unfinished;
  };
  void fail(const HostId &Source, std::string_view Reason, SidecarEffects &Out);

  std::map<HostId, SourceState> Sources;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICRECEIVER_H
