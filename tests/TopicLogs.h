// TopicLogs.h - The store's topics, for simulations in virtual time.

#ifndef FIGSAIL_TESTS_TOPICLOGS_H
#define FIGSAIL_TESTS_TOPICLOGS_H

#include "SidecarEvents.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace figsail::test {

/// Keyed logs, one for each topic, of history 1.
class TopicLogs {
public:
  /// Appends a record. Without a value, it removes the key.
  void put(Topic Which, const std::string &Key,
           std::optional<std::string> Value) {
    log(Which).push_back({Key, std::move(Value), end(Which)});
  }
  Offset end(Topic Which) const {
    return static_cast<Offset>(log(Which).size());
  }
  /// Returns the newest record of each key.
  TopicSnapshot snapshot(Topic Which) const {
    std::map<std::string, KeyedRecord> Newest;
    for (const KeyedRecord &Record : log(Which))
      Newest[Record.Key] = Record;
    TopicSnapshot Read{Which, {}, end(Which), 1};
    for (const auto &[Key, Record] : Newest)
      if (Record.Value)
        Read.Records.push_back(Record);
    return Read;
  }
  /// Returns the records from an offset on.
  TopicRecords records(Topic Which, Offset From) const {
    const std::vector<KeyedRecord> &All = log(Which);
    auto First = static_cast<std::ptrdiff_t>(std::min(From, end(Which)));
    return {Which, {All.begin() + First, All.end()}, end(Which), 1, end(Which)};
  }

private:
  using Log = std::vector<KeyedRecord>;
  Log &log(Topic Which) { return Logs[static_cast<std::size_t>(Which)]; }
  const Log &log(Topic Which) const {
    return Logs[static_cast<std::size_t>(Which)];
  }

  std::array<Log, TopicCount> Logs;
};

/// Configuration with one service and one route to it.
inline constexpr const char *DeskConfigText =
    R"({"Version":"00000001","Routes":[
      {"Name":"lookup","Host":"h","PathPrefix":"/x/","Kind":"idempotent",
       "TimeoutMs":2000,"TargetLatencyMs":500,"Priority":0,"Attempts":2,
       "Service":"desk"}],
      "Services":[
      {"Name":"desk","HealthPath":"/health","ConnectionLimit":200,
       "ColdPerS":1000}]})";

/// Hosts whose addresses differ in the last part only.
inline constexpr std::size_t HostsPerSubnet = 250;

/// Returns the name of a simulated host, by its number from 0 on.
inline HostId hostName(std::size_t Index) {
  return "10.0." + std::to_string(Index / HostsPerSubnet) + "." +
         std::to_string(Index % HostsPerSubnet + 1) + ":7000";
}
/// Returns the number of a simulated host.
inline std::size_t hostIndex(const HostId &Host) {
  std::size_t Subnet = std::stoul(Host.substr(5));
  std::size_t Number = std::stoul(Host.substr(Host.rfind('.') + 1));
  return Subnet * HostsPerSubnet + Number - 1;
}

} // namespace figsail::test

#endif // FIGSAIL_TESTS_TOPICLOGS_H
