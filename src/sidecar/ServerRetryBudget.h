// ServerRetryBudget.h - Retry budget of one backend server, enforced beside it.

#ifndef FIGSAIL_SIDECAR_SERVERRETRYBUDGET_H
#define FIGSAIL_SIDECAR_SERVERRETRYBUDGET_H

#include "SidecarSettings.h"

#include "figsail/TokenBucket.h"

#include <cstddef>

namespace figsail {

/// Part of the operator's retry budget that one backend server may use. Every
/// request to the server passes its daemon, which enforces the budget. The sum
/// over all servers of a service therefore keeps the operator's ratio and slack
/// without coordination, and retries that never arrive cost nothing.
///
/// Load pattern: servers that call other servers, several levels deep, while
/// one level fails a fraction of its requests. A run that is itself a retry
/// makes the calls of all levels below once more. These cannot be refused
/// without failing the run, so they are charged first; the rest is left for
/// retries.
class ServerRetryBudget {
public:
  explicit ServerRetryBudget(const SidecarBounds &Bounds);

  void configure(const SidecarBounds &Changed);
  /// Sets the number of the service's servers, among which the slack is
  /// divided. A lower number takes effect after one window: servers that left
  /// may have used their part in the present one.
  void setServerCount(TimePoint Now, std::size_t Count);

  /// Counts the first request of a call. RetryFraction, from 0 to 1, is the
  /// part of it that counts as a retry because the calling run may be one.
  void addFirstArrival(TimePoint Now, double RetryFraction);
  /// Takes one retry from the budget. Returns false when it is spent.
  bool takeRetry(TimePoint Now);
  /// Returns a retry that did not reach the server.
  void returnRetry() { Tokens.put(1); }

private:
  void startEmpty(TimePoint Now);
  void configureTokens();

  double Ratio;
  double Slack;
  Duration Window;
  std::size_t ServerCount = 1;
  TimePoint DecreaseAllowedAt{}; ///< Until then ServerCount does not fall.
  bool Started = false;
  TokenBucket Tokens{0, 0};
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SERVERRETRYBUDGET_H
