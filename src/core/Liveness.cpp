// Liveness.cpp - Announces this daemon, watches ring neighbours, and proposes
// their removal.

#include "Liveness.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

static constexpr Duration BeatInterval = 1s;
/// Neighbours on each side of the ring.
static constexpr std::size_t Neighbours = 2;
/// Silence after which others are asked.
static constexpr Duration SuspectAfter = 5s;
/// Time for the others to reply; covers two round trips between regions with
/// room for a pause.
static constexpr Duration ProbeWait = 2s;
/// Others that are asked about a silent neighbour.
static constexpr std::size_t Witnesses = 2;
/// Delay before a record is proposed again whose append failed or had no effect
/// yet.
static constexpr Duration ProposalInterval = 2s;

Liveness::Liveness(Member Self) : Self(std::move(Self)) {}

bool Liveness::listed(const ReplicatedState &State) const {
  const Member *Who = State.member(Self.Host);
  return Who && Who->Inc == Self.Inc;
}

void Liveness::heard(TimePoint Now, const PeerRef &From) {
  auto Found = Watching.find(From.Host);
  if (Found != Watching.end() && Found->second.Who == From) {
    Found->second.LastHeard = Now;
    Found->second.ProbedAt.reset();
  }
}

void Liveness::membersChanged(TimePoint Now, const ReplicatedState &State) {
  std::vector<const Member *> Ring; // Sorted by host, as members() is.
  for (const auto &[Host, Who] : State.members())
    if (Who.Service == Self.Service && !Self.Service.empty())
      Ring.push_back(&Who);
  auto Own = std::ranges::find(Ring, Self.Host,
                               [](const Member *Who) { return Who->Host; });
  Successors.clear();
  std::map<HostId, Watched> Before = std::move(Watching);
  Watching.clear();
  if (Own == Ring.end())
    return;
  auto Index = static_cast<std::size_t>(Own - Ring.begin());
  for (std::size_t Step = 1; Step <= Neighbours && Step < Ring.size(); ++Step) {
    Successors.push_back(Ring[(Index + Step) % Ring.size()]->Host);
    const Member *Who = Ring[(Index + Ring.size() - Step) % Ring.size()];
    PeerRef Ref{Who->Host, Who->Inc};
    auto Old = Before.find(Who->Host);
    bool Same = Old != Before.end() && Old->second.Who == Ref;
    Watching[Who->Host] =
        Same ? Old->second : Watched{Ref, Who->Region, Now, {}};
  }
}

void Liveness::probe(TimePoint Now, const PeerRef &From, const Probe &Message,
                     EffectList &Out) {
  if (Message.Target.Host == Self.Host) {
    bool Alive = Message.Target.Inc == Self.Inc;
    Out.push_back(SendPeer{From.Host, ProbeReply{Message.Target, Alive}});
    return;
  }
  std::erase_if(Pending, [Now](const auto &Entry) {
    return Now - Entry.second.Since > ProbeWait;
  });
  Pending.insert({Message.Target.Host, {From.Host, Now}});
  Out.push_back(SendPeer{Message.Target.Host, Message});
}

void Liveness::probeReply(TimePoint Now, const PeerRef &From,
                          const ProbeReply &Message, EffectList &Out) {
  auto [First, Last] = Pending.equal_range(Message.Target.Host);
  for (auto It = First; It != Last; ++It)
    Out.push_back(SendPeer{It->second.Asker, Message});
  Pending.erase(First, Last);
  for (auto &[Host, Neighbour] : Watching) {
    if (Message.Alive && Neighbour.Who == Message.Target) {
      Neighbour.LastHeard = Now;
      Neighbour.ProbedAt.reset();
    }
  }
  if (Message.Alive && From == Message.Target)
    RegionHeard[From.Host] = Now;
}

/// Asks witnesses about a silent neighbour, and other hosts of its region
/// whether they are there.
void Liveness::startProbe(TimePoint Now, const ReplicatedState &State,
                          Watched &Neighbour, EffectList &Out) {
  Neighbour.ProbedAt = Now;
  std::size_t Asked = 0;
  std::size_t AskedInRegion = 0;
  for (const auto &[Host, Who] : State.members()) {
    if (Host == Self.Host || Host == Neighbour.Who.Host)
      continue;
    if (Who.Service == Self.Service && Asked < Witnesses) {
      Out.push_back(SendPeer{Host, Probe{Neighbour.Who}});
      ++Asked;
    }
    bool Remote =
        Neighbour.Region != Self.Region && Who.Region == Neighbour.Region;
    if (Remote && AskedInRegion < Witnesses) {
      Out.push_back(SendPeer{Host, Probe{{Host, Who.Inc}}});
      ++AskedInRegion;
    }
  }
  Out.push_back(SendPeer{Neighbour.Who.Host, Probe{Neighbour.Who}});
  Out.push_back(Trace{TraceKind::MemberSuspected, Neighbour.Who.Host, {}});
}

std::optional<RecordBody> Liveness::checkNeighbour(TimePoint Now,
                                                   const ReplicatedState &State,
                                                   Watched &Neighbour,
                                                   EffectList &Out) {
  if (Now - Neighbour.LastHeard < SuspectAfter)
    return std::nullopt;
  if (!Neighbour.ProbedAt) {
    startProbe(Now, State, Neighbour, Out);
    return std::nullopt;
  }
  if (Now - *Neighbour.ProbedAt < ProbeWait)
    return std::nullopt;
  // While nobody of the region replies, the region is cut off rather than the
  // member dead, and its removal would gain nothing.
  bool RegionSpoke = Neighbour.Region == Self.Region;
  for (const auto &[Host, Heard] : RegionHeard) {
    const Member *Who = State.member(Host);
    if (Who && Who->Region == Neighbour.Region && Heard >= *Neighbour.ProbedAt)
      RegionSpoke = true;
  }
  Neighbour.ProbedAt.reset();
  if (!RegionSpoke)
    return std::nullopt;
  return RemoveRecord{Neighbour.Who, Self.Host};
}

std::optional<RecordBody> Liveness::ownRecord(TimePoint Now,
                                              const ReplicatedState &State,
                                              bool CaughtUp) {
  if (Now < NextOwnRecord || !CaughtUp || listed(State) != Leaving)
    return std::nullopt;
  NextOwnRecord = Now + ProposalInterval;
  if (Leaving)
    return LeaveRecord{{Self.Host, Self.Inc}};
  return JoinRecord{Self};
}

std::optional<RecordBody> Liveness::timer(TimePoint Now,
                                          const ReplicatedState &State,
                                          bool CaughtUp, const LoadReport &Load,
                                          EffectList &Out) {
  if (auto Own = ownRecord(Now, State, CaughtUp))
    return Own;
  if (Now < NextBeat)
    return std::nullopt;
  // After a pause of this process nobody was heard because nobody was listened
  // to.
  bool Paused = NextBeat != TimePoint{} && Now - NextBeat > SuspectAfter / 2;
  NextBeat = Now + BeatInterval;
  for (auto &[Host, Neighbour] : Watching) {
    if (!Paused)
      continue;
    Neighbour.LastHeard = Now;
    Neighbour.ProbedAt.reset();
  }
  for (const HostId &Host : Successors) {
    Out.push_back(Count{Counter::Heartbeats});
    Out.push_back(SendPeer{Host, Heartbeat{State.appliedOffset(), Load}});
  }
  for (auto &[Host, Neighbour] : Watching)
    if (auto Removal = checkNeighbour(Now, State, Neighbour, Out))
      return Removal;
  return std::nullopt;
}

TimePoint Liveness::nextWake() const { return NextBeat; }

void Liveness::appendFailed(TimePoint Now) {
  NextOwnRecord = std::min(NextOwnRecord, Now + ProposalInterval);
}

} // namespace figsail
