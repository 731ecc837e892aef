// Liveness.cpp - Membership announcements of this daemon and failure detection
// of its ring neighbours.

#include "Liveness.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

static constexpr Duration HeartbeatInterval = 1s;
/// Number of neighbours on each side in the ring.
static constexpr std::size_t NeighboursPerSide = 2;
/// Time without a message after which witnesses are queried.
static constexpr Duration SilenceTimeout = 5s;
/// Time for the witnesses to reply: two round trips between regions, with a
/// margin for a paused process.
static constexpr Duration ProbeTimeout = 2s;
/// Members that are queried about an unresponsive neighbour.
static constexpr std::size_t MaxWitnesses = 2;
/// Delay before a record is proposed again after its append failed or while it
/// has no effect yet.
static constexpr Duration ProposalInterval = 2s;

Liveness::Liveness(Member Self) : Self(std::move(Self)) {}

bool Liveness::listed(const ReplicatedState &State) const {
  const Member *Peer = State.member(Self.Host);
  return Peer && Peer->Inc == Self.Inc;
}

void Liveness::messageReceived(TimePoint Now, const PeerRef &From) {
  auto Found = Watching.find(From.Host);
  if (Found != Watching.end() && Found->second.Ref == From) {
    Found->second.LastMessageAt = Now;
    Found->second.ProbedAt.reset();
  }
}

void Liveness::membersChanged(TimePoint Now, const ReplicatedState &State) {
  std::vector<const Member *> Ring; // Sorted by host, as members() is.
  for (const auto &[Host, Peer] : State.members())
    if (Peer.Service == Self.Service && !Self.Service.empty())
      Ring.push_back(&Peer);
  auto Own = std::ranges::find(Ring, Self.Host,
                               [](const Member *Peer) { return Peer->Host; });
  Successors.clear();
  std::map<HostId, WatchedNeighbour> Previous = std::move(Watching);
  Watching.clear();
  if (Own == Ring.end())
    return;
  auto Index = static_cast<std::size_t>(Own - Ring.begin());
  for (std::size_t Step = 1; Step <= NeighboursPerSide && Step < Ring.size();
       ++Step) {
    Successors.push_back(Ring[(Index + Step) % Ring.size()]->Host);
    const Member *Peer = Ring[(Index + Ring.size() - Step) % Ring.size()];
    PeerRef Ref{Peer->Host, Peer->Inc};
    auto Old = Previous.find(Peer->Host);
    bool Same = Old != Previous.end() && Old->second.Ref == Ref;
    Watching[Peer->Host] =
        Same ? Old->second : WatchedNeighbour{Ref, Peer->Region, Now, {}};
  }
}

void Liveness::probe(TimePoint Now, const PeerRef &From, const Probe &Message,
                     EffectList &Out) {
  if (Message.Target.Host == Self.Host) {
    bool Alive = Message.Target.Inc == Self.Inc;
    Out.push_back(SendPeer{From.Host, ProbeReply{Message.Target, Alive}});
    return;
  }
  std::erase_if(PendingProbes, [Now](const auto &Entry) {
    return Now - Entry.second.Since > ProbeTimeout;
  });
  PendingProbes.insert({Message.Target.Host, {From.Host, Now}});
  Out.push_back(SendPeer{Message.Target.Host, Message});
}

void Liveness::probeReply(TimePoint Now, const PeerRef &From,
                          const ProbeReply &Message, EffectList &Out) {
  auto [First, Last] = PendingProbes.equal_range(Message.Target.Host);
  for (auto It = First; It != Last; ++It)
    Out.push_back(SendPeer{It->second.Requester, Message});
  PendingProbes.erase(First, Last);
  for (auto &[Host, Neighbour] : Watching) {
    if (Message.Alive && Neighbour.Ref == Message.Target) {
      Neighbour.LastMessageAt = Now;
      Neighbour.ProbedAt.reset();
    }
  }
  if (Message.Alive && From == Message.Target)
    RegionReplies[From.Host] = Now;
}

/// Queries witnesses about an unresponsive neighbour, and probes other hosts of
/// its region.
void Liveness::startProbe(TimePoint Now, const ReplicatedState &State,
                          WatchedNeighbour &Neighbour, EffectList &Out) {
  Neighbour.ProbedAt = Now;
  std::size_t Witnesses = 0;
  std::size_t RegionWitnesses = 0;
  for (const auto &[Host, Peer] : State.members()) {
    if (Host == Self.Host || Host == Neighbour.Ref.Host)
      continue;
    if (Peer.Service == Self.Service && Witnesses < MaxWitnesses) {
      Out.push_back(SendPeer{Host, Probe{Neighbour.Ref}});
      ++Witnesses;
    }
    bool Remote =
        Neighbour.Region != Self.Region && Peer.Region == Neighbour.Region;
    if (Remote && RegionWitnesses < MaxWitnesses) {
      Out.push_back(SendPeer{Host, Probe{{Host, Peer.Inc}}});
      ++RegionWitnesses;
    }
  }
  Out.push_back(SendPeer{Neighbour.Ref.Host, Probe{Neighbour.Ref}});
  Out.push_back(Trace{TraceKind::MemberSuspected, Neighbour.Ref.Host, {}});
}

std::optional<RecordBody> Liveness::checkNeighbour(TimePoint Now,
                                                   const ReplicatedState &State,
                                                   WatchedNeighbour &Neighbour,
                                                   EffectList &Out) {
  if (Now - Neighbour.LastMessageAt < SilenceTimeout)
    return std::nullopt;
  if (!Neighbour.ProbedAt) {
    startProbe(Now, State, Neighbour, Out);
    return std::nullopt;
  }
  if (Now - *Neighbour.ProbedAt < ProbeTimeout)
    return std::nullopt;
  // If no host of the region replies, the region is unreachable rather than the
  // member dead, and removing the member would not help.
  bool RegionReplied = Neighbour.Region == Self.Region;
  for (const auto &[Host, RepliedAt] : RegionReplies) {
    const Member *Peer = State.member(Host);
    if (Peer && Peer->Region == Neighbour.Region &&
        RepliedAt >= *Neighbour.ProbedAt)
      RegionReplied = true;
  }
  Neighbour.ProbedAt.reset();
  if (!RegionReplied)
    return std::nullopt;
  return RemoveRecord{Neighbour.Ref, Self.Host};
}

std::optional<RecordBody>
Liveness::ownMembershipRecord(TimePoint Now, const ReplicatedState &State,
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
  if (auto Own = ownMembershipRecord(Now, State, CaughtUp))
    return Own;
  if (Now < NextHeartbeat)
    return std::nullopt;
  // During a pause this process read no messages, so silence does not mean that
  // a neighbour failed.
  bool Paused =
      NextHeartbeat != TimePoint{} && Now - NextHeartbeat > SilenceTimeout / 2;
  NextHeartbeat = Now + HeartbeatInterval;
  for (auto &[Host, Neighbour] : Watching) {
    if (!Paused)
      continue;
    Neighbour.LastMessageAt = Now;
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

TimePoint Liveness::nextWake() const { return NextHeartbeat; }

void Liveness::appendFailed(TimePoint Now) {
  NextOwnRecord = std::min(NextOwnRecord, Now + ProposalInterval);
}

} // namespace figsail
