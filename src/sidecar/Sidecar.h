// Sidecar.h - The reducer of a daemon that learns its configuration and its
// backend servers from a store.

#ifndef FIGSAIL_SIDECAR_SIDECAR_H
#define FIGSAIL_SIDECAR_SIDECAR_H

#include "CallRouter.h"
#include "ContentOrder.h"
#include "HostExpiry.h"
#include "Instance.h"
#include "ServerGate.h"
#include "SidecarEvents.h"
#include "SidecarSettings.h"
#include "TopicFollower.h"
#include "TopicImage.h"
#include "TopicRelay.h"

#include <array>
#include <optional>
#include <set>
#include <string>

namespace figsail {

/// Given the same events it makes the same decisions.
class Sidecar {
public:
  /// Decoder outlives the reducer.
  Sidecar(SidecarSettings Settings, const RecordDecoder &Decoder);

  /// Reduces one event and returns the effects, in order. Now never goes back.
  SidecarEffects apply(SidecarEvent Input);
  /// Returns when a TimerFired event is due.
  TimePoint nextWake() const;

  const InstanceDirectory &directory() const { return Directory; }
  /// Returns the limits of the configuration in force.
  ClientLimits clientLimits() const {
    return Config ? Config->Limits : ClientLimits();
  }

private:
  /// One event and where its effects go.
  struct Step {
    TimePoint Now;
    std::uint64_t Seed;
    SidecarEffects &Out;
  };

  void on(Step &S, BoundsChanged &Body);
  void on(Step &S, ClientRequest &Body);
  void on(Step &S, CallerDisconnected &Body);
  void on(Step &S, ClientsGone &Body);
  void on(Step &S, PeerReceived &Body);
  void on(Step &S, PeerConnected &Body);
  void on(Step &S, PeerLost &Body);
  void on(Step &S, ServerDone &Body);
  void on(Step &S, ServerProbed &Body);
  void on(Step &S, ServerHeartbeat &Body);
  void on(Step &S, ServerLeaves &Body);
  void on(Step &S, TopicSnapshot &Body);
  void on(Step &S, TopicRecords &Body);
  void on(Step &S, TopicTruncated &Body);
  void on(Step &S, TopicFailed &Body);
  void on(Step &S, AnnouncementDone &Body);
  void on(Step &S, TimerFired &Body);
  void on(Step &S, StopRequested &Body);

  void message(Step &S, const PeerRef &From, PeerMessage &Message);
  void take(Step &S, Offset At, UnusableRecord &Body);
  void take(Step &S, Offset At, ConfigPtr &Body);
  void take(Step &S, Offset At, Evacuation &Body);
  void take(Step &S, Offset At, Announcement &Body);
  void take(Step &S, Offset At, HostForgotten &Body);
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
  TopicState &stateOf(Topic Which) {
    return Topics[static_cast<std::size_t>(Which)];
  }
  void takeAll(Step &S, Topic Which, const std::vector<KeyedRecord> &Records);
  void subscribe(Step &S, const PeerRef &From, const TopicSubscribe &Message);
  void update(Step &S, const PeerRef &From, TopicUpdate &Message);
  TopicUpdate emptyUpdate(TimePoint Now) const;
  TopicUpdate updateSince(TimePoint Now, const std::vector<Offset> &From) const;
  void tellSubscribers(Step &S);
  TopicSubscribe question() const;
  bool isOutdated(Step &S, StoreHistory Seen);
  void enterHistory(Step &S, StoreHistory Seen);
  bool complete() const;
  void followTopics(Step &S);

  void tellLoad(Step &S);
  void tellSuspicions(Step &S);
  RouterStep routerStep(Step &S);
  void reported(Step &S, ReportId Report, ReportVerdict Verdict,
                const std::string &Instance);
  void announce(Step &S);
  void sendAnnouncement(Step &S);
  Announcement describeSelf() const;
  void hostsChanged();
  void configureServer();
  void applyEvacuations(Step &S);
  void updateReadiness(Step &S);
  void continueStop(Step &S);

  SidecarSettings Settings;
  ConfigPtr Config;                ///< Null until one was read.
  std::set<std::string> Evacuated; ///< Failure domains.
  InstanceDirectory Directory;
  PeerHealth Peers;
  HostExpiry Expiry;
  CallRouter Router;
  ServerGate Gate;
  const RecordDecoder &Decoder;
  std::array<TopicState, TopicCount> Topics;
  StoreHistory History = 0; ///< That the images belong to.
  TopicRelay Relay;
  std::array<std::vector<KeyedRecord>, TopicCount>
      News; ///< Taken in this event, by topic.

  AnnouncementOrder Order;       ///< Of the next announcement.
  bool AnnounceNeeded = false;   ///< The store lacks the newest announcement.
  bool Announcing = false;       ///< An append is under way.
  std::optional<HostId> ToDrop;  ///< Gone for good; still in the store.
  TimePoint AskPeerAt{};         ///< Not before.
  unsigned AnnounceFailures = 0; ///< In a row.
  TimePoint AnnounceAt{};        ///< Not before.

  TimePoint LastNow; ///< Of the last event.
  bool Ready = false;
  bool Stopping = false;
  bool ClientsClosed = false; ///< They are told to go.
  bool ClientsLeft = false;   ///< They have gone.
  TimePoint StopBegan;
  bool PauseAnnounced = false; ///< Others are told to leave the server alone.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SIDECAR_H
