// PeerHealth.cpp - Which daemons can be reached.

#include "PeerHealth.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// Pauses between probes: short at first, since most links break when a daemon
/// restarts, and long for hosts that are gone.
static constexpr Duration InitialProbeInterval = 100ms;
static constexpr Duration MaxProbeInterval = 800ms;
static constexpr unsigned MaxIntervalDoublings = 3;

void PeerHealth::markUnreachable(TimePoint Now, const HostId &Host,
                                 SidecarEffects &Out) {
  auto [Found, Inserted] = Suspects.try_emplace(Host);
  if (!Inserted)
    return;
  Found->second.ProbeAt = Now + InitialProbeInterval;
  Decision Line{LogLevel::Warning, "peer-lost", {}};
  Line.Fields = {{"peer", Host}};
  Out.emplace_back(std::move(Line));
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

/// A probe is sent on a new link: the present one may be silent for good.
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
