// TopicPublisher.cpp - Streams of topic updates to the subscribers of a daemon.

#include "TopicPublisher.h"

#include "RecordSource.h"

#include <algorithm>
#include <utility>

namespace figsail {

using namespace std::chrono_literals;

/// A subscription that is not renewed expires after this time.
static constexpr Duration SubscriptionLifetime = 2s;
/// Updates above this size are sent compressed, in pieces of this size. A call
/// waits 13 ms for a piece on a link of 10 Mbit/s.
static constexpr std::size_t PieceBytes = std::size_t{16} * 1024;
/// Packed updates that are kept for other subscribers.
static constexpr std::size_t MaxRecentPacks = 4;

std::vector<Offset> TopicPublisher::subscribe(TimePoint Now,
                                              const PeerRef &From,
                                              const TopicSubscribe &Request,
                                              StoreHistory History) {
  Subscriber &State = Subscribers[From.Host];
  bool Continues = Request.Stream != 0 && Request.Stream == State.Stream &&
                   From.Inc == State.Inc && History == State.History;
  State.RequestedAt = Now;
  if (Continues)
    return State.SentUpTo;
  State.Inc = From.Inc;
  State.History = History;
  State.Stream = Request.Stream;
  State.Number = ++Starts << 32;
  State.Base = Request.Base;
  State.SentUpTo.clear();
  // Offsets of another history do not show what the subscriber has read.
  return Request.History == History ? Request.From : std::vector<Offset>();
}

std::vector<HostId> TopicPublisher::subscribers(TimePoint Now) {
  std::erase_if(Subscribers, [&](const auto &Entry) {
    return Entry.second.RequestedAt + SubscriptionLifetime < Now;
  });
  std::vector<HostId> Hosts;
  for (const auto &[Host, State] : Subscribers)
    Hosts.push_back(Host);
  return Hosts;
}

static void raise(std::vector<Offset> &SentUpTo, std::size_t Topic,
                  Offset UpTo) {
  if (SentUpTo.size() <= Topic)
    SentUpTo.resize(Topic + 1, 0);
  SentUpTo[Topic] = std::max(SentUpTo[Topic], UpTo);
}

void TopicPublisher::reply(const HostId &To, TopicUpdate Update,
                           const ValueBases &Bases, SidecarEffects &Out) {
  auto Found = Subscribers.find(To);
  if (Found != Subscribers.end())
    for (std::size_t I = 0; I < Update.Parts.size(); ++I)
      raise(Found->second.SentUpTo, I, Update.Parts[I].Next);
  send(To, std::move(Update), Bases, Out);
}

void TopicPublisher::push(const HostId &To, TopicUpdate Update,
                          const std::vector<Offset> &UpTo,
                          const ValueBases &Bases, SidecarEffects &Out) {
  auto Found = Subscribers.find(To);
  if (Found != Subscribers.end())
    for (std::size_t I = 0; I < UpTo.size(); ++I)
      raise(Found->second.SentUpTo, I, UpTo[I]);
  send(To, std::move(Update), Bases, Out);
}

/// Returns the digest of the newest large value in the update; 0: none.
static std::uint64_t largeValue(const TopicUpdate &Update) {
  ValueBases Large;
  for (const TopicContents &Part : Update.Parts)
    for (const KeyedRecord &Record : Part.Records)
      if (Record.Value)
        Large.add(*Record.Value);
  return Large.newest();
}

static std::size_t valueBytes(const TopicUpdate &Update) {
  std::size_t Bytes = 0;
  for (const TopicContents &Part : Update.Parts)
    for (const KeyedRecord &Record : Part.Records)
      Bytes += Record.Key.size() + (Record.Value ? Record.Value->size() : 0);
  return Bytes;
}

void TopicPublisher::send(const HostId &To, TopicUpdate Update,
                          const ValueBases &Bases, SidecarEffects &Out) {
  RecordVolume Volume = volumeOf(Update);
  if (Volume != RecordVolume{})
    Out.emplace_back(CountTopicRecords{TopicFlow::Sent, Volume});
  auto Found = Subscribers.find(To);
  bool Streams = Found != Subscribers.end() && Found->second.Stream != 0;
  if (!Streams) {
    Out.emplace_back(SendPeer{To, std::move(Update)});
    return;
  }
  Subscriber &State = Found->second;
  ++State.Number;
  if (valueBytes(Update) <= PieceBytes) {
    Update.Stream = State.Stream;
    Update.Number = State.Number;
    Out.emplace_back(SendPeer{To, std::move(Update)});
    return;
  }
  const PackedUpdate &Packed = pack(Update, State.Base, Bases);
  if (std::uint64_t Sent = largeValue(Update))
    State.Base = Sent;
  std::size_t Count = (Packed.Bytes.size() + PieceBytes - 1) / PieceBytes;
  for (std::size_t I = 0; I < Count; ++I) {
    TopicPiece Piece;
    Piece.Stream = State.Stream;
    Piece.Number = State.Number;
    Piece.Index = static_cast<std::uint32_t>(I);
    Piece.Count = static_cast<std::uint32_t>(Count);
    Piece.Base = Packed.Base;
    Piece.Digest = Packed.Digest;
    Piece.Size = Packed.Size;
    Piece.NewestConfig = Update.NewestConfig;
    Piece.Bytes = Packed.Bytes.substr(I * PieceBytes, PieceBytes);
    Out.emplace_back(SendPeer{To, std::move(Piece)});
  }
}

const PackedUpdate &TopicPublisher::pack(const TopicUpdate &Update,
                                         std::uint64_t Base,
                                         const ValueBases &Bases) {
  std::shared_ptr<const std::string> BaseValue = Bases.find(Base);
  std::uint64_t Used = BaseValue ? Base : 0;
  std::string Encoded = encodeUpdate(Update);
  std::uint64_t Digest = valueDigest(Encoded);
  for (const PackedUpdate &Known : Recent)
    if (Known.Base == Used && Known.Digest == Digest)
      return Known;
  if (Recent.size() >= MaxRecentPacks)
    Recent.erase(Recent.begin());
  Recent.push_back(packUpdate(Encoded, Used, BaseValue.get()));
  return Recent.back();
}

} // namespace figsail
