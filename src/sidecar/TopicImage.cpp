// TopicImage.cpp - What a daemon knows of one topic.

#include "TopicImage.h"

#include <algorithm>
#include <set>

namespace figsail {

/// Keys kept; a topic that grows beyond it is not one of keyed state.
static constexpr std::size_t MaxKeys = 100000;

/// Dropped keys that are remembered for peers which ask for news. A peer that
/// was away for more drops keeps some hosts that are gone for a while.
static constexpr std::size_t MaxDropped = 1000;

/// Forgets the oldest dropped keys, so that keys which come and go do not fill
/// the image.
void TopicImage::forgetDropped() {
  std::vector<std::pair<Offset, std::string>> Dropped;
  for (const auto &[Key, Record] : Newest)
    if (!Record.Value)
      Dropped.emplace_back(Record.At, Key);
  if (Dropped.size() <= MaxDropped)
    return;
  std::ranges::sort(Dropped);
  Dropped.resize(Dropped.size() - MaxDropped / 2);
  for (const auto &[At, Key] : Dropped)
    Newest.erase(Key);
}

std::vector<KeyedRecord> TopicImage::absorb(TopicPart Part) {
  std::ranges::stable_sort(Part.Records, {}, &KeyedRecord::At);
  std::vector<KeyedRecord> Taken;
  bool AnyDropped = false;
  for (KeyedRecord &Record : Part.Records) {
    auto Known = Newest.find(Record.Key);
    if (Known != Newest.end() && Known->second.At >= Record.At)
      continue;
    if (Known == Newest.end() && Newest.size() >= MaxKeys)
      continue;
    Newest.insert_or_assign(Record.Key, Record);
    AnyDropped = AnyDropped || !Record.Value;
    Taken.push_back(std::move(Record));
  }
  Next = std::max(Next, Part.Next);
  if (AnyDropped)
    forgetDropped();
  return Taken;
}

std::vector<KeyedRecord> TopicImage::absorbAll(TopicPart Part) {
  std::set<std::string> Listed;
  for (const KeyedRecord &Record : Part.Records)
    Listed.insert(Record.Key);
  for (const auto &[Key, Known] : Newest) {
    bool Older = Known.Value && Known.At < Part.Next;
    if (Older && !Listed.contains(Key))
      Part.Records.push_back({Key, std::nullopt, Part.Next - 1});
  }
  return absorb(std::move(Part));
}

TopicPart TopicImage::since(Offset From) const {
  TopicPart Part;
  Part.Next = Next;
  for (const auto &[Key, Record] : Newest)
    if (Record.At >= From)
      Part.Records.push_back(Record);
  return Part;
}

} // namespace figsail
