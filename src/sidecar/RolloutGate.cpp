// RolloutGate.cpp - Grants of controllers and counts for them.

#include "RolloutGate.h"

#include <algorithm>

namespace figsail {

/// Routes that are counted, so that a report stays small.
static constexpr std::size_t MaxRoutes = 32;

void RolloutGate::setRole(RolloutRole Next, Offset Order,
                          const std::string &ServerInstance,
                          std::uint64_t EpochSeed) {
  bool OtherOrder = Order != Counts.Order;
  bool Reset = Next != Role || OtherOrder || ServerInstance != Instance;
  if (!Reset)
    return;
  Role = Next;
  Instance = ServerInstance;
  if (OtherOrder) {
    Bad = false;
    Completed = false;
  }
  Replies.clear();
  Counts = RolloutReport{};
  Counts.Order = Order;
  Counts.Epoch = EpochSeed + ++Epochs;
  Counts.IsTarget = Next == RolloutRole::Target;
}

void RolloutGate::verdict(TimePoint Now, const HostId &From,
                          const RolloutVerdict &Message) {
  if (Message.Order != Counts.Order || Message.Epoch != Counts.Epoch)
    return;
  auto State = static_cast<RolloutState>(Message.Progress);
  if (State == RolloutState::Completed)
    Completed = true;
  if (State == RolloutState::Closed || State == RolloutState::RolledBack)
    Bad = true;
  std::erase_if(Replies, [&](const auto &Entry) {
    return Entry.second.At + ReplyLifetime < Now;
  });
  Replies[From] = {Now, Message.Grant};
}

bool RolloutGate::admits(TimePoint Now, std::size_t Waiting) const {
  if (Role == RolloutRole::Closed)
    return false;
  if (Role != RolloutRole::Target || Completed)
    return true;
  if (Bad)
    return false;
  bool Heard = false;
  std::uint32_t Least = 0;
  for (const auto &[Host, Last] : Replies) {
    if (Last.At + ReplyLifetime < Now)
      continue;
    Least = Heard ? std::min(Least, Last.Grant) : Last.Grant;
    Heard = true;
  }
  return Counts.Started + Waiting < Least;
}

RolloutRouteCounts &RolloutGate::route(const std::string &Name) {
  auto Found =
      std::ranges::find(Counts.Routes, Name, &RolloutRouteCounts::Route);
  if (Found != Counts.Routes.end())
    return *Found;
  // Routes beyond the limit share the last entry, which has no name.
  if (Counts.Routes.size() >= MaxRoutes)
    return Counts.Routes.back();
  bool Last = Counts.Routes.size() + 1 == MaxRoutes;
  Counts.Routes.push_back({Last ? std::string() : Name, 0, 0, {}});
  return Counts.Routes.back();
}

void RolloutGate::ended(const std::string &Route, bool Failed) {
  bool Counted = Role == RolloutRole::Old || Role == RolloutRole::Target;
  if (!Counted)
    return;
  RolloutRouteCounts &Entry = route(Route);
  ++Entry.Runs;
  if (Failed)
    ++Entry.Failures;
}

void RolloutGate::timed(const std::string &Route, Duration UsualTime) {
  bool Counted = Role == RolloutRole::Old || Role == RolloutRole::Target;
  if (!Counted)
    return;
  RolloutRouteCounts &Entry = route(Route);
  std::size_t Bucket = runTimeBucket(UsualTime);
  if (Entry.Times.size() <= Bucket)
    Entry.Times.resize(Bucket + 1);
  ++Entry.Times[Bucket];
}

} // namespace figsail
