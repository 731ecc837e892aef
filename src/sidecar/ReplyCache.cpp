// ReplyCache.cpp - Cache of final replies that an ingress may still request.

#include "ReplyCache.h"

#include "RequestIdentity.h"

#include <algorithm>

namespace figsail {

/// Longer than an ingress takes to detect a silent link and to open a new one.
static constexpr Duration Lifetime = std::chrono::seconds(10);
/// Leaves enough of the smallest host's 160 MB for the calls themselves.
static constexpr std::size_t MaxBytes = std::size_t{8} * 1024 * 1024;
/// Bytes of an entry besides the response.
static constexpr std::size_t EntryOverhead = 200;
/// Entries of EvictedUpTo: several times the ingresses of a large system, since
/// entries of ended ingress processes remain.
static constexpr std::size_t MaxIngresses = 32768;

void ReplyCache::add(TimePoint Now, const CallId &Call,
                     const PeerMessage &Reply) {
  std::size_t Size = EntryOverhead;
  if (const auto *FullReply = std::get_if<Answer>(&Reply))
    Size += messageSize(FullReply->Response.Headers, FullReply->Response.Body);
  if (Replies.emplace(Call, Reply).second) {
    Order.push_back({Now, Call, Size});
    Bytes += Size;
  }
  while (!Order.empty() &&
         (Bytes > MaxBytes || Order.front().AddedAt + Lifetime < Now))
    evictOldest();
}

void ReplyCache::evictOldest() {
  const Entry &Oldest = Order.front();
  auto [Highest, Inserted] = EvictedUpTo.try_emplace(Oldest.Call.Ingress, 0);
  Highest->second = std::max(Highest->second, Oldest.Call.Sequence);
  if (Inserted)
    Ingresses.push_back(Oldest.Call.Ingress);
  if (Ingresses.size() > MaxIngresses) {
    EvictedUpTo.erase(Ingresses.front());
    Ingresses.pop_front();
  }
  Bytes -= Oldest.Bytes;
  Replies.erase(Oldest.Call);
  Order.pop_front();
}

bool ReplyCache::mayBeEvicted(const CallId &Call) const {
  auto Highest = EvictedUpTo.find(Call.Ingress);
  return Highest != EvictedUpTo.end() && Call.Sequence <= Highest->second;
}

const PeerMessage *ReplyCache::find(const CallId &Call) const {
  auto Found = Replies.find(Call);
  return Found == Replies.end() ? nullptr : &Found->second;
}

} // namespace figsail
