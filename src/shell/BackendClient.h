// BackendClient.h - HTTP client for the backend server on the same host.

#ifndef FIGSAIL_BACKENDCLIENT_H
#define FIGSAIL_BACKENDCLIENT_H

#include "BackendFields.h"

#include "figsail/Events.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace figsail {

/// Receiver of the outcomes of runs and health probes.
class BackendHandler {
public:
  virtual ~BackendHandler() = default;
  virtual void backendDone(BackendDone Done) = 0;
  virtual void probeDone(ProbeDone Done) = 0;
  /// The server wrote something that is not the response to a request.
  virtual void responseRejected(RejectionReason Reason) = 0;
};

/// Settings of the connections to the backend server.
struct BackendSettings {
  std::string Address;                  ///< "ip:port".
  std::string HealthTarget = "/health"; ///< Request target of the health probe.
  std::size_t MaxConnections = 250;     ///< Limit on open connections.
  std::size_t MaxResponseBody =
      std::size_t{8} * 1024 * 1024; ///< Largest response body, in bytes.
  std::size_t MaxResponseMemory =
      std::size_t{32} * 1024 *
      1024; ///< Bytes of all response bodies being read.
  Duration ProbeTimeout{std::chrono::seconds(1)};
  Duration LastBytesDelay{0}; ///< The end of a request is sent this much later
                              ///< than the rest. For simulators of slow
                              ///< clients.
  bool SendDeadline = true;   ///< Whether requests carry the remaining time.
  std::shared_ptr<const BackendFields> Fields =
      std::make_shared<BackendFields>();
  Duration MaxIdleTime{std::chrono::seconds(
      60)}; ///< Connections idle for longer are not reused.
  Duration UnacknowledgedLimit{std::chrono::seconds(
      15)}; ///< Longest time for which sent data may stay unacknowledged before
            ///< the connection counts as broken.
};

/// HTTP client with a connection pool for one backend server.
class BackendClient {
public:
  BackendClient(boost::asio::io_context &Context, BackendHandler &Handler,
                BackendSettings Settings);
  ~BackendClient();

  /// Sends a request. Leads to exactly one BackendHandler::backendDone(). By
  /// default, the field Figsail-Deadline-Ms carries the remaining budget.
  void run(RunId Run, HttpRequest Request, Duration Budget);
  /// Closes the connection of a run, which ends with BackendError::Cancelled.
  void cancel(RunId Run);
  /// Sends a health probe. Leads to one BackendHandler::probeDone().
  void probe();
  /// Sends a health probe to another target than that of the settings.
  void probe(std::string Target);
  /// Closes all idle connections. Called when the backend server has changed.
  void closeIdle();

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_BACKENDCLIENT_H
