// ReplicatedState.h - Configuration and member lists, reduced from the log in
// offset order.

#ifndef FIGSAIL_REPLICATEDSTATE_H
#define FIGSAIL_REPLICATEDSTATE_H

#include "figsail/Configuration.h"
#include "figsail/Epoch.h"
#include "figsail/LogRecords.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figsail {

/// What applying one record changed.
struct ApplyResult {
  Verdict Outcome; ///< Of a change or membership record.
  std::vector<std::string> ServicesChanged; ///< Services with a new epoch.
  bool Duplicate = false; ///< The change id was seen before; nothing was done.
  bool Ignored = false;   ///< Offset already applied, or not readable.
  bool Gap = false; ///< Records before this one are missing; see nextOffset().
  std::optional<Member> Joined;  ///< Listed by this record.
  std::optional<Member> Removed; ///< No longer listed, or replaced by Joined.
  bool Restored = false; ///< The last part of a snapshot replaced the state.
};

/// Change ids whose verdicts are remembered. At 29,000 changes a day this is
/// more than three hours, far beyond the time in which an append with a lost
/// acknowledgement is settled.
inline constexpr std::size_t MaxStoredVerdicts = 4096;

/// The state that is the same on every daemon that applied the same offset.
class ReplicatedState {
public:
  /// Checks and applies one record. Records at or below appliedOffset() are
  /// ignored. Offsets are consecutive and start at 0: a record that leaves a
  /// gap is not applied, because the state would differ from that of other
  /// daemons; only snapshot parts are collected until one closes the gap. A
  /// record that is not readable is skipped. Now only stamps epochs; it does
  /// not affect the outcome.
  ApplyResult applyRecord(TimePoint Now, const LogRecord &Record);

  /// Returns the highest applied offset, or NoOffset.
  Offset appliedOffset() const { return Applied; }
  /// Returns the offset to read next: after appliedOffset(), or, while a gap is
  /// open, after the last record seen in search of a snapshot.
  Offset nextOffset() const {
    return HighestSeen > Applied ? HighestSeen + 1 : Applied + 1;
  }
  const Configuration &configuration() const { return Tree; }

  /// Returns the listed member at a host, or null.
  const Member *member(const HostId &Host) const;
  /// Returns all listed members by host.
  const std::map<HostId, Member> &members() const { return Members; }

  /// Returns the epochs of a service, or null when it has none.
  const EpochHistory *epochs(const std::string &Service) const;

  /// Returns the verdict of a change id, when its record was applied and is
  /// still remembered.
  std::optional<Verdict> verdictOf(const std::string &ChangeId) const;

  /// Returns the whole state as JSON text. Equal on every daemon with the same
  /// applied offset.
  std::string snapshot() const;
  /// Replaces the state by a snapshot, unless it is not newer than
  /// appliedOffset(); then nothing is done. Returns an error text, or nothing.
  /// Epochs that began after appliedOffset() are marked Truncated.
  std::optional<std::string> restore(TimePoint Now, Offset At,
                                     const std::string &State);

  /// Forgets epochs that ended more than Keep before Now.
  void expireEpochs(TimePoint Now, Duration Keep);

private:
  /// The parts of one snapshot that were read while a gap is open.
  struct PartialSnapshot {
    std::string Id;
    std::map<std::uint32_t, std::string> Parts;
  };

  void applyChange(TimePoint Now, Offset At, const Change &Proposal,
                   ApplyResult &Result);
  std::vector<std::string> affectedServices(const NodeEdit &Edit) const;
  void applyMember(TimePoint Now, Offset At, const RecordBody &Body,
                   ApplyResult &Result);
  void collectSnapshotPart(TimePoint Now, const SnapshotRecord &Part,
                           ApplyResult &Result);
  void addMember(Member Who);
  void removeMember(const HostId &Host);
  void storeVerdict(const std::string &ChangeId, const Verdict &Outcome);
  EpochEntry makeEpoch(TimePoint Now, Offset At,
                       const std::string &Service) const;
  void updateEpoch(TimePoint Now, Offset At, const std::string &Service,
                   ApplyResult &Result);
  std::optional<std::string> restoreSnapshot(TimePoint Now, Offset At,
                                             const std::string &State,
                                             std::vector<std::string> &Changed);

  Configuration Tree;
  std::map<HostId, Member> Members;
  std::map<std::string, std::set<HostId>>
      ServiceHosts;                             ///< By service; from Members.
  std::map<std::string, EpochHistory> Epochs;   ///< By service path.
  std::map<std::string, Verdict> Verdicts;      ///< By change id, bounded.
  std::deque<std::string> VerdictOrder;         ///< Change ids, oldest first.
  std::deque<PartialSnapshot> PartialSnapshots; ///< Oldest first, bounded.
  Offset Applied = NoOffset;
  Offset HighestSeen = NoOffset; ///< Last record seen while a gap is open.
};

} // namespace figsail

#endif // FIGSAIL_REPLICATEDSTATE_H
