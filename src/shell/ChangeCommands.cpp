// ChangeCommands.cpp - Commands of figsailctl that check and change the tree.

#include "ControlCommands.h"

#include "Declarations.h"
#include "LogReplica.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

namespace figsail {

/// Returns the declared tree, or nothing after printing all errors.
static std::optional<DeclaredTree> readFiles(ControlContext &Context,
                                             const ArgumentList &Files) {
  auto Result = readDeclarations(Files);
  if (auto *Tree = std::get_if<DeclaredTree>(&Result))
    return std::move(*Tree);
  for (const auto &Error : std::get<std::vector<DeclarationError>>(Result))
    Context.Error << describe(Error) << '\n';
  return std::nullopt;
}

static std::string describe(const Rejection &Why) {
  std::string Text = Why.Path;
  if (!Why.Setting.empty())
    Text += " (" + Why.Setting + ")";
  return Text.empty() ? Why.Reason : Text + ": " + Why.Reason;
}

/// Makes an id that begins with the operator's name, so that the loser of a
/// conflict can be told who was first.
static std::string makeChangeId(const std::string &Operator) {
  // Change ids have at most 64 characters.
  static constexpr std::size_t MaxName = 40;
  std::random_device Random;
  std::ostringstream Id;
  Id << Operator.substr(0, MaxName) << '-' << std::hex << std::setfill('0')
     << std::setw(8) << Random() << std::setw(8) << Random();
  return Id.str();
}

static ControlStatus reportConflict(ControlContext &Context,
                                    const LogReplica &Replica,
                                    const Rejection &Why) {
  Context.Error << "conflict: " << describe(Why) << '\n';
  std::string First = Replica.lastChangeTo(Why.Path);
  if (!First.empty())
    Context.Error << "first was change " << First << '\n';
  Context.Error << "nothing was changed; read the present state and try "
                   "again\n";
  return ControlStatus::Conflict;
}

static ControlStatus reportRejection(ControlContext &Context,
                                     const LogReplica &Replica,
                                     const Rejection &Why) {
  if (Why.Conflict)
    return reportConflict(Context, Replica, Why);
  Context.Error << "rejected: " << describe(Why) << '\n';
  return ControlStatus::Failed;
}

/// Proposes edits against the state of the replica and reports the outcome.
static ControlStatus proposeEdits(ControlContext &Context, LogReplica &Replica,
                                  std::vector<NodeEdit> Edits) {
  Change Proposal{makeChangeId(Context.Operator), std::move(Edits)};
  Verdict Expected = Replica.state().configuration().check(Proposal);
  if (const Rejection *Why = std::get_if<Rejection>(&Expected))
    return reportRejection(Context, Replica, *Why);
  ProposalOutcome Outcome = Replica.propose(Proposal, Context.Patience);
  if (!Outcome.FinalVerdict) {
    Context.Error << "it is not known whether change " << Proposal.ChangeId
                  << " takes effect; ask again with: figsailctl verdict "
                  << Proposal.ChangeId << '\n';
    return ControlStatus::Unknown;
  }
  if (const Rejection *Why = std::get_if<Rejection>(&*Outcome.FinalVerdict))
    return reportRejection(Context, Replica, *Why);
  Context.Out << "accepted: change " << Proposal.ChangeId << ", "
              << Proposal.Edits.size() << " nodes, at offset "
              << Outcome.ChangeOffset << '\n';
  return ControlStatus::Done;
}

ControlStatus checkCommand(ControlContext &Context, const ArgumentList &Files) {
  std::optional<DeclaredTree> Tree = readFiles(Context, Files);
  if (!Tree)
    return ControlStatus::Failed;
  Context.Out << "valid: " << Tree->size() << " nodes\n";
  return ControlStatus::Done;
}

ControlStatus publishCommand(ControlContext &Context,
                             const ArgumentList &Files) {
  std::optional<DeclaredTree> Tree = readFiles(Context, Files);
  if (!Tree)
    return ControlStatus::Failed;
  LogConnection Log(Context.LogAddress, Context.Timeout);
  LogReplica Replica(Log);
  if (!catchUp(Replica, Context.Error))
    return ControlStatus::Failed;
  std::vector<NodeEdit> Edits =
      editsTowards(*Tree, Replica.state().configuration(), Context.Prune);
  if (Edits.empty()) {
    Context.Out << "nothing to publish\n";
    return ControlStatus::Done;
  }
  for (const NodeEdit &Edit : Edits) {
    const char *What = Edit.ExpectedVersion == NoOffset ? "add" : "change";
    Context.Out << (Edit.Remove ? "remove" : What) << ' ' << Edit.Path << '\n';
  }
  return proposeEdits(Context, Replica, std::move(Edits));
}

/// Returns whether a node or a listed member bears the name, so that a
/// misspelt name is not accepted in silence.
static bool isKnownPlace(const ReplicatedState &State, const std::string &Path,
                         NodeKind Kind, const std::string &Name) {
  if (State.configuration().nodes().contains(Path))
    return true;
  if (Kind == NodeKind::BackendServer)
    return State.member(Name) != nullptr;
  return std::ranges::any_of(State.members(), [&](const auto &Item) {
    return Item.second.FailureDomain == Name;
  });
}

ControlStatus serviceCommand(ControlContext &Context,
                             const ArgumentList &Arguments, bool InService) {
  const std::string &Name = Arguments[1];
  bool IsDomain = Arguments[0] == "failure-domain";
  NodeKind Kind = IsDomain ? NodeKind::FailureDomain : NodeKind::BackendServer;
  std::string Path =
      IsDomain ? failureDomainPath(Name) : backendServerPath(Name);
  LogConnection Log(Context.LogAddress, Context.Timeout);
  LogReplica Replica(Log);
  if (!catchUp(Replica, Context.Error))
    return ControlStatus::Failed;
  const ReplicatedState &State = Replica.state();
  if (!isKnownPlace(State, Path, Kind, Name)) {
    Context.Error << "no member is listed and no node is declared for "
                  << Arguments[0] << " \"" << Name << "\"\n";
    return ControlStatus::Failed;
  }
  NodeEdit Edit{Path, Kind, false, {}, NoOffset};
  auto Found = State.configuration().nodes().find(Path);
  if (Found != State.configuration().nodes().end()) {
    Edit.Settings = Found->second.Settings;
    Edit.ExpectedVersion = Found->second.Version;
  }
  std::string Wanted = InService ? "true" : "false";
  std::string Present = "true";
  if (auto Set = Edit.Settings.find("in_service"); Set != Edit.Settings.end())
    Present = Set->second;
  if (Present == Wanted) {
    Context.Out << Path << " is already "
                << (InService ? "in service" : "out of service") << '\n';
    return ControlStatus::Done;
  }
  Edit.Settings["in_service"] = Wanted;
  return proposeEdits(Context, Replica, {Edit});
}

ControlStatus verdictCommand(ControlContext &Context,
                             const std::string &ChangeId) {
  LogConnection Log(Context.LogAddress, Context.Timeout);
  LogReplica Replica(Log);
  if (!catchUp(Replica, Context.Error))
    return ControlStatus::Failed;
  std::optional<Verdict> Known = Replica.state().verdictOf(ChangeId);
  if (!Known) {
    Context.Error << "change " << ChangeId << " does not stand in the log\n";
    return ControlStatus::Unknown;
  }
  if (const Rejection *Why = std::get_if<Rejection>(&*Known))
    return reportRejection(Context, Replica, *Why);
  Context.Out << "accepted: change " << ChangeId << '\n';
  return ControlStatus::Done;
}

} // namespace figsail
