// BackendStandin.h - Simulator of a backend server with injectable faults.

#ifndef FIGSAIL_BACKENDSTANDIN_H
#define FIGSAIL_BACKENDSTANDIN_H

#include "../src/shell/HttpFrontend.h"
#include "BackendControl.h"
#include "RunRecord.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace figsail {

/// What a backend server does when more requests arrive than it can handle.
enum class OverloadMode : std::uint8_t {
  Queue, ///< Requests wait for a slot.
  Shed,  ///< Replies 503 with Backend-Not-Run: 1.
  Crash, ///< The process exits.
};

/// Settings of the simulator.
struct BackendStandinSettings {
  std::uint32_t Slots = 10;         ///< Concurrent runs when warm.
  std::size_t MaxConnections = 250; ///< Maximum open connections.
  Duration ServiceTime{5000};       ///< Mean time of a run when warm.
  double Jitter = 0; ///< Maximum deviation of a run, as a fraction of its time.
  std::uint32_t Seed = 1; ///< Seed of the jitter.
  Duration ColdStart{0};  ///< Time until warm; 0: warm at once.
  OverloadMode Overload = OverloadMode::Queue;     ///< Mode when warm.
  OverloadMode ColdOverload = OverloadMode::Queue; ///< Mode while cold.
  HealthMode Health = HealthMode::Current;
  Duration HealthLag{
      std::chrono::seconds(3)};    ///< Used with HealthMode::Delayed.
  Duration HealthDelay{5000};      ///< Time until a health response is sent.
  std::size_t ResponseBytes = 100; ///< Payload size of a response.
  std::string LimitField = "Backend-Limit";     ///< Requests a second.
  std::string LeavingField = "Backend-Leaving"; ///< "1" while it leaves.
  std::size_t MaxBody =
      std::size_t{8} * 1024 * 1024; ///< Maximum body size of a request.
};

/// The simulated backend server. Targets with a special meaning:
///   GET  /health     200 or 503, and the load as JSON
///   GET  /_runs      one line per run
///   POST
///   /_control?slow_factor=N&fail_fast=0|1&cold=1&drain=0|1&health=ok|lag|lie
///            &limit=PER_SECOND|none&leave=0|1&repeat_refusal=MS|none
///            &cut_head=BYTES|none&cut_head_error_page=0|1
/// With repeat_refusal, each refusal is written once more on its connection
/// after this time, whatever the connection carries then.
/// With cut_head, a response ends after this number of bytes, at most with its
/// whole head, and the connection is closed; with cut_head_error_page, another
/// whole response follows the cut one first. Responses to the targets above are
/// not cut. Runs are recorded as usual.
/// A /_control request with an unknown argument or a bad value gets 400 and
/// changes nothing.
/// A limit and leaving are named in every response but those to /_control and
/// /_runs, in the fields of the settings.
/// A request with X-Crash: 1 crashes the process when its run starts.
class BackendStandin : public FrontendHandler {
public:
  BackendStandin(boost::asio::io_context &Context,
                 const BackendStandinSettings &Settings, RunRecorder &Recorder);
  ~BackendStandin() override;

  /// Starts to listen on "ip:port". Returns an error text, or nothing.
  std::optional<std::string> listen(const std::string &Address);
  std::uint16_t port() const { return Frontend.port(); }

  /// Accepts no further connections, finishes the active requests, then calls
  /// OnDrained.
  void drain(std::function<void()> OnDrained);

  HeadDecision checkHead(std::string_view Method,
                         std::string_view Target) override;
  void requestReceived(CallerId Caller, HttpRequest Request) override;
  void clientDisconnected(CallerId Caller) override;

private:
  struct ActiveRequest;
  using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;
  using QueryParameters = std::map<std::string, std::string>;

  void serve(CallerId Caller, HttpRequest Request);
  void enqueue(const ActiveRequestPtr &Active);
  void startQueued();
  void run(const ActiveRequestPtr &Next);
  void finish(const ActiveRequestPtr &Finished);
  void drop(const ActiveRequestPtr &Dropped, bool Reply);
  void replyNotRun(CallerId Caller, const char *Reason);
  void repeatLater(CallerId Caller, const HttpResponse &Refusal);
  void replyHealth(CallerId Caller);
  void replyServed(CallerId Caller, HttpResponse Response);
  void addNamedFields(HttpResponse &Response) const;
  HttpResponse control(const QueryParameters &Parameters);
  HttpResponse healthResponse() const;
  void restartColdPeriod();
  void sampleHealth();
  void checkDrained();

  double coldFraction() const;
  std::uint32_t capacity() const;
  Duration serviceTime();
  bool healthy() const;

  boost::asio::io_context &Context;
  BackendStandinSettings Settings;
  RunRecorder &Recorder;
  HttpFrontend Frontend;
  std::mt19937 Random;
  std::deque<ActiveRequestPtr> Queue;
  std::unordered_map<CallerId, ActiveRequestPtr>
      ActiveRequests; ///< Queued and running.
  std::uint32_t Running = 0;
  BackendControl Control;
  TimePoint ColdSince;
  std::deque<std::pair<TimePoint, bool>> HealthHistory; ///< Oldest first.
  boost::asio::steady_timer HealthTimer;
  boost::asio::steady_timer DrainTimer;
  std::function<void()> OnDrained;
};

/// Splits "/path?a=1&b=2" into path and query parameters. Percent-encoding is
/// not decoded.
std::pair<std::string, std::map<std::string, std::string>>
splitTarget(std::string_view Target);

} // namespace figsail

#endif // FIGSAIL_BACKENDSTANDIN_H
