// SidecarTopics.cpp - Reading of the store's topics, and sharing of their
// records among daemons.

#include "Sidecar.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace figsail {

/// Up to this number of hosts, links are opened to all of them. Beyond it, only
/// to hosts of services that this daemon's clients use: a host has some
/// thousand descriptors, and each link costs both sides memory.
static constexpr std::size_t MaxEagerHosts = 128;

// Reads of the store.

/// Enters a new history of the store. Every answer of the store names its
/// history.
///
/// Load pattern: the store fails for a moment and is restored from a copy some
/// seconds old. Offsets that were read then denote other records, and this
/// daemon's announcement may be lost. The first daemon that sees the new
/// history reports it to the others.
void Sidecar::enterHistory(Step &S, StoreHistory AnswerHistory) {
  bool First =
      History == 0 && std::ranges::all_of(Topics, [](const auto &State) {
        return State.Image.next() == 0;
      });
  StoreHistory Before = std::exchange(History, AnswerHistory);
  if (First)
    return;
  Decision Line{LogLevel::Warning, "store-history-changed", {}};
  Line.Fields = {{"before", std::to_string(Before)},
                 {"now", std::to_string(AnswerHistory)}};
  S.Out.emplace_back(std::move(Line));
  S.Out.emplace_back(Count{Counter::StoreHistories});
  for (TopicState &State : Topics) {
    State.Image.restart();
    State.Follower.restart(S.Now);
  }
  Receiver.keepOnly({});
  Backlog.restart();
  Gate.blockedRequests().storeRestored(S.Now);
  announce(S);
}

/// Returns whether an answer comes from a history that has ended. Enters the
/// answer's history if it is newer.
bool Sidecar::isFromEndedHistory(Step &S, StoreHistory AnswerHistory) {
  if (AnswerHistory > History)
    enterHistory(S, AnswerHistory);
  return AnswerHistory != 0 && AnswerHistory < History;
}

void Sidecar::on(Step &S, TopicSnapshot &Body) {
  TopicState &State = topicState(Body.Which);
  State.Follower.answered(S.Now, Body.Hedged, S.Out);
  if (isFromEndedHistory(S, Body.History)) {
    State.Follower.restart(S.Now);
    State.Follower.discardStaleRead(S.Now, S.Out);
    return;
  }
  RecordSource Source{{}, volumeOf(Body.Records)};
  applyRecords(S, Body.Which, Source,
               State.Image.applySnapshot({Body.Next, std::move(Body.Records)}));
  State.Follower.readDone(S.Now, State.Image.next(), false, S.Out);
}

void Sidecar::on(Step &S, TopicRecords &Body) {
  TopicState &State = topicState(Body.Which);
  State.Follower.answered(S.Now, Body.Hedged, S.Out);
  isFromEndedHistory(S, Body.History);
  if (State.Follower.discardStaleRead(S.Now, S.Out))
    return;
  bool AnyRecords = !Body.Records.empty();
  RecordSource Source{{}, volumeOf(Body.Records)};
  applyRecords(S, Body.Which, Source,
               State.Image.apply({Body.Next, std::move(Body.Records)}));
  // In a replay, a snapshot would begin the replay again.
  if (Body.End > State.Image.next() && !State.Image.isReplaying())
    return State.Follower.pageDone(S.Now, State.Image.next(), S.Out);
  State.Follower.readDone(S.Now, State.Image.next(), AnyRecords, S.Out);
}

void Sidecar::on(Step &S, TopicTruncated &Body) {
  TopicState &State = topicState(Body.Which);
  State.Follower.answered(S.Now, Body.Hedged, S.Out);
  isFromEndedHistory(S, Body.History);
  if (State.Follower.discardStaleRead(S.Now, S.Out))
    return;
  if (!State.Image.isReplaying())
    return State.Follower.readTruncated(S.Now, S.Out);
  applyRecords(S, Body.Which, RecordSource{}, State.Image.skipTo(Body.First));
  State.Follower.readDone(S.Now, State.Image.next(), false, S.Out);
}

void Sidecar::on(Step &S, TopicReadFailed &Body) {
  isFromEndedHistory(S, Body.History);
  // Such a read costs the links as much as one that succeeds.
  if (Body.Bytes > 0)
    S.Out.emplace_back(
        CountTopicRecords{TopicFlow::Abandoned, {1, Body.Bytes}});
  topicState(Body.Which).Follower.readFailed(S.Now, S.Seed, Body, S.Out);
}

/// Adapts the timeout of the next calls to the time that answers take.
void Sidecar::updateStoreTimeout(Step &S) {
  Duration Longest{0};
  for (const TopicState &State : Topics)
    Longest = std::max(Longest, State.Follower.answerTime(S.Now));
  Duration Next = storeTimeout(Longest);
  if (std::exchange(StoreTimeout, Next) == Next)
    return;
  S.Out.emplace_back(SetStoreTimeout{Next});
}

/// Counts the records that were received and those of them that changed
/// nothing. Records are those that the image has applied.
static void countRecords(const RecordSource &Source,
                         const std::vector<KeyedRecord> &Records,
                         SidecarEffects &Out) {
  const RecordVolume &Received = Source.Received;
  if (Received == RecordVolume{})
    return;
  Out.emplace_back(CountTopicRecords{Source.flow(), Received});
  RecordVolume Applied = volumeOf(Records);
  RecordVolume Repeated{Received.Records - Applied.Records,
                        Received.Bytes - Applied.Bytes};
  if (Repeated != RecordVolume{})
    Out.emplace_back(CountTopicRecords{Source.repeatedFlow(), Repeated});
}

void Sidecar::applyRecords(Step &S, Topic Which, const RecordSource &Source,
                           const std::vector<KeyedRecord> &Records) {
  countRecords(Source, Records, S.Out);
  std::ranges::copy(
      Records, std::back_inserter(NewRecords[static_cast<std::size_t>(Which)]));
  for (const KeyedRecord &Record : Records) {
    if (Record.Value)
      Bases.add(*Record.Value);
    TopicContent Content = Decoder.decode(Which, Record);
    std::size_t Bytes = Record.Value ? Record.Value->size() : 0;
    RecordOrigin Origin{Record.At, Bytes, Source.name()};
    std::visit([&](auto &Body) { applyRecord(S, Origin, Body); }, Content);
  }
}

std::vector<Offset> Sidecar::readUpTo() const {
  std::vector<Offset> Offsets;
  for (const TopicState &State : Topics)
    Offsets.push_back(State.Image.next());
  return Offsets;
}

TopicSubscribe Sidecar::subscription(const HostId &Source,
                                     std::uint64_t StreamSeed) {
  TopicSubscribe Request;
  Request.From = readUpTo();
  Request.History = History;
  Request.Stream = Receiver.stream(Source, StreamSeed);
  Request.Base = Bases.newest();
  return Request;
}

bool Sidecar::topicsComplete() const {
  return std::ranges::all_of(Topics, [](const TopicState &State) {
    return State.Follower.complete();
  });
}

// Sharing of reads.

TopicUpdate Sidecar::emptyUpdate(TimePoint Now) const {
  TopicUpdate Update;
  Update.History = History;
  Update.Complete = topicsComplete();
  bool Reads = std::ranges::all_of(
      Topics, [](const TopicState &State) { return State.Follower.live(); });
  Update.StoreFailing = isStoreFailing();
  Update.Live = Update.Complete && !Update.StoreFailing &&
                (Reads || Relay.hasLiveSource(Now));
  bool Heard = std::ranges::all_of(Topics, [](const TopicState &State) {
    return State.Follower.confirmed();
  });
  Update.Confirmed =
      Update.Complete && (Heard || Relay.hasConfirmedSource(Now));
  Update.NewestConfig = std::max(ownConfigOffset(), Backlog.newest(Now));
  return Update;
}

/// Returns whether this daemon reads the store for others, in vain.
bool Sidecar::isStoreFailing() const {
  return Relay.isReader() && isAnyReadFailing();
}

bool Sidecar::isAnyReadFailing() const {
  return std::ranges::any_of(
      Topics, [](const TopicState &State) { return State.Follower.failing(); });
}

/// Tells the subscribers at once that this daemon reads the store in vain, or
/// no longer does.
void Sidecar::reportStoreFailing(Step &S) {
  bool Before = std::exchange(StoreFailingTold, isStoreFailing());
  if (Before == StoreFailingTold)
    return;
  for (const HostId &Host : Publisher.subscribers(S.Now))
    Publisher.push(Host, emptyUpdate(S.Now), {}, Bases, S.Out);
}

TopicUpdate Sidecar::updateSince(TimePoint Now,
                                 const std::vector<Offset> &From) const {
  TopicUpdate Update = emptyUpdate(Now);
  for (std::size_t I = 0; I < TopicCount; ++I)
    Update.Parts.push_back(
        Topics[I].Image.since(I < From.size() ? From[I] : 0));
  return Update;
}

Offset Sidecar::ownConfigOffset() const {
  return Topics[static_cast<std::size_t>(Topic::Operator)].Image.next();
}

/// Returns whether a newer configuration may exist: one was named, or this
/// daemon does not know at present what the store has.
bool Sidecar::isConfigBehind(TimePoint Now) const {
  return Backlog.isAhead(Now, ownConfigOffset()) || !emptyUpdate(Now).Confirmed;
}

void Sidecar::linkLost(const HostId &Host) {
  Publisher.linkLost(Host);
  Receiver.linkLost(Host);
}

/// A link that this daemon resets is not reported as lost.
void Sidecar::forgetResetLinks(const SidecarEffects &Out) {
  for (const SidecarEffect &Effect : Out)
    if (const auto *Reset = std::get_if<ResetPeer>(&Effect))
      linkLost(Reset->Host);
}

void Sidecar::handleSubscribe(Step &S, const PeerRef &From,
                              const TopicSubscribe &Message) {
  isFromEndedHistory(S, Message.History);
  auto Operator = static_cast<std::size_t>(Topic::Operator);
  if (Message.History == History && Message.From.size() > Operator)
    Backlog.name(S.Now, Message.From[Operator]);
  std::vector<Offset> SentUpTo =
      Publisher.subscribe(S.Now, From, Message, History);
  Publisher.reply(From.Host, updateSince(S.Now, SentUpTo), Bases, S.Out);
}

void Sidecar::handlePiece(Step &S, const PeerRef &From,
                          const TopicPiece &Message) {
  if (Receiver.expects(From.Host, Message)) {
    Relay.pieceReceived(S.Now, From.Host);
    Backlog.name(S.Now, Message.NewestConfig);
  }
  if (auto Update = Receiver.receive(From.Host, Message, Bases, S.Out))
    handleUpdate(S, From, *Update);
}

/// Another daemon has sent the whole topic up to an offset.
///
/// Load pattern: the source of many daemons falls silent, and all of them turn
/// to the store. Snapshots would take as many copies of the configuration over
/// one link between regions.
void Sidecar::markReceived(TopicState &State, Offset UpTo) {
  State.Follower.markComplete();
  if (UpTo > 0 && !State.Image.awaitsSnapshot() && !State.Image.isReplaying())
    State.Follower.skipSnapshot();
}

void Sidecar::handleUpdate(Step &S, const PeerRef &From, TopicUpdate &Message) {
  // The records of a source that has not entered the new history are stale.
  if (isFromEndedHistory(S, Message.History))
    return;
  Relay.updateReceived(S.Now, From.Host, Message);
  bool InOrder = Receiver.inOrder(From.Host, Message);
  std::size_t Count = std::min(Message.Parts.size(), TopicCount);
  for (std::size_t I = 0; I < Count; ++I) {
    TopicContents &Part = Message.Parts[I];
    // After a lost update, only a reply to the next subscription covers all
    // records up to an offset.
    if (!InOrder)
      Part.Next = 0;
    for (const KeyedRecord &Record : Part.Records)
      if (Record.Value)
        Bases.add(*Record.Value);
    if (Message.Complete && InOrder)
      markReceived(Topics[I], Part.Next);
    RecordSource Source{From.Host, volumeOf(Part.Records)};
    applyRecords(S, static_cast<Topic>(I), Source,
                 Topics[I].Image.apply(std::move(Part)));
  }
  Backlog.name(S.Now, Message.NewestConfig);
}

/// Forwards new records to the subscribers, whether they came from the store or
/// from another daemon. These updates carry no offset to read on from: the next
/// reply in the subscriber's stream carries it.
void Sidecar::notifySubscribers(Step &S) {
  auto Applied = std::exchange(NewRecords, {});
  if (std::ranges::all_of(Applied,
                          [](const auto &Part) { return Part.empty(); }))
    return;
  TopicUpdate Update = emptyUpdate(S.Now);
  Update.Complete = false; // Not whole topics, which a starting daemon needs.
  for (std::vector<KeyedRecord> &Part : Applied)
    Update.Parts.push_back({0, std::move(Part)});
  for (const HostId &Host : Publisher.subscribers(S.Now))
    Publisher.push(Host, Update, readUpTo(), Bases, S.Out);
}

void Sidecar::followTopics(Step &S) {
  bool HostsKnown = topicState(Topic::Members).Follower.complete();
  if (HostsKnown)
    Relay.timer(
        S.Now, Directory, Peers, isAnyReadFailing(),
        [&](const HostId &Source) {
          Receiver.keepOnly(Source);
          return subscription(Source, S.Seed);
        },
        S.Out);
  bool Reads = !HostsKnown || Relay.readsStore(S.Now);
  if (HostsKnown && Reads)
    if (auto Expired = Expiry.timer(S.Now, Settings.Host, Directory, S.Out))
      HostToDrop = Expired;
  for (TopicState &State : Topics) {
    State.Follower.setActive(S.Now, Reads);
    State.Follower.timer(S.Now, State.Image.next(), S.Out);
  }
}

void Sidecar::applyRecord(Step &S, const RecordOrigin &Origin,
                          UnusableRecord &Body) {
  Decision Line{LogLevel::Warning, "record-unusable", {}};
  Line.Fields = {{"key", Body.Key},
                 {"offset", std::to_string(Origin.At)},
                 {"reason", Body.Reason}};
  S.Out.emplace_back(std::move(Line));
  S.Out.emplace_back(Count{Counter::RecordsUnusable});
  // A daemon that starts must find this host in the store.
  if (Body.Key == Settings.Host)
    announce(S);
}

/// Applies a configuration unless a newer version is in force. Offsets do not
/// decide, since they decrease when the store is restored from an older copy.
void Sidecar::applyRecord(Step &S, const RecordOrigin &Origin,
                          ConfigPtr &Body) {
  bool Newer = !Config || Body->Version > Config->Version;
  Decision Line{Newer ? LogLevel::Info : LogLevel::Warning,
                Newer ? "config-in-force" : "config-ignored",
                {}};
  Line.Fields = {
      {"version", std::to_string(Body->Version)},
      {"offset", std::to_string(Origin.At)},
      {"routes", std::to_string(Body->routeCount())},
      {"bytes", std::to_string(Origin.ValueBytes)},
      {"from", Origin.From},
      {"previous", Config ? std::to_string(Config->Version) : "none"}};
  if (Body->hasWorkspaces())
    Line.Fields.emplace_back("workspaces",
                             std::to_string(Body->workspaceCount()));
  S.Out.emplace_back(std::move(Line));
  if (!Newer)
    return;
  Config = Body;
  ConfigBytes = Origin.ValueBytes;
  configureGate();
  S.Out.emplace_back(SetClientLimits{Config->Limits});
}

void Sidecar::applyRecord(Step &S, const RecordOrigin &Origin,
                          Evacuation &Body) {
  Decision Line{LogLevel::Info, "evacuation", {}};
  Line.Fields = {{"domain", Body.FailureDomain},
                 {"offset", std::to_string(Origin.At)},
                 {"out", Body.Active ? "yes" : "no"}};
  S.Out.emplace_back(std::move(Line));
  if (Body.Active)
    Evacuated.insert(Body.FailureDomain);
  else
    Evacuated.erase(Body.FailureDomain);
  applyEvacuation(S);
}

void Sidecar::applyEvacuation(Step &S) {
  GateStep Step{S.Now, S.Out};
  Gate.evacuate(Step, Evacuated.contains(Settings.FailureDomain));
}

/// A predecessor of this daemon knew that its server has left. Reports of that
/// server may still arrive, seconds late.
void Sidecar::rememberLeftServer(Step &S, const Announcement &Own) {
  GateStep AtGate{S.Now, S.Out};
  Gate.rememberLeft(AtGate, Own.incarnation());
}

void Sidecar::applyRecord(Step &S, const RecordOrigin &, Announcement &Body) {
  if (Body.Host == Settings.Host) {
    // The store's newest record of this host must be this daemon's own. An
    // append of the previous incarnation may take effect late.
    bool OwnInc = Body.Order.Inc == Settings.Inc;
    if (OwnInc && Body.Order.Generation <= Order.Generation &&
        Body.Order.Counter <= Order.Counter)
      return;
    if (Body.Order.Generation >= Order.Generation)
      Order.Generation = std::min(Body.Order.Generation + 1, MaxGeneration);
    // This incarnation has not written a higher number itself.
    if (OwnInc)
      return announce(S);
    bool Served = Body.State == InstanceState::Ready ||
                  Body.State == InstanceState::Paused;
    if (Served && Body.Service == Settings.Service)
      Gate.expectServer(S.Now, {Body.Instance, Body.StartMillis, Body.Service,
                                Body.Slots, Body.Version});
    if (Body.Left)
      rememberLeftServer(S, Body);
    return announce(S);
  }
  bool Joins = joinsOwnService(Directory.find(Body.Host), Body);
  if (!Directory.merge(Body))
    return;
  if (Joins)
    sendKnownSuspects(S, Body.Host);
  Router.hostChanged(Body);
  Versions.announced(S.Now, Body);
  HostsChanged = true;
  // A probe opens a link before the first request needs it.
  bool Wanted = Directory.all().size() <= MaxEagerHosts ||
                Router.usesService(Body.Service);
  if (Body.State == InstanceState::Ready && Wanted)
    S.Out.emplace_back(
        SendPeer{Body.Host, Probe{PeerRef{Body.Host, Body.Order.Inc}}});
}

void Sidecar::applyRecord(Step &S, const RecordOrigin &, HostRemoved &Body) {
  if (Body.Host == Settings.Host)
    return announce(S);
  Directory.erase(Body.Host);
  Peers.remove(Body.Host);
  Expiry.remove(Body.Host);
  Coordinator.hostRemoved(Body.Host);
  HostsChanged = true;
}

void Sidecar::applyRecord(Step &S, const RecordOrigin &Origin,
                          RolloutOrder &Body) {
  RolloutStep AtRollouts = rolloutStep(S);
  bool VersionsBefore = Versions.inUse();
  Versions.apply(AtRollouts, Body, Origin.At);
  announceVersion(S, VersionsBefore);
}

void Sidecar::applyRecord(Step &S, const RecordOrigin &, RolloutShare &Body) {
  RolloutStep AtRollouts = rolloutStep(S);
  Versions.apply(AtRollouts, Body);
}

void Sidecar::updateHostCounts() {
  const std::string &Service = Gate.server().service();
  Gate.blockedRequests().setTurn(Service,
                                 Directory.rank(Settings.Host, Service),
                                 Directory.rank(Settings.Host, {}));
  Quota.setHostCount(Directory.all().size());
  Router.setRegionHosts(Directory.countHosts(Settings.Region));
  Gate.setServerCount(LastNow, Directory.countServers(Settings.Service));
}

} // namespace figsail
