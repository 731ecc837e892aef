// HostActivity.cpp - When bytes of unfinished transfers last arrived, by host.

#include "HostActivity.h"

namespace figsail {

/// How long an entry is kept. Several times the confirm timeout of the router.
static constexpr Duration Lifetime = std::chrono::seconds(5);

void HostActivity::add(TimePoint Now, const HostId &Host) {
  LastBytes[Host] = Now;
  if (Now < LastRemoval + Lifetime)
    return;
  LastRemoval = Now;
  std::erase_if(LastBytes, [Now](const auto &Entry) {
    return Entry.second + Lifetime < Now;
  });
}

bool HostActivity::isActiveSince(const HostId &Host, TimePoint Since) const {
  auto Found = LastBytes.find(Host);
  return Found != LastBytes.end() && Found->second > Since;
}

} // namespace figsail
