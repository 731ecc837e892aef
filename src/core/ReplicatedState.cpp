// ReplicatedState.cpp - Application of log records in offset order.

#include "figsail/ReplicatedState.h"

#include "TreePaths.h"

#include <algorithm>

namespace figsail {

/// Snapshots whose parts are collected at once while a gap is open. Several
/// daemons that read the log may write a snapshot at the same time.
static constexpr std::size_t MaxPartialSnapshots = 4;
/// Parts of one snapshot. At 64 KiB a part this is 16 MiB.
static constexpr std::uint32_t MaxSnapshotParts = 256;

ApplyResult ReplicatedState::applyRecord(TimePoint Now,
                                         const LogRecord &Record) {
  ApplyResult Result;
  if (Record.At <= Applied) {
    Result.Ignored = true;
    return Result;
  }
  auto Decoded = decodeRecord(Record.Data);
  const RecordBody *Body = std::get_if<RecordBody>(&Decoded);
  if (Record.At != Applied + 1) {
    Result.Ignored = true;
    Result.Gap = true;
    HighestSeen = std::max(HighestSeen, Record.At);
    if (Body && std::holds_alternative<SnapshotRecord>(*Body))
      collectSnapshotPart(Now, std::get<SnapshotRecord>(*Body), Result);
    return Result;
  }
  Applied = Record.At;
  HighestSeen = NoOffset;
  PartialSnapshots.clear();
  if (!Body) {
    Result.Ignored = true;
    Result.Outcome = Rejection{"", "", std::get<std::string>(Decoded)};
    return Result;
  }
  // The content of a snapshot that follows without a gap is already applied.
  if (const Change *Proposal = std::get_if<Change>(Body))
    applyChange(Now, Record.At, *Proposal, Result);
  else if (!std::holds_alternative<SnapshotRecord>(*Body))
    applyMember(Now, Record.At, *Body, Result);
  return Result;
}

void ReplicatedState::applyChange(TimePoint Now, Offset At,
                                  const Change &Proposal, ApplyResult &Result) {
  if (std::optional<Verdict> Known = verdictOf(Proposal.ChangeId)) {
    Result.Duplicate = true;
    Result.Outcome = *Known;
    return;
  }
  Result.Outcome = Tree.check(Proposal);
  if (!Proposal.ChangeId.empty())
    storeVerdict(Proposal.ChangeId, Result.Outcome);
  if (!std::holds_alternative<Accepted>(Result.Outcome))
    return;
  Tree.apply(Proposal, At);
  std::set<std::string> Services;
  for (const NodeEdit &Edit : Proposal.Edits)
    for (std::string &Service : affectedServices(Edit))
      Services.insert(std::move(Service));
  for (const std::string &Service : Services)
    updateEpoch(Now, At, Service, Result);
}

std::vector<std::string>
ReplicatedState::affectedServices(const NodeEdit &Edit) const {
  std::vector<std::string> Services;
  if (Edit.Kind == NodeKind::FailureDomain) {
    std::string Name = Edit.Path.substr(FailureDomainsPrefix.size());
    for (const auto &[Host, Daemon] : Members)
      if (Daemon.FailureDomain == Name)
        Services.push_back(Daemon.Service);
    return Services;
  }
  if (Edit.Kind == NodeKind::BackendServer) {
    if (const Member *Daemon =
            member(Edit.Path.substr(BackendServersPrefix.size())))
      Services.push_back(Daemon->Service);
    return Services;
  }
  return Tree.affectedServices(Edit.Path);
}

void ReplicatedState::applyMember(TimePoint Now, Offset At,
                                  const RecordBody &Body, ApplyResult &Result) {
  if (const JoinRecord *Join = std::get_if<JoinRecord>(&Body)) {
    if (Join->Joined.Host.empty() || Join->Joined.Inc == 0) {
      Result.Outcome =
          Rejection{"", "", "a join needs a host and an incarnation"};
      return;
    }
    const Member *Old = member(Join->Joined.Host);
    std::string OldService = Old ? Old->Service : Join->Joined.Service;
    if (Old)
      Result.Removed = *Old;
    addMember(Join->Joined);
    Result.Joined = Join->Joined;
    updateEpoch(Now, At, OldService, Result);
    if (OldService != Join->Joined.Service)
      updateEpoch(Now, At, Join->Joined.Service, Result);
    return;
  }
  const LeaveRecord *Leave = std::get_if<LeaveRecord>(&Body);
  const PeerRef &Peer = Leave ? Leave->Peer : std::get<RemoveRecord>(Body).Peer;
  const Member *Listed = member(Peer.Host);
  if (!Listed || Listed->Inc != Peer.Inc) {
    Result.Outcome =
        Rejection{"", "", "the incarnation at " + Peer.Host + " is not listed"};
    return;
  }
  std::string Service = Listed->Service;
  Result.Removed = *Listed;
  removeMember(Peer.Host);
  updateEpoch(Now, At, Service, Result);
}

void ReplicatedState::addMember(Member Added) {
  removeMember(Added.Host);
  ServiceHosts[Added.Service].insert(Added.Host);
  HostId Host = Added.Host;
  Members.emplace(std::move(Host), std::move(Added));
}

void ReplicatedState::removeMember(const HostId &Host) {
  auto Found = Members.find(Host);
  if (Found == Members.end())
    return;
  auto Hosts = ServiceHosts.find(Found->second.Service);
  Hosts->second.erase(Host);
  if (Hosts->second.empty())
    ServiceHosts.erase(Hosts);
  Members.erase(Found);
}

void ReplicatedState::collectSnapshotPart(TimePoint Now,
                                          const SnapshotRecord &Part,
                                          ApplyResult &Result) {
  if (Part.At <= Applied || Part.Parts > MaxSnapshotParts ||
      Part.Part >= Part.Parts)
    return;
  auto Found =
      std::ranges::find(PartialSnapshots, Part.Id, &PartialSnapshot::Id);
  if (Found == PartialSnapshots.end()) {
    if (PartialSnapshots.size() == MaxPartialSnapshots)
      PartialSnapshots.pop_front();
    PartialSnapshots.push_back({Part.Id, {}});
    Found = std::prev(PartialSnapshots.end());
  }
  Found->Parts[Part.Part] = Part.Data;
  if (Found->Parts.size() < Part.Parts)
    return;
  std::string Text;
  for (const auto &[Number, Data] : Found->Parts)
    Text += Data;
  PartialSnapshots.erase(Found);
  if (restoreSnapshot(Now, Part.At, Text, Result.ServicesChanged))
    return;
  Result.Restored = true;
}

const Member *ReplicatedState::member(const HostId &Host) const {
  auto Found = Members.find(Host);
  return Found == Members.end() ? nullptr : &Found->second;
}

const EpochHistory *ReplicatedState::epochs(const std::string &Service) const {
  auto Found = Epochs.find(Service);
  return Found == Epochs.end() ? nullptr : &Found->second;
}

std::optional<Verdict>
ReplicatedState::verdictOf(const std::string &ChangeId) const {
  auto Found = Verdicts.find(ChangeId);
  if (Found == Verdicts.end())
    return std::nullopt;
  return Found->second;
}

void ReplicatedState::storeVerdict(const std::string &ChangeId,
                                   const Verdict &Outcome) {
  Verdicts.emplace(ChangeId, Outcome);
  VerdictOrder.push_back(ChangeId);
  if (VerdictOrder.size() <= MaxStoredVerdicts)
    return;
  Verdicts.erase(VerdictOrder.front());
  VerdictOrder.pop_front();
}

EpochEntry ReplicatedState::makeEpoch(TimePoint Now, Offset At,
                                      const std::string &Service) const {
  EpochEntry Entry;
  Entry.At = At;
  Entry.AppliedAt = Now;
  Entry.RouteRegions = Tree.routeRegions(Service);
  auto Hosts = ServiceHosts.find(Service);
  if (Hosts == ServiceHosts.end())
    return Entry;
  for (const HostId &Host : Hosts->second) {
    const Member &Daemon = Members.at(Host);
    if (Tree.inService(Daemon.FailureDomain, Host))
      Entry.Members.push_back(Daemon);
  }
  return Entry;
}

void ReplicatedState::updateEpoch(TimePoint Now, Offset At,
                                  const std::string &Service,
                                  ApplyResult &Result) {
  if (Service.empty())
    return;
  EpochEntry Entry = makeEpoch(Now, At, Service);
  auto Found = Epochs.find(Service);
  bool Same =
      Found == Epochs.end()
          ? Entry.Members.empty() && Entry.RouteRegions.empty()
          : Found->second.current().Members == Entry.Members &&
                Found->second.current().RouteRegions == Entry.RouteRegions;
  if (Same)
    return;
  Epochs[Service].append(std::move(Entry));
  Result.ServicesChanged.push_back(Service);
}

void ReplicatedState::expireEpochs(TimePoint Now, Duration Retention) {
  for (auto &[Service, History] : Epochs)
    History.expire(Now, Retention);
}

} // namespace figsail
