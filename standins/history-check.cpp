// history-check.cpp - Checker of client histories against run records.

#include "HistoryCheck.h"
#include "StandinProgram.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>

using namespace figsail;
namespace po = boost::program_options;

// One fault often causes many violations of a rule.
static constexpr std::uint64_t MaxPrintedPerRule = 20;

/// Calls Handle with each line of a file. Handle returns an error text, or
/// nothing.
template <class LineHandler>
static void forEachLine(const std::string &Path, const LineHandler &Handle) {
  std::ifstream In(Path);
  if (!In)
    throw po::error("cannot read " + Path);
  std::string Line;
  for (std::size_t Number = 1; std::getline(In, Line); ++Number)
    if (std::optional<std::string> Error = Handle(Line))
      throw po::error(Path + ":" + std::to_string(Number) + ": " + *Error);
}

static std::vector<Attempt>
readHistories(const std::vector<std::string> &Paths) {
  std::vector<Attempt> History;
  for (const std::string &Path : Paths)
    forEachLine(Path,
                [&](const std::string &Line) -> std::optional<std::string> {
                  auto Parsed = parseAttempt(Line);
                  if (auto *Error = std::get_if<std::string>(&Parsed))
                    return *Error;
                  History.push_back(std::get<Attempt>(std::move(Parsed)));
                  return std::nullopt;
                });
  return History;
}

/// Returns std::nullopt when no file is given.
static std::optional<std::vector<RunRecord>>
readRuns(const std::vector<std::string> &Paths) {
  if (Paths.empty())
    return std::nullopt;
  std::vector<RunRecord> Runs;
  for (const std::string &Path : Paths) {
    RunRecordReader Reader;
    forEachLine(Path,
                [&](const std::string &Line) { return Reader.addLine(Line); });
    Runs.insert(Runs.end(), Reader.records().begin(), Reader.records().end());
  }
  return Runs;
}

static void print(const CheckResult &Result) {
  std::cout << "logical requests: " << Result.LogicalRequests << "\n"
            << "answered with 200: " << Result.AnsweredRequests << "\n"
            << "runs: " << Result.RunCount << "\n";
  for (const auto &[Kind, Count] : Result.OutcomeCounts)
    std::cout << "attempts, " << Kind << ": " << Count << "\n";
  const std::pair<const char *, double> Quantiles[] = {
      {"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}};
  for (const auto &[Name, Fraction] : Quantiles)
    std::cout << "latency of 200, " << Name << ": "
              << quantile(Result.Latencies, Fraction) << " us\n";
  std::map<Violation, std::uint64_t> Counts;
  for (const Finding &Found : Result.Findings)
    if (++Counts[Found.Rule] <= MaxPrintedPerRule)
      std::cout << "VIOLATION " << violationName(Found.Rule) << ": " << Found.Id
                << "\n";
  for (const auto &[Rule, Count] : Counts)
    std::cout << "violations, " << violationName(Rule) << ": " << Count << "\n";
  std::cout << "violations: " << Result.Findings.size() << std::endl;
}

int main(int Argc, char **Argv) {
  std::vector<std::string> Histories;
  std::vector<std::string> Records;
  po::options_description Options(
      "history-check: exit status 0: no violation, 1: violations, 2: error");
  // clang-format off
  Options.add_options()
    ("help", "print this text")
    ("history", po::value(&Histories)->multitoken()->required(), "files written by load-standin")
    ("runs", po::value(&Records)->multitoken(), "files written by backend-standin --record");
  // clang-format on
  return runStandin(
      "history-check", Argc, Argv, Options, [&](const po::variables_map &) {
        CheckResult Result =
            checkHistory(readHistories(Histories), readRuns(Records));
        print(Result);
        return Result.Findings.empty() ? 0 : 1;
      });
}
