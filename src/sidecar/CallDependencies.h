// CallDependencies.h - Routes whose runs fail since a service that they call
// refuses calls.

#ifndef FIGSAIL_SIDECAR_CALLDEPENDENCIES_H
#define FIGSAIL_SIDECAR_CALLDEPENDENCIES_H

#include "SidecarEvents.h"

#include <string>
#include <unordered_map>

namespace figsail {

/// Refusal of requests at the ingress whose runs would fail.
///
/// Load pattern: a service sheds most of its calls, or none of its servers is
/// reachable. The runs of the routes that call it take slots for their whole
/// time and then fail. Their requests are refused on arrival instead, as large
/// a fraction of them as recent runs failed for this reason, and none unless
/// nearly all did. Requests that still get through show when it ends.
class CallDependencies {
public:
  /// A run of the route has ended with a response. CallRefused: it failed since
  /// a service refused one of its calls.
  void runEnded(TimePoint Now, const std::string &Route, bool CallRefused);
  /// A request of the route has arrived. Returns whether it is refused.
  bool refusesRequest(TimePoint Now, const std::string &Route,
                      SidecarEffects &Out);

private:
  struct RecentRuns {
    TimePoint UpdatedAt;
    double Ended = 0;   ///< Runs; older ones decay.
    double Refused = 0; ///< Those that failed for a refused call; decays too.
    double Credit = 0;  ///< Requests to refuse.
    TimePoint LastAdmitted;
    bool Refusing = false; ///< As it was logged last.
  };

  static void logChange(RecentRuns &Runs, const std::string &Route,
                        double Fraction, SidecarEffects &Out);

  std::unordered_map<std::string, RecentRuns> Routes;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_CALLDEPENDENCIES_H
