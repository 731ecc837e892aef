// Instance.cpp - Encoding of announcements and the directory of servers.

#include "Instance.h"

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>

namespace figsail {

namespace json = boost::json;

/// Longest text in an announcement, in bytes. Daemons keep those of all hosts.
static constexpr std::size_t MaxTextBytes = 1024;

std::string encodeAnnouncement(const Announcement &Announced) {
  json::object Record;
  Record["host"] = Announced.Host;
  Record["generation"] = Announced.Order.Generation;
  Record["incarnation"] = Announced.Order.Inc;
  Record["counter"] = Announced.Order.Counter;
  Record["region"] = Announced.Region;
  Record["domain"] = Announced.FailureDomain;
  Record["state"] = static_cast<std::uint64_t>(Announced.State);
  Record["instance"] = Announced.Instance;
  Record["start"] = Announced.StartMillis;
  Record["service"] = Announced.Service;
  Record["slots"] = Announced.Slots;
  Record["left"] = Announced.Left;
  if (!Announced.Version.empty())
    Record["version"] = Announced.Version;
  return json::serialize(Record);
}

static std::string stringField(const json::object &Record, const char *Name) {
  const json::string &Text = Record.at(Name).as_string();
  if (Text.size() > MaxTextBytes)
    throw std::length_error("a text is too long");
  return std::string(Text);
}

static Announcement readRecord(const json::object &Record) {
  Announcement Announced;
  Announced.Host = stringField(Record, "host");
  Announced.Order.Generation =
      Record.at("generation").to_number<std::uint64_t>();
  Announced.Order.Inc = Record.at("incarnation").to_number<std::uint64_t>();
  Announced.Order.Counter = Record.at("counter").to_number<std::uint64_t>();
  Announced.Region = stringField(Record, "region");
  Announced.FailureDomain = stringField(Record, "domain");
  Announced.Instance = stringField(Record, "instance");
  // Records of an earlier version lack the start and the leaving.
  if (const json::value *Left = Record.if_contains("left"))
    Announced.Left = Left->as_bool();
  if (const json::value *Start = Record.if_contains("start"))
    Announced.StartMillis = Start->to_number<std::int64_t>();
  if (Record.contains("version"))
    Announced.Version = stringField(Record, "version");
  Announced.Service = stringField(Record, "service");
  Announced.Slots = Record.at("slots").to_number<std::uint32_t>();
  Announced.State =
      static_cast<InstanceState>(Record.at("state").to_number<std::uint8_t>());
  return Announced;
}

std::optional<Announcement> decodeAnnouncement(std::string_view Text) {
  boost::system::error_code Error;
  json::value Value = json::parse(json::string_view(Text), Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  try {
    Announcement Announced = readRecord(Value.as_object());
    if (Announced.Host.empty() || Announced.State > InstanceState::Paused ||
        Announced.Order.Generation > MaxGeneration)
      return std::nullopt;
    return Announced;
  } catch (const std::exception &) {
    return std::nullopt; // A field is missing, too long or of another type.
  }
}

bool InstanceDirectory::merge(const Announcement &Announced) {
  auto Known = Hosts.find(Announced.Host);
  if (Known != Hosts.end()) {
    if (!Known->second.Order.precedes(Announced.Order).value_or(true))
      return false;
    removeReady(Known->second);
  }
  Hosts[Announced.Host] = Announced;
  if (Announced.State != InstanceState::Ready)
    return true;
  Member Server;
  Server.Host = Announced.Host;
  Server.Inc = Announced.Order.Inc;
  Server.Region = Announced.Region;
  Server.FailureDomain = Announced.FailureDomain;
  Server.Service = Announced.Service;
  Server.Slots = Announced.Slots;
  ByService[Announced.Service].push_back(std::move(Server));
  return true;
}

void InstanceDirectory::removeReady(const Announcement &Announced) {
  auto Found = ByService.find(Announced.Service);
  if (Found == ByService.end())
    return;
  std::erase_if(Found->second, [&](const Member &Server) {
    return Server.Host == Announced.Host;
  });
  if (Found->second.empty())
    ByService.erase(Found);
}

void InstanceDirectory::erase(const HostId &Host) {
  auto Known = Hosts.find(Host);
  if (Known == Hosts.end())
    return;
  removeReady(Known->second);
  Hosts.erase(Known);
}

const Announcement *InstanceDirectory::find(const HostId &Host) const {
  auto Found = Hosts.find(Host);
  return Found == Hosts.end() ? nullptr : &Found->second;
}

const std::vector<Member> &
InstanceDirectory::ready(const std::string &Service) const {
  static const std::vector<Member> None;
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

std::size_t InstanceDirectory::countServers(const std::string &Service) const {
  auto Count = std::ranges::count_if(Hosts, [&](const auto &Entry) {
    return Entry.second.State != InstanceState::Absent &&
           Entry.second.Service == Service;
  });
  return static_cast<std::size_t>(Count);
}

std::size_t InstanceDirectory::rank(const HostId &Host,
                                    const std::string &Service) const {
  auto Count = std::count_if(
      Hosts.begin(), Hosts.lower_bound(Host), [&](const auto &Entry) {
        return Service.empty() || (Entry.second.Service == Service &&
                                   Entry.second.State != InstanceState::Absent);
      });
  return static_cast<std::size_t>(Count);
}

std::size_t InstanceDirectory::countHosts(const std::string &Region) const {
  auto Count = std::ranges::count_if(
      Hosts, [&](const auto &Entry) { return Entry.second.Region == Region; });
  return std::max<std::size_t>(1, static_cast<std::size_t>(Count));
}

} // namespace figsail
