// CoordinatorLookup.h - Lookup of the coordinators of many keys in one epoch.

#ifndef FIGSAIL_COORDINATORLOOKUP_H
#define FIGSAIL_COORDINATORLOOKUP_H

#include "figsail/Epoch.h"

#include <unordered_map>

namespace figsail {

/// A cache of the eligible members of each route in one epoch. An
/// acknowledgement of a fence looks up the coordinator of every record, too
/// many for a new list of members each time.
class CoordinatorLookup {
public:
  explicit CoordinatorLookup(const EpochEntry &Entry) : Entry(Entry) {}

  /// Returns whether a host coordinates a key.
  bool isCoordinator(const HostId &Host, const std::string &Route,
                     const RequestKey &Key) {
    auto Found = Eligible.find(Route);
    if (Found == Eligible.end())
      Found = Eligible.emplace(Route, eligibleMembers(Entry, Route)).first;
    const Member *KeyCoordinator = coordinatorAmong(Found->second, Key);
    return KeyCoordinator && KeyCoordinator->Host == Host;
  }

private:
  const EpochEntry &Entry;
  std::unordered_map<std::string, std::vector<const Member *>> Eligible;
};

} // namespace figsail

#endif // FIGSAIL_COORDINATORLOOKUP_H
