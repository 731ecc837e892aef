// ServerRetryBudget.h - Bounds the requests that reach a backend server beyond
// the first of each call.

#ifndef FIGSAIL_SIDECAR_SERVERRETRYBUDGET_H
#define FIGSAIL_SIDECAR_SERVERRETRYBUDGET_H

#include "SidecarSettings.h"

#include "figsail/TokenBucket.h"

#include <cstddef>

namespace figsail {

/// The share of the operator's retry budget that one backend server may use. It
/// is held beside the server, which every arrival passes, so the sum over all
/// servers of a service keeps the operator's ratio and slack without agreement,
/// and what was sent but never arrived costs nothing.
///
/// Load pattern: servers that call servers, several deep, while one level fails
/// a part of its requests. A run that is itself a repeat repeats the calls of
/// all levels below. These cannot be refused without failing the run, so they
/// are charged first, and repeats get what they leave.
class ServerRetryBudget {
public:
  explicit ServerRetryBudget(const SidecarBounds &Bounds);

  void configure(const SidecarBounds &Changed);
  /// The number of the service's servers, over which the slack is divided. A
  /// lower number counts after a window: those that left may have used their
  /// share.
  void setServerCount(TimePoint Now, std::size_t Count);

  /// A request arrives for the first time. RetryFraction: the part of it, from
  /// 0 to 1, that counts as a repeat because of the run which made the call.
  void addFirstArrival(TimePoint Now, double RetryFraction);
  /// Takes the right to one repeat. Returns false when there is none.
  bool takeRetry(TimePoint Now);
  /// A repeat did not reach the server after all.
  void returnRetry() { Tokens.put(1); }

private:
  void startEmpty(TimePoint Now);
  void configureTokens();

  double Ratio;
  double Slack;
  Duration Window;
  std::size_t ServerCount = 1;
  TimePoint DecreaseAllowedAt{}; ///< Until then Servers does not fall.
  bool Started = false;
  TokenBucket Tokens{0, 0};
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SERVERRETRYBUDGET_H
