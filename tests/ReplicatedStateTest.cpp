// ReplicatedStateTest.cpp - Guards against two states from the same log.

#include "TreeTestFunctions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;

namespace {

/// One random record of the log. Action selects the kind of record, which
/// determines the meaning of the other numbers.
struct Step {
  int Action = 0;
  int Node = 0;
  int Value = 0;
  int Lag = 0; ///< Age, in records, of the state that the proposer read.
};

/// Prints a step for RapidCheck, which shows it with a counterexample.
void showValue(const Step &Current, std::ostream &Out) {
  Out << '{' << Current.Action << ' ' << Current.Node << ' ' << Current.Value
      << ' ' << Current.Lag << '}';
}

/// A node that steps may edit.
struct NodePath {
  const char *Path;
  NodeKind Kind;
};

} // namespace

static const std::vector<NodePath> EditedNodes{
    {"/w", NodeKind::Workspace},
    {"/w/s", NodeKind::Service},
    {"/w/t", NodeKind::Service},
    {"/w/s/q", NodeKind::Route},
    {"/w/s/r", NodeKind::Route},
    {"/w/t/r", NodeKind::Route},
    {"/g", NodeKind::Group},
    {"/g/v", NodeKind::Workspace},
    {"/failure_domains/d0", NodeKind::FailureDomain},
    {"/backend_servers/h1", NodeKind::BackendServer},
};

static rc::Gen<std::vector<Step>> steps() {
  auto Current = rc::gen::build<Step>(
      rc::gen::set(&Step::Action, rc::gen::inRange(0, 12)),
      rc::gen::set(&Step::Node, rc::gen::inRange(0, 10)),
      rc::gen::set(&Step::Value, rc::gen::inRange(0, 8)),
      rc::gen::set(&Step::Lag, rc::gen::element(0, 0, 0, 1, 3)));
  return rc::gen::scale(2.0, rc::gen::container<std::vector<Step>>(Current));
}

static NodeEdit makeEdit(const Step &Current,
                         const std::map<std::string, TreeNode> &Nodes) {
  static const std::vector<SettingMap> Regions{
      {},
      {},
      {{"home_regions", ""}},
      {{"home_regions", "a"}},
      {{"home_regions", "b"}},
      {{"home_regions", "a,b"}},
      {{"home_regions", "a"}, {"share", "2"}},
      {{"deadline", "1s"}}};
  static const std::vector<std::string> Paths{"/s/q", "/s/*", "/t", "/x"};
  const NodePath &Edited = EditedNodes[static_cast<std::size_t>(Current.Node)];
  NodeEdit Edit = edit(Edited.Path, Edited.Kind);
  if (Edited.Kind == NodeKind::FailureDomain ||
      Edited.Kind == NodeKind::BackendServer)
    Edit.Settings = {{"in_service", Current.Value % 2 ? "true" : "false"}};
  else
    Edit.Settings = Regions[static_cast<std::size_t>(Current.Value)];
  if (Edited.Kind == NodeKind::Route) {
    Edit.Settings.erase("share");
    Edit.Settings["match_path"] =
        Paths[static_cast<std::size_t>(Current.Value) / 2];
  }
  auto Found = Nodes.find(Edit.Path);
  if (Found != Nodes.end())
    Edit.ExpectedVersion = Found->second.Version;
  return Edit;
}

static Member makeMember(int Host, int Variant) {
  Member Daemon;
  Daemon.Host = "h" + std::to_string(Host % 4);
  Daemon.Inc = static_cast<Incarnation>(1 + Variant % 3);
  Daemon.Region = Host % 2 ? "a" : "b";
  Daemon.FailureDomain = "d" + std::to_string(Host % 2);
  Daemon.Service = Variant % 2 ? "/w/s" : "/w/t";
  return Daemon;
}

/// Returns the log that results from the steps. The proposer of each step reads
/// the state, possibly an older one, and appends a record.
static std::vector<LogRecord> makeLog(const std::vector<Step> &Steps) {
  std::vector<LogRecord> Log;
  ReplicatedState State;
  std::vector<std::map<std::string, TreeNode>> Trees;
  auto Append = [&](const std::string &Data) {
    Log.push_back({static_cast<Offset>(Log.size()), Data});
    State.applyRecord({}, Log.back());
    Trees.push_back(State.configuration().nodes());
  };
  Append(encodeRecord(Change{"c0", smallTree()}));
  for (const Step &Current : Steps) {
    std::size_t Lag =
        std::min(static_cast<std::size_t>(Current.Lag), Trees.size() - 1);
    NodeEdit Edit = makeEdit(Current, Trees[Trees.size() - 1 - Lag]);
    std::string Id = "c" + std::to_string(Log.size());
    PeerRef Peer{"h" + std::to_string(Current.Node % 4),
                 static_cast<Incarnation>(1 + Current.Value % 3)};
    if (Current.Action < 5)
      Append(encodeRecord(Change{Id, {Edit}}));
    else if (Current.Action == 5)
      Append(encodeRecord(
          Change{Id, {removal(Edit.Path, Edit.Kind, Edit.ExpectedVersion)}}));
    else if (Current.Action == 6 || Current.Action == 7)
      Append(Log[static_cast<std::size_t>(Current.Node * 8 + Current.Value) %
                 Log.size()]
                 .Data);
    else if (Current.Action == 8)
      Append(encodeRecord(LeaveRecord{Peer}));
    else if (Current.Action == 9)
      Append(Current.Value ? encodeRecord(RemoveRecord{Peer, "h9"})
                           : "{not json");
    else
      Append(encodeRecord(JoinRecord{makeMember(Current.Node, Current.Value)}));
  }
  return Log;
}

static std::string outcomeText(const ApplyResult &Result) {
  Rejection Rejected = rejectionOf(Result.Outcome);
  std::string Text = Result.Duplicate ? "duplicate " : "";
  Text += Rejected.Conflict ? "conflict " : "";
  Text += Rejected.Path + Rejected.Setting + Rejected.Reason;
  for (const std::string &Service : Result.ServicesChanged)
    Text += " " + Service;
  return Text;
}

// Fails when a part of the state is missing from the snapshot, or when an
// outcome depends on anything other than the state and the record.
RC_GTEST_PROP(ReplicatedState, RestartFromASnapshotKeepsTheState, ()) {
  std::vector<LogRecord> Log = makeLog(*steps());
  ReplicatedState Replayed;
  ReplicatedState Restarted;
  for (const LogRecord &Record : Log) {
    std::string Expected = outcomeText(Replayed.applyRecord({}, Record));
    if (*rc::gen::inRange(0, 4) == 0) {
      ReplicatedState Fresh;
      auto Error =
          Fresh.restore(TimePoint(Duration(5)), Restarted.appliedOffset(),
                        Restarted.snapshot());
      RC_ASSERT(!Error);
      Restarted = Fresh;
    }
    ApplyResult Result = Restarted.applyRecord(TimePoint(Duration(9)), Record);
    RC_ASSERT(outcomeText(Result) == Expected);
    RC_ASSERT(Restarted.snapshot() == Replayed.snapshot());
    // A record that arrives again has no effect.
    RC_ASSERT(Restarted.applyRecord({}, Record).Ignored);
  }
}

// Fails when a change that is in the log twice is applied twice.
RC_GTEST_PROP(ReplicatedState, DuplicateChangesAreAppliedOnce, ()) {
  std::vector<LogRecord> Log = makeLog(*steps());
  ReplicatedState All;
  ReplicatedState Once;
  std::set<std::string> Seen;
  for (LogRecord Record : Log) {
    ApplyResult Result = All.applyRecord({}, Record);
    auto Decoded = decodeRecord(Record.Data);
    const RecordBody *Body = std::get_if<RecordBody>(&Decoded);
    const Change *Proposal = Body ? std::get_if<Change>(Body) : nullptr;
    bool Again = Proposal && !Seen.insert(Proposal->ChangeId).second;
    RC_ASSERT(Result.Duplicate == Again);
    if (Again)
      Record.Data = "{}";
    Once.applyRecord({}, Record);
    RC_ASSERT(All.snapshot() == Once.snapshot());
  }
}

// Fails when not exactly one of several concurrent operators succeeds, or when
// the others do not get a conflict.
RC_GTEST_PROP(ReplicatedState, ExactlyOneOfConcurrentChangesIsAccepted, ()) {
  std::vector<LogRecord> Log = makeLog(*steps());
  ReplicatedState State;
  for (const LogRecord &Record : Log)
    State.applyRecord({}, Record);
  int Proposals = *rc::gen::inRange(2, 5);
  Step Target;
  Target.Node = *rc::gen::element(0, 1, 2, 3, 4, 5, 6, 8, 9);
  Target.Value = *rc::gen::inRange(0, 8);
  NodeEdit Edit = makeEdit(Target, State.configuration().nodes());
  RC_PRE(accepted(State.configuration().check({"first", {Edit}})));
  int AcceptedCount = 0;
  int Conflicts = 0;
  for (int I = 0; I < Proposals; ++I) {
    Change Proposal{"racer" + std::to_string(I), {Edit}};
    ApplyResult Result = State.applyRecord(
        {}, {State.appliedOffset() + 1, encodeRecord(Proposal)});
    AcceptedCount += accepted(Result.Outcome) ? 1 : 0;
    Conflicts += rejectionOf(Result.Outcome).Conflict ? 1 : 0;
  }
  RC_ASSERT(AcceptedCount == 1);
  RC_ASSERT(Conflicts == Proposals - 1);
}

// Fails when an old snapshot, an old record or a gap in the log reverts the
// state or makes it differ from a complete replay up to the same offset.
RC_GTEST_PROP(ReplicatedState, StateIsNeverReverted, ()) {
  std::vector<LogRecord> Log = makeLog(*steps());
  std::vector<std::string> Snapshots;
  ReplicatedState Replayed;
  for (const LogRecord &Record : Log) {
    Replayed.applyRecord({}, Record);
    Snapshots.push_back(Replayed.snapshot());
  }
  ReplicatedState State;
  int Count = *rc::gen::inRange(1, 60);
  for (int I = 0; I < Count; ++I) {
    Offset Before = State.appliedOffset();
    auto At = *rc::gen::inRange<std::size_t>(0, Log.size());
    if (*rc::gen::inRange(0, 4) == 0)
      RC_ASSERT(!State.restore({}, static_cast<Offset>(At), Snapshots[At]));
    else if (*rc::gen::inRange(0, 2) == 0)
      State.applyRecord({}, Log[At]);
    else if (State.nextOffset() < static_cast<Offset>(Log.size()))
      State.applyRecord({}, Log[static_cast<std::size_t>(State.nextOffset())]);
    RC_ASSERT(State.appliedOffset() >= Before);
    if (State.appliedOffset() != NoOffset)
      RC_ASSERT(State.snapshot() ==
                Snapshots[static_cast<std::size_t>(State.appliedOffset())]);
  }
}

// Fails when a change of an ancestor, or of several nodes at once, leaves a
// child with home regions that its parent does not have.
RC_GTEST_PROP(ReplicatedState, HomeRegionsAreSubsetsOfTheParents, ()) {
  ReplicatedState State;
  for (const LogRecord &Record : makeLog(*steps())) {
    State.applyRecord({}, Record);
    RC_ASSERT(nodeWithWiderRegions(State.configuration()) == "");
  }
}

// Fails when an epoch begins without a change of members or regions, or when
// such a change does not begin an epoch.
RC_GTEST_PROP(ReplicatedState, EpochsBeginWithChangesOfMembersOrRegions, ()) {
  ReplicatedState State;
  for (const LogRecord &Record : makeLog(*steps()))
    State.applyRecord({}, Record);
  for (const std::string Service : {"/w/s", "/w/t"}) {
    const EpochHistory *History = State.epochs(Service);
    RC_ASSERT(History != nullptr);
    const auto &Entries = History->entries();
    for (std::size_t I = 1; I < Entries.size(); ++I) {
      RC_ASSERT(Entries[I].At > Entries[I - 1].At);
      RC_ASSERT(Entries[I].Members != Entries[I - 1].Members ||
                Entries[I].RouteRegions != Entries[I - 1].RouteRegions);
    }
    std::vector<Member> Expected;
    for (const auto &[Host, Daemon] : State.members())
      if (Daemon.Service == Service &&
          State.configuration().inService(Daemon.FailureDomain, Host))
        Expected.push_back(Daemon);
    RC_ASSERT(History->current().Members == Expected);
    RC_ASSERT(History->current().RouteRegions ==
              State.configuration().routeRegions(Service));
  }
}

static LogRecord record(const ReplicatedState &State, const RecordBody &Body) {
  return {State.appliedOffset() + 1, encodeRecord(Body)};
}

// A late removal must not remove a newer process at the same host.
TEST(ReplicatedState, RemovalAppliesOnlyToTheListedIncarnation) {
  ReplicatedState State;
  Member Old = makeMember(0, 1);
  Member New = Old;
  New.Inc = 77;
  State.applyRecord({}, record(State, JoinRecord{Old}));
  State.applyRecord({}, record(State, JoinRecord{New}));
  State.applyRecord({}, record(State, RemoveRecord{{Old.Host, Old.Inc}, "h1"}));
  ASSERT_TRUE(State.member(Old.Host));
  EXPECT_EQ(State.member(Old.Host)->Inc, 77U);
  State.applyRecord({}, record(State, LeaveRecord{{New.Host, New.Inc}}));
  EXPECT_FALSE(State.member(Old.Host));
}

// A daemon that applies the rest of a truncated log without a snapshot reaches
// a different state.
TEST(ReplicatedState, OnlyASnapshotInTheLogClosesAGap) {
  ReplicatedState Writer;
  Writer.applyRecord({}, record(Writer, Change{"c0", smallTree()}));
  Writer.applyRecord({}, record(Writer, JoinRecord{makeMember(1, 1)}));
  std::string Text = Writer.snapshot();
  std::size_t Half = Text.size() / 2;
  std::vector<LogRecord> Retained;
  auto Append = [&](const RecordBody &Body) {
    Retained.push_back(record(Writer, Body));
    Writer.applyRecord({}, Retained.back());
  };
  Append(JoinRecord{makeMember(2, 2)});
  Append(SnapshotRecord{"x", 1, 1, 2, Text.substr(Half)});
  Append(SnapshotRecord{"x", 1, 0, 2, Text.substr(0, Half)});
  Append(JoinRecord{makeMember(3, 1)});

  ReplicatedState Reader;
  int Restores = 0;
  for (int Reads = 0; Reads < 20; ++Reads) {
    Offset Next = std::max<Offset>(Reader.nextOffset(), Retained.front().At);
    if (Next > Retained.back().At)
      break;
    const LogRecord &Record =
        Retained[static_cast<std::size_t>(Next - Retained.front().At)];
    Restores += Reader.applyRecord({}, Record).Restored ? 1 : 0;
  }
  EXPECT_EQ(Restores, 1);
  EXPECT_EQ(Reader.snapshot(), Writer.snapshot());
  EXPECT_TRUE(Reader.epochs("/w/t")->entries().front().Truncated ||
              Reader.epochs("/w/s")->entries().front().Truncated);
}

TEST(ReplicatedState, NumberOfStoredVerdictsIsBounded) {
  ReplicatedState State;
  for (std::size_t I = 0; I <= MaxStoredVerdicts; ++I)
    State.applyRecord({}, record(State, Change{"c" + std::to_string(I), {}}));
  EXPECT_FALSE(State.verdictOf("c0"));
  EXPECT_TRUE(State.verdictOf("c1"));
}

TEST(ReplicatedState, UnreadableSnapshotDoesNotChangeTheState) {
  ReplicatedState State;
  State.applyRecord({}, record(State, Change{"c0", smallTree()}));
  std::string Before = State.snapshot();
  for (const std::string Text :
       {"", "{}", "[]", "{\"format\":2,\"applied\":5}",
        "{\"format\":1,\"applied\":5,\"nodes\":[{\"path\":1}]}"})
    EXPECT_TRUE(State.restore({}, 5, Text)) << Text;
  EXPECT_EQ(State.snapshot(), Before);
}
