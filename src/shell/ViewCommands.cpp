// ViewCommands.cpp - Commands of figsailctl that show the present state.

#include "ControlCommands.h"

#include "LogReplica.h"
#include "OperatorClient.h"

#include <algorithm>
#include <iostream>

namespace figsail {

/// Returns the JSON text of a value without line breaks.
static std::string oneLine(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Value);
}

static void showNode(std::ostream &Out, const Configuration &Tree,
                     const std::string &Path, const TreeNode &Node) {
  Out << Path << " (" << nodeKindName(Node.Kind) << ", version " << Node.Version
      << ")\n";
  for (const auto &[Name, Setting] : Tree.effectiveSettings(Path)) {
    bool Own = Setting.Origin == Path;
    std::string Origin = Own ? "declared here" : "from " + Setting.Origin;
    if (Setting.Origin.empty())
      Origin = "default";
    Out << "  " << Name << " = " << (Setting.Value.empty() ? "\"\"" : "")
        << Setting.Value << "  [" << Origin << "]\n";
  }
}

ControlStatus showCommand(ControlContext &Context, const std::string &Path) {
  LogConnection Log(Context.LogAddress, Context.Timeout);
  LogReplica Replica(Log);
  if (!catchUp(Replica, Context.Error))
    return ControlStatus::Failed;
  const Configuration &Tree = Replica.state().configuration();
  bool Found = Path.empty();
  for (const auto &[Name, Node] : Tree.nodes()) {
    if (!Path.empty() && Name != Path && !Name.starts_with(Path + "/"))
      continue;
    Found = true;
    showNode(Context.Out, Tree, Name, Node);
  }
  if (Found)
    return ControlStatus::Done;
  Context.Error << "there is no node \"" << Path << "\"\n";
  return ControlStatus::Failed;
}

ControlStatus membersCommand(ControlContext &Context) {
  LogConnection Log(Context.LogAddress, Context.Timeout);
  LogReplica Replica(Log);
  if (!catchUp(Replica, Context.Error))
    return ControlStatus::Failed;
  const ReplicatedState &State = Replica.state();
  for (const auto &[Host, Who] : State.members()) {
    bool InService = State.configuration().inService(Who.FailureDomain, Host);
    Context.Out << Host << "  incarnation " << Who.Inc << "  region "
                << Who.Region << "  failure domain " << Who.FailureDomain
                << "  service " << (Who.Service.empty() ? "-" : Who.Service)
                << "  slots " << Who.Slots
                << (InService ? "" : "  out of service") << '\n';
  }
  return ControlStatus::Done;
}

/// Calls "status" at the listed members, or at those of the given hosts, and
/// prints one line for each. Returns Failed when any did not respond.
template <class Line>
static ControlStatus forEachStatus(ControlContext &Context,
                                   const ArgumentList &Hosts, Line Print) {
  LogConnection Log(Context.LogAddress, Context.Timeout);
  LogReplica Replica(Log);
  if (!catchUp(Replica, Context.Error))
    return ControlStatus::Failed;
  const ReplicatedState &State = Replica.state();
  ControlStatus Status = ControlStatus::Done;
  for (const std::string &Host : Hosts) {
    if (State.member(Host))
      continue;
    Context.Error << Host << ": not listed\n";
    Status = ControlStatus::Failed;
  }
  std::vector<std::string> Names;
  std::vector<std::string> Addresses;
  for (const auto &[Host, Who] : State.members()) {
    if (!Hosts.empty() && std::ranges::find(Hosts, Host) == Hosts.end())
      continue;
    Names.push_back(Host);
    Addresses.push_back(Who.OperatorAddress);
  }
  std::vector<OperatorResult> Results =
      callOperators(Addresses, "status", Context.Timeout);
  for (std::size_t I = 0; I < Results.size(); ++I) {
    if (const auto *Fields = std::get_if<Json::Value>(&Results[I])) {
      Print(Names[I], *Fields, State);
      continue;
    }
    Context.Out << Names[I] << ": " << std::get<OperatorError>(Results[I]).Text
                << '\n';
    Status = ControlStatus::Failed;
  }
  return Status;
}

ControlStatus offsetsCommand(ControlContext &Context) {
  auto Print = [&](const std::string &Host, const Json::Value &Fields,
                   const ReplicatedState &State) {
    const Json::Value &Value = Fields["applied"];
    Context.Out << Host << ": ";
    if (!Value.isIntegral()) {
      Context.Out << "no offset in the response\n";
      return;
    }
    Offset Applied = Value.asInt64();
    Context.Out << "applied " << Applied;
    if (Applied < State.appliedOffset())
      Context.Out << ", behind by " << State.appliedOffset() - Applied;
    Context.Out << '\n';
  };
  return forEachStatus(Context, {}, Print);
}

ControlStatus statusCommand(ControlContext &Context,
                            const ArgumentList &Hosts) {
  auto Print = [&](const std::string &Host, const Json::Value &Fields,
                   const ReplicatedState &) {
    Context.Out << Host << ":\n";
    for (const std::string &Name : Fields.getMemberNames())
      Context.Out << "  " << Name << ": " << oneLine(Fields[Name]) << '\n';
  };
  return forEachStatus(Context, Hosts, Print);
}

} // namespace figsail
