// BackendClient.h - Sends requests to the backend server beside this daemon.

#ifndef FIGSAIL_BACKENDCLIENT_H
#define FIGSAIL_BACKENDCLIENT_H

#include "BackendFields.h"

#include "figsail/Events.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace figsail {

/// Receives the ends of runs and probes.
class BackendHandler {
public:
  virtual ~BackendHandler() = default;
  virtual void backendDone(BackendDone Done) = 0;
  virtual void probeDone(ProbeDone Done) = 0;
};

/// Settings of the connection to the backend server.
struct BackendSettings {
  std::string Address;                  ///< "ip:port".
  std::string HealthTarget = "/health"; ///< Target of the health probe.
  std::size_t MaxConnections = 250;     ///< Connections open at once.
  std::size_t MaxResponseBody =
      std::size_t{8} * 1024 * 1024; ///< Bytes of a response body.
  std::size_t MaxResponseMemory =
      std::size_t{32} * 1024 * 1024; ///< Bytes of all bodies being read.
  Duration ProbeTimeout{std::chrono::seconds(1)};
  bool SendDeadline = true; ///< Tell the backend server the remaining time.
  std::shared_ptr<const BackendFields> Fields =
      std::make_shared<BackendFields>();
  Duration MaxIdleTime{
      std::chrono::seconds(60)}; ///< Connections unused for longer are closed.
  Duration UnacknowledgedLimit{std::chrono::seconds(
      15)}; ///< A connection whose data the server's host does not
            ///< acknowledge for so long is broken.
};

/// Pooled connections to one backend server.
class BackendClient {
public:
  BackendClient(boost::asio::io_context &Context, BackendHandler &Handler,
                BackendSettings Settings);
  ~BackendClient();

  /// Sends a request; ends in exactly one BackendHandler::backendDone(). The
  /// remaining budget goes along in the field Figsail-Deadline-Ms.
  void run(RunId Run, HttpRequest Request, Duration Budget);
  /// Closes the connection of a run; its end is BackendError::Cancelled.
  void cancel(RunId Run);
  /// Asks the health endpoint; ends in BackendHandler::probeDone().
  void probe();
  /// The same at another target than that of the settings.
  void probe(std::string Target);
  /// Closes all unused connections: the backend server has changed.
  void closeIdle();

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_BACKENDCLIENT_H
