// TopicImage.h - What a daemon knows of one topic.

#ifndef FIGSAIL_SIDECAR_TOPICIMAGE_H
#define FIGSAIL_SIDECAR_TOPICIMAGE_H

#include "figsail/PeerMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figsail {

/// Orders records of one key by what they say of themselves.
class RecordOrder {
public:
  virtual ~RecordOrder() = default;
  /// Returns whether One was written before Other; nothing when the records do
  /// not tell.
  virtual std::optional<bool> isOlder(const KeyedRecord &One,
                                      const KeyedRecord &Other) const = 0;
};

/// The newest record of each key below an offset. Records may arrive from the
/// store and from peers, in any order and more than once.
///
/// When the store comes back from an older copy, its offsets start over at a
/// lower one. What is known then stays in force, without an offset, until the
/// store holds something that is not older. A record of the copy is older if it
/// says so, or else if its offset is below the one that the known record had:
/// up to the end of the copy, both logs are the same.
class TopicImage {
public:
  /// Order outlives the image; without one only offsets count.
  explicit TopicImage(const RecordOrder *Order = nullptr) : Order(Order) {}

  /// Takes what is newer than what is known. Returns the records that were
  /// taken, in the order of offsets.
  std::vector<KeyedRecord> absorb(TopicContents Part);
  /// The same for a list of all keys: a key that is missing was dropped.
  std::vector<KeyedRecord> absorbAll(TopicContents Part);
  /// The store has another history; nothing of it has been read.
  void restart();
  /// Returns whether records below the last list of all keys are still to be
  /// read: only they tell which keys were dropped in this history.
  bool readsBack() const { return Next < FreshFrom; }
  /// The store keeps no records below First. A key that the list of all keys
  /// lacks, and whose record would have been kept, was dropped. Returns the
  /// drops.
  std::vector<KeyedRecord> skipTo(Offset First);
  /// Returns what is not below an offset; from 0, all that is known.
  TopicContents since(Offset From) const;
  /// Returns where to read on.
  Offset next() const { return Next; }

private:
  struct Entry {
    KeyedRecord Record; ///< Its offset is NoOffset if it is of another history.
    Offset Earlier = NoOffset; ///< Its offset in that history.
  };

  bool isStale(const Entry &Known, const KeyedRecord &Record) const;
  bool takes(Entry &Known, const KeyedRecord &Record) const;
  void forgetDropped();

  const RecordOrder *Order;
  std::map<std::string, Entry> Newest; ///< By key; also dropped ones.
  Offset Next = 0;
  Offset FreshFrom = 0;   ///< Records from here on were written after the store
                          ///< came back. 0: not known, or it never went away.
  bool Restarted = false; ///< The list of all keys is not yet read.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICIMAGE_H
