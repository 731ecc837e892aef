// RefusedCalls.cpp - Runs of the local backend server that failed since a
// service refused one of their calls.

#include "RefusedCalls.h"

#include <algorithm>

namespace figsail {

/// Bound on the calls that are kept.
static constexpr std::size_t MaxRefusedCalls = 256;

void RefusedCalls::add(TimePoint Now) {
  if (Refused.size() >= MaxRefusedCalls)
    Refused.pop_front();
  Refused.push_back(Now);
}

bool RefusedCalls::explain(TimePoint RunStart) {
  auto First = std::ranges::lower_bound(Refused, RunStart);
  if (First == Refused.end())
    return false;
  Refused.erase(First);
  return true;
}

} // namespace figsail
