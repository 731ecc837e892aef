// Admission.h - Admits or refuses work for the backend server beside this
// daemon.

#ifndef FIGSAIL_ADMISSION_H
#define FIGSAIL_ADMISSION_H

#include "figsail/Events.h"
#include "figsail/ExecutionLog.h"

#include <memory>
#include <string>

namespace figsail {

/// Settings of the admission role.
struct AdmissionSettings {
  std::string Region;             ///< Own region.
  std::uint32_t Slots = 0;        ///< Upper bound of the concurrency limit.
  std::uint32_t InitialLimit = 2; ///< Limit of a cold backend server.
  std::uint32_t MaxQueue =
      0; ///< Waiting requests over all workspaces; 0: twice Slots.
  Duration ProbeIdle{
      std::chrono::seconds(1)}; ///< Probe only after this long without traffic.
  double ProbesPerSecond = 0.5; ///< Measuring budget.
  bool FixedLimit =
      false; ///< Keeps the limit at Slots; the baseline of measurements.
};

/// Whether new work may be taken, as the owner of replicated state sees it.
struct AdmissionGate {
  bool InService =
      true; ///< Neither failure domain nor backend server is taken out.
  bool Listed =
      true; ///< The log lists this incarnation; needed for keyed requests.
  const EpochHistory *History = nullptr; ///< Epochs of the own service.
};

/// The admission role. Owns the concurrency limit, the queues and the runs
/// under way; the ExecutionLog decides on non-idempotent requests.
class Admission {
public:
  Admission(PeerRef Self, AdmissionSettings Settings, ExecutionLog &Log);
  ~Admission();

  /// Queues, starts or refuses a call. Always replies at once: Received or
  /// Refused or a known reply.
  void execute(TimePoint Now, const PeerRef &From, Execute Message,
               const AdmissionGate &Gate, EffectList &Out);

  /// The backend server has answered or failed.
  void backendDone(TimePoint Now, const BackendDone &Done, EffectList &Out);

  /// Drops a queued call or closes the backend connection of an idempotent one.
  void cancel(TimePoint Now, const CallId &Call, EffectList &Out);

  /// Replies to Await for idempotent and non-idempotent calls.
  void await(TimePoint Now, const PeerRef &From, const Await &Message,
             EffectList &Out);

  void probeDone(TimePoint Now, const ProbeDone &Done, EffectList &Out);

  /// Another member reports a request that may crash backend servers. Reports
  /// to send to the members of the service are returned by takeReports().
  void suspectReport(TimePoint Now, const SuspectReport &Report);
  std::vector<std::pair<SuspectReport, std::vector<std::string>>> takeReports();

  /// Takes no new work from now on; what is queued still runs.
  void drain(TimePoint Now, EffectList &Out);

  /// Back in service after being taken out: the limit starts again at its
  /// initial value.
  void returnToService(TimePoint Now, EffectList &Out);

  /// Returns whether nothing runs or waits.
  bool idle() const;
  LoadReport load() const;

  /// Refuses queued calls whose budget is spent, probes when idle.
  void timer(TimePoint Now, EffectList &Out);
  TimePoint nextWake() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_ADMISSION_H
