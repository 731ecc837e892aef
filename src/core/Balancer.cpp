// Balancer.cpp - Load estimates per host, locality tiers and the subset of
// members that an ingress uses.

#include "figsail/Balancer.h"

#include "figsail/Epoch.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace figsail {

/// Maximum number of members of a service that one ingress uses.
static constexpr std::size_t MaxSubset = 16;
/// Slots of the subset reserved for other failure domains, so that members
/// remain when the own domain fails.
static constexpr std::size_t OtherDomainSlots = 4;
/// The weight of a report decreases with its age and is zero after this time.
static constexpr Duration ReportLifetime = std::chrono::seconds(5);
/// The report of a full server expires after twice the time in which the server
/// completes the reported calls, but not before this time. With ReportLifetime,
/// a server that had been full idled for four seconds.
static constexpr Duration MinReportLifetime = std::chrono::milliseconds(100);
/// Limit and load assumed for a host without a report: a cold backend server
/// with one call of another ingress.
static constexpr double UnknownLimit = 2;
static constexpr double UnknownOtherCalls = 1;
/// Weight of one call in the moving average of failures.
static constexpr double FailureSampleWeight = 1.0 / 16;
/// The failure rate halves in this time without calls, so that a recovered
/// server is tried again.
static constexpr Duration FailureHalfLife = std::chrono::seconds(2);
/// Bounds of how long a host is avoided after a refusal.
static constexpr Duration MinAvoidTime = std::chrono::milliseconds(20);
static constexpr Duration MaxAvoidTime = std::chrono::seconds(1);
/// How long a host is avoided after its link was lost.
static constexpr Duration LinkLossAvoidTime = std::chrono::seconds(1);
/// Number of views from which those without calls and with expired reports are
/// removed.
static constexpr std::size_t MaxViews = 16384;

/// Locality tiers, nearest first.
static constexpr std::size_t TierCount = 3;
static constexpr std::size_t RemoteTier = 2;
/// Score from which a tier is saturated: as many calls run as the limit allows.
static constexpr double SaturationScore = 1;
/// Score of the near tiers from which calls go to another region: as many calls
/// wait as run. The round trip costs more than a shorter queue.
static constexpr double RemoteSaturationScore = 2;

/// How long the report of a slow server is used. Hosts report a change at once,
/// but only while they get calls.
static constexpr Duration SlownessLifetime = std::chrono::seconds(2);
/// The same for hosts of another region, which do not report changes here.
static constexpr Duration RemoteSlownessLifetime =
    std::chrono::milliseconds(400);
/// Assumed service time where no host has reported one.
static constexpr Duration UnknownServiceTime = std::chrono::milliseconds(50);
/// Fraction of the service time that is added for a server at its limit, so
/// that an idle one is preferred.
static constexpr double FullnessWeight = 0.3;
/// Cost of a failure in service times: the failed run and the retry at another
/// server.
static constexpr double FailureWeight = 4;

struct Balancer::HostView {
  std::uint32_t Outstanding = 0;
  LoadReport Report;
  TimePoint ReportedAt;
  Duration LoadLifetime = ReportLifetime; ///< Of the load in the report.
  bool Reported = false;                  ///< Whether Report is set.
  double OtherCalls = 0; ///< Calls of other ingresses, from the report.
  double FailureRate = 0;
  TimePoint FailureRateAt; ///< When FailureRate was last updated.
  TimePoint AvoidUntil;

  double relativeAge(TimePoint Now, Duration Lifetime) const;
  double utilization(TimePoint Now) const;
  double failureRate(TimePoint Now) const;
  double slowness(TimePoint Now, Duration Shortest) const;
  Duration expectedTime(TimePoint Now, Duration Typical, Duration UsualRunTime,
                        bool Remote) const;
  void recordReport(TimePoint Now, const LoadReport &Load,
                    std::uint32_t OwnCalls);
  void avoid(TimePoint Until) { AvoidUntil = std::max(AvoidUntil, Until); }
};

struct Balancer::State {
  HostId Self;
  Locality OwnLocality;
  std::unique_ptr<SelectionPolicy> Policy;
  std::unordered_map<HostId, HostView> Views;
  std::array<std::vector<Candidate>, TierCount> Preferred; ///< Scratch space.
  std::array<std::vector<Candidate>, TierCount> Avoided;   ///< Scratch space.
  std::vector<const Member *> Subset;                      ///< Scratch space.
  /// Scratch space: tier and hash of each eligible member.
  std::vector<std::pair<std::pair<std::size_t, std::uint64_t>, const Member *>>
      Ranked;

  std::size_t tierOf(const Member &Server) const;
  void buildSubset(std::span<const Member *const> Eligible);
  void ensureSecondDomain();
  void sortIntoTiers(TimePoint Now, std::span<const HostId> Tried,
                     bool RemoteAllowed, const CallEstimate &Outlook);
  Duration shortestServiceTime() const;
  const Member *pickFromAllTiers(std::uint64_t Seed);
  HostView &viewOf(TimePoint Now, const HostId &Host);
};

/// Returns the age of the report over its lifetime, from 0 (new) to 1
/// (expired).
double Balancer::HostView::relativeAge(TimePoint Now, Duration Lifetime) const {
  if (!Reported)
    return 1;
  double Age = static_cast<double>((Now - ReportedAt).count()) /
               static_cast<double>(Lifetime.count());
  return std::clamp(Age, 0.0, 1.0);
}

/// Returns the expected load over the limit. As the report ages, load and limit
/// approach those assumed without a report; the limit never rises above the
/// reported one.
double Balancer::HostView::utilization(TimePoint Now) const {
  double Age = relativeAge(Now, LoadLifetime);
  double Limit = UnknownLimit;
  double ReportedCalls = 0;
  if (Reported) {
    double ReportedLimit = std::max(1U, Report.Limit);
    Limit = ReportedLimit +
            (std::min(ReportedLimit, UnknownLimit) - ReportedLimit) * Age;
    ReportedCalls = OtherCalls;
  }
  double ExpectedOtherCalls =
      ReportedCalls + (UnknownOtherCalls - ReportedCalls) * Age;
  return (ExpectedOtherCalls + Outstanding) / Limit;
}

double Balancer::HostView::failureRate(TimePoint Now) const {
  double Halves = static_cast<double>((Now - FailureRateAt).count()) /
                  static_cast<double>(FailureHalfLife.count());
  return FailureRate * std::exp2(-std::max(Halves, 0.0));
}

/// Returns the score penalty of a slow server. A server with four times the
/// service time of the fastest one scores like a full one, even with a short
/// queue.
double Balancer::HostView::slowness(TimePoint Now, Duration Shortest) const {
  if (!Reported || Report.ServiceTime <= Shortest)
    return 0;
  double Ratio = static_cast<double>(Report.ServiceTime.count()) /
                 static_cast<double>(Shortest.count());
  return std::log2(Ratio) / 2 * (1 - relativeAge(Now, ReportLifetime));
}

/// Returns the expected time of a call at the host, without network delay.
/// Typical: service time assumed for a host that has not reported one.
/// UsualRunTime: run time of the call on a server at its usual speed; 0: not
/// known.
Duration Balancer::HostView::expectedTime(TimePoint Now, Duration Typical,
                                          Duration UsualRunTime,
                                          bool Remote) const {
  Duration Usual = Typical;
  double Slowdown = 1; // Current service time over the usual one.
  if (Reported && Report.UsualServiceTime > Duration(0)) {
    Usual = Report.UsualServiceTime;
    double ReportedSlowdown = static_cast<double>(Report.ServiceTime.count()) /
                              static_cast<double>(Usual.count());
    double Age =
        relativeAge(Now, Remote ? RemoteSlownessLifetime : SlownessLifetime);
    Slowdown = 1 + (ReportedSlowdown - 1) * (1 - Age);
  }
  if (UsualRunTime > Duration(0))
    Usual = UsualRunTime;
  double Service = static_cast<double>(Usual.count()) * Slowdown;
  double Age = relativeAge(Now, LoadLifetime);
  double Limit = Reported ? std::max(1U, Report.Limit) : UnknownLimit;
  double CurrentCalls = Outstanding + (Reported ? OtherCalls * (1 - Age) : 0.0);
  double QueueFactor = std::max(0.0, CurrentCalls + 1 - Limit) / Limit;
  double FullnessFactor = FullnessWeight * std::min(1.0, CurrentCalls / Limit);
  double FailureFactor = FailureWeight * failureRate(Now);
  // Of a server whose rate limit is used up.
  Duration LimitWait =
      Reported ? std::max(Duration(0), Report.TimeToStart - (Now - ReportedAt))
               : Duration(0);
  return LimitWait +
         Duration(static_cast<Duration::rep>(
             Service * (1 + QueueFactor + FullnessFactor + FailureFactor)));
}

/// Stores a report. OwnCalls: calls of this ingress in the reported load.
void Balancer::HostView::recordReport(TimePoint Now, const LoadReport &Load,
                                      std::uint32_t OwnCalls) {
  // A report that was sent before a refusal, but arrives after it, must not
  // replace the load reported with the refusal.
  bool PredatesRefusal = Reported && Now < AvoidUntil;
  double CurrentCalls = static_cast<double>(Load.Running) + Load.Queued;
  double OtherCallsNow = std::max(0.0, CurrentCalls - OwnCalls);
  if (PredatesRefusal) {
    Report.Limit = std::min(Report.Limit, Load.Limit);
    OtherCalls = std::max(OtherCalls, OtherCallsNow);
    Report.Draining = Report.Draining || Load.Draining;
  } else {
    Report = Load;
    OtherCalls = OtherCallsNow;
  }
  ReportedAt = Now;
  Reported = true;
  LoadLifetime = ReportLifetime;
  std::uint32_t Limit = std::max(1U, Load.Limit);
  if (CurrentCalls < Limit)
    return;
  auto DrainTime = static_cast<std::int64_t>(
      2 * CurrentCalls / Limit * static_cast<double>(Load.ServiceTime.count()));
  LoadLifetime =
      std::clamp(Duration(DrainTime), MinReportLifetime, ReportLifetime);
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
  ensureSecondDomain();
}

/// If the subset spans one failure domain only, replaces its last members by
/// the best members of other domains.
void Balancer::State::ensureSecondDomain() {
  const std::string &Domain = Subset.front()->FailureDomain;
  auto InOtherDomain = [&](const Member *Server) {
    return Server->FailureDomain != Domain;
  };
  if (std::ranges::any_of(Subset, InOtherDomain))
    return;
  std::erase_if(
      Ranked, [&](const auto &Entry) { return !InOtherDomain(Entry.second); });
  std::size_t Count = std::min(OtherDomainSlots, Ranked.size());
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
    Duration ServiceTime = Found->second.Report.ServiceTime;
    if (ServiceTime > Duration(0))
      Shortest = std::min(Shortest, ServiceTime);
  }
  return Shortest;
}

void Balancer::State::sortIntoTiers(TimePoint Now,
                                    std::span<const HostId> Tried,
                                    bool RemoteAllowed,
                                    const CallEstimate &Outlook) {
  for (std::size_t Tier = 0; Tier < TierCount; ++Tier) {
    Preferred[Tier].clear();
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
    Entry.Stale = View.relativeAge(Now, ReportLifetime) >= 1;
    Entry.Near = Tier == 0;
    Entry.Remote = Tier == RemoteTier;
    Entry.ExpectedTime =
        RoundTrips[Tier] +
        View.expectedTime(Now, Typical, Outlook.UsualRunTime, Entry.Remote);
    Entry.MeetsTarget = Entry.ExpectedTime <= Outlook.TimeToTarget;
    (Entry.IsAvoided ? Avoided : Preferred)[Tier].push_back(Entry);
  }
}

Balancer::HostView &Balancer::State::viewOf(TimePoint Now, const HostId &Host) {
  auto Found = Views.find(Host);
  if (Found != Views.end())
    return Found->second;
  if (Views.size() >= MaxViews)
    std::erase_if(Views, [&](const auto &Entry) {
      return Entry.second.Outstanding == 0 &&
             Entry.second.relativeAge(Now, ReportLifetime) >= 1;
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
    return S.pickFromAllTiers(Seed);
  const Candidate *Best = nullptr;
  for (const std::vector<Candidate> &Tier : S.Preferred) {
    if (Tier.empty())
      continue;
    bool Remote = &Tier == &S.Preferred.back();
    if (Remote && Best && Best->score() < RemoteSaturationScore)
      break;
    const Candidate &Picked = Tier[S.Policy->pick(Tier, Seed)];
    if (Picked.score() < SaturationScore)
      return Picked.Server;
    // All tiers so far are saturated; keep the least loaded server.
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

/// Chooses among all tiers: from the hosts that are not avoided, else from the
/// avoided ones.
const Member *Balancer::State::pickFromAllTiers(std::uint64_t Seed) {
  for (auto *Tiers : {&Preferred, &Avoided}) {
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
  View.FailureRate = Rate + ((Success ? 0 : 1) - Rate) * FailureSampleWeight;
  View.FailureRateAt = Now;
  if (Load)
    View.recordReport(Now, *Load, View.Outstanding);
  if (Load && Load->Draining)
    View.avoid(Now + ReportLifetime);
}

void Balancer::callRefused(TimePoint Now, const HostId &Host,
                           const LoadReport &Load) {
  HostView &View = Impl->viewOf(Now, Host);
  View.recordReport(Now, Load, std::max(View.Outstanding, 1U) - 1);
  // The time in which half of the queue is served.
  Duration HalfQueueTime =
      Load.ServiceTime * (Load.Queued + 1) / (2 * std::max(1U, Load.Limit));
  Duration AvoidTime = std::max(HalfQueueTime, Load.TimeToStart);
  View.avoid(Now + std::clamp(AvoidTime, MinAvoidTime, MaxAvoidTime));
  if (Load.Draining)
    View.avoid(Now + ReportLifetime);
}

void Balancer::loadReported(TimePoint Now, const HostId &Host,
                            const LoadReport &Load) {
  HostView &View = Impl->viewOf(Now, Host);
  View.recordReport(Now, Load, View.Outstanding);
}

void Balancer::linkLost(TimePoint Now, const HostId &Host) {
  HostView &View = Impl->viewOf(Now, Host);
  View.Reported = false;
  View.avoid(Now + LinkLossAvoidTime);
}

void Balancer::reset(const HostId &Host) {
  auto Found = Impl->Views.find(Host);
  if (Found == Impl->Views.end())
    return;
  // Calls to the previous incarnation still end later, one by one.
  std::uint32_t Outstanding = Found->second.Outstanding;
  Found->second = HostView();
  Found->second.Outstanding = Outstanding;
}

} // namespace figsail
