// LocalServer.cpp - The order of heartbeats and leaves.

#include "LocalServer.h"

namespace figsail {

ReportVerdict LocalServer::heartbeat(TimePoint Now,
                                     const ServerHeartbeat &Said) {
  if (Said.Instance.empty() || Said.Service.empty() || Said.Slots == 0)
    return ReportVerdict::Invalid;
  bool SameBirth = Said.BornMillis == BornMillis || BornMillis == 0;
  bool SameLife = SameBirth && Said.Instance == Instance;
  bool LeftUnheard = Instance.empty() && Said.Instance == LeftInstance;
  if (Said.BornMillis < BornMillis || (SameLife && Left) || LeftUnheard)
    return ReportVerdict::Stale;
  if (SameLife && Said.Sequence <= Sequence)
    return ReportVerdict::Stale;
  InstanceState Next =
      Said.Draining ? InstanceState::Draining : InstanceState::Ready;
  // Draining is final within one incarnation.
  if (SameLife && State == InstanceState::Draining)
    Next = InstanceState::Draining;
  bool Changed = !SameLife || Next != State || Said.Service != Service ||
                 Said.Slots != Slots;
  Instance = Said.Instance;
  Service = Said.Service;
  Slots = Said.Slots;
  BornMillis = Said.BornMillis;
  Sequence = Said.Sequence;
  Left = false;
  State = Next;
  HeardAt = Now;
  ColdUntil = Now + Said.Cold;
  return Changed ? ReportVerdict::Changed : ReportVerdict::Unchanged;
}

ReportVerdict LocalServer::leaves(const ServerLeaves &Said) {
  if (Said.Instance != Instance) {
    if (Instance.empty())
      LeftInstance = Said.Instance;
    return ReportVerdict::Stale;
  }
  if (Said.BornMillis != 0 && Said.BornMillis < BornMillis)
    return ReportVerdict::Stale;
  bool Changed = State != InstanceState::Absent;
  State = InstanceState::Absent;
  Left = true;
  return Changed ? ReportVerdict::Changed : ReportVerdict::Unchanged;
}

void LocalServer::recover(TimePoint Now, const KnownServer &Known) {
  if (!Instance.empty() || Known.Instance == LeftInstance)
    return;
  Instance = Known.Instance;
  Service = Known.Service;
  Slots = Known.Slots;
  State = InstanceState::Ready;
  HeardAt = Now;
}

void LocalServer::coldFor(TimePoint Now, Duration Left) {
  ColdUntil = Now + Left;
}

bool LocalServer::expire(TimePoint Now, Duration Silence) {
  if (State == InstanceState::Absent || Now - HeardAt < Silence)
    return false;
  State = InstanceState::Absent;
  return true;
}

} // namespace figsail
