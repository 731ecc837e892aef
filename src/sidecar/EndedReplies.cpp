// EndedReplies.cpp - Final replies that an ingress may still ask for.

#include "EndedReplies.h"

#include "RequestIdentity.h"

#include <algorithm>

namespace figsail {

/// Longer than an ingress takes to notice a silent link and to open a new one.
static constexpr Duration Lifetime = std::chrono::seconds(10);
/// A part of the smallest host's 160 MB that leaves room for the calls.
static constexpr std::size_t MaxBytes = std::size_t{8} * 1024 * 1024;
/// Bytes that an entry takes besides the response.
static constexpr std::size_t Overhead = 200;
/// Ingresses of which something is remembered: several times those of a large
/// system. An ingress process that ended asks no more.
static constexpr std::size_t MaxIngresses = 32768;

void EndedReplies::add(TimePoint Now, const CallId &Call,
                       const PeerMessage &Reply) {
  std::size_t Size = Overhead;
  if (const auto *Whole = std::get_if<Answer>(&Reply))
    Size += messageSize(Whole->Response.Headers, Whole->Response.Body);
  if (Replies.emplace(Call, Reply).second) {
    Order.push_back({Now, Call, Size});
    Bytes += Size;
  }
  while (!Order.empty() &&
         (Bytes > MaxBytes || Order.front().At + Lifetime < Now))
    forgetOldest();
}

void EndedReplies::forgetOldest() {
  const Entry &Oldest = Order.front();
  auto [Known, Fresh] = ForgottenUpTo.try_emplace(Oldest.Call.Ingress, 0);
  Known->second = std::max(Known->second, Oldest.Call.Sequence);
  if (Fresh)
    Ingresses.push_back(Oldest.Call.Ingress);
  if (Ingresses.size() > MaxIngresses) {
    ForgottenUpTo.erase(Ingresses.front());
    Ingresses.pop_front();
  }
  Bytes -= Oldest.Bytes;
  Replies.erase(Oldest.Call);
  Order.pop_front();
}

bool EndedReplies::forgotten(const CallId &Call) const {
  auto Known = ForgottenUpTo.find(Call.Ingress);
  return Known != ForgottenUpTo.end() && Call.Sequence <= Known->second;
}

const PeerMessage *EndedReplies::find(const CallId &Call) const {
  auto Found = Replies.find(Call);
  return Found == Replies.end() ? nullptr : &Found->second;
}

} // namespace figsail
