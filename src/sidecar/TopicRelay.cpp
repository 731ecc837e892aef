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
/// The same for a source of another failure domain, to which a link may have to
/// be opened first.
static constexpr Duration ForeignAnswerTimeout = 400ms;
/// Time for which a daemon whose reads have failed stays with a source of
/// another failure domain before it tries those of its own again.
static constexpr Duration ForeignTime = 3s;
/// Time between two requests to a source that is not up to date.
static constexpr Duration BehindRequestInterval = 200ms;
/// Time after which a source that is not up to date is set aside. Meanwhile its
/// own source may be replaced.
static constexpr Duration MaxBehindTime = 600ms;
/// Time for which a source is set aside. Divided by MaxBehindTime, it bounds
/// the daemons of a domain that read the store in vain at one time.
static constexpr Duration AsideTime = 3s;

/// Bound on the subscribers of one source. It is small so that a configuration
/// does not saturate the link of the source. Three levels cover 73 hosts, four
/// 585.
static constexpr std::size_t MaxSubscribersPerSource = 8;

bool TopicRelay::isEligible(const Announcement &Announced,
                            const PeerHealth &Peers) const {
  return Announced.Host != Self && Announced.State != InstanceState::Absent &&
         !Peers.isSuspected(Announced.Host) &&
         !SetAside.contains(Announced.Host);
}

/// Returns the source: this daemon itself when no other one can be. Sets
/// Reader.
TopicRelay::Choice TopicRelay::chooseSource(TimePoint Now,
                                            const InstanceDirectory &Directory,
                                            const PeerHealth &Peers,
                                            bool Failing) {
  std::erase_if(SetAside,
                [&](const auto &Entry) { return Now >= Entry.second.Until; });
  bool OwnReadsFail = Failing && readsStore(Now);
  std::uint64_t OwnHash = hashText(Self);
  std::vector<std::pair<std::uint64_t, HostId>> Lower;
  std::pair<std::uint64_t, HostId> Next{UINT64_MAX, HostId()};
  for (const auto &[Host, Announced] : Directory.all()) {
    if (Announced.FailureDomain != FailureDomain)
      continue;
    std::uint64_t Hash = hashText(Host);
    if (Hash > OwnHash && Announced.State != InstanceState::Absent)
      Next = std::min(Next, {Hash, Host});
    if (Hash < OwnHash && isEligible(Announced, Peers))
      Lower.emplace_back(Hash, Host);
  }
  Reader = Lower.empty();
  const Announcement *NextHost = Directory.find(Next.second);
  if (OwnReadsFail && Reader && NextHost && isEligible(*NextHost, Peers))
    return {NextHost->Host};
  if (OwnReadsFail)
    ForeignUntil = Now + ForeignTime;
  else if (Reader)
    ForeignUntil = TimePoint{};
  if (Now < ForeignUntil)
    if (HostId Foreign = chooseForeignSource(Directory, Peers);
        !Foreign.empty())
      return {Foreign, true};
  if (Reader)
    return {Self};
  std::ranges::sort(Lower);
  return {Lower[(Lower.size() - 1) / MaxSubscribersPerSource].second};
}

/// Returns a host of another failure domain, of this region if there is one, or
/// an empty name. Daemons choose different ones, so that no host has the failed
/// readers of all domains as its subscribers.
HostId TopicRelay::chooseForeignSource(const InstanceDirectory &Directory,
                                       const PeerHealth &Peers) const {
  const Announcement *Own = Directory.find(Self);
  std::uint64_t OwnHash = hashText(Self);
  std::pair<bool, std::uint64_t> BestRank;
  HostId Best;
  for (const auto &[Host, Announced] : Directory.all()) {
    if (Announced.FailureDomain == FailureDomain ||
        !isEligible(Announced, Peers))
      continue;
    bool OtherRegion = Own && Own->Region != Announced.Region;
    std::pair<bool, std::uint64_t> Rank{OtherRegion, hashText(Host, OwnHash)};
    if (!Best.empty() && BestRank <= Rank)
      continue;
    BestRank = Rank;
    Best = Host;
  }
  return Best;
}

void TopicRelay::timer(TimePoint Now, const InstanceDirectory &Directory,
                       const PeerHealth &Peers, bool Failing,
                       const RequestMaker &MakeRequest, SidecarEffects &Out) {
  if (Now < RequestAt)
    return;
  if (isSourceBehind(Now))
    setAside(Now, Source, "behind");
  else if (isReplacementSilent(Now))
    setAside(Now, Source, "silent");
  std::string_view Reason = changeReason(Now, Peers);
  Choice Chosen = chooseSource(Now, Directory, Peers, Failing);
  if (Chosen.Host != Source)
    setSource(Now, Chosen, Reason, Out);
  logReading(Now, Out);
  RequestAt = Now + (SourceLive || Source == Self ? RequestInterval
                                                  : BehindRequestInterval);
  if (Source != Self)
    Out.emplace_back(SendPeer{Source, MakeRequest(Source)});
}

std::string_view TopicRelay::changeReason(TimePoint Now,
                                          const PeerHealth &Peers) const {
  if (Source.empty())
    return "first";
  if (Peers.isSuspected(Source))
    return "unreachable";
  auto Found = SetAside.find(Source);
  bool IsAside = Found != SetAside.end() && Now < Found->second.Until;
  return IsAside ? Found->second.Reason : "other";
}

void TopicRelay::setAside(TimePoint Now, const HostId &Host,
                          std::string_view Reason) {
  SetAside[Host] = {Now + AsideTime, Reason};
  RequestAt = Now;
}

/// Returns whether the source answers, but has not been up to date for so long
/// that another one should be tried.
bool TopicRelay::isSourceBehind(TimePoint Now) const {
  return Source != Self && SourceAnswered && !SourceLive &&
         Now >= BehindSince + MaxBehindTime;
}

void TopicRelay::setSource(TimePoint Now, const Choice &Chosen,
                           std::string_view Reason, SidecarEffects &Out) {
  Decision Line{LogLevel::Info, "topic-source", {}};
  Line.Fields = {{"source", Chosen.Host},
                 {"before", Source.empty() ? "none" : Source},
                 {"foreign", Chosen.Foreign ? "yes" : "no"},
                 {"reason", std::string(Reason)}};
  Out.emplace_back(std::move(Line));
  // A source that was set aside had answered, so the links work.
  bool Replaced = SetAside.contains(Source);
  Source = Chosen.Host;
  SourceIsForeign = Chosen.Foreign;
  SourceAnswered = false;
  SourceLive = false;
  SourceConfirmed = false;
  BehindSince = Now;
  if (SourceIsForeign)
    SilentAt = Now + ForeignAnswerTimeout;
  else
    SilentAt = Now + (Replaced ? SourceTimeout : FirstAnswerTimeout);
}

/// Returns whether the source of a daemon whose own reads fail does not answer.
bool TopicRelay::isReplacementSilent(TimePoint Now) const {
  bool Replacement = SourceIsForeign || (Reader && Source != Self);
  return Replacement && Now >= SilentAt;
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
  if (Reads)
    return Reader ? "own-source" : "silent";
  if (!SourceAnswered)
    return "asked";
  return SourceLive ? "live" : "behind";
}

void TopicRelay::updateReceived(TimePoint Now, const HostId &From,
                                const TopicUpdate &Update) {
  if (From != Source)
    return;
  if (SourceLive && !Update.Live)
    BehindSince = Now;
  SourceAnswered = true;
  SourceLive = Update.Live;
  SourceConfirmed = Update.Confirmed;
  SilentAt = Now + SourceTimeout;
  // The first reader that fails may be the only one, so it is replaced at once.
  // Further ones show that the store serves few or none, and are given time.
  if (Update.StoreFailing && SetAside.empty())
    setAside(Now, From, "failing");
}

void TopicRelay::pieceReceived(TimePoint Now, const HostId &From) {
  if (From == Source)
    SilentAt = std::max(SilentAt, Now + SourceTimeout);
}

bool TopicRelay::readsStore(TimePoint Now) const {
  return Reader || Now >= SilentAt;
}

} // namespace figsail
