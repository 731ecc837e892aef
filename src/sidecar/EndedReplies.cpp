// EndedReplies.cpp - Final replies that an ingress may still ask for.

#include "EndedReplies.h"

#include "RequestIdentity.h"

namespace figsail {

/// Longer than an ingress takes to notice a silent link and to open a new one.
static constexpr Duration Lifetime = std::chrono::seconds(10);
/// A part of the smallest host's 160 MB that leaves room for the calls.
static constexpr std::size_t MaxBytes = std::size_t{8} * 1024 * 1024;
/// Bytes that an entry takes besides the response.
static constexpr std::size_t Overhead = 200;

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
         (Bytes > MaxBytes || Order.front().At + Lifetime < Now)) {
    Bytes -= Order.front().Bytes;
    Replies.erase(Order.front().Call);
    Order.pop_front();
  }
}

const PeerMessage *EndedReplies::find(const CallId &Call) const {
  auto Found = Replies.find(Call);
  return Found == Replies.end() ? nullptr : &Found->second;
}

} // namespace figsail
