// AdmissionBase.h - Internal state of the admission role.

#ifndef FIGSAIL_ADMISSIONBASE_H
#define FIGSAIL_ADMISSIONBASE_H

#include "ConcurrencyLimit.h"
#include "Quarantine.h"
#include "RequestIdentity.h"
#include "WorkspaceQueue.h"

#include "figsail/Admission.h"
#include "figsail/TokenBucket.h"

#include <deque>
#include <unordered_map>

namespace figsail {

/// A call that waits or runs.
struct AdmittedCall {
  HostId From;
  Execute Message;
  TimePoint Deadline;
  TimePoint Started;
  RunId Run = 0;          ///< 0 while it waits.
  bool Suspect = false;   ///< Was a suspect when it started.
  bool Cancelled = false; ///< CancelRun was sent.
  std::uint32_t ConcurrentSuspects =
      0; ///< Other suspects running at its start.
};

/// How an idempotent call ended; kept for a late Await or Execute.
enum class CallOutcome : std::uint8_t {
  NotRun,
  Ran,
  NeverArrived, ///< Reported as never started; must not start later.
};

struct Admission::State {
  State(PeerRef Self, AdmissionSettings Given, ExecutionLog &Log)
      : Self(std::move(Self)), Settings(std::move(Given)), Log(Log),
        Limit(Settings.Slots, Settings.InitialLimit, Settings.FixedLimit),
        Queue(Settings.MaxQueue ? Settings.MaxQueue
                                : std::size_t{2} * Limit.slots()),
        ProbeTokens(Settings.ProbesPerSecond, 1), TracedLimit(Limit.value()) {}

  LoadReport load() const;
  std::optional<ErrorKind> checkGate(const AdmissionGate &Gate,
                                     const Execute &Message) const;
  std::optional<ErrorKind> checkCapacity(TimePoint Now, const Execute &Message,
                                         EffectList &Out);
  bool inHomeRegions(const CallPolicy &Policy) const;
  void replyToKnown(const HostId &To, const CallId &Call,
                    EffectList &Out) const;
  bool replyIfKnown(const HostId &From, const CallId &Call,
                    EffectList &Out) const;
  PeerMessage withLoad(PeerMessage Reply) const;
  bool hasEndedHere(const CallId &Call) const;
  Duration estimatedWait(const Execute &Message) const;
  bool mayStart(TimePoint Now, const CallId &Call) const;
  void admit(TimePoint Now, const PeerRef &From, Execute Message,
             EffectList &Out);
  void start(TimePoint Now, const CallId &Call, EffectList &Out);
  void startQueued(TimePoint Now, EffectList &Out);
  void refuseNew(TimePoint Now, const HostId &To, const Execute &Message,
                 ErrorKind Kind, EffectList &Out);
  void refuseQueued(TimePoint Now, const CallId &Call, ErrorKind Kind,
                    EffectList &Out);
  void refuseRun(TimePoint Now, AdmittedCall &Ended, ErrorKind Kind,
                 EffectList &Out);
  void finish(TimePoint Now, AdmittedCall &Ended,
              std::variant<HttpResponse, ErrorKind> Result, EffectList &Out);
  void updateEstimates(TimePoint Now, const AdmittedCall &Ended,
                       const BackendDone &Done);
  void handleResult(TimePoint Now, AdmittedCall &Ended, HttpResponse Response,
                    EffectList &Out);
  void handleResult(TimePoint Now, AdmittedCall &Ended, BackendError Error,
                    EffectList &Out);
  void recordOutcome(TimePoint Now, const CallId &Call, CallOutcome Outcome);
  void queueReport(const AdmittedCall &Ended,
                   std::optional<SuspectReport> Report);
  void traceLimit(EffectList &Out);
  TimePoint nextProbe() const;

  PeerRef Self;
  AdmissionSettings Settings;
  ExecutionLog &Log;
  ConcurrencyLimit Limit;
  WorkspaceQueue Queue;
  Quarantine Suspects;
  TokenBucket ProbeTokens;
  std::unordered_map<CallId, AdmittedCall> Calls;
  std::unordered_map<RunId, CallId> Runs;
  std::unordered_map<CallId, CallOutcome> EndedCalls; ///< Idempotent ones only.
  std::deque<std::pair<TimePoint, CallId>> EndedOrder; ///< Oldest first.
  std::vector<std::pair<SuspectReport, std::vector<std::string>>> Reports;
  RunId LastRun = 0;
  std::uint32_t SuspectsRunning = 0;
  Duration ServiceTime{0};
  TimePoint LastTraffic{};
  TimePoint LastProbeAttempt{};
  bool ProbePending = false;
  bool Draining = false;
  bool OutOfService = false;
  std::uint32_t TracedLimit; ///< Limit in the last LimitChanged entry.
};

} // namespace figsail

#endif // FIGSAIL_ADMISSIONBASE_H
