// ReplyCache.cpp - Final replies that an ingress may still ask for.

#include "ReplyCache.h"

#include "RequestIdentity.h"

#include <algorithm>

namespace figsail {

/// Longer than an ingress takes to notice a silent link and to open a new one.
static constexpr Duration Lifetime = std::chrono::seconds(10);
/// A part of the smallest host's 160 MB that leaves room for the calls.
static constexpr std::size_t MaxBytes = std::size_t{8} * 1024 * 1024;
/// Bytes that an entry takes besides the response.
static constexpr std::size_t EntryOverhead = 200;
/// Ingresses of which something is remembered: several times those of a large
/// system. An ingress process that ended asks no more.
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
