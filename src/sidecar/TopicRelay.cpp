// TopicRelay.cpp - Sharing of store reads among the daemons of a failure
// domain.

#include "TopicRelay.h"

#include "figsail/Epoch.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace figsail {

using namespace std::chrono_literals;

/// Time between two requests to the source.
static constexpr Duration RequestInterval = 500ms;
/// Time after which a silent source counts as failed. It allows for two lost
/// answers, and a configuration still comes into force in time.
static constexpr Duration SourceTimeout = 1300ms;
/// Time for the first answer of a newly chosen source. Without one the store is
/// read.
static constexpr Duration FirstAnswerTimeout = 150ms;

/// Bound on the subscribers of one source. It is small so that a configuration
/// does not saturate the link of the source. Three levels cover 73 hosts, four
/// 585.
static constexpr std::size_t MaxSubscribersPerSource = 8;

/// Returns the source for a host: the host itself when no reachable daemon of
/// the failure domain has a lower hash.
static HostId chooseSource(const HostId &Self, const std::string &Domain,
                           const InstanceDirectory &Directory,
                           const PeerHealth &Peers) {
  std::uint64_t OwnHash = hashText(Self);
  std::vector<std::pair<std::uint64_t, HostId>> LowerHashes;
  for (const auto &[Host, Announced] : Directory.all()) {
    if (Announced.FailureDomain != Domain || Host == Self ||
        Announced.State == InstanceState::Absent || Peers.isSuspected(Host))
      continue;
    std::uint64_t Hash = hashText(Host);
    if (Hash < OwnHash)
      LowerHashes.emplace_back(Hash, Host);
  }
  if (LowerHashes.empty())
    return Self;
  std::ranges::sort(LowerHashes);
  return LowerHashes[(LowerHashes.size() - 1) / MaxSubscribersPerSource].second;
}

void TopicRelay::timer(TimePoint Now, const InstanceDirectory &Directory,
                       const PeerHealth &Peers, const RequestMaker &MakeRequest,
                       SidecarEffects &Out) {
  if (Now < RequestAt)
    return;
  RequestAt = Now + RequestInterval;
  HostId Chosen = chooseSource(Self, FailureDomain, Directory, Peers);
  if (Chosen != Source)
    setSource(Now, Chosen, Peers, Out);
  logReading(Now, Out);
  if (Source != Self)
    Out.emplace_back(SendPeer{Source, MakeRequest(Source)});
}

void TopicRelay::setSource(TimePoint Now, const HostId &Chosen,
                           const PeerHealth &Peers, SidecarEffects &Out) {
  std::string_view Reason = "other";
  if (Source.empty())
    Reason = "first";
  else if (Peers.isSuspected(Source))
    Reason = "unreachable";
  Decision Line{LogLevel::Info, "topic-source", {}};
  Line.Fields = {{"source", Chosen},
                 {"before", Source.empty() ? "none" : Source},
                 {"reason", std::string(Reason)}};
  Out.emplace_back(std::move(Line));
  Source = Chosen;
  SourceAnswered = false;
  SourceConfirmed = false;
  LiveUntil = Now + FirstAnswerTimeout;
}

/// Logs that this daemon starts or stops to read the store. Since it is called
/// at each request to the source, a shorter change may not be logged.
void TopicRelay::logReading(TimePoint Now, SidecarEffects &Out) {
  bool Reads = readsStore(Now);
  if (Reads == ReadingLogged)
    return;
  ReadingLogged = Reads;
  Decision Line{LogLevel::Info, "topic-reading", {}};
  Line.Fields = {{"from", Reads ? "store" : Source},
                 {"source", Source},
                 {"reason", std::string(readingReason(Reads))}};
  Out.emplace_back(std::move(Line));
}

/// Returns why this daemon reads the store, or why it does not.
std::string_view TopicRelay::readingReason(bool Reads) const {
  if (Source == Self)
    return "own-source";
  if (!Reads)
    return SourceAnswered ? "live" : "asked";
  return LiveUntil == TimePoint{} ? "behind" : "silent";
}

void TopicRelay::updateReceived(TimePoint Now, const HostId &From,
                                const TopicUpdate &Update) {
  if (From != Source)
    return;
  SourceAnswered = true;
  SourceConfirmed = Update.Confirmed;
  LiveUntil = Update.Live ? Now + SourceTimeout : TimePoint{};
}

void TopicRelay::pieceReceived(TimePoint Now, const HostId &From) {
  if (From == Source && LiveUntil != TimePoint{})
    LiveUntil = std::max(LiveUntil, Now + SourceTimeout);
}

bool TopicRelay::readsStore(TimePoint Now) const {
  return Source == Self || Now >= LiveUntil;
}

} // namespace figsail
