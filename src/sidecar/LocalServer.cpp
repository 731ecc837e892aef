// LocalServer.cpp - Ordering of heartbeats and leave reports.

#include "LocalServer.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// Heartbeats that look late or are not confirmed, in a row, after which their
/// server counts as the true one. A server that has crashed or left sends none.
static constexpr unsigned MinContenderHeartbeats = 3;
/// Heartbeats closer to each other count as one: a partition or a pause may
/// hold up several, which then arrive together.
static constexpr Duration MinContenderInterval = 500ms;

/// Returns whether a server whose heartbeats look late, or are not confirmed,
/// sends one after the other, while no other server reports.
///
/// Fault: another writer leaves one heartbeat with the highest start or
/// sequence number. All heartbeats of the true server look late after it.
bool LocalServer::keepsReporting(TimePoint Now, const ServerHeartbeat &Report) {
  bool Same = Late && Late->Last.Instance == Report.Instance &&
              Late->Last.StartMillis == Report.StartMillis;
  if (!Same) {
    Late = Contender{Report, Now, 1};
    return false;
  }
  if (Report.Sequence <= Late->Last.Sequence ||
      Now - Late->At < MinContenderInterval)
    return false;
  Late = Contender{Report, Now, Late->Heartbeats + 1};
  return Late->Heartbeats >= MinContenderHeartbeats;
}

static bool isUsable(const ServerHeartbeat &Report) {
  return !Report.Instance.empty() && !Report.Service.empty() &&
         Report.Slots > 0;
}

/// Returns whether the server of a heartbeat has left without having been the
/// present one.
bool LocalServer::hasLeft(const ServerHeartbeat &Report) const {
  return Report.Instance == LeftInstance &&
         (LeftStartMillis == 0 || Report.StartMillis <= LeftStartMillis);
}

bool LocalServer::mustConfirm(TimePoint Now, const ServerHeartbeat &Report) {
  bool OnlyCloses = Report.Draining || hasLeft(Report) || !isUsable(Report);
  if (!Instance.empty() || OnlyCloses)
    return false;
  return !keepsReporting(Now, Report);
}

ReportVerdict LocalServer::heartbeat(TimePoint Now,
                                     const ServerHeartbeat &Report) {
  if (!isUsable(Report))
    return ReportVerdict::Invalid;
  bool SameStart = Report.StartMillis == StartMillis || StartMillis == 0;
  bool SameIncarnation = SameStart && Report.Instance == Instance;
  if ((SameIncarnation && LeftForGood) || hasLeft(Report))
    return ReportVerdict::Stale;
  bool LooksLate = Report.StartMillis < StartMillis ||
                   (SameIncarnation && Report.Sequence <= Sequence);
  if (LooksLate && !keepsReporting(Now, Report))
    return ReportVerdict::Stale;
  Late.reset();
  // Draining is final within one incarnation, also after a silence.
  Leaving = Report.Draining || (SameIncarnation && Leaving);
  InstanceState Next = Leaving ? InstanceState::Draining : InstanceState::Ready;
  // A recovered server may have been announced without its version.
  bool OtherVersion = !Version.empty() && Report.Version != Version;
  bool Changed = !SameIncarnation || Next != State || OtherVersion ||
                 Report.Service != Service || Report.Slots != Slots;
  Instance = Report.Instance;
  Service = Report.Service;
  Slots = Report.Slots;
  Version = Report.Version;
  StartMillis = Report.StartMillis;
  Sequence = Report.Sequence;
  LeftForGood = false;
  State = Next;
  LastReportAt = Now;
  ColdUntil = Now + Report.Cold;
  return Changed ? ReportVerdict::Changed : ReportVerdict::Unchanged;
}

ReportVerdict LocalServer::leave(const ServerLeave &Report) {
  if (Instance.empty())
    return leaveBeforeHeartbeat(Report);
  if (Report.Instance != Instance) {
    // The first heartbeat of a later server may arrive after its leave.
    if (Report.StartMillis > std::max(StartMillis, LeftStartMillis))
      leaveBeforeHeartbeat(Report);
    return ReportVerdict::Stale;
  }
  if (Report.StartMillis != 0 && Report.StartMillis < StartMillis)
    return ReportVerdict::Stale;
  bool Changed = State != InstanceState::Absent || !LeftForGood;
  State = InstanceState::Absent;
  LeftForGood = true;
  return Changed ? ReportVerdict::Changed : ReportVerdict::Unchanged;
}

/// The first that this daemon hears of a server is that it leaves. That has to
/// be announced, since the next daemon may get a late heartbeat.
ReportVerdict LocalServer::leaveBeforeHeartbeat(const ServerLeave &Report) {
  bool Known = Report.Instance == LeftInstance &&
               (Report.StartMillis == LeftStartMillis || LeftStartMillis == 0);
  LeftInstance = Report.Instance;
  LeftStartMillis = Report.StartMillis;
  return Known ? ReportVerdict::Unchanged : ReportVerdict::Changed;
}

void LocalServer::recover(TimePoint Now, const AnnouncedServer &Announced) {
  if (!Instance.empty() || Announced.Instance == LeftInstance)
    return;
  Instance = Announced.Instance;
  StartMillis = Announced.StartMillis;
  Service = Announced.Service;
  Slots = Announced.Slots;
  Version = Announced.Version;
  State = InstanceState::Ready;
  LastReportAt = Now;
}

bool LocalServer::setLeaving() {
  if (Instance.empty() || leaving())
    return false;
  Leaving = true;
  if (State == InstanceState::Ready)
    State = InstanceState::Draining;
  return true;
}

void LocalServer::rememberLeft(const ServerIncarnation &Gone) {
  if (Gone.maybeSameAs(incarnation())) {
    setLeaving();
    return;
  }
  // A leave that this daemon has acknowledged itself is the newer one.
  if (!Instance.empty() || !LeftInstance.empty())
    return;
  LeftInstance = Gone.Instance;
  LeftStartMillis = Gone.StartMillis;
}

void LocalServer::setCold(TimePoint Now, Duration Remaining) {
  ColdUntil = Now + Remaining;
}

bool LocalServer::expire(TimePoint Now, Duration Silence) {
  if (State == InstanceState::Absent || Now - LastReportAt < Silence)
    return false;
  State = InstanceState::Absent;
  return true;
}

} // namespace figsail
