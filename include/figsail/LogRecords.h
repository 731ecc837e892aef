// LogRecords.h - Records of the log and their JSON encoding.

#ifndef FIGSAIL_LOGRECORDS_H
#define FIGSAIL_LOGRECORDS_H

#include "figsail/Configuration.h"
#include "figsail/Types.h"

#include <string>
#include <variant>

namespace figsail {

/// Announcement of a daemon. It replaces the member listed at the same host.
struct JoinRecord {
  Member Joined;
  bool operator==(const JoinRecord &) const = default;
};

/// Announcement that a daemon shuts down in order.
struct LeaveRecord {
  PeerRef Peer;
  bool operator==(const LeaveRecord &) const = default;
};

/// Removal of a member that was silent, as other members confirmed. It has an
/// effect only while that incarnation is listed.
struct RemoveRecord {
  PeerRef Peer;
  HostId AppendedBy; ///< Member that appended the record.
  bool operator==(const RemoveRecord &) const = default;
};

/// One part of a snapshot of the whole state at an offset. Records up to that
/// offset may expire after it. All parts have the same Id; Part counts from 0.
struct SnapshotRecord {
  std::string Id;
  Offset At = NoOffset; ///< Last offset that is applied in the state.
  std::uint32_t Part = 0;
  std::uint32_t Parts = 1;
  std::string Data;
  bool operator==(const SnapshotRecord &) const = default;
};

using RecordBody =
    std::variant<Change, JoinRecord, LeaveRecord, RemoveRecord, SnapshotRecord>;

/// Encodes a record as JSON text.
std::string encodeRecord(const RecordBody &Body);

/// Decodes the JSON text of a record. Returns an error text on failure.
std::variant<RecordBody, std::string> decodeRecord(std::string_view Text);

} // namespace figsail

#endif // FIGSAIL_LOGRECORDS_H
