// RolloutOrders.cpp - Application of orders and share records.

#include "RolloutOrders.h"

#include <algorithm>

namespace figsail {

bool RolloutOrders::belongs(const RolloutShare &Share,
                            const ActiveRollout &Rollout) {
  return Share.TargetVersion == Rollout.Order.TargetVersion &&
         maybeSameOrder(Share.Order, Rollout.At);
}

bool RolloutOrders::apply(TimePoint Now, const RolloutOrder &Order, Offset At) {
  if (!Order.Active)
    return remove(Order.Service);
  ServiceOrders &Known = Services[Order.Service];
  if (Known.Active) {
    const RolloutOrder &Before = Known.Active->Order;
    bool Same = Before.TargetVersion == Order.TargetVersion &&
                Before.Time == Order.Time &&
                maybeSameOrder(Known.Active->At, At);
    if (Same)
      return false;
    if (Known.Active->state() != RolloutState::Completed)
      Known.Rejected.insert(Before.TargetVersion);
  }
  Known.Rejected.erase(Order.TargetVersion);
  Known.Active = ActiveRollout{Order, At, Now, std::nullopt};
  adopt(Now, Known);
  return true;
}

/// Removes an order. Its version stays rejected unless the order was completed.
bool RolloutOrders::remove(const std::string &Service) {
  auto Found = Services.find(Service);
  if (Found == Services.end() || !Found->second.Active)
    return false;
  ServiceOrders &Known = Found->second;
  if (Known.Active->state() != RolloutState::Completed)
    Known.Rejected.insert(Known.Active->Order.TargetVersion);
  Known.Active.reset();
  return true;
}

bool RolloutOrders::apply(TimePoint Now, const RolloutShare &Share) {
  if (Share.TargetVersion.empty())
    return false; // The record was removed.
  ServiceOrders &Known = Services[Share.Service];
  Known.Newest = Share;
  return adopt(Now, Known);
}

/// Returns whether the record Next may follow Present. The progress never goes
/// back: records of two controllers may cross.
static bool follows(const RolloutShare &Next, const RolloutShare &Present) {
  if (isFinal(Present.State))
    return false;
  if (Present.State == RolloutState::Closed)
    return isFinal(Next.State);
  return Next.State != RolloutState::Running || Next.Step >= Present.Step;
}

bool RolloutOrders::adopt(TimePoint Now, ServiceOrders &Known) {
  if (!Known.Active || !Known.Newest)
    return false;
  ActiveRollout &Rollout = *Known.Active;
  const RolloutShare &Next = *Known.Newest;
  if (!belongs(Next, Rollout)) {
    // A daemon that has restarted learns here of an earlier order.
    bool Earlier =
        Next.Order < Rollout.At && Next.State != RolloutState::Completed;
    if (Earlier && Next.TargetVersion != Rollout.Order.TargetVersion)
      Known.Rejected.insert(Next.TargetVersion);
    return false;
  }
  if (Rollout.Share && !follows(Next, *Rollout.Share))
    return false;
  bool Changed = Rollout.Share != Next;
  Rollout.Share = Next;
  Rollout.Start = std::min(Rollout.Start, Now - Next.Elapsed);
  Known.Rejected.insert(Next.Rejected.begin(), Next.Rejected.end());
  Known.Rejected.erase(Rollout.Order.TargetVersion);
  return Changed;
}

void RolloutOrders::observeElapsed(TimePoint Now, const std::string &Service,
                                   Offset At, Duration Elapsed) {
  auto Found = Services.find(Service);
  if (Found == Services.end() || !Found->second.Active)
    return;
  ActiveRollout &Rollout = *Found->second.Active;
  if (maybeSameOrder(Rollout.At, At))
    Rollout.Start = std::min(Rollout.Start, Now - Elapsed);
}

const ActiveRollout *RolloutOrders::find(const std::string &Service) const {
  auto Found = Services.find(Service);
  if (Found == Services.end() || !Found->second.Active)
    return nullptr;
  return &*Found->second.Active;
}

bool RolloutOrders::isRejected(const std::string &Service,
                               const std::string &Version) const {
  auto Found = Services.find(Service);
  return Found != Services.end() && Found->second.Rejected.contains(Version);
}

std::vector<std::string>
RolloutOrders::rejected(const std::string &Service) const {
  auto Found = Services.find(Service);
  if (Found == Services.end())
    return {};
  return {Found->second.Rejected.begin(), Found->second.Rejected.end()};
}

} // namespace figsail
