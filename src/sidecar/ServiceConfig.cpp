// ServiceConfig.cpp - Lookup of routes by host and longest path prefix, and of
// workspaces by key.

#include "ServiceConfig.h"

#include <algorithm>
#include <numeric>

namespace figsail {

/// Bound on the stored schedules. Those of deleted routes are not removed one
/// by one.
static constexpr std::size_t MaxSchedules = 65536;

static std::string normalizedHost(std::string_view Host) {
  std::string Name(Host.substr(0, Host.find(':')));
  std::ranges::transform(Name, Name.begin(), [](unsigned char Byte) {
    return Byte >= 'A' && Byte <= 'Z' ? static_cast<char>(Byte + 32)
                                      : static_cast<char>(Byte);
  });
  return Name;
}

void ServiceConfig::add(ServiceRoute Route) {
  Route.Host = normalizedHost(Route.Host);
  auto Shared = std::make_shared<const ServiceRoute>(std::move(Route));
  RoutePtr &Slot = Hosts[Shared->Host][Shared->PathPrefix];
  if (!Slot)
    ++RouteCount;
  Slot = std::move(Shared);
}

void ServiceConfig::add(ServiceSettings Service) {
  std::string Name = Service.Name;
  Services.insert_or_assign(std::move(Name), std::move(Service));
}

bool ServiceConfig::add(Workspace Added, const std::vector<KeyDigest> &Keys) {
  auto Shared = std::make_shared<const Workspace>(std::move(Added));
  bool NewName = Workspaces.try_emplace(Shared->Name, Shared).second;
  if (!NewName)
    return false;
  return std::ranges::all_of(Keys, [&](const KeyDigest &Key) {
    return ByKey.try_emplace(Key, Shared).first->second == Shared;
  });
}

WorkspacePtr ServiceConfig::findWorkspaceNamed(const std::string &Name) const {
  auto Found = Workspaces.find(Name);
  return Found == Workspaces.end() ? nullptr : Found->second;
}

WorkspacePtr ServiceConfig::findWorkspace(const KeyDigest &Key) const {
  auto Found = ByKey.find(Key);
  return Found == ByKey.end() ? nullptr : Found->second;
}

RoutePtr ServiceConfig::findRoute(std::string_view Host,
                                  std::string_view Target) const {
  auto Found = Hosts.find(normalizedHost(Host));
  if (Found == Hosts.end())
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  // Every route prefix ends with a slash, so only the parts of the path up to a
  // slash can match one.
  for (std::size_t End = Path.rfind('/'); End != std::string_view::npos;
       End = End == 0 ? std::string_view::npos : Path.rfind('/', End - 1)) {
    auto Match = Found->second.find(Path.substr(0, End + 1));
    if (Match != Found->second.end())
      return Match->second;
  }
  return nullptr;
}

const ServiceSettings *
ServiceConfig::findService(const std::string &Name) const {
  auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : &Found->second;
}

static bool sameParts(const std::vector<SplitPart> &Left,
                      const std::vector<SplitPart> &Right) {
  return std::ranges::equal(
      Left, Right, [](const SplitPart &One, const SplitPart &Other) {
        return One.Service == Other.Service && One.Weight == Other.Weight;
      });
}

const std::string &SplitSchedule::next(const ServiceRoute &Route) {
  if (Route.Parts.size() == 1)
    return Route.Parts.front().Service;
  if (Entries.size() >= MaxSchedules)
    Entries.clear();
  Entry &Schedule = Entries[Route.Name];
  if (!sameParts(Schedule.Parts, Route.Parts))
    Schedule = {Route.Parts, std::vector<double>(Route.Parts.size(), 0)};
  double Total = 0;
  for (std::size_t I = 0; I < Route.Parts.size(); ++I) {
    Schedule.Credits[I] += Route.Parts[I].Weight;
    Total += Route.Parts[I].Weight;
  }
  auto Best = std::ranges::max_element(Schedule.Credits);
  *Best -= Total;
  return Route.Parts[static_cast<std::size_t>(Best - Schedule.Credits.begin())]
      .Service;
}

} // namespace figsail
