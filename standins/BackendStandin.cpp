// BackendStandin.cpp - Simulates a backend server.

#include "BackendStandin.h"
#include "EchoBody.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cmath>
#include <cstdlib>

namespace figsail {

namespace asio = boost::asio;
namespace json = boost::json;
using boost::system::error_code;

// A cold backend server has this many slots and is this much slower; both reach
// the warm value linearly.
static constexpr std::uint32_t ColdSlots = 2;
static constexpr double ColdSlowness = 4;

// Requests beyond this multiple of the slots overload a cold backend server.
static constexpr std::uint32_t ColdOverloadFactor = 2;

// Cold start after POST /_control?cold=1 when none was set.
static constexpr std::chrono::seconds DefaultColdStart{10};

static constexpr std::chrono::milliseconds HealthSampling{100};
static constexpr std::chrono::milliseconds DrainPolling{5};

// Exit status of a simulated crash.
static constexpr int CrashStatus = 3;

static TimePoint now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// One request of the service.
struct BackendStandin::Work {
  explicit Work(asio::io_context &Context) : Timer(Context) {}

  CallerId Caller = 0;
  HttpRequest Request;
  asio::steady_timer Timer;               ///< End of the run or deadline.
  TimePoint Deadline = TimePoint::max();  ///< When the caller gives up.
  std::optional<std::size_t> RecordIndex; ///< Set while and after it runs.
  bool Ended = false;
};

std::pair<std::string, std::map<std::string, std::string>>
splitTarget(std::string_view Target) {
  std::map<std::string, std::string> Given;
  std::size_t Mark = Target.find('?');
  std::string Path(Target.substr(0, Mark));
  std::string_view Rest =
      Mark == std::string_view::npos ? "" : Target.substr(Mark + 1);
  while (!Rest.empty()) {
    std::size_t End = std::min(Rest.find('&'), Rest.size());
    std::string_view Pair = Rest.substr(0, End);
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
    std::size_t Equals = std::min(Pair.find('='), Pair.size());
    std::string_view Value = Pair.substr(std::min(Equals + 1, Pair.size()));
    Given[std::string(Pair.substr(0, Equals))] = std::string(Value);
  }
  return {Path, Given};
}

static FrontendSettings frontendSettings(const BackendStandinSettings &From) {
  FrontendSettings Settings;
  Settings.MaxConnections = From.MaxConnections;
  Settings.IdleTimeout = std::chrono::minutes(10);
  // A caller that closes cancels its request.
  Settings.ServeHalfClosed = false;
  return Settings;
}

BackendStandin::BackendStandin(asio::io_context &Context,
                               BackendStandinSettings Settings,
                               RunRecorder &Recorder)
    : Context(Context), Settings(Settings), Recorder(Recorder),
      Frontend(Context, *this, frontendSettings(Settings)),
      Random(Settings.Seed), ColdSince(now()), HealthTimer(Context),
      DrainTimer(Context) {}

BackendStandin::~BackendStandin() = default;

std::optional<std::string> BackendStandin::listen(const std::string &Address) {
  sampleHealth();
  return Frontend.listen(Address);
}

HeadVerdict BackendStandin::checkHead(std::string_view /*Method*/,
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
  auto [Path, Given] = splitTarget(Request.Target);
  if (Path == "/health")
    health(Caller);
  else if (Path == "/_runs")
    Frontend.reply(Caller, textResponse(200, Recorder.text()));
  else if (Path == "/_control")
    Frontend.reply(Caller, control(Given));
  else
    serve(Caller, std::move(Request));
}

void BackendStandin::clientDisconnected(CallerId Caller) {
  auto Found = Works.find(Caller);
  if (Found == Works.end())
    return;
  WorkPtr Dropped = Found->second;
  abandon(Dropped, false);
}

void BackendStandin::serve(CallerId Caller, HttpRequest Request) {
  if (Draining) {
    notRun(Caller, "draining");
    return;
  }
  if (FailFast) {
    Frontend.reply(Caller, textResponse(500, "failing fast\n"));
    return;
  }
  auto New = std::make_shared<Work>(Context);
  New->Caller = Caller;
  New->Request = std::move(Request);
  std::string_view Budget =
      findHeader(New->Request.Headers, "Figsail-Deadline-Ms");
  std::int64_t Millis = 0;
  auto [End, Fault] =
      std::from_chars(Budget.data(), Budget.data() + Budget.size(), Millis);
  if (!Budget.empty() && Fault == std::errc())
    New->Deadline = now() + std::chrono::milliseconds(Millis);
  enqueue(New);
}

void BackendStandin::enqueue(const WorkPtr &New) {
  bool Cold = coldness() > 0;
  std::size_t Bound = capacity();
  if (Cold)
    Bound *= ColdOverloadFactor;
  bool Overloaded = Running + Queue.size() >= Bound;
  OverloadMode Mode = Cold ? Settings.ColdOverload : Settings.Overload;
  if (Overloaded && Mode == OverloadMode::Crash)
    std::_Exit(CrashStatus);
  if (Overloaded && Mode == OverloadMode::Shed) {
    notRun(New->Caller, "overloaded");
    return;
  }
  Works[New->Caller] = New;
  Queue.push_back(New);
  if (New->Deadline != TimePoint::max()) {
    New->Timer.expires_at(New->Deadline);
    New->Timer.async_wait([this, New](error_code Error) {
      if (!Error && !New->RecordIndex)
        abandon(New, true);
    });
  }
  startQueued();
}

void BackendStandin::startQueued() {
  while (!Queue.empty() && Running < capacity()) {
    WorkPtr Next = Queue.front();
    Queue.pop_front();
    run(Next);
  }
}

void BackendStandin::run(const WorkPtr &Next) {
  RunRecord Record;
  Record.RequestId = findHeader(Next->Request.Headers, "X-Request-Id");
  Record.AttemptId = findHeader(Next->Request.Headers, "X-Attempt-Id");
  Record.BookingId = findHeader(Next->Request.Headers, "Booking-Id");
  ++Running;
  Next->RecordIndex = Recorder.start(std::move(Record));
  if (findHeader(Next->Request.Headers, "X-Crash") == "1")
    std::_Exit(CrashStatus);
  TimePoint Done = now() + serviceTime();
  bool InTime = Done <= Next->Deadline;
  Next->Timer.expires_at(std::min(Done, Next->Deadline));
  Next->Timer.async_wait([this, Next, InTime](error_code) {
    if (Next->Ended)
      return;
    if (InTime)
      finish(Next);
    else
      abandon(Next, true);
  });
}

void BackendStandin::finish(const WorkPtr &Done) {
  Done->Ended = true;
  Works.erase(Done->Caller);
  --Running;
  Recorder.end(*Done->RecordIndex);
  std::string_view Id = findHeader(Done->Request.Headers, "X-Request-Id");
  HttpResponse Response =
      textResponse(200, makeEchoBody(Id, Settings.ResponseBytes));
  Response.Headers.emplace_back("X-Request-Id", Id);
  Frontend.reply(Done->Caller, std::move(Response));
  startQueued();
}

/// Drops a request whose caller is gone or whose deadline has passed.
void BackendStandin::abandon(const WorkPtr &Dropped, bool Reply) {
  if (Dropped->Ended)
    return;
  Dropped->Ended = true;
  Dropped->Timer.cancel();
  Works.erase(Dropped->Caller);
  if (!Dropped->RecordIndex) {
    std::erase(Queue, Dropped);
    if (Reply)
      notRun(Dropped->Caller, "deadline passed in the queue");
    return;
  }
  --Running;
  Recorder.end(*Dropped->RecordIndex);
  if (Reply)
    Frontend.reply(Dropped->Caller,
                   textResponse(504, "deadline passed while running\n"));
  startQueued();
}

void BackendStandin::notRun(CallerId Caller, const char *Reason) {
  HttpResponse Response = textResponse(503, std::string(Reason) + "\n");
  Response.Headers.emplace_back("Backend-Not-Run", "1");
  Frontend.reply(Caller, std::move(Response));
}

/// Returns 1 at the start and 0 when warm.
double BackendStandin::coldness() const {
  if (Settings.ColdStart.count() == 0)
    return 0;
  std::chrono::duration<double> Age = now() - ColdSince;
  std::chrono::duration<double> Whole = Settings.ColdStart;
  return std::max(0.0, 1 - Age / Whole);
}

std::uint32_t BackendStandin::capacity() const {
  if (Settings.Slots <= ColdSlots)
    return Settings.Slots;
  double Warmed = (1 - coldness()) * (Settings.Slots - ColdSlots);
  return ColdSlots + static_cast<std::uint32_t>(std::floor(Warmed));
}

Duration BackendStandin::serviceTime() {
  std::uniform_real_distribution<double> Spread(-Settings.Jitter,
                                                Settings.Jitter);
  double Cold = 1 + coldness() * (ColdSlowness - 1);
  double Factor = SlowFactor * Cold * (1 + Spread(Random));
  auto Micros = static_cast<double>(Settings.Service.count()) * Factor;
  return Duration(static_cast<Duration::rep>(Micros));
}

bool BackendStandin::healthy() const {
  return !Draining && Running + Queue.size() <= capacity();
}

void BackendStandin::health(CallerId Caller) {
  auto Timer = std::make_shared<asio::steady_timer>(Context);
  Timer->expires_after(Settings.HealthTime);
  Timer->async_wait([this, Caller, Timer](error_code Error) {
    if (!Error)
      Frontend.reply(Caller, state());
  });
}

/// Builds the health response. With lag it tells the youngest sample that is
/// old enough; before the first such sample it tells that all is well.
HttpResponse BackendStandin::state() const {
  bool Told = Settings.Health == HealthMode::Lie || healthy();
  if (Settings.Health == HealthMode::Lag) {
    Told = true;
    for (const auto &[At, Sample] : HealthHistory) {
      if (At > now() - Settings.HealthLag)
        break;
      Told = Sample;
    }
  }
  json::object Load{{"healthy", Told},
                    {"running", Running},
                    {"queued", Queue.size()},
                    {"slots", capacity()}};
  HttpResponse Response = textResponse(Told ? 200 : 503, "");
  Response.Body = json::serialize(Load) + "\n";
  Response.Headers = {{"Content-Type", "application/json"}};
  return Response;
}

std::optional<HealthMode> healthMode(const std::string &Name) {
  if (Name == "ok")
    return HealthMode::Ok;
  if (Name == "lag")
    return HealthMode::Lag;
  if (Name == "lie")
    return HealthMode::Lie;
  return std::nullopt;
}

HttpResponse BackendStandin::control(const Arguments &Given) {
  for (const auto &[Name, Value] : Given) {
    if (Name == "slow_factor")
      SlowFactor = std::max(0.0, std::strtod(Value.c_str(), nullptr));
    else if (Name == "fail_fast")
      FailFast = Value != "0";
    else if (Name == "drain")
      Draining = Value != "0";
    else if (Name == "cold" && Value != "0")
      makeCold();
    else if (Name == "health" && healthMode(Value))
      Settings.Health = *healthMode(Value);
    else
      return textResponse(400, "unknown argument \"" + Name + "\"\n");
  }
  return state();
}

void BackendStandin::makeCold() {
  if (Settings.ColdStart.count() == 0)
    Settings.ColdStart = DefaultColdStart;
  ColdSince = now();
}

void BackendStandin::sampleHealth() {
  TimePoint Now = now();
  HealthHistory.emplace_back(Now, healthy());
  // One sample older than the lag is kept: the one that is told.
  while (HealthHistory.size() > 1 &&
         HealthHistory[1].first <= Now - Settings.HealthLag)
    HealthHistory.pop_front();
  HealthTimer.expires_after(HealthSampling);
  HealthTimer.async_wait([this](error_code Error) {
    if (!Error)
      sampleHealth();
  });
}

void BackendStandin::drain(std::function<void()> WhenDrained) {
  if (OnDrained)
    return;
  OnDrained = std::move(WhenDrained);
  Draining = true;
  Frontend.drain();
  checkDrained();
}

void BackendStandin::checkDrained() {
  if (Works.empty() && Frontend.busyConnections() == 0) {
    HealthTimer.cancel();
    OnDrained();
    return;
  }
  DrainTimer.expires_after(DrainPolling);
  DrainTimer.async_wait([this](error_code Error) {
    if (!Error)
      checkDrained();
  });
}

} // namespace figsail
