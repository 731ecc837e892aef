// HistoryCheck.cpp - Checker of client histories against run records.

#include "HistoryCheck.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace figsail {

static std::string formatField(const std::string &Value) {
  return Value.empty() ? "-" : Value;
}

static std::string_view echoName(EchoResult Echo) {
  switch (Echo) {
  case EchoResult::NotChecked:
    return "none";
  case EchoResult::Match:
    return "ok";
  case EchoResult::Mismatch:
    return "bad";
  }
  return "none";
}

static std::optional<EchoResult> parseEchoResult(const std::string &Name) {
  for (EchoResult Echo :
       {EchoResult::NotChecked, EchoResult::Match, EchoResult::Mismatch})
    if (echoName(Echo) == Name)
      return Echo;
  return std::nullopt;
}

std::string formatAttempt(const Attempt &Entry) {
  std::ostringstream Out;
  Out << Entry.LogicalId << ' ' << Entry.AttemptId << ' '
      << formatField(Entry.BookingId) << ' ' << Entry.Number << ' '
      << Entry.Target << ' ' << Entry.DueMicros << ' ' << Entry.StartMicros
      << ' ' << Entry.EndMicros << ' ' << Entry.Status << ' '
      << formatField(Entry.Failure) << ' ' << formatField(Entry.ErrorName)
      << ' ' << formatField(Entry.RunOutcome) << ' ' << Entry.BodyHash << ' '
      << echoName(Entry.Echo);
  return Out.str();
}

std::variant<Attempt, std::string> parseAttempt(const std::string &Line) {
  std::istringstream In(Line);
  Attempt Entry;
  std::string Echo;
  std::string Extra;
  In >> Entry.LogicalId >> Entry.AttemptId >> Entry.BookingId >> Entry.Number >>
      Entry.Target >> Entry.DueMicros >> Entry.StartMicros >> Entry.EndMicros >>
      Entry.Status >> Entry.Failure >> Entry.ErrorName >> Entry.RunOutcome >>
      Entry.BodyHash >> Echo;
  std::optional<EchoResult> Result = parseEchoResult(Echo);
  if (!In || !Result || (In >> Extra))
    return "history line \"" + Line + "\" does not have the 14 fields";
  Entry.Echo = *Result;
  for (std::string *Field :
       {&Entry.BookingId, &Entry.Failure, &Entry.ErrorName, &Entry.RunOutcome})
    if (*Field == "-")
      Field->clear();
  return Entry;
}

std::string_view violationName(Violation Rule) {
  switch (Rule) {
  case Violation::RanTwice:
    return "ran-twice";
  case Violation::FalseNotRun:
    return "false-not-run";
  case Violation::WrongBody:
    return "wrong-body";
  case Violation::AnsweredWithoutRun:
    return "answered-unrun";
  case Violation::DifferentBody:
    return "different-body";
  }
  return "unknown";
}

static void checkRunsOnce(const std::vector<RunRecord> &Runs,
                          CheckResult &Result) {
  std::map<std::string, std::uint64_t> Counts;
  for (const RunRecord &Run : Runs) {
    if (Run.BookingId.empty())
      continue;
    if (++Counts[Run.BookingId] == 2)
      Result.Findings.push_back({Violation::RanTwice, Run.BookingId});
  }
}

static void checkNotRun(const std::vector<Attempt> &History,
                        const std::vector<RunRecord> &Runs,
                        CheckResult &Result) {
  std::set<std::string> Ran;
  for (const RunRecord &Run : Runs)
    Ran.insert(Run.AttemptId);
  for (const Attempt &Entry : History)
    if (Entry.RunOutcome == "no" && Ran.contains(Entry.AttemptId))
      Result.Findings.push_back({Violation::FalseNotRun, Entry.AttemptId});
}

static void checkBodies(const std::vector<Attempt> &History,
                        CheckResult &Result) {
  std::map<std::string, std::uint64_t> Hashes; ///< By Booking-Id.
  for (const Attempt &Entry : History) {
    if (Entry.Status != 200)
      continue;
    if (Entry.Echo == EchoResult::Mismatch)
      Result.Findings.push_back({Violation::WrongBody, Entry.AttemptId});
    if (Entry.BookingId.empty())
      continue;
    auto [First, New] = Hashes.emplace(Entry.BookingId, Entry.BodyHash);
    if (!New && First->second != Entry.BodyHash)
      Result.Findings.push_back({Violation::DifferentBody, Entry.BookingId});
  }
}

static void checkAnswered(const std::set<std::string> &AnsweredIds,
                          const std::vector<RunRecord> &Runs,
                          CheckResult &Result) {
  std::set<std::string> Ran;
  for (const RunRecord &Run : Runs)
    Ran.insert(Run.RequestId);
  for (const std::string &Id : AnsweredIds)
    if (!Ran.contains(Id))
      Result.Findings.push_back({Violation::AnsweredWithoutRun, Id});
}

/// Returns the outcome under which an attempt is counted.
static std::string outcomeName(const Attempt &Entry) {
  if (Entry.Status == 0)
    return Entry.Failure;
  std::string Status = std::to_string(Entry.Status);
  if (Entry.ErrorName.empty())
    return Status;
  return Status + " " + Entry.ErrorName +
         " run:" + formatField(Entry.RunOutcome);
}

CheckResult checkHistory(const std::vector<Attempt> &History,
                         const std::optional<std::vector<RunRecord>> &Runs) {
  CheckResult Result;
  std::set<std::string> LogicalIds;
  std::set<std::string> AnsweredIds;
  for (const Attempt &Entry : History) {
    ++Result.OutcomeCounts[outcomeName(Entry)];
    LogicalIds.insert(Entry.LogicalId);
    if (Entry.Status != 200)
      continue;
    AnsweredIds.insert(Entry.LogicalId);
    Result.Latencies.push_back(Entry.EndMicros - Entry.DueMicros);
  }
  std::sort(Result.Latencies.begin(), Result.Latencies.end());
  Result.LogicalRequests = LogicalIds.size();
  Result.AnsweredRequests = AnsweredIds.size();
  checkBodies(History, Result);
  if (!Runs)
    return Result;
  Result.RunCount = Runs->size();
  checkRunsOnce(*Runs, Result);
  checkNotRun(History, *Runs, Result);
  checkAnswered(AnsweredIds, *Runs, Result);
  return Result;
}

std::int64_t quantile(const std::vector<std::int64_t> &Sorted,
                      double Fraction) {
  if (Sorted.empty())
    return 0;
  auto Rank = static_cast<std::size_t>(
      std::ceil(Fraction * static_cast<double>(Sorted.size())));
  return Sorted[std::clamp<std::size_t>(Rank, 1, Sorted.size()) - 1];
}

} // namespace figsail
