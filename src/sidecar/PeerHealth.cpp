// PeerHealth.cpp - Which daemons can be reached.

#include "PeerHealth.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// Pauses between probes: short at first, since most links break when a daemon
/// restarts, and long for hosts that are gone.
static constexpr Duration FirstProbePause = 100ms;
static constexpr Duration LongestProbePause = 800ms;
static constexpr unsigned MaxDoublings = 3;

void PeerHealth::lost(TimePoint Now, const HostId &Host, SidecarEffects &Out) {
  auto [Known, Fresh] = Suspects.try_emplace(Host);
  if (!Fresh)
    return;
  Known->second.ProbeAt = Now + FirstProbePause;
  Decision Line{LogLevel::Warning, "peer-lost", {}};
  Line.Fields = {{"peer", Host}};
  Out.emplace_back(std::move(Line));
}

void PeerHealth::heard(const HostId &Host, SidecarEffects &Out) {
  auto Known = Suspects.find(Host);
  if (Known == Suspects.end())
    return;
  Decision Line{LogLevel::Info, "peer-regained", {}};
  Line.Fields = {{"peer", Host},
                 {"probes", std::to_string(Known->second.Probes)}};
  Out.emplace_back(std::move(Line));
  Suspects.erase(Known);
}

/// A probe is sent on a new link: the present one may be silent for good.
void PeerHealth::timer(TimePoint Now, SidecarEffects &Out) {
  for (auto &[Host, Entry] : Suspects) {
    if (Entry.ProbeAt > Now)
      continue;
    Out.emplace_back(ResetPeer{Host});
    Out.emplace_back(SendPeer{Host, Probe{PeerRef{Host, 0}}});
    Duration Pause =
        FirstProbePause * (1U << std::min(Entry.Probes, MaxDoublings));
    Entry.ProbeAt = Now + std::min(Pause + FirstProbePause, LongestProbePause);
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
