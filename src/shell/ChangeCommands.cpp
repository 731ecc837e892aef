// ChangeCommands.cpp - Commands of figsailctl that check or change nodes.

#include "ControlCommands.h"

#include "Declarations.h"
#include "LogReplica.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

namespace figsail {

/// Returns the declared tree. Prints all errors and returns nothing if a file
/// is invalid.
static std::optional<DeclaredTree> loadDeclarations(ControlContext &Context,
                                                    const ArgumentList &Files) {
  auto Result = readDeclarations(Files);
  if (auto *Tree = std::get_if<DeclaredTree>(&Result))
    return std::move(*Tree);
  for (const auto &Error : std::get<std::vector<DeclarationError>>(Result))
    Context.Error << describe(Error) << '\n';
  return std::nullopt;
}

static std::string describe(const Rejection &Rejected) {
  std::string Text = Rejected.Path;
  if (!Rejected.Setting.empty())
    Text += " (" + Rejected.Setting + ")";
  return Text.empty() ? Rejected.Reason : Text + ": " + Rejected.Reason;
}

/// Makes a change id that begins with the operator's name. A conflict report
/// shows it, so that it names the operator of the other change.
static std::string makeChangeId(const std::string &Operator) {
  // Change ids have at most 64 characters.
  static constexpr std::size_t MaxOperatorLength = 40;
  std::random_device Random;
  std::ostringstream Id;
  Id << Operator.substr(0, MaxOperatorLength) << '-' << std::hex
     << std::setfill('0') << std::setw(8) << Random() << std::setw(8)
     << Random();
  return Id.str();
}

static ControlStatus reportConflict(ControlContext &Context,
                                    const LogReplica &Replica,
                                    const Rejection &Rejected) {
  Context.Error << "conflict: " << describe(Rejected) << '\n';
  std::string LastEdit = Replica.lastChangeTo(Rejected.Path);
  if (!LastEdit.empty())
    Context.Error << "the last edit of this node is change " << LastEdit
                  << '\n';
  Context.Error << "nothing was changed; read the current state and try "
                   "again\n";
  return ControlStatus::Conflict;
}

static ControlStatus reportRejection(ControlContext &Context,
                                     const LogReplica &Replica,
                                     const Rejection &Rejected) {
  if (Rejected.Conflict)
    return reportConflict(Context, Replica, Rejected);
  Context.Error << "rejected: " << describe(Rejected) << '\n';
  return ControlStatus::Failed;
}

/// Proposes edits to the state of the replica and reports the outcome.
static ControlStatus proposeEdits(ControlContext &Context, LogReplica &Replica,
                                  std::vector<NodeEdit> Edits) {
  Change Proposal{makeChangeId(Context.Operator), std::move(Edits)};
  Verdict PredictedVerdict = Replica.state().configuration().check(Proposal);
  if (const Rejection *Rejected = std::get_if<Rejection>(&PredictedVerdict))
    return reportRejection(Context, Replica, *Rejected);
  ProposalOutcome Outcome = Replica.propose(Proposal, Context.SettleTimeout);
  if (!Outcome.FinalVerdict) {
    Context.Error << "it is not known whether change " << Proposal.ChangeId
                  << " takes effect; check again with: figsailctl verdict "
                  << Proposal.ChangeId << '\n';
    return ControlStatus::OutcomeUnknown;
  }
  if (const Rejection *Rejected =
          std::get_if<Rejection>(&*Outcome.FinalVerdict))
    return reportRejection(Context, Replica, *Rejected);
  Context.Out << "accepted: change " << Proposal.ChangeId << ", "
              << Proposal.Edits.size() << " nodes, at offset "
              << Outcome.ChangeOffset << '\n';
  return ControlStatus::Success;
}

ControlStatus checkCommand(ControlContext &Context, const ArgumentList &Files) {
  std::optional<DeclaredTree> Tree = loadDeclarations(Context, Files);
  if (!Tree)
    return ControlStatus::Failed;
  Context.Out << "valid: " << Tree->size() << " nodes\n";
  return ControlStatus::Success;
}

ControlStatus publishCommand(ControlContext &Context,
                             const ArgumentList &Files) {
  std::optional<DeclaredTree> Tree = loadDeclarations(Context, Files);
  if (!Tree)
    return ControlStatus::Failed;
  LogConnection Log(Context.LogAddress, Context.RequestTimeout);
  LogReplica Replica(Log);
  if (!catchUp(Replica, Context.Error))
    return ControlStatus::Failed;
  std::vector<NodeEdit> Edits =
      computeEdits(*Tree, Replica.state().configuration(), Context.Prune);
  if (Edits.empty()) {
    Context.Out << "nothing to publish\n";
    return ControlStatus::Success;
  }
  for (const NodeEdit &Edit : Edits) {
    const char *Action = Edit.ExpectedVersion == NoOffset ? "add" : "change";
    Context.Out << (Edit.Remove ? "remove" : Action) << ' ' << Edit.Path
                << '\n';
  }
  return proposeEdits(Context, Replica, std::move(Edits));
}

/// Returns whether a node is declared for the name or a member has it. A
/// misspelt name would otherwise be accepted without effect.
static bool isKnownTarget(const ReplicatedState &State, const std::string &Path,
                          NodeKind Kind, const std::string &Name) {
  if (State.configuration().nodes().contains(Path))
    return true;
  if (Kind == NodeKind::BackendServer)
    return State.member(Name) != nullptr;
  return std::ranges::any_of(State.members(), [&](const auto &Item) {
    return Item.second.FailureDomain == Name;
  });
}

ControlStatus setInServiceCommand(ControlContext &Context,
                                  const ArgumentList &Arguments,
                                  bool InService) {
  const std::string &Name = Arguments[1];
  bool IsDomain = Arguments[0] == "failure-domain";
  NodeKind Kind = IsDomain ? NodeKind::FailureDomain : NodeKind::BackendServer;
  std::string Path =
      IsDomain ? failureDomainPath(Name) : backendServerPath(Name);
  LogConnection Log(Context.LogAddress, Context.RequestTimeout);
  LogReplica Replica(Log);
  if (!catchUp(Replica, Context.Error))
    return ControlStatus::Failed;
  const ReplicatedState &State = Replica.state();
  if (!isKnownTarget(State, Path, Kind, Name)) {
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
  std::string NewValue = InService ? "true" : "false";
  std::string CurrentValue = "true";
  if (auto InServiceSetting = Edit.Settings.find("in_service");
      InServiceSetting != Edit.Settings.end())
    CurrentValue = InServiceSetting->second;
  if (CurrentValue == NewValue) {
    Context.Out << Path << " is already "
                << (InService ? "in service" : "out of service") << '\n';
    return ControlStatus::Success;
  }
  Edit.Settings["in_service"] = NewValue;
  return proposeEdits(Context, Replica, {Edit});
}

ControlStatus verdictCommand(ControlContext &Context,
                             const std::string &ChangeId) {
  LogConnection Log(Context.LogAddress, Context.RequestTimeout);
  LogReplica Replica(Log);
  if (!catchUp(Replica, Context.Error))
    return ControlStatus::Failed;
  std::optional<Verdict> Recorded = Replica.state().verdictOf(ChangeId);
  if (!Recorded) {
    Context.Error << "change " << ChangeId << " is not in the log\n";
    return ControlStatus::OutcomeUnknown;
  }
  if (const Rejection *Rejected = std::get_if<Rejection>(&*Recorded))
    return reportRejection(Context, Replica, *Rejected);
  Context.Out << "accepted: change " << ChangeId << '\n';
  return ControlStatus::Success;
}

} // namespace figsail
