// RolloutController.cpp - Grants, judgement and steps of a rollout.

#include "RolloutController.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace figsail {

using namespace std::chrono_literals;

/// Parts of the exposure limit that one controller grants before the version
/// counts as healthy. Up to three controllers may not hear each other; the
/// smaller part of the slack also covers restarts of all daemons.
static constexpr double TrialShareFraction = 0.3;
static constexpr double TrialSlackFraction = 0.25;
/// The ingresses send a little less than is granted, so that gates rarely
/// refuse.
static constexpr double TrialMargin = 0.9;
/// Bound on the part of the calls that goes to the new version in the trial.
static constexpr double MaxTrialShare = 0.5;

/// Steps: no calls, trial, and the parts of the calls after it.
static constexpr unsigned TrialStep = 1;
static constexpr std::array<double, 6> StepShares{0, 0, 0.1, 0.25, 0.5, 1};
static constexpr unsigned LastStep = StepShares.size() - 1;

// Fractions of the order's time.
/// End of the trial.
static constexpr double TrialEnd = 0.42;
/// From here on, a trial with few runs may end.
static constexpr double ShortTrialEnd = 0.55;
/// Shortest trial.
static constexpr double MinTrial = 0.12;
/// Shortest step after the trial.
static constexpr double MinStep = 0.03;
/// Without a server of the target version, the order is rolled back here.
static constexpr double AbsentLimit = 0.80;
/// The last step must have begun here.
static constexpr double GrowthLimit = 0.86;
/// The order must be completed here, unless the store is awaited.
static constexpr double CompleteLimit = 0.93;
static constexpr double StoreLimit = 0.97;
/// Added to these limits for each position in the order of the controllers.
static constexpr double RankMargin = 0.02;
/// Delay for each position in the order of the controllers before it acts.
static constexpr double RankDelay = 0.06;
static constexpr Duration MinRankDelay = 300ms;
static constexpr Duration MaxRankDelay = 1s;

static constexpr Duration MaxMinTrial = 2s;
static constexpr Duration ShortestStep = 300ms;
static constexpr Duration LongestMinStep = 2s;
/// The new servers carry all traffic for this long before the completion.
static constexpr Duration CompleteTime = 1100ms;
/// A gate that has not reported for this long is no longer used.
static constexpr Duration GateLifetime = 2s;
/// Time of reports before the rate of requests is known; with none in it, the
/// service is idle.
static constexpr Duration RateTime = 1200ms;
static constexpr Duration IdleRateTime = 3s;
/// A record or status that is not seen by then is written again.
static constexpr Duration WriteRetry = 1s;
static constexpr Duration StatusRetry = 300ms;
/// Interval of the samples, and their number.
static constexpr Duration SampleInterval = 250ms;
static constexpr std::size_t MaxSamples = 12;
/// Answers of the new version before the trial ends, and in a step.
static constexpr std::uint64_t MinTrialRuns = 10;
static constexpr std::uint64_t MinStepRuns = 5;
/// Requests of the service in the trial below which fewer answers suffice.
static constexpr std::uint64_t FewRequests = 100;
/// Part of refused and late calls that may be added by the new servers.
static constexpr double RefusedOrLateAllowance = 0.05;
static constexpr double RefusedOrLateSlack = 2;
/// Part of the calls that old servers may still get at the completion.
static constexpr double OldPart = 0.01;
static constexpr double OldPartLater = 0.05;
/// Fraction of the order's time at the last step, from which OldPartLater is
/// used: an ingress may not get the record.
static constexpr double OldPartTime = 0.12;
/// In the trial, a gate may start this many runs without a further reply, and
/// the runs of this time at the rate of all.
static constexpr double TrialGrant = 4;
static constexpr Duration TrialGrantTime = 700ms;
/// After the trial, a gate may start this many runs without a further reply,
/// and the runs of this time at its part of the rate.
static constexpr double GrowthGrant = 10;
static constexpr Duration GrowthGrantTime = 1s;

static Duration part(const ActiveRollout &Rollout, double Fraction) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Rollout.Order.Time.count()) * Fraction));
}

/// Returns the elapsed part of the order's time.
static double elapsedPart(const RolloutControllerStep &Step) {
  return static_cast<double>(Step.Rollout.elapsed(Step.Now).count()) /
         static_cast<double>(Step.Rollout.Order.Time.count());
}

static double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

// Reports.

void RolloutController::addReport(Sums &Total, const RolloutReport &Report) {
  Total.Started += Report.Started;
  Total.Refused += Report.Refused;
  Total.Late += Report.Late;
  for (const RolloutRouteCounts &Counts : Report.Routes)
    Total.Routes[Counts.Route].add(Counts);
}

/// Keeps the counts of a gate that has begun another epoch. What it had been
/// granted counts as started.
void RolloutController::retire(const Gate &Ended) {
  addReport(Ended.Last.IsTarget ? RetiredNew : RetiredOld, Ended.Last);
  if (Ended.Last.IsTarget)
    RetiredGrants += Ended.Grant - std::min(Ended.Grant, Ended.Last.Started);
}

void RolloutController::sum() {
  Old = RetiredOld;
  New = RetiredNew;
  for (const auto &[Host, Reporter] : Gates)
    addReport(Reporter.Last.IsTarget ? New : Old, Reporter.Last);
}

RolloutVerdict RolloutController::report(RolloutControllerStep &Now,
                                         const HostId &From,
                                         const RolloutReport &Message) {
  LastReportAt = Now.Now;
  auto [Found, First] = Gates.try_emplace(From);
  Gate &Reporter = Found->second;
  if (!First && Reporter.Last.Epoch != Message.Epoch) {
    retire(Reporter);
    Reporter = Gate{};
  }
  Reporter.Last = Message;
  Reporter.At = Now.Now;
  sum();
  judge(Now);
  Reporter.Grant = grantFor(Now, From, Reporter);
  return reply(Now, Reporter);
}

RolloutVerdict RolloutController::reply(const RolloutControllerStep &Now,
                                        const Gate &Reporter) const {
  RolloutVerdict Reply;
  Reply.Service = Reporter.Last.Service;
  Reply.Order = Reporter.Last.Order;
  Reply.Epoch = Reporter.Last.Epoch;
  Reply.ElapsedMicros = Now.Rollout.elapsed(Now.Now).count();
  Reply.Progress = static_cast<std::uint8_t>(state(Now.Rollout));
  Reply.Grant = Reporter.Grant;
  return Reply;
}

RolloutState RolloutController::state(const ActiveRollout &Rollout) const {
  if (isFinal(Rollout.state()))
    return Rollout.state();
  if (Adopted)
    return *Adopted;
  return CloseReason.empty() ? Rollout.state() : RolloutState::Closed;
}

// Grants.

double RolloutController::requestRate(TimePoint Now) const {
  Duration Time = std::max<Duration>(Now - StartedAt, RateTime);
  return static_cast<double>(Old.Started + New.Started) / seconds(Time);
}

/// Returns the number of runs that all gates together may start in the trial.
double RolloutController::trialAllowance(const SidecarBounds &Bounds) const {
  auto Requests = static_cast<double>(Old.Started + New.Started);
  return TrialShareFraction * Bounds.ExposureShare * Requests +
         TrialSlackFraction * Bounds.ExposureSlack;
}

std::uint32_t RolloutController::grantFor(const RolloutControllerStep &Now,
                                          const HostId &Host,
                                          const Gate &Reporter) const {
  const RolloutReport &Last = Reporter.Last;
  bool Open = Last.IsTarget && Last.Ready &&
              state(Now.Rollout) == RolloutState::Running;
  if (!Open)
    return 0;
  if (Now.Rollout.step() > TrialStep) {
    auto Targets = static_cast<double>(
        std::max<std::size_t>(1, readyTargets(Now.Now).size()));
    double Rate = requestRate(Now.Now) *
                  std::min(1.0, 2 * Now.Rollout.Share->Share) / Targets;
    double More = GrowthGrant + std::ceil(Rate * seconds(GrowthGrantTime));
    return std::max(Reporter.Grant,
                    Last.Started + static_cast<std::uint32_t>(More));
  }
  bool InTrial = Now.Rollout.step() == TrialStep &&
                 std::ranges::find(Now.Rollout.Share->Hosts, Host) !=
                     Now.Rollout.Share->Hosts.end();
  if (!InTrial)
    return Reporter.Grant;
  double Left = trialAllowance(Now.Bounds) -
                static_cast<double>(RetiredNew.Started + RetiredGrants);
  for (const auto &[Name, Other] : Gates)
    if (Other.Last.IsTarget)
      Left -= std::max(Other.Grant, Other.Last.Started);
  double Each =
      std::floor(Left / static_cast<double>(Now.Rollout.Share->Hosts.size()));
  // What a host with few calls does not use is left for the others.
  double Enough = TrialGrant + requestRate(Now.Now) * Now.Rollout.Share->Share *
                                   seconds(TrialGrantTime);
  double Unused = static_cast<double>(Reporter.Grant) - Last.Started;
  Each = std::min(Each, std::ceil(Enough - Unused));
  return Reporter.Grant + static_cast<std::uint32_t>(std::max(0.0, Each));
}

std::vector<HostId> RolloutController::readyTargets(TimePoint Now) const {
  std::vector<HostId> Hosts;
  for (const auto &[Host, Reporter] : Gates)
    if (Reporter.Last.IsTarget && Reporter.Last.Ready &&
        Reporter.At + GateLifetime >= Now)
      Hosts.push_back(Host);
  return Hosts;
}

/// Returns the part of the calls that uses up the grants of the trial by its
/// end.
double RolloutController::trialShare(const RolloutControllerStep &Now) const {
  Duration Left = std::max<Duration>(1s, part(Now.Rollout, TrialEnd) -
                                             Now.Rollout.elapsed(Now.Now));
  double Rate = std::max(1.0, requestRate(Now.Now));
  double Share =
      TrialShareFraction * Now.Bounds.ExposureShare +
      TrialSlackFraction * Now.Bounds.ExposureSlack / (Rate * seconds(Left));
  return std::min(MaxTrialShare, TrialMargin * Share);
}

// Judgement.

void RolloutController::judge(RolloutControllerStep &Now) {
  if (state(Now.Rollout) != RolloutState::Running)
    return;
  Judged = judgeRollout(Old.Routes, New.Routes);
  // A version that turns bad late would be hidden by its good answers.
  if (!Samples.empty()) {
    VersionTotals Recent = totalsSince(New.Routes, Samples.front().New.Routes);
    RolloutJudgement Late = judgeRollout(Old.Routes, Recent);
    if (Late.Health > Judged.Health)
      Judged = Late;
  }
  if (Judged.Health == RolloutHealth::Bad)
    close(Now, Judged.Reason);
}

void RolloutController::close(RolloutControllerStep &Now,
                              std::string_view Reason) {
  if (!CloseReason.empty())
    return;
  CloseReason = Reason;
  Decision Line{LogLevel::Warning, "rollout-closed", {}};
  Line.Fields = {{"service", Now.Rollout.Order.Service},
                 {"version", Now.Rollout.Order.TargetVersion},
                 {"reason", std::string(Reason)},
                 {"route", Judged.Route},
                 {"step", std::to_string(Now.Rollout.step())},
                 {"runs", std::to_string(New.Started)},
                 {"requests", std::to_string(Old.Started + New.Started)}};
  Now.Out.emplace_back(std::move(Line));
  for (auto &[Host, Reporter] : Gates)
    Reporter.Grant = 0;
  notifyTargets(Now);
}

/// Closes the gates of the target version before their next reports.
void RolloutController::notifyTargets(RolloutControllerStep &Now) const {
  for (const auto &[Host, Reporter] : Gates)
    if (Reporter.Last.IsTarget)
      Now.Out.emplace_back(SendPeer{Host, reply(Now, Reporter)});
}

/// Returns why time is up for the order, or an empty text.
std::string_view
RolloutController::closeReason(const RolloutControllerStep &Now) const {
  double Elapsed = elapsedPart(Now) - RankMargin * Now.Rank;
  bool AnyTarget = New.Started > 0 || !readyTargets(Now.Now).empty();
  if (!AnyTarget && Elapsed >= AbsentLimit)
    return "no-server";
  if (Now.Rollout.step() < LastStep && Elapsed >= GrowthLimit)
    return "out-of-time";
  bool StoreAwaited = StatusWanted == RolloutState::Completed;
  return Elapsed >= (StoreAwaited ? StoreLimit : CompleteLimit) ? "out-of-time"
                                                                : "";
}

// Steps.

/// Notes when the share record shows another step.
void RolloutController::observeStep(const RolloutControllerStep &Now) {
  bool Moved = Now.Rollout.step() != Step || StepSeenAt == TimePoint{};
  if (!Moved)
    return;
  Step = Now.Rollout.step();
  StepSeenAt = Now.Now;
  AtStep = {Now.Now, Old, New};
  if (Step > TrialStep + 1)
    return;
  auto Calls = static_cast<double>(Old.Started + Old.Refused);
  UsualRefusedOrLate =
      Calls > 0 ? static_cast<double>(Old.Refused + Old.Late) / Calls : 0;
}

/// Returns whether the new servers refuse more calls, or answer more of them
/// late, than the old ones did.
bool RolloutController::isOverloaded() const {
  auto RefusedOrLate = static_cast<double>(
      New.Refused + New.Late - AtStep.New.Refused - AtStep.New.Late);
  auto Calls = static_cast<double>(New.Started + New.Refused -
                                   AtStep.New.Started - AtStep.New.Refused);
  return RefusedOrLate > (UsualRefusedOrLate + RefusedOrLateAllowance) * Calls +
                             RefusedOrLateSlack;
}

bool RolloutController::mayStartTrial(const RolloutControllerStep &Now) const {
  bool AnyRequests = Old.Started + New.Started > 0;
  return Now.Now - StartedAt >= (AnyRequests ? RateTime : IdleRateTime) &&
         !readyTargets(Now.Now).empty();
}

bool RolloutController::mayEndTrial(const RolloutControllerStep &Now) const {
  Duration Shortest =
      std::min<Duration>(MaxMinTrial, part(Now.Rollout, MinTrial));
  if (elapsedPart(Now) < TrialEnd || Now.Now - StepSeenAt < Shortest)
    return false;
  std::uint64_t Answers = countRuns(New.Routes);
  if (Answers >= MinTrialRuns)
    return true;
  bool FewCalls = Old.Started + New.Started < FewRequests;
  return elapsedPart(Now) >= ShortTrialEnd && (Answers > 0 || FewCalls);
}

bool RolloutController::mayGrow(const RolloutControllerStep &Now) const {
  Duration Time = std::clamp<Duration>(part(Now.Rollout, MinStep), ShortestStep,
                                       LongestMinStep);
  Duration Lasted = Now.Now - StepSeenAt;
  bool EnoughRuns =
      New.Started >= AtStep.New.Started + MinStepRuns || Lasted >= 3 * Time;
  return Lasted >= Time && EnoughRuns && !isOverloaded();
}

/// Returns whether the new servers have carried all traffic long enough.
bool RolloutController::mayComplete(const RolloutControllerStep &Now) const {
  Duration Lasted = Now.Now - StepSeenAt;
  if (Lasted < CompleteTime || isOverloaded())
    return false;
  // The sums of a second ago.
  const Sample *Before = &AtStep;
  for (const Sample &Earlier : Samples)
    if (Earlier.At + 1s <= Now.Now && Earlier.At > Before->At)
      Before = &Earlier;
  auto ToOld = static_cast<double>(Old.Started - Before->Old.Started);
  auto ToNew = static_cast<double>(New.Started - Before->New.Started);
  double Allowed =
      Lasted >= part(Now.Rollout, OldPartTime) ? OldPartLater : OldPart;
  return ToOld <= Allowed * ToNew;
}

bool RolloutController::mayAdvance(const RolloutControllerStep &Now) const {
  if (Judged.Health != RolloutHealth::Healthy)
    return false;
  if (Step == 0)
    return mayStartTrial(Now);
  if (Step == TrialStep)
    return mayEndTrial(Now);
  return Step < LastStep && mayGrow(Now);
}

/// Returns whether a host of the trial takes no calls any more, while another
/// one could.
bool RolloutController::isTrialHostLost(
    const RolloutControllerStep &Now) const {
  std::vector<HostId> Ready = readyTargets(Now.Now);
  if (Step != TrialStep || Ready.empty())
    return false;
  if (isTrialIdle(Now) && Now.Rollout.Share->Hosts.size() < Ready.size())
    return true;
  return std::ranges::any_of(Now.Rollout.Share->Hosts, [&](const HostId &Host) {
    return std::ranges::find(Ready, Host) == Ready.end();
  });
}

/// Returns whether the hosts of the trial get no calls, though there are some.
/// The ingresses may not reach these hosts.
bool RolloutController::isTrialIdle(const RolloutControllerStep &Now) const {
  return Step == TrialStep &&
         Now.Now - StepSeenAt >= part(Now.Rollout, MinTrial) &&
         New.Started == AtStep.New.Started && Old.Started > AtStep.Old.Started;
}

/// Returns the hosts that get the calls of the trial: few, so that they see
/// their usual load, but one in each region, since a route may be bound to its
/// home regions.
std::vector<HostId>
RolloutController::trialHosts(const RolloutControllerStep &Now,
                              double Share) const {
  std::vector<HostId> Ready = readyTargets(Now.Now);
  if (isTrialIdle(Now))
    return Ready;
  std::size_t OldServers = 0;
  for (const auto &[Host, Reporter] : Gates)
    OldServers += Reporter.Last.IsTarget ? 0 : 1;
  auto Wanted = static_cast<std::size_t>(
      std::max(1.0, std::ceil(Share * static_cast<double>(OldServers))));
  std::vector<HostId> Chosen;
  std::set<std::string> Regions;
  for (const HostId &Host : Ready) {
    const Announcement *Announced = Now.Directory.find(Host);
    if (Announced && Regions.insert(Announced->Region).second)
      Chosen.push_back(Host);
  }
  for (const HostId &Host : Ready)
    if (Chosen.size() < Wanted &&
        std::ranges::find(Chosen, Host) == Chosen.end())
      Chosen.push_back(Host);
  return Chosen;
}

RolloutShare RolloutController::nextShare(const RolloutControllerStep &Now,
                                          unsigned To) const {
  RolloutShare Next;
  Next.Service = Now.Rollout.Order.Service;
  Next.TargetVersion = Now.Rollout.Order.TargetVersion;
  Next.Order = Now.Rollout.At;
  Next.Step = To;
  Next.Share = StepShares[To];
  if (To != TrialStep)
    return Next;
  Next.Share = trialShare(Now);
  Next.Hosts = trialHosts(Now, Next.Share);
  return Next;
}

void RolloutController::wantShare(TimePoint Now, RolloutShare Share) {
  bool Same = ShareWanted && ShareWanted->Step == Share.Step &&
              ShareWanted->State == Share.State;
  if (!Same)
    ShareTiming = {Now, Now};
  ShareWanted = std::move(Share);
}

void RolloutController::wantStatus(TimePoint Now,
                                   std::optional<RolloutState> State) {
  if (StatusWanted != State)
    StatusTiming = {Now, Now};
  StatusWanted = State;
}

void RolloutController::decide(RolloutControllerStep &Now) {
  RolloutState Present = state(Now.Rollout);
  if (Present == RolloutState::Running) {
    std::string_view Reason = closeReason(Now);
    if (!Reason.empty()) {
      close(Now, Reason);
      Present = RolloutState::Closed;
    }
  }
  if (Present != RolloutState::Running) {
    wantStatus(Now.Now, Present == RolloutState::Closed
                            ? std::optional(RolloutState::RolledBack)
                            : std::nullopt);
    if (Now.Rollout.Share && Now.Rollout.state() == Present) {
      ShareWanted.reset();
      return;
    }
    RolloutShare Next = nextShare(Now, 0);
    Next.State = Present;
    Next.Step = Step;
    Next.Share = Present == RolloutState::Completed ? 1 : 0;
    return wantShare(Now.Now, std::move(Next));
  }
  if (!Now.Rollout.Share) {
    wantStatus(Now.Now, RunningSeen ? std::nullopt
                                    : std::optional(RolloutState::Running));
    if (RunningSeen)
      wantShare(Now.Now, nextShare(Now, 0));
    return;
  }
  bool Complete = Step == LastStep && Judged.Health == RolloutHealth::Healthy &&
                  mayComplete(Now);
  // A wish that has been due stays: the store may be away.
  Complete = Complete || StatusWanted == RolloutState::Completed;
  wantStatus(Now.Now,
             Complete ? std::optional(RolloutState::Completed) : std::nullopt);
  if (mayAdvance(Now))
    return wantShare(Now.Now, nextShare(Now, Step + 1));
  if (isTrialHostLost(Now))
    return wantShare(Now.Now, nextShare(Now, TrialStep));
  ShareWanted.reset();
}

void RolloutController::tick(RolloutControllerStep &Now) {
  sum();
  observeStep(Now);
  judge(Now);
  decide(Now);
  if (!Samples.empty() && Now.Now - Samples.back().At < SampleInterval)
    return;
  Samples.push_back({Now.Now, Old, New});
  if (Samples.size() > MaxSamples)
    Samples.pop_front();
}

// Writes.

bool RolloutController::isDue(const RolloutControllerStep &Now,
                              const Wanted &Action) const {
  Duration Delay = std::clamp<Duration>(part(Now.Rollout, RankDelay),
                                        MinRankDelay, MaxRankDelay);
  return Now.Now >= Action.Since + Delay * static_cast<int>(Now.Rank) &&
         Now.Now >= Action.RetryAt;
}

std::optional<RolloutShare>
RolloutController::takeShare(const RolloutControllerStep &Now) {
  if (!ShareWanted || !isDue(Now, ShareTiming))
    return std::nullopt;
  ShareTiming.RetryAt = Now.Now + WriteRetry;
  RolloutShare Next = *ShareWanted;
  Next.Elapsed = std::max(Duration(0), Now.Rollout.elapsed(Now.Now));
  Decision Line{LogLevel::Info, "rollout-step", {}};
  Line.Fields = {{"service", Next.Service},
                 {"version", Next.TargetVersion},
                 {"state", std::string(rolloutStateName(Next.State))},
                 {"step", std::to_string(Next.Step)},
                 {"share", std::to_string(Next.Share)},
                 {"runs", std::to_string(New.Started)},
                 {"requests", std::to_string(Old.Started + New.Started)}};
  Now.Out.emplace_back(std::move(Line));
  Now.Out.emplace_back(Count{Counter::RolloutSteps});
  return Next;
}

std::optional<RolloutState>
RolloutController::dueStatus(const RolloutControllerStep &Now) const {
  if (!StatusWanted || !isDue(Now, StatusTiming))
    return std::nullopt;
  return StatusWanted;
}

void RolloutController::statusUnknown(TimePoint Now) {
  StatusTiming.RetryAt = Now + StatusRetry;
}

std::optional<RolloutState>
RolloutController::statusRead(RolloutControllerStep &Now,
                              const std::optional<RolloutStatus> &Present) {
  if (!StatusWanted)
    return std::nullopt;
  bool SameTarget =
      Present && Present->TargetVersion == Now.Rollout.Order.TargetVersion;
  // Without a record, a final status is that of an earlier order for the same
  // version.
  bool Known = RunningSeen || Now.Rollout.Share;
  if (SameTarget && isFinal(Present->State) && Known) {
    Adopted = Present->State;
    return std::nullopt;
  }
  bool IsRunning = SameTarget && Present->State == RolloutState::Running;
  if (!IsRunning)
    return RolloutState::Running;
  RunningSeen = true;
  if (StatusWanted == RolloutState::Running)
    return std::nullopt;
  return StatusWanted;
}

void RolloutController::statusWritten(RolloutControllerStep &Now,
                                      RolloutState State,
                                      RolloutStatusWritten::Outcome Result) {
  using Outcome = RolloutStatusWritten::Outcome;
  if (Result == Outcome::Failed)
    return statusUnknown(Now.Now);
  if (Result == Outcome::Conflict)
    return;
  RunningSeen = true;
  if (isFinal(State))
    Adopted = State;
  Decision Line{LogLevel::Info, "rollout-status", {}};
  Line.Fields = {{"service", Now.Rollout.Order.Service},
                 {"version", Now.Rollout.Order.TargetVersion},
                 {"state", std::string(rolloutStateName(State))}};
  Now.Out.emplace_back(std::move(Line));
}

} // namespace figsail
