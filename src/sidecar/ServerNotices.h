// ServerNotices.h - What backend servers have said of the requests that they
// take, as an ingress remembers it.

#ifndef FIGSAIL_SIDECAR_SERVERNOTICES_H
#define FIGSAIL_SIDECAR_SERVERNOTICES_H

#include "Instance.h"

#include <map>
#include <optional>

namespace figsail {

/// Newest notice of each host's backend server. The ingresses are the copies of
/// a daemon's memory: one that restarts beside its server gets the notice back
/// with the first call of an ingress that knows it, also while the store is
/// unreachable.
class ServerNotices {
public:
  /// Applies the notice that came with a reply of a daemon, or the lack of one.
  /// FromServer: the reply is a response of the server, so a limit that it does
  /// not name has ended. Other replies may come from a daemon that knows less.
  void received(TimePoint Now, const HostId &Host,
                const std::optional<ServerNotice> &Notice, bool FromServer);
  /// A host's announcement has changed. Forgets the notice of a former
  /// instance.
  void announced(const Announcement &Announced);
  /// Returns the notice of a host's server with its present age, or nothing.
  std::optional<ServerNotice> find(TimePoint Now, const HostId &Host) const;
  /// Returns whether the server of a host names a limit.
  bool isLimited(const HostId &Host) const;
  /// Returns whether the announced server of a host has said that it leaves.
  bool isLeaving(const HostId &Host, const InstanceDirectory &Directory) const;

private:
  struct Entry {
    ServerNotice Notice;
    TimePoint SaidAt;
  };

  std::map<HostId, Entry> Entries;
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SERVERNOTICES_H
