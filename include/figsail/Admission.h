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
  std::string Region;             ///< Region of this daemon.
  std::uint32_t Slots = 0;        ///< Upper bound of the concurrency limit.
  std::uint32_t InitialLimit = 2; ///< Limit of a cold backend server.
  std::uint32_t MaxQueue =
      0; ///< Most queued calls of all workspaces; 0: twice Slots.
  Duration ProbeIdle{
      std::chrono::seconds(1)}; ///< Time without traffic before a probe.
  double ProbesPerSecond = 0.5; ///< Most probes; 0: none.
  bool FixedLimit =
      false; ///< Keeps the limit at Slots, for comparison in benchmarks.
};

/// Conditions for admitting new calls that follow from replicated state.
struct AdmissionGate {
  bool InService =
      true; ///< Neither failure domain nor backend server is out of service.
  bool Listed =
      true; ///< The log lists this incarnation; needed for keyed requests.
  const EpochHistory *History = nullptr; ///< Epochs of this host's service.
};

/// The admission role. Owns the concurrency limit, the queues and the current
/// runs. The ExecutionLog decides on non-idempotent requests.
class Admission {
public:
  Admission(PeerRef Self, AdmissionSettings Settings, ExecutionLog &Log);
  ~Admission();

  /// Queues, starts or refuses a call. Replies at once with Received, Refused
  /// or a reply known from before.
  void execute(TimePoint Now, const PeerRef &From, Execute Message,
               const AdmissionGate &Gate, EffectList &Out);

  /// Handles the end of a run: a response of the backend server or a failure.
  void backendDone(TimePoint Now, const BackendDone &Done, EffectList &Out);

  /// Drops a queued call or closes the backend connection of an idempotent one.
  void cancel(TimePoint Now, const CallId &Call, EffectList &Out);

  /// Replies to an Await of an idempotent or non-idempotent call.
  void await(TimePoint Now, const PeerRef &From, const Await &Message,
             EffectList &Out);

  void probeDone(TimePoint Now, const ProbeDone &Done, EffectList &Out);

  /// Merges another member's report of a request that may crash backend
  /// servers.
  void suspectReport(TimePoint Now, const SuspectReport &Report);
  /// Returns the new reports for the members of the service, each with the
  /// home regions it may be sent to, and removes them here.
  std::vector<std::pair<SuspectReport, std::vector<std::string>>> takeReports();

  /// Refuses new calls from now on; queued calls still run.
  void drain(TimePoint Now, EffectList &Out);

  /// Handles the return to service. The limit starts again at its initial
  /// value.
  void returnToService(TimePoint Now, EffectList &Out);

  /// Returns whether no call runs or waits.
  bool idle() const;
  LoadReport load() const;

  /// Refuses queued calls whose deadline has passed; probes an idle server.
  void timer(TimePoint Now, EffectList &Out);
  TimePoint nextWake() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_ADMISSION_H
