// CrashDetector.h - Detection of requests that crash the backend server.

#ifndef FIGSAIL_SIDECAR_CRASHDETECTOR_H
#define FIGSAIL_SIDECAR_CRASHDETECTOR_H

#include "Quarantine.h"

#include <deque>
#include <optional>
#include <vector>

namespace figsail {

/// Detector of requests that crash the local backend server.
///
/// Load pattern: one request that its client resends again and again crashes
/// every server that runs it, and so takes down a service server by server.
///
/// A broken connection alone is no evidence, since servers and networks break
/// single connections. A run counts as crashed if the server itself is found to
/// be down shortly after.
class CrashDetector {
public:
  /// Records that the connection of a run broke before its response. Alone: no
  /// suspect of other content was running when it started.
  void connectionBroken(TimePoint Now, std::uint64_t Fingerprint,
                        TimePoint Started, bool Alone);
  /// Reports that the server refuses connections or another incarnation runs.
  /// Recently broken runs then count as crashes.
  void serverLost(TimePoint Now);
  /// Records that a run got a response.
  void succeeded(TimePoint Now, std::uint64_t Fingerprint);
  /// Merges the report of another server's daemon. Returns the report for it,
  /// if this daemon knows of more crashes.
  std::optional<SuspectReport> merge(TimePoint Now,
                                     const SuspectReport &Report) {
    return Suspects.merge(Now, Report);
  }
  /// Returns the reports for a daemon that has started since they were sent.
  std::vector<SuspectReport> knownReports(TimePoint Now) const {
    return Suspects.reports(Now, MaxKnownReports);
  }
  Suspicion check(TimePoint Now, std::uint64_t Fingerprint) const {
    return Suspects.check(Now, Fingerprint);
  }
  /// Returns the reports to send to the daemons of the service's other servers,
  /// each one once.
  std::vector<SuspectReport> takeReports();

private:
  /// Bound on the reports for one daemon that starts.
  static constexpr std::size_t MaxKnownReports = 64;

  struct BrokenRun {
    TimePoint BrokenAt;
    std::uint64_t Fingerprint = 0;
    TimePoint Started;
    bool Alone = false;
  };
  std::deque<BrokenRun> Broken; ///< Oldest first.
  std::vector<SuspectReport> Reports;
  Quarantine Suspects;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_CRASHDETECTOR_H
