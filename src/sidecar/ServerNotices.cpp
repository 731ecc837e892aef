// ServerNotices.cpp - What backend servers have said of the requests that they
// take, as an ingress remembers it.

#include "ServerNotices.h"

namespace figsail {

void ServerNotices::received(TimePoint Now, const HostId &Host,
                             const std::optional<ServerNotice> &Notice,
                             bool FromServer) {
  auto Known = Entries.find(Host);
  if (!Notice) {
    // Leaving is final for an instance.
    if (FromServer && Known != Entries.end() && !Known->second.Notice.Leaving)
      Entries.erase(Known);
    return;
  }
  TimePoint SaidAt = Now - Notice->Age;
  bool SameInstance = Known != Entries.end() &&
                      Known->second.Notice.Instance == Notice->Instance &&
                      Known->second.Notice.StartMillis == Notice->StartMillis;
  if (!SameInstance) {
    Entries[Host] = {*Notice, SaidAt};
    return;
  }
  bool Leaving = Known->second.Notice.Leaving || Notice->Leaving;
  if (SaidAt >= Known->second.SaidAt)
    Known->second = {*Notice, SaidAt};
  Known->second.Notice.Leaving = Leaving;
}

void ServerNotices::announced(const Announcement &Announced) {
  auto Known = Entries.find(Announced.Host);
  if (Known != Entries.end() &&
      !Known->second.Notice.incarnation().maybeSameAs(Announced.incarnation()))
    Entries.erase(Known);
}

std::optional<ServerNotice> ServerNotices::find(TimePoint Now,
                                                const HostId &Host) const {
  auto Known = Entries.find(Host);
  if (Known == Entries.end())
    return std::nullopt;
  ServerNotice Notice = Known->second.Notice;
  Notice.Age = Now - Known->second.SaidAt;
  return Notice;
}

bool ServerNotices::isLimited(const HostId &Host) const {
  auto Known = Entries.find(Host);
  return Known != Entries.end() && Known->second.Notice.RateLimit;
}

bool ServerNotices::isLeaving(const HostId &Host,
                              const InstanceDirectory &Directory) const {
  auto Known = Entries.find(Host);
  if (Known == Entries.end() || !Known->second.Notice.Leaving)
    return false;
  const Announcement *Announced = Directory.find(Host);
  return Announced && Known->second.Notice.incarnation().maybeSameAs(
                          Announced->incarnation());
}

} // namespace figsail
