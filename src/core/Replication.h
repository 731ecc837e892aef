// Replication.h - Brings the log's records to this daemon and passes them on.

#ifndef FIGSAIL_REPLICATION_H
#define FIGSAIL_REPLICATION_H

#include "figsail/Events.h"
#include "figsail/Node.h"
#include "figsail/ReplicatedState.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace figsail {

/// Source of records: the first two daemons of a failure domain read the log;
/// each other daemon subscribes to its parent in a tree over the failure
/// domain.
class Replication {
public:
  /// Called for each applied record, before the next one is applied.
  using OnApplied = std::function<void(const LogRecord &, const ApplyResult &)>;

  Replication(const NodeSettings &Settings, ReplicatedState &State);

  /// Starts to fetch records.
  void start(TimePoint Now, EffectList &Out);

  void logRead(TimePoint Now, const LogRead &Read, const OnApplied &Applied,
               EffectList &Out);
  void logReadFailed(TimePoint Now, EffectList &Out);
  void subscribe(TimePoint Now, const PeerRef &From, const Subscribe &Message,
                 EffectList &Out);
  void records(TimePoint Now, const PeerRef &From, const Records &Message,
               const OnApplied &Applied, EffectList &Out);
  /// Returns whether the state was replaced.
  bool snapshot(TimePoint Now, const PeerRef &From, const Snapshot &Message,
                EffectList &Out);
  void peerLost(TimePoint Now, const HostId &Host, EffectList &Out);
  /// The member list changed: the place in the tree may be another one.
  void membersChanged() { PositionStale = true; }

  void timer(TimePoint Now, EffectList &Out);
  TimePoint nextWake() const;

  /// Returns whether everything that the source had was applied once.
  bool caughtUp() const { return CaughtUp; }
  /// Returns whether records arrive: from the log, or from a parent.
  bool logReachable() const {
    return SourceIndex < Sources.size() ? SourceSentRecords : LogReachable;
  }
  /// Returns the parts of a snapshot to append to the log when that is due,
  /// else nothing.
  std::vector<SnapshotRecord> dueSnapshot(TimePoint Now, std::uint64_t Seed);

private:
  struct Child {
    PeerRef Who;
    Offset Next = 0;            ///< Offset to send next.
    TimePoint LastSubscription; ///< Of its last subscription.
  };

  void updateTreePosition();
  void requestRecords(TimePoint Now, EffectList &Out);
  void switchToNextSource(TimePoint Now, EffectList &Out);
  void apply(TimePoint Now, const std::vector<LogRecord> &Batch,
             const OnApplied &Applied, EffectList &Out);
  void sendRecords(Child &To, bool Always, EffectList &Out);
  void addToTail(const LogRecord &Record);

  HostId Self;
  std::string FailureDomain;
  std::vector<HostId> Seeds;
  Duration Retention;
  ReplicatedState &State;

  std::vector<HostId>
      Sources; ///< Parents to try, best first. After the last comes the log.
  std::size_t SourceIndex = 0; ///< Sources.size(): the log itself.
  bool PositionStale = true;
  bool IsReader = false;      ///< Among the first two of its failure domain.
  std::size_t ReaderRank = 0; ///< Among all readers; staggers snapshots.
  bool ReadInFlight = false;  ///< A read of the log is under way.
  bool LogWasRead = false;    ///< A read of the log has succeeded.
  bool LogReachable = false;
  bool SourceSentRecords = false; ///< The present parent has sent records.
  bool CaughtUp = false;
  std::uint32_t FailedReads = 0; ///< Consecutive failed reads.
  TimePoint LastSourceMessage;   ///< When the source spoke last.
  TimePoint SourceChosenAt;      ///< When this source was chosen.
  TimePoint NextRenewal;         ///< When to subscribe or read again.
  TimePoint NextChildCheck;      ///< When children get a proof of life.
  TimePoint LastSnapshotSeen;    ///< When a snapshot record was last seen.
  std::deque<LogRecord> Tail;    ///< Latest records, for children.
  std::size_t TailBytes = 0;
  std::map<HostId, Child> Children;
  std::map<std::string, std::vector<SnapshotRecord>>
      Parts; ///< Snapshots being read, by id.
};

} // namespace figsail

#endif // FIGSAIL_REPLICATION_H
