// TopicImage.h - A daemon's copy of one topic.

#ifndef FIGSAIL_SIDECAR_TOPICIMAGE_H
#define FIGSAIL_SIDECAR_TOPICIMAGE_H

#include "figsail/PeerMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figsail {

/// Order of the records of one key by their content.
class RecordOrder {
public:
  virtual ~RecordOrder() = default;
  /// Returns whether One was written before Other, or nothing if their content
  /// does not show it.
  virtual std::optional<bool> isOlder(const KeyedRecord &One,
                                      const KeyedRecord &Other) const = 0;
};

/// The newest record of each key below an offset. A record without a value is a
/// tombstone: its key was dropped. Records may arrive from the store and from
/// peers, in any order and more than once.
///
/// When the store is restored from an older copy, its offsets continue from a
/// lower one. The known records then stay in force, without an offset, until
/// the store has a record that is not older. A record of the copy is older if
/// its content shows it, or else if its offset is below the one that the known
/// record had: up to the end of the copy, both logs are the same.
class TopicImage {
public:
  /// Order must outlive the image. Without one, only offsets are compared.
  explicit TopicImage(const RecordOrder *Order = nullptr) : Order(Order) {}

  /// Applies the records that are newer than the known ones. Returns the
  /// applied records in the order of their offsets.
  std::vector<KeyedRecord> apply(TopicContents Part);
  /// The same for a snapshot, which lists all keys: a missing key was dropped.
  std::vector<KeyedRecord> applySnapshot(TopicContents Part);
  /// The store has another history, of which nothing has been read.
  void restart();
  /// Returns whether records below the end of the last snapshot are still to be
  /// read. Only they show which keys were dropped in this history.
  bool isReplaying() const { return Next < CopyEnd; }
  /// Returns whether a snapshot of the present history has to be read before
  /// offsets are valid.
  bool awaitsSnapshot() const { return SnapshotPending; }
  /// The store keeps no records below First. The copy held every known record
  /// below First, so such a key that the snapshot lacks was dropped. Returns
  /// the tombstones of these keys.
  std::vector<KeyedRecord> skipTo(Offset First);
  /// Returns the records from an offset on; from 0, all records.
  TopicContents since(Offset From) const;
  /// Returns the offset to read on from.
  Offset next() const { return Next; }

private:
  struct Entry {
    /// Its offset is NoOffset if it comes from an earlier history.
    KeyedRecord Record;
    Offset PreviousOffset = NoOffset; ///< Its offset in that earlier history.
  };

  bool isStale(const Entry &Known, const KeyedRecord &Record) const;
  bool replaces(Entry &Known, const KeyedRecord &Record) const;
  void evictTombstones();

  const RecordOrder *Order;
  std::map<std::string, Entry> Newest; ///< By key, with tombstones.
  Offset Next = 0;
  /// Records from here on were written after the store was restored. 0: not
  /// known, or it never was.
  Offset CopyEnd = 0;
  /// No snapshot of the new history has been read.
  bool SnapshotPending = false;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICIMAGE_H
