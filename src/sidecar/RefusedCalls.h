// RefusedCalls.h - Runs of the local backend server that failed since a service
// refused one of their calls.

#ifndef FIGSAIL_SIDECAR_REFUSEDCALLS_H
#define FIGSAIL_SIDECAR_REFUSEDCALLS_H

#include "figsail/Types.h"

#include <deque>

namespace figsail {

/// Memory of the refused calls of the local backend server's runs. Which run
/// made a call is not known: a refused call explains one failed run that was
/// under way.
///
/// Load pattern: the servers of one service turn away most of what they get,
/// and the runs that call it fail. A run that is retried elsewhere makes its
/// calls again, all of them count as retries at that service, and they use up
/// its retry budget to be refused once more. A retry of the refused call alone
/// costs one arrival.
class RefusedCalls {
public:
  /// A service has refused a call of a run.
  void add(TimePoint Now);
  /// A run that started at RunStart has failed. Returns whether a refused call
  /// explains that.
  bool explain(TimePoint RunStart);

private:
  std::deque<TimePoint> Refused; ///< The newest at the back.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_REFUSEDCALLS_H
