// SidecarTestSupport.h - Helpers for tests of the sidecar's modules.

#ifndef FIGSAIL_TESTS_SIDECARTESTSUPPORT_H
#define FIGSAIL_TESTS_SIDECARTESTSUPPORT_H

#include "SidecarEvents.h"
#include "SidecarSettings.h"

#include <chrono>
#include <optional>
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

/// Returns whether a decision of this kind was logged.
inline bool logged(const SidecarEffects &Out, std::string_view What) {
  for (const Decision &Line : effects<Decision>(Out))
    if (Line.Kind == What)
      return true;
  return false;
}

/// Returns a field of the first decision of this kind, or nothing.
inline std::optional<std::string> loggedField(const SidecarEffects &Out,
                                              std::string_view What,
                                              std::string_view Field) {
  for (const Decision &Line : effects<Decision>(Out)) {
    if (Line.Kind != What)
      continue;
    for (const auto &[Name, Value] : Line.Fields)
      if (Name == Field)
        return Value;
  }
  return std::nullopt;
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
  ServerHeartbeat Result;
  Result.Report = Sequence;
  Result.Instance = Instance;
  Result.Service = "booking";
  Result.Slots = 10;
  Result.Sequence = Sequence;
  Result.StartMillis = Born;
  return Result;
}

inline Announcement announcement(const HostId &Host,
                                 const std::string &Service = "booking",
                                 const std::string &Domain = "east-a",
                                 const std::string &Region = "east") {
  Announcement Result;
  Result.Host = Host;
  Result.Order = {1, 77, 1};
  Result.Region = Region;
  Result.FailureDomain = Domain;
  Result.State = InstanceState::Ready;
  Result.Instance = "i-" + Host;
  Result.Service = Service;
  Result.Slots = 10;
  return Result;
}

} // namespace figsail

#endif // FIGSAIL_TESTS_SIDECARTESTSUPPORT_H
