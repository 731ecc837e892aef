// Takeover.cpp - Fences, acknowledgements and the walk over earlier epochs.

#include "Takeover.h"

#include <algorithm>

namespace figsail {

// A lost part or a broken link delays a takeover by one interval.
static constexpr Duration ResendInterval = std::chrono::milliseconds(500);
// A member that is no longer listed has this many tries, 30 s, to hand over its
// records while it drains; then it is asked at the slow interval only.
static constexpr unsigned FastTries = 60;
static constexpr Duration SlowInterval = std::chrono::seconds(30);
// Complete can become true at the sender without any message to this host.
static constexpr Duration CompleteInterval = std::chrono::seconds(5);
// The interval grows with each question up to a minute, because each answer
// carries records.
static constexpr unsigned MaxCompleteFactor = 12;

static PeerRef refOf(const Member &Who) { return {Who.Host, Who.Inc}; }

Takeover::Takeover(PeerRef Self, Duration LongestLifetime)
    : Self(std::move(Self)), LongestLifetime(LongestLifetime) {}

void Takeover::prune(ServiceState &State, const EpochHistory &History) const {
  Offset First = History.entries().front().At;
  for (auto &[Who, Epochs] : State.Acks)
    Epochs.erase(Epochs.begin(), Epochs.lower_bound(First));
  std::erase_if(State.Acks,
                [](const auto &Entry) { return Entry.second.empty(); });
  State.Covered.erase(State.Covered.begin(), State.Covered.lower_bound(First));
}

void Takeover::epochChanged(TimePoint Now, const std::string &Service,
                            const EpochHistory &History, EffectList &Out) {
  ServiceState &State = Services[Service];
  const EpochEntry &Current = History.current();
  if (Current.At <= State.Epoch)
    return;
  State.Epoch = Current.At;
  State.Since = Current.AppliedAt;
  State.Truncated = History.entries().front().Truncated;
  State.Partial.clear();
  State.Targets.clear();
  prune(State, History);
  updateCovered(Now, State, History);
  if (!Current.lists(Self))
    return;

  for (const Member &Who : Current.Members)
    if (refOf(Who) != Self)
      State.Targets[refOf(Who)] = {Now, 0, true, true};
  for (const EpochEntry &Entry : History.entries()) {
    for (const Member &Who : Entry.Members) {
      // Another incarnation at the same host proves that this one has ended.
      bool Replaced =
          std::ranges::any_of(Current.Members, [&](const Member &Listed) {
            return Listed.Host == Who.Host;
          });
      if (!Replaced && Who.Host != Self.Host)
        State.Targets[refOf(Who)] = {Now, 0, false, true};
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
  ServiceState &State = Found->second;
  PartialAck &Partial = State.Partial[From];
  // Parts of two acknowledgements hold different divisions of the records and
  // are never counted together.
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
  auto Asked = State.Targets.find(From);
  if (Part.Epoch != State.Epoch || Asked == State.Targets.end())
    return;
  Asked->second.AnswerPending = false;
  if (Complete || !State.Truncated)
    State.Targets.erase(Asked);
}

std::optional<bool> Takeover::acked(const ServiceState &State,
                                    const EpochHistory &History,
                                    const PeerRef &Who, Offset After,
                                    const EpochTest &Usable) const {
  if (Who == Self)
    return State.Covered.contains(After);
  auto Found = State.Acks.find(Who);
  if (Found == State.Acks.end())
    return std::nullopt;
  std::optional<bool> Result;
  const AckedEpochs &Epochs = Found->second;
  for (auto It = Epochs.upper_bound(After); It != Epochs.end(); ++It) {
    const EpochEntry *Entry = History.find(It->first);
    if (!Entry || !Usable(*Entry))
      continue;
    // Complete speaks of the newest epoch before the acknowledged one that
    // lists the sender; for an older epoch it says nothing.
    bool Complete = It->second;
    for (const EpochEntry &Between : History.entries())
      if (Between.At > After && Between.At < It->first && Between.lists(Who))
        Complete = false;
    Result = Result.value_or(false) || Complete;
  }
  return Result;
}

bool Takeover::executorsAcked(const ServiceState &State,
                              const EpochHistory &History,
                              const EpochEntry &Entry, const std::string &Route,
                              const Member &Granter,
                              const EpochTest &Usable) const {
  for (const Member *Who : eligibleMembers(Entry, Route)) {
    if (mayExecute(Entry, Route, Granter.Host, Who->Host) &&
        !acked(State, History, refOf(*Who), Entry.At, Usable))
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
  const ServiceState &State = Found->second;
  // An acknowledgement of an epoch holds the records whose key this host
  // coordinates in that epoch, and says nothing about other keys.
  EpochTest Usable = [&](const EpochEntry &Entry) {
    const Member *Owner = coordinatorOf(Entry, Route, Key);
    return Owner && Owner->Host == Self.Host;
  };
  const auto &Entries = History.entries();
  for (std::size_t I = Entries.size() - 1; I-- > 0;) {
    if (Entries[I + 1].AppliedAt + Lifetime < Now)
      return true;
    const EpochEntry &Entry = Entries[I];
    const Member *Owner = coordinatorOf(Entry, Route, Key);
    if (!Owner)
      continue;
    std::optional<bool> Complete =
        acked(State, History, refOf(*Owner), Entry.At, Usable);
    if (Complete.value_or(false))
      return true;
    if (!Complete &&
        !executorsAcked(State, History, Entry, Route, *Owner, Usable))
      return false;
  }
  const EpochEntry &First = Entries.front();
  return !First.Truncated || First.AppliedAt + Lifetime < Now;
}

// Returns the routes of which a host may coordinate keys in an epoch.
static std::vector<std::string> routesOf(const EpochEntry &Entry,
                                         const HostId &Host) {
  std::vector<std::string> Routes;
  for (const auto &[Route, Regions] : Entry.RouteRegions) {
    bool Eligible = std::ranges::any_of(
        eligibleMembers(Entry, Route),
        [&](const Member *Who) { return Who->Host == Host; });
    if (Eligible)
      Routes.push_back(Route);
  }
  return Routes;
}

// Returns whether Inner's eligible members are among Outer's and Host is one of
// them, for each route. Then, by rendezvous hashing, Host coordinates in Inner
// every key that it coordinates in Outer.
static bool keepsKeys(const EpochEntry &Inner, const EpochEntry &Outer,
                      const std::vector<std::string> &Routes,
                      const HostId &Host) {
  for (const std::string &Route : Routes) {
    std::set<HostId> Before;
    for (const Member *Who : eligibleMembers(Outer, Route))
      Before.insert(Who->Host);
    bool Eligible = false;
    for (const Member *Who : eligibleMembers(Inner, Route)) {
      if (!Before.contains(Who->Host))
        return false;
      Eligible = Eligible || Who->Host == Host;
    }
    if (!Eligible)
      return false;
  }
  return true;
}

Takeover::Coverage
Takeover::epochCoverage(const ServiceState &State, const EpochHistory &History,
                        const EpochEntry &Entry,
                        const std::vector<std::string> &Routes,
                        const EpochTest &Usable) const {
  bool AllComplete = true;
  for (const std::string &Route : Routes) {
    std::vector<const Member *> Eligible = eligibleMembers(Entry, Route);
    // Without a coordinator in this epoch nobody speaks for earlier ones.
    AllComplete = AllComplete && !Eligible.empty();
    for (const Member *Who : Eligible) {
      std::optional<bool> Complete =
          acked(State, History, refOf(*Who), Entry.At, Usable);
      AllComplete = AllComplete && Complete.value_or(false);
      if (!Complete &&
          !executorsAcked(State, History, Entry, Route, *Who, Usable))
        return Coverage::None;
    }
  }
  return AllComplete ? Coverage::WithEarlier : Coverage::ThisEpoch;
}

bool Takeover::coversAllKeys(TimePoint Now, const ServiceState &State,
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

void Takeover::updateCovered(TimePoint Now, ServiceState &State,
                             const EpochHistory &History) const {
  // Oldest first: later epochs build on earlier ones.
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
    if (State.Since + LongestLifetime < Now)
      State.Targets.clear();
    for (auto &[Who, Asked] : State.Targets) {
      if (Asked.NextSend > Now)
        continue;
      Out.push_back(SendPeer{Who.Host, Fence{Service, State.Epoch}});
      Out.push_back(Count{Counter::Fences, 1});
      ++Asked.Sent;
      Duration Wait = ResendInterval;
      if (!Asked.Listed && Asked.Sent > FastTries)
        Wait = SlowInterval;
      if (!Asked.AnswerPending)
        Wait = CompleteInterval * std::min(Asked.Sent, MaxCompleteFactor);
      Asked.NextSend = Now + Wait;
    }
  }
}

TimePoint Takeover::nextWake() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Service, State] : Services)
    for (const auto &[Who, Asked] : State.Targets)
      Next = std::min(Next, Asked.NextSend);
  return Next;
}

} // namespace figsail
