// LoadStandin.h - Simulator of clients with a history of their attempts.

#ifndef FIGSAIL_LOADSTANDIN_H
#define FIGSAIL_LOADSTANDIN_H

#include "../src/shell/BackendClient.h"
#include "HistoryCheck.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <unordered_map>
#include <vector>

namespace figsail {

/// Settings of the simulated clients.
struct LoadSettings {
  std::vector<std::string> Targets; ///< Addresses, used round-robin.
  double Rate = 0; ///< Logical requests a second; 0: as fast as Connections
                   ///< allow.
  std::uint64_t Count = 0; ///< Logical requests; 0: until SendPeriod is over.
  Duration SendPeriod{0};  ///< Time in which requests are started.
  std::size_t Connections = 1; ///< Maximum open connections over all targets.
  std::string Method = "GET";
  std::string Path = "/";
  std::string IdPrefix;      ///< Makes ids unique across processes.
  bool UniqueIds = false;    ///< Send X-Request-Id and Booking-Id.
  std::size_t BodyBytes = 0; ///< Body size of requests other than GET and HEAD.
  std::uint32_t Resends = 0; ///< Maximum resends of a logical request.
  Duration ResendDelay{std::chrono::milliseconds(100)};
  Duration Timeout{std::chrono::seconds(10)}; ///< Limit of one attempt.
  bool KeepConnections = false; ///< Reuse connections after error responses,
                                ///< too, until the server closes them.
  Duration LastBytesDelay{0};   ///< The end of a request, of its head if it has
                                ///< no body, is sent this much later.
};

/// Load generator for logical requests. When a request was not run or its
/// outcome is unknown, it resends the request to the next target, up to Resends
/// times.
/// The failure of an attempt in the history tells a request that was cut
/// without an answer ("connection-lost", or "malformed" within the answer) from
/// one for which no connection was accepted ("not-sent"). A request that was
/// refused with a response has its status.
class LoadStandin : public BackendHandler {
public:
  /// Writes a line to History for each attempt. OnDone is called once all
  /// logical requests have ended.
  LoadStandin(boost::asio::io_context &Context, LoadSettings Settings,
              std::ostream &History, std::function<void()> OnDone);

  void start();
  /// Starts no further logical requests. OnDone is called when the started ones
  /// have ended.
  void stop();
  std::uint64_t started() const { return Started; }

  void backendDone(BackendDone Done) override;
  void probeDone(ProbeDone /*Done*/) override {}
  void responseRejected(RejectionReason /*Reason*/) override {}

private:
  using Clock = std::chrono::steady_clock;

  void startDueRequests();
  bool canStart() const;
  void startRequest(Clock::time_point Due);
  void send(Attempt Next);
  void resend(const Attempt &Last);
  void attemptEnded(const Attempt &Last);

  boost::asio::io_context &Context;
  LoadSettings Settings;
  std::ostream &History;
  std::function<void()> OnDone;
  bool IsBooking; ///< Requests are not idempotent.
  std::vector<std::unique_ptr<BackendClient>> Clients; ///< One per target.
  boost::asio::steady_timer Timer;
  Clock::time_point StartTime;
  std::unordered_map<RunId, Attempt> PendingAttempts;
  RunId LastRun = 0;
  std::uint64_t Started = 0;  ///< Logical requests.
  std::uint64_t InFlight = 0; ///< Logical requests, including delayed resends.
  bool Stopped = false;
};

} // namespace figsail

#endif // FIGSAIL_LOADSTANDIN_H
