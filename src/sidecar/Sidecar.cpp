// Sidecar.cpp - The reducer: passes each event to the module that owns the
// state.

#include "Sidecar.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace figsail {

using namespace std::chrono_literals;

/// Time from the stop request until client connections are closed. The platform
/// asks for readiness once a second and needs two misses to send clients
/// elsewhere.
static constexpr Duration ClientsLeaveTime = 2300ms;
/// Time from the stop request until others are told to leave the server alone.
/// It serves until client connections close; the news takes some 500 ms.
static constexpr Duration PauseDelay = 1600ms;
/// Time between questions to peers while the store is away at the start.
static constexpr Duration AskPeerInterval = 300ms;
/// Up to so many hosts, links are opened to all of them; beyond, to those of
/// services that this daemon's clients use. A host has some thousand
/// descriptors, and each link costs both sides memory.
static constexpr std::size_t MaxEagerHosts = 128;
/// Time before the process would be killed that is kept for the last answers to
/// be written.
static constexpr Duration StopReserve = 500ms;

Sidecar::Sidecar(SidecarSettings Given, const RecordDecoder &Decoder)
    : Settings(std::move(Given)), Router(Settings), Gate(Settings),
      Decoder(Decoder), Topics{{{Topic::Operator, Decoder},
                                {Topic::Members, Decoder}}},
      Relay(Settings.Host, Settings.FailureDomain) {
  Order.Inc = Settings.Inc;
}

SidecarEffects Sidecar::apply(SidecarEvent Input) {
  SidecarEffects Out;
  LastNow = Input.Now;
  Step S{Input.Now, Input.Seed, Out};
  std::visit([&](auto &Body) { on(S, Body); }, Input.Body);
  tellSubscribers(S);
  tellLoad(S);
  tellSuspicions(S);
  Router.serverRuns(S.Now, Gate.runs());
  sendAnnouncement(S);
  updateReadiness(S);
  continueStop(S);
  return Out;
}

TimePoint Sidecar::nextWake() const {
  TimePoint Due = std::min(Router.nextWake(), Relay.nextWake());
  for (const TopicState &State : Topics)
    Due = std::min(Due, State.Follower.nextWake());
  Due = std::min(Due, Gate.nextWake(LastNow));
  Due = std::min(Due, Peers.nextWake());
  if (complete() && Relay.readsStore(LastNow))
    Due = std::min(Due, Expiry.nextWake());
  if (AnnounceNeeded && !Announcing && complete())
    Due = std::min(Due, AnnounceAt);
  if (Stopping && !PauseAnnounced)
    Due = std::min(Due, StopBegan + PauseDelay);
  if (Stopping && !ClientsClosed)
    Due = std::min(Due, StopBegan + ClientsLeaveTime);
  if (Stopping)
    Due = std::min(Due, StopBegan + Settings.Bounds.StopLimit - StopReserve);
  return Due;
}

/// Tells ingresses of the own region that the server has become slower or
/// faster. For another region the news would be late and costly.
void Sidecar::tellLoad(Step &S) {
  for (const HostId &Host : Gate.takeListeners(S.Now)) {
    const Announcement *Who = Directory.find(Host);
    if (Who && Who->Region == Settings.Region)
      S.Out.emplace_back(SendPeer{Host, Heartbeat{NoOffset, Gate.load(S.Now)}});
  }
}

/// Tells the daemons of the service's other servers which requests may crash
/// them: the next repeat of such a request may come to any of them.
void Sidecar::tellSuspicions(Step &S) {
  for (const SuspectReport &Report : Gate.takeSuspicions()) {
    Decision Line{LogLevel::Warning,
                  Report.Crashes > 0 ? "request-suspected" : "request-cleared",
                  {}};
    Line.Fields = {{"fingerprint", std::to_string(Report.Fingerprint)},
                   {"crashes", std::to_string(Report.Crashes)},
                   {"instance", Gate.server().instance()}};
    S.Out.emplace_back(std::move(Line));
    S.Out.emplace_back(Count{Counter::Suspects});
    for (const auto &[Host, Who] : Directory.all())
      if (Host != Settings.Host && Who.Service == Gate.server().service() &&
          Who.State != InstanceState::Absent)
        S.Out.emplace_back(SendPeer{Host, Report});
  }
}

RouterStep Sidecar::routerStep(Step &S) {
  return {S.Now,     S.Seed, Config.get(),       Directory,
          Evacuated, Peers,  Gate.repeatShare(), S.Out};
}

// Clients and peers.

void Sidecar::on(Step &, BoundsChanged &Body) {
  Settings.Bounds = Body.Bounds;
  Gate.configure(Body.Bounds);
}

void Sidecar::on(Step &S, ClientRequest &Body) {
  RouterStep Step = routerStep(S);
  Router.request(Step, std::move(Body));
}

void Sidecar::on(Step &S, CallerGone &Body) {
  RouterStep Step = routerStep(S);
  Router.callerGone(Step, Body.Caller);
}

void Sidecar::on(Step &, ClientsGone &) { ClientsLeft = true; }

void Sidecar::on(Step &S, PeerReceived &Body) {
  Peers.heard(Body.From.Host, S.Out);
  Expiry.heard(S.Now, Body.From.Host);
  message(S, Body.From, Body.Message);
}

/// A daemon that knows nothing yet and does not reach the store asks whoever it
/// meets. One at a time, since the answer is the whole state.
void Sidecar::on(Step &S, PeerConnected &Body) {
  Peers.heard(Body.Peer.Host, S.Out);
  Expiry.heard(S.Now, Body.Peer.Host);
  bool StoreFails = std::ranges::any_of(
      Topics, [](const TopicState &State) { return State.Follower.failing(); });
  if (complete() || !StoreFails || S.Now < AskPeerAt)
    return;
  AskPeerAt = S.Now + AskPeerInterval;
  S.Out.emplace_back(SendPeer{Body.Peer.Host, question()});
}

void Sidecar::on(Step &S, PeerLost &Body) {
  RouterStep Step = routerStep(S);
  Router.peerLost(Step, Body);
}

void Sidecar::message(Step &S, const PeerRef &From, PeerMessage &Message) {
  GateStep AtGate{S.Now, S.Out};
  RouterStep AtRouter = routerStep(S);
  if (auto *Body = std::get_if<Execute>(&Message))
    Gate.execute(AtGate, From, std::move(*Body));
  else if (auto *Body = std::get_if<Received>(&Message))
    Router.received(AtRouter, From, Body->Call);
  else if (auto *Body = std::get_if<Answer>(&Message))
    Router.answered(AtRouter, From, std::move(*Body));
  else if (auto *Body = std::get_if<Refused>(&Message))
    Router.refused(AtRouter, From, *Body);
  else if (auto *Body = std::get_if<Failed>(&Message))
    Router.failed(AtRouter, From, *Body);
  else if (auto *Body = std::get_if<Cancel>(&Message))
    Gate.cancel(AtGate, Body->Call);
  else if (auto *Body = std::get_if<Await>(&Message))
    Gate.await(AtGate, From, *Body);
  else if (auto *Body = std::get_if<Heartbeat>(&Message))
    Router.loadReported(S.Now, From.Host, Body->Load);
  else if (auto *Body = std::get_if<SuspectReport>(&Message))
    Gate.suspected(S.Now, *Body);
  else if (auto *Body = std::get_if<TopicSubscribe>(&Message))
    subscribe(S, From, *Body);
  else if (auto *Body = std::get_if<TopicUpdate>(&Message))
    update(S, From, *Body);
  else if (auto *Body = std::get_if<Probe>(&Message))
    S.Out.emplace_back(SendPeer{From.Host, ProbeReply{Body->Target, true}});
  else if (!std::holds_alternative<ProbeReply>(Message))
    S.Out.emplace_back(Count{Counter::StaleMessages});
}

// The backend server.

void Sidecar::on(Step &S, ServerDone &Body) {
  GateStep Step{S.Now, S.Out};
  Gate.serverDone(Step, std::move(Body));
}

void Sidecar::on(Step &S, ServerProbed &Body) {
  GateStep Step{S.Now, S.Out};
  InstanceState Before = Gate.server().state();
  Gate.probed(Step, Body);
  if (Gate.server().state() == Before)
    return;
  Decision Line{LogLevel::Info, "server-recovered", {}};
  Line.Fields = {{"instance", Gate.server().instance()}};
  S.Out.emplace_back(std::move(Line));
  announce(S);
}

void Sidecar::on(Step &S, ServerHeartbeat &Body) {
  GateStep Step{S.Now, S.Out};
  ReportVerdict Verdict = Gate.heartbeat(Step, Body);
  configureServer();
  reported(S, Body.Report, Verdict, Body.Instance);
}

void Sidecar::on(Step &S, ServerLeaves &Body) {
  GateStep Step{S.Now, S.Out};
  reported(S, Body.Report, Gate.leaves(Step, Body), Body.Instance);
}

/// The gate admits nothing more to a leaving server from now on, so its report
/// can be acknowledged at once; no other daemon has to know first.
void Sidecar::reported(Step &S, ReportId Report, ReportVerdict Verdict,
                       const std::string &Instance) {
  S.Out.emplace_back(AnswerReport{Report, Verdict != ReportVerdict::Invalid});
  if (Verdict == ReportVerdict::Unchanged)
    return;
  static constexpr std::array<std::string_view, 4> Verdicts{
      "unchanged", "changed", "stale", "invalid"};
  static constexpr std::array<std::string_view, 4> States{"absent", "ready",
                                                          "draining", "paused"};
  Decision Line{LogLevel::Info, "server-report", {}};
  Line.Fields = {
      {"instance", Instance},
      {"verdict", std::string(Verdicts[static_cast<std::size_t>(Verdict)])},
      {"state",
       std::string(States[static_cast<std::size_t>(Gate.server().state())])}};
  S.Out.emplace_back(std::move(Line));
  if (Verdict == ReportVerdict::Changed)
    announce(S);
}

void Sidecar::configureServer() {
  if (!Config)
    return;
  const std::string &Known = Gate.server().service();
  if (const ServiceSettings *Found =
          Config->service(Known.empty() ? Settings.Service : Known))
    Gate.configure(*Found);
}

// Announcements.

Announcement Sidecar::describeSelf() const {
  Announcement Said;
  Said.Host = Settings.Host;
  Said.Order = Order;
  Said.Region = Settings.Region;
  Said.FailureDomain = Settings.FailureDomain;
  Said.State = Gate.server().state();
  if (PauseAnnounced && Said.State == InstanceState::Ready)
    Said.State = InstanceState::Paused;
  Said.Instance = Gate.server().instance();
  Said.Service = Gate.server().service();
  Said.Slots = Gate.server().slots();
  return Said;
}

/// The state of this host has changed.
void Sidecar::announce(Step &S) {
  ++Order.Counter;
  AnnounceNeeded = true;
  AnnounceAt = S.Now;
  Directory.merge(describeSelf());
  hostsChanged();
}

/// Appends the newest announcement, once the generation is known; otherwise
/// drops a host that is gone.
void Sidecar::sendAnnouncement(Step &S) {
  if (ToDrop && !AnnounceNeeded && !Announcing) {
    Announcing = true;
    S.Out.emplace_back(DropHost{*ToDrop});
    ToDrop.reset();
    return;
  }
  bool Due = AnnounceNeeded && !Announcing && complete() && S.Now >= AnnounceAt;
  if (!Due)
    return;
  Announcing = true;
  AnnounceNeeded = false;
  S.Out.emplace_back(Announce{describeSelf()});
}

void Sidecar::on(Step &S, AnnouncementDone &Body) {
  Announcing = false;
  // An announcement that another history has taken is gone.
  if (Body.Appended && !isOutdated(S, Body.History)) {
    AnnounceFailures = 0;
    return;
  }
  if (AnnounceFailures == 0) {
    Decision Line{LogLevel::Warning, "announcement-failed", {}};
    Line.Fields = {{"reason", Body.Reason}};
    S.Out.emplace_back(std::move(Line));
  }
  AnnounceNeeded = true;
  AnnounceAt = S.Now + retryPause(AnnounceFailures, S.Seed);
  ++AnnounceFailures;
}

// The store.

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

void Sidecar::on(Step &S, TopicFailed &Body) {
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
                 {"out", Body.Out ? "yes" : "no"}};
  S.Out.emplace_back(std::move(Line));
  if (Body.Out)
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
      Gate.expect(S.Now, {Body.Instance, Body.Service, Body.Slots});
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

void Sidecar::take(Step &S, Offset, HostForgotten &Body) {
  if (Body.Host == Settings.Host)
    return announce(S);
  Directory.erase(Body.Host);
  Peers.forget(Body.Host);
  Expiry.forget(Body.Host);
  hostsChanged();
}

void Sidecar::hostsChanged() {
  Router.setRegionHosts(Directory.hostsIn(Settings.Region));
  Gate.setServerCount(LastNow, Directory.serversOf(Settings.Service));
}

// Time and the end.

void Sidecar::on(Step &S, TimerFired &) {
  RouterStep AtRouter = routerStep(S);
  Router.timer(AtRouter);
  InstanceState Before = Gate.server().state();
  GateStep AtGate{S.Now, S.Out};
  Gate.timer(AtGate);
  if (Gate.server().state() != Before)
    announce(S);
  Peers.timer(S.Now, S.Out);
  followTopics(S);
}

/// Ready means that clients are served as the operator wants it: the
/// configuration and the other hosts are known.
void Sidecar::updateReadiness(Step &S) {
  bool Next = Config && complete() && !Stopping;
  if (Next == Ready)
    return;
  Ready = Next;
  S.Out.emplace_back(SetReadiness{Ready});
}

void Sidecar::on(Step &S, StopRequested &) {
  if (Stopping)
    return;
  Stopping = true;
  StopBegan = S.Now;
}

/// Clients stay until the platform has had time to send them elsewhere, and so
/// long the server works on: a rolling restart would otherwise take two servers
/// of a service out at once. Then the client connections close, and the process
/// ends when nothing is under way. A request of which the first bytes have
/// arrived is under way, though only the frontend knows of it.
void Sidecar::continueStop(Step &S) {
  if (!Stopping)
    return;
  if (!PauseAnnounced && S.Now - StopBegan >= PauseDelay) {
    PauseAnnounced = true;
    announce(S);
    sendAnnouncement(S);
  }
  if (!ClientsClosed && S.Now - StopBegan >= ClientsLeaveTime) {
    ClientsClosed = true;
    Gate.stop();
    Decision Line{LogLevel::Info, "clients-closing", {}};
    S.Out.emplace_back(std::move(Line));
    S.Out.emplace_back(CloseClients{});
  }
  bool Idle = ClientsLeft && Router.underWay() == 0 && Gate.idle();
  bool OutOfTime = S.Now - StopBegan >= Settings.Bounds.StopLimit - StopReserve;
  if (Idle || OutOfTime)
    S.Out.emplace_back(ExitProcess{});
}

} // namespace figsail
