// BulkPacer.h - Pacing of the answers' pieces over all links of a host.

#ifndef FIGSAIL_BULKPACER_H
#define FIGSAIL_BULKPACER_H

#include "figsail/TokenBucket.h"

#include <deque>
#include <functional>
#include <memory>

namespace figsail {

/// A link that may have to wait until it may send bulk.
class BulkSender {
public:
  virtual ~BulkSender() = default;
  /// Writes what is queued, if no write is unfinished.
  virtual void resumeBulk() = 0;
};

/// Pacing of the pieces of answers over all links of a host, to a fraction of
/// the rate of the host's link. Links take turns.
///
/// Load pattern: a host of 10 Mbit/s sends large answers on dozens of links.
/// The kernel takes 64 KB of each link, seconds altogether, and what is sent
/// later on any link waits behind them.
class BulkPacer {
public:
  /// Called with the time when resume() is due.
  using TimerFunction = std::function<void(TimePoint Due)>;

  /// LinkBytes: rate of the host's link in bytes a second; 0: no pacing.
  explicit BulkPacer(double LinkBytes);

  void setTimer(TimerFunction Function) { ArmTimer = std::move(Function); }
  /// Returns whether the sender may write one piece now. Otherwise it is
  /// resumed when its turn comes.
  bool request(TimePoint Now, const std::shared_ptr<BulkSender> &Sender);
  /// A piece of this many bytes on the wire is being written.
  void spend(TimePoint Now, std::size_t Bytes);
  /// Resumes the senders whose turn it is.
  void resume(TimePoint Now);

private:
  bool isFree(TimePoint Now) { return Bucket.available(Now) > 0; }
  void armTimer(TimePoint Now);

  double Rate; ///< Bytes a second; 0: no pacing.
  TokenBucket Bucket;
  std::deque<std::weak_ptr<BulkSender>> Waiting; ///< In order of their turns.
  TimerFunction ArmTimer;
};

} // namespace figsail

#endif // FIGSAIL_BULKPACER_H
