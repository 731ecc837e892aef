// Quarantine.cpp - Counting of crashes by request fingerprint.

#include "Quarantine.h"

#include <algorithm>

namespace figsail {

Suspicion Quarantine::check(TimePoint Now, std::uint64_t Fingerprint) const {
  auto Found = Entries.find(Fingerprint);
  if (Found == Entries.end())
    return Suspicion::None;
  const Entry &Known = Found->second;
  if (Known.LastCrash + Lifetime <= Now)
    return Suspicion::None;
  if (blocks(Known.Crashes, Known.Alone))
    return Suspicion::Blocked;
  return Suspicion::Suspect;
}

std::optional<SuspectReport> Quarantine::crashed(TimePoint Now,
                                                 std::uint64_t Fingerprint,
                                                 TimePoint Started,
                                                 bool Alone) {
  if (Fingerprint == 0)
    return std::nullopt;
  expire(Now);
  auto Found = Entries.find(Fingerprint);
  if (Found != Entries.end() && Started <= Found->second.LastCrash)
    return std::nullopt;
  Entry &Known = recordCrash(Now, Fingerprint);
  Known.Alone = Alone || blocks(Known.Crashes, Known.Alone);
  ++Known.Crashes;
  return reportOf(Now, Fingerprint, Known);
}

SuspectReport Quarantine::reportOf(TimePoint Now, std::uint64_t Fingerprint,
                                   const Entry &Known) {
  return {Fingerprint, Known.Crashes, Known.Alone,
          (Now - Known.LastCrash).count()};
}

std::vector<SuspectReport> Quarantine::reports(TimePoint Now,
                                               std::size_t Limit) const {
  std::vector<SuspectReport> Reports;
  for (auto At = ByOrder.rbegin(); At != ByOrder.rend(); ++At) {
    if (Reports.size() >= Limit)
      break;
    const Entry &Known = Entries.at(At->second);
    if (Known.LastCrash + Lifetime > Now)
      Reports.push_back(reportOf(Now, At->second, Known));
  }
  return Reports;
}

std::optional<SuspectReport> Quarantine::succeeded(TimePoint Now,
                                                   std::uint64_t Fingerprint) {
  // A response to a run that began earlier does not clear a blocked request.
  if (check(Now, Fingerprint) != Suspicion::Suspect)
    return std::nullopt;
  erase(Fingerprint);
  return SuspectReport{Fingerprint, 0, false, 0};
}

std::optional<SuspectReport> Quarantine::merge(TimePoint Now,
                                               const SuspectReport &Report) {
  if (Report.Fingerprint == 0)
    return std::nullopt;
  if (Report.Crashes == 0) {
    if (check(Now, Report.Fingerprint) == Suspicion::Suspect)
      erase(Report.Fingerprint);
    return std::nullopt;
  }
  expire(Now);
  // Reports are sent again to members that start. Their age keeps them from
  // extending the lifetime of what they report.
  TimePoint CrashedAt =
      Now - Duration(std::max<std::int64_t>(0, Report.AgeMicros));
  if (CrashedAt + Lifetime <= Now)
    return std::nullopt;
  auto Found = Entries.find(Report.Fingerprint);
  bool Blocks = blocks(Report.Crashes, Report.Alone);
  if (Found != Entries.end() && Found->second.Crashes > Report.Crashes) {
    Found->second.Alone = Found->second.Alone || Blocks;
    return reportOf(Now, Report.Fingerprint, Found->second);
  }
  if (Found != Entries.end())
    CrashedAt = std::max(CrashedAt, Found->second.LastCrash);
  Entry &Known = recordCrash(CrashedAt, Report.Fingerprint);
  // With equal counts, a crash without another suspect counts, since it
  // identifies the request.
  bool Blocked = blocks(Known.Crashes, Known.Alone);
  Known.Alone = Blocked || Report.Alone ||
                (Known.Crashes == Report.Crashes && Known.Alone);
  Known.Crashes = Report.Crashes;
  return std::nullopt;
}

void Quarantine::expire(TimePoint Now) {
  while (!ByOrder.empty()) {
    std::uint64_t Oldest = ByOrder.begin()->second;
    if (Entries.at(Oldest).LastCrash + Lifetime > Now)
      return;
    erase(Oldest);
  }
}

Quarantine::Entry &Quarantine::recordCrash(TimePoint Now,
                                           std::uint64_t Fingerprint) {
  Entry &Known = Entries[Fingerprint];
  ByOrder.erase(Known.Order);
  Known.Order = ++NextOrder;
  Known.LastCrash = Now;
  ByOrder[Known.Order] = Fingerprint;
  if (Entries.size() > MaxEntries)
    erase(ByOrder.begin()->second);
  return Known;
}

void Quarantine::erase(std::uint64_t Fingerprint) {
  auto Found = Entries.find(Fingerprint);
  if (Found == Entries.end())
    return;
  ByOrder.erase(Found->second.Order);
  Entries.erase(Found);
}

} // namespace figsail
