// LocalServer.h - State of the backend server beside this daemon, from its own
// reports.

#ifndef FIGSAIL_SIDECAR_LOCALSERVER_H
#define FIGSAIL_SIDECAR_LOCALSERVER_H

#include "Instance.h"
#include "SidecarEvents.h"

#include <string>

namespace figsail {

/// Effect of a heartbeat or a leave report.
enum class ReportVerdict : std::uint8_t {
  Unchanged, ///< Valid, without a change to announce.
  Changed,   ///< Another instance, state, service, version or slots.
  Stale,     ///< Older than the present state; ignored.
  Invalid,   ///< Lacks an instance, a service or slots.
  /// The first one after the daemon's start; it counts once the server's
  /// health path agrees.
  Unconfirmed,
};

/// Backend server that a predecessor of this daemon announced.
struct AnnouncedServer {
  std::string Instance;
  std::int64_t StartMillis = 0; ///< 0: not known.
  std::string Service;
  std::uint32_t Slots = 0;
  std::string Version{}; ///< Empty: it stated none.
};

/// State of the local backend server, updated by its heartbeats and leave
/// reports. Incarnations are ordered by their start time, heartbeats of one
/// incarnation by their sequence number.
class LocalServer {
public:
  /// Returns whether the server must be asked before this heartbeat counts. A
  /// predecessor of this daemon may have acknowledged a leave that the store
  /// never got, and a heartbeat from before it may arrive late. A server that
  /// reports on and on has not left, whatever its health path says.
  bool mustConfirm(TimePoint Now, const ServerHeartbeat &Report);
  ReportVerdict heartbeat(TimePoint Now, const ServerHeartbeat &Report);
  ReportVerdict leave(const ServerLeave &Report);
  /// Restores the server that a predecessor of this daemon announced and a
  /// probe found healthy under the same instance id. Ignored after a heartbeat.
  void recover(TimePoint Now, const AnnouncedServer &Announced);
  /// The server has said in a response that it leaves, which is final for its
  /// incarnation. Returns whether that is new.
  bool setLeaving();
  /// A predecessor of this daemon knew that the server of this instance, or of
  /// an earlier start, has left or is leaving. Late reports of it are ignored.
  void rememberLeft(const ServerIncarnation &Gone);
  /// Sets how much longer the server stays cold.
  void setCold(TimePoint Now, Duration Remaining);
  /// Marks the server absent if it has sent no report for Silence. Returns
  /// whether it did so.
  bool expire(TimePoint Now, Duration Silence);

  InstanceState state() const { return State; }
  const std::string &instance() const { return Instance; }
  /// Returns the start of the present incarnation in Unix milliseconds.
  std::int64_t startMillis() const { return StartMillis; }
  ServerIncarnation incarnation() const { return {Instance, StartMillis}; }
  /// Returns the newest incarnation that has left without having been the
  /// present one; without an instance, none is known.
  ServerIncarnation leftBefore() const {
    return {LeftInstance, LeftStartMillis};
  }
  const std::string &service() const { return Service; }
  std::uint32_t slots() const { return Slots; }
  /// Returns the version that the server states, or an empty text.
  const std::string &version() const { return Version; }
  /// Returns whether the present incarnation has left or is leaving.
  bool leaving() const {
    return Leaving || LeftForGood || State == InstanceState::Draining;
  }
  bool cold(TimePoint Now) const { return Now < ColdUntil; }
  /// Returns the time of the last heartbeat or recovery.
  TimePoint lastReportAt() const { return LastReportAt; }

private:
  /// A server whose heartbeats look late, or are the first ones and not
  /// confirmed. It may be the true one: the newest heartbeat came from another
  /// writer, or its health path is wrong.
  struct Contender {
    ServerHeartbeat Last; ///< The last heartbeat that was counted.
    TimePoint At;         ///< Its time.
    unsigned Heartbeats = 0;
  };
  ReportVerdict leaveBeforeHeartbeat(const ServerLeave &Report);
  bool hasLeft(const ServerHeartbeat &Report) const;
  bool keepsReporting(TimePoint Now, const ServerHeartbeat &Report);

  InstanceState State = InstanceState::Absent;
  std::string Instance;
  std::string Service;
  std::uint32_t Slots = 0;
  std::string Version;
  std::int64_t StartMillis = 0; ///< 0: not known yet.
  std::uint64_t Sequence = 0;
  bool LeftForGood = false; ///< The present incarnation has left for good.
  bool Leaving = false;     ///< It has said that it leaves; final.
  std::string LeftInstance; ///< Left without having been the present one.
  std::int64_t LeftStartMillis = 0; ///< Start of LeftInstance; 0: not known.
  TimePoint ColdUntil;
  TimePoint LastReportAt;
  std::optional<Contender> Late; ///< Since the last heartbeat in order.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_LOCALSERVER_H
