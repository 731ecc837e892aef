// HostExpiry.cpp - Removal of hosts that no longer exist from the members
// topic.

#include "HostExpiry.h"

#include "DecisionText.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// Silence after which a host is probed. Hosts without calls between them are
/// always silent to each other, so probes must be rare.
static constexpr Duration ProbeAfter = 2min;
/// Silence after which a host is removed. Longer than a restart, or a partition
/// that operators would wait out.
static constexpr Duration DropAfter = 10min;
static constexpr Duration CheckInterval = 30s;
/// Probes without a reply before a host is removed.
static constexpr unsigned MinProbes = 5;
/// Hosts probed in one interval. Each probe may open a link.
static constexpr std::size_t MaxProbesPerCheck = 32;

void HostExpiry::markReachable(TimePoint Now, const HostId &Host) {
  Hosts[Host] = Entry{Now, Now, 0};
}

/// Returns whether at least half of the hosts sent something recently. A daemon
/// that hears from fewer is itself partitioned and must not remove any.
bool HostExpiry::reachesHalf(TimePoint Now) const {
  auto Recent = std::ranges::count_if(Hosts, [&](const auto &Item) {
    return Now - Item.second.LastMessageAt < DropAfter;
  });
  return static_cast<std::size_t>(Recent) * 2 >= Hosts.size();
}

/// Probes the silent hosts, least recently probed first.
void HostExpiry::sendProbes(TimePoint Now, std::vector<HostId> Silent,
                            SidecarEffects &Out) {
  std::ranges::sort(Silent, {}, [&](const HostId &Host) {
    return Hosts.at(Host).LastProbeAt;
  });
  if (Silent.size() > MaxProbesPerCheck)
    Silent.resize(MaxProbesPerCheck);
  for (const HostId &Host : Silent) {
    Entry &State = Hosts.at(Host);
    State.LastProbeAt = Now;
    ++State.ProbesSent;
    Out.emplace_back(SendPeer{Host, Probe{PeerRef{Host, 0}}});
  }
}

std::optional<HostId> HostExpiry::timer(TimePoint Now, const HostId &Self,
                                        const InstanceDirectory &Directory,
                                        SidecarEffects &Out) {
  if (Now < CheckAt)
    return std::nullopt;
  CheckAt = Now + CheckInterval;
  std::optional<HostId> Expired;
  TimePoint OldestMessageAt = Now - DropAfter;
  std::vector<HostId> Silent;
  for (const auto &[Host, Announced] : Directory.all()) {
    if (Host == Self)
      continue;
    const Entry &State =
        Hosts.try_emplace(Host, Entry{Now, Now, 0}).first->second;
    if (Now - State.LastMessageAt >= ProbeAfter)
      Silent.push_back(Host);
    if (State.LastMessageAt > OldestMessageAt || State.ProbesSent < MinProbes)
      continue;
    Expired = Host;
    OldestMessageAt = State.LastMessageAt;
  }
  sendProbes(Now, std::move(Silent), Out);
  if (!Expired || !reachesHalf(Now))
    return std::nullopt;
  Decision Line{LogLevel::Warning, "host-dropped", {}};
  Line.Fields = {{"peer", *Expired},
                 {"silent_ms", millisText(Now - OldestMessageAt)}};
  Out.emplace_back(std::move(Line));
  return Expired;
}

} // namespace figsail
