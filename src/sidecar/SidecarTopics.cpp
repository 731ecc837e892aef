// SidecarTopics.cpp - What the reducer learns from the store's topics, and how
// daemons share it.

#include "Sidecar.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace figsail {

/// Up to so many hosts, links are opened to all of them; beyond, to those of
/// services that this daemon's clients use. A host has some thousand
/// descriptors, and each link costs both sides memory.
static constexpr std::size_t MaxEagerHosts = 128;

// Reads of the store.

/// Every answer of the store names its history.
///
/// Load pattern: the store is away for a moment and comes back from a copy some
/// seconds old. Offsets that were read name other records then, and what this
/// daemon announced may be gone. Whoever hears of it first tells the others.
void Sidecar::enterHistory(Step &S, StoreHistory Seen) {
  bool First =
      History == 0 && std::ranges::all_of(Topics, [](const auto &State) {
        return State.Image.next() == 0;
      });
  StoreHistory Before = std::exchange(History, Seen);
  if (First)
    return;
  Decision Line{LogLevel::Warning, "store-history-changed", {}};
  Line.Fields = {{"before", std::to_string(Before)},
                 {"now", std::to_string(Seen)}};
  S.Out.emplace_back(std::move(Line));
  S.Out.emplace_back(Count{Counter::StoreHistories});
  for (TopicState &State : Topics) {
    State.Image.restart();
    State.Follower.restart(S.Now);
  }
  announce(S);
}

/// Returns whether an answer comes from a history that has ended. A newer one
/// is entered.
bool Sidecar::isOutdated(Step &S, StoreHistory Seen) {
  if (Seen > History)
    enterHistory(S, Seen);
  return Seen != 0 && Seen < History;
}

void Sidecar::on(Step &S, TopicSnapshot &Body) {
  TopicState &State = stateOf(Body.Which);
  if (isOutdated(S, Body.History)) {
    State.Follower.restart(S.Now);
    State.Follower.discardsRead(S.Now, S.Out);
    return;
  }
  takeAll(S, Body.Which,
          State.Image.absorbAll({Body.Next, std::move(Body.Records)}));
  State.Follower.readDone(S.Now, State.Image.next(), false, S.Out);
}

void Sidecar::on(Step &S, TopicRecords &Body) {
  TopicState &State = stateOf(Body.Which);
  isOutdated(S, Body.History);
  if (State.Follower.discardsRead(S.Now, S.Out))
    return;
  bool Any = !Body.Records.empty();
  takeAll(S, Body.Which,
          State.Image.absorb({Body.Next, std::move(Body.Records)}));
  State.Follower.readDone(S.Now, State.Image.next(), Any, S.Out);
}

void Sidecar::on(Step &S, TopicTruncated &Body) {
  TopicState &State = stateOf(Body.Which);
  isOutdated(S, Body.History);
  if (State.Follower.discardsRead(S.Now, S.Out))
    return;
  if (!State.Image.readsBack())
    return State.Follower.truncated(S.Out);
  takeAll(S, Body.Which, State.Image.skipTo(Body.First));
  State.Follower.readDone(S.Now, State.Image.next(), false, S.Out);
}

void Sidecar::on(Step &S, TopicReadFailed &Body) {
  isOutdated(S, Body.History);
  stateOf(Body.Which).Follower.failed(S.Now, S.Seed, Body.Reason, S.Out);
}

void Sidecar::takeAll(Step &S, Topic Which,
                      const std::vector<KeyedRecord> &Records) {
  std::ranges::copy(Records,
                    std::back_inserter(News[static_cast<std::size_t>(Which)]));
  for (const KeyedRecord &Record : Records) {
    TopicContent Content = Decoder.decode(Which, Record);
    std::visit([&](auto &Body) { take(S, Record.At, Body); }, Content);
  }
}

TopicSubscribe Sidecar::question() const {
  TopicSubscribe Question;
  for (const TopicState &State : Topics)
    Question.From.push_back(State.Image.next());
  Question.History = History;
  return Question;
}

bool Sidecar::complete() const {
  return std::ranges::all_of(Topics, [](const TopicState &State) {
    return State.Follower.complete();
  });
}

// Sharing reads.

TopicUpdate Sidecar::emptyUpdate(TimePoint Now) const {
  TopicUpdate Update;
  Update.History = History;
  Update.Complete = complete();
  bool Reads = std::ranges::all_of(
      Topics, [](const TopicState &State) { return State.Follower.live(); });
  Update.Live = Update.Complete && (Reads || Relay.fed(Now));
  return Update;
}

TopicUpdate Sidecar::updateSince(TimePoint Now,
                                 const std::vector<Offset> &From) const {
  TopicUpdate Update = emptyUpdate(Now);
  for (std::size_t I = 0; I < TopicCount; ++I)
    Update.Parts.push_back(
        Topics[I].Image.since(I < From.size() ? From[I] : 0));
  return Update;
}

void Sidecar::subscribe(Step &S, const PeerRef &From,
                        const TopicSubscribe &Message) {
  Relay.subscribed(S.Now, From.Host);
  isOutdated(S, Message.History);
  // Offsets of another history say nothing of what the asker knows.
  std::vector<Offset> Known;
  if (Message.History == History)
    Known = Message.From;
  S.Out.emplace_back(SendPeer{From.Host, updateSince(S.Now, Known)});
}

void Sidecar::update(Step &S, const PeerRef &From, TopicUpdate &Message) {
  // A source that has not heard of the new history is not relied upon.
  if (isOutdated(S, Message.History))
    return;
  Relay.updated(S.Now, From.Host, Message);
  std::size_t Count = std::min(Message.Parts.size(), TopicCount);
  for (std::size_t I = 0; I < Count; ++I) {
    if (Message.Complete)
      Topics[I].Follower.completed();
    takeAll(S, static_cast<Topic>(I),
            Topics[I].Image.absorb(std::move(Message.Parts[I])));
  }
}

/// Tells news to those who asked for it, whether they came from the store or
/// from another daemon. The news do not say where to read on: an earlier
/// message may have been lost, and only the answer to a question covers all
/// records from the offset asked for.
void Sidecar::tellSubscribers(Step &S) {
  auto Taken = std::exchange(News, {});
  if (std::ranges::all_of(Taken, [](const auto &Part) { return Part.empty(); }))
    return;
  TopicUpdate Update = emptyUpdate(S.Now);
  Update.Complete = false; // A daemon that starts needs the whole topics.
  for (std::vector<KeyedRecord> &Part : Taken)
    Update.Parts.push_back({0, std::move(Part)});
  for (const HostId &Host : Relay.subscribers(S.Now))
    S.Out.emplace_back(SendPeer{Host, Update});
}

void Sidecar::followTopics(Step &S) {
  bool KnowsHosts = stateOf(Topic::Members).Follower.complete();
  if (KnowsHosts)
    Relay.timer(S.Now, Directory, Peers, question(), S.Out);
  bool Reads = !KnowsHosts || Relay.readsStore(S.Now);
  if (KnowsHosts && Reads)
    if (auto Gone = Expiry.timer(S.Now, Settings.Host, Directory, S.Out))
      ToDrop = Gone;
  for (TopicState &State : Topics) {
    State.Follower.activate(S.Now, Reads);
    State.Follower.timer(S.Now, State.Image.next(), S.Out);
  }
}

void Sidecar::take(Step &S, Offset At, UnusableRecord &Body) {
  Decision Line{LogLevel::Warning, "record-unusable", {}};
  Line.Fields = {{"key", Body.Key},
                 {"offset", std::to_string(At)},
                 {"reason", Body.Reason}};
  S.Out.emplace_back(std::move(Line));
}

/// A configuration never goes back. Versions decide, not offsets: those start
/// over when the store comes back from an older copy.
void Sidecar::take(Step &S, Offset At, ConfigPtr &Body) {
  bool Newer = !Config || Body->Version > Config->Version;
  Decision Line{Newer ? LogLevel::Info : LogLevel::Warning,
                Newer ? "config-in-force" : "config-ignored",
                {}};
  Line.Fields = {{"version", std::to_string(Body->Version)},
                 {"offset", std::to_string(At)},
                 {"routes", std::to_string(Body->routeCount())}};
  S.Out.emplace_back(std::move(Line));
  if (!Newer)
    return;
  Config = Body;
  configureServer();
  S.Out.emplace_back(SetClientLimits{Config->Limits});
}

void Sidecar::take(Step &S, Offset At, Evacuation &Body) {
  Decision Line{LogLevel::Info, "evacuation", {}};
  Line.Fields = {{"domain", Body.FailureDomain},
                 {"offset", std::to_string(At)},
                 {"out", Body.Active ? "yes" : "no"}};
  S.Out.emplace_back(std::move(Line));
  if (Body.Active)
    Evacuated.insert(Body.FailureDomain);
  else
    Evacuated.erase(Body.FailureDomain);
  applyEvacuations(S);
}

void Sidecar::applyEvacuations(Step &S) {
  GateStep Step{S.Now, S.Out};
  Gate.evacuate(Step, Evacuated.contains(Settings.FailureDomain));
}

void Sidecar::take(Step &S, Offset, Announcement &Body) {
  if (Body.Host == Settings.Host) {
    // The store's newest record of this host must be this daemon's own: an
    // append of an earlier process may take effect late.
    if (Body.Order.Inc == Settings.Inc)
      return;
    if (Body.Order.Generation >= Order.Generation)
      Order.Generation = Body.Order.Generation + 1;
    bool Served = Body.State == InstanceState::Ready ||
                  Body.State == InstanceState::Paused;
    if (Served && Body.Service == Settings.Service)
      Gate.expectServer(S.Now, {Body.Instance, Body.Service, Body.Slots});
    return announce(S);
  }
  if (!Directory.merge(Body))
    return;
  Router.hostChanged(Body.Host);
  hostsChanged();
  // Opens a link before the first request needs it.
  bool Wanted =
      Directory.all().size() <= MaxEagerHosts || Router.uses(Body.Service);
  if (Body.State == InstanceState::Ready && Wanted)
    S.Out.emplace_back(
        SendPeer{Body.Host, Probe{PeerRef{Body.Host, Body.Order.Inc}}});
}

void Sidecar::take(Step &S, Offset, HostRemoved &Body) {
  if (Body.Host == Settings.Host)
    return announce(S);
  Directory.erase(Body.Host);
  Peers.forget(Body.Host);
  Expiry.forget(Body.Host);
  hostsChanged();
}

void Sidecar::hostsChanged() {
  Router.setRegionHosts(Directory.countHosts(Settings.Region));
  Gate.setServerCount(LastNow, Directory.countServers(Settings.Service));
}

} // namespace figsail
