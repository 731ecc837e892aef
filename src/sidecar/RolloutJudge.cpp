// RolloutJudge.cpp - Tests on failures and run times.

#include "RolloutJudge.h"

#include <algorithm>
#include <cmath>

namespace figsail {

/// Probability of so many bad answers by chance below which a version is bad.
/// The test is repeated several times a second, with most of the samples the
/// same.
static constexpr double BadLevel = 2e-4;
/// The same, below which a version takes no further step.
static constexpr double SuspiciousLevel = 5e-3;
/// Failures from which a version can be bad.
static constexpr std::uint64_t MinFailures = 3;
/// Slow runs from which a version can be bad.
static constexpr std::uint64_t MinSlowRuns = 4;
/// Failures of a route that the old version does not run, all of its runs, from
/// which the new version is bad.
static constexpr std::uint64_t MinCompleteFailures = 5;
/// Runs of the old version from which a route is compared.
static constexpr std::uint64_t MinReferenceRuns = 10;
/// Part of the answers that may fail in addition to the old version's.
static constexpr double FailureAllowance = 0.01;
/// The same for slow runs. The slowdown of a server is known with a delay, so
/// some runs in its slow periods count at their full length.
static constexpr double SlowAllowance = 0.05;
/// Factor on the old version's part of slow runs. Servers with few calls report
/// their slowdown less often.
static constexpr double SlowFactor = 1.5;
/// Buckets above that of the old version's median from which a run counts as
/// slow: between 2 and 4 times the median.
static constexpr std::size_t SlowBuckets = 3;

void RouteTotals::add(const RolloutRouteCounts &Counts) {
  Runs += Counts.Runs;
  Failures += Counts.Failures;
  std::size_t Buckets = std::min(Counts.Times.size(), RunTimeBuckets);
  if (Times.size() < Buckets)
    Times.resize(Buckets);
  for (std::size_t I = 0; I < Buckets; ++I)
    Times[I] += Counts.Times[I];
}

/// Returns the difference, or 0 if a count went back.
static std::uint64_t difference(std::uint64_t Now, std::uint64_t Earlier) {
  return Now - std::min(Now, Earlier);
}

RouteTotals RouteTotals::since(const RouteTotals &Earlier) const {
  RouteTotals Result;
  Result.Runs = difference(Runs, Earlier.Runs);
  Result.Failures = difference(Failures, Earlier.Failures);
  Result.Times = Times;
  std::size_t Buckets = std::min(Times.size(), Earlier.Times.size());
  for (std::size_t I = 0; I < Buckets; ++I)
    Result.Times[I] = difference(Times[I], Earlier.Times[I]);
  return Result;
}

VersionTotals totalsSince(const VersionTotals &Now,
                          const VersionTotals &Earlier) {
  VersionTotals Result;
  for (const auto &[Route, Totals] : Now) {
    auto Found = Earlier.find(Route);
    Result[Route] =
        Found == Earlier.end() ? Totals : Totals.since(Found->second);
  }
  return Result;
}

std::uint64_t countRuns(const VersionTotals &Totals) {
  std::uint64_t Sum = 0;
  for (const auto &[Route, Counts] : Totals)
    Sum += Counts.Runs;
  return Sum;
}

std::size_t runTimeBucket(Duration Time) {
  double Millis = std::chrono::duration<double, std::milli>(Time).count();
  if (Millis <= 1)
    return 0;
  auto Bucket = static_cast<std::size_t>(std::ceil(2 * std::log2(Millis)));
  return std::min(Bucket, RunTimeBuckets - 1);
}

double binomialTail(std::uint64_t Trials, std::uint64_t Hits,
                    double Probability) {
  auto N = static_cast<double>(Trials);
  auto K = static_cast<double>(Hits);
  if (K <= N * Probability)
    return 1;
  double Log = std::lgamma(N + 1) - std::lgamma(K + 1) -
               std::lgamma(N - K + 1) + K * std::log(Probability) +
               (N - K) * std::log1p(-Probability);
  double Term = std::exp(Log);
  double Sum = 0;
  double Odds = Probability / (1 - Probability);
  // Beyond the mean, each term is smaller than the one before.
  for (; K <= N && Term > Sum * 1e-9; ++K) {
    Sum += Term;
    Term *= (N - K) / (K + 1) * Odds;
  }
  return std::min(1.0, Sum);
}

namespace {

/// Bad answers of one kind among the runs of a version.
struct Sample {
  std::uint64_t Runs = 0;
  std::uint64_t Bad = 0;
  double Expected = 0; ///< Part of the runs that may be bad, from 0 to 1.
};

} // namespace

static RolloutHealth healthOf(const Sample &Observed, std::uint64_t MinBad) {
  if (Observed.Bad < MinBad)
    return RolloutHealth::Healthy;
  double Chance = binomialTail(Observed.Runs, Observed.Bad,
                               std::min(0.9, Observed.Expected));
  if (Chance < BadLevel)
    return RolloutHealth::Bad;
  return Chance < SuspiciousLevel ? RolloutHealth::Suspicious
                                  : RolloutHealth::Healthy;
}

/// Returns an estimate of a probability that is not 0 after few trials.
static double estimate(std::uint64_t Hits, std::uint64_t Trials) {
  return (static_cast<double>(Hits) + 0.5) / (static_cast<double>(Trials) + 1);
}

static Sample failuresOf(const RouteTotals &Old, const RouteTotals &New) {
  return {New.Runs, New.Failures,
          FailureAllowance + estimate(Old.Failures, Old.Runs)};
}

static std::uint64_t timedRuns(const RouteTotals &Totals) {
  std::uint64_t Sum = 0;
  for (std::uint64_t Runs : Totals.Times)
    Sum += Runs;
  return Sum;
}

static std::size_t medianBucket(const RouteTotals &Totals) {
  std::uint64_t Half = (timedRuns(Totals) + 1) / 2;
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I < Totals.Times.size(); ++I) {
    Sum += Totals.Times[I];
    if (Sum >= Half)
      return I;
  }
  return 0;
}

static std::uint64_t runsFrom(const RouteTotals &Totals, std::size_t Bucket) {
  std::uint64_t Sum = 0;
  for (std::size_t I = Bucket; I < Totals.Times.size(); ++I)
    Sum += Totals.Times[I];
  return Sum;
}

static Sample slowRunsOf(const RouteTotals &Old, const RouteTotals &New) {
  std::size_t Slow =
      std::min(medianBucket(Old) + SlowBuckets, RunTimeBuckets - 1);
  return {timedRuns(New), runsFrom(New, Slow),
          SlowAllowance +
              SlowFactor * estimate(runsFrom(Old, Slow), timedRuns(Old))};
}

static void addSample(Sample &Sum, const Sample &Next) {
  std::uint64_t Runs = Sum.Runs + Next.Runs;
  if (Runs == 0)
    return;
  Sum.Expected = (Sum.Expected * static_cast<double>(Sum.Runs) +
                  Next.Expected * static_cast<double>(Next.Runs)) /
                 static_cast<double>(Runs);
  Sum.Runs = Runs;
  Sum.Bad += Next.Bad;
}

static void worsen(RolloutJudgement &Result, RolloutHealth Health,
                   const std::string &Route, std::string_view Reason) {
  if (Health > Result.Health)
    Result = {Health, Route, Reason};
}

RolloutJudgement judgeRollout(const VersionTotals &Old,
                              const VersionTotals &New) {
  RolloutJudgement Result;
  Sample AllFailures;
  Sample AllSlow;
  for (const auto &[Route, Observed] : New) {
    auto Reference = Old.find(Route);
    bool Comparable =
        Reference != Old.end() && Reference->second.Runs >= MinReferenceRuns;
    bool AllFailed = Observed.Runs >= MinCompleteFailures &&
                     Observed.Failures == Observed.Runs;
    if (!Comparable) {
      if (AllFailed)
        worsen(Result, RolloutHealth::Bad, Route, "failures");
      continue;
    }
    Sample Failures = failuresOf(Reference->second, Observed);
    addSample(AllFailures, Failures);
    worsen(Result, healthOf(Failures, MinFailures), Route, "failures");
    if (timedRuns(Reference->second) < MinReferenceRuns)
      continue;
    Sample Slow = slowRunsOf(Reference->second, Observed);
    addSample(AllSlow, Slow);
    worsen(Result, healthOf(Slow, MinSlowRuns), Route, "slow");
  }
  worsen(Result, healthOf(AllFailures, MinFailures), "", "failures");
  worsen(Result, healthOf(AllSlow, MinSlowRuns), "", "slow");
  return Result;
}

} // namespace figsail
