// CrashDetector.h - Recognizes requests that crash the backend server.

#ifndef FIGSAIL_SIDECAR_CRASHDETECTOR_H
#define FIGSAIL_SIDECAR_CRASHDETECTOR_H

#include "Quarantine.h"

#include <deque>
#include <optional>
#include <vector>

namespace figsail {

/// Load pattern: one request, sent again and again by its client, crashes each
/// server that runs it, and takes down a service one server at a time.
///
/// A broken connection alone proves nothing, since servers and networks break
/// single connections. Runs count as crashed when the server itself turns out
/// to be gone shortly after.
class CrashDetector {
public:
  /// The connection of a run broke before its response. Alone: no other suspect
  /// was running.
  void connectionBroken(TimePoint Now, std::uint64_t Fingerprint,
                        TimePoint Started, bool Alone);
  /// The server refuses connections, or another incarnation has started.
  void serverLost(TimePoint Now);
  /// A run got a response.
  void succeeded(TimePoint Now, std::uint64_t Fingerprint);
  /// The daemon of another server of the service has reported.
  void merge(TimePoint Now, const SuspectReport &Report) {
    Suspects.merge(Now, Report);
  }
  Suspicion check(TimePoint Now, std::uint64_t Fingerprint) const {
    return Suspects.check(Now, Fingerprint);
  }
  /// Returns what the daemons of the service's other servers need to know.
  std::vector<SuspectReport> takeReports();

private:
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
