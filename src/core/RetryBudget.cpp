// RetryBudget.cpp - One token bucket for each service.

#include "RetryBudget.h"

namespace figsail {

void RetryBudget::configure(RetryLimits NewLimits) {
  Limits = NewLimits;
  for (auto &[Service, Bucket] : Buckets)
    Bucket.configure(Limits.RetriesPerSecond, Limits.Burst);
}

void RetryBudget::recordCall(TimePoint Now, const std::string &Service) {
  bucketOf(Now, Service).put(Limits.RetriesPerCall);
}

bool RetryBudget::take(TimePoint Now, const std::string &Service) {
  return bucketOf(Now, Service).take(Now);
}

TokenBucket &RetryBudget::bucketOf(TimePoint Now, const std::string &Service) {
  auto Found = Buckets.find(Service);
  if (Found != Buckets.end())
    return Found->second;
  // Services that no longer exist leave their budgets behind.
  if (Buckets.size() >= MaxServices)
    Buckets.erase(Buckets.begin());
  TokenBucket &Added =
      Buckets
          .emplace(Service, TokenBucket(Limits.RetriesPerSecond, Limits.Burst))
          .first->second;
  // Sets the reference time, so that time before the first use earns nothing.
  Added.take(Now, 0);
  return Added;
}

} // namespace figsail
