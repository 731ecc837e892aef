// SidecarDaemon.h - Adapter between the sidecar's reducer and the system.

#ifndef FIGSAIL_SIDECARDAEMON_H
#define FIGSAIL_SIDECARDAEMON_H

#include "BackendClient.h"
#include "DecisionLog.h"
#include "EventLoop.h"
#include "HttpFrontend.h"
#include "HttpService.h"
#include "Metrics.h"
#include "PeerTransport.h"
#include "Sidecar.h"
#include "SidecarPlatform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace figsail {

/// One sidecar process. It turns input into events for the reducer and performs
/// the effects that the reducer returns.
class SidecarDaemon : private BackendHandler,
                      private FrontendHandler,
                      private PeerHandler,
                      private StoreHandler {
public:
  /// Creates the platform's implementation for a daemon. The daemon is the
  /// handler of the store's events.
  using PlatformFactory = std::function<SidecarPlatform(
      boost::asio::io_context &Context, StoreHandler &Handler,
      const SidecarConfiguration &Configuration)>;

  /// Configuration.Settings.Inc is the incarnation of this process.
  SidecarDaemon(boost::asio::io_context &Context,
                SidecarConfiguration Configuration,
                const PlatformFactory &MakePlatform);
  ~SidecarDaemon() override;

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
  void peerReceived(PeerReceived Message) override;
  void peerReceiving(const PeerReceiving &Peer) override;
  void peerConnected(PeerConnected Peer) override;
  void peerLost(PeerLost Lost) override;
  void storeEvent(SidecarEventBody Body) override;
  void controlRequest(const HttpService::Request &Request,
                      const HttpService::Reply &Reply);
  void readinessRequest(const HttpService::Request &Request,
                        const HttpService::Reply &Reply);
  void metricsRequest(const HttpService::Reply &Reply);
  std::optional<std::string> listen(HttpService &Service,
                                    const std::string &Address);
  void waitForSignal();
  void armLogTimer();
  void armSettingsTimer();
  void reloadSettings(bool OnSignal);

  // Events.
  void submit(SidecarEventBody Body);
  void apply(SidecarEventBody Body);

  // Effects.
  void perform(ReplyCaller &Action);
  void perform(SendPeer &Action);
  void perform(ResetPeer &Action);
  void perform(StartRun &Action);
  void perform(CancelRun &Action);
  void perform(ProbeServer &Action);
  void perform(AnswerReport &Action);
  void perform(ReadTopicSnapshot &Action);
  void perform(ReadTopic &Action);
  void perform(AbandonReads &Action);
  void perform(SetStoreTimeout &Action);
  void perform(Announce &Action);
  void perform(RemoveHost &Action);
  void perform(SetClientLimits &Action);
  void perform(SetReadiness &Action);
  void perform(CloseClients &Action);
  void perform(Decision &Action);
  void perform(Count &Action);
  void perform(CountRefusal &Action);
  void perform(CountTopicRecords &Action);
  void perform(ExitProcess &Action);
  void perform(AppendRolloutShare &Action);
  void perform(AppendBlockedRequest &Action);
  void perform(ReadRolloutStatus &Action);
  void perform(WriteRolloutStatus &Action);
  void waitForClients();
  void finishOutput(TimePoint Deadline);

  boost::asio::io_context &Context;
  std::mt19937_64 Random;
  SidecarConfiguration Configuration;
  SidecarPlatform Platform;
  LamportClock Clock;
  Metrics ProcessMetrics;
  DecisionLog Log;
  Sidecar Reducer;
  PeerTransport Peers;
  FrontendSettings ClientSettings;
  HttpFrontend Frontend;
  BackendClient Backend;
  HttpService Control;
  HttpService Readiness;
  HttpService MetricsService;
  boost::asio::signal_set Signals;
  WakeTimer Waker;
  boost::asio::steady_timer LogTimer;
  boost::asio::steady_timer SettingsTimer;
  boost::asio::steady_timer ExitTimer;
  EventQueue<SidecarEventBody> PendingEvents; ///< Events not applied yet.
  bool Ready = false;
  bool Exiting = false;
  ReportId LastReportId = 0;
  std::unordered_map<ReportId, HttpService::Reply> PendingReports;
  std::unordered_map<CallerId, TimePoint> CallStarts;
  std::unordered_map<RunId, TimePoint> RunStarts;
};

} // namespace figsail

#endif // FIGSAIL_SIDECARDAEMON_H
