// AdmissionPolicy.cpp - Order and value of the calls that wait at a gate.

#include "AdmissionPolicy.h"

#include <algorithm>
#include <map>
#include <span>
#include <string_view>
#include <tuple>

namespace figsail {

/// Calls that one arrival displaces at most. It brings the work of one run; the
/// rest of a wrong forecast is left to the gate, which refuses late calls.
static constexpr std::size_t MaxDisplaced = 4;

static std::uint32_t priority(const WaitingCall &Call) {
  return Call.Message->Policy.Priority;
}

static bool isLate(TimePoint Now, const WaitingCall &Call) {
  return Call.Target <= Now;
}

bool haveSameRank(TimePoint Now, const WaitingCall &One,
                  const WaitingCall &Other) {
  return priority(One) == priority(Other) &&
         isLate(Now, One) == isLate(Now, Other) &&
         One.Message->Nested == Other.Message->Nested;
}

bool precedes(TimePoint Now, const WaitingCall &One, const WaitingCall &Other) {
  if (priority(One) != priority(Other))
    return priority(One) < priority(Other);
  if (isLate(Now, One) != isLate(Now, Other))
    return isLate(Now, Other);
  if (One.Message->Nested != Other.Message->Nested)
    return One.Message->Nested;
  return One.Target < Other.Target;
}

bool isLessUrgent(const Execute &Waiting, const Execute &New) {
  return Waiting.Policy.Priority > New.Policy.Priority;
}

bool mightDisplace(const Execute &New, const Execute &Waiting) {
  if (isLessUrgent(Waiting, New))
    return true;
  return Waiting.Policy.Priority == New.Policy.Priority && !Waiting.Nested &&
         Waiting.Policy.Workspace != New.Policy.Workspace;
}

/// Waiting calls of each workspace over its share.
using Excess = std::map<std::string_view, double>;

static Excess excessOf(const WaitingCalls &Calls) {
  Excess Sums;
  for (const WaitingCall &Call : Calls) {
    const CallPolicy &Policy = Call.Message->Policy;
    Sums[Policy.Workspace] += 1.0 / std::max(1U, Policy.Share);
  }
  return Sums;
}

/// Returns the excess of a workspace that has one more call than those that
/// wait.
static double excessWith(const Excess &Sums, const CallPolicy &Policy) {
  auto Found = Sums.find(Policy.Workspace);
  double Own = Found == Sums.end() ? 0 : Found->second;
  return Own + 1.0 / std::max(1U, Policy.Share);
}

static bool mayDisplace(const Execute &New, const Execute &Waiting,
                        const Excess &Sums) {
  if (!mightDisplace(New, Waiting))
    return false;
  return isLessUrgent(Waiting, New) ||
         Sums.at(Waiting.Policy.Workspace) > excessWith(Sums, New.Policy);
}

/// Returns whether One is worth less than Other.
static bool isLessValuable(const WaitingCall &One, const WaitingCall &Other,
                           const Excess &Sums) {
  auto Rank = [&](const WaitingCall &Call) {
    return std::tuple(priority(Call), !Call.Message->Nested,
                      Sums.at(Call.Message->Policy.Workspace), Call.Work,
                      Call.Target);
  };
  return Rank(One) > Rank(Other);
}

static const WaitingCall *leastValuable(const Execute &New,
                                        std::span<const WaitingCall> Calls,
                                        const Excess &Sums) {
  const WaitingCall *Least = nullptr;
  for (const WaitingCall &Call : Calls) {
    if (!mayDisplace(New, *Call.Message, Sums))
      continue;
    if (Least == nullptr || isLessValuable(Call, *Least, Sums))
      Least = &Call;
  }
  return Least;
}

const WaitingCall *leastValuable(const Execute &New,
                                 const WaitingCalls &Calls) {
  return leastValuable(New, Calls, excessOf(Calls));
}

/// Sorts calls in the order in which they are served. Of calls of the same rank
/// the n-th of a workspace is served with the n-th ones of the others, n
/// divided by the share.
static void sortInTurns(TimePoint Now, WaitingCalls &Calls) {
  std::ranges::stable_sort(Calls, [&](const auto &One, const auto &Other) {
    return precedes(Now, One, Other);
  });
  std::map<std::string_view, double> Rounds;
  for (std::size_t I = 0; I < Calls.size(); ++I) {
    if (I > 0 && !haveSameRank(Now, Calls[I - 1], Calls[I]))
      Rounds.clear();
    const CallPolicy &Policy = Calls[I].Message->Policy;
    double &Round = Rounds[Policy.Workspace];
    Round += 1.0 / std::max(1U, Policy.Share);
    Calls[I].Round = Round;
  }
  std::ranges::stable_sort(Calls, [&](const auto &One, const auto &Other) {
    if (!haveSameRank(Now, One, Other))
      return precedes(Now, One, Other);
    return One.Round < Other.Round;
  });
}

/// The waiting calls of one workspace that have the rank of a new call.
struct RankedCalls {
  std::size_t Count = 0;
  std::size_t First = 0; ///< Those that are served before the new call if it is
                         ///< of the same workspace.
  std::uint32_t Share = 1;
  Duration Work{0};
};

QueueAhead aheadInTurns(TimePoint Now, const WaitingCall &New,
                        const WaitingCalls &Waiting) {
  QueueAhead Ahead;
  std::map<std::string_view, RankedCalls> Ranked;
  for (const WaitingCall &Call : Waiting) {
    const CallPolicy &Policy = Call.Message->Policy;
    if (haveSameRank(Now, New, Call)) {
      RankedCalls &Of = Ranked[Policy.Workspace];
      Of.Share = std::max(1U, Policy.Share);
      Of.Work += Call.Work;
      ++Of.Count;
      Of.First += precedes(Now, New, Call) ? 0 : 1;
      continue;
    }
    if (precedes(Now, New, Call))
      continue;
    ++Ahead.Calls;
    Ahead.Work += Call.Work;
  }
  const CallPolicy &Own = New.Message->Policy;
  std::size_t OwnFirst = Ranked[Own.Workspace].First;
  double Rounds = static_cast<double>(OwnFirst + 1) / std::max(1U, Own.Share);
  for (const auto &[Workspace, Of] : Ranked) {
    auto Turns = static_cast<std::size_t>(Rounds * Of.Share);
    std::size_t Before =
        Workspace == Own.Workspace ? OwnFirst : std::min(Of.Count, Turns);
    if (Before == 0)
      continue;
    Ahead.Calls += Before;
    Ahead.Work += Of.Work / static_cast<Duration::rep>(Of.Count) *
                  static_cast<Duration::rep>(Before);
  }
  return Ahead;
}

/// Returns the calls up to the first one that is late and that New may
/// displace; none if there is no such call.
static std::span<const WaitingCall>
callsUpToFirstLate(TimePoint Now, const Execute &New,
                   const WaitingCalls &Ordered, const SlotState &Slots,
                   const Excess &Sums) {
  Duration Ahead{0};
  for (std::size_t I = 0; I < Ordered.size(); ++I) {
    const WaitingCall &Call = Ordered[I];
    // With all slots taken, the next one is freed after about the duration of
    // a run divided by the number of slots.
    Duration Wait =
        (Ahead + (Slots.AllTaken ? Call.Work : Duration(0))) / Slots.Usable;
    Ahead += Call.Work;
    if (Now + Wait > Call.LatestStart && mayDisplace(New, *Call.Message, Sums))
      return std::span(Ordered).first(I + 1);
  }
  return {};
}

std::vector<CallId> displacedBy(TimePoint Now, const Execute &New,
                                WaitingCalls Waiting, const SlotState &Slots) {
  sortInTurns(Now, Waiting);
  std::vector<CallId> Displaced;
  while (Displaced.size() < MaxDisplaced) {
    Excess Sums = excessOf(Waiting);
    auto Ahead = callsUpToFirstLate(Now, New, Waiting, Slots, Sums);
    const WaitingCall *Victim = leastValuable(New, Ahead, Sums);
    if (Victim == nullptr)
      break;
    Displaced.push_back(Victim->Message->Call);
    Waiting.erase(Waiting.begin() + (Victim - Waiting.data()));
  }
  return Displaced;
}

} // namespace figsail
