// RetryBudget.h - Bounds how often calls are sent a second time.

#ifndef FIGSAIL_CORE_RETRYBUDGET_H
#define FIGSAIL_CORE_RETRYBUDGET_H

#include "figsail/TokenBucket.h"

#include <string>
#include <unordered_map>

namespace figsail {

/// Bounds of a retry budget.
struct RetryLimits {
  double RetriesPerCall = 0.1; ///< Retries for each call.
  double RetriesPerSecond = 3; ///< Retries without any call.
  double Burst = 10;           ///< Most retries saved up.
};

/// Retries allowed for each service: a share of its calls plus a fixed rate.
class RetryBudget {
public:
  static constexpr std::size_t MaxServices = 4096; ///< Budgets kept.

  explicit RetryBudget(RetryLimits Limits = {}) : Limits(Limits) {}

  /// Changes the bounds of all budgets.
  void configure(RetryLimits NewLimits);

  /// A first attempt of a call of this service is sent.
  void recordCall(TimePoint Now, const std::string &Service);

  /// Takes one retry. Returns false when the budget is spent.
  bool take(TimePoint Now, const std::string &Service);

private:
  TokenBucket &bucketOf(TimePoint Now, const std::string &Service);

  RetryLimits Limits;
  std::unordered_map<std::string, TokenBucket> Buckets; ///< By service path.
};

} // namespace figsail

#endif // FIGSAIL_CORE_RETRYBUDGET_H
