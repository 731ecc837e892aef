// LogRecords.h - The records that figsail keeps in the log service, and their
// JSON text.

#ifndef FIGSAIL_LOGRECORDS_H
#define FIGSAIL_LOGRECORDS_H

#include "figsail/Configuration.h"
#include "figsail/Types.h"

#include <string>
#include <variant>

namespace figsail {

/// A daemon announces itself. Replaces any member listed at the same host.
struct JoinRecord {
  Member Who;
  bool operator==(const JoinRecord &) const = default;
};

/// A daemon leaves in order.
struct LeaveRecord {
  PeerRef Who;
  bool operator==(const LeaveRecord &) const = default;
};

/// A member was silent and others confirmed it. Counts only while that
/// incarnation is listed.
struct RemoveRecord {
  PeerRef Who;
  HostId By; ///< Member that appended it.
  bool operator==(const RemoveRecord &) const = default;
};

/// The whole state at an offset, so that records before it may expire. Parts
/// have the same Id and count up from 0.
struct SnapshotRecord {
  std::string Id;
  Offset At = NoOffset; ///< Last offset that is part of the state.
  std::uint32_t Part = 0;
  std::uint32_t Parts = 1;
  std::string Data;
  bool operator==(const SnapshotRecord &) const = default;
};

using RecordBody =
    std::variant<Change, JoinRecord, LeaveRecord, RemoveRecord, SnapshotRecord>;

/// Returns the JSON text of a record.
std::string encodeRecord(const RecordBody &Body);

/// Reads the JSON text of a record, or returns an error text.
std::variant<RecordBody, std::string> decodeRecord(std::string_view Text);

} // namespace figsail

#endif // FIGSAIL_LOGRECORDS_H
