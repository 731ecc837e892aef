// LoadStandin.cpp - Simulates callers and writes down what they see.

#include "LoadStandin.h"
#include "EchoBody.h"

#include <algorithm>

namespace figsail {

namespace asio = boost::asio;

static std::int64_t micros(std::chrono::steady_clock::time_point At) {
  return std::chrono::duration_cast<Duration>(At.time_since_epoch()).count();
}

static BackendSettings clientSettings(const LoadSettings &From,
                                      const std::string &Address) {
  BackendSettings Settings;
  Settings.Address = Address;
  Settings.MaxConnections =
      std::max<std::size_t>(1, From.Connections / From.Targets.size());
  // Legacy callers know nothing of deadlines.
  Settings.SendDeadline = false;
  return Settings;
}

LoadStandin::LoadStandin(asio::io_context &Context, LoadSettings Settings,
                         std::ostream &History, std::function<void()> OnDone)
    : Context(Context), Settings(std::move(Settings)), History(History),
      OnDone(std::move(OnDone)), Booking(this->Settings.Method != "GET" &&
                                         this->Settings.Method != "HEAD"),
      Timer(Context) {
  for (const std::string &Address : this->Settings.Targets)
    Clients.push_back(std::make_unique<BackendClient>(
        Context, *this, clientSettings(this->Settings, Address)));
}

void LoadStandin::start() {
  Begin = Clock::now();
  if (Settings.Rate > 0) {
    schedule();
    return;
  }
  for (std::size_t I = 0; I < Settings.Connections && mayStart(); ++I)
    startLogical(Clock::now());
}

void LoadStandin::stop() {
  Stopped = true;
  Timer.cancel();
  if (UnderWay == 0)
    OnDone();
}

bool LoadStandin::mayStart() const {
  if (Stopped || (Settings.Count > 0 && Started >= Settings.Count))
    return false;
  return Settings.Count > 0 || Clock::now() - Begin < Settings.Length;
}

/// Starts what is due. The times depend on the rate only, so that a slow server
/// does not lower the offered load.
void LoadStandin::schedule() {
  while (mayStart()) {
    std::chrono::duration<double> Delay(static_cast<double>(Started) /
                                        Settings.Rate);
    auto Due = Begin + std::chrono::duration_cast<Clock::duration>(Delay);
    if (Due > Clock::now()) {
      Timer.expires_at(Due);
      Timer.async_wait([this](boost::system::error_code Error) {
        if (!Error)
          schedule();
      });
      return;
    }
    startLogical(Due);
  }
  if (UnderWay == 0)
    OnDone();
}

void LoadStandin::startLogical(Clock::time_point Due) {
  std::uint64_t Number = Started++;
  ++UnderWay;
  Attempt First;
  First.LogicalId = Settings.IdPrefix + std::to_string(Number);
  if (Booking && Settings.UniqueIds)
    First.BookingId = First.LogicalId;
  First.Target = Settings.Targets[Number % Settings.Targets.size()];
  First.DueMicros = micros(Due);
  send(std::move(First));
}

void LoadStandin::send(Attempt Next) {
  Next.AttemptId = Next.LogicalId + "." + std::to_string(Next.Number);
  Next.StartMicros = micros(Clock::now());
  HttpRequest Request;
  Request.Method = Settings.Method;
  Request.Target = Settings.Path;
  Request.Headers = {{"X-Attempt-Id", Next.AttemptId}};
  if (Settings.UniqueIds)
    Request.Headers.emplace_back("X-Request-Id", Next.LogicalId);
  if (!Next.BookingId.empty())
    Request.Headers.emplace_back("Booking-Id", Next.BookingId);
  if (Booking)
    Request.Body = std::string(Settings.BodyBytes, 'b');
  auto Found =
      std::find(Settings.Targets.begin(), Settings.Targets.end(), Next.Target);
  RunId Run = ++LastRun;
  Pending.emplace(Run, std::move(Next));
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

static void noteResponse(Attempt &Made, const HttpResponse &Response,
                         const LoadSettings &Settings) {
  Made.Status = Response.Status;
  Made.ErrorName = findHeader(Response.Headers, "Figsail-Error");
  Made.Run = findHeader(Response.Headers, "Figsail-Run");
  Made.BodyHash = textHash(Response.Body);
  if (Response.Status != 200 || Settings.Method == "HEAD")
    return;
  bool Own = isEchoBody(Response.Body,
                        Settings.UniqueIds ? Made.LogicalId : std::string());
  Made.Echo = Own ? EchoResult::Ok : EchoResult::Bad;
}

void LoadStandin::backendDone(BackendDone Done) {
  auto Found = Pending.find(Done.Run);
  Attempt Made = std::move(Found->second);
  Pending.erase(Found);
  Made.EndMicros = micros(Clock::now());
  if (const auto *Response = std::get_if<HttpResponse>(&Done.Result))
    noteResponse(Made, *Response, Settings);
  else
    Made.Failure = failureName(std::get<BackendError>(Done.Result));
  // Flushed, so that the history survives a kill of the process.
  History << attemptLine(Made) << std::endl;
  ended(Made);
}

void LoadStandin::ended(const Attempt &Last) {
  bool Again = Last.Status == 0 || Last.Run == "no" || Last.Run == "unknown";
  if (Again && Last.Number < Settings.Resends) {
    resend(Last);
    return;
  }
  --UnderWay;
  bool ClosedLoop = Settings.Rate <= 0;
  if (ClosedLoop && mayStart())
    startLogical(Clock::now());
  else if (UnderWay == 0 && !mayStart())
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
  auto Wait = std::make_shared<asio::steady_timer>(Context);
  Wait->expires_after(Settings.ResendDelay);
  Wait->async_wait(
      [this, Wait, Next = std::move(Next)](boost::system::error_code) mutable {
        Next.DueMicros = micros(Clock::now());
        send(std::move(Next));
      });
}

} // namespace figsail
