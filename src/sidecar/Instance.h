// Instance.h - Announcements of backend servers and their directory.

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

/// Lifecycle state of a backend server, as its daemon announces it.
enum class InstanceState : std::uint8_t {
  Absent,   ///< No backend server is known on the host.
  Ready,    ///< Accepts requests.
  Draining, ///< Is leaving; receives no new requests.
  Paused,   ///< Its daemon stops; the server keeps running.
};

/// Highest generation of an announcement. No daemon restarts that often; a
/// higher number comes from another writer.
inline constexpr std::uint64_t MaxGeneration = std::uint64_t(1) << 32;

/// Order of the announcements of one host. A daemon that restarts uses the
/// generation after the one it reads, so that a delayed append of its
/// predecessor does not replace its announcements.
struct AnnouncementOrder {
  std::uint64_t Generation = 0; ///< Of the daemon.
  Incarnation Inc = 0;          ///< Of the daemon; breaks ties.
  std::uint64_t Counter = 0;    ///< Within the incarnation.

  bool operator==(const AnnouncementOrder &) const = default;
  /// Returns whether the host's daemon wrote this before Other. Nothing if only
  /// the store knows: its generations have come to their end, so that a daemon
  /// could not exceed an entry of another writer.
  std::optional<bool> precedes(const AnnouncementOrder &Other) const {
    bool AtEnd = Generation >= MaxGeneration &&
                 Other.Generation >= MaxGeneration && Inc != Other.Inc;
    return AtEnd ? std::nullopt : std::optional(*this < Other);
  }
  // clang-tidy 14 reports false errors in a defaulted <=>.
  bool operator<(const AnnouncementOrder &Other) const {
    return std::tie(Generation, Inc, Counter) <
           std::tie(Other.Generation, Other.Inc, Other.Counter);
  }
};

/// Announcement of a daemon and its backend server.
struct Announcement {
  HostId Host; ///< Peer address of the daemon.
  AnnouncementOrder Order;
  std::string Region;
  std::string FailureDomain;
  InstanceState State = InstanceState::Absent;
  std::string Instance;         ///< Id of the backend server.
  std::int64_t StartMillis = 0; ///< Its start, Unix time; 0: not known.
  std::string Service;
  std::uint32_t Slots = 0;
  bool Left = false;   ///< The instance has left or is leaving for good.
  std::string Version; ///< Of the backend server; empty: it states none.

  ServerIncarnation incarnation() const { return {Instance, StartMillis}; }
};

/// Returns the announcement as a JSON record for the store.
std::string encodeAnnouncement(const Announcement &Announced);
/// Returns nothing if the text is not a valid announcement.
std::optional<Announcement> decodeAnnouncement(std::string_view Text);

/// Directory of the newest announcement of each host.
class InstanceDirectory {
public:
  /// Applies an announcement unless the host already has the same or a newer
  /// one. Of two whose order only the store knows, the one that is applied last
  /// is the newer. Returns whether it was applied.
  bool merge(const Announcement &Announced);
  /// Removes a host.
  void erase(const HostId &Host);
  /// Returns the announcement of a host, or null.
  const Announcement *find(const HostId &Host) const;
  /// Returns the ready backend servers of a service, in the form that the
  /// balancer uses.
  const std::vector<Member> &ready(const std::string &Service) const;
  const std::map<HostId, Announcement> &all() const { return Hosts; }
  /// Returns the number of hosts with a server of the service in any state but
  /// Absent.
  std::size_t countServers(const std::string &Service) const;
  /// Returns the number of hosts before this one, in the order of their names,
  /// with a server of the service or, if it is empty, of all hosts.
  std::size_t rank(const HostId &Host, const std::string &Service) const;
  /// Returns the number of hosts in a region, but at least 1.
  std::size_t countHosts(const std::string &Region) const;

private:
  void removeReady(const Announcement &Announced);

  std::map<HostId, Announcement> Hosts;
  std::map<std::string, std::vector<Member>> ByService; ///< Ready servers.
};

} // namespace figsail

#endif // FIGSAIL_SIDECAR_INSTANCE_H
