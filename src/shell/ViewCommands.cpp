// ViewCommands.cpp - Commands of figsailctl that show the present state.

#include "ControlCommands.h"

#include "LogReplica.h"
#include "OperatorClient.h"

#include <algorithm>
#include <iostream>

namespace figsail {

/// Calls under way at the same time.
static constexpr std::size_t MaxConcurrentCalls = 64;

namespace {

/// Calls "status" at a list of addresses, several at a time.
class StatusBatch {
public:
  StatusBatch(std::vector<std::string> Addresses, Duration Timeout)
      : Addresses(std::move(Addresses)), Timeout(Timeout),
        Results(this->Addresses.size()) {}

  /// Returns the results in the order of the addresses.
  std::vector<OperatorResult> run() {
    for (std::size_t I = 0; I < MaxConcurrentCalls; ++I)
      startNext();
    Context.run();
    return std::move(Results);
  }

private:
  void startNext() {
    if (Next == Addresses.size())
      return;
    std::size_t Index = Next++;
    callOperator(Context, Addresses[Index], "status", Json::Value(), Timeout,
                 [this, Index](OperatorResult Result) {
                   Results[Index] = std::move(Result);
                   startNext();
                 });
  }

  std::vector<std::string> Addresses;
  Duration Timeout;
  std::vector<OperatorResult> Results;
  std::size_t Next = 0;
  boost::asio::io_context Context;
};

} // namespace

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
      StatusBatch(std::move(Addresses), Context.Timeout).run();
  for (std::size_t I = 0; I < Results.size(); ++I) {
    const auto *Fields = std::get_if<Json::Value>(&Results[I]);
    if (Fields && Fields->isObject()) {
      Print(Names[I], *Fields, State);
      continue;
    }
    const auto *Error = std::get_if<OperatorError>(&Results[I]);
    Context.Out << Names[I] << ": "
                << (Error ? Error->Text : "the result is not an object")
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
    if (!Value.isInt64()) {
      Context.Out << "no offset in the response\n";
      return;
    }
    auto Applied = Value.asInt64();
    Context.Out << "applied " << Applied;
    if (Applied < State.applied())
      Context.Out << ", behind by " << State.applied() - Applied;
    Context.Out << '\n';
  };
  return forEachStatus(Context, {}, Print);
}

ControlStatus statusCommand(ControlContext &Context,
                            const ArgumentList &Hosts) {
  auto Print = [&](const std::string &Host, const Json::Value &Fields,
                   const ReplicatedState &) {
    Context.Out << Host << ":\n";
    Json::StreamWriterBuilder Writer;
    Writer["indentation"] = "";
    for (const std::string &Name : Fields.getMemberNames())
      Context.Out << "  " << Name << ": "
                  << Json::writeString(Writer, Fields[Name]) << '\n';
  };
  return forEachStatus(Context, Hosts, Print);
}

} // namespace figsail
