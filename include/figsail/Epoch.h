// Epoch.h - History of a service's member list in log order, and selection of
// the coordinator of a key.

#ifndef FIGSAIL_EPOCH_H
#define FIGSAIL_EPOCH_H

#include "figsail/PeerMessages.h"
#include "figsail/Types.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace figsail {

/// Members of one service between two changes of its member list.
struct EpochEntry {
  Offset At = NoOffset; ///< Offset of the record that began the epoch.
  TimePoint
      AppliedAt; ///< When this daemon applied that record, on its own clock.
  std::vector<Member> Members; ///< Members in service, sorted by host.
  std::map<std::string, std::vector<std::string>>
      RouteRegions; ///< Home regions by route; empty: any region.
  bool Truncated =
      false; ///< Restored from a snapshot: earlier epochs are not known.

  /// Returns whether this incarnation is listed.
  bool lists(const PeerRef &Peer) const;
};

/// Epochs of one service, oldest first. Not empty once the service exists.
class EpochHistory {
public:
  /// Appends an epoch. Its offset must be higher than the last one.
  void append(EpochEntry Entry);

  /// Removes epochs that ended more than Keep before Now. The current epoch
  /// stays.
  void expire(TimePoint Now, Duration Keep);

  const EpochEntry &current() const { return Entries.back(); }
  const std::deque<EpochEntry> &entries() const { return Entries; }
  bool empty() const { return Entries.empty(); }
  /// Returns the epoch that the record at an offset began, or null.
  const EpochEntry *find(Offset At) const;

private:
  std::deque<EpochEntry> Entries;
};

/// Returns the members of an epoch inside the home regions of a route, sorted
/// by host.
std::vector<const Member *> eligibleMembers(const EpochEntry &Entry,
                                            const std::string &Route);

/// Returns the coordinator of a key in an epoch by rendezvous hashing, or null
/// when no member is eligible.
const Member *coordinatorOf(const EpochEntry &Entry, const std::string &Route,
                            const RequestKey &Key);

/// Returns the coordinator of a key among the eligible members of an epoch, for
/// callers that look up many keys of one route.
const Member *coordinatorAmong(const std::vector<const Member *> &Eligible,
                               const RequestKey &Key);

/// Returns whether a coordinator may grant a request of this route to an
/// executor: both eligible; in different failure domains when the eligible
/// members span several; on different hosts when there are several. A
/// record is then lost only if both hosts, or both domains, fail.
bool mayExecute(const EpochEntry &Entry, const std::string &Route,
                const HostId &Coordinator, const HostId &Executor);

/// Hashes text to 64 bits with a seed. Must stay the same in all versions,
/// because peers depend on equal results.
std::uint64_t hashText(std::string_view Text, std::uint64_t Seed = 0);

/// Returns the key of a request with this identity on a route.
RequestKey requestKey(std::string_view Route, std::string_view Identity);

} // namespace figsail

#endif // FIGSAIL_EPOCH_H
