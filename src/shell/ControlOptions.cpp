// ControlOptions.cpp - Command-line and environment parsing of figsailctl.

#include "ControlCommands.h"

#include "Endpoint.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <limits>

namespace figsail {

namespace po = boost::program_options;

namespace {

/// Row of the command table: the arguments of a command and its function.
struct CommandEntry {
  std::string_view Name;
  std::string_view Arguments;
  std::size_t MinArguments;
  std::size_t MaxArguments;
  bool NeedsLog;
  std::string_view Help;
  ControlStatus (*Handler)(ControlContext &, const ArgumentList &);
};

} // namespace

static constexpr std::size_t Unlimited =
    std::numeric_limits<std::size_t>::max();

static const auto &commandTable() {
  using List = ArgumentList;
  static const std::array<CommandEntry, 9> Table{{
      // clang-format off
      {"check",      "FILE...",                            1, Unlimited, false, "check declaration files", checkCommand},
      {"publish",    "FILE...",                            1, Unlimited, true,  "publish declaration files", publishCommand},
      {"show",       "[PATH]",                             0, 1,         true,  "show nodes, effective settings and their origin", [](ControlContext &C, const List &A) { return showCommand(C, A.empty() ? "" : A[0]); }},
      {"take-out",   "failure-domain|backend-server NAME", 2, 2,         true,  "take out of service", [](ControlContext &C, const List &A) { return setInServiceCommand(C, A, false); }},
      {"bring-back", "failure-domain|backend-server NAME", 2, 2,         true,  "bring back into service", [](ControlContext &C, const List &A) { return setInServiceCommand(C, A, true); }},
      {"verdict",    "CHANGE-ID",                          1, 1,         true,  "show whether a change was accepted or rejected", [](ControlContext &C, const List &A) { return verdictCommand(C, A[0]); }},
      {"members",    "",                                   0, 0,         true,  "list the members", [](ControlContext &C, const List &) { return membersCommand(C); }},
      {"offsets",    "",                                   0, 0,         true,  "list the applied offset of each daemon", [](ControlContext &C, const List &) { return offsetsCommand(C); }},
      {"status",     "[HOST...]",                          0, Unlimited, true,  "show the status of daemons", statusCommand},
      // clang-format on
  }};
  return Table;
}

static void printHelp(std::ostream &Out, const po::options_description &Flags) {
  Out << "Usage: figsailctl [FLAGS] COMMAND [ARGUMENTS]\n\nCommands:\n";
  for (const CommandEntry &Entry : commandTable())
    Out << "  " << Entry.Name << ' ' << Entry.Arguments << "\n      "
        << Entry.Help << '\n';
  Out << '\n'
      << Flags
      << "\nFIGSAIL_LOG, FIGSAIL_OPERATOR, FIGSAIL_TIMEOUT and "
         "FIGSAIL_PATIENCE\nare the defaults of the flags of these names.\n"
         "Exit status: 0 done, 1 failed, 2 bad usage, 3 conflict with another "
         "operator,\n4 outcome not known.\n";
}

/// Returns an error text, or an empty text if the values are valid.
static std::string checkValues(const CommandEntry &Entry,
                               const ArgumentList &Arguments,
                               const ControlContext &Context) {
  if (Arguments.size() < Entry.MinArguments ||
      Arguments.size() > Entry.MaxArguments)
    return "usage: figsailctl " + std::string(Entry.Name) + " " +
           std::string(Entry.Arguments);
  if (Entry.Arguments.starts_with("failure-domain") &&
      Arguments[0] != "failure-domain" && Arguments[0] != "backend-server")
    return "\"" + Arguments[0] +
           "\" is neither failure-domain nor backend-server";
  if (Entry.NeedsLog && !parseEndpoint(Context.LogAddress))
    return "--log must be \"ip:port\" of the log service, not \"" +
           Context.LogAddress + "\"";
  bool IsPrintable = std::ranges::all_of(
      Context.Operator, [](unsigned char C) { return C > ' ' && C < 0x7f; });
  if (Context.Operator.empty() || !IsPrintable)
    return "--operator must be a name without blanks";
  return {};
}

/// Stores a flag in seconds. Returns false if it is outside 1..600.
static bool readSeconds(const po::variables_map &Values, const char *Name,
                        Duration &Out) {
  int Seconds = Values[Name].as<int>();
  Out = std::chrono::seconds(Seconds);
  return Seconds >= 1 && Seconds <= 600;
}

static std::string defaultOperator() {
  const char *User = std::getenv("USER");
  return User && *User ? User : "operator";
}

static ControlStatus runCommand(const po::variables_map &Values,
                                ControlContext &Context) {
  auto Arguments = Values["arguments"].as<ArgumentList>();
  auto ReportUsageError = [&](const std::string &Text) {
    Context.Error << "figsailctl: " << Text << '\n';
    return ControlStatus::UsageError;
  };
  const auto &Table = commandTable();
  const auto *Entry =
      std::ranges::find(Table, Arguments.front(), &CommandEntry::Name);
  if (Entry == Table.end())
    return ReportUsageError("unknown command \"" + Arguments.front() +
                            "\"; see --help");
  Arguments.erase(Arguments.begin());
  if (!readSeconds(Values, "timeout", Context.RequestTimeout) ||
      !readSeconds(Values, "patience", Context.SettleTimeout))
    return ReportUsageError("--timeout and --patience must be 1..600 seconds");
  std::string Problem = checkValues(*Entry, Arguments, Context);
  if (!Problem.empty())
    return ReportUsageError(Problem);
  return Entry->Handler(Context, Arguments);
}

ControlStatus runFigsailctl(const ArgumentList &Arguments, std::ostream &Out,
                            std::ostream &Error) {
  ControlContext Context{
      .LogAddress = "", .Operator = "", .Out = Out, .Error = Error};
  po::options_description Flags("Flags");
  Flags.add_options()("help", "show this text")(
      "log", po::value(&Context.LogAddress)->default_value(""),
      "\"ip:port\" of the log service")(
      "operator",
      po::value(&Context.Operator)->default_value(defaultOperator()),
      "prefix of change ids, usually your name")(
      "timeout", po::value<int>()->default_value(5),
      "seconds for one request, 1..600")(
      "patience", po::value<int>()->default_value(30),
      "seconds to find out whether a change took effect when its "
      "acknowledgement was lost, 1..600")(
      "prune", po::bool_switch(&Context.Prune),
      "publish removes nodes that no file declares");
  po::options_description All;
  All.add(Flags).add_options()("arguments", po::value<ArgumentList>());
  po::positional_options_description Positional;
  Positional.add("arguments", -1);
  auto FlagOfVariable = [](const std::string &Variable) -> std::string {
    static constexpr std::array<std::string_view, 4> Names{
        "log", "operator", "timeout", "patience"};
    for (std::string_view Name : Names) {
      std::string Upper(Name);
      std::ranges::transform(Upper, Upper.begin(), [](char C) {
        return static_cast<char>(C - 'a' + 'A');
      });
      if (Variable == "FIGSAIL_" + Upper)
        return std::string(Name);
    }
    return {};
  };
  po::variables_map Values;
  try {
    po::store(po::command_line_parser(Arguments)
                  .options(All)
                  .positional(Positional)
                  .run(),
              Values);
    po::store(po::parse_environment(Flags, FlagOfVariable), Values);
    po::notify(Values);
  } catch (const po::error &Invalid) {
    Error << "figsailctl: " << Invalid.what() << '\n';
    return ControlStatus::UsageError;
  }
  if (Values.contains("help")) {
    printHelp(Out, Flags);
    return ControlStatus::Success;
  }
  if (!Values.contains("arguments")) {
    Error << "figsailctl: a command is missing; see --help\n";
    return ControlStatus::UsageError;
  }
  return runCommand(Values, Context);
}

} // namespace figsail
