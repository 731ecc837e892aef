// RolloutJudge.h - Comparison of a new version with the old one.

#ifndef FIGSAIL_SIDECAR_ROLLOUTJUDGE_H
#define FIGSAIL_SIDECAR_ROLLOUTJUDGE_H

#include "figsail/PeerMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figsail {

/// Counts of one route, over the servers of one version.
struct RouteTotals {
  std::uint64_t Runs = 0;
  std::uint64_t Failures = 0;
  std::vector<std::uint64_t> Times; ///< Runs by runTimeBucket().

  void add(const RolloutRouteCounts &Counts);
  /// Returns these counts without the earlier ones.
  RouteTotals since(const RouteTotals &Earlier) const;
};
using VersionTotals = std::map<std::string, RouteTotals>; ///< By route.

/// Returns the counts without earlier ones of the same servers.
VersionTotals totalsSince(const VersionTotals &Now,
                          const VersionTotals &Earlier);
/// Returns the number of runs of all routes.
std::uint64_t countRuns(const VersionTotals &Totals);

/// Number of buckets of run times.
inline constexpr std::size_t RunTimeBuckets = 32;
/// Returns the bucket of a run time: of those from 1 ms on, each is longer than
/// the one before by a factor of the square root of 2.
std::size_t runTimeBucket(Duration Time);

/// Health of a new version.
enum class RolloutHealth : std::uint8_t {
  Healthy,
  Suspicious, ///< More bad answers than expected; may be chance.
  Bad,
};

/// Result of a comparison.
struct RolloutJudgement {
  RolloutHealth Health = RolloutHealth::Healthy;
  std::string Route;       ///< Empty: all routes together.
  std::string_view Reason; ///< "failures" or "slow".
};

/// Compares the answers of the new version with those of the old one, by route
/// and over all routes. One-sided tests decide from few samples. Of a route
/// that the old version does not run, only complete failure counts.
RolloutJudgement judgeRollout(const VersionTotals &Old,
                              const VersionTotals &New);

/// Returns the probability of at least Hits hits in Trials independent trials,
/// each of the given probability.
double binomialTail(std::uint64_t Trials, std::uint64_t Hits,
                    double Probability);

} // namespace figsail

#endif // FIGSAIL_SIDECAR_ROLLOUTJUDGE_H
