// RolloutOrders.h - Rollout orders in force and the progress of each.

#ifndef FIGSAIL_SIDECAR_ROLLOUTORDERS_H
#define FIGSAIL_SIDECAR_ROLLOUTORDERS_H

#include "Rollout.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace figsail {

/// Order of a service and what is known of its progress.
struct ActiveRollout {
  RolloutOrder Order;
  Offset At = NoOffset; ///< Of the order in the operator topic.
  TimePoint Start;      ///< Of the order's time.
  std::optional<RolloutShare> Share;

  Duration elapsed(TimePoint Now) const { return Now - Start; }
  RolloutState state() const {
    return Share ? Share->State : RolloutState::Running;
  }
  unsigned step() const { return Share ? Share->Step : 0; }
};

/// Returns whether two offsets may denote the same order. After the store was
/// restored, records of the earlier history have none.
inline bool maybeSameOrder(Offset One, Offset Other) {
  return One == Other || One == NoOffset || Other == NoOffset;
}

/// The orders that this daemon has read. Orders and share records come from
/// two topics, in any sequence.
class RolloutOrders {
public:
  /// Applies an order. Returns whether it is another one than before.
  bool apply(TimePoint Now, const RolloutOrder &Order, Offset At);
  /// Applies a share record. Returns whether it changes the progress of the
  /// service's order.
  bool apply(TimePoint Now, const RolloutShare &Share);
  /// Another daemon counts so much time since the start of an order. A daemon
  /// that has restarted knows less.
  void observeElapsed(TimePoint Now, const std::string &Service, Offset At,
                      Duration Elapsed);

  /// Returns the order of a service, or null.
  const ActiveRollout *find(const std::string &Service) const;
  /// Returns whether the version was the target of an earlier order of the
  /// service, which was not completed.
  bool isRejected(const std::string &Service, const std::string &Version) const;
  /// Returns all such versions of the service.
  std::vector<std::string> rejected(const std::string &Service) const;
  bool empty() const { return Services.empty(); }

private:
  struct ServiceOrders {
    std::optional<ActiveRollout> Active;
    std::optional<RolloutShare> Newest; ///< Of any order.
    std::set<std::string> Rejected;
  };
  bool remove(const std::string &Service);
  static bool belongs(const RolloutShare &Share, const ActiveRollout &Rollout);
  static bool adopt(TimePoint Now, ServiceOrders &Known);

  std::map<std::string, ServiceOrders> Services;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_ROLLOUTORDERS_H
