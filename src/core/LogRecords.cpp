// LogRecords.cpp - JSON encoding of log records.

#include "figsail/LogRecords.h"

#include "RecordFields.h"

namespace figsail {

namespace json = boost::json;

json::object writeMember(const Member &Source) {
  return {
      {"host", Source.Host},        {"incarnation", Source.Inc},
      {"http", Source.HttpAddress}, {"operator", Source.OperatorAddress},
      {"region", Source.Region},    {"failure_domain", Source.FailureDomain},
      {"service", Source.Service},  {"slots", Source.Slots}};
}

Member readMember(const json::value &Source, std::string &Error) {
  Member Result;
  JsonReader(Source, Error)
      .field("host", Result.Host)
      .field("incarnation", Result.Inc)
      .field("http", Result.HttpAddress)
      .field("operator", Result.OperatorAddress)
      .field("region", Result.Region)
      .field("failure_domain", Result.FailureDomain)
      .field("service", Result.Service)
      .field("slots", Result.Slots);
  return Result;
}

json::object writeSettings(const SettingMap &Settings) {
  json::object Out;
  for (const auto &[Name, Value] : Settings)
    Out.emplace(Name, Value);
  return Out;
}

SettingMap readSettings(JsonReader &Reader, std::string_view Name) {
  SettingMap Settings;
  const json::object *Source = Reader.object(Name);
  if (!Source)
    return Settings;
  for (const auto &Field : *Source) {
    if (!Field.value().is_string()) {
      Reader.fail("setting \"" + std::string(Field.key()) +
                  "\" must be a string");
      break;
    }
    const json::string &Value = Field.value().get_string();
    Settings.emplace(Field.key(), std::string(Value.data(), Value.size()));
  }
  return Settings;
}

NodeKind readKind(JsonReader &Reader) {
  std::string Name;
  Reader.field("kind", Name);
  std::optional<NodeKind> Kind = nodeKindOf(Name);
  if (!Kind)
    Reader.fail("\"" + Name + "\" is not a node kind");
  return Kind.value_or(NodeKind::Group);
}

static json::object writeEdit(const NodeEdit &Edit) {
  json::object Out{{"path", Edit.Path},
                   {"kind", nodeKindName(Edit.Kind)},
                   {"expected_version", Edit.ExpectedVersion}};
  if (Edit.Remove)
    Out.emplace("remove", true);
  else
    Out.emplace("settings", writeSettings(Edit.Settings));
  return Out;
}

static NodeEdit readEdit(const json::value &Source, std::string &Error) {
  NodeEdit Edit;
  JsonReader Reader(Source, Error);
  Reader.field("path", Edit.Path)
      .field("expected_version", Edit.ExpectedVersion);
  Edit.Kind = readKind(Reader);
  if (Error.empty() && Source.get_object().contains("remove"))
    Reader.field("remove", Edit.Remove);
  if (!Edit.Remove)
    Edit.Settings = readSettings(Reader, "settings");
  return Edit;
}

static json::object writeBody(const Change &Body) {
  json::array Edits;
  for (const NodeEdit &Edit : Body.Edits)
    Edits.push_back(writeEdit(Edit));
  return {{"type", "change"}, {"id", Body.ChangeId}, {"edits", Edits}};
}

static json::object writeBody(const JoinRecord &Body) {
  return {{"type", "join"}, {"member", writeMember(Body.Joined)}};
}

static json::object writeBody(const LeaveRecord &Body) {
  return {{"type", "leave"},
          {"host", Body.Peer.Host},
          {"incarnation", Body.Peer.Inc}};
}

static json::object writeBody(const RemoveRecord &Body) {
  return {{"type", "remove"},
          {"host", Body.Peer.Host},
          {"incarnation", Body.Peer.Inc},
          {"by", Body.AppendedBy}};
}

static json::object writeBody(const SnapshotRecord &Body) {
  return {{"type", "snapshot"}, {"id", Body.Id},       {"at", Body.At},
          {"part", Body.Part},  {"parts", Body.Parts}, {"data", Body.Data}};
}

std::string encodeRecord(const RecordBody &Body) {
  return std::visit(
      [](const auto &Record) { return json::serialize(writeBody(Record)); },
      Body);
}

static RecordBody readChange(JsonReader &Reader, std::string &Error) {
  Change Body;
  Reader.field("id", Body.ChangeId);
  const json::array *Edits = Reader.array("edits");
  if (!Edits)
    return Body;
  for (const json::value &Edit : *Edits) {
    Body.Edits.push_back(readEdit(Edit, Error));
    if (!Error.empty())
      break;
  }
  return Body;
}

static RecordBody readBody(JsonReader &Reader, std::string &Error) {
  std::string Type;
  Reader.field("type", Type);
  if (Type == "change")
    return readChange(Reader, Error);
  if (Type == "join") {
    const json::value *Source = Reader.value("member");
    return JoinRecord{Source ? readMember(*Source, Error) : Member{}};
  }
  if (Type == "leave") {
    LeaveRecord Body;
    Reader.field("host", Body.Peer.Host).field("incarnation", Body.Peer.Inc);
    return Body;
  }
  if (Type == "remove") {
    RemoveRecord Body;
    Reader.field("host", Body.Peer.Host)
        .field("incarnation", Body.Peer.Inc)
        .field("by", Body.AppendedBy);
    return Body;
  }
  if (Type == "snapshot") {
    SnapshotRecord Body;
    Reader.field("id", Body.Id)
        .field("at", Body.At)
        .field("part", Body.Part)
        .field("parts", Body.Parts)
        .field("data", Body.Data);
    return Body;
  }
  Reader.fail("unknown record type \"" + Type + "\"");
  return Change{};
}

std::variant<RecordBody, std::string> decodeRecord(std::string_view Text) {
  json::error_code Code;
  json::value Source = json::parse(Text, Code);
  if (Code)
    return "the record is not valid JSON: " + Code.message();
  std::string Error;
  JsonReader Reader(Source, Error);
  RecordBody Body = readBody(Reader, Error);
  if (!Error.empty())
    return Error;
  return Body;
}

} // namespace figsail
