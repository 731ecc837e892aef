// Instance.h - Backend servers as their own daemons announce them.

#ifndef FIGSAIL_SIDECAR_INSTANCE_H
#define FIGSAIL_SIDECAR_INSTANCE_H

#include "figsail/Types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace figsail {

/// Life of a backend server, as its daemon knows it.
enum class InstanceState : std::uint8_t {
  Absent,   ///< No backend server is known beside the daemon.
  Ready,    ///< Takes requests.
  Draining, ///< Announced that it leaves; gets nothing new.
  Paused,   ///< Its daemon stops; the server stays.
};

/// Orders what is said about one host. A daemon that restarts takes the next
/// generation after the one it reads, so that an append of its predecessor
/// that takes effect late does not win.
struct AnnouncementOrder {
  std::uint64_t Generation = 0; ///< Of the daemon.
  Incarnation Inc = 0;          ///< Of the daemon; breaks ties.
  std::uint64_t Counter = 0;    ///< Within the incarnation.

  bool operator==(const AnnouncementOrder &) const = default;
  // clang-tidy 14 reports false errors in a defaulted <=>.
  bool operator<(const AnnouncementOrder &Other) const {
    return std::tie(Generation, Inc, Counter) <
           std::tie(Other.Generation, Other.Inc, Other.Counter);
  }
};

/// What a daemon announces of itself and of its backend server.
struct Announcement {
  HostId Host; ///< Peer address of the daemon.
  AnnouncementOrder Order;
  std::string Region;
  std::string FailureDomain;
  InstanceState State = InstanceState::Absent;
  std::string Instance; ///< Id of the backend server.
  std::string Service;
  std::uint32_t Slots = 0;
};

/// Returns the record for the store.
std::string encodeAnnouncement(const Announcement &Announced);
/// Returns nothing when the text is not a record of this program.
std::optional<Announcement> decodeAnnouncement(std::string_view Text);

/// The newest announcement of each host.
class InstanceDirectory {
public:
  /// Takes an announcement unless a newer one of the host is known. Returns
  /// whether it was taken.
  bool merge(const Announcement &Announced);
  /// Forgets a host.
  void erase(const HostId &Host);
  /// Returns the announcement of a host, or null.
  const Announcement *find(const HostId &Host) const;
  /// Returns the ready backend servers of a service as members, for the
  /// balancer.
  const std::vector<Member> &ready(const std::string &Service) const;
  const std::map<HostId, Announcement> &all() const { return Hosts; }
  /// Returns the number of hosts with a server of the service.
  std::size_t countServers(const std::string &Service) const;
  /// Returns the number of hosts of a region; at least 1.
  std::size_t countHosts(const std::string &Region) const;

private:
  void removeReady(const Announcement &Announced);

  std::map<HostId, Announcement> Hosts;
  std::map<std::string, std::vector<Member>> ByService; ///< Ready ones.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_INSTANCE_H
