// TimelineMerge.h - Merge of the timelines of all daemons.

#ifndef FIGSAIL_TIMELINEMERGE_H
#define FIGSAIL_TIMELINEMERGE_H

#include "OperatorClient.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figsail {

/// Event of one daemon in the merged timeline.
struct MergedEvent {
  std::uint64_t Lamport = 0;
  std::string Host;
  std::int64_t WallMicros = 0; ///< Wall clock of the host, since 1970.
  std::string Kind;
  std::string Subject;
  std::string Detail;
};

/// Parses a daemon's result of the method "timeline" and appends its events.
/// Returns false and appends nothing if the result is malformed.
bool appendTimeline(const Json::Value &Result,
                    std::vector<MergedEvent> &Merged);

/// Sorts events by Lamport counter, then by host. An event that may have caused
/// another one precedes it.
void sortTimeline(std::vector<MergedEvent> &Events);

/// Formats an event as one line of text, with the wall-clock time in UTC.
std::string timelineText(const MergedEvent &Event);
/// Formats an event as one line of JSON.
std::string timelineJsonLine(const MergedEvent &Event);

} // namespace figsail

#endif // FIGSAIL_TIMELINEMERGE_H
