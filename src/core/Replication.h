// Replication.h - Distribution of the log's records between the daemons.

#ifndef FIGSAIL_REPLICATION_H
#define FIGSAIL_REPLICATION_H

#include "figsail/Events.h"
#include "figsail/Node.h"
#include "figsail/ReplicatedState.h"

#include "SnapshotAssembly.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace figsail {

/// Replication of the log to this daemon and its children. The first two
/// daemons of a failure domain read the log; each other daemon subscribes to
/// its parent in a tree over the failure domain.
class Replication {
public:
  /// Called for each applied record, before the next one is applied.
  using OnApplied = std::function<void(const LogRecord &, const ApplyResult &)>;

  Replication(const NodeSettings &Settings, ReplicatedState &State);

  /// Sends the first request for records.
  void start(TimePoint Now, EffectList &Out);

  void logRead(TimePoint Now, const LogRead &Read, const OnApplied &Applied,
               EffectList &Out);
  void logReadFailed(TimePoint Now, EffectList &Out);
  void subscribe(TimePoint Now, const PeerRef &From, const Subscribe &Message,
                 EffectList &Out);
  void records(TimePoint Now, const PeerRef &From, const Records &Message,
               const OnApplied &Applied, EffectList &Out);
  /// A piece of a snapshot has arrived. Returns whether the state was replaced.
  bool snapshot(TimePoint Now, const PeerRef &From, const Snapshot &Piece,
                EffectList &Out);
  void peerLost(TimePoint Now, const HostId &Host, EffectList &Out);
  /// To be called when the member list has changed: the position in the tree
  /// may have changed too.
  void membersChanged() { PositionStale = true; }

  void timer(TimePoint Now, EffectList &Out);
  TimePoint nextWake() const;

  /// Returns whether all records that a source had were applied at least once.
  bool caughtUp() const { return CaughtUp; }
  /// Returns whether records arrive from the present source: the log or a
  /// parent.
  bool logReachable() const {
    return SourceIndex < Sources.size() ? SourceSentRecords : LogReachable;
  }
  /// Returns the parts of a snapshot to append to the log when one is due, else
  /// nothing. Nonce makes the id of the snapshot unique.
  std::vector<SnapshotRecord> dueSnapshot(TimePoint Now, std::uint64_t Nonce);

private:
  /// A daemon that subscribes to this one.
  struct Child {
    PeerRef Peer;
    Offset Next = 0;            ///< Offset to send next.
    TimePoint LastSubscription; ///< When it last sent Subscribe.
    Subscribe Last;             ///< Its content.
    unsigned Stalled = 0;       ///< Renewals in a row without progress.
    unsigned MaxStalled = 0;    ///< Then it is sent everything again.
  };

  void updateTreePosition();
  void requestRecords(TimePoint Now, EffectList &Out);
  void switchToNextSource(TimePoint Now, EffectList &Out);
  void apply(TimePoint Now, const std::vector<LogRecord> &Batch,
             const OnApplied &Applied, EffectList &Out);
  void sendRecords(Child &Receiver, bool Always, EffectList &Out);
  void sendSnapshot(Child &Receiver, EffectList &Out);
  void addToTail(const LogRecord &Record);

  HostId Self;
  std::string FailureDomain;
  std::vector<HostId> Seeds;
  Duration Retention;
  ReplicatedState &State;

  std::vector<HostId>
      Sources; ///< Parents to try, best first, and after them the log.
  std::size_t SourceIndex = 0; ///< Sources.size(): the log itself.
  bool PositionStale = true;
  bool IsReader =
      false; ///< Reads the log: one of the first two in its failure domain.
  std::size_t ReaderRank = 0; ///< Order among all readers; staggers snapshots.
  bool ReadInFlight = false;  ///< A read of the log is in flight.
  bool LogWasRead = false;    ///< A read of the log has succeeded.
  bool LogReachable = false;
  bool SourceSentRecords = false; ///< The present parent has sent records.
  bool CaughtUp = false;
  std::uint32_t FailedReads = 0; ///< Consecutive failed reads of the log.
  TimePoint LastSourceMessage;   ///< When the source last sent a message.
  TimePoint SourceChosenAt;      ///< When the present source was chosen.
  TimePoint NextRenewal;         ///< When to subscribe or read again.
  TimePoint NextChildCheck;      ///< When silent children are removed next.
  TimePoint
      LastSnapshotSeen; ///< When a snapshot record was last read or written.
  std::deque<LogRecord> Tail; ///< Latest records without gaps, for children.
  std::size_t TailBytes = 0;
  std::map<HostId, Child> Children;
  SnapshotAssembly Arriving; ///< The snapshot that the source sends.
  std::map<std::string, std::vector<SnapshotRecord>>
      Parts; ///< Snapshots being read, by id.
};

} // namespace figsail

#endif // FIGSAIL_REPLICATION_H
