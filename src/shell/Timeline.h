// Timeline.h - Bounded ring buffer of the events of one daemon.

#ifndef FIGSAIL_TIMELINE_H
#define FIGSAIL_TIMELINE_H

#include "figsail/Events.h"

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <vector>

namespace figsail {

/// One event with its times. It contains no content of a request.
struct TimelineEntry {
  std::uint64_t Lamport = 0;
  std::chrono::system_clock::time_point Wall;
  Trace Content;
};

/// Ring buffer of the latest events, in the order of their Lamport counters.
class Timeline {
public:
  explicit Timeline(std::size_t Capacity) : Entries(Capacity) {}

  /// Adds an entry, and evicts the oldest one if the buffer is full. Lamport
  /// must be higher than that of all entries.
  void add(std::uint64_t Lamport, Trace Content);

  /// Returns the entries with a Lamport counter above Since, oldest first.
  std::vector<TimelineEntry> since(std::uint64_t Since) const;

  /// Returns the number of evicted entries.
  std::uint64_t dropped() const { return Dropped; }

private:
  boost::circular_buffer<TimelineEntry> Entries;
  std::uint64_t Dropped = 0;
};

} // namespace figsail

#endif // FIGSAIL_TIMELINE_H
