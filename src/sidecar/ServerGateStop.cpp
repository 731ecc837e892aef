// ServerGateStop.cpp - Calls at the gate of a process that stops.

#include "ServerGate.h"

namespace figsail {

bool ServerGate::endsBeforeStop(TimePoint Now, const AdmittedCall &Call) const {
  Duration Run = expectedRun(Call.Message.Policy.Route);
  return Stop.allows(Now, Run, Call.Deadline);
}

/// Refuses waiting calls that can no longer end before the process does.
void ServerGate::refuseBeyondStop(GateStep &Step) {
  if (!Stop.isSet() || Waiting == 0)
    return;
  std::vector<CallId> Beyond;
  for (const auto &[Id, Call] : Calls)
    if (Call.Run == 0 && !endsBeforeStop(Step.Now, Call))
      Beyond.push_back(Id);
  for (const CallId &Id : Beyond)
    refuse(Step, remove(Calls.find(Id)), ErrorKind::Draining);
}

void ServerGate::returnIdempotentRuns(GateStep &Step) {
  std::vector<CallId> Returned;
  for (const auto &[Id, Call] : Calls) {
    bool Own = Call.From.Host == Self.Host;
    bool MayOutlast = Call.Run != 0 && Call.Deadline > Stop.end();
    if (MayOutlast && !Own && Call.Message.Policy.Idempotent)
      Returned.push_back(Id);
  }
  for (const CallId &Id : Returned)
    endRun(Step, Calls.find(Id), ErrorKind::BackendFailed);
}

void ServerGate::endAll(GateStep &Step) {
  refuseWaiting(Step, ErrorKind::Draining);
  while (!Calls.empty())
    endRun(Step, Calls.begin(), ErrorKind::OutcomeUnknown);
}

/// Ends a run without its result. One that is not idempotent continues at the
/// server.
void ServerGate::endRun(GateStep &Step, CallMap::iterator At, ErrorKind Kind) {
  AdmittedCall Call = remove(At);
  Runs.erase(Call.Run);
  if (Call.Suspect && --SuspectRuns[Call.Message.Fingerprint] == 0)
    SuspectRuns.erase(Call.Message.Fingerprint);
  if (Call.Message.Policy.Idempotent && !Call.Cancelled)
    Step.Out.emplace_back(CancelRun{Call.Run});
  const CallId &Id = Call.Message.Call;
  reply(Step, Call.From, Id, Failed{Id, Kind, load(Step.Now)});
}

} // namespace figsail
