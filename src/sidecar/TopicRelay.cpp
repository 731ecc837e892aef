// TopicRelay.cpp - Shares reads of the store among the daemons of a failure
// domain.

#include "TopicRelay.h"

#include "figsail/Epoch.h"

namespace figsail {

using namespace std::chrono_literals;

/// Time between two questions to the reader.
static constexpr Duration AskInterval = 500ms;
/// A reader that has not answered for so long is not relied upon. Two lost
/// answers, and a configuration still comes into force in time.
static constexpr Duration LiveTime = 1300ms;
/// A reader that was just chosen has so long to answer before the store is
/// read.
static constexpr Duration AnswerGrace = 150ms;
/// A daemon that has not asked for so long is not told of news.
static constexpr Duration SubscriberTime = 2s;

/// The daemon of the failure domain with the lowest hash that is not suspected.
static HostId chooseReader(const HostId &Self, const std::string &Domain,
                           const InstanceDirectory &Directory,
                           const PeerHealth &Peers) {
  HostId Best = Self;
  std::uint64_t BestHash = hashText(Self);
  for (const auto &[Host, Said] : Directory.all()) {
    if (Said.FailureDomain != Domain || Host == Self ||
        Said.State == InstanceState::Absent || Peers.suspected(Host))
      continue;
    std::uint64_t Hash = hashText(Host);
    if (Hash >= BestHash)
      continue;
    Best = Host;
    BestHash = Hash;
  }
  return Best;
}

void TopicRelay::timer(TimePoint Now, const InstanceDirectory &Directory,
                       const PeerHealth &Peers, const std::vector<Offset> &From,
                       SidecarEffects &Out) {
  if (Now < AskAt)
    return;
  AskAt = Now + AskInterval;
  HostId Chosen = chooseReader(Self, FailureDomain, Directory, Peers);
  if (Chosen != Reader) {
    Reader = Chosen;
    LiveUntil = Now + AnswerGrace;
    Decision Line{LogLevel::Info, "store-reader", {}};
    Line.Fields = {{"reader", Reader}};
    Out.emplace_back(std::move(Line));
  }
  if (Reader != Self)
    Out.emplace_back(SendPeer{Reader, TopicSubscribe{From}});
}

void TopicRelay::updated(TimePoint Now, const HostId &From,
                         const TopicUpdate &Update) {
  if (From == Reader)
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
  return Reader == Self || Now >= LiveUntil;
}

} // namespace figsail
