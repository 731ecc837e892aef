// LoadStandin.cpp - Simulator of clients with a history of their attempts.

#include "LoadStandin.h"
#include "EchoBody.h"

#include <algorithm>

namespace figsail {

namespace asio = boost::asio;

static std::int64_t toMicros(std::chrono::steady_clock::time_point At) {
  return std::chrono::duration_cast<Duration>(At.time_since_epoch()).count();
}

namespace {

/// Reuses a connection after any response that allows it.
class KeepingFields : public BackendFields {
public:
  bool mayReuseAfter(const Message & /*Request*/,
                     const HttpResponse & /*Response*/) const override {
    return true;
  }
};

} // namespace

static BackendSettings clientSettings(const LoadSettings &From,
                                      const std::string &Address) {
  BackendSettings Settings;
  Settings.Address = Address;
  Settings.MaxConnections =
      std::max<std::size_t>(1, From.Connections / From.Targets.size());
  // Legacy clients send no deadline.
  Settings.SendDeadline = false;
  Settings.LastBytesDelay = From.LastBytesDelay;
  if (From.KeepConnections)
    Settings.Fields = std::make_shared<KeepingFields>();
  return Settings;
}

LoadStandin::LoadStandin(asio::io_context &Context, LoadSettings Settings,
                         std::ostream &History, std::function<void()> OnDone)
    : Context(Context), Settings(std::move(Settings)), History(History),
      OnDone(std::move(OnDone)), IsBooking(this->Settings.Method != "GET" &&
                                           this->Settings.Method != "HEAD"),
      Timer(Context) {
  for (const std::string &Address : this->Settings.Targets)
    Clients.push_back(std::make_unique<BackendClient>(
        Context, *this, clientSettings(this->Settings, Address)));
}

void LoadStandin::start() {
  StartTime = Clock::now();
  if (Settings.Rate > 0) {
    startDueRequests();
    return;
  }
  for (std::size_t I = 0; I < Settings.Connections && canStart(); ++I)
    startRequest(Clock::now());
}

void LoadStandin::stop() {
  Stopped = true;
  Timer.cancel();
  if (InFlight == 0)
    OnDone();
}

bool LoadStandin::canStart() const {
  if (Stopped || (Settings.Count > 0 && Started >= Settings.Count))
    return false;
  return Settings.Count > 0 || Clock::now() - StartTime < Settings.SendPeriod;
}

/// Starts the due requests. Due times depend on the rate only, so that a slow
/// server does not lower the offered load (open loop).
void LoadStandin::startDueRequests() {
  while (canStart()) {
    std::chrono::duration<double> Delay(static_cast<double>(Started) /
                                        Settings.Rate);
    auto Due = StartTime + std::chrono::duration_cast<Clock::duration>(Delay);
    if (Due > Clock::now()) {
      Timer.expires_at(Due);
      Timer.async_wait([this](boost::system::error_code Error) {
        if (!Error)
          startDueRequests();
      });
      return;
    }
    startRequest(Due);
  }
  if (InFlight == 0)
    OnDone();
}

void LoadStandin::startRequest(Clock::time_point Due) {
  std::uint64_t Number = Started++;
  ++InFlight;
  Attempt First;
  First.LogicalId = Settings.IdPrefix + std::to_string(Number);
  if (IsBooking && Settings.UniqueIds)
    First.BookingId = First.LogicalId;
  First.Target = Settings.Targets[Number % Settings.Targets.size()];
  First.DueMicros = toMicros(Due);
  send(std::move(First));
}

void LoadStandin::send(Attempt Next) {
  Next.AttemptId = Next.LogicalId + "." + std::to_string(Next.Number);
  Next.StartMicros = toMicros(Clock::now());
  HttpRequest Request;
  Request.Method = Settings.Method;
  Request.Target = Settings.Path;
  Request.Headers = {{"X-Attempt-Id", Next.AttemptId}};
  if (Settings.UniqueIds)
    Request.Headers.emplace_back("X-Request-Id", Next.LogicalId);
  if (!Next.BookingId.empty())
    Request.Headers.emplace_back("Booking-Id", Next.BookingId);
  if (IsBooking)
    Request.Body = std::string(Settings.BodyBytes, 'b');
  auto Found =
      std::find(Settings.Targets.begin(), Settings.Targets.end(), Next.Target);
  RunId Run = ++LastRun;
  PendingAttempts.emplace(Run, std::move(Next));
  Clients[static_cast<std::size_t>(Found - Settings.Targets.begin())]->run(
      Run, std::move(Request), Settings.Timeout);
}

static std::string failureName(BackendError Error) {
  switch (Error) {
  case BackendError::NotSent:
    return "not-sent";
  case BackendError::Broken:
    return "connection-lost";
  case BackendError::Malformed:
    return "malformed";
  case BackendError::TimedOut:
    return "timeout";
  case BackendError::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

static void recordResponse(Attempt &Finished, const HttpResponse &Response,
                           const LoadSettings &Settings) {
  Finished.Status = Response.Status;
  Finished.ErrorName = findHeader(Response.Headers, "Figsail-Error");
  Finished.RunOutcome = findHeader(Response.Headers, "Figsail-Run");
  Finished.BodyHash = textHash(Response.Body);
  if (Response.Status != 200 || Settings.Method == "HEAD")
    return;
  bool BodyMatches = isEchoBody(
      Response.Body, Settings.UniqueIds ? Finished.LogicalId : std::string());
  Finished.Echo = BodyMatches ? EchoResult::Match : EchoResult::Mismatch;
}

void LoadStandin::backendDone(BackendDone Done) {
  auto Found = PendingAttempts.find(Done.Run);
  Attempt Finished = std::move(Found->second);
  PendingAttempts.erase(Found);
  Finished.EndMicros = toMicros(Clock::now());
  if (const auto *Response = std::get_if<HttpResponse>(&Done.Result))
    recordResponse(Finished, *Response, Settings);
  else
    Finished.Failure = failureName(std::get<BackendError>(Done.Result));
  // Flushed, so that the history survives a kill of this process.
  History << formatAttempt(Finished) << std::endl;
  attemptEnded(Finished);
}

void LoadStandin::attemptEnded(const Attempt &Last) {
  bool ShouldResend = Last.Status == 0 || Last.RunOutcome == "no" ||
                      Last.RunOutcome == "unknown";
  if (ShouldResend && Last.Number < Settings.Resends) {
    resend(Last);
    return;
  }
  --InFlight;
  bool ClosedLoop = Settings.Rate <= 0;
  if (ClosedLoop && canStart())
    startRequest(Clock::now());
  else if (InFlight == 0 && !canStart())
    OnDone();
}

void LoadStandin::resend(const Attempt &Last) {
  Attempt Next;
  Next.LogicalId = Last.LogicalId;
  Next.BookingId = Last.BookingId;
  Next.Number = Last.Number + 1;
  auto Found =
      std::find(Settings.Targets.begin(), Settings.Targets.end(), Last.Target);
  auto Index = static_cast<std::size_t>(Found - Settings.Targets.begin());
  Next.Target = Settings.Targets[(Index + 1) % Settings.Targets.size()];
  auto ResendTimer = std::make_shared<asio::steady_timer>(Context);
  ResendTimer->expires_after(Settings.ResendDelay);
  ResendTimer->async_wait([this, ResendTimer, Next = std::move(Next)](
                              boost::system::error_code) mutable {
    Next.DueMicros = toMicros(Clock::now());
    send(std::move(Next));
  });
}

} // namespace figsail
