// SidecarDaemon.cpp - Adapter between the sidecar's reducer and the system.

#include "SidecarDaemon.h"

#include "Endpoint.h"
#include "Logging.h"
#include "MetricsText.h"

#include <csignal>

namespace figsail {

using boost::system::error_code;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

/// Largest request body that is accepted from a client. Each body is buffered
/// completely, and a host has a few hundred megabytes for all of them.
static constexpr std::size_t MaxBufferedBody = std::size_t{8} * 1024 * 1024;
/// Requests of one client connection that are handled together. Bounds the
/// responses that wait for an earlier one.
static constexpr std::size_t MaxPipelinedRequests = 16;
/// Largest number of connections to the backend server. The gate admits at most
/// 512 runs, and fewer when the service's limit is lower, so this bound only
/// guards against leaked connections.
static constexpr std::size_t MaxServerConnections = 1024;
/// Idle time after which a connection to the backend server is closed, because
/// the server may have closed its end.
static constexpr Duration MaxServerIdle = 2s;
/// Time without a TCP acknowledgement after which a connection is closed.
static constexpr Duration UnacknowledgedTimeout = 1500ms;
/// Idle time after which a link to a peer is closed. It is long because opening
/// a link to another region costs two round trips.
static constexpr Duration PeerIdleTimeout = 10min;
/// Longest time for which informational lines stay in the buffer.
static constexpr Duration LogFlushInterval = 250ms;
/// Interval at which the settings file is read again.
static constexpr Duration SettingsInterval = 2s;
/// Time that clients and peers have to read the pending output when the process
/// ends.
static constexpr Duration OutputTimeout = 300ms;
static constexpr Duration OutputPollInterval = 5ms;

static TimePoint now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

static PeerSettings peerSettings(const SidecarSettings &Own) {
  PeerSettings Settings;
  Settings.Region = Own.Region;
  Settings.LinkBytes = Own.LinkBytes;
  Settings.UnacknowledgedLimit = UnacknowledgedTimeout;
  Settings.IdleTimeout = PeerIdleTimeout;
  return Settings;
}

static FrontendSettings
frontendSettings(const SidecarConfiguration &Configuration) {
  FrontendSettings Settings;
  Settings.MaxConnections = Configuration.MaxClientConnections;
  // These clients close a connection only when they no longer wait for a
  // response.
  Settings.ServeHalfClosed = false;
  Settings.MaxPipelined = MaxPipelinedRequests;
  return Settings;
}

static BackendSettings
backendSettings(const SidecarConfiguration &Configuration,
                const SidecarPlatform &Platform) {
  BackendSettings Settings;
  Settings.Address = Configuration.Addresses.Server;
  Settings.MaxConnections = MaxServerConnections;
  Settings.Fields = Platform.Fields;
  Settings.MaxIdleTime = MaxServerIdle;
  Settings.UnacknowledgedLimit = UnacknowledgedTimeout;
  return Settings;
}

SidecarDaemon::SidecarDaemon(boost::asio::io_context &Context,
                             SidecarConfiguration InitialConfiguration,
                             const PlatformFactory &MakePlatform)
    : Context(Context), Random(InitialConfiguration.Settings.Inc),
      Configuration(std::move(InitialConfiguration)),
      Platform(MakePlatform(Context, *this, Configuration)),
      Reducer(Configuration.Settings, *Platform.Records),
      Peers(Context, *this,
            PeerRef{Configuration.Settings.Host, Configuration.Settings.Inc},
            Clock, peerSettings(Configuration.Settings)),
      ClientSettings(frontendSettings(Configuration)),
      Frontend(Context, *this, ClientSettings),
      Backend(Context, static_cast<BackendHandler &>(*this),
              backendSettings(Configuration, Platform)),
      Control(Context,
              [this](const auto &Request, const auto &Reply) {
                controlRequest(Request, Reply);
              }),
      Readiness(Context,
                [this](const auto &Request, const auto &Reply) {
                  readinessRequest(Request, Reply);
                }),
      MetricsService(
          Context,
          [this](const auto &, const auto &Reply) { metricsRequest(Reply); }),
      Signals(Context, SIGTERM, SIGINT, SIGHUP),
      Waker(Context, [this] { submit(TimerFired{}); }), LogTimer(Context),
      SettingsTimer(Context), ExitTimer(Context) {}

SidecarDaemon::~SidecarDaemon() = default;

std::optional<std::string> SidecarDaemon::listen(HttpService &Service,
                                                 const std::string &Address) {
  auto ListenEndpoint = parseEndpoint(Address);
  if (!ListenEndpoint)
    return "\"" + Address + "\" is not an address of the form ip:port";
  try {
    Service.listen(*ListenEndpoint);
  } catch (const boost::system::system_error &Error) {
    return "cannot listen on " + Address + ": " + Error.code().message();
  }
  return std::nullopt;
}

std::optional<std::string> SidecarDaemon::start() {
  const SidecarAddresses &Addresses = Configuration.Addresses;
  if (auto Error = Peers.listen(Configuration.Settings.Host))
    return Error;
  if (auto Error = Frontend.listen(Addresses.Clients))
    return Error;
  if (auto Error = listen(Readiness, Addresses.Readiness))
    return Error;
  if (auto Error = listen(Control, Addresses.Control))
    return Error;
  if (auto Error = listen(MetricsService, Addresses.Metrics))
    return Error;
  waitForSignal();
  armLogTimer();
  armSettingsTimer();
  Decision Line{LogLevel::Info, "started", {}};
  Line.Fields = {{"incarnation", std::to_string(Configuration.Settings.Inc)},
                 {"domain", Configuration.Settings.FailureDomain},
                 {"service", Configuration.Settings.Service},
                 {"clients", Addresses.Clients},
                 {"server", Addresses.Server},
                 {"store", Addresses.Store}};
  perform(Line);
  submit(TimerFired{});
  return std::nullopt;
}

// Input.

void SidecarDaemon::backendDone(BackendDone Done) {
  auto Start = RunStarts.find(Done.Run);
  if (Start != RunStarts.end()) {
    ProcessMetrics.add(Latency::Runs, now() - Start->second);
    RunStarts.erase(Start);
  }
  ServerRunResult Ended{Done.Run, std::move(Done.Result), {}};
  if (const auto *Response = std::get_if<HttpResponse>(&Ended.Result))
    Ended.Metadata = Platform.Fields->readMetadata(*Response);
  submit(std::move(Ended));
}

void SidecarDaemon::probeDone(ProbeDone Done) {
  submit(Platform.Fields->readProbe(Done));
}

void SidecarDaemon::responseRejected(RejectionReason Reason) {
  ProcessMetrics.count(Counter::ResponsesRejected, 1);
  Decision Line{LogLevel::Warning, "server-response-rejected", {}};
  Line.Fields = {{"instance", Reducer.server().instance()},
                 {"reason", std::string(rejectionName(Reason))}};
  perform(Line);
}

/// Accepts every method and target. The route also depends on the Host field,
/// so it is chosen when the request is complete.
HeadDecision SidecarDaemon::checkHead(std::string_view, std::string_view) {
  return ReadBody{std::min(Reducer.clientLimits().BodyBytes, MaxBufferedBody)};
}

void SidecarDaemon::requestReceived(CallerId Caller, HttpRequest Request) {
  // No event is applied any more.
  if (Exiting)
    return Frontend.reply(Caller, errorResponse(ErrorKind::Draining));
  CallStarts[Caller] = now();
  ClientRequest Arrived =
      Platform.Fields->decodeRequest(Caller, std::move(Request));
  Arrived.Late = Frontend.arrivedLate(Caller);
  submit(std::move(Arrived));
}

void SidecarDaemon::clientDisconnected(CallerId Caller) {
  CallStarts.erase(Caller);
  submit(CallerDisconnected{Caller});
}

void SidecarDaemon::peerReceived(PeerReceived Message) {
  submit(std::move(Message));
}
void SidecarDaemon::peerReceiving(const PeerReceiving &Peer) { submit(Peer); }
void SidecarDaemon::peerConnected(PeerConnected Peer) {
  submit(std::move(Peer));
}
void SidecarDaemon::peerLost(PeerLost Lost) { submit(std::move(Lost)); }
void SidecarDaemon::storeEvent(SidecarEventBody Body) {
  submit(std::move(Body));
}

void SidecarDaemon::controlRequest(const HttpService::Request &Request,
                                   const HttpService::Reply &Reply) {
  std::string_view Target(Request.target().data(), Request.target().size());
  std::string_view Method(Request.method_string().data(),
                          Request.method_string().size());
  if (Platform.Reports->isReadinessRequest(Target))
    return readinessRequest(Request, Reply);
  Report Decoded = Platform.Reports->decode(Method, Target, Request.body());
  if (const auto *Invalid = std::get_if<InvalidReport>(&Decoded)) {
    Decision Line{LogLevel::Warning, "report-unusable", {}};
    Line.Fields = {{"target", std::string(Target)},
                   {"reason", Invalid->Reason}};
    perform(Line);
    return Reply(makeResponse(http::int_to_status(Invalid->Status),
                              Invalid->Reason + "\n", "text/plain"));
  }
  ReportId Id = ++LastReportId;
  PendingReports[Id] = Reply;
  if (auto *Heartbeat = std::get_if<ServerHeartbeat>(&Decoded)) {
    Heartbeat->Report = Id;
    return submit(std::move(*Heartbeat));
  }
  auto &Departure = std::get<ServerLeave>(Decoded);
  Departure.Report = Id;
  submit(std::move(Departure));
}

void SidecarDaemon::readinessRequest(const HttpService::Request &,
                                     const HttpService::Reply &Reply) {
  Reply(
      makeResponse(Ready ? http::status::ok : http::status::service_unavailable,
                   Ready ? "ready\n" : "not ready\n", "text/plain"));
}

void SidecarDaemon::metricsRequest(const HttpService::Reply &Reply) {
  MetricsText Text(ProcessMetrics);
  Text.topicTraffic(ProcessMetrics);
  Text.gauge("config_version", Reducer.configVersion().value_or(0));
  Text.gauge("config_bytes", Reducer.configBytes());
  Text.gauge("ready", Ready ? 1 : 0);
  Text.gauge("peer_links", Peers.linkCount());
  Text.gauge("peer_bytes_sent", Peers.bytesSent());
  Text.gauge("peer_bytes_received", Peers.bytesReceived());
  for (const CrossRegionTraffic &Traffic : Peers.crossRegionTraffic())
    Text.crossRegionTraffic(Traffic);
  Text.gauge("log_lines_left_out", Log.suppressed() + droppedLogLines());
  Text.gauge("known_hosts", Reducer.directory().all().size());
  Text.gauge("blocked_requests", Reducer.blockedRequests());
  Text.gauge("server_leaving", Reducer.server().leaving() ? 1 : 0);
  if (std::optional<double> Limit = Reducer.serverRateLimit())
    Text.gauge("server_limit_per_minute",
               static_cast<std::uint64_t>(*Limit * 60));
  Reply(makeResponse(http::status::ok, Text.take(), "text/plain"));
}

void SidecarDaemon::waitForSignal() {
  Signals.async_wait([this](const error_code &Error, int Signal) {
    if (Error)
      return;
    if (Signal == SIGHUP) {
      reloadSettings(true);
    } else {
      Decision Line{LogLevel::Info, "stop", {}};
      perform(Line);
      submit(StopRequested{});
    }
    waitForSignal();
  });
}

/// Reads the settings periodically, since the file may change without a signal.
void SidecarDaemon::armSettingsTimer() {
  SettingsTimer.expires_after(SettingsInterval);
  SettingsTimer.async_wait([this](const error_code &Error) {
    if (Error)
      return;
    reloadSettings(false);
    armSettingsTimer();
  });
}

/// Applies the settings that can change while the daemon runs: the bounds and
/// the address of the store. Invalid settings change nothing.
void SidecarDaemon::reloadSettings(bool OnSignal) {
  SettingsReadResult Read = Platform.ReadSettings();
  if (const auto *Fault = std::get_if<std::string>(&Read)) {
    Decision Line{LogLevel::Error, "settings-unusable", {}};
    Line.Fields = {{"reason", *Fault}};
    return perform(Line);
  }
  auto &Reloaded = std::get<SidecarConfiguration>(Read);
  bool NewBounds = Reloaded.Settings.Bounds != Configuration.Settings.Bounds;
  bool NewStore = Reloaded.Addresses.Store != Configuration.Addresses.Store;
  if (!OnSignal && !NewBounds && !NewStore)
    return;
  Decision Line{LogLevel::Info, "reload", {}};
  Line.Fields = {{"bounds", NewBounds ? "changed" : "unchanged"},
                 {"store", Reloaded.Addresses.Store}};
  perform(Line);
  Configuration.Settings.Bounds = Reloaded.Settings.Bounds;
  Configuration.Addresses.Store = Reloaded.Addresses.Store;
  if (NewStore)
    Platform.Store->setAddress(Reloaded.Addresses.Store);
  if (NewBounds)
    submit(BoundsChanged{Reloaded.Settings.Bounds});
}

void SidecarDaemon::armLogTimer() {
  LogTimer.expires_after(LogFlushInterval);
  LogTimer.async_wait([this](const error_code &Error) {
    if (Error)
      return;
    flushLog();
    armLogTimer();
  });
}

// Events.

void SidecarDaemon::submit(SidecarEventBody Body) {
  bool Emptied =
      PendingEvents.submit(std::move(Body), [this](SidecarEventBody Next) {
        apply(std::move(Next));
      });
  if (Emptied)
    Waker.arm(Exiting ? TimePoint::max() : Reducer.nextWake());
}

void SidecarDaemon::apply(SidecarEventBody Body) {
  if (Exiting)
    return;
  SidecarEvent Input{now(), Random(), std::move(Body)};
  for (SidecarEffect &Action : Reducer.apply(std::move(Input)))
    std::visit([this](auto &Body) { perform(Body); }, Action);
}

// Effects.

void SidecarDaemon::perform(ReplyCaller &Action) {
  auto Start = CallStarts.find(Action.Caller);
  if (Start != CallStarts.end()) {
    ProcessMetrics.add(Latency::Calls, now() - Start->second);
    CallStarts.erase(Start);
  }
  Frontend.reply(Action.Caller, std::move(Action.Response));
}

void SidecarDaemon::perform(SendPeer &Action) {
  Peers.send(Action.Host, std::move(Action.Message));
}

void SidecarDaemon::perform(ResetPeer &Action) { Peers.reset(Action.Host); }

void SidecarDaemon::perform(StartRun &Action) {
  RunStarts[Action.Run] = now();
  Platform.Fields->requireInstance(Action.Request, Action.Instance);
  Platform.Fields->setWorkspace(Action.Request, Action.Workspace);
  Backend.run(Action.Run, std::move(Action.Request), Action.Budget);
}

void SidecarDaemon::perform(CancelRun &Action) { Backend.cancel(Action.Run); }

void SidecarDaemon::perform(ProbeServer &Action) {
  Backend.probe(Action.Target);
}

void SidecarDaemon::perform(AnswerReport &Action) {
  auto Found = PendingReports.extract(Action.Report);
  if (Found.empty())
    return;
  if (!Action.Accepted)
    return Found.mapped()(makeResponse(http::status::bad_request,
                                       "the report names no usable server\n",
                                       "text/plain"));
  auto [Type, Text] = Platform.Reports->acknowledgement();
  Found.mapped()(makeResponse(http::status::ok, std::move(Text), Type));
}

void SidecarDaemon::perform(ReadTopicSnapshot &Action) {
  ProcessMetrics.countStoreCall(StoreCall::Snapshot);
  Platform.Store->readSnapshot(Action);
}

void SidecarDaemon::perform(ReadTopic &Action) {
  ProcessMetrics.countStoreCall(StoreCall::Read);
  Platform.Store->read(Action);
}

void SidecarDaemon::perform(AbandonReads &Action) {
  Platform.Store->abandonReads(Action.Which);
}

void SidecarDaemon::perform(SetStoreTimeout &Action) {
  Platform.Store->setTimeout(Action.Timeout);
}

void SidecarDaemon::perform(Announce &Action) {
  ProcessMetrics.countStoreCall(StoreCall::Append);
  Platform.Store->append(Action.Content);
}

void SidecarDaemon::perform(RemoveHost &Action) {
  ProcessMetrics.countStoreCall(StoreCall::Remove);
  Platform.Store->removeHost(Action.Host);
}

void SidecarDaemon::perform(AppendRolloutShare &Action) {
  ProcessMetrics.countStoreCall(StoreCall::Append);
  Platform.Store->appendShare(Action.Content);
}

void SidecarDaemon::perform(AppendBlockedRequest &Action) {
  ProcessMetrics.countStoreCall(Action.Content.Active ? StoreCall::Append
                                                      : StoreCall::Remove);
  Platform.Store->appendBlocked(Action.Content);
}

void SidecarDaemon::perform(ReadRolloutStatus &) {
  ProcessMetrics.countStoreCall(StoreCall::Snapshot);
  Platform.Store->readRolloutStatus();
}

void SidecarDaemon::perform(WriteRolloutStatus &Action) {
  ProcessMetrics.countStoreCall(StoreCall::Append);
  Platform.Store->writeRolloutStatus(Action.Content, Action.End);
}

void SidecarDaemon::perform(SetClientLimits &Action) {
  ClientSettings.MaxHead = Action.Limits.HeadBytes;
  ClientSettings.HeadTimeout = Action.Limits.HeadTimeout;
  ClientSettings.IdleTimeout = Action.Limits.IdleTimeout;
  Frontend.configure(ClientSettings);
}

void SidecarDaemon::perform(SetReadiness &Action) {
  Ready = Action.Ready;
  Decision Line{LogLevel::Info, Ready ? "ready" : "not-ready", {}};
  perform(Line);
}

void SidecarDaemon::perform(CloseClients &) {
  Frontend.drain();
  waitForClients();
}

/// Submits an event when the last request in progress has been answered.
void SidecarDaemon::waitForClients() {
  ExitTimer.expires_after(OutputPollInterval);
  ExitTimer.async_wait([this](const error_code &Error) {
    if (Error)
      return;
    if (Frontend.busyConnections() == 0)
      submit(ClientsDrained{});
    else
      waitForClients();
  });
}

void SidecarDaemon::perform(Decision &Action) { Log.write(now(), Action); }

void SidecarDaemon::perform(Count &Action) {
  ProcessMetrics.count(Action.Which, Action.By);
}

void SidecarDaemon::perform(CountRefusal &Action) {
  ProcessMetrics.countRefusal(Action.Source, Action.Reason);
}

void SidecarDaemon::perform(CountTopicRecords &Action) {
  ProcessMetrics.countTopicRecords(Action.Which, Action.Volume);
}

void SidecarDaemon::perform(ExitProcess &) {
  if (Exiting)
    return;
  Exiting = true;
  Frontend.drain();
  Frontend.refuseUnread();
  finishOutput(now() + OutputTimeout);
}

/// Stops the event loop when clients and peers have read all output, at the
/// latest at Deadline.
void SidecarDaemon::finishOutput(TimePoint Deadline) {
  Peers.close();
  bool Finished = Frontend.busyConnections() == 0 && Peers.linkCount() == 0;
  if (Finished || now() >= Deadline) {
    Decision Line{LogLevel::Info, "stopped", {}};
    perform(Line);
    flushLog();
    Context.stop();
    return;
  }
  ExitTimer.expires_after(OutputPollInterval);
  ExitTimer.async_wait([this, Deadline](const error_code &Error) {
    if (!Error)
      finishOutput(Deadline);
  });
}

} // namespace figsail
