// TopicRelay.cpp - Shares reads of the store among the daemons of a failure
// domain.

#include "TopicRelay.h"

#include "figsail/Epoch.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace figsail {

using namespace std::chrono_literals;

/// Time between two questions to the source.
static constexpr Duration AskInterval = 500ms;
/// A source that has not answered for so long is not relied upon. Two lost
/// answers, and a configuration still comes into force in time.
static constexpr Duration LiveTime = 1300ms;
/// A source that was just chosen has so long to answer before the store is
/// read.
static constexpr Duration AnswerGrace = 150ms;
/// A daemon that has not asked for so long is not told of news.
static constexpr Duration SubscriberTime = 2s;

/// Daemons that ask one source. Small, so that a configuration does not fill
/// the link of the source; three levels then cover 73 hosts, four 585.
static constexpr std::size_t MaxAskers = 8;

/// Returns the daemon to ask: the host itself when none of the failure domain
/// with a lower hash is within reach.
static HostId chooseSource(const HostId &Self, const std::string &Domain,
                           const InstanceDirectory &Directory,
                           const PeerHealth &Peers) {
  std::uint64_t OwnHash = hashText(Self);
  std::vector<std::pair<std::uint64_t, HostId>> Lower;
  for (const auto &[Host, Said] : Directory.all()) {
    if (Said.FailureDomain != Domain || Host == Self ||
        Said.State == InstanceState::Absent || Peers.suspected(Host))
      continue;
    std::uint64_t Hash = hashText(Host);
    if (Hash < OwnHash)
      Lower.emplace_back(Hash, Host);
  }
  if (Lower.empty())
    return Self;
  std::ranges::sort(Lower);
  return Lower[(Lower.size() - 1) / MaxAskers].second;
}

void TopicRelay::timer(TimePoint Now, const InstanceDirectory &Directory,
                       const PeerHealth &Peers, const TopicSubscribe &Question,
                       SidecarEffects &Out) {
  if (Now < AskAt)
    return;
  AskAt = Now + AskInterval;
  HostId Chosen = chooseSource(Self, FailureDomain, Directory, Peers);
  if (Chosen != Source) {
    Source = Chosen;
    Answered = false;
    LiveUntil = Now + AnswerGrace;
    Decision Line{LogLevel::Info, "topic-source", {}};
    Line.Fields = {{"source", Source}};
    Out.emplace_back(std::move(Line));
  }
  if (Source != Self)
    Out.emplace_back(SendPeer{Source, Question});
}

void TopicRelay::updated(TimePoint Now, const HostId &From,
                         const TopicUpdate &Update) {
  if (From != Source)
    return;
  Answered = true;
  LiveUntil = Update.Live ? Now + LiveTime : TimePoint{};
}

void TopicRelay::subscribed(TimePoint Now, const HostId &From) {
  Subscribers[From] = Now;
}

std::vector<HostId> TopicRelay::subscribers(TimePoint Now) {
  std::erase_if(Subscribers, [&](const auto &Entry) {
    return Entry.second + SubscriberTime < Now;
  });
  std::vector<HostId> Hosts;
  for (const auto &[Host, Asked] : Subscribers)
    Hosts.push_back(Host);
  return Hosts;
}

bool TopicRelay::readsStore(TimePoint Now) const {
  return Source == Self || Now >= LiveUntil;
}

} // namespace figsail
