// HistoryCheck.cpp - Checks histories of callers against records of runs.

#include "HistoryCheck.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace figsail {

static std::string fieldText(const std::string &Value) {
  return Value.empty() ? "-" : Value;
}

static std::string_view echoName(EchoResult Echo) {
  switch (Echo) {
  case EchoResult::None:
    return "none";
  case EchoResult::Ok:
    return "ok";
  case EchoResult::Bad:
    return "bad";
  }
  return "none";
}

static std::optional<EchoResult> echoResult(const std::string &Name) {
  for (EchoResult Echo : {EchoResult::None, EchoResult::Ok, EchoResult::Bad})
    if (echoName(Echo) == Name)
      return Echo;
  return std::nullopt;
}

std::string attemptLine(const Attempt &Made) {
  std::ostringstream Out;
  Out << Made.LogicalId << ' ' << Made.AttemptId << ' '
      << fieldText(Made.BookingId) << ' ' << Made.Number << ' ' << Made.Target
      << ' ' << Made.DueMicros << ' ' << Made.StartMicros << ' '
      << Made.EndMicros << ' ' << Made.Status << ' ' << fieldText(Made.Failure)
      << ' ' << fieldText(Made.ErrorName) << ' ' << fieldText(Made.Run) << ' '
      << Made.BodyHash << ' ' << echoName(Made.Echo);
  return Out.str();
}

std::variant<Attempt, std::string> parseAttempt(const std::string &Line) {
  std::istringstream In(Line);
  Attempt Made;
  std::string Echo;
  std::string Rest;
  In >> Made.LogicalId >> Made.AttemptId >> Made.BookingId >> Made.Number >>
      Made.Target >> Made.DueMicros >> Made.StartMicros >> Made.EndMicros >>
      Made.Status >> Made.Failure >> Made.ErrorName >> Made.Run >>
      Made.BodyHash >> Echo;
  std::optional<EchoResult> Result = echoResult(Echo);
  if (!In || !Result || (In >> Rest))
    return "history line \"" + Line + "\" does not have the 14 fields";
  Made.Echo = *Result;
  for (std::string *Field :
       {&Made.BookingId, &Made.Failure, &Made.ErrorName, &Made.Run})
    if (*Field == "-")
      Field->clear();
  return Made;
}

std::string_view violationName(Violation Rule) {
  switch (Rule) {
  case Violation::RanTwice:
    return "ran-twice";
  case Violation::FalseNotRun:
    return "false-not-run";
  case Violation::WrongBody:
    return "wrong-body";
  case Violation::AnsweredUnrun:
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
  for (const Attempt &Made : History)
    if (Made.Run == "no" && Ran.contains(Made.AttemptId))
      Result.Findings.push_back({Violation::FalseNotRun, Made.AttemptId});
}

static void checkBodies(const std::vector<Attempt> &History,
                        CheckResult &Result) {
  std::map<std::string, std::uint64_t> Hashes; ///< By booking.
  for (const Attempt &Made : History) {
    if (Made.Status != 200)
      continue;
    if (Made.Echo == EchoResult::Bad)
      Result.Findings.push_back({Violation::WrongBody, Made.AttemptId});
    if (Made.BookingId.empty())
      continue;
    auto [First, New] = Hashes.emplace(Made.BookingId, Made.BodyHash);
    if (!New && First->second != Made.BodyHash)
      Result.Findings.push_back({Violation::DifferentBody, Made.BookingId});
  }
}

static void checkAnswered(const std::set<std::string> &Answered,
                          const std::vector<RunRecord> &Runs,
                          CheckResult &Result) {
  std::set<std::string> Ran;
  for (const RunRecord &Run : Runs)
    Ran.insert(Run.RequestId);
  for (const std::string &Id : Answered)
    if (!Ran.contains(Id))
      Result.Findings.push_back({Violation::AnsweredUnrun, Id});
}

/// Returns the kind under which an attempt is counted.
static std::string kindOf(const Attempt &Made) {
  if (Made.Status == 0)
    return Made.Failure;
  std::string Status = std::to_string(Made.Status);
  if (Made.ErrorName.empty())
    return Status;
  return Status + " " + Made.ErrorName + " run:" + fieldText(Made.Run);
}

CheckResult checkHistory(const std::vector<Attempt> &History,
                         const std::optional<std::vector<RunRecord>> &Runs) {
  CheckResult Result;
  std::set<std::string> Logical;
  std::set<std::string> Answered;
  for (const Attempt &Made : History) {
    ++Result.Counts[kindOf(Made)];
    Logical.insert(Made.LogicalId);
    if (Made.Status != 200)
      continue;
    Answered.insert(Made.LogicalId);
    Result.Latencies.push_back(Made.EndMicros - Made.DueMicros);
  }
  std::sort(Result.Latencies.begin(), Result.Latencies.end());
  Result.Logical = Logical.size();
  Result.Answered = Answered.size();
  checkBodies(History, Result);
  if (!Runs)
    return Result;
  Result.Runs = Runs->size();
  checkRunsOnce(*Runs, Result);
  checkNotRun(History, *Runs, Result);
  checkAnswered(Answered, *Runs, Result);
  return Result;
}

std::int64_t quantile(const std::vector<std::int64_t> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  return Sorted[std::clamp<std::size_t>(Rank, 1, Sorted.size()) - 1];
}

} // namespace figsail
