// BulkPacer.cpp - Pacing of the answers' pieces over all links of a host.

#include "BulkPacer.h"

#include "OutgoingAnswers.h"

#include <algorithm>
#include <cmath>

namespace figsail {

/// Bytes that may be written at once after a pause: two pieces, 26 ms on a link
/// of 10 Mbit/s.
static constexpr double BurstBytes = 32.0 * 1024;

BulkPacer::BulkPacer(double LinkBytes)
    : Rate(LinkBytes * BulkLinkFraction), Bucket(Rate, BurstBytes) {}

bool BulkPacer::request(TimePoint Now,
                        const std::shared_ptr<BulkSender> &Sender) {
  if (Rate <= 0)
    return true;
  auto Own = std::ranges::find_if(
      Waiting, [&](const auto &Other) { return Other.lock() == Sender; });
  bool IsNext = Waiting.empty() || Own == Waiting.begin();
  if (IsNext && isFree(Now)) {
    if (!Waiting.empty())
      Waiting.pop_front();
    return true;
  }
  if (Own == Waiting.end())
    Waiting.push_back(Sender);
  armTimer(Now);
  return false;
}

void BulkPacer::spend(TimePoint Now, std::size_t Bytes) {
  if (Rate > 0)
    Bucket.spend(Now, static_cast<double>(Bytes));
}

/// A sender whose write is unfinished loses its turn, since its peer may not be
/// reading. It requests another one at its next write.
void BulkPacer::resume(TimePoint Now) {
  std::size_t Turns = Waiting.size();
  for (; Turns > 0 && !Waiting.empty() && isFree(Now); --Turns) {
    std::shared_ptr<BulkSender> Next = Waiting.front().lock();
    if (Next)
      Next->resumeBulk();
    if (!Waiting.empty() && Waiting.front().lock() == Next)
      Waiting.pop_front();
  }
  if (!Waiting.empty())
    armTimer(Now);
}

void BulkPacer::armTimer(TimePoint Now) {
  double Missing = std::max(0.0, 1 - Bucket.available(Now));
  auto Micros = static_cast<Duration::rep>(std::ceil(Missing * 1e6 / Rate));
  if (ArmTimer)
    ArmTimer(Now + Duration(Micros));
}

} // namespace figsail
