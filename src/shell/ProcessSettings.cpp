// ProcessSettings.cpp - Table and parser of the settings of figsaild.

#include "ProcessSettings.h"

#include "SettingTypes.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <unistd.h>

namespace figsail {

namespace po = boost::program_options;

static constexpr std::string_view VariablePrefix = "FIGSAIL_";
/// Option with the path of a settings file.
static constexpr std::string_view FileOption = "settings";

namespace {

/// Row of the table and the function that stores its value.
struct ProcessSettingRow {
  SettingRow Row;
  void (*Store)(ProcessSettings &, const SettingValue &);
};

} // namespace

// Bounds of SettingKind::Time, in microseconds.
static constexpr std::int64_t Second = 1'000'000;
static constexpr std::int64_t Hour = 3600 * Second;
static constexpr std::int64_t Day = 24 * Hour;

using PS = ProcessSettings;
using SV = SettingValue;
using enum SettingKind;

// clang-format off
static const std::vector<ProcessSettingRow> SettingTable{
    {{"peer-listen", "", ListenAddress, 0, 0, "", true,
      "address for other daemons; also the name of this host"},
     [](PS &S, const SV &V) { S.Node.Self.Host = V.Text; }},
    {{"http-listen", "", ListenAddress, 0, 0, "", true,
      "address for clients"},
     [](PS &S, const SV &V) { S.Node.Self.HttpAddress = V.Text; }},
    {{"operator-listen", "", ListenAddress, 0, 0, "", true,
      "address of the operator interface (JSON-RPC over HTTP)"},
     [](PS &S, const SV &V) { S.Node.Self.OperatorAddress = V.Text; }},
    {{"region", "", Name, 0, 0, "", true, "region of this host"},
     [](PS &S, const SV &V) { S.Node.Self.Region = V.Text; }},
    {{"failure-domain", "", Name, 0, 0, "", true,
      "failure domain of this host"},
     [](PS &S, const SV &V) { S.Node.Self.FailureDomain = V.Text; }},
    {{"service", "", Path, 0, 0, "", false,
      "path of the service node of the backend server, such as /tsukushi/deposits; without it the daemon is an ingress only"},
     [](PS &S, const SV &V) { S.Node.Self.Service = V.Text; }},
    {{"backend", "", Address, 0, 0, "", false,
      "address of the backend server; needed with --service"},
     [](PS &S, const SV &V) { S.BackendAddress = V.Text; }},
    {{"backend-slots", "10", Number, 1, 100000, "", false,
      "requests that the backend server runs concurrently when warm"},
     [](PS &S, const SV &V) { S.Node.Self.Slots = static_cast<std::uint32_t>(V.Number); }},
    {{"backend-connections", "250", Number, 1, 100000, "", false,
      "maximum number of open connections to the backend server"},
     [](PS &S, const SV &V) { S.BackendConnections = V.count(); }},
    {{"health-target", "/health", Path, 0, 0, "", false,
      "HTTP target of the health probe"},
     [](PS &S, const SV &V) { S.HealthTarget = V.Text; }},
    {{"log", "", Address, 0, 0, "", true, "address of the log service"},
     [](PS &S, const SV &V) { S.LogAddress = V.Text; }},
    {{"log-retention", "24h", Time, 60 * Second, 366 * Day, "", false,
      "minimum time for which the log service keeps records"},
     [](PS &S, const SV &V) { S.Node.LogRetention = V.time(); }},
    {{"seeds", "", AddressList, 0, 0, "", false,
      "peers that are asked for a snapshot while the log service is down"},
     [](PS &S, const SV &V) { S.Node.Seeds = V.list(); }},
    {{"policy", "power-of-two", Choice, 0, 0, "round-robin|least-outstanding|power-of-two", false,
      "how an ingress chooses among backend servers"},
     [](PS &S, const SV &V) { S.Node.Policy = V.Text; }},
    {{"drain-limit", "30s", Time, Second, Hour, "", false,
      "longest duration of a graceful shutdown"},
     [](PS &S, const SV &V) { S.Node.DrainLimit = V.time(); }},
    {{"region-link-bits", "30000000", Number, 1000, 1'000'000'000'000, "", false,
      "capacity of the link between regions in bits per second, shared by the hosts of a region"},
     [](PS &S, const SV &V) { S.Node.RegionLinkBytes = static_cast<double>(V.Number) / 8; }},
    {{"max-records", "30000", Number, 1, 100'000'000, "", false,
      "maximum number of idempotency records"},
     [](PS &S, const SV &V) { S.Node.Records.MaxRecords = V.count(); }},
    {{"max-answer-bytes", "65536", Number, 0, 16'777'216, "", false,
      "largest response kept with a record, in bytes"},
     [](PS &S, const SV &V) { S.Node.Records.MaxAnswerBytes = V.count(); }},
    {{"max-record-bytes", "12582912", Number, 0, 1'000'000'000'000, "", false,
      "total size of the responses kept with records, in bytes"},
     [](PS &S, const SV &V) { S.Node.Records.MaxTotalBytes = V.count(); }},
    {{"timeline-size", "4096", Number, 16, 1'000'000, "", false,
      "entries kept in the timeline"},
     [](PS &S, const SV &V) { S.TimelineSize = V.count(); }},
};
// clang-format on

static std::string variableName(std::string_view Name) {
  std::string Variable(Name);
  boost::to_upper(Variable);
  std::ranges::replace(Variable, '-', '_');
  return std::string(VariablePrefix) + Variable;
}

static std::string helpText(const SettingRow &Row) {
  std::string Text(Row.Help);
  Text += " (" + describeAllowedValues(Row);
  if (Row.Required)
    Text += "; required";
  else if (!Row.Default.empty())
    Text += "; default " + std::string(Row.Default);
  return Text + ")";
}

static po::options_description describeOptions() {
  po::options_description Options(
      "figsaild: load balancer daemon beside one backend server.\n"
      "Each setting --name can also be given as the variable FIGSAIL_NAME, or\n"
      "as a line name = value of the file given by --settings. Flags take\n"
      "precedence over variables, and variables over the file");
  Options.add_options()("help", "print this text");
  Options.add_options()(std::string(FileOption).c_str(),
                        po::value<std::string>()->value_name("FILE"),
                        "settings file with one name = value per line");
  for (const ProcessSettingRow &Entry : SettingTable)
    Options.add_options()(std::string(Entry.Row.Name).c_str(),
                          po::value<std::string>()->value_name("VALUE"),
                          helpText(Entry.Row).c_str());
  return Options;
}

/// Returns the name of the setting that a variable sets. Throws po::error if
/// there is none.
static std::string settingNameOf(const std::string &Variable) {
  if (variableName(FileOption) == Variable)
    return std::string(FileOption);
  for (const ProcessSettingRow &Entry : SettingTable)
    if (variableName(Entry.Row.Name) == Variable)
      return std::string(Entry.Row.Name);
  throw po::error("the variable " + Variable + " is not a setting");
}

/// Converts variables with the prefix to options. Throws po::error for an
/// unknown one.
static po::parsed_options parseVariables(const po::options_description &Options,
                                         const Environment &Variables) {
  po::parsed_options Parsed(&Options);
  for (const auto &[Variable, Value] : Variables) {
    if (!Variable.starts_with(VariablePrefix))
      continue;
    Parsed.options.emplace_back(settingNameOf(Variable),
                                std::vector<std::string>{Value});
  }
  return Parsed;
}

/// Reads a settings file. Throws po::error if it cannot be read or contains
/// anything but settings.
static po::parsed_options parseFile(const po::options_description &Options,
                                    const std::string &Path) {
  std::ifstream File(Path);
  if (!File || !std::filesystem::is_regular_file(Path))
    throw po::error("the settings file \"" + Path + "\" cannot be read");
  try {
    po::parsed_options Parsed = po::parse_config_file(File, Options);
    for (const auto &Option : Parsed.options)
      if (Option.string_key == FileOption || Option.string_key == "help")
        throw po::error(Option.string_key + " is not allowed in a file");
    return Parsed;
  } catch (const po::error &Error) {
    throw po::error("settings file \"" + Path + "\": " + Error.what());
  }
}

/// Checks and stores one setting. Throws po::error if its value is missing or
/// not allowed.
static void storeSetting(ProcessSettings &Settings,
                         const ProcessSettingRow &Entry,
                         const po::variables_map &Values) {
  std::string Name(Entry.Row.Name);
  if (Entry.Row.Required && !Values.contains(Name))
    throw po::error("--" + Name + " is required");
  std::string Text = Values.contains(Name) ? Values[Name].as<std::string>()
                                           : std::string(Entry.Row.Default);
  std::optional<SettingValue> Value = parseSetting(Entry.Row, Text);
  if (!Value)
    throw po::error("--" + Name + ": \"" + Text + "\" is not allowed; use " +
                    describeAllowedValues(Entry.Row));
  Entry.Store(Settings, *Value);
}

/// Returns an error text if settings contradict each other, or an empty text.
static std::string findContradiction(const ProcessSettings &Settings) {
  const Member &Self = Settings.Node.Self;
  if (Self.Service.empty() != Settings.BackendAddress.empty())
    return "--service and --backend must be given together";
  if (Self.Host == Self.HttpAddress || Self.Host == Self.OperatorAddress ||
      Self.HttpAddress == Self.OperatorAddress)
    return "--peer-listen, --http-listen and --operator-listen must differ";
  if (Settings.BackendConnections < Self.Slots)
    return "--backend-connections must not be below --backend-slots";
  if (Settings.Node.Records.MaxAnswerBytes >
      Settings.Node.Records.MaxTotalBytes)
    return "--max-answer-bytes must not exceed --max-record-bytes";
  return {};
}

static SettingsResult parseSettings(const std::vector<std::string> &Arguments,
                                    const Environment &Variables) {
  po::options_description Options = describeOptions();
  po::variables_map Values;
  // The default style accepts a unique prefix of a name as the name.
  int Style = po::command_line_style::default_style &
              ~po::command_line_style::allow_guessing;
  po::store(po::command_line_parser(Arguments)
                .options(Options)
                .positional({})
                .style(Style)
                .run(),
            Values);
  if (Values.contains("help")) {
    std::ostringstream Text;
    Text << Options;
    return HelpRequested{Text.str()};
  }
  po::store(parseVariables(Options, Variables), Values);
  if (Values.contains(std::string(FileOption)))
    po::store(
        parseFile(Options, Values[std::string(FileOption)].as<std::string>()),
        Values);
  ProcessSettings Settings;
  for (const ProcessSettingRow &Entry : SettingTable)
    storeSetting(Settings, Entry, Values);
  if (std::string Text = findContradiction(Settings); !Text.empty())
    throw po::error(Text);
  NodeSettings &Node = Settings.Node;
  Node.AdmissionControl.Region = Node.Self.Region;
  Node.AdmissionControl.Slots = Node.Self.Slots;
  // The same list of seeds can be used on all hosts.
  std::erase(Node.Seeds, Node.Self.Host);
  return Settings;
}

SettingsResult readProcessSettings(const std::vector<std::string> &Arguments,
                                   const Environment &Variables) {
  try {
    return parseSettings(Arguments, Variables);
  } catch (const std::exception &Error) {
    return SettingsError{Error.what()};
  }
}

Environment processEnvironment() {
  Environment Variables;
  for (char **Entry = environ; Entry && *Entry; ++Entry) {
    std::string Text(*Entry);
    std::size_t Equals = std::min(Text.find('='), Text.size());
    Variables.emplace_back(Text.substr(0, Equals),
                           Text.substr(std::min(Equals + 1, Text.size())));
  }
  return Variables;
}

} // namespace figsail
