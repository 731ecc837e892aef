// LostAttempts.cpp - Attempts of calls whose daemon was lost before it replied.

#include "LostAttempts.h"

namespace figsail {

void LostAttempts::add(std::uint64_t Call, const CallId &Attempt,
                       const PeerRef &Executor) {
  Attempts[Attempt] = {Call, Executor};
  ByCall.emplace(Call, Attempt);
}

std::optional<std::uint64_t> LostAttempts::settle(AttemptMap::iterator At) {
  std::uint64_t Call = At->second.Call;
  ByCall.erase({Call, At->first});
  Attempts.erase(At);
  return Call;
}

std::optional<std::uint64_t> LostAttempts::settleUnsent(const CallId &Attempt,
                                                        const HostId &Host) {
  auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end() || Found->second.Executor.Host != Host)
    return std::nullopt;
  return settle(Found);
}

std::optional<std::uint64_t> LostAttempts::settleRefused(const CallId &Attempt,
                                                         const PeerRef &From) {
  auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end() || Found->second.Executor != From)
    return std::nullopt;
  return settle(Found);
}

bool LostAttempts::mayHaveRun(std::uint64_t Call) const {
  auto First = ByCall.lower_bound({Call, CallId{}});
  return First != ByCall.end() && First->first == Call;
}

void LostAttempts::removeCall(std::uint64_t Call) {
  auto First = ByCall.lower_bound({Call, CallId{}});
  while (First != ByCall.end() && First->first == Call) {
    Attempts.erase(First->second);
    First = ByCall.erase(First);
  }
}

} // namespace figsail
