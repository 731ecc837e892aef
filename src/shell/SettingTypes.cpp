// SettingTypes.cpp - Parser and bounds of process settings.

#include "SettingTypes.h"

#include "Endpoint.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string.hpp>
#include <charconv>

namespace figsail {

namespace {

struct TimeUnit {
  std::string_view Suffix;
  std::int64_t Micros;
};

} // namespace

// Largest first: formatTime() uses the first unit that divides a time.
static constexpr std::array<TimeUnit, 5> TimeUnits{{{"h", 3'600'000'000},
                                                    {"m", 60'000'000},
                                                    {"s", 1'000'000},
                                                    {"ms", 1'000},
                                                    {"us", 1}}};

static std::string formatTime(std::int64_t Micros) {
  for (const TimeUnit &Unit : TimeUnits)
    if (Micros % Unit.Micros == 0)
      return std::to_string(Micros / Unit.Micros) + std::string(Unit.Suffix);
  return std::to_string(Micros);
}

std::string describeAllowedValues(const SettingRow &Row) {
  switch (Row.Kind) {
  case SettingKind::Number:
    return std::to_string(Row.Min) + ".." + std::to_string(Row.Max);
  case SettingKind::Time:
    return formatTime(Row.Min) + ".." + formatTime(Row.Max);
  case SettingKind::Name:
    return "letters, digits, '-', '_' and '.'";
  case SettingKind::Path:
    return "text that starts with '/'";
  case SettingKind::Choice:
    return std::string(Row.Choices);
  case SettingKind::Address:
    return "ip:port";
  case SettingKind::ListenAddress:
    return "ip:port, neither an unspecified address nor port 0";
  case SettingKind::AddressList:
    return "ip:port separated by commas";
  }
  return {};
}

std::vector<std::string> SettingValue::list() const {
  std::vector<std::string> Elements;
  if (!Text.empty())
    boost::split(Elements, Text, boost::is_any_of(","));
  return Elements;
}

/// Parses the decimal integer at the start of a text. Returns the rest.
static std::optional<std::string_view> readInteger(std::string_view Text,
                                                   std::int64_t &Value) {
  const char *End = Text.data() + Text.size();
  auto [Rest, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc())
    return std::nullopt;
  return std::string_view(Rest, static_cast<std::size_t>(End - Rest));
}

static std::optional<std::int64_t> parseNumber(const std::string &Text) {
  std::int64_t Value = 0;
  auto Rest = readInteger(Text, Value);
  if (!Rest || !Rest->empty())
    return std::nullopt;
  return Value;
}

static std::optional<std::int64_t> parseTime(const std::string &Text) {
  std::int64_t Value = 0;
  auto Rest = readInteger(Text, Value);
  if (!Rest || Value < 0)
    return std::nullopt;
  for (const TimeUnit &Unit : TimeUnits) {
    if (*Rest != Unit.Suffix)
      continue;
    if (Value > INT64_MAX / Unit.Micros)
      return std::nullopt;
    return Value * Unit.Micros;
  }
  return std::nullopt;
}

static bool isName(const std::string &Text) {
  return !Text.empty() && std::ranges::all_of(Text, [](unsigned char Byte) {
    return std::isalnum(Byte) || Byte == '-' || Byte == '_' || Byte == '.';
  });
}

static bool isChoice(std::string_view Choices, const std::string &Text) {
  std::vector<std::string> Allowed;
  boost::split(Allowed, Choices, boost::is_any_of("|"));
  return std::ranges::find(Allowed, Text) != Allowed.end();
}

static bool isAddress(const std::string &Text) {
  auto Endpoint = parseEndpoint(Text);
  return Endpoint && Endpoint->port() != 0;
}

static bool isTextAllowed(const SettingRow &Row, const SettingValue &Value) {
  switch (Row.Kind) {
  case SettingKind::Name:
    return isName(Value.Text);
  case SettingKind::Path:
    return Value.Text.starts_with('/');
  case SettingKind::Choice:
    return isChoice(Row.Choices, Value.Text);
  case SettingKind::Address:
    return isAddress(Value.Text);
  case SettingKind::ListenAddress:
    return isConnectable(Value.Text);
  case SettingKind::AddressList:
    return std::ranges::all_of(Value.list(), isAddress);
  default:
    return true;
  }
}

std::optional<SettingValue> parseSetting(const SettingRow &Row,
                                         const std::string &Text) {
  SettingValue Value;
  Value.Text = Text;
  if (Text.empty() && Row.Default.empty() && !Row.Required)
    return Value;
  if (Row.Kind != SettingKind::Number && Row.Kind != SettingKind::Time) {
    if (!isTextAllowed(Row, Value))
      return std::nullopt;
    return Value;
  }
  auto Number =
      Row.Kind == SettingKind::Number ? parseNumber(Text) : parseTime(Text);
  if (!Number || *Number < Row.Min || *Number > Row.Max)
    return std::nullopt;
  Value.Number = *Number;
  return Value;
}

} // namespace figsail
