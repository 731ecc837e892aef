// Sidecar.cpp - Dispatch of each event to the module that owns the state.

#include "Sidecar.h"

#include "AnswerPieces.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace figsail {

using namespace std::chrono_literals;

/// Time from the stop request until client connections are closed. The platform
/// checks readiness once a second and sends clients elsewhere after two failed
/// checks.
static constexpr Duration ClientCloseDelay = 2300ms;
/// Time from the stop request until the server is announced as paused. The
/// server runs calls until client connections close, and the announcement takes
/// some 500 ms to reach the other daemons.
static constexpr Duration PauseDelay = 1600ms;
/// Time between queries to peers while the store is unreachable at the start.
static constexpr Duration PeerQueryInterval = 300ms;
/// Time reserved before the stop limit, when the process is killed, to write
/// the last answers.
static constexpr Duration StopMargin = 500ms;

/// Time that other daemons have, before the process ends, to send idempotent
/// calls from this server to another one.
static constexpr Duration RetryTime = 500ms;

Sidecar::Sidecar(SidecarSettings InitialSettings, const RecordDecoder &Decoder)
    : Settings(std::move(InitialSettings)), Router(Settings), Gate(Settings),
      Versions(Settings), Quota(Settings.Host, Settings.Bounds),
      Coordinator(Settings.Bounds),
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
  // Once for all records of a snapshot.
  if (std::exchange(HostsChanged, false))
    updateHostCounts();
  forgetResetLinks(Out);
  notifySubscribers(S);
  reportStoreFailing(S);
  updateStoreTimeout(S);
  reportLoad(S);
  reportSuspects(S);
  Router.setServerRuns(S.Now, Gate.runs());
  RolloutStep AtRollouts = rolloutStep(S);
  Versions.update(AtRollouts);
  appendNext(S);
  updateReadiness(S);
  continueStop(S);
  splitLargeAnswers(Settings.Host, Out);
  return Out;
}

TimePoint Sidecar::nextWake() const {
  TimePoint Due = std::min(Router.nextWake(), Relay.nextWake());
  for (const TopicState &State : Topics)
    Due = std::min(Due, State.Follower.nextWake());
  Due = std::min(Due, Gate.nextWake(LastNow));
  Due = std::min(Due, Peers.nextWake());
  Due = std::min(Due, Versions.nextWake());
  Due = std::min({Due, Quota.nextWake(), Coordinator.nextWake()});
  if (topicsComplete() && Relay.readsStore(LastNow))
    Due = std::min(Due, Expiry.nextWake());
  if (AnnounceNeeded && !AppendInFlight && topicsComplete())
    Due = std::min(Due, AnnounceAt);
  if (!AppendInFlight && topicsComplete())
    Due = std::min(Due, Gate.blockedRequests().nextWake());
  if (Stopping && !PauseAnnounced)
    Due = std::min(Due, StopStartedAt + PauseDelay);
  if (Stopping && !ClientsClosing)
    Due = std::min(Due, StopStartedAt + ClientCloseDelay);
  if (Stopping && !RunsReturned)
    Due = std::min(Due, stopEnd() - RetryTime);
  if (Stopping)
    Due = std::min(Due, stopEnd());
  return Due;
}

/// Reports to ingresses of the same region that the server has become slower or
/// faster. To another region the report would be late and costly.
void Sidecar::reportLoad(Step &S) {
  for (const HostId &Host : Gate.takeLoadRecipients(S.Now)) {
    const Announcement *Ingress = Directory.find(Host);
    if (Ingress && Ingress->Region == Settings.Region)
      S.Out.emplace_back(SendPeer{Host, Heartbeat{NoOffset, Gate.load(S.Now)}});
  }
}

RouterStep Sidecar::routerStep(Step &S) {
  return {S.Now,     S.Seed, Config.get(), isConfigBehind(S.Now), Directory,
          Evacuated, Peers,  Versions,     Gate.retryFraction(),  Quota,
          S.Out};
}

RolloutStep Sidecar::rolloutStep(Step &S) {
  bool UpToDate = topicsComplete() && !isConfigBehind(S.Now);
  return {S.Now,          Directory,     Peers,    Gate.server(),
          Gate.rollout(), Gate.isOpen(), UpToDate, S.Out};
}

QuotaStep Sidecar::quotaStep(Step &S) {
  auto Find = [this](const std::string &Name) {
    return Config ? Config->findWorkspaceNamed(Name).get() : nullptr;
  };
  return {S.Now, Find, Directory, Peers, S.Out};
}

// Clients and peers.

void Sidecar::on(Step &S, BoundsChanged &Body) {
  Settings.Bounds = Body.Bounds;
  Gate.configure(Body.Bounds);
  bool VersionsBefore = Versions.inUse();
  Versions.configure(Body.Bounds);
  Quota.configure(Body.Bounds);
  Coordinator.configure(Body.Bounds);
  announceVersion(S, VersionsBefore);
  if (Stopping)
    setStopEnd();
}

void Sidecar::on(Step &S, ClientRequest &Body) {
  RouterStep Step = routerStep(S);
  Step.RunningPriority = Gate.mostUrgentRun();
  Router.request(Step, std::move(Body));
}

void Sidecar::on(Step &S, CallerDisconnected &Body) {
  RouterStep Step = routerStep(S);
  Router.clientDisconnected(Step, Body.Caller);
}

void Sidecar::on(Step &, ClientsDrained &) { ClientsDisconnected = true; }

void Sidecar::on(Step &S, PeerReceived &Body) {
  Peers.markReachable(Body.From.Host, S.Out);
  Expiry.markReachable(S.Now, Body.From.Host);
  handleMessage(S, Body.From, Body.Message);
}

/// A daemon that starts while the store is unreachable requests the topics from
/// the peers that connect. It asks one at a time, since the reply contains the
/// whole topics.
void Sidecar::on(Step &S, PeerConnected &Body) {
  Peers.markReachable(Body.Peer.Host, S.Out);
  Expiry.markReachable(S.Now, Body.Peer.Host);
  sendKnownSuspects(S, Body.Peer.Host);
  if (topicsComplete() || !isAnyReadFailing() || S.Now < PeerQueryAt)
    return;
  PeerQueryAt = S.Now + PeerQueryInterval;
  S.Out.emplace_back(
      SendPeer{Body.Peer.Host, subscription(Body.Peer.Host, S.Seed)});
}

void Sidecar::on(Step &S, PeerLost &Body) {
  linkLost(Body.Host);
  RouterStep Step = routerStep(S);
  Router.peerLost(Step, Body);
}

void Sidecar::on(Step &S, PeerReceiving &Body) {
  Peers.markReachable(Body.From.Host, S.Out);
  Expiry.markReachable(S.Now, Body.From.Host);
  Router.bytesReceived(S.Now, Body.From.Host);
}

void Sidecar::handleMessage(Step &S, const PeerRef &From,
                            PeerMessage &Message) {
  GateStep AtGate{S.Now, S.Out};
  RouterStep AtRouter = routerStep(S);
  if (auto *Body = std::get_if<Execute>(&Message))
    handleExecute(S, From, std::move(*Body));
  else if (auto *Body = std::get_if<Received>(&Message))
    Router.received(AtRouter, From, Body->Call);
  else if (auto *Body = std::get_if<Answer>(&Message))
    Router.answered(AtRouter, From, std::move(*Body));
  else if (auto *Body = std::get_if<AnswerPiece>(&Message))
    Router.pieceReceived(AtRouter, From, std::move(*Body));
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
    handleSuspicion(S, From, *Body);
  else if (auto *Body = std::get_if<TopicSubscribe>(&Message))
    handleSubscribe(S, From, *Body);
  else if (auto *Body = std::get_if<TopicUpdate>(&Message))
    handleUpdate(S, From, *Body);
  else if (const auto *Body = std::get_if<TopicPiece>(&Message))
    handlePiece(S, From, *Body);
  else if (const auto *Body = std::get_if<RolloutReport>(&Message))
    handleRollout(S, From, *Body);
  else if (const auto *Body = std::get_if<RolloutVerdict>(&Message))
    handleRollout(S, From, *Body);
  else if (const auto *Body = std::get_if<QuotaReport>(&Message))
    handleReport(S, From, *Body);
  else if (const auto *Body = std::get_if<QuotaReply>(&Message))
    Quota.received(S.Now, From.Host, *Body, S.Out);
  else if (auto *Body = std::get_if<Probe>(&Message))
    S.Out.emplace_back(SendPeer{From.Host, ProbeReply{Body->Target, true}});
  else if (!std::holds_alternative<ProbeReply>(Message))
    S.Out.emplace_back(Count{Counter::StaleMessages});
}

void Sidecar::handleReport(Step &S, const PeerRef &From,
                           const QuotaReport &Message) {
  QuotaStep Step = quotaStep(S);
  Coordinator.received(Step, From, Message);
}

/// Passes a call to the gate. What its ingress knows of the server may change
/// the server's state.
void Sidecar::handleExecute(Step &S, const PeerRef &From, Execute Message) {
  InstanceState Before = Gate.server().state();
  GateStep AtGate{S.Now, S.Out};
  Gate.execute(AtGate, From, std::move(Message));
  if (Gate.server().state() != Before)
    announce(S);
}

// Rollouts.

/// Announces the version of the own server when versions begin to matter.
void Sidecar::announceVersion(Step &S, bool InUseBefore) {
  if (!InUseBefore && Versions.inUse() && !Gate.server().version().empty())
    announce(S);
}

void Sidecar::handleRollout(Step &S, const PeerRef &From,
                            const RolloutReport &Message) {
  RolloutStep AtRollouts = rolloutStep(S);
  Versions.report(AtRollouts, From.Host, Message);
}

void Sidecar::handleRollout(Step &S, const PeerRef &From,
                            const RolloutVerdict &Message) {
  RolloutStep AtRollouts = rolloutStep(S);
  Versions.verdict(AtRollouts, From.Host, Message);
}

void Sidecar::on(Step &S, RolloutStatusRead &Body) {
  RolloutStep AtRollouts = rolloutStep(S);
  Versions.statusRead(AtRollouts, Body);
}

void Sidecar::on(Step &S, RolloutStatusWritten &Body) {
  RolloutStep AtRollouts = rolloutStep(S);
  Versions.statusWritten(AtRollouts, Body);
}

// The backend server.

/// Returns whether a run failed since a service refused one of its calls.
bool Sidecar::isCallRefused(const ServerRunResult &Ended) {
  const auto *Response = std::get_if<HttpResponse>(&Ended.Result);
  if (!Response || Response->Status < 500 || Ended.Metadata.NotExecuted)
    return false;
  std::optional<TimePoint> Start = Gate.runStart(Ended.Run);
  return Start && Router.explainFailedRun(*Start);
}

void Sidecar::on(Step &S, ServerRunResult &Body) {
  GateStep Step{S.Now, S.Out};
  InstanceState Before = Gate.server().state();
  bool CallRefused = isCallRefused(Body);
  std::optional<std::string> Route = Gate.remoteRoute(Body.Run);
  if (Route && std::holds_alternative<HttpResponse>(Body.Result))
    Router.remoteRunEnded(S.Now, *Route, CallRefused);
  Gate.runEnded(Step, std::move(Body), CallRefused);
  if (Gate.server().state() != Before)
    announce(S);
}

void Sidecar::on(Step &S, ServerProbeResult &Body) {
  GateStep Step{S.Now, S.Out};
  InstanceState Before = Gate.server().state();
  Gate.probeEnded(Step, Body);
  if (Gate.server().state() == Before)
    return;
  if (Before == InstanceState::Absent) {
    Decision Line{LogLevel::Info, "server-recovered", {}};
    Line.Fields = {{"instance", Gate.server().instance()}};
    S.Out.emplace_back(std::move(Line));
  }
  announce(S);
}

void Sidecar::on(Step &S, ServerHeartbeat &Body) {
  GateStep Step{S.Now, S.Out};
  bool KnownService = !Config || Body.Service == Settings.Service ||
                      Config->findService(Body.Service);
  ReportVerdict Verdict =
      KnownService ? Gate.heartbeat(Step, Body) : ReportVerdict::Invalid;
  configureGate();
  acknowledgeReport(S, Body.Report, Verdict, Body.Instance);
}

void Sidecar::on(Step &S, ServerLeave &Body) {
  GateStep Step{S.Now, S.Out};
  acknowledgeReport(S, Body.Report, Gate.leave(Step, Body), Body.Instance);
}

/// Acknowledges a heartbeat or a leave, and announces a change. A leave can be
/// acknowledged at once, before any other daemon is informed, because the gate
/// admits nothing more to a leaving server.
void Sidecar::acknowledgeReport(Step &S, ReportId Report, ReportVerdict Verdict,
                                const std::string &Instance) {
  S.Out.emplace_back(AnswerReport{Report, Verdict != ReportVerdict::Invalid});
  if (Verdict == ReportVerdict::Unchanged)
    return;
  static constexpr std::array<std::string_view, 5> Verdicts{
      "unchanged", "changed", "stale", "invalid", "unconfirmed"};
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

void Sidecar::configureGate() {
  if (!Config)
    return;
  const std::string &Service = Gate.server().service();
  if (const ServiceSettings *Found =
          Config->findService(Service.empty() ? Settings.Service : Service))
    Gate.configure(*Found);
}

// Announcements.

Announcement Sidecar::describeSelf() const {
  Announcement Own;
  Own.Host = Settings.Host;
  Own.Order = Order;
  Own.Region = Settings.Region;
  Own.FailureDomain = Settings.FailureDomain;
  Own.State = Gate.server().state();
  if (PauseAnnounced && Own.State == InstanceState::Ready)
    Own.State = InstanceState::Paused;
  Own.Service = Gate.server().service();
  Own.Slots = Gate.server().slots();
  // Without rollouts, announcements stay as they were before there were any.
  if (Versions.inUse())
    Own.Version = Gate.server().version();
  Own.Left = Gate.server().leaving();
  ServerIncarnation Described = Gate.server().incarnation();
  // The next daemon must know of the leave too, however often they restart.
  if (Described.Instance.empty()) {
    Described = Gate.server().leftBefore();
    Own.Left = !Described.Instance.empty();
  }
  Own.Instance = Described.Instance;
  Own.StartMillis = Described.StartMillis;
  return Own;
}

/// Schedules an announcement after a change in the state of this host.
void Sidecar::announce(Step &S) {
  ++Order.Counter;
  AnnounceNeeded = true;
  AnnounceAt = S.Now;
  Directory.merge(describeSelf());
  HostsChanged = true;
}

/// Starts the next append that is due: a share record, the record of a blocked
/// request, the removal of an expired host if nothing needs to be announced, or
/// the newest announcement, whose generation is known once the topics are
/// complete.
void Sidecar::appendNext(Step &S) {
  if (!ShareToAppend)
    ShareToAppend = Versions.takeShare();
  if (AppendInFlight)
    return;
  if (ShareToAppend) {
    AppendInFlight = true;
    ShareInFlight = true;
    S.Out.emplace_back(AppendRolloutShare{std::move(*ShareToAppend)});
    ShareToAppend.reset();
    return;
  }
  if (topicsComplete())
    BlockedInFlight = Gate.blockedRequests().takeDue(S.Now);
  if (BlockedInFlight) {
    AppendInFlight = true;
    S.Out.emplace_back(AppendBlockedRequest{*BlockedInFlight});
    return;
  }
  if (HostToDrop && !AnnounceNeeded) {
    AppendInFlight = true;
    S.Out.emplace_back(RemoveHost{*HostToDrop});
    HostToDrop.reset();
    return;
  }
  if (!AnnounceNeeded || !topicsComplete() || S.Now < AnnounceAt)
    return;
  AppendInFlight = true;
  AnnounceNeeded = false;
  S.Out.emplace_back(Announce{describeSelf()});
}

void Sidecar::on(Step &S, AnnouncementResult &Body) {
  AppendInFlight = false;
  // The controller writes a share record again that it does not see.
  if (std::exchange(ShareInFlight, false)) {
    isFromEndedHistory(S, Body.History);
    return;
  }
  if (auto Record = std::exchange(BlockedInFlight, std::nullopt)) {
    if (!isFromEndedHistory(S, Body.History) && Body.Appended)
      Gate.blockedRequests().appended(*Record);
    return;
  }
  // An announcement that was appended to an ended history may be lost.
  if (Body.Appended && !isFromEndedHistory(S, Body.History)) {
    AnnounceFailures = 0;
    return;
  }
  if (AnnounceFailures == 0) {
    Decision Line{LogLevel::Warning, "announcement-failed", {}};
    Line.Fields = {{"reason", Body.Reason}};
    S.Out.emplace_back(std::move(Line));
  }
  AnnounceNeeded = true;
  AnnounceAt = S.Now + retryBackoff(AnnounceFailures, S.Seed);
  ++AnnounceFailures;
}

// Timer and stop.

void Sidecar::on(Step &S, TimerFired &) {
  RouterStep AtRouter = routerStep(S);
  Router.timer(AtRouter);
  InstanceState Before = Gate.server().state();
  GateStep AtGate{S.Now, S.Out};
  Gate.timer(AtGate);
  if (Gate.server().state() != Before)
    announce(S);
  Peers.timer(S.Now, S.Out);
  Quota.timer(S.Now, Directory, Peers, S.Out);
  QuotaStep AtCoordinator = quotaStep(S);
  Coordinator.timer(AtCoordinator);
  followTopics(S);
}

/// The daemon is ready when it can serve clients as the operator configured:
/// the configuration and the other hosts are known.
void Sidecar::updateReadiness(Step &S) {
  bool Next = Config && topicsComplete() && !Stopping;
  if (Next == Ready)
    return;
  Ready = Next;
  S.Out.emplace_back(SetReadiness{Ready});
}

void Sidecar::on(Step &S, StopRequested &) {
  if (Stopping)
    return;
  Stopping = true;
  StopStartedAt = S.Now;
  setStopEnd();
}

/// Continues a graceful stop. Client connections stay open until the platform
/// has had time to send clients elsewhere. Until then the server runs calls:
/// otherwise a rolling restart would make two servers of a service unavailable
/// at once. Then the client connections close, and the process exits when
/// nothing is in flight. That includes requests whose first bytes have arrived,
/// which only the frontend knows of.
void Sidecar::continueStop(Step &S) {
  if (!Stopping)
    return;
  if (!PauseAnnounced && S.Now - StopStartedAt >= PauseDelay) {
    PauseAnnounced = true;
    announce(S);
    appendNext(S);
  }
  if (!ClientsClosing && S.Now - StopStartedAt >= ClientCloseDelay) {
    ClientsClosing = true;
    Gate.stop();
    Decision Line{LogLevel::Info, "clients-closing", {}};
    S.Out.emplace_back(std::move(Line));
    S.Out.emplace_back(CloseClients{});
  }
  if (!RunsReturned && S.Now >= stopEnd() - RetryTime) {
    RunsReturned = true;
    GateStep AtGate{S.Now, S.Out};
    Gate.returnIdempotentRuns(AtGate);
    RouterStep AtRouter = routerStep(S);
    Router.withdrawAll(AtRouter);
  }
  bool Idle = ClientsDisconnected && Router.inFlight() == 0 && Gate.idle();
  bool OutOfTime = S.Now >= stopEnd();
  if (OutOfTime && !Idle)
    endOpenCalls(S);
  if (Idle || OutOfTime)
    S.Out.emplace_back(ExitProcess{});
}

void Sidecar::setStopEnd() {
  Router.stopAt(stopEnd());
  Gate.stopAt(stopEnd());
}

TimePoint Sidecar::stopEnd() const {
  return StopStartedAt + Settings.Bounds.StopLimit - StopMargin;
}

/// Answers the clients and daemons whose calls are still open, while there is
/// time to write the answers.
void Sidecar::endOpenCalls(Step &S) {
  Decision Line{LogLevel::Warning, "stop-out-of-time", {}};
  Line.Fields = {{"calls", std::to_string(Router.inFlight())},
                 {"runs", std::to_string(Gate.runs())}};
  S.Out.emplace_back(std::move(Line));
  GateStep AtGate{S.Now, S.Out};
  Gate.endAll(AtGate);
  applyOwnRefusals(S);
  RouterStep AtRouter = routerStep(S);
  Router.endAll(AtRouter);
}

/// Applies the refusals that the gate sends in this event to this host's own
/// ingress. The process ends before they arrive.
void Sidecar::applyOwnRefusals(Step &S) {
  std::vector<Refused> Own;
  for (const SidecarEffect &Action : S.Out) {
    const auto *Sent = std::get_if<SendPeer>(&Action);
    if (!Sent || Sent->Host != Settings.Host)
      continue;
    if (const auto *Message = std::get_if<Refused>(&Sent->Message))
      Own.push_back(*Message);
  }
  RouterStep AtRouter = routerStep(S);
  for (const Refused &Message : Own)
    Router.refused(AtRouter, {Settings.Host, Settings.Inc}, Message);
}

} // namespace figsail
