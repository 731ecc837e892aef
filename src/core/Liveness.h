// Liveness.h - Membership announcements of this daemon and failure detection of
// its ring neighbours.

#ifndef FIGSAIL_LIVENESS_H
#define FIGSAIL_LIVENESS_H

#include "figsail/Events.h"
#include "figsail/ReplicatedState.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figsail {

/// Failure detector for the neighbours in the service's ring, which also
/// announces this daemon. It only proposes records; the order of the log
/// decides.
class Liveness {
public:
  explicit Liveness(Member Self);

  /// A message of any kind has arrived from a daemon.
  void messageReceived(TimePoint Now, const PeerRef &From);
  void probe(TimePoint Now, const PeerRef &From, const Probe &Message,
             EffectList &Out);
  void probeReply(TimePoint Now, const PeerRef &From, const ProbeReply &Message,
                  EffectList &Out);
  /// The member list changed.
  void membersChanged(TimePoint Now, const ReplicatedState &State);
  /// Proposes the leave record instead of the join record from now on.
  void startLeaving() { Leaving = true; }

  /// Sends heartbeats and probes. Returns the record to append now, if any.
  std::optional<RecordBody> timer(TimePoint Now, const ReplicatedState &State,
                                  bool CaughtUp, const LoadReport &Load,
                                  EffectList &Out);
  TimePoint nextWake() const;

  /// The append of the last proposed record failed or has an unknown outcome.
  void appendFailed(TimePoint Now);

private:
  struct WatchedNeighbour {
    PeerRef Ref;
    std::string Region;
    TimePoint LastMessageAt;
    std::optional<TimePoint>
        ProbedAt; ///< Set while witnesses are queried about it.
  };
  struct PendingProbe {
    HostId Requester;
    TimePoint Since;
  };

  bool listed(const ReplicatedState &State) const;
  std::optional<RecordBody> ownMembershipRecord(TimePoint Now,
                                                const ReplicatedState &State,
                                                bool CaughtUp);
  std::optional<RecordBody> checkNeighbour(TimePoint Now,
                                           const ReplicatedState &State,
                                           WatchedNeighbour &Neighbour,
                                           EffectList &Out);
  void startProbe(TimePoint Now, const ReplicatedState &State,
                  WatchedNeighbour &Neighbour, EffectList &Out);

  Member Self;
  bool Leaving = false;
  TimePoint NextOwnRecord; ///< Earliest time to propose the join or leave
                           ///< record again.
  TimePoint NextHeartbeat; ///< When the next heartbeats are due.
  std::vector<HostId> Successors; ///< Neighbours that receive heartbeats.
  std::map<HostId, WatchedNeighbour>
      Watching; ///< Neighbours whose heartbeats are expected.
  std::map<HostId, TimePoint>
      RegionReplies; ///< Latest probe replies of hosts about themselves.
  std::multimap<HostId, PendingProbe>
      PendingProbes; ///< Forwarded probes without a reply, by target.
};

} // namespace figsail

#endif // FIGSAIL_LIVENESS_H
