// TopicFollower.h - Continuous reader of one topic of the store.

#ifndef FIGSAIL_SIDECAR_TOPICFOLLOWER_H
#define FIGSAIL_SIDECAR_TOPICFOLLOWER_H

#include "SidecarEvents.h"
#include "StoreTimeouts.h"

#include <algorithm>
#include <string>

namespace figsail {

/// Reader of one topic. It first reads the newest record of each key, then the
/// records that are appended. While it is active, one read is in flight at any
/// time, except in a pause after a read.
///
/// A read that gets no answer before its timeout is tried again, and a hedged
/// read is sent beside it: the store may be away, then a new read succeeds
/// first, or slow, then the hedged read does. The first answer counts and ends
/// the other read. The timeout of the next reads follows from the time that the
/// answer took.
///
/// Load pattern: all daemons start while the store takes longer for an answer
/// than the timeout. If each of them gave up each read, none would ever become
/// ready, and the reads that were given up would still load the store.
class TopicFollower {
public:
  explicit TopicFollower(Topic Which) : Which(Which) {}

  /// The store has answered a read: measures the time, and gives up the other
  /// read. The result is to be reported next.
  void answered(TimePoint Now, bool Hedged, SidecarEffects &Out);
  /// A read has succeeded. The next one starts at offset Next, after a pause
  /// that depends on the topic. Records: the read returned any.
  void readDone(TimePoint Now, Offset Next, bool Records, SidecarEffects &Out);
  /// A read has succeeded, and the store has more records. The next read
  /// follows at once. From the operator topic it takes the newest record of
  /// each key, since only these count and each one is large.
  void pageDone(TimePoint Now, Offset Next, SidecarEffects &Out);
  /// The store no longer keeps the requested records. Starts over from a
  /// snapshot.
  void readTruncated(TimePoint Now, SidecarEffects &Out);
  /// The store has another history. Starts over from a snapshot. The result of
  /// a read in flight may have offsets of either history.
  void restart(TimePoint Now);
  /// Returns whether the read that has just ended began in another history. If
  /// so, starts it again.
  bool discardStaleRead(TimePoint Now, SidecarEffects &Out);
  /// A read has failed. The next one starts after a backoff, and a hedged read
  /// at once if there was no answer in time. Of several failures in a row, the
  /// first one is logged and those that broke off an answer.
  void readFailed(TimePoint Now, std::uint64_t Seed,
                  const TopicReadFailed &Failure, SidecarEffects &Out);
  /// Starts the reads at offset Next that are due.
  void timer(TimePoint Now, Offset Next, SidecarEffects &Out);
  /// Sets whether this daemon reads the store or relies on another one. A read
  /// in flight continues to its end.
  void setActive(TimePoint Now, bool Wanted);
  TimePoint nextWake() const { return std::min({ReadAt, OverdueAt, HedgeAt}); }

  /// Returns whether the whole topic has been read or received.
  bool complete() const { return Complete; }
  /// Another daemon has sent the whole topic.
  void markComplete() { Complete = true; }
  /// Records up to the image's offset came from another daemon, so a read may
  /// go on from there instead of from a snapshot.
  void skipSnapshot() { NeedsSnapshot = false; }
  /// Returns whether this daemon reads the store and the last read succeeded.
  bool live() const {
    return Active && Complete && !NeedsSnapshot && !failing();
  }
  /// Returns whether it is live, a read has ended since it began to read, and
  /// the last answer was not so late that what it says may have changed.
  bool confirmed() const {
    return live() && ReadSinceActive && AnswerTime < MinStoreTimeout;
  }
  /// Returns the time that the store took for the last answer, without the time
  /// for which it held the read; 0 without a recent answer.
  Duration answerTime(TimePoint Now) const;
  /// Returns whether the last read of the store has failed, or the present one
  /// should have ended by now.
  bool failing() const { return Failures > 0 || Overdue; }

private:
  void read(TimePoint Now, Offset Next, SidecarEffects &Out);
  void hedge(TimePoint Now, Offset Next, SidecarEffects &Out);
  void hedgeFailed(TimePoint Now);
  void endRead();
  void noteSuccess(TimePoint Now, Offset Next, SidecarEffects &Out);

  Topic Which;
  bool Active = true;
  bool Reading = false;
  TimePoint StartedAt{};                   ///< Of the last read.
  Duration Held{0};                        ///< For which the store may hold it.
  TimePoint HedgeAt = TimePoint::max();    ///< Time of the next hedged read.
  bool Hedging = false;                    ///< A hedged read is in flight.
  TimePoint HedgedAt{};                    ///< Start of the last hedged read.
  Duration HedgeTimeout = MinHedgeTimeout; ///< Of the next hedged read.
  Duration AnswerTime{0};                  ///< Of the last answer.
  TimePoint AnsweredAt{};
  bool ReadIsStale = false; ///< The read in flight began in another history.
  bool Complete = false;
  bool NeedsSnapshot = true;
  unsigned Failures = 0; ///< In a row.
  /// A read has succeeded since the start or the last failure.
  bool StoreReached = false;
  bool ReadSinceActive = false; ///< A read has succeeded since setActive().
  TimePoint ReadAt{}; ///< Time of the next read; max() while none is scheduled.
  bool Overdue = false;                   ///< The read in flight is.
  TimePoint OverdueAt = TimePoint::max(); ///< When the read in flight will be.
};

/// Returns the pause before the next attempt after a number of failures in a
/// row, randomized so that daemons do not retry together.
Duration retryBackoff(unsigned Failures, std::uint64_t Seed);

} // namespace figsail

#endif // FIGSAIL_SIDECAR_TOPICFOLLOWER_H
