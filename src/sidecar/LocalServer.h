// LocalServer.h - The backend server beside this daemon, as it describes
// itself.

#ifndef FIGSAIL_SIDECAR_LOCALSERVER_H
#define FIGSAIL_SIDECAR_LOCALSERVER_H

#include "Instance.h"
#include "SidecarEvents.h"

#include <string>

namespace figsail {

/// What a heartbeat or a leave changed.
enum class ReportVerdict : std::uint8_t {
  Unchanged, ///< In order, and nothing that others need to know.
  Changed,   ///< Another instance, state or service.
  Stale,     ///< Older than what is known.
  Invalid,   ///< Names no usable backend server.
};

/// A backend server as an earlier daemon of the host announced it.
struct AnnouncedServer {
  std::string Instance;
  std::string Service;
  std::uint32_t Slots = 0;
};

/// Follows heartbeats and leaves of one backend server. Incarnations are
/// ordered by their start, heartbeats of one incarnation by their sequence.
class LocalServer {
public:
  ReportVerdict heartbeat(TimePoint Now, const ServerHeartbeat &Report);
  ReportVerdict leave(const ServerLeave &Report);
  /// A daemon that has just started found a server that its predecessor knew,
  /// well and under the same name. Heartbeats go before that.
  void recover(TimePoint Now, const AnnouncedServer &Announced);
  /// The health endpoint says how long the server stays cold.
  void setCold(TimePoint Now, Duration Remaining);
  /// Forgets a server that has been silent for too long. Returns whether one
  /// was forgotten.
  bool expire(TimePoint Now, Duration Silence);

  InstanceState state() const { return State; }
  const std::string &instance() const { return Instance; }
  /// Returns when the present incarnation started, Unix milliseconds.
  std::int64_t startMillis() const { return StartMillis; }
  const std::string &service() const { return Service; }
  std::uint32_t slots() const { return Slots; }
  bool cold(TimePoint Now) const { return Now < ColdUntil; }
  /// Returns when the server was last heard of.
  TimePoint lastReportAt() const { return LastReportAt; }

private:
  InstanceState State = InstanceState::Absent;
  std::string Instance;
  std::string Service;
  std::uint32_t Slots = 0;
  std::int64_t StartMillis = 0; ///< 0: not known yet.
  std::uint64_t Sequence = 0;
  bool LeftForGood = false; ///< The incarnation StartMillis has left for good.
  std::string LeftInstance; ///< Left before any heartbeat of it was heard.
  TimePoint ColdUntil;
  TimePoint LastReportAt;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_LOCALSERVER_H
