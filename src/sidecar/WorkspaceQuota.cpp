// WorkspaceQuota.cpp - Admission of an ingress's requests by the quotas of
// their workspaces.

#include "WorkspaceQuota.h"

#include "figsail/DurationLimits.h"
#include "figsail/Epoch.h"

#include <algorithm>
#include <vector>

namespace figsail {

using namespace std::chrono_literals;

/// Time between two reports to one coordinator, at least.
static constexpr Duration MinReportInterval = 100ms;
/// Time until a request is reported while its workspace is far below its limit.
static constexpr Duration RelaxedReportDelay = 1s;
/// Fraction of the granted extra requests that is reported at once.
static constexpr double ReportFraction = 0.5;
/// A coordinator without a reply for so long is not heard.
static constexpr Duration HeardTimeout = 500ms;
/// How long a coordinator is kept after the last report to it.
static constexpr Duration LinkLifetime = 10s;
/// After so long, the next host in the order is the coordinator.
static constexpr Duration SilentTimeout = 600ms;
/// Time until a silent coordinator is used again.
static constexpr Duration SilentPause = 10s;
/// Time without a request after which an open workspace's share is given back.
static constexpr Duration OpenIdleTime = 2s;
/// The same for a limited workspace: without a share, each first request would
/// be admitted beyond it.
static constexpr Duration LimitedIdleTime = 10s;
/// Requests that an ingress without a share admits before the first reply, at
/// least. A client often sends several together.
static constexpr double FirstExtra = 4;
static constexpr double FirstExtraFraction = 0.5;
/// Lowest rate from which a Retry-After is derived.
static constexpr double MinTokenRate = 1e-3;
/// Time for which a notice counts that a workspace is limited. Coordinators
/// repeat it within that time.
static constexpr Duration NoticeTime = 30s;

static double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Returns a number from 0 to 1 that is equally distributed over the hosts.
static double hostFraction(const HostId &Host, const std::string &Workspace) {
  return static_cast<double>(hashText(Workspace, hashText(Host)) >> 11) *
         0x1.0p-53;
}

HostId quotaCoordinator(const std::string &Workspace, const HostId &Self,
                        const InstanceDirectory &Directory,
                        const PeerHealth &Peers,
                        const std::map<HostId, TimePoint> &Silent) {
  std::uint64_t Seed = hashText(Workspace);
  HostId Best = Self;
  std::uint64_t Lowest = hashText(Self, Seed);
  for (const auto &[Host, Announced] : Directory.all()) {
    if (Peers.isSuspected(Host) || Silent.contains(Host))
      continue;
    std::uint64_t Hash = hashText(Host, Seed);
    if (Hash >= Lowest)
      continue;
    Lowest = Hash;
    Best = Host;
  }
  return Best;
}

/// Returns the requests that a host without a share admits before the first
/// reply: its part of half of what may be admitted at once.
double WorkspaceQuota::firstExtra(const Workspace &Of) const {
  double Quota = Of.RatePerSecond * seconds(Bounds.QuotaWindow) + Of.Burst;
  double AtOnce = Of.Burst + Quota * Bounds.QuotaOverage + Bounds.QuotaSlack;
  return std::max(FirstExtra,
                  FirstExtraFraction * AtOnce / static_cast<double>(HostCount));
}

/// Returns this host's part of the slack, in requests a second.
double WorkspaceQuota::slackRate() const {
  return Bounds.QuotaSlack / static_cast<double>(HostCount) /
         seconds(Bounds.QuotaWindow);
}

/// Returns the state of a workspace. A lowered limit lowers the share at once,
/// without a message.
WorkspaceQuota::Entry &WorkspaceQuota::find(TimePoint Now,
                                            const Workspace &Of) {
  auto [Found, Inserted] = Entries.try_emplace(Of.Name);
  Entry &Current = Found->second;
  if (Inserted) {
    auto Limit = LimitedUntil.find(Of.Name);
    Current.Limited = Limit != LimitedUntil.end() && Limit->second > Now;
    if (Limit != LimitedUntil.end())
      LimitedUntil.erase(Limit);
    Current.Extra = Current.Limited ? 0 : firstExtra(Of);
    // The buckets of all hosts begin with different fractions of a token, so
    // that together they admit the slack in one window.
    Current.Tokens.available(Now);
    Current.Tokens.configure(slackRate(), 1);
    Current.Tokens.put(hostFraction(Self, Of.Name));
    Current.LimitRate = Of.RatePerSecond;
    Current.LastReport = Now - MinReportInterval;
  }
  if (Of.RatePerSecond < Current.LimitRate) {
    double Factor = Of.RatePerSecond / Current.LimitRate;
    Current.Rate *= Factor;
    Current.Share *= Factor;
    Current.Extra = std::min(Current.Extra, FirstExtra);
  }
  Current.LimitRate = Of.RatePerSecond;
  return Current;
}

double WorkspaceQuota::currentRate(TimePoint Now, const Entry &Current) const {
  if (Current.Sequence == 0)
    return slackRate();
  if (isHeard(Now, Current))
    return Current.Rate;
  if (Now - Current.UnansweredSince < QuotaShareLifetime)
    return Current.Share;
  double EqualPart = Current.LimitRate / static_cast<double>(HostCount);
  return std::min(Current.Share, EqualPart);
}

void WorkspaceQuota::updateTokens(TimePoint Now, Entry &Current) const {
  Current.Tokens.available(Now); // Adds the tokens of the time before.
  Current.Tokens.configure(currentRate(Now, Current), Current.Burst);
}

bool WorkspaceQuota::isHeard(TimePoint Now, const Entry &Current) {
  return Current.UnansweredSince == TimePoint::max() ||
         Now - Current.UnansweredSince < HeardTimeout;
}

/// Returns the time until a token that is not promised to another client.
Duration WorkspaceQuota::timeToToken(TimePoint Now, Entry &Current) const {
  bool AwaitsGrant = isHeard(Now, Current) && !Current.Limited;
  if (AwaitsGrant)
    return MinReportInterval;
  double Rate = std::max(currentRate(Now, Current), MinTokenRate);
  Duration Token = boundedDuration(std::chrono::duration<double>(1 / Rate));
  double Missing = std::max(0.0, 1 - Current.Tokens.available(Now));
  TimePoint First =
      Now + boundedDuration(std::chrono::duration<double>(Missing / Rate));
  TimePoint Booked = std::max(First, Current.BookedUntil);
  Current.BookedUntil = std::min(Booked, Now + 2 * Token) + Token;
  return Booked - Now;
}

std::optional<Duration> WorkspaceQuota::admit(TimePoint Now,
                                              const Workspace &Of) {
  if (Of.RatePerSecond <= 0)
    return std::nullopt;
  Entry &Current = find(Now, Of);
  updateTokens(Now, Current);
  if (Current.Requested++ == 0)
    Current.FirstRequest = Now;
  Current.LastRequest = Now;
  auto Uncounted = static_cast<double>(Current.Admitted - Current.Acknowledged);
  bool Share = Current.Tokens.available(Now) >= 1;
  bool Extra = isHeard(Now, Current) && Uncounted + 1 <= Current.Extra;
  if (Share || Extra) {
    Current.Tokens.spend(Now, 1);
    ++Current.Admitted;
  }
  WakeAt = std::min(WakeAt, reportAt(Current));
  if (Share || Extra)
    return std::nullopt;
  return timeToToken(Now, Current);
}

void WorkspaceQuota::refund(TimePoint Now, const std::string &Workspace) {
  auto Found = Entries.find(Workspace);
  if (Found == Entries.end())
    return;
  Found->second.Tokens.available(Now);
  Found->second.Tokens.put(1);
  --Found->second.Admitted;
}

// Grants.

/// Debts of the local bucket end with a grant: the coordinator has counted the
/// requests and lowers the shares for them.
void WorkspaceQuota::apply(TimePoint Now, const HostId &From,
                           const QuotaGrant &Grant, Entry &Current) {
  Current.GrantedBy = From;
  Current.Sequence = Grant.Sequence;
  Current.Changed = Current.Changed || Current.Share != Grant.Share;
  Current.Rate = Grant.Rate;
  Current.Share = Grant.Share;
  Current.Burst = std::max(1.0F, Grant.Burst);
  Current.Extra = Grant.Extra;
  Current.Limited = Grant.Limited;
  Current.Interval = std::chrono::milliseconds(Grant.IntervalMillis);
  Current.Acknowledged = std::max(Current.Acknowledged, Grant.Admitted);
  Current.UnansweredSince = TimePoint::max();
  updateTokens(Now, Current);
  if (double Tokens = Current.Tokens.available(Now); Tokens < 0)
    Current.Tokens.put(-Tokens);
}

/// Keeps whether a workspace without a share here is limited. Otherwise each
/// host's first request would be admitted.
void WorkspaceQuota::noticed(TimePoint Now, const QuotaGrant &Notice) {
  auto Found = Entries.find(Notice.Workspace);
  if (Found == Entries.end()) {
    LimitedUntil.erase(Notice.Workspace);
    if (Notice.Limited)
      LimitedUntil[Notice.Workspace] = Now + NoticeTime;
    return;
  }
  Entry &Current = Found->second;
  if (Current.Sequence > 0)
    return;
  Current.Limited = Notice.Limited;
  Current.Extra = Notice.Limited ? 0 : FirstExtra;
}

void WorkspaceQuota::received(TimePoint Now, const HostId &From,
                              const QuotaReply &Message, SidecarEffects &Out) {
  Links[From].UnansweredSince = TimePoint::max();
  Silent.erase(From);
  QuotaReport Unknown;
  for (const QuotaGrant &Grant : Message.Grants) {
    if (Grant.Sequence == 0 && !Grant.Query) {
      noticed(Now, Grant);
      continue;
    }
    auto Found = Entries.find(Grant.Workspace);
    if (Found == Entries.end()) {
      QuotaUsage Released;
      Released.Workspace = Grant.Workspace;
      Released.Sequence = Grant.Sequence;
      Released.Released = true;
      Unknown.Usage.push_back(std::move(Released));
      continue;
    }
    Entry &Current = Found->second;
    // Another host may act as coordinator for some time; its grants would add
    // up with those of the one that this host reports to.
    if (!Current.Coordinator.empty() && Current.Coordinator != From)
      continue;
    Current.Asked = Current.Asked || Grant.Query;
    if (Grant.Sequence > 0)
      apply(Now, From, Grant, Current);
    WakeAt = std::min(WakeAt, reportAt(Current));
  }
  if (!Unknown.Usage.empty())
    Out.emplace_back(SendPeer{From, std::move(Unknown)});
}

// Reports.

TimePoint WorkspaceQuota::releaseAt(const Entry &Current) {
  return Current.LastRequest +
         (Current.Limited ? LimitedIdleTime : OpenIdleTime);
}

TimePoint WorkspaceQuota::reportAt(const Entry &Current) {
  if (Current.UnansweredSince != TimePoint::max())
    return Current.LastReport + HeardTimeout;
  TimePoint Due = releaseAt(Current);
  TimePoint Earliest = Current.LastReport + MinReportInterval;
  if (Current.Asked)
    return Earliest;
  if (Current.Limited) {
    bool News = Current.Requested > 0 || Current.Changed;
    Duration Pause = News ? std::max(Current.Interval, MinReportInterval) : 1s;
    return std::min(Due, Current.LastReport + Pause);
  }
  if (Current.Requested == 0)
    return Due;
  auto Uncounted = static_cast<double>(Current.Admitted - Current.Acknowledged);
  bool Urgent = Current.Sequence == 0 ||
                Uncounted >= std::max(1.0, Current.Extra * ReportFraction);
  return Urgent ? Earliest
                : std::max(Earliest, Current.FirstRequest + RelaxedReportDelay);
}

QuotaUsage WorkspaceQuota::describe(const std::string &Name,
                                    const Entry &Current, const HostId &To) {
  QuotaUsage Usage;
  Usage.Workspace = Name;
  Usage.Admitted = Current.Admitted;
  Usage.Acknowledged = Current.Acknowledged;
  Usage.Requested = Current.Requested;
  Usage.Share = static_cast<float>(Current.Share);
  Usage.Sequence = Current.GrantedBy == To ? Current.Sequence : 0;
  Usage.Limited = Current.Limited;
  return Usage;
}

/// Sets coordinators aside that do not reply.
void WorkspaceQuota::markSilent(TimePoint Now) {
  auto IsOver = [&](const auto &Item) { return Item.second <= Now; };
  std::erase_if(Silent, IsOver);
  std::erase_if(LimitedUntil, IsOver);
  for (auto &[Host, Current] : Links) {
    if (Current.UnansweredSince == TimePoint::max() ||
        Now - Current.UnansweredSince < SilentTimeout)
      continue;
    Silent[Host] = Now + SilentPause;
    Current.UnansweredSince = TimePoint::max();
  }
  std::erase_if(Links, [&](const auto &Item) {
    return Item.second.UnansweredSince == TimePoint::max() &&
           Item.second.SentAt + LinkLifetime < Now;
  });
}

void WorkspaceQuota::timer(TimePoint Now, const InstanceDirectory &Directory,
                           const PeerHealth &Peers, SidecarEffects &Out) {
  if (Now < WakeAt)
    return;
  markSilent(Now);
  WakeAt = TimePoint::max();
  std::map<HostId, QuotaReport> Reports;
  for (auto At = Entries.begin(); At != Entries.end();) {
    const std::string &Name = At->first;
    Entry &Current = At->second;
    TimePoint Due = reportAt(Current);
    if (Due > Now) {
      WakeAt = std::min(WakeAt, Due);
      ++At;
      continue;
    }
    HostId To = quotaCoordinator(Name, Self, Directory, Peers, Silent);
    TimePoint LinkFree = Links[To].SentAt + MinReportInterval;
    if (LinkFree > Now && !Reports.contains(To)) {
      WakeAt = std::min(WakeAt, LinkFree);
      ++At;
      continue;
    }
    QuotaUsage Usage = describe(Name, Current, To);
    bool Idle = releaseAt(Current) <= Now && Current.Requested == 0 &&
                !Current.Asked && Current.UnansweredSince == TimePoint::max();
    Usage.Released = Idle;
    Reports[To].Usage.push_back(std::move(Usage));
    if (Idle && Current.Limited)
      LimitedUntil[Name] = Now + NoticeTime;
    if (Idle) {
      At = Entries.erase(At);
      continue;
    }
    // The next grant comes from there.
    Current.Coordinator = To;
    Current.Requested = 0;
    Current.Changed = false;
    Current.Asked = false;
    Current.LastReport = Now;
    if (Current.UnansweredSince == TimePoint::max())
      Current.UnansweredSince = Now;
    WakeAt = std::min(WakeAt, reportAt(Current));
    ++At;
  }
  for (auto &[To, Report] : Reports) {
    bool Awaits = std::ranges::any_of(
        Report.Usage, [](const QuotaUsage &Usage) { return !Usage.Released; });
    Link &Used = Links[To];
    Used.SentAt = Now;
    if (Awaits && Used.UnansweredSince == TimePoint::max())
      Used.UnansweredSince = Now;
    Out.emplace_back(SendPeer{To, std::move(Report)});
  }
}

} // namespace figsail
