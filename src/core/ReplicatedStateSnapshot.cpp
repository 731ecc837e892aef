// ReplicatedStateSnapshot.cpp - Snapshot encoding of the replicated state.

#include "figsail/ReplicatedState.h"

#include "RecordFields.h"

namespace figsail {

namespace json = boost::json;

static constexpr std::uint32_t SnapshotFormat = 1;

static json::value writeVerdict(const std::string &ChangeId,
                                const Verdict &Outcome) {
  const Rejection *Rejected = std::get_if<Rejection>(&Outcome);
  if (!Rejected)
    return json::value(ChangeId);
  return json::object{{"id", ChangeId},
                      {"path", Rejected->Path},
                      {"setting", Rejected->Setting},
                      {"reason", Rejected->Reason},
                      {"conflict", Rejected->Conflict}};
}

/// Reads the verdict on one change. An accepted change is stored as its id
/// only, a rejected one as an object.
static std::pair<std::string, Verdict> readVerdict(const json::value &Source,
                                                   std::string &Error) {
  if (const json::string *Id = Source.if_string())
    return {std::string(Id->data(), Id->size()), Accepted{}};
  std::string Id;
  Rejection Rejected;
  JsonReader(Source, Error)
      .field("id", Id)
      .field("path", Rejected.Path)
      .field("setting", Rejected.Setting)
      .field("reason", Rejected.Reason)
      .field("conflict", Rejected.Conflict);
  return {Id, Rejected};
}

std::string ReplicatedState::snapshot() const {
  json::array Nodes;
  for (const auto &[Path, Node] : Tree.nodes())
    Nodes.push_back(json::object{{"path", Path},
                                 {"kind", nodeKindName(Node.Kind)},
                                 {"version", Node.Version},
                                 {"settings", writeSettings(Node.Settings)}});
  json::array Listed;
  for (const auto &[Host, Daemon] : Members)
    Listed.push_back(writeMember(Daemon));
  // Only the start of the current epoch is stored: its members and regions
  // follow from the rest of the state.
  json::object EpochStarts;
  for (const auto &[Service, History] : Epochs)
    EpochStarts.emplace(Service, History.current().At);
  json::array Stored;
  for (const std::string &ChangeId : VerdictOrder)
    Stored.push_back(writeVerdict(ChangeId, Verdicts.at(ChangeId)));
  return json::serialize(json::object{{"format", SnapshotFormat},
                                      {"applied", Applied},
                                      {"nodes", std::move(Nodes)},
                                      {"members", std::move(Listed)},
                                      {"epochs", std::move(EpochStarts)},
                                      {"verdicts", std::move(Stored)}});
}

static std::map<std::string, TreeNode> readNodes(JsonReader &Reader,
                                                 std::string &Error) {
  std::map<std::string, TreeNode> Nodes;
  const json::array *Source = Reader.array("nodes");
  if (!Source)
    return Nodes;
  for (const json::value &Item : *Source) {
    std::string Path;
    TreeNode Node;
    JsonReader Fields(Item, Error);
    Fields.field("path", Path).field("version", Node.Version);
    Node.Kind = readKind(Fields);
    Node.Settings = readSettings(Fields, "settings");
    if (!Error.empty())
      break;
    Nodes.emplace(std::move(Path), std::move(Node));
  }
  return Nodes;
}

static std::map<std::string, Offset> readEpochs(JsonReader &Reader) {
  std::map<std::string, Offset> EpochStarts;
  const json::object *Source = Reader.object("epochs");
  if (!Source)
    return EpochStarts;
  for (const auto &Field : *Source) {
    if (!Field.value().is_int64())
      Reader.fail("an epoch must be an offset");
    else
      EpochStarts.emplace(Field.key(), Field.value().get_int64());
  }
  return EpochStarts;
}

std::optional<std::string> ReplicatedState::restore(TimePoint Now, Offset At,
                                                    const std::string &State) {
  std::vector<std::string> Changed;
  return restoreSnapshot(Now, At, State, Changed);
}

std::optional<std::string>
ReplicatedState::restoreSnapshot(TimePoint Now, Offset At,
                                 const std::string &State,
                                 std::vector<std::string> &Changed) {
  if (At <= Applied)
    return std::nullopt;
  json::error_code Code;
  json::value Source = json::parse(State, Code);
  if (Code)
    return "the snapshot is not valid JSON: " + Code.message();
  std::string Error;
  JsonReader Reader(Source, Error);
  std::uint32_t Format = 0;
  Offset StateAt = NoOffset;
  Reader.field("format", Format).field("applied", StateAt);
  if (Error.empty() && Format != SnapshotFormat)
    return "snapshot format " + std::to_string(Format) + " is not supported";
  if (Error.empty() && StateAt != At)
    return "the snapshot is of offset " + std::to_string(StateAt) + ", not " +
           std::to_string(At);

  ReplicatedState New;
  New.Applied = At;
  New.Tree.restore(readNodes(Reader, Error));
  if (const json::array *Listed = Reader.array("members"))
    for (const json::value &Item : *Listed)
      New.addMember(readMember(Item, Error));
  std::map<std::string, Offset> EpochStarts = readEpochs(Reader);
  if (const json::array *Stored = Reader.array("verdicts"))
    for (const json::value &Item : *Stored) {
      auto [ChangeId, Outcome] = readVerdict(Item, Error);
      New.storeVerdict(ChangeId, Outcome);
    }
  if (!Error.empty())
    return "the snapshot is not readable: " + Error;

  for (const auto &[Service, EpochStart] : EpochStarts) {
    EpochHistory &History = New.Epochs[Service];
    auto Old = Epochs.find(Service);
    if (Old != Epochs.end())
      History = Old->second;
    // When both epochs start at the same offset, the service has not changed in
    // between.
    if (!History.empty() && History.current().At == EpochStart)
      continue;
    if (!History.empty() && History.current().At > EpochStart)
      return "the snapshot contradicts the applied epoch of " + Service;
    EpochEntry Entry = New.makeEpoch(Now, EpochStart, Service);
    Entry.Truncated = true;
    History.append(std::move(Entry));
    Changed.push_back(Service);
  }
  *this = std::move(New);
  return std::nullopt;
}

} // namespace figsail
