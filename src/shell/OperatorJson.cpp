// OperatorJson.cpp - JSON results of the methods of the operator interface.

#include "OperatorJson.h"

#include <array>
#include <sys/resource.h>

namespace figsail {

using Json::Value;

// Incarnations are strings, because they can exceed the integers that JSON
// readers represent exactly.

static Value memberJson(const Member &MemberInfo) {
  Value Result(Json::objectValue);
  Result["host"] = MemberInfo.Host;
  Result["incarnation"] = std::to_string(MemberInfo.Inc);
  Result["http"] = MemberInfo.HttpAddress;
  Result["operator"] = MemberInfo.OperatorAddress;
  Result["region"] = MemberInfo.Region;
  Result["failure_domain"] = MemberInfo.FailureDomain;
  Result["service"] = MemberInfo.Service;
  Result["slots"] = MemberInfo.Slots;
  return Result;
}

static Value loadJson(const LoadReport &Load) {
  Value Result(Json::objectValue);
  Result["limit"] = Load.Limit;
  Result["running"] = Load.Running;
  Result["queued"] = Load.Queued;
  Result["service_time_us"] = Value::Int64(Load.ServiceTime.count());
  Result["draining"] = Load.Draining;
  return Result;
}

/// Adds the CPU time and the peak memory of this process.
static void addResourceUsage(Value &Result) {
  rusage Usage{};
  if (getrusage(RUSAGE_SELF, &Usage) != 0)
    return;
  auto Micros = [](const timeval &Time) {
    return Value::Int64(Time.tv_sec) * 1'000'000 + Time.tv_usec;
  };
  Result["cpu_us"] = Micros(Usage.ru_utime) + Micros(Usage.ru_stime);
  Result["peak_memory_kib"] = Value::Int64(Usage.ru_maxrss);
}

Value statusJson(const OperatorView &View) {
  NodeStatus Status = View.DaemonNode.status();
  Value Result = memberJson(View.Self);
  Result["applied"] = Value::Int64(Status.Applied);
  Result["listed"] = Status.Listed;
  Result["in_service"] = Status.InService;
  Result["draining"] = Status.Draining;
  Result["log_reachable"] = Status.LogReachable;
  Result["load"] = loadJson(Status.Load);
  Result["calls_under_way"] = Value::UInt64(Status.CallsInFlight);
  Result["coordinator_records"] = Value::UInt64(Status.CoordinatorRecords);
  Result["execution_records"] = Value::UInt64(Status.ExecutionRecords);
  Result["peer_links"] = Value::UInt64(View.Peers.linkCount());
  Result["peer_bytes_sent"] = Value::UInt64(View.Peers.bytesSent());
  Result["peer_bytes_received"] = Value::UInt64(View.Peers.bytesReceived());
  addResourceUsage(Result);
  return Result;
}

Value countersJson(const Metrics &DaemonMetrics) {
  Value Result(Json::objectValue);
  for (std::size_t I = 0; I < CounterCount; ++I) {
    auto Id = static_cast<Counter>(I);
    Result[std::string(counterName(Id))] =
        Value::UInt64(DaemonMetrics.counter(Id));
  }
  return Result;
}

static Value summaryJson(const LatencySummary &Summary) {
  Value Result(Json::objectValue);
  Result["count"] = Value::UInt64(Summary.Count);
  Result["mean_us"] = Value::Int64(Summary.Mean.count());
  Result["p50_us"] = Value::Int64(Summary.P50.count());
  Result["p99_us"] = Value::Int64(Summary.P99.count());
  Result["p999_us"] = Value::Int64(Summary.P999.count());
  Result["max_us"] = Value::Int64(Summary.Max.count());
  return Result;
}

Value latenciesJson(const Metrics &DaemonMetrics) {
  Value Result(Json::objectValue);
  for (std::size_t I = 0; I < LatencyCount; ++I) {
    auto Id = static_cast<Latency>(I);
    const LatencySeries &Series = DaemonMetrics.series(Id);
    Value Entry = summaryJson(Series.total());
    Entry["last_window"] = summaryJson(Series.lastWindow());
    Result[std::string(latencyName(Id))] = std::move(Entry);
  }
  return Result;
}

Value membersJson(const ReplicatedState &State) {
  Value Result(Json::arrayValue);
  for (const auto &[Host, MemberInfo] : State.members())
    Result.append(memberJson(MemberInfo));
  return Result;
}

static std::string nodeKindText(NodeKind Kind) {
  static constexpr std::array<const char *, 6> Names{
      "group", "workspace",      "service",
      "route", "failure_domain", "backend_server"};
  return Names.at(static_cast<std::size_t>(Kind));
}

Value configurationJson(const ReplicatedState &State) {
  Value Nodes(Json::arrayValue);
  for (const auto &[Path, Node] : State.configuration().nodes()) {
    Value Entry(Json::objectValue);
    Entry["path"] = Path;
    Entry["kind"] = nodeKindText(Node.Kind);
    Entry["version"] = Value::Int64(Node.Version);
    Entry["settings"] = Value(Json::objectValue);
    for (const auto &[Name, Text] : Node.Settings)
      Entry["settings"][Name] = Text;
    Nodes.append(std::move(Entry));
  }
  Value Result(Json::objectValue);
  Result["offset"] = Value::Int64(State.appliedOffset());
  Result["nodes"] = std::move(Nodes);
  return Result;
}

Value verdictJson(const ReplicatedState &State, const std::string &ChangeId) {
  Value Result(Json::objectValue);
  std::optional<Verdict> Outcome = State.verdictOf(ChangeId);
  Result["offset"] = Value::Int64(State.appliedOffset());
  Result["known"] = Outcome.has_value();
  if (!Outcome)
    return Result;
  const auto *Rejected = std::get_if<Rejection>(&*Outcome);
  Result["accepted"] = Rejected == nullptr;
  if (!Rejected)
    return Result;
  Result["path"] = Rejected->Path;
  Result["setting"] = Rejected->Setting;
  Result["reason"] = Rejected->Reason;
  Result["conflict"] = Rejected->Conflict;
  return Result;
}

Value timelineJson(const OperatorView &View, std::uint64_t AfterLamport) {
  Value Entries(Json::arrayValue);
  for (const TimelineEntry &Event : View.DaemonTimeline.since(AfterLamport)) {
    auto Wall = std::chrono::duration_cast<std::chrono::microseconds>(
        Event.Wall.time_since_epoch());
    Value Entry(Json::objectValue);
    Entry["lamport"] = Value::UInt64(Event.Lamport);
    Entry["wall_us"] = Value::Int64(Wall.count());
    Entry["kind"] = std::string(traceKindName(Event.Content.Kind));
    Entry["subject"] = Event.Content.Subject;
    Entry["detail"] = Event.Content.Detail;
    Entries.append(std::move(Entry));
  }
  Value Result(Json::objectValue);
  Result["host"] = View.Self.Host;
  Result["incarnation"] = std::to_string(View.Self.Inc);
  Result["dropped"] = Value::UInt64(View.DaemonTimeline.dropped());
  Result["entries"] = std::move(Entries);
  return Result;
}

} // namespace figsail
