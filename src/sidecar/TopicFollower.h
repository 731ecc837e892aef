// TopicFollower.h - Reads one topic of the store for as long as the daemon
// runs.

#ifndef FIGSAIL_SIDECAR_TOPICFOLLOWER_H
#define FIGSAIL_SIDECAR_TOPICFOLLOWER_H

#include "SidecarEvents.h"

#include <string>

namespace figsail {

/// First reads the newest record of each key, then what is appended. While it
/// is active, one read is under way at any time, or a pause after a failure.
class TopicFollower {
public:
  explicit TopicFollower(Topic Which) : Which(Which) {}

  /// A read has ended; the next one starts after a pause that depends on the
  /// topic. Next is where to read on.
  void readDone(TimePoint Now, Offset Next, bool Records, SidecarEffects &Out);
  /// The wanted records are gone; starts over from a snapshot.
  void readTruncated(SidecarEffects &Out);
  /// The store has another history; starts over from a snapshot. What a read
  /// under way returns has offsets of either history.
  void restart(TimePoint Now);
  /// Returns whether the read that has just ended began in another history. It
  /// is repeated.
  bool discardStaleRead(TimePoint Now, SidecarEffects &Out);
  /// A read has failed; the next one waits. Logs the loss of the store once.
  void readFailed(TimePoint Now, std::uint64_t Seed, const std::string &Reason,
                  SidecarEffects &Out);
  /// Starts a read that is due, from Next on.
  void timer(TimePoint Now, Offset Next, SidecarEffects &Out);
  /// Reads the store, or leaves it to another daemon. A read under way ends.
  void setActive(TimePoint Now, bool Wanted);
  TimePoint nextWake() const { return ReadAt; }

  /// Returns whether the topic is known as a whole.
  bool complete() const { return Complete; }
  /// Another daemon has told the whole topic.
  void markComplete() { Complete = true; }
  /// Returns whether the store is read here, and the last read ended well.
  bool live() const {
    return Active && Complete && !NeedsSnapshot && Failures == 0;
  }
  /// Returns whether the last read of the store has failed.
  bool failing() const { return Failures > 0; }

private:
  void read(Offset Next, SidecarEffects &Out);

  Topic Which;
  bool Active = true;
  bool Reading = false;
  bool ReadIsStale = false; ///< The read under way began in another history.
  bool Complete = false;
  bool NeedsSnapshot = true;
  unsigned Failures = 0; ///< In a row.
  bool StoreReached =
      false;          ///< A read has ended well since the start or a loss.
  TimePoint ReadAt{}; ///< Of the next read; max() while there is none due.
};

/// Returns the pause before the try after a number of failures in a row, spread
/// so that daemons do not return together.
Duration retryBackoff(unsigned Failures, std::uint64_t Seed);

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICFOLLOWER_H
