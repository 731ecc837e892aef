// Timeline.cpp - Bounded ring buffer of the events of one daemon.

#include "Timeline.h"

#include <algorithm>

namespace figsail {

void Timeline::add(std::uint64_t Lamport, Trace Content) {
  if (Entries.full())
    ++Dropped;
  Entries.push_back(
      {Lamport, std::chrono::system_clock::now(), std::move(Content)});
}

std::vector<TimelineEntry> Timeline::since(std::uint64_t Since) const {
  auto First = std::ranges::upper_bound(
      Entries, Since, {},
      [](const TimelineEntry &Entry) { return Entry.Lamport; });
  return {First, Entries.end()};
}

} // namespace figsail
