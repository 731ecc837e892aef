// Takeover.cpp - Fences, acknowledgements and the search through earlier
// epochs.

#include "Takeover.h"

#include <algorithm>

namespace figsail {

// A lost part or a broken link delays a takeover by this interval.
static constexpr Duration ResendInterval = std::chrono::milliseconds(500);
// A member that is no longer listed gets this many fences, over 30 s, to hand
// over its records while it drains. After that it gets one at each slow
// interval.
static constexpr unsigned MaxFastRequests = 60;
static constexpr Duration SlowResendInterval = std::chrono::seconds(30);
// Complete can become true at the other member without a message to this host.
static constexpr Duration CompleteQueryInterval = std::chrono::seconds(5);
// The interval grows with each query up to a minute, because each
// acknowledgement carries records.
static constexpr unsigned MaxCompleteQueryFactor = 12;

static PeerRef refOf(const Member &Peer) { return {Peer.Host, Peer.Inc}; }

Takeover::Takeover(PeerRef Self, Duration LongestLifetime)
    : Self(std::move(Self)), LongestLifetime(LongestLifetime) {}

void Takeover::prune(ServiceTakeover &State,
                     const EpochHistory &History) const {
  Offset First = History.entries().front().At;
  for (auto &[Peer, Epochs] : State.Acks)
    Epochs.erase(Epochs.begin(), Epochs.lower_bound(First));
  std::erase_if(State.Acks,
                [](const auto &Entry) { return Entry.second.empty(); });
  State.Covered.erase(State.Covered.begin(), State.Covered.lower_bound(First));
}

void Takeover::epochChanged(TimePoint Now, const std::string &Service,
                            const EpochHistory &History, EffectList &Out) {
  ServiceTakeover &State = Services[Service];
  const EpochEntry &Current = History.current();
  if (Current.At <= State.Epoch)
    return;
  State.Epoch = Current.At;
  State.AppliedAt = Current.AppliedAt;
  State.Truncated = History.entries().front().Truncated;
  State.Partial.clear();
  State.PendingMembers.clear();
  prune(State, History);
  updateCovered(Now, State, History);
  if (!Current.lists(Self))
    return;

  for (const Member &Peer : Current.Members)
    if (refOf(Peer) != Self)
      State.PendingMembers[refOf(Peer)] = {Now, 0, true, true};
  for (const EpochEntry &Entry : History.entries()) {
    for (const Member &Peer : Entry.Members) {
      // Another incarnation on the same host proves that this one has ended.
      bool Replaced =
          std::ranges::any_of(Current.Members, [&](const Member &Listed) {
            return Listed.Host == Peer.Host;
          });
      if (!Replaced && Peer.Host != Self.Host)
        State.PendingMembers[refOf(Peer)] = {Now, 0, false, true};
    }
  }
  timer(Now, Out);
}

void Takeover::acknowledged(TimePoint Now, const PeerRef &From,
                            const FenceAck &Part, bool Stored,
                            const EpochHistory *History) {
  auto Found = Services.find(Part.Service);
  if (Found == Services.end())
    return;
  ServiceTakeover &State = Found->second;
  PartialAck &Partial = State.Partial[From];
  // Two acknowledgements divide the records into parts differently, so their
  // parts are not counted together.
  if (Part.AckNumber < Partial.AckNumber)
    return;
  if (Part.AckNumber > Partial.AckNumber)
    Partial = {Part.AckNumber, {}, std::nullopt, true};
  Partial.Parts.insert(Part.Part);
  Partial.Stored = Partial.Stored && Stored;
  if (Part.Last)
    Partial.Last = Part.Part;
  if (!Partial.Last || !Partial.Stored ||
      Partial.Parts.size() != *Partial.Last + 1)
    return;

  bool &Complete = State.Acks[From][Part.Epoch];
  Complete = Complete || Part.Complete;
  if (History && !History->empty())
    updateCovered(Now, State, *History);
  auto Pending = State.PendingMembers.find(From);
  if (Part.Epoch != State.Epoch || Pending == State.PendingMembers.end())
    return;
  Pending->second.AnswerPending = false;
  if (Complete || !State.Truncated)
    State.PendingMembers.erase(Pending);
}

std::optional<bool> Takeover::findAck(const ServiceTakeover &State,
                                      const EpochHistory &History,
                                      const PeerRef &Peer, Offset After,
                                      const EpochTest &Usable) const {
  if (Peer == Self)
    return State.Covered.contains(After);
  auto Found = State.Acks.find(Peer);
  if (Found == State.Acks.end())
    return std::nullopt;
  std::optional<bool> Result;
  const AckedEpochs &Epochs = Found->second;
  for (auto It = Epochs.upper_bound(After); It != Epochs.end(); ++It) {
    const EpochEntry *Entry = History.find(It->first);
    if (!Entry || !Usable(*Entry))
      continue;
    // Complete applies to the newest epoch before the acknowledged one that
    // lists the sender, and to no older epoch.
    bool Complete = It->second;
    for (const EpochEntry &Between : History.entries())
      if (Between.At > After && Between.At < It->first && Between.lists(Peer))
        Complete = false;
    Result = Result.value_or(false) || Complete;
  }
  return Result;
}

bool Takeover::executorsAcked(const ServiceTakeover &State,
                              const EpochHistory &History,
                              const EpochEntry &Entry, const std::string &Route,
                              const Member &Granter,
                              const EpochTest &Usable) const {
  for (const Member *Peer : eligibleMembers(Entry, Route)) {
    if (mayExecute(Entry, Route, Granter.Host, Peer->Host) &&
        !findAck(State, History, refOf(*Peer), Entry.At, Usable))
      return false;
  }
  return true;
}

bool Takeover::covers(TimePoint Now, const std::string &Service,
                      const EpochHistory &History, const std::string &Route,
                      const RequestKey &Key, Duration Lifetime) const {
  auto Found = Services.find(Service);
  if (Found == Services.end())
    return false;
  const ServiceTakeover &State = Found->second;
  // An acknowledgement of an epoch holds only the records whose key this host
  // coordinates in that epoch.
  EpochTest Usable = [&](const EpochEntry &Entry) {
    const Member *KeyCoordinator = coordinatorOf(Entry, Route, Key);
    return KeyCoordinator && KeyCoordinator->Host == Self.Host;
  };
  const auto &Entries = History.entries();
  for (std::size_t I = Entries.size() - 1; I-- > 0;) {
    if (Entries[I + 1].AppliedAt + Lifetime < Now)
      return true;
    const EpochEntry &Entry = Entries[I];
    const Member *KeyCoordinator = coordinatorOf(Entry, Route, Key);
    if (!KeyCoordinator)
      continue;
    std::optional<bool> Complete =
        findAck(State, History, refOf(*KeyCoordinator), Entry.At, Usable);
    if (Complete.value_or(false))
      return true;
    if (!Complete &&
        !executorsAcked(State, History, Entry, Route, *KeyCoordinator, Usable))
      return false;
  }
  const EpochEntry &First = Entries.front();
  return !First.Truncated || First.AppliedAt + Lifetime < Now;
}

// Returns the routes whose keys a host may coordinate in an epoch.
static std::vector<std::string> routesOf(const EpochEntry &Entry,
                                         const HostId &Host) {
  std::vector<std::string> Routes;
  for (const auto &[Route, Regions] : Entry.RouteRegions) {
    bool Eligible = std::ranges::any_of(
        eligibleMembers(Entry, Route),
        [&](const Member *Peer) { return Peer->Host == Host; });
    if (Eligible)
      Routes.push_back(Route);
  }
  return Routes;
}

// Returns whether, for each route, Inner's eligible members are a subset of
// Outer's and include Host. By rendezvous hashing, Host then coordinates in
// Inner every key that it coordinates in Outer.
static bool keepsKeys(const EpochEntry &Inner, const EpochEntry &Outer,
                      const std::vector<std::string> &Routes,
                      const HostId &Host) {
  for (const std::string &Route : Routes) {
    std::set<HostId> Before;
    for (const Member *Peer : eligibleMembers(Outer, Route))
      Before.insert(Peer->Host);
    bool Eligible = false;
    for (const Member *Peer : eligibleMembers(Inner, Route)) {
      if (!Before.contains(Peer->Host))
        return false;
      Eligible = Eligible || Peer->Host == Host;
    }
    if (!Eligible)
      return false;
  }
  return true;
}

Takeover::Coverage
Takeover::epochCoverage(const ServiceTakeover &State,
                        const EpochHistory &History, const EpochEntry &Entry,
                        const std::vector<std::string> &Routes,
                        const EpochTest &Usable) const {
  bool AllComplete = true;
  for (const std::string &Route : Routes) {
    std::vector<const Member *> Eligible = eligibleMembers(Entry, Route);
    // Without a coordinator in this epoch no acknowledgement covers earlier
    // ones.
    AllComplete = AllComplete && !Eligible.empty();
    for (const Member *Peer : Eligible) {
      std::optional<bool> Complete =
          findAck(State, History, refOf(*Peer), Entry.At, Usable);
      AllComplete = AllComplete && Complete.value_or(false);
      if (!Complete &&
          !executorsAcked(State, History, Entry, Route, *Peer, Usable))
        return Coverage::None;
    }
  }
  return AllComplete ? Coverage::WithEarlier : Coverage::ThisEpoch;
}

bool Takeover::coversAllKeys(TimePoint Now, const ServiceTakeover &State,
                             const EpochHistory &History,
                             const EpochEntry &Entry) const {
  std::vector<std::string> Routes = routesOf(Entry, Self.Host);
  EpochTest Usable = [&](const EpochEntry &Acked) {
    return keepsKeys(Acked, Entry, Routes, Self.Host);
  };
  const auto &Entries = History.entries();
  for (auto It = Entries.rbegin(); It != Entries.rend(); ++It) {
    if (It->At >= Entry.At)
      continue;
    Coverage Found = epochCoverage(State, History, *It, Routes, Usable);
    if (Found == Coverage::None)
      return false;
    if (Found == Coverage::WithEarlier)
      return true;
  }
  const EpochEntry &First = Entries.front();
  return !First.Truncated || First.AppliedAt + LongestLifetime < Now;
}

void Takeover::updateCovered(TimePoint Now, ServiceTakeover &State,
                             const EpochHistory &History) const {
  // Oldest first, because the coverage of an epoch depends on earlier ones.
  for (const EpochEntry &Entry : History.entries()) {
    if (!State.Covered.contains(Entry.At) && Entry.lists(Self) &&
        coversAllKeys(Now, State, History, Entry))
      State.Covered.insert(Entry.At);
  }
}

bool Takeover::complete(const std::string &Service, const EpochHistory &History,
                        Offset Epoch) const {
  auto Found = Services.find(Service);
  if (Found == Services.end())
    return false;
  const auto &Entries = History.entries();
  for (auto It = Entries.rbegin(); It != Entries.rend(); ++It)
    if (It->At < Epoch && It->lists(Self))
      return Found->second.Covered.contains(It->At);
  return false;
}

Offset Takeover::epoch(const std::string &Service) const {
  auto Found = Services.find(Service);
  return Found == Services.end() ? NoOffset : Found->second.Epoch;
}

void Takeover::timer(TimePoint Now, EffectList &Out) {
  for (auto &[Service, State] : Services) {
    if (State.AppliedAt + LongestLifetime < Now)
      State.PendingMembers.clear();
    for (auto &[Peer, Pending] : State.PendingMembers) {
      if (Pending.NextSend > Now)
        continue;
      Out.push_back(SendPeer{Peer.Host, Fence{Service, State.Epoch}});
      Out.push_back(Count{Counter::Fences, 1});
      ++Pending.Sent;
      Duration Wait = ResendInterval;
      if (!Pending.Listed && Pending.Sent > MaxFastRequests)
        Wait = SlowResendInterval;
      if (!Pending.AnswerPending)
        Wait = CompleteQueryInterval *
               std::min(Pending.Sent, MaxCompleteQueryFactor);
      Pending.NextSend = Now + Wait;
    }
  }
}

TimePoint Takeover::nextWake() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Service, State] : Services)
    for (const auto &[Peer, Pending] : State.PendingMembers)
      Next = std::min(Next, Pending.NextSend);
  return Next;
}

} // namespace figsail
