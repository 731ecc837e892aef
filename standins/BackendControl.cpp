// BackendControl.cpp - Faults that the backend server simulator plays, as set
// by its operator.

#include "BackendControl.h"

#include <charconv>
#include <cmath>

namespace figsail {

// Larger factors would overflow the service time.
static constexpr double MaxSlowFactor = 1e6;

/// Value of an argument that sets a fault back to off.
static constexpr std::string_view Off = "none";

/// Returns the number that a text consists of, or nothing if it has any other
/// character or the type can't hold the number.
template <class Number>
static std::optional<Number> parseNumber(const std::string &Text) {
  Number Value{};
  const char *TextEnd = Text.data() + Text.size();
  auto [End, Error] = std::from_chars(Text.data(), TextEnd, Value);
  if (Error != std::errc() || End != TextEnd)
    return std::nullopt;
  return Value;
}

static bool isNotNegative(const std::string &Text) {
  std::optional<double> Value = parseNumber<double>(Text);
  return Value && std::isfinite(*Value) && *Value >= 0;
}

std::optional<HealthMode> parseHealthMode(const std::string &Name) {
  if (Name == "ok")
    return HealthMode::Current;
  if (Name == "lag")
    return HealthMode::Delayed;
  if (Name == "lie")
    return HealthMode::AlwaysHealthy;
  return std::nullopt;
}

// Setters of arguments. Each returns what the value must be if it is bad, or
// null.

static const char *setFlag(bool &Flag, const std::string &Value) {
  if (Value != "0" && Value != "1")
    return "0 or 1";
  Flag = Value == "1";
  return nullptr;
}

static const char *setSlowFactor(double &Factor, const std::string &Value) {
  std::optional<double> Parsed = parseNumber<double>(Value);
  // Written so that it rejects a value that is no number, too.
  bool IsInRange = Parsed && *Parsed >= 0 && *Parsed <= MaxSlowFactor;
  if (!IsInRange)
    return "a number from 0 to 1000000";
  Factor = *Parsed;
  return nullptr;
}

static const char *setLimit(std::string &Limit, const std::string &Value) {
  if (Value != Off && !isNotNegative(Value))
    return "a number of requests a second or none";
  Limit = Value == Off ? std::string() : Value;
  return nullptr;
}

/// Sets a time in milliseconds or a number of bytes. 32 bits, so that no time
/// overflows a deadline.
template <class Target>
static const char *setCount(std::optional<Target> &Count,
                            const std::string &Value) {
  if (Value == Off) {
    Count.reset();
    return nullptr;
  }
  std::optional<std::uint32_t> Parsed = parseNumber<std::uint32_t>(Value);
  if (!Parsed)
    return "a whole number from 0 to 4294967295 or none";
  Count = Target(*Parsed);
  return nullptr;
}

static const char *setHealth(HealthMode &Mode, const std::string &Value) {
  std::optional<HealthMode> Parsed = parseHealthMode(Value);
  if (!Parsed)
    return "ok, lag or lie";
  Mode = *Parsed;
  return nullptr;
}

/// Sets one argument. Returns what its value must be if that is bad, null if it
/// is set, and nothing if there is no such argument.
static std::optional<const char *> setArgument(BackendControl &Control,
                                               const std::string &Name,
                                               const std::string &Value) {
  if (Name == "slow_factor")
    return setSlowFactor(Control.SlowFactor, Value);
  if (Name == "fail_fast")
    return setFlag(Control.FailFast, Value);
  if (Name == "drain")
    return setFlag(Control.Draining, Value);
  if (Name == "leave")
    return setFlag(Control.NamesLeaving, Value);
  if (Name == "limit")
    return setLimit(Control.NamedLimit, Value);
  if (Name == "health")
    return setHealth(Control.Health, Value);
  if (Name == "repeat_refusal")
    return setCount(Control.RepeatRefusalAfter, Value);
  if (Name == "cut_head")
    return setCount(Control.CutHeadAfter, Value);
  if (Name == "cut_head_error_page")
    return setFlag(Control.ErrorPageBehindCut, Value);
  if (Name == "cold")
    return Value == "1" ? nullptr : "1";
  return std::nullopt;
}

static std::string badValue(const std::string &Name, const char *Expected,
                            const std::string &Value) {
  std::string Text = "\"" + Name + "\" must be ";
  Text.append(Expected).append(", not \"").append(Value).append("\"");
  return Text;
}

std::variant<BackendControl, std::string>
changedControl(BackendControl Current,
               const std::map<std::string, std::string> &Arguments) {
  for (const auto &[Name, Value] : Arguments) {
    std::optional<const char *> Expected = setArgument(Current, Name, Value);
    if (!Expected)
      return "unknown argument \"" + Name + "\"";
    if (*Expected)
      return badValue(Name, *Expected, Value);
  }
  return Current;
}

} // namespace figsail
