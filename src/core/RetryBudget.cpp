// RetryBudget.cpp - Token buckets of the retries, one for each service.

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
  // Budgets of services that no longer exist are not removed otherwise.
  if (Buckets.size() >= MaxServices)
    Buckets.erase(Buckets.begin());
  TokenBucket &Added =
      Buckets
          .emplace(Service, TokenBucket(Limits.RetriesPerSecond, Limits.Burst))
          .first->second;
  // Sets the reference time, so that no tokens are gained for earlier time.
  Added.take(Now, 0);
  return Added;
}

} // namespace figsail
