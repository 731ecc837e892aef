// RetryBudget.h - Rate limit of the retries of calls.

#ifndef FIGSAIL_CORE_RETRYBUDGET_H
#define FIGSAIL_CORE_RETRYBUDGET_H

#include "figsail/TokenBucket.h"

#include <string>
#include <unordered_map>

namespace figsail {

/// Bounds of a retry budget.
struct RetryLimits {
  double RetriesPerCall = 0.1; ///< Retries gained with each call.
  double RetriesPerSecond = 3; ///< Retries gained without any call.
  double Burst = 10;           ///< Most retries that can be saved.
};

/// The retries allowed for each service: a fraction of its calls plus a fixed
/// rate.
class RetryBudget {
public:
  static constexpr std::size_t MaxServices = 4096; ///< Budgets kept.

  explicit RetryBudget(RetryLimits Limits = {}) : Limits(Limits) {}

  /// Changes the bounds of all budgets.
  void configure(RetryLimits NewLimits);

  /// Must be called for the first attempt of each call of a service.
  void recordCall(TimePoint Now, const std::string &Service);

  /// Takes one retry from the budget. Returns false if the budget is spent.
  bool take(TimePoint Now, const std::string &Service);

private:
  TokenBucket &bucketOf(TimePoint Now, const std::string &Service);

  RetryLimits Limits;
  std::unordered_map<std::string, TokenBucket> Buckets; ///< By service path.
};

} // namespace figsail

#endif // FIGSAIL_CORE_RETRYBUDGET_H
