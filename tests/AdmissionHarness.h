// AdmissionHarness.h - Harness that drives an Admission and records the outcome
// of every call.

#ifndef FIGSAIL_TESTS_ADMISSIONHARNESS_H
#define FIGSAIL_TESTS_ADMISSIONHARNESS_H

#include "figsail/Admission.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace figsail {

/// Properties of one call.
struct CallSpec {
  std::string Workspace = "/w";
  std::uint32_t Share = 1;
  bool Idempotent = true;
  bool Keyed = false;
  std::uint64_t Fingerprint = 0;
  Duration Budget = std::chrono::seconds(10);
  std::string Route = "/s/r";
};

/// An Admission in a service of two members, with the clock, the epochs and the
/// results of its runs set by the test.
class AdmissionHarness {
public:
  explicit AdmissionHarness(std::uint32_t Slots, std::uint32_t MaxQueue = 0)
      : Log(Self, {}), AdmissionRole(Self, settings(Slots, MaxQueue), Log) {
    addEpoch();
    Gate.History = &History;
  }

  static AdmissionSettings settings(std::uint32_t Slots,
                                    std::uint32_t MaxQueue) {
    AdmissionSettings Settings;
    Settings.Region = "north";
    Settings.Slots = Slots;
    Settings.MaxQueue = MaxQueue;
    return Settings;
  }

  Execute message(const CallSpec &Spec) {
    Execute Message;
    Message.Call = {1, ++Sequence};
    Message.Policy.Route = Spec.Route;
    Message.Policy.Service = "/s";
    Message.Policy.Workspace = Spec.Workspace;
    Message.Policy.Share = Spec.Share;
    Message.Policy.Idempotent = Spec.Idempotent;
    Message.Policy.RefusalStatus = 503;
    Message.Policy.RecordLifetime = std::chrono::minutes(10);
    Message.BudgetMicros = Spec.Budget.count();
    Message.Fingerprint = Spec.Fingerprint;
    Message.Request.Target = std::to_string(Sequence);
    if (Spec.Keyed)
      Message.Grant = grant(Sequence);
    return Message;
  }

  CallId execute(const CallSpec &Spec) { return execute(message(Spec)); }

  CallId execute(const Execute &Message) {
    Grants[Message.Call] = Message.Grant;
    EffectList Out;
    AdmissionRole.execute(Now, Ingress, Message, Gate, Out);
    recordEffects(Out);
    return Message.Call;
  }

  void end(RunId Run, std::variant<HttpResponse, BackendError> Result) {
    Running.erase(Run);
    EffectList Out;
    AdmissionRole.backendDone(Now, {Run, std::move(Result)}, Out);
    recordEffects(Out);
  }
  void answer(RunId Run, unsigned Status = 200) {
    end(Run, HttpResponse{Status, {}, {}});
  }
  /// Answers the run that started first, after RunTime.
  void answerOldest(Duration RunTime, unsigned Status = 200) {
    Now += RunTime;
    answer(Running.begin()->first, Status);
  }

  void cancel(const CallId &Call) {
    EffectList Out;
    AdmissionRole.cancel(Now, Call, Out);
    recordEffects(Out);
  }
  void timer(Duration Elapsed = {}) {
    Now += Elapsed;
    EffectList Out;
    AdmissionRole.timer(Now, Out);
    recordEffects(Out);
  }

  /// Adds an epoch and fences all tokens of earlier ones.
  void fence() {
    addEpoch();
    FencedBelow = History.current().At;
    Log.fence("/s", FencedBelow);
  }

  /// Returns "answer", the name of the error that ended the call, or "none".
  std::string outcomeOf(const CallId &Call) const {
    auto Found = Outcomes.find(Call);
    return Found == Outcomes.end() ? "none" : Found->second.back();
  }

  /// Returns how many of these calls were answered.
  std::size_t answered(const std::vector<CallId> &Calls) const {
    std::size_t Count = 0;
    for (const CallId &Call : Calls)
      Count += outcomeOf(Call) == "answer" ? 1 : 0;
    return Count;
  }

  PeerRef Self{"10.0.0.1:7000", 11};
  PeerRef Other{"10.0.0.2:7000", 22};
  PeerRef Ingress{"10.0.0.3:7000", 1};
  TimePoint Now{std::chrono::seconds(1000)};
  EpochHistory History;
  AdmissionGate Gate;
  ExecutionLog Log;
  Admission AdmissionRole;
  Offset FencedBelow = NoOffset;
  std::map<RunId, CallId> Running;
  std::unordered_map<CallId, std::vector<std::string>>
      Outcomes; ///< Names of the final replies.
  std::unordered_map<CallId, std::optional<GrantToken>> Grants;
  std::vector<std::string> LimitTraces;
  std::size_t Probes = 0;
  std::size_t CancelRuns = 0;
  std::size_t FencedStarts = 0; ///< Starts of fenced calls.
  std::size_t StartsAboveLimit = 0;

private:
  void addEpoch() {
    EpochEntry Entry;
    Entry.At = History.empty() ? 1 : History.current().At + 1;
    Entry.AppliedAt = Now;
    Entry.Members = {member(Self, "a"), member(Other, "b")};
    Entry.RouteRegions["/s/r"] = {};
    History.append(Entry);
  }

  static Member member(const PeerRef &Peer, const std::string &Domain) {
    Member Listed;
    Listed.Host = Peer.Host;
    Listed.Inc = Peer.Inc;
    Listed.Region = "north";
    Listed.FailureDomain = Domain;
    Listed.Service = "/s";
    return Listed;
  }

  GrantToken grant(std::uint64_t Number) {
    GrantToken Token;
    Token.Key = {Number, 0};
    // The executor may not coordinate its own key.
    while (coordinatorOf(History.current(), "/s/r", Token.Key)->Host !=
           Other.Host)
      ++Token.Key.Low;
    Token.Service = "/s";
    Token.Epoch = History.current().At;
    Token.Coordinator = Other;
    Token.Executor = Self;
    Token.Attempt = 1;
    return Token;
  }

  void recordEffects(const EffectList &Out) {
    bool Started = false;
    for (const Effect &Each : Out) {
      if (const auto *Send = std::get_if<SendPeer>(&Each))
        recordReply(Send->Message);
      if (const auto *Run = std::get_if<RunBackend>(&Each)) {
        Started = true;
        recordStart(*Run);
      }
      if (std::holds_alternative<CancelRun>(Each))
        ++CancelRuns;
      if (std::holds_alternative<ProbeBackend>(Each))
        ++Probes;
      const auto *Entry = std::get_if<Trace>(&Each);
      if (Entry && Entry->Kind == TraceKind::LimitChanged)
        LimitTraces.push_back(Entry->Detail);
    }
    if (Started && Running.size() > AdmissionRole.load().Limit)
      ++StartsAboveLimit;
  }

  void recordStart(const RunBackend &Run) {
    CallId Call{1, std::stoull(Run.Request.Target)};
    Running[Run.Run] = Call;
    const auto &Grant = Grants[Call];
    if (Grant && Grant->Epoch < FencedBelow)
      ++FencedStarts;
  }

  void recordReply(const PeerMessage &Message) {
    if (const auto *Reply = std::get_if<Answer>(&Message))
      Outcomes[Reply->Call].emplace_back("answer");
    if (const auto *Reply = std::get_if<Refused>(&Message))
      Outcomes[Reply->Call].emplace_back(errorEntry(Reply->Kind).Name);
    if (const auto *Reply = std::get_if<Failed>(&Message))
      Outcomes[Reply->Call].emplace_back(errorEntry(Reply->Kind).Name);
  }

  std::uint64_t Sequence = 0;
};

} // namespace figsail

#endif // FIGSAIL_TESTS_ADMISSIONHARNESS_H
