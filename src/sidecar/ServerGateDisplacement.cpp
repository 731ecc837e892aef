// ServerGateDisplacement.cpp - Waiting calls that make room for urgent ones.

#include "RequestIdentity.h"
#include "ServerGate.h"

#include <algorithm>
#include <map>
#include <set>

namespace figsail {

WaitingCall ServerGate::describe(const AdmittedCall &Call) const {
  Duration Work = expectedRun(Call.Message.Policy.Route);
  TimePoint LatestStart = std::min(Call.Target, Call.Deadline) - Work / 2;
  return {&Call.Message, Call.Target, LatestStart, Work};
}

/// Returns the calls that wait for a slot. A call that waits for the end of a
/// slow period needs none yet.
WaitingCalls ServerGate::waitingCalls(TimePoint Now) const {
  WaitingCalls Found;
  for (const auto &[Id, Call] : Calls)
    if (Call.Run == 0 && !isDelayed(Now, Call))
      Found.push_back(describe(Call));
  return Found;
}

void ServerGate::displace(GateStep &Step, const std::vector<CallId> &Displaced,
                          const CallId &By) {
  for (const CallId &Id : Displaced) {
    AdmittedCall Call = remove(Calls.find(Id));
    Decision Line{LogLevel::Info, "gate-displaced", {}};
    Line.Fields = {{"call", callText(Id)},
                   {"by", callText(By)},
                   {"priority", std::to_string(Call.Message.Policy.Priority)}};
    Step.Out.emplace_back(std::move(Line));
    Step.Out.emplace_back(Count{Counter::RunsDisplaced});
    refuse(Step, Call, ErrorKind::Overloaded);
  }
}

/// Refuses the waiting calls that a new call has made late.
void ServerGate::displaceOvertaken(GateStep &Step, const CallId &New) {
  if (Waiting == 0)
    return;
  const Execute &Message = Calls.at(New).Message;
  bool Any = std::ranges::any_of(Calls, [&](const auto &Entry) {
    return Entry.second.Run == 0 &&
           mightDisplace(Message, Entry.second.Message);
  });
  if (!Any)
    return;
  SlotState Slots{usableSlots(), running() >= usableSlots()};
  displace(Step, displacedBy(Step.Now, Message, waitingCalls(Step.Now), Slots),
           New);
}

/// Returns the call whose turn it is among those of the rank of Best.
ServerGate::AdmittedCall &ServerGate::callInTurn(TimePoint Now,
                                                 AdmittedCall &Best) {
  std::map<std::string_view, AdmittedCall *> First;
  for (auto &[Id, Call] : Calls) {
    if (Call.Run != 0 || isDelayed(Now, Call) ||
        !haveSameRank(Now, {&Best.Message, Best.Target},
                      {&Call.Message, Call.Target}))
      continue;
    AdmittedCall *&Earliest = First[Call.Message.Policy.Workspace];
    if (Earliest == nullptr || precedes(Now, Call, *Earliest))
      Earliest = &Call;
  }
  std::set<CallId> Candidates;
  for (const auto &[Workspace, Call] : First)
    Candidates.insert(Call->Message.Call);
  std::optional<CallId> Taken = Turns.take(Candidates);
  return Taken ? Calls.at(*Taken) : Best;
}

} // namespace figsail
