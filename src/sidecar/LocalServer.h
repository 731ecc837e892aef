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
struct KnownServer {
  std::string Instance;
  std::string Service;
  std::uint32_t Slots = 0;
};

/// Follows heartbeats and leaves of one backend server. Incarnations are
/// ordered by their start, heartbeats of one incarnation by their sequence.
class LocalServer {
public:
  ReportVerdict heartbeat(TimePoint Now, const ServerHeartbeat &Said);
  ReportVerdict leaves(const ServerLeaves &Said);
  /// A daemon that has just started found a server that its predecessor knew,
  /// well and under the same name. Heartbeats go before that.
  void recover(TimePoint Now, const KnownServer &Known);
  /// The health endpoint says how long the server stays cold.
  void coldFor(TimePoint Now, Duration Left);
  /// Forgets a server that has been silent for too long. Returns whether one
  /// was forgotten.
  bool expire(TimePoint Now, Duration Silence);

  InstanceState state() const { return State; }
  const std::string &instance() const { return Instance; }
  /// Returns when the present incarnation started, Unix milliseconds.
  std::int64_t bornMillis() const { return BornMillis; }
  const std::string &service() const { return Service; }
  std::uint32_t slots() const { return Slots; }
  bool cold(TimePoint Now) const { return Now < ColdUntil; }
  /// Returns when the server was last heard of.
  TimePoint heardAt() const { return HeardAt; }

private:
  InstanceState State = InstanceState::Absent;
  std::string Instance;
  std::string Service;
  std::uint32_t Slots = 0;
  std::int64_t BornMillis = 0; ///< 0: not known yet.
  std::uint64_t Sequence = 0;
  bool Left = false;        ///< The incarnation BornMillis has left for good.
  std::string LeftInstance; ///< Left before any heartbeat of it was heard.
  TimePoint ColdUntil;
  TimePoint HeardAt;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_LOCALSERVER_H
