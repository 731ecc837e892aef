// Liveness.h - Announces this daemon, watches ring neighbours, and proposes
// their removal.

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

/// Membership of this daemon and of its neighbours in the service's ring.
/// Decides nothing itself: it only proposes records, and the log's order
/// decides.
class Liveness {
public:
  explicit Liveness(Member Self);

  /// A message of any kind has arrived from a daemon.
  void heard(TimePoint Now, const PeerRef &From);
  void probe(TimePoint Now, const PeerRef &From, const Probe &Message,
             EffectList &Out);
  void probeReply(TimePoint Now, const PeerRef &From, const ProbeReply &Message,
                  EffectList &Out);
  /// The member list changed.
  void membersChanged(TimePoint Now, const ReplicatedState &State);
  /// Starts to leave: proposes the leave record instead of the join record.
  void leave() { Leaving = true; }

  /// Sends heartbeats and probes. Returns the record to append now, if any.
  std::optional<RecordBody> timer(TimePoint Now, const ReplicatedState &State,
                                  bool CaughtUp, const LoadReport &Load,
                                  EffectList &Out);
  TimePoint nextWake() const;

  /// The append of the last proposed record has ended without an offset.
  void appendFailed(TimePoint Now);

private:
  struct Watched {
    PeerRef Who;
    std::string Region;
    TimePoint LastHeard;
    std::optional<TimePoint> ProbedAt; ///< Set while others are asked about it.
  };
  struct PendingProbe {
    HostId Asker;
    TimePoint Since;
  };

  bool listed(const ReplicatedState &State) const;
  std::optional<RecordBody>
  ownRecord(TimePoint Now, const ReplicatedState &State, bool CaughtUp);
  std::optional<RecordBody> checkNeighbour(TimePoint Now,
                                           const ReplicatedState &State,
                                           Watched &Neighbour, EffectList &Out);
  void startProbe(TimePoint Now, const ReplicatedState &State,
                  Watched &Neighbour, EffectList &Out);

  Member Self;
  bool Leaving = false;
  TimePoint NextOwnRecord; ///< Earliest time to propose the own record again.
  TimePoint NextBeat;      ///< When heartbeats are due.
  std::vector<HostId> Successors; ///< Neighbours that get heartbeats.
  std::map<HostId, Watched>
      Watching; ///< Neighbours whose heartbeats are expected.
  std::map<HostId, TimePoint>
      RegionHeard; ///< Latest sign of probed witnesses in other regions.
  std::multimap<HostId, PendingProbe> Pending; ///< Probes passed on, by target.
};

} // namespace figsail

#endif // FIGSAIL_LIVENESS_H
