// HostExpiry.cpp - Drops hosts that are gone for good from the members' topic.

#include "HostExpiry.h"

#include "DecisionText.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// A host that has been silent for longer is asked. Hosts without calls between
/// them are silent to each other, so this must not be frequent.
static constexpr Duration AskAfter = 2min;
/// A host that has been silent for longer is dropped. Longer than a restart or
/// a partition that operators would wait for.
static constexpr Duration DropAfter = 10min;
static constexpr Duration CheckInterval = 30s;
/// Questions without an answer before a host is dropped.
static constexpr unsigned MinQuestions = 5;
/// Hosts asked in one interval: each question may open a link.
static constexpr std::size_t MaxAskedAtOnce = 32;

void HostExpiry::heard(TimePoint Now, const HostId &Host) {
  Hosts[Host] = Entry{Now, Now, 0};
}

/// A daemon that hears from few hosts is itself cut off.
bool HostExpiry::reachesMost(TimePoint Now) const {
  auto Heard = std::ranges::count_if(Hosts, [&](const auto &Known) {
    return Now - Known.second.HeardAt < DropAfter;
  });
  return static_cast<std::size_t>(Heard) * 2 >= Hosts.size();
}

/// Asks those first that were not asked for longest.
void HostExpiry::ask(TimePoint Now, std::vector<HostId> Silent,
                     SidecarEffects &Out) {
  std::ranges::sort(Silent, {},
                    [&](const HostId &Host) { return Hosts.at(Host).AskedAt; });
  if (Silent.size() > MaxAskedAtOnce)
    Silent.resize(MaxAskedAtOnce);
  for (const HostId &Host : Silent) {
    Entry &Known = Hosts.at(Host);
    Known.AskedAt = Now;
    ++Known.Asked;
    Out.emplace_back(SendPeer{Host, Probe{PeerRef{Host, 0}}});
  }
}

std::optional<HostId> HostExpiry::timer(TimePoint Now, const HostId &Self,
                                        const InstanceDirectory &Directory,
                                        SidecarEffects &Out) {
  if (Now < CheckAt)
    return std::nullopt;
  CheckAt = Now + CheckInterval;
  std::optional<HostId> Longest;
  TimePoint LongestAt = Now - DropAfter;
  std::vector<HostId> Silent;
  for (const auto &[Host, Said] : Directory.all()) {
    if (Host == Self)
      continue;
    const Entry &Known =
        Hosts.try_emplace(Host, Entry{Now, Now, 0}).first->second;
    if (Now - Known.HeardAt >= AskAfter)
      Silent.push_back(Host);
    if (Known.HeardAt > LongestAt || Known.Asked < MinQuestions)
      continue;
    Longest = Host;
    LongestAt = Known.HeardAt;
  }
  ask(Now, std::move(Silent), Out);
  if (!Longest || !reachesMost(Now))
    return std::nullopt;
  Decision Line{LogLevel::Warning, "host-dropped", {}};
  Line.Fields = {{"peer", *Longest},
                 {"silent_ms", millisText(Now - LongestAt)}};
  Out.emplace_back(std::move(Line));
  return Longest;
}

} // namespace figsail
