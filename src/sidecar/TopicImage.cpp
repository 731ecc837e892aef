// TopicImage.cpp - A daemon's copy of one topic.

#include "TopicImage.h"

#include <algorithm>
#include <set>

namespace figsail {

/// Bound on the keys of an image. A topic with more does not hold keyed state.
static constexpr std::size_t MaxKeys = 100000;

/// Tombstones that are kept for peers which request updates. A peer that misses
/// more than these keeps some removed hosts for a while.
static constexpr std::size_t MaxTombstones = 1000;

/// Evicts the oldest tombstones, so that short-lived keys do not fill the
/// image.
void TopicImage::evictTombstones() {
  std::vector<std::pair<Offset, std::string>> Tombstones;
  for (const auto &[Key, Known] : Newest)
    if (!Known.Record.Value)
      Tombstones.emplace_back(Known.Record.At, Key);
  if (Tombstones.size() <= MaxTombstones)
    return;
  std::ranges::sort(Tombstones);
  Tombstones.resize(Tombstones.size() - MaxTombstones / 2);
  for (const auto &[At, Key] : Tombstones)
    Newest.erase(Key);
}

/// Returns whether a record of the current history is older than the known one
/// of an earlier history.
bool TopicImage::isStale(const Entry &Known, const KeyedRecord &Record) const {
  if (Order)
    if (auto Older = Order->isOlder(Record, Known.Record))
      return *Older;
  return Record.At < CopyEnd && Record.At < Known.PreviousOffset;
}

/// Returns whether the record replaces the known one. A stale record only gives
/// the known one an offset in the current history.
bool TopicImage::replaces(Entry &Known, const KeyedRecord &Record) const {
  if (Known.Record.At == NoOffset && Record.At != NoOffset) {
    if (!isStale(Known, Record))
      return true;
    Known.Record.At = Record.At;
    return false;
  }
  if (Known.Record.At != Record.At)
    return Known.Record.At < Record.At;
  // A peer may have a newer record of this key than the store.
  bool Differs = Known.Record.Value != Record.Value;
  return Differs && Order &&
         Order->isOlder(Known.Record, Record).value_or(false);
}

std::vector<KeyedRecord> TopicImage::apply(TopicContents Part) {
  std::ranges::stable_sort(Part.Records, {}, &KeyedRecord::At);
  std::vector<KeyedRecord> Applied;
  bool AnyTombstone = false;
  for (KeyedRecord &Record : Part.Records) {
    auto Known = Newest.find(Record.Key);
    if (Known != Newest.end() && !replaces(Known->second, Record))
      continue;
    if (Known == Newest.end() && Newest.size() >= MaxKeys)
      continue;
    Newest.insert_or_assign(Record.Key, Entry{Record, NoOffset});
    AnyTombstone = AnyTombstone || !Record.Value;
    Applied.push_back(std::move(Record));
  }
  Next = std::max(Next, Part.Next);
  if (AnyTombstone)
    evictTombstones();
  return Applied;
}

std::vector<KeyedRecord> TopicImage::applySnapshot(TopicContents Part) {
  std::set<std::string> Listed;
  for (const KeyedRecord &Record : Part.Records)
    Listed.insert(Record.Key);
  bool KnownKeyMissing = false; // Lacks a key of an earlier history.
  for (const auto &[Key, Known] : Newest) {
    if (!Known.Record.Value || Listed.contains(Key))
      continue;
    if (Known.Record.At == NoOffset)
      KnownKeyMissing = true;
    else if (Known.Record.At < Part.Next)
      Part.Records.push_back({Key, std::nullopt, Part.Next - 1});
  }
  if (!SnapshotPending)
    return apply(std::move(Part));
  SnapshotPending = false;
  CopyEnd = Part.Next;
  if (KnownKeyMissing)
    Part.Next = 0;
  return apply(std::move(Part));
}

void TopicImage::restart() {
  for (auto &[Key, Known] : Newest) {
    if (Known.Record.At != NoOffset)
      Known.PreviousOffset = Known.Record.At;
    Known.Record.At = NoOffset;
  }
  Next = 0;
  CopyEnd = 0;
  SnapshotPending = true;
}

std::vector<KeyedRecord> TopicImage::skipTo(Offset First) {
  TopicContents Part;
  Part.Next = First > 0 ? First : CopyEnd;
  for (const auto &[Key, Known] : Newest) {
    bool Unconfirmed = Known.Record.At == NoOffset && Known.Record.Value;
    if (Unconfirmed && Known.PreviousOffset < First)
      Part.Records.push_back({Key, std::nullopt, First - 1});
  }
  for (const KeyedRecord &Record : Part.Records)
    Newest.erase(Record.Key);
  return apply(std::move(Part));
}

TopicContents TopicImage::since(Offset From) const {
  TopicContents Part;
  Part.Next = Next;
  for (const auto &[Key, Known] : Newest)
    if (Known.Record.At >= From || From == 0)
      Part.Records.push_back(Known.Record);
  return Part;
}

} // namespace figsail
