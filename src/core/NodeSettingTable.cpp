// NodeSettingTable.cpp - Table of node settings and value checks.

#include "NodeSettingTable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <set>

namespace figsail {

using namespace std::chrono_literals;

static constexpr std::array<std::string_view, 6> KindNames{
    "group", "workspace",      "service",
    "route", "failure_domain", "backend_server"};

std::string_view nodeKindName(NodeKind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)];
}

std::optional<NodeKind> nodeKindOf(std::string_view Name) {
  const auto *Found = std::ranges::find(KindNames, Name);
  if (Found == KindNames.end())
    return std::nullopt;
  return static_cast<NodeKind>(Found - KindNames.begin());
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  if (Text.empty() || Text.size() > 12)
    return std::nullopt;
  std::uint64_t Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

/// Splits a text into its leading digits and the unit behind them.
static std::pair<std::string_view, std::string_view>
splitUnit(std::string_view Text) {
  std::size_t Digits =
      std::min(Text.find_first_not_of("0123456789"), Text.size());
  return {Text.substr(0, Digits), Text.substr(Digits)};
}

std::optional<Duration> parseDuration(std::string_view Text) {
  static constexpr std::array<std::pair<std::string_view, Duration>, 5> Units{
      {{"us", 1us}, {"ms", 1ms}, {"s", 1s}, {"min", 1min}, {"h", 1h}}};
  auto [Digits, Unit] = splitUnit(Text);
  auto Number = parseNumber(Digits);
  if (!Number)
    return std::nullopt;
  for (const auto &[Name, Length] : Units) {
    if (Name != Unit)
      continue;
    auto Count = static_cast<std::int64_t>(*Number);
    if (Count > std::numeric_limits<std::int64_t>::max() / Length.count())
      return std::nullopt;
    return Duration(Count * Length.count());
  }
  return std::nullopt;
}

std::optional<std::uint64_t> parseBytes(std::string_view Text) {
  auto [Digits, Unit] = splitUnit(Text);
  auto Number = parseNumber(Digits);
  if (!Number)
    return std::nullopt;
  if (Unit.empty())
    return Number;
  if (Unit == "KiB")
    return *Number * 1024;
  if (Unit == "MiB")
    return *Number * 1024 * 1024;
  return std::nullopt;
}

std::vector<std::string> parseList(std::string_view Text) {
  std::vector<std::string> Items;
  while (true) {
    std::size_t Comma = Text.find(',');
    std::string_view Item = Text.substr(0, Comma);
    std::size_t First = Item.find_first_not_of(' ');
    std::size_t Last = Item.find_last_not_of(' ');
    bool Blank = First == std::string_view::npos;
    bool Only = Items.empty() && Comma == std::string_view::npos;
    if (!Blank || !Only)
      Items.emplace_back(Blank ? std::string_view()
                               : Item.substr(First, Last - First + 1));
    if (Comma == std::string_view::npos)
      return Items;
    Text.remove_prefix(Comma + 1);
  }
}

/// Returns whether all characters are letters, digits or one of Extra.
static bool isAlphanumericOr(std::string_view Text, std::string_view Extra) {
  return std::ranges::all_of(Text, [&](char C) {
    bool Letter = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z');
    bool Digit = C >= '0' && C <= '9';
    return Letter || Digit || Extra.find(C) != std::string_view::npos;
  });
}

bool isNodeName(std::string_view Name) {
  return !Name.empty() && Name.size() <= 64 && isAlphanumericOr(Name, "._-");
}

std::optional<IdentityRule> parseIdentity(std::string_view Text) {
  static constexpr std::string_view HeaderPrefix = "header:";
  if (Text == "none")
    return IdentityRule{};
  if (Text == "body")
    return IdentityRule{IdentityRule::Source::Body, {}};
  if (!Text.starts_with(HeaderPrefix))
    return std::nullopt;
  std::string_view Name = Text.substr(HeaderPrefix.size());
  // RFC 9110 allows these characters in a field name.
  if (Name.empty() || Name.size() > 64 ||
      !isAlphanumericOr(Name, "!#$%&'*+-.^_`|~"))
    return std::nullopt;
  return IdentityRule{IdentityRule::Source::Header, std::string(Name)};
}

static bool isBoolean(std::string_view Text) {
  return Text == "true" || Text == "false";
}

static bool isRegionList(std::string_view Text) {
  std::vector<std::string> Items = parseList(Text);
  std::set<std::string> Distinct(Items.begin(), Items.end());
  return Distinct.size() == Items.size() &&
         std::ranges::all_of(Items, isNodeName);
}

static bool isIdentity(std::string_view Text) {
  return parseIdentity(Text).has_value();
}

static bool inRange(std::optional<Duration> Value, Duration Low,
                    Duration High) {
  return Value && *Value >= Low && *Value <= High;
}

static bool inRange(std::optional<std::uint64_t> Value, std::uint64_t Low,
                    std::uint64_t High) {
  return Value && *Value >= Low && *Value <= High;
}

static bool isDeadline(std::string_view Text) {
  return inRange(parseDuration(Text), 1ms, 60s);
}

static bool isRecordLifetime(std::string_view Text) {
  return inRange(parseDuration(Text), 1min, 24h);
}

static bool isMaxBody(std::string_view Text) {
  return inRange(parseBytes(Text), 0, 8ULL * 1024 * 1024);
}

static bool isShare(std::string_view Text) {
  return inRange(parseNumber(Text), 1, 1000);
}

static bool isRefusalStatus(std::string_view Text) {
  return Text == "0" || inRange(parseNumber(Text), 400, 599);
}

static bool isMaxAttempts(std::string_view Text) {
  return inRange(parseNumber(Text), 1, 8);
}

static bool isMatchMethod(std::string_view Text) {
  return Text.size() <= 16 &&
         std::ranges::all_of(Text, [](char C) { return C >= 'A' && C <= 'Z'; });
}

static bool isMatchPath(std::string_view Text) {
  if (!Text.starts_with('/') || Text.size() > 512)
    return false;
  std::size_t Star = Text.find('*');
  if (Star != std::string_view::npos && Star + 1 != Text.size())
    return false;
  return std::ranges::all_of(
      Text, [](char C) { return C > ' ' && C < 0x7f && C != '?' && C != '#'; });
}

namespace {

constexpr unsigned bit(NodeKind Kind) {
  return 1U << static_cast<unsigned>(Kind);
}
// Sets of kinds, one bit each.
constexpr unsigned RoutingKinds = bit(NodeKind::Group) |
                                  bit(NodeKind::Workspace) |
                                  bit(NodeKind::Service) | bit(NodeKind::Route);
constexpr unsigned WorkspaceKinds =
    bit(NodeKind::Group) | bit(NodeKind::Workspace);
constexpr unsigned RouteKinds = bit(NodeKind::Route);
constexpr unsigned InServiceKinds =
    bit(NodeKind::FailureDomain) | bit(NodeKind::BackendServer);

/// Rule for the values of one setting and the nodes that may declare it.
struct SettingRule {
  NodeSettingEntry Entry;
  unsigned Kinds; ///< Set of the kinds that may declare it.
  bool Inherited; ///< Child nodes inherit the value.
  bool (*IsValid)(std::string_view Text);
};

} // namespace

// The upper bound of deadline must not exceed the lower bound of
// record_lifetime: a record must not expire within the deadline of its own
// call. The upper bound of max_body leaves space for the head in the largest
// peer frame.
static const std::vector<SettingRule> &settingRules() {
  static const std::vector<SettingRule> Rules{
      // clang-format off
    {{"home_regions",    "",      "comma list of regions",     "Regions in which requests are served and stored; empty: any. A child may only narrow it."}, RoutingKinds, true, isRegionList},
    {{"idempotent",      "false", "true|false",                "Whether a request may be executed more than once."}, RoutingKinds, true, isBoolean},
    {{"identity",        "none",  "none|header:NAME|body",     "What identifies a non-idempotent request when its client sends it again."}, RoutingKinds, true, isIdentity},
    {{"deadline",        "2s",    "1ms..60s",                  "Time from the arrival of the whole request to the response."}, RoutingKinds, true, isDeadline},
    {{"max_body",        "1MiB",  "0..8MiB",                   "Largest request and response body."}, RoutingKinds, true, isMaxBody},
    {{"share",           "1",     "1..1000",                   "Weight of the workspace in the admission queue."}, WorkspaceKinds, true, isShare},
    {{"refusal_status",  "0",     "0 or 400..599",             "Status with which the backend server reports that it did not run the request; 0: none."}, RoutingKinds, true, isRefusalStatus},
    {{"record_lifetime", "10min", "1min..24h",                 "How long an idempotency record is kept after the execution."}, RoutingKinds, true, isRecordLifetime},
    {{"max_attempts",    "3",     "1..8",                      "Executors that may be tried for one call."}, RoutingKinds, true, isMaxAttempts},
    {{"match_method",    "",      "capital letters or empty",  "Method of the route; empty: any."}, RouteKinds, false, isMatchMethod},
    {{"match_path",      "",      "/PATH or /PREFIX*",         "Path of the route, exact or a prefix that ends in '*'."}, RouteKinds, false, isMatchPath},
    {{"in_service",      "true",  "true|false",                "Whether requests may be sent there."}, InServiceKinds, false, isBoolean},
      // clang-format on
  };
  return Rules;
}

static const SettingRule *findRule(std::string_view Name) {
  for (const SettingRule &Rule : settingRules())
    if (Rule.Entry.Name == Name)
      return &Rule;
  return nullptr;
}

const std::vector<NodeSettingEntry> &nodeSettingTable() {
  static const std::vector<NodeSettingEntry> Table = [] {
    std::vector<NodeSettingEntry> Entries;
    for (const SettingRule &Rule : settingRules())
      Entries.push_back(Rule.Entry);
    return Entries;
  }();
  return Table;
}

bool isSettingOf(NodeKind Kind, std::string_view Name) {
  const SettingRule *Rule = findRule(Name);
  return Rule && (Rule->Kinds & bit(Kind));
}

bool isInherited(std::string_view Name) {
  const SettingRule *Rule = findRule(Name);
  return Rule && Rule->Inherited;
}

std::string_view settingDefault(std::string_view Name) {
  const SettingRule *Rule = findRule(Name);
  return Rule ? Rule->Entry.Default : std::string_view();
}

std::optional<std::string>
checkNodeSetting(NodeKind Kind, std::string_view Name, std::string_view Value) {
  const SettingRule *Rule = findRule(Name);
  if (!Rule)
    return "unknown setting \"" + std::string(Name) + "\"";
  if (!(Rule->Kinds & bit(Kind)))
    return "a " + std::string(nodeKindName(Kind)) +
           " node cannot declare the setting \"" + std::string(Name) + "\"";
  if (Rule->IsValid(Value))
    return std::nullopt;
  return "value \"" + std::string(Value) + "\" of \"" + std::string(Name) +
         "\" is not valid; allowed: " + std::string(Rule->Entry.AllowedValues);
}

} // namespace figsail
