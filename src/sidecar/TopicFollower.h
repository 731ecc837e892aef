// TopicFollower.h - Reads one topic of the store for as long as the daemon
// runs.

#ifndef FIGSAIL_SIDECAR_TOPICFOLLOWER_H
#define FIGSAIL_SIDECAR_TOPICFOLLOWER_H

#include "SidecarEvents.h"

#include <string>

namespace figsail {

/// First reads the newest record of each key, then what is appended. One read
/// is under way at any time, or a pause after a failure.
class TopicFollower {
public:
  explicit TopicFollower(Topic Which) : Which(Which) {}

  /// A read has ended; the next one starts at once.
  void snapshotRead(SidecarEffects &Out, Offset NextOffset);
  void recordsRead(SidecarEffects &Out, Offset NextOffset);
  /// The wanted records are gone; starts over from a snapshot.
  void truncated(SidecarEffects &Out);
  /// A read has failed; the next one waits. Logs the loss of the store once.
  void failed(TimePoint Now, std::uint64_t Seed, const std::string &Reason,
              SidecarEffects &Out);
  void timer(TimePoint Now, SidecarEffects &Out);
  TimePoint nextWake() const { return RetryAt; }

  /// Returns whether a snapshot was read since the start.
  bool complete() const { return Complete; }
  /// Returns whether the last read ended well.
  bool reachable() const { return Failures == 0 && Complete; }

private:
  void readOn(SidecarEffects &Out);
  void regained(SidecarEffects &Out);

  Topic Which;
  bool Complete = false;
  bool Listed = false; ///< Next is the end of a snapshot or of a read.
  Offset Next = 0;
  unsigned Failures = 0; ///< In a row.
  TimePoint RetryAt{};   ///< Due at the first timer; max() while reading.
};

/// Returns the pause before the try after a number of failures in a row, spread
/// so that daemons do not return together.
Duration retryPause(unsigned Failures, std::uint64_t Seed);

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICFOLLOWER_H
