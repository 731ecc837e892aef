// ViewCommands.cpp - Commands of figsailctl that show the current state.

#include "ControlCommands.h"

#include "LogReplica.h"
#include "OperatorClient.h"

#include <algorithm>
#include <iostream>

namespace figsail {

/// Returns a value as JSON on one line.
static std::string compactJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Value);
}

static void showNode(std::ostream &Out, const Configuration &Tree,
                     const std::string &Path, const TreeNode &Node) {
  Out << Path << " (" << nodeKindName(Node.Kind) << ", version " << Node.Version
      << ")\n";
  for (const auto &[Name, Setting] : Tree.effectiveSettings(Path)) {
    bool IsOwn = Setting.Origin == Path;
    std::string Origin = IsOwn ? "declared here" : "from " + Setting.Origin;
    if (Setting.Origin.empty())
      Origin = "default";
    Out << "  " << Name << " = " << (Setting.Value.empty() ? "\"\"" : "")
        << Setting.Value << "  [" << Origin << "]\n";
  }
}

ControlStatus showCommand(ControlContext &Context, const std::string &Path) {
  LogConnection Log(Context.LogAddress, Context.RequestTimeout);
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
    return ControlStatus::Success;
  Context.Error << "there is no node \"" << Path << "\"\n";
  return ControlStatus::Failed;
}

ControlStatus membersCommand(ControlContext &Context) {
  LogConnection Log(Context.LogAddress, Context.RequestTimeout);
  LogReplica Replica(Log);
  if (!catchUp(Replica, Context.Error))
    return ControlStatus::Failed;
  const ReplicatedState &State = Replica.state();
  for (const auto &[Host, MemberInfo] : State.members()) {
    bool InService =
        State.configuration().inService(MemberInfo.FailureDomain, Host);
    Context.Out << Host << "  incarnation " << MemberInfo.Inc << "  region "
                << MemberInfo.Region << "  failure domain "
                << MemberInfo.FailureDomain << "  service "
                << (MemberInfo.Service.empty() ? "-" : MemberInfo.Service)
                << "  slots " << MemberInfo.Slots
                << (InService ? "" : "  out of service") << '\n';
  }
  return ControlStatus::Success;
}

/// Calls the method "status" at the given hosts, or at all members if none are
/// given, and prints each result or error. Returns Failed if a host is not a
/// member or a call fails.
template <class StatusPrinter>
static ControlStatus printStatuses(ControlContext &Context,
                                   const ArgumentList &Hosts,
                                   StatusPrinter Print) {
  LogConnection Log(Context.LogAddress, Context.RequestTimeout);
  LogReplica Replica(Log);
  if (!catchUp(Replica, Context.Error))
    return ControlStatus::Failed;
  const ReplicatedState &State = Replica.state();
  ControlStatus Status = ControlStatus::Success;
  for (const std::string &Host : Hosts) {
    if (State.member(Host))
      continue;
    Context.Error << Host << ": not a member\n";
    Status = ControlStatus::Failed;
  }
  std::vector<std::string> MemberHosts;
  std::vector<std::string> Addresses;
  for (const auto &[Host, MemberInfo] : State.members()) {
    if (!Hosts.empty() && std::ranges::find(Hosts, Host) == Hosts.end())
      continue;
    MemberHosts.push_back(Host);
    Addresses.push_back(MemberInfo.OperatorAddress);
  }
  std::vector<OperatorResult> Results =
      callOperators(Addresses, "status", Context.RequestTimeout);
  for (std::size_t I = 0; I < Results.size(); ++I) {
    if (const auto *Fields = std::get_if<Json::Value>(&Results[I])) {
      Print(MemberHosts[I], *Fields, State);
      continue;
    }
    Context.Out << MemberHosts[I] << ": "
                << std::get<OperatorError>(Results[I]).Text << '\n';
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
  return printStatuses(Context, {}, Print);
}

ControlStatus statusCommand(ControlContext &Context,
                            const ArgumentList &Hosts) {
  auto Print = [&](const std::string &Host, const Json::Value &Fields,
                   const ReplicatedState &) {
    Context.Out << Host << ":\n";
    for (const std::string &Name : Fields.getMemberNames())
      Context.Out << "  " << Name << ": " << compactJson(Fields[Name]) << '\n';
  };
  return printStatuses(Context, Hosts, Print);
}

} // namespace figsail
