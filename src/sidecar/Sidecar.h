// Sidecar.h - The reducer of a daemon that reads its configuration and its
// backend servers from a store.

#ifndef FIGSAIL_SIDECAR_SIDECAR_H
#define FIGSAIL_SIDECAR_SIDECAR_H

#include "CallRouter.h"
#include "ConfigBacklog.h"
#include "ContentOrder.h"
#include "HostExpiry.h"
#include "Instance.h"
#include "QuotaCoordinator.h"
#include "RecordSource.h"
#include "Rollouts.h"
#include "ServerGate.h"
#include "SidecarEvents.h"
#include "SidecarSettings.h"
#include "TopicFollower.h"
#include "TopicImage.h"
#include "TopicPacking.h"
#include "TopicPublisher.h"
#include "TopicReceiver.h"
#include "TopicRelay.h"
#include "WorkspaceQuota.h"

#include <array>
#include <optional>
#include <set>
#include <string>

namespace figsail {

/// Reducer of the daemon beside a backend server. It is deterministic: the same
/// events give the same effects.
class Sidecar {
public:
  /// Decoder must outlive the reducer.
  Sidecar(SidecarSettings Settings, const RecordDecoder &Decoder);

  /// Reduces one event and returns the effects, in order. Now must never
  /// decrease.
  SidecarEffects apply(SidecarEvent Input);
  /// Returns the time when a TimerFired event is due.
  TimePoint nextWake() const;

  const InstanceDirectory &directory() const { return Directory; }
  /// Returns the backend server on this host.
  const LocalServer &server() const { return Gate.server(); }
  /// Returns the requests a second that the server takes, if it names a limit.
  const std::optional<double> &serverRateLimit() const {
    return Gate.rateLimit();
  }
  /// Returns the limits of the configuration in force.
  ClientLimits clientLimits() const {
    return Config ? Config->Limits : ClientLimits();
  }
  /// Returns the version of the configuration in force, if there is one.
  std::optional<std::uint64_t> configVersion() const {
    return Config ? std::optional(Config->Version) : std::nullopt;
  }
  /// Returns the size of the configuration in force as it was received, or 0.
  std::size_t configBytes() const { return ConfigBytes; }
  /// Returns the number of requests that are blocked since they crash servers.
  std::size_t blockedRequests() const { return Gate.blockedRequests().size(); }

private:
  /// The inputs of one event and the list for its effects.
  struct Step {
    TimePoint Now;
    std::uint64_t Seed;
    SidecarEffects &Out;
  };

  void on(Step &S, BoundsChanged &Body);
  void on(Step &S, ClientRequest &Body);
  void on(Step &S, CallerDisconnected &Body);
  void on(Step &S, ClientsDrained &Body);
  void on(Step &S, PeerReceived &Body);
  void on(Step &S, PeerConnected &Body);
  void on(Step &S, PeerLost &Body);
  void on(Step &S, PeerReceiving &Body);
  void on(Step &S, ServerRunResult &Body);
  void on(Step &S, ServerProbeResult &Body);
  void on(Step &S, ServerHeartbeat &Body);
  void on(Step &S, ServerLeave &Body);
  void on(Step &S, TopicSnapshot &Body);
  void on(Step &S, TopicRecords &Body);
  void on(Step &S, TopicTruncated &Body);
  void on(Step &S, TopicReadFailed &Body);
  void on(Step &S, AnnouncementResult &Body);
  void on(Step &S, TimerFired &Body);
  void on(Step &S, StopRequested &Body);
  void on(Step &S, RolloutStatusRead &Body);
  void on(Step &S, RolloutStatusWritten &Body);

  void handleExecute(Step &S, const PeerRef &From, Execute Message);
  void handleReport(Step &S, const PeerRef &From, const QuotaReport &Message);
  bool isCallRefused(const ServerRunResult &Ended);
  void handleSuspicion(Step &S, const PeerRef &From,
                       const SuspectReport &Message);
  void sendKnownSuspects(Step &S, const HostId &Host);
  void blockIfCrashing(Step &S, const SuspectReport &Report, bool Counted);
  bool joinsOwnService(const Announcement *Before,
                       const Announcement &Body) const;
  void handleMessage(Step &S, const PeerRef &From, PeerMessage &Message);
  void applyRecord(Step &S, const RecordOrigin &Origin, UnusableRecord &Body);
  void applyRecord(Step &S, const RecordOrigin &Origin, ConfigPtr &Body);
  void applyRecord(Step &S, const RecordOrigin &Origin, Evacuation &Body);
  void applyRecord(Step &S, const RecordOrigin &Origin, Announcement &Body);
  void applyRecord(Step &S, const RecordOrigin &Origin, HostRemoved &Body);
  void applyRecord(Step &S, const RecordOrigin &Origin, RolloutOrder &Body);
  void applyRecord(Step &S, const RecordOrigin &Origin, RolloutShare &Body);
  void applyRecord(Step &S, const RecordOrigin &Origin, BlockedRequest &Body);
  void rememberLeftServer(Step &S, const Announcement &Own);
  /// The state of one topic.
  struct TopicState {
    TopicState(Topic Which, const RecordDecoder &Decoder)
        : Follower(Which), Order(Which, Decoder), Image(&Order) {}
    TopicState(const TopicState &) = delete;
    TopicState &operator=(const TopicState &) = delete;
    TopicFollower Follower;
    ContentOrder Order;
    TopicImage Image;
  };
  TopicState &topicState(Topic Which) {
    return Topics[static_cast<std::size_t>(Which)];
  }
  static void markReceived(TopicState &State, Offset UpTo);
  void applyRecords(Step &S, Topic Which, const RecordSource &Source,
                    const std::vector<KeyedRecord> &Records);
  void handleSubscribe(Step &S, const PeerRef &From,
                       const TopicSubscribe &Message);
  void handleUpdate(Step &S, const PeerRef &From, TopicUpdate &Message);
  void handlePiece(Step &S, const PeerRef &From, const TopicPiece &Message);
  TopicUpdate emptyUpdate(TimePoint Now) const;
  TopicUpdate updateSince(TimePoint Now, const std::vector<Offset> &From) const;
  void notifySubscribers(Step &S);
  TopicSubscribe subscription(const HostId &Source, std::uint64_t Seed);
  std::vector<Offset> readUpTo() const;
  Offset ownConfigOffset() const;
  bool isConfigBehind(TimePoint Now) const;
  bool isStoreFailing() const;
  bool isAnyReadFailing() const;
  void reportStoreFailing(Step &S);
  void updateStoreTimeout(Step &S);
  void linkLost(const HostId &Host);
  void forgetResetLinks(const SidecarEffects &Out);
  bool isFromEndedHistory(Step &S, StoreHistory AnswerHistory);
  void enterHistory(Step &S, StoreHistory AnswerHistory);
  bool topicsComplete() const;
  void followTopics(Step &S);

  void reportLoad(Step &S);
  void reportSuspects(Step &S);
  RouterStep routerStep(Step &S);
  RolloutStep rolloutStep(Step &S);
  void announceVersion(Step &S, bool InUseBefore);
  void handleRollout(Step &S, const PeerRef &From,
                     const RolloutReport &Message);
  void handleRollout(Step &S, const PeerRef &From,
                     const RolloutVerdict &Message);
  QuotaStep quotaStep(Step &S);
  void acknowledgeReport(Step &S, ReportId Report, ReportVerdict Verdict,
                         const std::string &Instance);
  void announce(Step &S);
  void appendNext(Step &S);
  Announcement describeSelf() const;
  void updateHostCounts();
  void configureGate();
  void applyEvacuation(Step &S);
  void updateReadiness(Step &S);
  void continueStop(Step &S);
  void setStopEnd();
  TimePoint stopEnd() const;
  void endOpenCalls(Step &S);
  void applyOwnRefusals(Step &S);

  SidecarSettings Settings;
  ConfigPtr Config;                ///< Null until one has been read.
  std::size_t ConfigBytes = 0;     ///< Size of the record of Config.
  std::set<std::string> Evacuated; ///< Failure domains.
  InstanceDirectory Directory;
  PeerHealth Peers;
  HostExpiry Expiry;
  CallRouter Router;
  ServerGate Gate;
  Rollouts Versions;
  WorkspaceQuota Quota;
  QuotaCoordinator Coordinator;
  const RecordDecoder &Decoder;
  std::array<TopicState, TopicCount> Topics;
  StoreHistory History = 0; ///< The history that the images belong to.
  TopicRelay Relay;
  TopicPublisher Publisher;
  TopicReceiver Receiver;
  ValueBases Bases; ///< Large values of applied and received records.
  bool StoreFailingTold = false; ///< What the subscribers were told last.
  Duration StoreTimeout = MinStoreTimeout; ///< As the shell was told.
  ConfigBacklog Backlog;
  std::array<std::vector<KeyedRecord>, TopicCount>
      NewRecords; ///< Applied in this event, by topic.

  AnnouncementOrder Order;     ///< Of the next announcement.
  bool AnnounceNeeded = false; ///< The newest announcement is not in the store.
  bool AppendInFlight = false; ///< An append or a removal is in flight.
  /// Waits for an append of another kind to end.
  std::optional<RolloutShare> ShareToAppend;
  bool ShareInFlight = false; ///< The append is that of a share record.
  std::optional<BlockedRequest> BlockedInFlight; ///< The append is that of it.
  std::optional<HostId> HostToDrop; ///< Expired; still in the store.
  TimePoint PeerQueryAt{};       ///< Earliest time of the next query to a peer.
  unsigned AnnounceFailures = 0; ///< In a row.
  TimePoint AnnounceAt{};        ///< Earliest time of the next append.

  TimePoint LastNow;         ///< Of the last event.
  bool HostsChanged = false; ///< In this event: the counts are out of date.
  bool Ready = false;
  bool Stopping = false;
  bool ClientsClosing = false;      ///< CloseClients was sent.
  bool RunsReturned = false;        ///< Of other daemons, to them.
  bool ClientsDisconnected = false; ///< None of their requests is left.
  TimePoint StopStartedAt;
  /// The server was announced as paused: the others send it no more calls.
  bool PauseAnnounced = false;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SIDECAR_H
