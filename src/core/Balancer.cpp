// Balancer.cpp - Load views, locality tiers and the subset of each ingress.

#include "figsail/Balancer.h"

#include "figsail/Epoch.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace figsail {

/// Members of a service that one ingress uses.
static constexpr std::size_t MaxSubset = 16;
/// Places of the subset kept for another failure domain, so that losing the
/// own one leaves members to go to.
static constexpr std::size_t OtherDomainPlaces = 4;
/// A report counts less as it ages, and nothing after this time.
static constexpr Duration ReportLifetime = std::chrono::seconds(5);
/// A report of a full server counts nothing after twice the time in which the
/// server works off what it reported, but not sooner than this. With
/// ReportLifetime, servers that were full once idled for four seconds.
static constexpr Duration MinReportLifetime = std::chrono::milliseconds(100);
/// What is assumed of a host without a report: a cold backend server with one
/// call of another ingress.
static constexpr double UnknownLimit = 2;
static constexpr double UnknownOthers = 1;
/// Weight of one call in the moving average of failures.
static constexpr double FailureStep = 1.0 / 16;
/// The failure rate halves in this time without calls, so that a server that
/// recovered is tried again.
static constexpr Duration FailureHalfLife = std::chrono::seconds(2);
/// Bounds of how long a host is avoided after a refusal.
static constexpr Duration MinAvoid = std::chrono::milliseconds(20);
static constexpr Duration MaxAvoid = std::chrono::seconds(1);
/// How long a host is avoided after its link broke.
static constexpr Duration LostAvoid = std::chrono::seconds(1);
/// Views kept; beyond it views without calls and with old reports are dropped.
static constexpr std::size_t MaxViews = 16384;

/// Locality tiers, nearest first.
static constexpr std::size_t TierCount = 3;
static constexpr std::size_t RemoteTier = 2;
/// Score from which a tier counts as saturated: a full limit runs.
static constexpr double SaturatedAt = 1;
/// The same before a call goes to another region, where the round trip costs
/// more than a short queue: another full limit waits.
static constexpr double SaturatedBeforeRemote = 2;

/// How long a report that a server is slow counts. Hosts tell of a change at
/// once, but only for as long as they get calls.
static constexpr Duration SlownessLifetime = std::chrono::seconds(2);
/// The same in another region, which is not told of changes.
static constexpr Duration RemoteSlownessLifetime =
    std::chrono::milliseconds(400);
/// Assumed service time where no host has reported one.
static constexpr Duration UnknownServiceTime = std::chrono::milliseconds(50);
/// Share of the service time by which a server with a full limit is less
/// preferred than an idle one.
static constexpr double FullnessWeight = 0.3;
/// Service times that a failure costs: the run, and the repeat elsewhere.
static constexpr double FailureCost = 4;

struct Balancer::HostView {
  std::uint32_t Outstanding = 0;
  LoadReport Report;
  TimePoint ReportedAt;
  Duration LoadLifetime = ReportLifetime; ///< Of the load in the report.
  bool Reported = false;
  double Others = 0; ///< Calls of other ingresses in the report.
  double FailureRate = 0;
  TimePoint FailureAt; ///< When FailureRate was last updated.
  TimePoint AvoidUntil;

  double age(TimePoint Now, Duration Lifetime) const;
  double utilization(TimePoint Now) const;
  double failureRate(TimePoint Now) const;
  double slowness(TimePoint Now, Duration Shortest) const;
  Duration expected(TimePoint Now, Duration Typical, Duration UsualRunTime,
                    bool Remote) const;
  void take(TimePoint Now, const LoadReport &Load, std::uint32_t Own);
  void avoid(TimePoint Until) { AvoidUntil = std::max(AvoidUntil, Until); }
};

struct Balancer::State {
  HostId Self;
  Locality OwnLocality;
  std::unique_ptr<SelectionPolicy> Policy;
  std::unordered_map<HostId, HostView> Views;
  std::array<std::vector<Candidate>, TierCount> Fresh;   ///< Scratch space.
  std::array<std::vector<Candidate>, TierCount> Avoided; ///< Scratch space.
  std::vector<const Member *> Subset;                    ///< Scratch space.
  /// Scratch space: tier and hash of each eligible member.
  std::vector<std::pair<std::pair<std::size_t, std::uint64_t>, const Member *>>
      Ranked;

  std::size_t tierOf(const Member &Server) const;
  void buildSubset(std::span<const Member *const> Eligible);
  void keepSecondDomain();
  void sortIntoTiers(TimePoint Now, std::span<const HostId> Tried,
                     bool RemoteAllowed, const CallEstimate &Outlook);
  Duration shortestServiceTime() const;
  const Member *pickOverall(std::uint64_t Seed);
  HostView &viewOf(TimePoint Now, const HostId &Host);
};

/// Returns the age of the report from 0 (fresh) to 1 (counts nothing).
double Balancer::HostView::age(TimePoint Now, Duration Lifetime) const {
  if (!Reported)
    return 1;
  double Age = static_cast<double>((Now - ReportedAt).count()) /
               static_cast<double>(Lifetime.count());
  return std::clamp(Age, 0.0, 1.0);
}

/// Returns the expected load over the limit. A report with headroom loses its
/// headroom as it ages, and never counts for more than it said.
double Balancer::HostView::utilization(TimePoint Now) const {
  double Age = age(Now, LoadLifetime);
  double Limit = UnknownLimit;
  double Known = 0;
  if (Reported) {
    double Said = std::max(1U, Report.Limit);
    Limit = Said + (std::min(Said, UnknownLimit) - Said) * Age;
    Known = Others;
  }
  double Beside = Known + (UnknownOthers - Known) * Age;
  return (Beside + Outstanding) / Limit;
}

double Balancer::HostView::failureRate(TimePoint Now) const {
  double Halves = static_cast<double>((Now - FailureAt).count()) /
                  static_cast<double>(FailureHalfLife.count());
  return FailureRate * std::exp2(-std::max(Halves, 0.0));
}

/// A server that takes four times as long as the fastest one scores like one
/// that is full, however short its queue is.
double Balancer::HostView::slowness(TimePoint Now, Duration Shortest) const {
  if (!Reported || Report.ServiceTime <= Shortest)
    return 0;
  double Ratio = static_cast<double>(Report.ServiceTime.count()) /
                 static_cast<double>(Shortest.count());
  return std::log2(Ratio) / 2 * (1 - age(Now, ReportLifetime));
}

/// Returns the expected time of a call at the host, without the way. Typical:
/// service time of a host that has not reported one. UsualRunTime: of the call,
/// if it is known.
Duration Balancer::HostView::expected(TimePoint Now, Duration Typical,
                                      Duration UsualRunTime,
                                      bool Remote) const {
  Duration Usual = Typical;
  double Factor = 1; // Duration of work now over the usual one.
  if (Reported && Report.UsualServiceTime > Duration(0)) {
    Usual = Report.UsualServiceTime;
    double Reported = static_cast<double>(Report.ServiceTime.count()) /
                      static_cast<double>(Usual.count());
    double Age = age(Now, Remote ? RemoteSlownessLifetime : SlownessLifetime);
    Factor = 1 + (Reported - 1) * (1 - Age);
  }
  if (UsualRunTime > Duration(0))
    Usual = UsualRunTime;
  double Service = static_cast<double>(Usual.count()) * Factor;
  double Age = age(Now, LoadLifetime);
  double Limit = Reported ? std::max(1U, Report.Limit) : UnknownLimit;
  double Present = Outstanding + (Reported ? Others * (1 - Age) : 0.0);
  double Ahead = std::max(0.0, Present + 1 - Limit) / Limit;
  double Full = FullnessWeight * std::min(1.0, Present / Limit);
  double Failures = FailureCost * failureRate(Now);
  return Duration(
      static_cast<Duration::rep>(Service * (1 + Ahead + Full + Failures)));
}

/// Own: calls of this ingress that are part of the reported load.
void Balancer::HostView::take(TimePoint Now, const LoadReport &Load,
                              std::uint32_t Own) {
  // A report that was under way while the host refused may not undo what the
  // refusal said.
  bool Late = Reported && Now < AvoidUntil;
  double Present = static_cast<double>(Load.Running) + Load.Queued;
  double Seen = std::max(0.0, Present - Own);
  if (Late) {
    Report.Limit = std::min(Report.Limit, Load.Limit);
    Others = std::max(Others, Seen);
    Report.Draining = Report.Draining || Load.Draining;
  } else {
    Report = Load;
    Others = Seen;
  }
  ReportedAt = Now;
  Reported = true;
  LoadLifetime = ReportLifetime;
  std::uint32_t Limit = std::max(1U, Load.Limit);
  if (Present < Limit)
    return;
  auto WorkOff = static_cast<std::int64_t>(
      2 * Present / Limit * static_cast<double>(Load.ServiceTime.count()));
  LoadLifetime =
      std::clamp(Duration(WorkOff), MinReportLifetime, ReportLifetime);
}

std::size_t Balancer::State::tierOf(const Member &Server) const {
  if (Server.Region != OwnLocality.Region)
    return 2;
  return Server.FailureDomain == OwnLocality.FailureDomain ? 0 : 1;
}

/// Fills Subset with at most MaxSubset members: nearest tier first, within a
/// tier by rendezvous hash of this ingress.
void Balancer::State::buildSubset(std::span<const Member *const> Eligible) {
  Subset.assign(Eligible.begin(), Eligible.end());
  if (Eligible.size() <= MaxSubset)
    return;
  std::uint64_t Seed = hashText(Self);
  Ranked.clear();
  for (const Member *Server : Eligible)
    Ranked.push_back({{tierOf(*Server), hashText(Server->Host, Seed)}, Server});
  auto Middle = Ranked.begin() + MaxSubset;
  std::nth_element(Ranked.begin(), Middle, Ranked.end());
  std::sort(Ranked.begin(), Middle);
  for (std::size_t I = 0; I < MaxSubset; ++I)
    Subset[I] = Ranked[I].second;
  Subset.resize(MaxSubset);
  keepSecondDomain();
}

/// Replaces the last members of a subset within one failure domain by the best
/// of others, if there are any.
void Balancer::State::keepSecondDomain() {
  const std::string &Domain = Subset.front()->FailureDomain;
  auto Elsewhere = [&](const Member *Server) {
    return Server->FailureDomain != Domain;
  };
  if (std::ranges::any_of(Subset, Elsewhere))
    return;
  std::erase_if(Ranked,
                [&](const auto &Entry) { return !Elsewhere(Entry.second); });
  std::size_t Count = std::min(OtherDomainPlaces, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end());
  for (std::size_t I = 0; I < Count; ++I)
    Subset[MaxSubset - Count + I] = Ranked[I].second;
}

/// Returns the shortest reported service time of the subset, or
/// Duration::max().
Duration Balancer::State::shortestServiceTime() const {
  Duration Shortest = Duration::max();
  for (const Member *Server : Subset) {
    auto Found = Views.find(Server->Host);
    if (Found == Views.end() || !Found->second.Reported)
      continue;
    Duration Took = Found->second.Report.ServiceTime;
    if (Took > Duration(0))
      Shortest = std::min(Shortest, Took);
  }
  return Shortest;
}

void Balancer::State::sortIntoTiers(TimePoint Now,
                                    std::span<const HostId> Tried,
                                    bool RemoteAllowed,
                                    const CallEstimate &Outlook) {
  for (std::size_t Tier = 0; Tier < TierCount; ++Tier) {
    Fresh[Tier].clear();
    Avoided[Tier].clear();
  }
  Duration Shortest = shortestServiceTime();
  Duration Typical =
      Shortest == Duration::max() ? UnknownServiceTime : Shortest;
  const std::array<Duration, TierCount> RoundTrips{
      Duration(0), OwnLocality.DomainRoundTrip, OwnLocality.RegionRoundTrip};
  for (const Member *Server : Subset) {
    if (std::ranges::find(Tried, Server->Host) != Tried.end())
      continue;
    std::size_t Tier = tierOf(*Server);
    if (Tier == RemoteTier && !RemoteAllowed)
      continue;
    const HostView &View = viewOf(Now, Server->Host);
    Candidate Entry;
    Entry.Server = Server;
    Entry.Outstanding = View.Outstanding;
    Entry.Utilization = View.utilization(Now);
    Entry.FailureRate = View.failureRate(Now);
    Entry.Slowness = View.slowness(Now, Shortest);
    Entry.IsAvoided = Now < View.AvoidUntil;
    Entry.Stale = View.age(Now, ReportLifetime) >= 1;
    Entry.Remote = Tier == RemoteTier;
    Entry.ExpectedTime =
        RoundTrips[Tier] +
        View.expected(Now, Typical, Outlook.UsualRunTime, Entry.Remote);
    Entry.MeetsTarget = Entry.ExpectedTime <= Outlook.TimeToTarget;
    (Entry.IsAvoided ? Avoided : Fresh)[Tier].push_back(Entry);
  }
}

Balancer::HostView &Balancer::State::viewOf(TimePoint Now, const HostId &Host) {
  auto Found = Views.find(Host);
  if (Found != Views.end())
    return Found->second;
  if (Views.size() >= MaxViews)
    std::erase_if(Views, [&](const auto &Entry) {
      return Entry.second.Outstanding == 0 &&
             Entry.second.age(Now, ReportLifetime) >= 1;
    });
  return Views[Host];
}

Balancer::Balancer(HostId Self, Locality OwnLocality,
                   std::unique_ptr<SelectionPolicy> Policy)
    : Impl(std::make_shared<State>()) {
  Impl->Self = std::move(Self);
  Impl->OwnLocality = std::move(OwnLocality);
  Impl->Policy = std::move(Policy);
}

const Member *Balancer::choose(TimePoint Now,
                               std::span<const Member *const> Eligible,
                               std::span<const HostId> Tried,
                               bool RemoteAllowed, std::uint64_t Seed,
                               const CallEstimate &Outlook) {
  State &S = *Impl;
  S.buildSubset(Eligible);
  S.sortIntoTiers(Now, Tried, RemoteAllowed, Outlook);
  if (!S.Policy->usesTiers())
    return S.pickOverall(Seed);
  const Candidate *Best = nullptr;
  for (const std::vector<Candidate> &Tier : S.Fresh) {
    if (Tier.empty())
      continue;
    bool Remote = &Tier == &S.Fresh.back();
    if (Remote && Best && Best->score() < SaturatedBeforeRemote)
      break;
    const Candidate &Picked = Tier[S.Policy->pick(Tier, Seed)];
    if (Picked.score() < SaturatedAt)
      return Picked.Server;
    // All choices so far are saturated; the least loaded one is kept.
    if (!Best || Picked.score() < Best->score())
      Best = &Picked;
  }
  if (Best)
    return Best->Server;
  for (const std::vector<Candidate> &Tier : S.Avoided)
    if (!Tier.empty())
      return Tier[S.Policy->pick(Tier, Seed)].Server;
  return nullptr;
}

/// Chooses among all that are not avoided, else among all.
const Member *Balancer::State::pickOverall(std::uint64_t Seed) {
  for (auto *Tiers : {&Fresh, &Avoided}) {
    std::vector<Candidate> &All = Tiers->front();
    for (std::size_t Tier = 1; Tier < TierCount; ++Tier)
      std::ranges::copy((*Tiers)[Tier], std::back_inserter(All));
    if (!All.empty())
      return All[Policy->pick(All, Seed)].Server;
  }
  return nullptr;
}

void Balancer::callSent(TimePoint Now, const HostId &Host) {
  ++Impl->viewOf(Now, Host).Outstanding;
}

void Balancer::callEnded(TimePoint Now, const HostId &Host, bool Success,
                         const LoadReport *Load) {
  HostView &View = Impl->viewOf(Now, Host);
  if (View.Outstanding > 0)
    --View.Outstanding;
  double Rate = View.failureRate(Now);
  View.FailureRate = Rate + ((Success ? 0 : 1) - Rate) * FailureStep;
  View.FailureAt = Now;
  if (Load)
    View.take(Now, *Load, View.Outstanding);
  if (Load && Load->Draining)
    View.avoid(Now + ReportLifetime);
}

void Balancer::callRefused(TimePoint Now, const HostId &Host,
                           const LoadReport &Load) {
  HostView &View = Impl->viewOf(Now, Host);
  View.take(Now, Load, std::max(View.Outstanding, 1U) - 1);
  // The time in which half of the queue is served.
  Duration Busy =
      Load.ServiceTime * (Load.Queued + 1) / (2 * std::max(1U, Load.Limit));
  View.avoid(Now + std::clamp(Busy, MinAvoid, MaxAvoid));
  if (Load.Draining)
    View.avoid(Now + ReportLifetime);
}

void Balancer::loadReported(TimePoint Now, const HostId &Host,
                            const LoadReport &Load) {
  HostView &View = Impl->viewOf(Now, Host);
  View.take(Now, Load, View.Outstanding);
}

void Balancer::linkLost(TimePoint Now, const HostId &Host) {
  HostView &View = Impl->viewOf(Now, Host);
  View.Reported = false;
  View.avoid(Now + LostAvoid);
}

void Balancer::reset(const HostId &Host) {
  auto Found = Impl->Views.find(Host);
  if (Found == Impl->Views.end())
    return;
  // Calls to the previous incarnation still end one by one.
  std::uint32_t Outstanding = Found->second.Outstanding;
  Found->second = HostView();
  Found->second.Outstanding = Outstanding;
}

} // namespace figsail
