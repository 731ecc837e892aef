// Daemon.cpp - Adapter between the reducer and sockets, clocks and signals.

#include "Daemon.h"

#include "Logging.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <csignal>

namespace figsail {

using boost::system::error_code;

/// Response field in which the executor reports the duration of the run to the
/// ingress, in microseconds. The ingress removes it before it sends the
/// response to the client.
static constexpr std::string_view RunTimeField = "Figsail-Run-Time";

/// Timeout of each request to the log service. For a read, it is added to the
/// time that the service may wait for a record.
static constexpr std::chrono::seconds LogTimeout{3};

/// Time that clients and peers have to read the pending output when the process
/// ends.
static constexpr std::chrono::seconds OutputTimeout{2};
static constexpr std::chrono::milliseconds OutputPollInterval{5};

static TimePoint now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Seeds the generator with 16 random words. With a single 32-bit seed,
/// incarnations of different daemons would collide.
static std::mt19937_64 makeRandom() {
  std::random_device Source;
  std::array<std::random_device::result_type, 16> Words{};
  std::ranges::generate(Words, std::ref(Source));
  std::seed_seq Seed(Words.begin(), Words.end());
  return std::mt19937_64(Seed);
}

static ProcessSettings withIncarnation(ProcessSettings Settings,
                                       std::mt19937_64 &Random) {
  do
    Settings.Node.Self.Inc = Random();
  while (Settings.Node.Self.Inc == 0);
  return Settings;
}

static BackendSettings backendSettings(const ProcessSettings &Settings) {
  BackendSettings Result;
  Result.Address = Settings.BackendAddress;
  Result.HealthTarget = Settings.HealthTarget;
  Result.MaxConnections = Settings.BackendConnections;
  return Result;
}

Daemon::Daemon(boost::asio::io_context &Context,
               ProcessSettings InitialSettings)
    : Context(Context), Random(makeRandom()),
      Settings(withIncarnation(std::move(InitialSettings), Random)),
      RecentEvents(Settings.TimelineSize), Reducer(Settings.Node),
      Peers(Context, *this,
            PeerRef{Settings.Node.Self.Host, Settings.Node.Self.Inc}, Clock,
            PeerSettings()),
      Frontend(Context, *this, FrontendSettings()),
      Log(Context, *this, Settings.LogAddress, LogTimeout),
      Operators(Context, {Settings.Node.Self, Reducer, Peers, ProcessMetrics,
                          RecentEvents}),
      Signals(Context, SIGTERM, SIGINT),
      Waker(Context, [this] { submit(TimerFired{}); }), ExitTimer(Context) {
  if (!Settings.BackendAddress.empty())
    Backend = std::make_unique<BackendClient>(
        Context, static_cast<BackendHandler &>(*this),
        backendSettings(Settings));
}

Daemon::~Daemon() = default;

std::optional<std::string> Daemon::start() {
  const Member &Self = Settings.Node.Self;
  if (auto Error = Peers.listen(Self.Host))
    return Error;
  if (auto Error = Operators.listen(Self.OperatorAddress))
    return Error;
  if (auto Error = Frontend.listen(Self.HttpAddress))
    return Error;
  waitForSignal();
  logInfo("daemon", "started: host " + Self.Host + ", incarnation " +
                        std::to_string(Self.Inc) + ", clients at " +
                        Self.HttpAddress);
  submit(TimerFired{});
  return std::nullopt;
}

// Input.

static void removeRunTime(HttpResponse &Response) {
  std::erase_if(Response.Headers, [](const auto &Field) {
    return boost::beast::iequals(Field.first, RunTimeField);
  });
}

void Daemon::backendDone(BackendDone Done) {
  auto Start = RunStarts.find(Done.Run);
  if (Start != RunStarts.end()) {
    Duration Elapsed = now() - Start->second;
    RunStarts.erase(Start);
    if (auto *Response = std::get_if<HttpResponse>(&Done.Result)) {
      ProcessMetrics.add(Latency::Runs, Elapsed);
      removeRunTime(*Response);
      Response->Headers.emplace_back(RunTimeField,
                                     std::to_string(Elapsed.count()));
    }
  }
  submit(std::move(Done));
}

void Daemon::probeDone(ProbeDone Done) { submit(Done); }

void Daemon::responseRejected(RejectionReason) {
  ProcessMetrics.count(Counter::ResponsesRejected, 1);
}

HeadDecision Daemon::checkHead(std::string_view Method,
                               std::string_view Target) {
  return Reducer.checkHead(Method, Target);
}

void Daemon::requestReceived(CallerId Caller, HttpRequest Request) {
  // No event is applied any more.
  if (Exiting)
    return Frontend.reply(Caller, errorResponse(ErrorKind::Draining));
  CallStarts[Caller] = now();
  submit(CallerRequest{Caller, std::move(Request)});
}

void Daemon::clientDisconnected(CallerId Caller) {
  CallStarts.erase(Caller);
  submit(CallerDisconnected{Caller});
}

void Daemon::logRead(LogRead Read) { submit(std::move(Read)); }
void Daemon::logReadFailed() { submit(LogReadFailed{}); }
void Daemon::appendDone(AppendDone Done) { submit(Done); }
void Daemon::peerReceived(PeerReceived Message) { submit(std::move(Message)); }
void Daemon::peerConnected(PeerConnected Peer) { submit(std::move(Peer)); }
void Daemon::peerLost(PeerLost Lost) { submit(std::move(Lost)); }

void Daemon::waitForSignal() {
  Signals.async_wait([this](const error_code &Error, int) {
    if (Error)
      return;
    stopRequested();
    waitForSignal();
  });
}

/// Ignores further signals, since the drain limit bounds the time of the stop.
void Daemon::stopRequested() {
  if (Stopping)
    return;
  Stopping = true;
  logInfo("daemon", "stop requested");
  Frontend.drain();
  submit(StopRequested{});
}

// Events.

void Daemon::submit(EventBody Body) {
  bool Emptied = PendingEvents.submit(
      std::move(Body), [this](EventBody Next) { apply(std::move(Next)); });
  if (Emptied)
    Waker.arm(Exiting ? TimePoint::max() : Reducer.nextWake());
}

void Daemon::apply(EventBody Body) {
  if (Exiting)
    return;
  Event Input{now(), Random(), std::move(Body)};
  for (Effect &Action : Reducer.apply(std::move(Input)))
    std::visit([this](auto &Body) { perform(Body); }, Action);
}

// Effects.

void Daemon::perform(ReplyCaller &Action) {
  measureReply(Action.Caller, Action.Response);
  Frontend.reply(Action.Caller, std::move(Action.Response));
}

/// Records the latency of a call, and the time that figsail added to its run if
/// there was one. A replayed response carries the duration of its original run.
/// A duration above the latency of this call does not belong to it, and is not
/// counted.
void Daemon::measureReply(CallerId Caller, HttpResponse &Response) {
  Duration RunTime{-1};
  std::string_view Text = findHeader(Response.Headers, RunTimeField);
  if (!Text.empty()) {
    Duration::rep Micros = -1;
    std::from_chars(Text.data(), Text.data() + Text.size(), Micros);
    RunTime = Duration(Micros);
    removeRunTime(Response);
  }
  auto Start = CallStarts.find(Caller);
  if (Start == CallStarts.end())
    return;
  Duration Elapsed = now() - Start->second;
  CallStarts.erase(Start);
  ProcessMetrics.add(Latency::Calls, Elapsed);
  if (RunTime.count() >= 0 && Elapsed >= RunTime)
    ProcessMetrics.add(Latency::Added, Elapsed - RunTime);
}

void Daemon::perform(SendPeer &Action) {
  Peers.send(Action.Host, std::move(Action.Message));
}

void Daemon::perform(ResetPeer &Action) { Peers.reset(Action.Host); }

void Daemon::perform(ResetAllPeers &) {
  Peers.resetAll();
  PendingEvents.removeIf([](const EventBody &Body) {
    return std::holds_alternative<PeerReceived>(Body);
  });
}

void Daemon::perform(RunBackend &Action) {
  if (!Backend)
    return submit(BackendDone{Action.Run, BackendError::NotSent});
  RunStarts[Action.Run] = now();
  Backend->run(Action.Run, std::move(Action.Request), Action.Budget);
}

void Daemon::perform(CancelRun &Action) {
  if (Backend)
    Backend->cancel(Action.Run);
}

void Daemon::perform(ProbeBackend &) {
  if (Backend)
    Backend->probe();
  else
    submit(ProbeDone{});
}

void Daemon::perform(ReadLog &Action) { Log.read(Action.From, Action.Wait); }

void Daemon::perform(AppendLog &Action) {
  Log.append(Action.Append, std::move(Action.Data));
}

/// Returns whether entries of a kind are also written to the log. These are the
/// changes of state that operators act on.
static bool isLogged(TraceKind Kind) {
  switch (Kind) {
  case TraceKind::MemberJoined:
  case TraceKind::MemberLeft:
  case TraceKind::MemberSuspected:
  case TraceKind::DrainStarted:
  case TraceKind::DrainEnded:
  case TraceKind::LogLost:
  case TraceKind::LogRecovered:
    return true;
  default:
    return false;
  }
}

void Daemon::perform(Trace &Action) {
  if (isLogged(Action.Kind))
    logInfo("daemon", std::string(traceKindName(Action.Kind)) + " " +
                          Action.Subject + " " + Action.Detail);
  RecentEvents.add(Clock.tick(), std::move(Action));
}

void Daemon::perform(Count &Action) {
  ProcessMetrics.count(Action.Which, Action.By);
}

void Daemon::perform(ExitProcess &) {
  if (Exiting)
    return;
  Exiting = true;
  Frontend.drain();
  Frontend.refuseUnread();
  finishOutput(now() + OutputTimeout);
}

/// Stops the event loop when clients and peers have read all output, at the
/// latest at Deadline.
void Daemon::finishOutput(TimePoint Deadline) {
  Peers.close();
  bool Finished = Frontend.busyConnections() == 0 && Peers.linkCount() == 0;
  if (Finished || now() >= Deadline) {
    logInfo("daemon", "stopped");
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
