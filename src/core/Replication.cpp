// Replication.cpp - Distribution of the log's records between the daemons.

#include "Replication.h"

#include <algorithm>
#include <utility>

namespace figsail {

using namespace std::chrono_literals;

/// Largest number of children of a daemon. With 400 hosts in a failure domain
/// the tree is 5 levels deep.
static constexpr std::size_t FanOut = 4;
/// Number of daemons of a failure domain that read the log. With two, the loss
/// of one does not cut the failure domain off.
static constexpr std::size_t ReadersPerDomain = 2;
/// Time for which the log may delay the response to a read when it has no new
/// records.
static constexpr Duration LogReadWait = 5s;
static constexpr Duration InitialBackoff = 200ms;
static constexpr Duration MaxBackoff = 2s;
/// Interval at which children subscribe again; a parent replies to each
/// subscription, which shows that it is alive.
static constexpr Duration RenewalInterval = 1s;
/// Silence after which the next source replaces a parent. Together with
/// RenewalInterval it keeps the delay of a change under 5 s when a parent
/// fails.
static constexpr Duration SourceTimeout = 2500ms;
/// Time on a fallback source after which the best source is tried again.
static constexpr Duration FallbackDuration = 30s;
static constexpr Duration ChildTimeout = 10s;
/// Renewals in a row without progress from which on a child gets the records
/// again. Until then they may still be under way.
static constexpr unsigned MaxStalledRenewals = 2;
/// The same for a snapshot. It doubles with each repeat, so that repeats do not
/// fill the link that delays them.
static constexpr unsigned MaxStalledSnapshotRenewals = 4;
static constexpr unsigned LongestStall = 64;
/// Snapshots and records are sent in messages of about this size. A call waits
/// 13 ms for one on a link of 10 Mbit/s.
static constexpr std::size_t PieceBytes = 16UL * 1024;
/// Bounds of the tail kept for children. A child that needs older records gets
/// a snapshot.
static constexpr std::size_t MaxTailRecords = 4096;
static constexpr std::size_t MaxTailBytes = 4UL * 1024 * 1024;
/// Size of the text in one part of a snapshot. It keeps each record well under
/// the largest record of the log.
static constexpr std::size_t SnapshotPartBytes = 256UL * 1024;
/// Additional time that a reader waits before it writes a snapshot, for each
/// reader ranked before it.
static constexpr Duration SnapshotStagger = 10s;

Replication::Replication(const NodeSettings &Settings, ReplicatedState &State)
    : Self(Settings.Self.Host), FailureDomain(Settings.Self.FailureDomain),
      Seeds(Settings.Seeds), Retention(Settings.LogRetention), State(State) {}

void Replication::start(TimePoint Now, EffectList &Out) {
  LastSnapshotSeen = Now;
  NextChildCheck = Now + RenewalInterval;
  requestRecords(Now, Out);
}

/// Sorts the daemons of this failure domain by the hash of their host and
/// determines the ancestors of this daemon in the tree.
void Replication::updateTreePosition() {
  PositionStale = false;
  std::vector<std::pair<std::uint64_t, HostId>> Order;
  std::map<std::string, std::pair<std::uint64_t, HostId>> FirstReaders;
  for (const auto &[Host, Daemon] : State.members()) {
    std::pair<std::uint64_t, HostId> Rank{hashText(Host), Host};
    if (Daemon.FailureDomain == FailureDomain)
      Order.push_back(Rank);
    auto [First, New] = FirstReaders.try_emplace(Daemon.FailureDomain, Rank);
    if (!New && Rank < First->second)
      First->second = Rank;
  }
  std::ranges::sort(Order);
  ReaderRank = 0;
  for (const auto &[Domain, Rank] : FirstReaders) {
    if (Domain >= FailureDomain)
      break;
    ++ReaderRank;
  }
  auto Own =
      std::ranges::find(Order, Self, &std::pair<std::uint64_t, HostId>::second);
  std::vector<HostId> Found;
  IsReader = false;
  if (Own == Order.end()) {
    for (const HostId &Seed : Seeds)
      if (Seed != Self)
        Found.push_back(Seed);
  } else {
    auto Index = static_cast<std::size_t>(Own - Order.begin());
    IsReader = Index < ReadersPerDomain;
    // The second reader of a failure domain writes a snapshot only when the
    // first has not written one.
    ReaderRank = ReaderRank * ReadersPerDomain + Index;
    while (Index >= ReadersPerDomain) {
      Index = (Index - ReadersPerDomain) / FanOut;
      Found.push_back(Order[Index].second);
    }
  }
  if (Found == Sources)
    return;
  Sources = std::move(Found);
  SourceIndex = 0;
  NextRenewal = TimePoint{};
}

/// Requests the next records from the present source.
void Replication::requestRecords(TimePoint Now, EffectList &Out) {
  if (PositionStale)
    updateTreePosition();
  if (SourceIndex > 0 && Now - SourceChosenAt > FallbackDuration &&
      !Sources.empty()) {
    SourceIndex = 0;
    SourceChosenAt = LastSourceMessage = Now;
  }
  if (SourceIndex >= Sources.size()) {
    if (ReadInFlight)
      return;
    ReadInFlight = true;
    // The first read of an empty log must end at once, because the daemon joins
    // only after it has caught up. Later reads wait, also when nothing can be
    // applied.
    Duration Wait = LogWasRead ? LogReadWait : Duration(0);
    Out.push_back(ReadLog{State.nextOffset(), Wait});
    return;
  }
  if (SourceChosenAt == TimePoint{})
    SourceChosenAt = LastSourceMessage = Now;
  Out.push_back(
      SendPeer{Sources[SourceIndex],
               Subscribe{State.appliedOffset() + 1, Arriving.pieces()}});
  NextRenewal = Now + RenewalInterval;
}

void Replication::switchToNextSource(TimePoint Now, EffectList &Out) {
  if (SourceIndex < Sources.size())
    ++SourceIndex;
  SourceSentRecords = false;
  SourceChosenAt = LastSourceMessage = Now;
  requestRecords(Now, Out);
}

void Replication::addToTail(const LogRecord &Record) {
  // Children cannot apply records after a gap.
  if (!Tail.empty() && Tail.back().At + 1 != Record.At) {
    Tail.clear();
    TailBytes = 0;
  }
  Tail.push_back(Record);
  TailBytes += Record.Data.size();
  while (Tail.size() > MaxTailRecords || TailBytes > MaxTailBytes) {
    TailBytes -= Tail.front().Data.size();
    Tail.pop_front();
  }
}

void Replication::apply(TimePoint Now, const std::vector<LogRecord> &Batch,
                        const OnApplied &Applied, EffectList &Out) {
  bool Any = false;
  for (const LogRecord &Record : Batch) {
    if (Record.At <= State.appliedOffset())
      continue;
    ApplyResult Result = State.applyRecord(Now, Record);
    Any = true;
    if (State.appliedOffset() == Record.At)
      addToTail(Record);
    auto Decoded = decodeRecord(Record.Data);
    if (const auto *Body = std::get_if<RecordBody>(&Decoded)) {
      if (std::holds_alternative<SnapshotRecord>(*Body))
        LastSnapshotSeen = Now;
    }
    Applied(Record, Result);
  }
  if (!Any)
    return;
  for (auto &[Host, Receiver] : Children)
    sendRecords(Receiver, false, Out);
}

void Replication::logRead(TimePoint Now, const LogRead &Read,
                          const OnApplied &Applied, EffectList &Out) {
  ReadInFlight = false;
  LogWasRead = true;
  FailedReads = 0;
  if (!LogReachable)
    Out.push_back(
        Trace{TraceKind::LogRecovered, std::to_string(Read.Next), {}});
  LogReachable = true;
  LastSourceMessage = Now;
  apply(Now, Read.Batch, Applied, Out);
  CaughtUp |= State.appliedOffset() + 1 >= Read.Next;
  requestRecords(Now, Out);
}

void Replication::logReadFailed(TimePoint Now, EffectList &Out) {
  ReadInFlight = false;
  if (LogReachable)
    Out.push_back(Trace{TraceKind::LogLost, {}, {}});
  LogReachable = false;
  Duration Backoff = InitialBackoff * (1 << std::min(FailedReads, 4U));
  ++FailedReads;
  NextRenewal = Now + std::min(Backoff, MaxBackoff);
  // Peers may reach the log when this daemon cannot, or have newer records.
  if (!Sources.empty() && SourceIndex >= Sources.size()) {
    SourceIndex = 0;
    SourceChosenAt = LastSourceMessage = Now;
  }
}

/// Sends the whole state in pieces.
void Replication::sendSnapshot(Child &Receiver, EffectList &Out) {
  std::string Text = State.snapshot();
  Offset At = State.appliedOffset();
  auto Count =
      static_cast<std::uint32_t>((Text.size() + PieceBytes - 1) / PieceBytes);
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Out.push_back(
        SendPeer{Receiver.Peer.Host,
                 Snapshot{At, Text.substr(Index * PieceBytes, PieceBytes),
                          Index, Count}});
  Receiver.Next = At + 1;
  Receiver.MaxStalled = std::clamp(2 * Receiver.MaxStalled,
                                   MaxStalledSnapshotRenewals, LongestStall);
}

/// Sends what the child has not been sent yet. Always: sends a message even if
/// that is nothing, to show that the link is alive.
void Replication::sendRecords(Child &Receiver, bool Always, EffectList &Out) {
  bool TailCovers = !Tail.empty() && Tail.front().At <= Receiver.Next &&
                    Receiver.Next <= Tail.back().At;
  bool Behind = Receiver.Next <= State.appliedOffset();
  if (Behind && !TailCovers)
    return sendSnapshot(Receiver, Out);
  if (!Behind) {
    if (Always)
      Out.push_back(SendPeer{Receiver.Peer.Host, Records{}});
    return;
  }
  Records Message;
  std::size_t Bytes = 0;
  auto Send = [&] {
    Out.push_back(Count{Counter::RecordsForwarded, Message.Batch.size()});
    Out.push_back(SendPeer{Receiver.Peer.Host, std::exchange(Message, {})});
    Bytes = 0;
  };
  // The tail has no gaps, so that a change costs no walk over all of it.
  for (auto It = Tail.begin() + (Receiver.Next - Tail.front().At);
       It != Tail.end(); ++It) {
    if (!Message.Batch.empty() && Bytes + It->Data.size() > PieceBytes)
      Send();
    Message.Batch.push_back(*It);
    Bytes += It->Data.size();
  }
  Receiver.Next = Tail.back().At + 1;
  Send();
}

void Replication::subscribe(TimePoint Now, const PeerRef &From,
                            const Subscribe &Message, EffectList &Out) {
  // Without a reply the child changes to another source. A daemon that has not
  // caught up would only keep the child from a better one.
  if (!CaughtUp)
    return;
  auto [Found, New] = Children.try_emplace(From.Host);
  Child &Receiver = Found->second;
  bool Restarted = Receiver.Peer != From;
  Receiver.Peer = From;
  Receiver.LastSubscription = Now;
  bool Waits = Message.From < Receiver.Next;
  bool Progress = Message.From != Receiver.Last.From ||
                  Message.Pieces != Receiver.Last.Pieces;
  if (New || Restarted || Message.From != Receiver.Last.From)
    Receiver.MaxStalled = MaxStalledRenewals;
  Receiver.Last = Message;
  Receiver.Stalled = Waits && !Progress ? Receiver.Stalled + 1 : 0;
  if (New || Restarted || Receiver.Stalled >= Receiver.MaxStalled) {
    Receiver.Next = Message.From;
    Receiver.Stalled = 0;
  }
  Receiver.Next = std::max(Receiver.Next, Message.From);
  sendRecords(Receiver, true, Out);
}

void Replication::records(TimePoint Now, const PeerRef &From,
                          const Records &Message, const OnApplied &Applied,
                          EffectList &Out) {
  if (SourceIndex < Sources.size() && Sources[SourceIndex] == From.Host) {
    LastSourceMessage = Now;
    SourceSentRecords = true;
  }
  bool Gap = !Message.Batch.empty() &&
             Message.Batch.front().At > State.appliedOffset() + 1;
  if (Gap)
    return requestRecords(Now, Out);
  apply(Now, Message.Batch, Applied, Out);
  CaughtUp = true;
  if (PositionStale)
    requestRecords(Now, Out);
}

bool Replication::snapshot(TimePoint Now, const PeerRef &From,
                           const Snapshot &Piece, EffectList &Out) {
  if (SourceIndex < Sources.size() && Sources[SourceIndex] == From.Host)
    LastSourceMessage = Now;
  if (Piece.At <= State.appliedOffset())
    return false;
  std::optional<std::string> Text = Arriving.add(From, Piece);
  if (!Text || State.restore(Now, Piece.At, *Text))
    return false;
  Tail.clear();
  TailBytes = 0;
  CaughtUp = true;
  PositionStale = true;
  requestRecords(Now, Out);
  return true;
}

void Replication::peerLost(TimePoint Now, const HostId &Host, EffectList &Out) {
  Children.erase(Host);
  Arriving.linkLost(Host);
  if (SourceIndex < Sources.size() && Sources[SourceIndex] == Host)
    switchToNextSource(Now, Out);
}

void Replication::timer(TimePoint Now, EffectList &Out) {
  bool OnPeer = SourceIndex < Sources.size();
  if (OnPeer && Now - LastSourceMessage > SourceTimeout)
    switchToNextSource(Now, Out);
  else if (Now >= NextRenewal)
    requestRecords(Now, Out);
  if (Now < NextChildCheck)
    return;
  NextChildCheck = Now + RenewalInterval;
  std::erase_if(Children, [Now](const auto &Entry) {
    return Now - Entry.second.LastSubscription > ChildTimeout;
  });
}

TimePoint Replication::nextWake() const {
  bool Waiting = SourceIndex >= Sources.size() && ReadInFlight;
  return Waiting ? NextChildCheck : std::min(NextChildCheck, NextRenewal);
}

std::vector<SnapshotRecord> Replication::dueSnapshot(TimePoint Now,
                                                     std::uint64_t Nonce) {
  std::vector<SnapshotRecord> Due;
  Duration Wait = Retention / 4 + SnapshotStagger * ReaderRank;
  if (!IsReader || !LogReachable || Now - LastSnapshotSeen < Wait ||
      State.appliedOffset() == NoOffset)
    return Due;
  LastSnapshotSeen = Now;
  std::string Text = State.snapshot();
  std::string Id = Self + "-" + std::to_string(Nonce);
  auto Parts = static_cast<std::uint32_t>(
      (Text.size() + SnapshotPartBytes - 1) / SnapshotPartBytes);
  for (std::uint32_t Part = 0; Part < Parts; ++Part)
    Due.push_back({Id, State.appliedOffset(), Part, Parts,
                   Text.substr(Part * SnapshotPartBytes, SnapshotPartBytes)});
  return Due;
}

} // namespace figsail
