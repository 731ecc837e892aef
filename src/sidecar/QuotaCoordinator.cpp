// QuotaCoordinator.cpp - Division of the quotas of workspaces among ingresses.

#include "QuotaCoordinator.h"

#include "WorkspaceQuota.h"

#include "figsail/Epoch.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace figsail {

using namespace std::chrono_literals;

/// Time without a report after which an ingress counts as using all that it
/// holds. Reports are at most 2 s apart while there are requests.
static constexpr Duration SilentTime = 2500ms;
/// Time between two queries of a silent ingress, and between timer runs.
static constexpr Duration QueryInterval = 1s;
/// Time that a new coordinator waits for the reports of all hosts.
static constexpr Duration LearningTime = 5s;
/// Time after which an unreachable side of a partition keeps to its equal part:
/// a coordinator that took over there, and each ingress without one.
static constexpr Duration EqualPartTime = QuotaShareLifetime;
/// Time after which this side counts on that. The two sides do not find out at
/// the same moment.
static constexpr Duration UnreachableTime = EqualPartTime + 2s;
/// Time until hosts have replied to the first query.
static constexpr Duration QueryTime = 300ms;
/// Time in which a host that the first query cannot reach is found out. One
/// that is lost later was asked for its share.
static constexpr Duration QueryFailureTime = 2s;
/// Hosts of a system in which a coordinator asks all for their shares and tells
/// all that a workspace is limited. In a larger one it tells those with shares.
static constexpr std::size_t MaxNoticedHosts = 256;
/// Time between two notices that a workspace is limited.
static constexpr Duration NoticeInterval = 10s;
/// Time for which a workspace is kept whose shares have all been given back.
static constexpr Duration IdleTime = 60s;
/// Time constant of the average demand of an ingress.
static constexpr Duration DemandTime = 500ms;
/// Time in which the requests of a first report count as made.
static constexpr Duration FirstDemandTime = 2s;
/// Time between two divisions of a quota.
static constexpr Duration DivisionInterval = 100ms;
/// Reports a second of all ingresses for one limited workspace. A coordinator
/// with a tenth of a core counts them with 1% of it.
static constexpr double MaxReportsPerSecond = 200;
static constexpr Duration MinReportInterval = 100ms;
static constexpr Duration MaxReportInterval = 1s;
/// Fraction of the overage and slack that is added to the burst. It covers
/// the unevenness of arrivals; the remainder covers the delay of reports.
static constexpr double BurstHeadroomFraction = 0.5;
/// The same for requests that are not counted yet.
static constexpr double ExtraHeadroomFraction = 0.5;
/// Bounds of the change of the rate that is given out. What ingresses leave
/// unused is given out in addition, and what was admitted beyond is repaid.
static constexpr double MaxRateRaise = 1;
static constexpr double MaxRateCut = 0.7;
/// Time in which a negative balance is repaid.
static constexpr Duration RepayTime = 1s;
/// Factor on the uncounted requests of all ingresses, which rarely use them up
/// together.
static constexpr double ExtraFactor = 2;
/// Fraction of the burst below which a workspace is limited, and that above
/// which it no longer is.
static constexpr double LimitedBelow = 0.1;
static constexpr double OpenAbove = 0.5;
/// Time in which requests are counted and all ingresses hear of it. A workspace
/// that would use up its burst within it is limited.
static constexpr Duration ReportDelay = 200ms;
/// Factor on the demand of an ingress that is satisfied.
static constexpr double DemandMargin = 1.25;
/// Demand that counts for each ingress with requests, in requests a second.
static constexpr double MinDemand = 0.02;
/// Part of the uncounted requests that is divided equally.
static constexpr double EqualPart = 0.5;
/// Fewest uncounted requests of an ingress.
static constexpr double MinExtra = 4;
/// 2^64 over the golden ratio: spreads successive grants evenly.
static constexpr std::uint64_t GoldenRatio = 0x9e3779b97f4a7c15ULL;

static double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

std::size_t QuotaCoordinator::size() const {
  std::size_t Count = 0;
  for (const auto &[Name, Current] : Pools)
    Count += Current.Shares.size();
  return Count;
}

bool QuotaCoordinator::isSilent(TimePoint Now, const Share &Held) {
  return Held.Reserved > 0 && Now - Held.HeardAt > SilentTime;
}

double QuotaCoordinator::headroom(const Pool &Current) const {
  double Quota = Current.Of->RatePerSecond * seconds(Bounds.QuotaWindow) +
                 Current.Of->Burst;
  return Quota * Bounds.QuotaOverage + Bounds.QuotaSlack;
}

/// Returns what hosts that have not reported, or are unreachable, hold in
/// addition to what is reserved for them, if each holds an equal part.
double QuotaCoordinator::missing(const QuotaStep &Step, const Pool &Current,
                                 bool Learning) {
  double Missing = 0;
  double Part = Current.Of->RatePerSecond /
                static_cast<double>(Step.Directory.all().size());
  for (const auto &[Host, Announced] : Step.Directory.all()) {
    bool Unheard = Learning && Current.Awaited.contains(Host);
    if (!Unheard && !Step.Peers.isSuspected(Host))
      continue;
    auto Found = Current.Shares.find(Host);
    double Held = Found == Current.Shares.end() ? 0 : Found->second.Reserved;
    Missing += std::max(0.0, Part - Held);
  }
  return Missing;
}

/// Returns what is known of the hosts that have not reported.
QuotaCoordinator::UnheardHosts
QuotaCoordinator::unheardHosts(const QuotaStep &Step, const Pool &Current) {
  UnheardHosts Unheard;
  Duration Age = Step.Now - Current.Since;
  for (const HostId &Host : Current.Awaited) {
    if (!Step.Peers.isSuspected(Host)) {
      Unheard.AnyReachable = true;
      continue;
    }
    Duration Time = Step.Peers.suspectedFor(Step.Now, Host);
    bool WasAsked = Age > Time + QueryFailureTime;
    if (!WasAsked)
      Unheard.UnreachableFor = std::min(Unheard.UnreachableFor, Time);
  }
  return Unheard;
}

/// Returns the rate that this coordinator may give out, with the charges of
/// silent ingresses. It is less than the quota while other hosts may hold
/// shares that it does not know: it lacks an equal part for each host that has
/// not reported or is unreachable, since these may have a coordinator of their
/// own. If another coordinator has given out shares, they may hold more for
/// some time, and the rate is what ingresses have brought along or hold.
double QuotaCoordinator::budget(const QuotaStep &Step,
                                const Pool &Current) const {
  double Rate = Current.Of->RatePerSecond;
  Duration Age = Step.Now - Current.Since;
  UnheardHosts Unheard = unheardHosts(Step, Current);
  bool Learning = Unheard.AnyReachable && Age < LearningTime;
  if (!Current.Taken && Learning && Age < QueryTime)
    return Rate;
  double Equal = std::max(0.0, Rate - missing(Step, Current, Learning));
  if (!Current.Taken)
    return Equal;
  double Reserved = 0;
  for (const auto &[Host, Held] : Current.Shares)
    Reserved += Held.Reserved;
  double Brought = std::min(Rate, std::max(Current.Acquired, Reserved));
  if (Learning || Unheard.UnreachableFor < EqualPartTime)
    return Brought;
  return Unheard.UnreachableFor < UnreachableTime ? std::min(Brought, Equal)
                                                  : Equal;
}

/// Returns the largest balance.
double QuotaCoordinator::capacity(const Pool &Current) const {
  return (Current.Of->Burst + headroom(Current) * BurstHeadroomFraction) *
         Current.Budget / Current.Of->RatePerSecond;
}

/// Adds the tokens since the last call. Silent ingresses are charged what they
/// hold.
void QuotaCoordinator::refill(const QuotaStep &Step, Pool &Current) const {
  TimePoint Now = Step.Now;
  if (Now - Current.BudgetAt >= DivisionInterval) {
    Current.BudgetAt = Now;
    Current.Budget = budget(Step, Current);
  }
  double Gained = Current.Budget * seconds(Now - Current.BalanceAt);
  Current.Balance = std::min(capacity(Current), Current.Balance + Gained);
  Current.BalanceAt = Now;
  for (auto &[Host, Held] : Current.Shares) {
    if (!isSilent(Now, Held))
      continue;
    double Charge = Held.Reserved * seconds(Now - Held.ChargedUntil);
    Held.ChargedUntil = Now;
    Held.ChargedSilent += Charge;
    Current.Balance -= Charge;
  }
  // More debt than that cannot have been admitted.
  Current.Balance = std::max(Current.Balance, -headroom(Current));
}

/// Returns the state of a workspace. If the first report shows that there was
/// another coordinator, nothing is known of the balance.
QuotaCoordinator::Pool &QuotaCoordinator::find(QuotaStep &Step,
                                               const Workspace &Of,
                                               const QuotaUsage &First) {
  auto [Found, Inserted] = Pools.try_emplace(Of.Name);
  Pool &Current = Found->second;
  Current.Of = &Of;
  if (!Inserted)
    return Current;
  Current.Since = Step.Now;
  Current.BalanceAt = Step.Now;
  Current.Limited = First.Limited;
  Current.Taken = First.Share > 0;
  Current.Budget = Current.Taken ? 0 : Of.RatePerSecond;
  Current.Balance = capacity(Current);
  for (const auto &[Host, Announced] : Step.Directory.all())
    Current.Awaited.insert(Host);
  queryAwaited(Step, Of.Name, Current);
  return Current;
}

/// Asks the hosts that have not reported for their shares. A host that holds
/// none gives it back.
void QuotaCoordinator::queryAwaited(QuotaStep &Step, const std::string &Name,
                                    const Pool &Current) {
  if (Current.Awaited.size() > MaxNoticedHosts)
    return;
  for (const HostId &Host : Current.Awaited) {
    QuotaReply Message;
    QuotaGrant &Query = Message.Grants.emplace_back();
    Query.Workspace = Name;
    Query.Query = true;
    Step.Out.emplace_back(SendPeer{Host, std::move(Message)});
  }
}

/// Tells the hosts without a share whether the workspace is limited.
void QuotaCoordinator::noticeOthers(QuotaStep &Step, Pool &Current) {
  Current.NoticedAt = Step.Now;
  if (Step.Directory.all().size() > MaxNoticedHosts)
    return;
  for (const auto &[Host, Announced] : Step.Directory.all()) {
    if (Current.Shares.contains(Host) || Step.Peers.isSuspected(Host))
      continue;
    QuotaReply Message;
    QuotaGrant &Notice = Message.Grants.emplace_back();
    Notice.Workspace = Current.Of->Name;
    Notice.Limited = Current.Limited;
    Step.Out.emplace_back(SendPeer{Host, std::move(Message)});
  }
}

/// Counts what an ingress reports.
void QuotaCoordinator::count(QuotaStep &Step, Pool &Current,
                             const PeerRef &From, const QuotaUsage &Usage) {
  Current.Awaited.erase(From.Host);
  auto [Found, Inserted] = Current.Shares.try_emplace(From.Host);
  Share &Held = Found->second;
  if (!Inserted && Held.Inc != From.Inc) {
    Held = Share();
    Inserted = true;
  }
  std::int64_t Known = Inserted ? Usage.Acknowledged : Held.Admitted;
  // A counter that went back: the ingress has dropped its state meanwhile.
  if (!Inserted && Usage.Acknowledged == 0 && Usage.Sequence == 0)
    Known = 0;
  // The ingress answers a grant for a workspace that it has dropped.
  bool Dropped =
      Usage.Released && Usage.Acknowledged == 0 && Usage.Admitted == 0;
  if (Dropped)
    Known = 0;
  auto News = static_cast<double>(Usage.Admitted - Known);
  Current.Balance -= News - Held.ChargedSilent;
  Held.ChargedSilent = 0;
  Duration Elapsed = Inserted ? FirstDemandTime : Step.Now - Held.HeardAt;
  double Span = std::max(seconds(Elapsed), 1e-3);
  double Weight = 1 - std::exp(-Span / seconds(DemandTime));
  Held.Demand += (Usage.Requested / Span - Held.Demand) * Weight;
  bool Confirms =
      Inserted || Usage.Sequence == 0 || Usage.Sequence == Held.Sequence;
  auto Rate = static_cast<double>(Usage.Share);
  if (Usage.Sequence == 0 && Rate > 0) {
    Current.Taken = true;
    Current.Acquired += Rate - Held.Reserved;
  }
  Held.Reserved = Confirms ? Rate : std::max(Held.Reserved, Rate);

  Held.Inc = From.Inc;
  Held.Admitted = Usage.Admitted;
  Held.HeardAt = Held.ChargedUntil = Step.Now;
  Current.UsedAt = Step.Now;
  if (Usage.Released)
    Current.Shares.erase(Found);
}

/// Decides whether the workspace is limited: its balance is used up, and
/// remains so until the demand is below the rate and the balance has recovered.
void QuotaCoordinator::updateState(TimePoint Now, Pool &Current) const {
  double Demand = 0;
  for (const auto &[Host, Held] : Current.Shares)
    if (!isSilent(Now, Held))
      Demand += Held.Demand;
  double Capacity = capacity(Current);
  double Excess = std::max(0.0, Demand - Current.Of->RatePerSecond);
  if (!Current.Limited)
    Current.Limited = Current.Balance <
                      Capacity * LimitedBelow + Excess * seconds(ReportDelay);
  else if (Demand < Current.Of->RatePerSecond)
    Current.Limited = Current.Balance < Capacity * OpenAbove;
}

/// Returns the factor on the rate that is given out.
double QuotaCoordinator::correction(const Pool &Current) const {
  if (!Current.Limited)
    return 1;
  double Capacity = capacity(Current);
  if (Current.Balance >= 0)
    return Capacity > 0 ? 1 + MaxRateRaise * Current.Balance / Capacity : 1;
  double Repaid = Current.Of->RatePerSecond * seconds(RepayTime);
  return 1 - std::min(MaxRateCut, -Current.Balance / Repaid);
}

/// Returns the level above which demands are cut, so that they add up to Total.
static double fairLevel(std::vector<double> Demands, double Total) {
  std::ranges::sort(Demands);
  std::size_t Left = Demands.size();
  for (double Demand : Demands) {
    if (Demand * static_cast<double>(Left) >= Total)
      return Total / static_cast<double>(Left);
    Total -= Demand;
    --Left;
  }
  return Demands.empty() ? 0 : Demands.back();
}

/// Divides the rate among the heard ingresses, max-min fair by demand. What
/// remains of a limited workspace's rate is added in proportion. That of an
/// open one is kept: it would stay reserved if its holder were lost.
void QuotaCoordinator::divide(const QuotaStep &Step, Pool &Current) const {
  TimePoint Now = Step.Now;
  if (Now - Current.DividedAt < DivisionInterval)
    return;
  Current.DividedAt = Now;
  double Total = Current.Budget;
  std::vector<double> Demands;
  for (const auto &[Host, Held] : Current.Shares) {
    if (isSilent(Now, Held))
      Total -= Held.Reserved;
    else
      Demands.push_back(std::max(Held.Demand, MinDemand) * DemandMargin);
  }
  Total = std::max(Total, 0.0);
  double Level = fairLevel(Demands, Total);
  double Sum = 0;
  for (double Demand : Demands)
    Sum += std::min(Demand, Level);
  double Factor = Current.Limited && Sum > 0 ? std::max(1.0, Total / Sum) : 1;
  for (auto &[Host, Held] : Current.Shares)
    if (!isSilent(Now, Held))
      Held.Target =
          std::min(std::max(Held.Demand, MinDemand) * DemandMargin, Level) *
          Factor;
}

/// Returns the number of requests of an ingress that may be uncounted. Those of
/// a limited workspace are what is left of its balance, in whole requests: an
/// ingress with few requests gets one with some of the grants.
double QuotaCoordinator::extra(const QuotaStep &Step, const Pool &Current,
                               const HostId &To, const Share &Held,
                               double AllDemand) const {
  auto Hosts = static_cast<double>(
      std::max<std::size_t>(1, Step.Directory.all().size()));
  double Equal = EqualPart / Hosts;
  // The first reports after a start show a small part of the demand.
  double Whole = std::max(AllDemand, Current.Of->RatePerSecond);
  double Weight =
      Equal + (1 - EqualPart) * std::max(Held.Demand, MinDemand) / Whole;
  double Left = std::max(0.0, Current.Balance);
  if (!Current.Limited)
    return std::max(MinExtra,
                    ExtraFactor * Weight *
                        (Left + headroom(Current) * ExtraHeadroomFraction));
  std::uint64_t Turn = hashText(To) + Held.Sequence * GoldenRatio;
  double Fraction = static_cast<double>(Turn >> 11) * 0x1.0p-53;
  return std::floor(Left * Weight + Fraction);
}

/// Builds the grant for an ingress and reserves its share.
QuotaGrant QuotaCoordinator::grant(QuotaStep &Step, Pool &Current,
                                   const HostId &To) {
  divide(Step, Current);
  Share &Held = Current.Shares.at(To);
  double Reserved = 0;
  double Demand = 0;
  for (const auto &[Host, Other] : Current.Shares) {
    Reserved += Other.Reserved;
    Demand += std::max(Other.Demand, MinDemand);
  }
  double Free = std::max(0.0, Current.Budget - Reserved);
  double Granted = std::min(Held.Target, Held.Reserved + Free);
  if (isSilent(Step.Now, Held))
    Granted = Held.Reserved;
  Held.Reserved = std::max(Held.Reserved, Granted);
  double Part = Granted / Current.Of->RatePerSecond;
  QuotaGrant Grant;
  Grant.Workspace = Current.Of->Name;
  Grant.Admitted = Held.Admitted;
  Grant.Sequence = ++Held.Sequence;
  Grant.Rate = static_cast<float>(Held.Target * correction(Current));
  Grant.Share = static_cast<float>(Granted);
  Grant.Burst = static_cast<float>(Current.Of->Burst * Part);
  Grant.Extra = static_cast<float>(extra(Step, Current, To, Held, Demand));
  Grant.Limited = Current.Limited;
  auto Interval =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(Current.Shares.size()) / MaxReportsPerSecond));
  Interval = std::clamp(Interval, MinReportInterval, MaxReportInterval);
  Grant.IntervalMillis = static_cast<std::uint32_t>(Interval / 1ms);
  return Grant;
}

/// Tells all ingresses that a workspace has become limited. Those that report
/// less often would admit beyond their shares until then.
void QuotaCoordinator::limitAll(QuotaStep &Step, Pool &Current,
                                const HostId &But) {
  Current.DividedAt = TimePoint{};
  for (const auto &[Host, Held] : Current.Shares)
    if (Host != But && !isSilent(Step.Now, Held))
      Step.Out.emplace_back(
          SendPeer{Host, QuotaReply{{grant(Step, Current, Host)}}});
}

/// Logs that a workspace has become limited, or no longer is, and how much of
/// its quota is given out.
void QuotaCoordinator::logState(QuotaStep &Step, const Pool &Current) {
  auto Unreachable =
      std::ranges::count_if(Current.Awaited, [&](const HostId &Host) {
        return Step.Peers.isSuspected(Host);
      });
  Decision Line{Current.Limited ? LogLevel::Warning : LogLevel::Info,
                Current.Limited ? "quota-limited" : "quota-open",
                {}};
  Line.Fields = {{"workspace", Current.Of->Name},
                 {"balance", std::to_string(Current.Balance)},
                 {"hosts", std::to_string(Current.Shares.size())},
                 {"rate", std::to_string(Current.Of->RatePerSecond)},
                 {"given_out", std::to_string(Current.Budget)},
                 {"taken_over", Current.Taken ? "yes" : "no"},
                 {"awaited", std::to_string(Current.Awaited.size())},
                 {"unreachable", std::to_string(Unreachable)}};
  Step.Out.emplace_back(std::move(Line));
}

void QuotaCoordinator::received(QuotaStep &Step, const PeerRef &From,
                                const QuotaReport &Message) {
  WakeAt = std::min(WakeAt, Step.Now + QueryInterval);
  QuotaReply Reply;
  for (const QuotaUsage &Usage : Message.Usage) {
    const Workspace *Of = Step.Find(Usage.Workspace);
    if (!Of || Of->RatePerSecond <= 0)
      continue;
    Pool &Current = find(Step, *Of, Usage);
    refill(Step, Current);
    count(Step, Current, From, Usage);
    bool Before = Current.Limited;
    updateState(Step.Now, Current);
    if (Current.Limited != Before)
      logState(Step, Current);
    if (Current.Limited && !Before)
      limitAll(Step, Current, From.Host);
    if (Current.Limited != Before)
      noticeOthers(Step, Current);
    if (!Usage.Released)
      Reply.Grants.push_back(grant(Step, Current, From.Host));
  }
  if (!Reply.Grants.empty())
    Step.Out.emplace_back(SendPeer{From.Host, std::move(Reply)});
}

void QuotaCoordinator::hostRemoved(const HostId &Host) {
  for (auto &[Name, Current] : Pools) {
    Current.Shares.erase(Host);
    Current.Awaited.erase(Host);
  }
}

void QuotaCoordinator::timer(QuotaStep &Step) {
  if (Step.Now < WakeAt)
    return;
  for (auto At = Pools.begin(); At != Pools.end();) {
    auto &[Name, Current] = *At;
    Current.Of = Step.Find(Name);
    bool Idle = Current.Shares.empty() && Step.Now - Current.UsedAt > IdleTime;
    if (!Current.Of || Current.Of->RatePerSecond <= 0 || Idle) {
      At = Pools.erase(At);
      continue;
    }
    refill(Step, Current);
    for (auto &[Host, Held] : Current.Shares) {
      bool Due = isSilent(Step.Now, Held) &&
                 Step.Now - Held.QueriedAt >= QueryInterval &&
                 !Step.Peers.isSuspected(Host);
      if (!Due)
        continue;
      Held.QueriedAt = Step.Now;
      QuotaReply Query{{grant(Step, Current, Host)}};
      Query.Grants[0].Query = true;
      Step.Out.emplace_back(SendPeer{Host, std::move(Query)});
    }
    if (Current.Limited && Step.Now - Current.NoticedAt >= NoticeInterval)
      noticeOthers(Step, Current);
    ++At;
  }
  WakeAt = Pools.empty() ? TimePoint::max() : Step.Now + QueryInterval;
}

} // namespace figsail
