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

void Sidecar::on(Step &S, CallerDisconnected &Body) {
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
