// Rollout.cpp - Encoding of share records.

#include "Rollout.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <stdexcept>

namespace figsail {

namespace json = boost::json;

/// Bounds on a record. Daemons keep those of all services.
static constexpr std::size_t MaxTextBytes = 1024;
static constexpr std::size_t MaxEntries = 64;

static constexpr std::array<std::string_view, RolloutStateCount> StateNames{
    "running", "closed", "completed", "rolled_back"};

std::string_view rolloutStateName(RolloutState State) {
  return StateNames[static_cast<std::size_t>(State)];
}

/// Returns at most as many entries as a decoder accepts.
static json::value listOf(std::vector<std::string> Entries) {
  Entries.resize(std::min(Entries.size(), MaxEntries));
  return json::value_from(Entries);
}

std::string encodeRolloutShare(const RolloutShare &Share) {
  json::object Record;
  Record["service"] = Share.Service;
  Record["version"] = Share.TargetVersion;
  Record["order"] = Share.Order;
  Record["state"] = rolloutStateName(Share.State);
  Record["step"] = Share.Step;
  Record["share"] = Share.Share;
  if (!Share.Hosts.empty())
    Record["hosts"] = listOf(Share.Hosts);
  Record["elapsed_us"] = Share.Elapsed.count();
  if (!Share.Rejected.empty())
    Record["rejected"] = listOf(Share.Rejected);
  return json::serialize(Record);
}

static std::string textOf(const json::value &Value) {
  const json::string &Text = Value.as_string();
  if (Text.empty() || Text.size() > MaxTextBytes)
    throw std::length_error("a text is empty or too long");
  return std::string(Text);
}

static std::vector<std::string> textsOf(const json::object &Record,
                                        const char *Name) {
  std::vector<std::string> Texts;
  const json::value *Found = Record.if_contains(Name);
  if (!Found)
    return Texts;
  if (Found->as_array().size() > MaxEntries)
    throw std::length_error("a list is too long");
  for (const json::value &Entry : Found->as_array())
    Texts.push_back(textOf(Entry));
  return Texts;
}

static RolloutState stateOf(const json::value &Value) {
  std::string Name = textOf(Value);
  const auto *Found = std::ranges::find(StateNames, Name);
  if (Found == StateNames.end())
    throw std::invalid_argument("the state is not known");
  return static_cast<RolloutState>(Found - StateNames.begin());
}

static RolloutShare readShare(const json::object &Record) {
  RolloutShare Share;
  Share.Service = textOf(Record.at("service"));
  Share.TargetVersion = textOf(Record.at("version"));
  Share.Order = Record.at("order").to_number<Offset>();
  Share.State = stateOf(Record.at("state"));
  Share.Step = Record.at("step").to_number<unsigned>();
  Share.Share = Record.at("share").to_number<double>();
  if (!(Share.Share >= 0 && Share.Share <= 1))
    throw std::invalid_argument("the share is not between 0 and 1");
  Share.Hosts = textsOf(Record, "hosts");
  Share.Elapsed = Duration(std::max<std::int64_t>(
      0, Record.at("elapsed_us").to_number<std::int64_t>()));
  Share.Rejected = textsOf(Record, "rejected");
  return Share;
}

std::optional<RolloutShare> decodeRolloutShare(std::string_view Text) {
  boost::system::error_code Error;
  json::value Value = json::parse(json::string_view(Text), Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  try {
    return readShare(Value.as_object());
  } catch (const std::exception &) {
    return std::nullopt; // A field is missing, too long or of another type.
  }
}

} // namespace figsail
