// TimelineMerge.h - One time line out of those of all daemons.

#ifndef FIGSAIL_TIMELINEMERGE_H
#define FIGSAIL_TIMELINEMERGE_H

#include "OperatorClient.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figsail {

/// An event of one daemon.
struct MergedEvent {
  std::uint64_t Lamport = 0;
  std::string Host;
  std::int64_t WallMicros = 0; ///< Of the host's own wall clock, since 1970.
  std::string Kind;
  std::string Subject;
  std::string Detail;
};

/// Reads one daemon's result of the method "timeline" and appends its events.
/// Returns false, and appends nothing, when it is malformed.
bool appendTimeline(const Json::Value &Result,
                    std::vector<MergedEvent> &Merged);

/// Sorts events by Lamport counter, then host. An event that could have caused
/// another stands before it.
void sortTimeline(std::vector<MergedEvent> &Events);

/// Returns one line of text, with the wall clock in UTC.
std::string timelineText(const MergedEvent &Event);
/// Returns one line of JSON.
std::string timelineJsonLine(const MergedEvent &Event);

} // namespace figsail

#endif // FIGSAIL_TIMELINEMERGE_H
