// PeerHealth.cpp - Reachability of the other daemons.

#include "PeerHealth.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// Time between probes. It is short at first, since most links break when a
/// daemon restarts, and longer for hosts that no longer exist.
static constexpr Duration InitialProbeInterval = 100ms;
static constexpr Duration MaxProbeInterval = 800ms;
static constexpr unsigned MaxIntervalDoublings = 3;

void PeerHealth::markUnreachable(TimePoint Now, const HostId &Host,
                                 SidecarEffects &Out) {
  auto [Found, Inserted] = Suspects.try_emplace(Host);
  if (!Inserted)
    return;
  Found->second.Since = Now;
  Found->second.ProbeAt = Now + InitialProbeInterval;
  Decision Line{LogLevel::Warning, "peer-lost", {}};
  Line.Fields = {{"peer", Host}};
  Out.emplace_back(std::move(Line));
}

Duration PeerHealth::suspectedFor(TimePoint Now, const HostId &Host) const {
  auto Found = Suspects.find(Host);
  return Found == Suspects.end() ? Duration(0) : Now - Found->second.Since;
}

void PeerHealth::markReachable(const HostId &Host, SidecarEffects &Out) {
  auto Found = Suspects.find(Host);
  if (Found == Suspects.end())
    return;
  Decision Line{LogLevel::Info, "peer-regained", {}};
  Line.Fields = {{"peer", Host},
                 {"probes", std::to_string(Found->second.Probes)}};
  Out.emplace_back(std::move(Line));
  Suspects.erase(Found);
}

/// Probes use a new link: the current one may never recover.
void PeerHealth::timer(TimePoint Now, SidecarEffects &Out) {
  for (auto &[Host, Entry] : Suspects) {
    if (Entry.ProbeAt > Now)
      continue;
    Out.emplace_back(ResetPeer{Host});
    Out.emplace_back(SendPeer{Host, Probe{PeerRef{Host, 0}}});
    Duration Pause = InitialProbeInterval *
                     (1U << std::min(Entry.Probes, MaxIntervalDoublings));
    Entry.ProbeAt =
        Now + std::min(Pause + InitialProbeInterval, MaxProbeInterval);
    ++Entry.Probes;
  }
}

TimePoint PeerHealth::nextWake() const {
  TimePoint Due = TimePoint::max();
  for (const auto &[Host, Entry] : Suspects)
    Due = std::min(Due, Entry.ProbeAt);
  return Due;
}

} // namespace figsail
