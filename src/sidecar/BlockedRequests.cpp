// BlockedRequests.cpp - Records of requests that crash servers.

#include "BlockedRequests.h"

#include "figsail/Epoch.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <sstream>
#include <stdexcept>

namespace figsail {

namespace json = boost::json;
using namespace std::chrono_literals;

/// Bound on the known records of all services. Each was written after two
/// crashes.
static constexpr std::size_t MaxEntries = 4096;
/// Bound on the records of one service in the store.
static constexpr std::size_t MaxStoredPerService = 64;
/// Longest name of a service, in bytes.
static constexpr std::size_t MaxTextBytes = 1024;
/// Time between the turns of two daemons. Longer than the time in which one
/// reads what another has appended.
static constexpr Duration TurnTime = 1s;
/// Delay of the daemons of other services, which remove a record only if the
/// record's service has no daemon left that does.
static constexpr Duration OtherServicesDelay = 1min;
/// Time after which an append is tried again.
static constexpr Duration RetryPause = 1s;

BlockedRequest blockedRequest(const std::string &Service,
                              std::uint64_t Fingerprint) {
  // The key of a record has at most 255 bytes, a name may have more.
  std::ostringstream Key;
  Key << BlockedKeyPrefix << std::hex << std::setfill('0') << std::setw(16)
      << hashText(Service, Fingerprint);
  return {std::move(Key).str(), Service, Fingerprint, true};
}

std::string encodeBlockedRequest(const BlockedRequest &Record) {
  json::object Value;
  Value["service"] = Record.Service;
  Value["fingerprint"] = Record.Fingerprint;
  return json::serialize(Value);
}

std::optional<BlockedRequest> decodeBlockedRequest(const std::string &Key,
                                                   std::string_view Text) {
  boost::system::error_code Error;
  json::value Value = json::parse(json::string_view(Text), Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  try {
    const json::object &Record = Value.as_object();
    const json::string &Service = Record.at("service").as_string();
    if (Service.size() > MaxTextBytes)
      return std::nullopt;
    BlockedRequest Read =
        blockedRequest(std::string(Service),
                       Record.at("fingerprint").to_number<std::uint64_t>());
    return Read.Key == Key ? std::optional(Read) : std::nullopt;
  } catch (const std::exception &) {
    return std::nullopt; // A field is missing or of another type.
  }
}

void BlockedRequests::setTurn(std::string Service, std::size_t InService,
                              std::size_t InAll) {
  OwnService = std::move(Service);
  ServiceDelay = TurnTime * (InService + 1);
  FleetDelay = OtherServicesDelay + TurnTime * InAll;
  updateNextDue();
}

void BlockedRequests::apply(TimePoint Now, const BlockedRequest &Record) {
  auto Known = Entries.find(Record.Key);
  if (Record.Active) {
    if (Known == Entries.end() && Entries.size() < MaxEntries)
      Known = Entries.emplace(Record.Key, Entry{Record, Now + Lifetime}).first;
    if (Known != Entries.end())
      Known->second.Stored = true;
    return updateNextDue();
  }
  if (Known == Entries.end())
    return;
  Entry &State = Known->second;
  // The record has expired for the daemon that removed it, or the store was
  // restored from an older copy. This daemon may know of a newer crash.
  if (!State.KnowsCrash || Now >= State.ExpiresAt) {
    Entries.erase(Known);
    return updateNextDue();
  }
  State.Stored = false;
  State.AppendAt = Now + ServiceDelay;
  updateNextDue();
}

void BlockedRequests::block(TimePoint Now, std::uint64_t Fingerprint,
                            Duration Age, bool Counted) {
  TimePoint ExpiresAt = Now - Age + Lifetime;
  BlockedRequest Record = blockedRequest(OwnService, Fingerprint);
  auto Known = Entries.find(Record.Key);
  if (OwnService.empty() || ExpiresAt <= Now ||
      (Known == Entries.end() && Entries.size() >= MaxEntries))
    return;
  if (Known == Entries.end())
    Known = Entries.emplace(Record.Key, Entry{Record, ExpiresAt}).first;
  Entry &State = Known->second;
  // A record that was read says nothing of the age.
  State.ExpiresAt =
      State.KnowsCrash ? std::max(State.ExpiresAt, ExpiresAt) : ExpiresAt;
  State.KnowsCrash = true;
  State.AppendAt = std::min(State.AppendAt, Counted ? Now : Now + ServiceDelay);
  updateNextDue();
}

bool BlockedRequests::contains(TimePoint Now, const std::string &Service,
                               std::uint64_t Fingerprint) const {
  if (Entries.empty())
    return false;
  auto Known = Entries.find(blockedRequest(Service, Fingerprint).Key);
  return Known != Entries.end() && Now < Known->second.ExpiresAt;
}

/// Returns whether the store has as many records of the service as it may.
bool BlockedRequests::isFull(const std::string &Service) const {
  auto Stored = std::ranges::count_if(Entries, [&](const auto &Item) {
    return Item.second.Stored && Item.second.Record.Service == Service;
  });
  return static_cast<std::size_t>(Stored) >= MaxStoredPerService;
}

/// Returns when the record has to be appended or removed.
TimePoint BlockedRequests::dueAt(const Entry &State) const {
  bool Own = State.Record.Service == OwnService;
  TimePoint RemoveAt = State.ExpiresAt + (Own ? ServiceDelay : FleetDelay);
  TimePoint Due = State.Stored ? RemoveAt : State.AppendAt;
  return std::max(Due, State.RetryAt);
}

void BlockedRequests::updateNextDue() {
  NextDue = TimePoint::max();
  for (const auto &[Key, State] : Entries)
    NextDue = std::min(NextDue, dueAt(State));
}

std::optional<BlockedRequest> BlockedRequests::takeDue(TimePoint Now) {
  if (Now < NextDue)
    return std::nullopt;
  std::erase_if(Entries, [&](const auto &Item) {
    return !Item.second.Stored && Now >= Item.second.ExpiresAt;
  });
  std::optional<BlockedRequest> Due;
  for (auto &[Key, State] : Entries) {
    if (Due || Now < dueAt(State))
      continue;
    State.RetryAt = Now + RetryPause;
    if (!State.Stored && isFull(State.Record.Service))
      continue;
    Due = State.Record;
    Due->Active = !State.Stored;
  }
  updateNextDue();
  return Due;
}

void BlockedRequests::appended(const BlockedRequest &Record) {
  auto Known = Entries.find(Record.Key);
  if (Known == Entries.end())
    return;
  if (Record.Active)
    Known->second.Stored = true;
  else
    Entries.erase(Known);
  updateNextDue();
}

void BlockedRequests::storeRestored(TimePoint Now) {
  for (auto &[Key, State] : Entries) {
    if (!State.KnowsCrash)
      continue;
    State.Stored = false;
    State.AppendAt = Now + ServiceDelay;
  }
  updateNextDue();
}

} // namespace figsail
