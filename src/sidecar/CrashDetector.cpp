// CrashDetector.cpp - Detection of requests that crash the backend server.

#include "CrashDetector.h"

#include <utility>

namespace figsail {

/// Time within which a crash is detected: when the next connection is refused,
/// at the latest when the server has restarted, which takes some seconds.
static constexpr Duration CrashWindow = std::chrono::seconds(8);
/// More runs than a server executes at the same time.
static constexpr std::size_t MaxBrokenRuns = 256;

void CrashDetector::connectionBroken(TimePoint Now, std::uint64_t Fingerprint,
                                     TimePoint Started, bool Alone) {
  if (Broken.size() >= MaxBrokenRuns)
    Broken.pop_front();
  Broken.push_back({Now, Fingerprint, Started, Alone});
}

void CrashDetector::serverLost(TimePoint Now) {
  for (const BrokenRun &Run : std::exchange(Broken, {})) {
    if (Run.BrokenAt + CrashWindow < Now)
      continue;
    if (auto Report = Suspects.crashed(Run.BrokenAt, Run.Fingerprint,
                                       Run.Started, Run.Alone))
      Reports.push_back(*Report);
  }
}

void CrashDetector::succeeded(TimePoint Now, std::uint64_t Fingerprint) {
  if (auto Report = Suspects.succeeded(Now, Fingerprint))
    Reports.push_back(*Report);
}

std::vector<SuspectReport> CrashDetector::takeReports() {
  return std::exchange(Reports, {});
}

} // namespace figsail
