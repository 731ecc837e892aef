// Epoch.cpp - Epoch history and rendezvous hashing of keys to members.

#include "figsail/Epoch.h"

#include <algorithm>
#include <set>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace figsail {

bool EpochEntry::lists(const PeerRef &Peer) const {
  return std::ranges::any_of(Members, [&](const Member &Listed) {
    return Listed.Host == Peer.Host && Listed.Inc == Peer.Inc;
  });
}

const EpochEntry *EpochHistory::find(Offset At) const {
  auto Found = std::ranges::lower_bound(Entries, At, {}, &EpochEntry::At);
  return Found == Entries.end() || Found->At != At ? nullptr : &*Found;
}

void EpochHistory::append(EpochEntry Entry) {
  Entries.push_back(std::move(Entry));
}

void EpochHistory::expire(TimePoint Now, Duration Keep) {
  while (Entries.size() > 1 && Entries[1].AppliedAt + Keep < Now)
    Entries.pop_front();
}

std::vector<const Member *> eligibleMembers(const EpochEntry &Entry,
                                            const std::string &Route) {
  std::vector<const Member *> Eligible;
  auto Found = Entry.RouteRegions.find(Route);
  if (Found == Entry.RouteRegions.end())
    return Eligible;
  const std::vector<std::string> &Regions = Found->second;
  for (const Member &Peer : Entry.Members) {
    if (!Regions.empty() &&
        std::ranges::find(Regions, Peer.Region) == Regions.end())
      continue;
    Eligible.push_back(&Peer);
  }
  return Eligible;
}

const Member *coordinatorAmong(const std::vector<const Member *> &Eligible,
                               const RequestKey &Key) {
  const Member *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const Member *Peer : Eligible) {
    std::uint64_t Score = hashText(Peer->Host, Key.High ^ Key.Low);
    if (Best && Score <= BestScore)
      continue;
    Best = Peer;
    BestScore = Score;
  }
  return Best;
}

const Member *coordinatorOf(const EpochEntry &Entry, const std::string &Route,
                            const RequestKey &Key) {
  return coordinatorAmong(eligibleMembers(Entry, Route), Key);
}

bool mayExecute(const EpochEntry &Entry, const std::string &Route,
                const HostId &Coordinator, const HostId &Executor) {
  const Member *From = nullptr;
  const Member *To = nullptr;
  std::set<std::string> Domains;
  std::vector<const Member *> Eligible = eligibleMembers(Entry, Route);
  for (const Member *Peer : Eligible) {
    Domains.insert(Peer->FailureDomain);
    if (Peer->Host == Coordinator)
      From = Peer;
    if (Peer->Host == Executor)
      To = Peer;
  }
  if (!From || !To)
    return false;
  if (Domains.size() > 1)
    return From->FailureDomain != To->FailureDomain;
  return Eligible.size() == 1 || From != To;
}

std::uint64_t hashText(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

RequestKey requestKey(std::string_view Route, std::string_view Identity) {
  std::string Text(Route);
  Text += '\0';
  Text += Identity;
  XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return {Hash.high64, Hash.low64};
}

} // namespace figsail
