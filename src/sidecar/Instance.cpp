// Instance.cpp - The directory of backend servers and its records.

#include "Instance.h"

#include <algorithm>
#include <boost/json.hpp>

namespace figsail {

namespace json = boost::json;

std::string encodeAnnouncement(const Announcement &Said) {
  json::object Record;
  Record["host"] = Said.Host;
  Record["generation"] = Said.Order.Generation;
  Record["incarnation"] = Said.Order.Inc;
  Record["counter"] = Said.Order.Counter;
  Record["region"] = Said.Region;
  Record["domain"] = Said.FailureDomain;
  Record["state"] = static_cast<std::uint64_t>(Said.State);
  Record["instance"] = Said.Instance;
  Record["service"] = Said.Service;
  Record["slots"] = Said.Slots;
  return json::serialize(Record);
}

static std::string textOf(const json::object &Record, const char *Name) {
  return std::string(Record.at(Name).as_string());
}

static Announcement readRecord(const json::object &Record) {
  Announcement Said;
  Said.Host = textOf(Record, "host");
  Said.Order.Generation = Record.at("generation").to_number<std::uint64_t>();
  Said.Order.Inc = Record.at("incarnation").to_number<std::uint64_t>();
  Said.Order.Counter = Record.at("counter").to_number<std::uint64_t>();
  Said.Region = textOf(Record, "region");
  Said.FailureDomain = textOf(Record, "domain");
  Said.Instance = textOf(Record, "instance");
  Said.Service = textOf(Record, "service");
  Said.Slots = Record.at("slots").to_number<std::uint32_t>();
  Said.State =
      static_cast<InstanceState>(Record.at("state").to_number<std::uint8_t>());
  return Said;
}

std::optional<Announcement> decodeAnnouncement(std::string_view Text) {
  boost::system::error_code Error;
  json::value Value = json::parse(json::string_view(Text), Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  try {
    Announcement Said = readRecord(Value.as_object());
    if (Said.Host.empty() || Said.State > InstanceState::Paused)
      return std::nullopt;
    return Said;
  } catch (const std::exception &) {
    return std::nullopt; // A field is missing or of another type.
  }
}

bool InstanceDirectory::merge(const Announcement &Said) {
  auto Known = Hosts.find(Said.Host);
  if (Known != Hosts.end()) {
    if (!(Known->second.Order < Said.Order))
      return false;
    unlist(Known->second);
  }
  Hosts[Said.Host] = Said;
  if (Said.State != InstanceState::Ready)
    return true;
  Member Server;
  Server.Host = Said.Host;
  Server.Inc = Said.Order.Inc;
  Server.Region = Said.Region;
  Server.FailureDomain = Said.FailureDomain;
  Server.Service = Said.Service;
  Server.Slots = Said.Slots;
  ByService[Said.Service].push_back(std::move(Server));
  return true;
}

void InstanceDirectory::unlist(const Announcement &Said) {
  auto Found = ByService.find(Said.Service);
  if (Found == ByService.end())
    return;
  std::erase_if(Found->second,
                [&](const Member &Who) { return Who.Host == Said.Host; });
  if (Found->second.empty())
    ByService.erase(Found);
}

void InstanceDirectory::erase(const HostId &Host) {
  auto Known = Hosts.find(Host);
  if (Known == Hosts.end())
    return;
  unlist(Known->second);
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

std::size_t InstanceDirectory::serversOf(const std::string &Service) const {
  auto Count = std::ranges::count_if(Hosts, [&](const auto &Entry) {
    return Entry.second.State != InstanceState::Absent &&
           Entry.second.Service == Service;
  });
  return static_cast<std::size_t>(Count);
}

std::size_t InstanceDirectory::hostsIn(const std::string &Region) const {
  auto Count = std::ranges::count_if(
      Hosts, [&](const auto &Entry) { return Entry.second.Region == Region; });
  return std::max<std::size_t>(1, static_cast<std::size_t>(Count));
}

} // namespace figsail
