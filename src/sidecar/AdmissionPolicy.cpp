// AdmissionPolicy.cpp - Order and value of the calls that wait at a gate.

#include "AdmissionPolicy.h"

#include <algorithm>
#include <tuple>

namespace figsail {

/// Calls that one arrival displaces at most. It brings the work of one run; the
/// rest of a wrong forecast is left to the gate, which refuses late calls.
static constexpr std::size_t MaxDisplaced = 4;

static std::uint32_t priority(const WaitingCall &Call) {
  return Call.Message->Policy.Priority;
}

bool precedes(TimePoint Now, const WaitingCall &One, const WaitingCall &Other) {
  if (priority(One) != priority(Other))
    return priority(One) < priority(Other);
  bool OneLate = One.Target <= Now;
  bool OtherLate = Other.Target <= Now;
  if (OneLate != OtherLate)
    return OtherLate;
  if (One.Message->Nested != Other.Message->Nested)
    return One.Message->Nested;
  return One.Target < Other.Target;
}

bool mayDisplace(const Execute &New, const Execute &Waiting) {
  return Waiting.Policy.Priority > New.Policy.Priority;
}

/// Returns whether One is worth less than Other.
static bool isLessValuable(const WaitingCall &One, const WaitingCall &Other) {
  auto Rank = [](const WaitingCall &Call) {
    return std::tuple(priority(Call), !Call.Message->Nested, Call.Work,
                      Call.Target);
  };
  return Rank(One) > Rank(Other);
}

const WaitingCall *leastValuable(const Execute &New,
                                 const WaitingCalls &Calls) {
  const WaitingCall *Least = nullptr;
  for (const WaitingCall &Call : Calls) {
    if (!mayDisplace(New, *Call.Message))
      continue;
    if (Least == nullptr || isLessValuable(Call, *Least))
      Least = &Call;
  }
  return Least;
}

/// Returns the calls up to the first one that is late and that New may
/// displace; none if there is no such call.
static WaitingCalls callsUpToFirstLate(TimePoint Now, const Execute &New,
                                       const WaitingCalls &Ordered,
                                       const SlotState &Slots) {
  Duration Ahead{0};
  for (std::size_t I = 0; I < Ordered.size(); ++I) {
    const WaitingCall &Call = Ordered[I];
    // With all slots taken, the next one is freed after about the duration of
    // a run divided by the number of slots.
    Duration Wait =
        (Ahead + (Slots.AllTaken ? Call.Work : Duration(0))) / Slots.Usable;
    Ahead += Call.Work;
    if (Now + Wait > Call.LatestStart && mayDisplace(New, *Call.Message))
      return {Ordered.begin(),
              Ordered.begin() + static_cast<std::ptrdiff_t>(I) + 1};
  }
  return {};
}

std::vector<CallId> displacedBy(TimePoint Now, const Execute &New,
                                WaitingCalls Waiting, const SlotState &Slots) {
  std::ranges::stable_sort(Waiting, [&](const auto &One, const auto &Other) {
    return precedes(Now, One, Other);
  });
  std::vector<CallId> Displaced;
  while (Displaced.size() < MaxDisplaced) {
    WaitingCalls Ahead = callsUpToFirstLate(Now, New, Waiting, Slots);
    const WaitingCall *Victim = leastValuable(New, Ahead);
    if (Victim == nullptr)
      break;
    Displaced.push_back(Victim->Message->Call);
    std::erase_if(Waiting, [&](const WaitingCall &Call) {
      return Call.Message == Victim->Message;
    });
  }
  return Displaced;
}

} // namespace figsail
