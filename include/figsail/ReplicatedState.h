// ReplicatedState.h - The state that follows from the log.

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

/// Result of applying one record.
struct ApplyResult {
  Verdict Outcome; ///< For a change or membership record.
  std::vector<std::string> ServicesChanged; ///< Services with a new epoch.
  bool Duplicate = false; ///< The change id is known; nothing was done.
  bool Ignored = false;   ///< No effect: old offset, after a gap or unreadable.
  bool Gap = false; ///< Records before this one are missing; see nextOffset().
  std::optional<Member> Joined;  ///< Member that this record added.
  std::optional<Member> Removed; ///< Member that was removed or replaced.
  bool Restored = false; ///< The last part of a snapshot replaced the state.
};

/// Number of change ids whose verdicts are stored. At 29,000 changes a day this
/// covers more than three hours. The outcome of an append whose acknowledgement
/// was lost is known far earlier.
inline constexpr std::size_t MaxStoredVerdicts = 4096;

/// State reduced from the log records in offset order. Daemons that have
/// applied the same offset have the same state.
class ReplicatedState {
public:
  /// Checks and applies one record. Records at or below appliedOffset() are
  /// ignored. Offsets are consecutive and start at 0. A record after a gap is
  /// not applied, because the state would differ from that of other daemons;
  /// only snapshot parts are collected, until a complete snapshot closes the
  /// gap. A record that is not readable is skipped. Now is only recorded in
  /// epochs; it does not affect the outcome.
  ApplyResult applyRecord(TimePoint Now, const LogRecord &Record);

  /// Returns the highest applied offset, or NoOffset.
  Offset appliedOffset() const { return Applied; }
  /// Returns the offset to read next: after appliedOffset(), or, while a gap is
  /// open, after the highest record read while the state waits for a snapshot.
  Offset nextOffset() const {
    return HighestSeen > Applied ? HighestSeen + 1 : Applied + 1;
  }
  const Configuration &configuration() const { return Tree; }

  /// Returns the member at a host, or null.
  const Member *member(const HostId &Host) const;
  /// Returns all members by host.
  const std::map<HostId, Member> &members() const { return Members; }

  /// Returns the epochs of a service, or null when it has none.
  const EpochHistory *epochs(const std::string &Service) const;

  /// Returns the verdict on a change, or nothing when its record was not
  /// applied or the verdict was evicted.
  std::optional<Verdict> verdictOf(const std::string &ChangeId) const;

  /// Returns the whole state as JSON text. Equal on every daemon with the same
  /// applied offset.
  std::string snapshot() const;
  /// Replaces the state by a snapshot of offset At. Does nothing when At is not
  /// higher than appliedOffset(). Returns an error text, or nothing. Epochs
  /// that began after appliedOffset() are marked Truncated.
  std::optional<std::string> restore(TimePoint Now, Offset At,
                                     const std::string &State);

  /// Removes epochs that ended more than Retention before Now.
  void expireEpochs(TimePoint Now, Duration Retention);

private:
  /// Parts of one snapshot that were read while a gap is open.
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
  void addMember(Member Added);
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
      ServiceHosts; ///< By service; derived from Members.
  std::map<std::string, EpochHistory> Epochs;   ///< By service path.
  std::map<std::string, Verdict> Verdicts;      ///< By change id, bounded.
  std::deque<std::string> VerdictOrder;         ///< Change ids, oldest first.
  std::deque<PartialSnapshot> PartialSnapshots; ///< Oldest first, bounded.
  Offset Applied = NoOffset;
  Offset HighestSeen = NoOffset; ///< Highest offset read while a gap is open.
};

} // namespace figsail

#endif // FIGSAIL_REPLICATEDSTATE_H
