// TimelineMerge.cpp - Merge of the timelines of all daemons.

#include "TimelineMerge.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <tuple>

namespace figsail {

bool appendTimeline(const Json::Value &Result,
                    std::vector<MergedEvent> &Merged) {
  try {
    std::vector<MergedEvent> Events;
    for (const Json::Value &Entry : Result["entries"]) {
      MergedEvent Event;
      Event.Host = Result["host"].asString();
      Event.Lamport = Entry["lamport"].asUInt64();
      Event.WallMicros = Entry["wall_us"].asInt64();
      Event.Kind = Entry["kind"].asString();
      Event.Subject = Entry["subject"].asString();
      Event.Detail = Entry["detail"].asString();
      Events.push_back(std::move(Event));
    }
    std::ranges::move(Events, std::back_inserter(Merged));
    return true;
  } catch (const Json::Exception &) {
    return false;
  }
}

void sortTimeline(std::vector<MergedEvent> &Events) {
  std::ranges::stable_sort(Events, {}, [](const MergedEvent &Event) {
    return std::tie(Event.Lamport, Event.Host);
  });
}

static std::string wallText(std::int64_t Micros) {
  std::time_t Seconds = Micros / 1'000'000;
  std::tm Utc{};
  gmtime_r(&Seconds, &Utc);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Utc);
  std::array<char, 16> Fraction{};
  std::snprintf(Fraction.data(), Fraction.size(), ".%06dZ",
                static_cast<int>(Micros % 1'000'000));
  return std::string(Text.data()) + Fraction.data();
}

std::string timelineText(const MergedEvent &Event) {
  std::string Line = std::to_string(Event.Lamport);
  for (const std::string &Field : {Event.Host, wallText(Event.WallMicros),
                                   Event.Kind, Event.Subject, Event.Detail}) {
    if (!Field.empty())
      Line += ' ' + Field;
  }
  return Line;
}

std::string timelineJsonLine(const MergedEvent &Event) {
  Json::Value Line(Json::objectValue);
  Line["lamport"] = Json::Value::UInt64(Event.Lamport);
  Line["host"] = Event.Host;
  Line["wall_us"] = Json::Value::Int64(Event.WallMicros);
  Line["kind"] = Event.Kind;
  Line["subject"] = Event.Subject;
  Line["detail"] = Event.Detail;
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Line);
}

} // namespace figsail
