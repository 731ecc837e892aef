// SidecarTestSupport.h - Effects of the sidecar's modules, and a virtual clock.

#ifndef FIGSAIL_TESTS_SIDECARTESTSUPPORT_H
#define FIGSAIL_TESTS_SIDECARTESTSUPPORT_H

#include "SidecarEvents.h"
#include "SidecarSettings.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace figsail {

using namespace std::chrono_literals;

inline const TimePoint TestStart{std::chrono::hours(1)};

/// Returns all effects of one type.
template <class T> std::vector<T> effects(const SidecarEffects &Out) {
  std::vector<T> Found;
  for (const SidecarEffect &Action : Out)
    if (const auto *Body = std::get_if<T>(&Action))
      Found.push_back(*Body);
  return Found;
}

/// Returns all messages of one type with their receivers.
template <class T>
std::vector<std::pair<HostId, T>> messages(const SidecarEffects &Out) {
  std::vector<std::pair<HostId, T>> Found;
  for (const SendPeer &Sent : effects<SendPeer>(Out))
    if (const auto *Body = std::get_if<T>(&Sent.Message))
      Found.emplace_back(Sent.Host, *Body);
  return Found;
}

/// Returns whether a decision of that kind was logged.
inline bool logged(const SidecarEffects &Out, std::string_view What) {
  for (const Decision &Line : effects<Decision>(Out))
    if (Line.Kind == What)
      return true;
  return false;
}

inline SidecarSettings testSettings(const HostId &Host = "10.0.0.1:7000",
                                    const std::string &Domain = "east-a",
                                    const std::string &Region = "east") {
  SidecarSettings Settings;
  Settings.Host = Host;
  Settings.Inc = 1;
  Settings.Region = Region;
  Settings.FailureDomain = Domain;
  Settings.Service = "booking";
  Settings.Bounds.RetryRatio = 0.2;
  Settings.Bounds.RetrySlack = 64;
  Settings.Bounds.ColdOverage = 1.5;
  Settings.Bounds.ColdSlack = 5;
  return Settings;
}

inline ServerHeartbeat heartbeat(std::uint64_t Sequence = 1,
                                 const std::string &Instance = "i-1",
                                 std::int64_t Born = 1000) {
  ServerHeartbeat Said;
  Said.Report = Sequence;
  Said.Instance = Instance;
  Said.Service = "booking";
  Said.Slots = 10;
  Said.Sequence = Sequence;
  Said.StartMillis = Born;
  return Said;
}

inline Announcement announcement(const HostId &Host,
                                 const std::string &Service = "booking",
                                 const std::string &Domain = "east-a",
                                 const std::string &Region = "east") {
  Announcement Said;
  Said.Host = Host;
  Said.Order = {1, 77, 1};
  Said.Region = Region;
  Said.FailureDomain = Domain;
  Said.State = InstanceState::Ready;
  Said.Instance = "i-" + Host;
  Said.Service = Service;
  Said.Slots = 10;
  return Said;
}

} // namespace figsail

#endif // FIGSAIL_TESTS_SIDECARTESTSUPPORT_H
