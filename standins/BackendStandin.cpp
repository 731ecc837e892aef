// BackendStandin.cpp - Simulator of a backend server.

#include "BackendStandin.h"
#include "EchoBody.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cmath>
#include <cstdlib>

namespace figsail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using boost::system::error_code;

// Slots and service-time factor of a cold backend server. Both change linearly
// to their warm values over the cold start.
static constexpr std::uint32_t ColdSlots = 2;
static constexpr double ColdSlowdown = 4;

// Requests beyond this multiple of the slots overload a cold backend server.
static constexpr std::uint32_t ColdOverloadFactor = 2;

// Cold start after POST /_control?cold=1 when the settings have none.
static constexpr std::chrono::seconds DefaultColdStart{10};

static constexpr std::chrono::milliseconds HealthSamplePeriod{100};
static constexpr std::chrono::milliseconds DrainPollPeriod{5};

// Exit status of a simulated crash.
static constexpr int CrashStatus = 3;

static TimePoint now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// A queued or running request.
struct BackendStandin::ActiveRequest {
  explicit ActiveRequest(asio::io_context &Context) : Timer(Context) {}

  CallerId Caller = 0;
  HttpRequest Request;
  asio::steady_timer Timer; ///< Fires at the end of the run or the deadline.
  TimePoint Deadline = TimePoint::max();  ///< When the client stops waiting.
  std::optional<std::size_t> RecordIndex; ///< Set once the run starts.
  bool Ended = false;
};

std::pair<std::string, std::map<std::string, std::string>>
splitTarget(std::string_view Target) {
  std::map<std::string, std::string> Parameters;
  std::size_t QuestionMark = Target.find('?');
  std::string Path(Target.substr(0, QuestionMark));
  std::string_view Remaining = QuestionMark == std::string_view::npos
                                   ? ""
                                   : Target.substr(QuestionMark + 1);
  while (!Remaining.empty()) {
    std::size_t End = std::min(Remaining.find('&'), Remaining.size());
    std::string_view Pair = Remaining.substr(0, End);
    Remaining.remove_prefix(std::min(End + 1, Remaining.size()));
    std::size_t Equals = std::min(Pair.find('='), Pair.size());
    std::string_view Value = Pair.substr(std::min(Equals + 1, Pair.size()));
    Parameters[std::string(Pair.substr(0, Equals))] = std::string(Value);
  }
  return {Path, Parameters};
}

static FrontendSettings frontendSettings(const BackendStandinSettings &From) {
  FrontendSettings Settings;
  Settings.MaxConnections = From.MaxConnections;
  Settings.IdleTimeout = std::chrono::minutes(10);
  // A client that closes its connection cancels its request.
  Settings.ServeHalfClosed = false;
  return Settings;
}

BackendStandin::BackendStandin(asio::io_context &Context,
                               const BackendStandinSettings &Settings,
                               RunRecorder &Recorder)
    : Context(Context), Settings(Settings), Recorder(Recorder),
      Frontend(Context, *this, frontendSettings(Settings)),
      Random(Settings.Seed), ColdSince(now()), HealthTimer(Context),
      DrainTimer(Context) {
  Control.Health = Settings.Health;
}

BackendStandin::~BackendStandin() = default;

std::optional<std::string> BackendStandin::listen(const std::string &Address) {
  sampleHealth();
  return Frontend.listen(Address);
}

HeadDecision BackendStandin::checkHead(std::string_view /*Method*/,
                                       std::string_view /*Target*/) {
  return ReadBody{Settings.MaxBody};
}

static HttpResponse textResponse(std::uint32_t Status, std::string Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers = {{"Content-Type", "text/plain"}};
  Response.Body = std::move(Body);
  return Response;
}

void BackendStandin::requestReceived(CallerId Caller, HttpRequest Request) {
  auto [Path, Parameters] = splitTarget(Request.Target);
  if (Path == "/health")
    replyHealth(Caller);
  else if (Path == "/_runs")
    Frontend.reply(Caller, textResponse(200, Recorder.text()));
  else if (Path == "/_control")
    Frontend.reply(Caller, control(Parameters));
  else
    serve(Caller, std::move(Request));
}

void BackendStandin::clientDisconnected(CallerId Caller) {
  auto Found = ActiveRequests.find(Caller);
  if (Found == ActiveRequests.end())
    return;
  ActiveRequestPtr Dropped = Found->second;
  drop(Dropped, false);
}

void BackendStandin::serve(CallerId Caller, HttpRequest Request) {
  if (Control.Draining) {
    replyNotRun(Caller, "draining");
    return;
  }
  if (Control.FailFast) {
    replyServed(Caller, textResponse(500, "failing fast\n"));
    return;
  }
  auto Active = std::make_shared<ActiveRequest>(Context);
  Active->Caller = Caller;
  Active->Request = std::move(Request);
  std::string_view Budget =
      findHeader(Active->Request.Headers, "Figsail-Deadline-Ms");
  std::int64_t Millis = 0;
  auto [End, ParseError] =
      std::from_chars(Budget.data(), Budget.data() + Budget.size(), Millis);
  if (!Budget.empty() && ParseError == std::errc())
    Active->Deadline = now() + std::chrono::milliseconds(Millis);
  enqueue(Active);
}

void BackendStandin::enqueue(const ActiveRequestPtr &Active) {
  bool Cold = coldFraction() > 0;
  std::size_t Limit = capacity();
  if (Cold)
    Limit *= ColdOverloadFactor;
  bool Overloaded = Running + Queue.size() >= Limit;
  OverloadMode Mode = Cold ? Settings.ColdOverload : Settings.Overload;
  if (Overloaded && Mode == OverloadMode::Crash)
    std::_Exit(CrashStatus);
  if (Overloaded && Mode == OverloadMode::Shed) {
    replyNotRun(Active->Caller, "overloaded");
    return;
  }
  ActiveRequests[Active->Caller] = Active;
  Queue.push_back(Active);
  if (Active->Deadline != TimePoint::max()) {
    Active->Timer.expires_at(Active->Deadline);
    Active->Timer.async_wait([this, Active](error_code Error) {
      if (!Error && !Active->RecordIndex)
        drop(Active, true);
    });
  }
  startQueued();
}

void BackendStandin::startQueued() {
  while (!Queue.empty() && Running < capacity()) {
    ActiveRequestPtr Next = Queue.front();
    Queue.pop_front();
    run(Next);
  }
}

void BackendStandin::run(const ActiveRequestPtr &Next) {
  RunRecord Record;
  Record.RequestId = findHeader(Next->Request.Headers, "X-Request-Id");
  Record.AttemptId = findHeader(Next->Request.Headers, "X-Attempt-Id");
  Record.BookingId = findHeader(Next->Request.Headers, "Booking-Id");
  ++Running;
  Next->RecordIndex = Recorder.start(std::move(Record));
  if (findHeader(Next->Request.Headers, "X-Crash") == "1")
    std::_Exit(CrashStatus);
  TimePoint RunEnd = now() + serviceTime();
  bool BeforeDeadline = RunEnd <= Next->Deadline;
  Next->Timer.expires_at(std::min(RunEnd, Next->Deadline));
  Next->Timer.async_wait([this, Next, BeforeDeadline](error_code) {
    if (Next->Ended)
      return;
    if (BeforeDeadline)
      finish(Next);
    else
      drop(Next, true);
  });
}

void BackendStandin::finish(const ActiveRequestPtr &Finished) {
  Finished->Ended = true;
  ActiveRequests.erase(Finished->Caller);
  --Running;
  Recorder.end(*Finished->RecordIndex);
  std::string_view Id = findHeader(Finished->Request.Headers, "X-Request-Id");
  HttpResponse Response =
      textResponse(200, makeEchoBody(Id, Settings.ResponseBytes));
  Response.Headers.emplace_back("X-Request-Id", Id);
  replyServed(Finished->Caller, std::move(Response));
  startQueued();
}

/// Drops a request whose client disconnected or whose deadline has passed.
void BackendStandin::drop(const ActiveRequestPtr &Dropped, bool Reply) {
  if (Dropped->Ended)
    return;
  Dropped->Ended = true;
  Dropped->Timer.cancel();
  ActiveRequests.erase(Dropped->Caller);
  if (!Dropped->RecordIndex) {
    std::erase(Queue, Dropped);
    if (Reply)
      replyNotRun(Dropped->Caller, "deadline passed in the queue");
    return;
  }
  --Running;
  Recorder.end(*Dropped->RecordIndex);
  if (Reply)
    replyServed(Dropped->Caller,
                textResponse(504, "deadline passed while running\n"));
  startQueued();
}

void BackendStandin::replyNotRun(CallerId Caller, const char *Reason) {
  HttpResponse Response = textResponse(503, std::string(Reason) + "\n");
  Response.Headers.emplace_back("Backend-Not-Run", "1");
  if (Control.RepeatRefusalAfter)
    repeatLater(Caller, Response);
  replyServed(Caller, std::move(Response));
}

/// Returns the head of a response as bytes.
static std::string responseHead(const HttpResponse &Response,
                                std::string_view Reason) {
  std::string Head = "HTTP/1.1 " + std::to_string(Response.Status) + " ";
  Head.append(Reason).append("\r\nContent-Length: ");
  Head.append(std::to_string(Response.Body.size())).append("\r\n");
  for (const auto &[Name, Value] : Response.Headers)
    Head.append(Name).append(": ").append(Value).append("\r\n");
  return Head.append("\r\n");
}

/// Plays a server that writes a refusal twice on one connection.
void BackendStandin::repeatLater(CallerId Caller, const HttpResponse &Refusal) {
  std::string Copy = responseHead(Refusal, "Repeated") + Refusal.Body;
  auto Timer = std::make_shared<asio::steady_timer>(Context);
  Timer->expires_after(*Control.RepeatRefusalAfter);
  Timer->async_wait([Timer, Copy = std::move(Copy),
                     Write = Frontend.rawWriter(Caller)](error_code Error) {
    if (!Error)
      Write(Copy);
  });
}

/// Returns the error page that is written behind a cut response. It has the id
/// of the request, so that a client can't tell by it that the page is another
/// response.
static std::string errorPage(const HttpResponse &Cut) {
  HttpResponse Page = textResponse(500, "error page\n");
  std::string_view Id = findHeader(Cut.Headers, "X-Request-Id");
  if (!Id.empty())
    Page.Headers.emplace_back("X-Request-Id", Id);
  return responseHead(Page, "Internal Server Error") + Page.Body;
}

/// Replies to a request that is no health probe, and cuts the response as
/// control() has set it.
void BackendStandin::replyServed(CallerId Caller, HttpResponse Response) {
  addNamedFields(Response);
  if (!Control.CutHeadAfter) {
    Frontend.reply(Caller, std::move(Response));
    return;
  }
  auto Reason = http::obsolete_reason(http::int_to_status(Response.Status));
  std::string Written = responseHead(Response, Reason);
  Written.resize(std::min(Written.size(), *Control.CutHeadAfter));
  if (Control.ErrorPageBehindCut)
    Written += errorPage(Response);
  Frontend.endRaw(Caller, Written);
}

/// Names the limit and the leaving that control() has set.
void BackendStandin::addNamedFields(HttpResponse &Response) const {
  if (!Control.NamedLimit.empty())
    Response.Headers.emplace_back(Settings.LimitField, Control.NamedLimit);
  if (Control.NamesLeaving)
    Response.Headers.emplace_back(Settings.LeavingField, "1");
}

/// Returns the remaining fraction of the cold start: 1 at its start, 0 when
/// warm.
double BackendStandin::coldFraction() const {
  if (Settings.ColdStart.count() == 0)
    return 0;
  std::chrono::duration<double> Elapsed = now() - ColdSince;
  std::chrono::duration<double> Total = Settings.ColdStart;
  return std::max(0.0, 1 - Elapsed / Total);
}

std::uint32_t BackendStandin::capacity() const {
  if (Settings.Slots <= ColdSlots)
    return Settings.Slots;
  double AddedSlots = (1 - coldFraction()) * (Settings.Slots - ColdSlots);
  return ColdSlots + static_cast<std::uint32_t>(std::floor(AddedSlots));
}

Duration BackendStandin::serviceTime() {
  std::uniform_real_distribution<double> JitterDistribution(-Settings.Jitter,
                                                            Settings.Jitter);
  double ColdFactor = 1 + coldFraction() * (ColdSlowdown - 1);
  double Factor =
      Control.SlowFactor * ColdFactor * (1 + JitterDistribution(Random));
  auto Micros = static_cast<double>(Settings.ServiceTime.count()) * Factor;
  return Duration(static_cast<Duration::rep>(Micros));
}

bool BackendStandin::healthy() const {
  return !Control.Draining && Running + Queue.size() <= capacity();
}

void BackendStandin::replyHealth(CallerId Caller) {
  auto Timer = std::make_shared<asio::steady_timer>(Context);
  Timer->expires_after(Settings.HealthDelay);
  Timer->async_wait([this, Caller, Timer](error_code Error) {
    if (Error)
      return;
    HttpResponse Response = healthResponse();
    addNamedFields(Response);
    Frontend.reply(Caller, std::move(Response));
  });
}

/// Builds the health response. HealthMode::Delayed reports the newest sample
/// that is at least HealthLag old, and healthy as long as there is none.
HttpResponse BackendStandin::healthResponse() const {
  bool Reported = Control.Health == HealthMode::AlwaysHealthy || healthy();
  if (Control.Health == HealthMode::Delayed) {
    Reported = true;
    for (const auto &[SampledAt, Sample] : HealthHistory) {
      if (SampledAt > now() - Settings.HealthLag)
        break;
      Reported = Sample;
    }
  }
  json::object Body{{"healthy", Reported},
                    {"running", Running},
                    {"queued", Queue.size()},
                    {"slots", capacity()}};
  HttpResponse Response = textResponse(Reported ? 200 : 503, "");
  Response.Body = json::serialize(Body) + "\n";
  Response.Headers = {{"Content-Type", "application/json"}};
  return Response;
}

HttpResponse BackendStandin::control(const QueryParameters &Parameters) {
  auto Changed = changedControl(Control, Parameters);
  if (const auto *Error = std::get_if<std::string>(&Changed))
    return textResponse(400, *Error + "\n");
  Control = std::get<BackendControl>(std::move(Changed));
  if (Parameters.contains("cold"))
    restartColdPeriod();
  return healthResponse();
}

void BackendStandin::restartColdPeriod() {
  if (Settings.ColdStart.count() == 0)
    Settings.ColdStart = DefaultColdStart;
  ColdSince = now();
}

void BackendStandin::sampleHealth() {
  TimePoint Now = now();
  HealthHistory.emplace_back(Now, healthy());
  // Keeps one sample older than HealthLag: the one that is reported.
  while (HealthHistory.size() > 1 &&
         HealthHistory[1].first <= Now - Settings.HealthLag)
    HealthHistory.pop_front();
  HealthTimer.expires_after(HealthSamplePeriod);
  HealthTimer.async_wait([this](error_code Error) {
    if (!Error)
      sampleHealth();
  });
}

void BackendStandin::drain(std::function<void()> WhenDrained) {
  if (OnDrained)
    return;
  OnDrained = std::move(WhenDrained);
  Control.Draining = true;
  Frontend.drain();
  checkDrained();
}

void BackendStandin::checkDrained() {
  if (ActiveRequests.empty() && Frontend.busyConnections() == 0) {
    HealthTimer.cancel();
    OnDrained();
    return;
  }
  DrainTimer.expires_after(DrainPollPeriod);
  DrainTimer.async_wait([this](error_code Error) {
    if (!Error)
      checkDrained();
  });
}

} // namespace figsail
