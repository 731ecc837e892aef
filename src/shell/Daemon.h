// Daemon.h - Adapter between the reducer and sockets, clocks and signals.

#ifndef FIGSAIL_DAEMON_H
#define FIGSAIL_DAEMON_H

#include "BackendClient.h"
#include "EventLoop.h"
#include "HttpFrontend.h"
#include "LogClient.h"
#include "Metrics.h"
#include "OperatorServer.h"
#include "PeerTransport.h"
#include "ProcessSettings.h"
#include "Timeline.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace figsail {

/// One daemon process. It turns input into events for the reducer and performs
/// the effects that the reducer returns.
class Daemon : private BackendHandler,
               private FrontendHandler,
               private LogHandler,
               private PeerHandler {
public:
  /// Takes the incarnation and the random seeds from the system's entropy
  /// source.
  Daemon(boost::asio::io_context &Context, ProcessSettings Settings);
  ~Daemon() override;

  /// Opens all listeners and submits the first event. Returns an error text, or
  /// nothing on success. The event loop stops when the reducer ends the
  /// process.
  std::optional<std::string> start();

private:
  // Input.
  void backendDone(BackendDone Done) override;
  void probeDone(ProbeDone Done) override;
  void responseRejected(RejectionReason Reason) override;
  HeadDecision checkHead(std::string_view Method,
                         std::string_view Target) override;
  void requestReceived(CallerId Caller, HttpRequest Request) override;
  void clientDisconnected(CallerId Caller) override;
  void logRead(LogRead Read) override;
  void logReadFailed() override;
  void appendDone(AppendDone Done) override;
  void peerReceived(PeerReceived Message) override;
  void peerConnected(PeerConnected Peer) override;
  void peerLost(PeerLost Lost) override;
  void waitForSignal();
  void stopRequested();

  // Events.
  void submit(EventBody Body);
  void apply(EventBody Body);

  // Effects.
  void perform(ReplyCaller &Action);
  void perform(SendPeer &Action);
  void perform(ResetPeer &Action);
  void perform(ResetAllPeers &Action);
  void perform(RunBackend &Action);
  void perform(CancelRun &Action);
  void perform(ProbeBackend &Action);
  void perform(ReadLog &Action);
  void perform(AppendLog &Action);
  void perform(Trace &Action);
  void perform(Count &Action);
  void perform(ExitProcess &Action);
  void finishOutput(TimePoint Deadline);
  void measureReply(CallerId Caller, HttpResponse &Response);

  boost::asio::io_context &Context;
  std::mt19937_64 Random;
  ProcessSettings Settings; ///< Including the incarnation.
  LamportClock Clock;
  Metrics ProcessMetrics;
  Timeline RecentEvents;
  Node Reducer;
  PeerTransport Peers;
  HttpFrontend Frontend;
  std::unique_ptr<BackendClient>
      Backend; ///< Null on a daemon that is only an ingress.
  LogClient Log;
  OperatorServer Operators;
  boost::asio::signal_set Signals;
  WakeTimer Waker;
  boost::asio::steady_timer ExitTimer;
  EventQueue<EventBody> PendingEvents; ///< Events not applied yet.
  bool Stopping = false;               ///< A stop was requested.
  bool Exiting = false;                ///< The reducer has ended the process.
  std::unordered_map<CallerId, TimePoint> CallStarts;
  std::unordered_map<RunId, TimePoint> RunStarts;
};

} // namespace figsail

#endif // FIGSAIL_DAEMON_H
