// TopicImage.h - What a daemon knows of one topic.

#ifndef FIGSAIL_SIDECAR_TOPICIMAGE_H
#define FIGSAIL_SIDECAR_TOPICIMAGE_H

#include "figsail/PeerMessages.h"

#include <map>
#include <string>
#include <vector>

namespace figsail {

/// The newest record of each key below an offset. Records may arrive from the
/// store and from peers, in any order and more than once.
class TopicImage {
public:
  /// Takes what is newer than what is known. Returns the records that were
  /// taken, in the order of offsets.
  std::vector<KeyedRecord> absorb(TopicPart Part);
  /// The same for a list of all keys: a key that is missing was dropped.
  std::vector<KeyedRecord> absorbAll(TopicPart Part);
  /// Returns what is not below an offset.
  TopicPart since(Offset From) const;
  /// Returns where to read on.
  Offset next() const { return Next; }

private:
  void forgetDropped();

  std::map<std::string, KeyedRecord> Newest; ///< By key; also dropped ones.
  Offset Next = 0;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICIMAGE_H
