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
  for (const auto &[Key, Known] : Newest)
    if (!Known.Record.Value)
      Dropped.emplace_back(Known.Record.At, Key);
  if (Dropped.size() <= MaxDropped)
    return;
  std::ranges::sort(Dropped);
  Dropped.resize(Dropped.size() - MaxDropped / 2);
  for (const auto &[At, Key] : Dropped)
    Newest.erase(Key);
}

/// Returns whether a record of the present history is older than one that is
/// known from another.
bool TopicImage::isStale(const Entry &Known, const KeyedRecord &Record) const {
  if (Order)
    if (auto Older = Order->isOlder(Record, Known.Record))
      return *Older;
  return Record.At < FreshFrom && Record.At < Known.Earlier;
}

/// Returns whether the record replaces the known one. A stale one only tells
/// where the key stands in the log.
bool TopicImage::takes(Entry &Known, const KeyedRecord &Record) const {
  if (Known.Record.At == NoOffset && Record.At != NoOffset) {
    if (!isStale(Known, Record))
      return true;
    Known.Record.At = Record.At;
    return false;
  }
  if (Known.Record.At != Record.At)
    return Known.Record.At < Record.At;
  // A peer may know more of this key than the store does.
  bool Differs = Known.Record.Value != Record.Value;
  return Differs && Order &&
         Order->isOlder(Known.Record, Record).value_or(false);
}

std::vector<KeyedRecord> TopicImage::absorb(TopicContents Part) {
  std::ranges::stable_sort(Part.Records, {}, &KeyedRecord::At);
  std::vector<KeyedRecord> Taken;
  bool AnyDropped = false;
  for (KeyedRecord &Record : Part.Records) {
    auto Known = Newest.find(Record.Key);
    if (Known != Newest.end() && !takes(Known->second, Record))
      continue;
    if (Known == Newest.end() && Newest.size() >= MaxKeys)
      continue;
    Newest.insert_or_assign(Record.Key, Entry{Record, NoOffset});
    AnyDropped = AnyDropped || !Record.Value;
    Taken.push_back(std::move(Record));
  }
  Next = std::max(Next, Part.Next);
  if (AnyDropped)
    forgetDropped();
  return Taken;
}

std::vector<KeyedRecord> TopicImage::absorbAll(TopicContents Part) {
  std::set<std::string> Listed;
  for (const KeyedRecord &Record : Part.Records)
    Listed.insert(Record.Key);
  bool Lacking = false; // Of a key that is known from another history.
  for (const auto &[Key, Known] : Newest) {
    if (!Known.Record.Value || Listed.contains(Key))
      continue;
    if (Known.Record.At == NoOffset)
      Lacking = true;
    else if (Known.Record.At < Part.Next)
      Part.Records.push_back({Key, std::nullopt, Part.Next - 1});
  }
  if (!Restarted)
    return absorb(std::move(Part));
  Restarted = false;
  FreshFrom = Part.Next;
  if (Lacking)
    Part.Next = 0;
  return absorb(std::move(Part));
}

void TopicImage::restart() {
  for (auto &[Key, Known] : Newest) {
    if (Known.Record.At != NoOffset)
      Known.Earlier = Known.Record.At;
    Known.Record.At = NoOffset;
  }
  Next = 0;
  FreshFrom = 0;
  Restarted = true;
}

std::vector<KeyedRecord> TopicImage::skipTo(Offset First) {
  TopicContents Part;
  Part.Next = First > 0 ? First : FreshFrom;
  for (const auto &[Key, Known] : Newest) {
    bool Lost = Known.Record.At == NoOffset && Known.Record.Value;
    if (Lost && Known.Earlier < First)
      Part.Records.push_back({Key, std::nullopt, First - 1});
  }
  for (const KeyedRecord &Record : Part.Records)
    Newest.erase(Record.Key);
  return absorb(std::move(Part));
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
