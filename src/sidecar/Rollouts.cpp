// Rollouts.cpp - Reports, controllers and the choice between versions.

#include "Rollouts.h"

#include "LocalServer.h"

#include "figsail/Epoch.h"

#include <algorithm>
#include <array>
#include <set>

namespace figsail {

using namespace std::chrono_literals;

/// Controllers of one order.
static constexpr std::size_t MaxControllers = 3;
/// Intervals of reports: of the old version, of the target version, and of both
/// while the target version gets many calls. In these few seconds each tenth of
/// a second until a verdict costs as much exposure as a second of the trial.
static constexpr Duration ReportInterval = 500ms;
static constexpr Duration TargetReportInterval = 250ms;
static constexpr Duration FastReportInterval = 125ms;
/// Step of the share record from which reports are sent more often.
static constexpr unsigned FastReportStep = 2;
/// Replies of controllers apply for this long, and at most for half of the time
/// in which a bad version must get no more requests.
static constexpr Duration MaxReplyLifetime = 2s;
/// Interval at which controllers decide.
static constexpr Duration TickInterval = 50ms;
/// A controller without reports for this long is dropped when its order has
/// ended.
static constexpr Duration ControllerLifetime = 10s;

Rollouts::Rollouts(const SidecarSettings &Settings)
    : Self(Settings.Host), Inc(Settings.Inc), Bounds(Settings.Bounds) {}

// Records.

void Rollouts::apply(RolloutStep &Step, const RolloutOrder &Order, Offset At) {
  if (!Orders.apply(Step.Now, Order, At))
    return;
  Controllers.erase(Order.Service);
  Decision Line{LogLevel::Info, "rollout-order", {}};
  Line.Fields = {{"service", Order.Service},
                 {"version", Order.TargetVersion},
                 {"offset", std::to_string(At)},
                 {"active", Order.Active ? "yes" : "no"}};
  Step.Out.emplace_back(std::move(Line));
  ReportAt = Step.Now;
}

/// Controllers hear at once that this daemon's gate may get more calls.
void Rollouts::apply(RolloutStep &Step, const RolloutShare &Share) {
  if (Orders.apply(Step.Now, Share))
    ReportAt = Step.Now;
}

void Rollouts::announced(TimePoint Now, const Announcement &Announced) {
  if (Bounds.UsesRollouts && Announced.State == InstanceState::Ready)
    Versions.announced(Now, Announced.Service, Announced.Version);
}

// The ingress.

/// Returns a number from 0 to 1 that depends on the seed only.
static double unitNumber(std::uint64_t Seed) {
  std::uint64_t Mixed = hashText("rollout", Seed);
  return static_cast<double>(Mixed >> 11) * 0x1p-53;
}

static void keepOnly(std::vector<const Member *> &Eligible,
                     std::vector<const Member *> Chosen) {
  Eligible = std::move(Chosen);
}

void Rollouts::restrictServers(TimePoint Now, const std::string &Service,
                               std::uint64_t Seed, bool OldOnly,
                               const InstanceDirectory &Directory,
                               std::vector<const Member *> &Eligible) const {
  const ActiveRollout *Rollout = Orders.find(Service);
  if (Orders.empty() && !Bounds.UsesRollouts)
    return;
  std::vector<const Member *> Target;
  std::vector<const Member *> Old;
  std::vector<const Member *> Held;
  for (const Member *Server : Eligible) {
    const Announcement *Announced = Directory.find(Server->Host);
    if (!Announced)
      continue;
    const std::string &Version = Announced->Version;
    if (Rollout && Version == Rollout->Order.TargetVersion)
      Target.push_back(Server);
    else if (Orders.isRejected(Service, Version))
      continue;
    else if (Bounds.UsesRollouts &&
             Versions.isHeld(Now, Service, Version, UpToDate))
      Held.push_back(Server);
    else
      Old.push_back(Server);
  }
  if (Old.empty())
    Old = std::move(Held);
  if (!Rollout) {
    if (!Old.empty())
      keepOnly(Eligible, std::move(Old));
    return;
  }
  RolloutState State = Rollout->state();
  bool Rejected =
      State == RolloutState::Closed || State == RolloutState::RolledBack;
  if (Rejected)
    return keepOnly(Eligible, std::move(Old));
  bool AnyTarget = !Target.empty();
  if (State == RolloutState::Completed && AnyTarget)
    return keepOnly(Eligible, std::move(Target));
  // Without a server of another version, the gates of the target version
  // decide.
  if (Old.empty())
    return keepOnly(Eligible, std::move(Target));
  double Share = Rollout->Share ? Rollout->Share->Share : 0;
  if (OldOnly || unitNumber(Seed) >= Share)
    return keepOnly(Eligible, std::move(Old));
  const std::vector<HostId> &Hosts = Rollout->Share->Hosts;
  if (!Hosts.empty())
    std::erase_if(Target, [&](const Member *Server) {
      return std::ranges::find(Hosts, Server->Host) == Hosts.end();
    });
  keepOnly(Eligible, Target.empty() ? std::move(Old) : std::move(Target));
}

// The own gate.

/// Returns whether a server of another version than the own one is ready.
static bool isOtherVersionReady(const RolloutStep &Step) {
  return std::ranges::any_of(
      Step.Directory.ready(Step.Server.service()), [&](const Member &Other) {
        return Step.Directory.find(Other.Host)->Version !=
               Step.Server.version();
      });
}

/// Returns whether the own server's version was rejected, or may be that of an
/// order that this daemon has not read.
bool Rollouts::isHeldBack(const RolloutStep &Step) const {
  const std::string &Service = Step.Server.service();
  const std::string &Version = Step.Server.version();
  if (Orders.isRejected(Service, Version))
    return Orders.find(Service) || isOtherVersionReady(Step);
  return Bounds.UsesRollouts &&
         Versions.isHeld(Step.Now, Service, Version, Step.UpToDate) &&
         isOtherVersionReady(Step);
}

RolloutRole Rollouts::roleOf(const RolloutStep &Step) const {
  const std::string &Service = Step.Server.service();
  const std::string &Version = Step.Server.version();
  const ActiveRollout *Rollout = Orders.find(Service);
  if (Rollout && Version == Rollout->Order.TargetVersion) {
    switch (Rollout->state()) {
    case RolloutState::Running:
      return RolloutRole::Target;
    case RolloutState::Completed:
      return RolloutRole::Open;
    case RolloutState::Closed:
    case RolloutState::RolledBack:
      return RolloutRole::Closed;
    }
  }
  if (isHeldBack(Step))
    return RolloutRole::Closed;
  bool Running = Rollout && !isFinal(Rollout->state());
  return Running ? RolloutRole::Old : RolloutRole::None;
}

void Rollouts::updateRole(RolloutStep &Step) {
  if (Orders.empty() && !Bounds.UsesRollouts)
    return;
  const std::string &Service = Step.Server.service();
  // A version of the own server counts as later than those that were read with
  // it.
  if (Bounds.UsesRollouts && Step.UpToDate &&
      Step.Server.state() == InstanceState::Ready)
    Versions.announced(Step.Now + Duration(1), Service, Step.Server.version());
  const ActiveRollout *Rollout = Orders.find(Service);
  Step.Gate.setReplyLifetime(
      std::min<Duration>(MaxReplyLifetime, Bounds.RollbackTime / 2));
  RolloutRole Before = Step.Gate.role();
  RolloutRole Next = roleOf(Step);
  Step.Gate.setRole(Next, Rollout ? Rollout->At : NoOffset,
                    Step.Server.instance(), Inc);
  if (Next == Before)
    return;
  ReportAt = Step.Now;
  Decision Line{LogLevel::Info, "rollout-role", {}};
  static constexpr std::array<std::string_view, 5> Names{
      "none", "old", "target", "open", "closed"};
  Line.Fields = {{"service", Service},
                 {"version", Step.Server.version()},
                 {"role", std::string(Names[static_cast<std::size_t>(Next)])}};
  Step.Out.emplace_back(std::move(Line));
}

/// Returns the controllers of an order: the hosts of the service in the order
/// of a hash, of different failure domains as far as there are any. A host that
/// seems unreachable is passed over.
std::vector<HostId>
Rollouts::controllersOf(const RolloutStep &Step,
                        const ActiveRollout &Rollout) const {
  std::uint64_t Seed = hashText(Rollout.Order.TargetVersion);
  std::map<std::uint64_t, const Announcement *> ByHash;
  for (const auto &[Host, Announced] : Step.Directory.all()) {
    bool Usable = Announced.Service == Rollout.Order.Service &&
                  Announced.State != InstanceState::Absent &&
                  !Step.Peers.isSuspected(Host);
    if (Usable)
      ByHash.emplace(hashText(Host, Seed), &Announced);
  }
  std::vector<HostId> Chosen;
  std::set<std::string> Domains;
  for (const auto &[Hash, Announced] : ByHash)
    if (Chosen.size() < MaxControllers &&
        Domains.insert(Announced->FailureDomain).second)
      Chosen.push_back(Announced->Host);
  for (const auto &[Hash, Announced] : ByHash)
    if (Chosen.size() < MaxControllers &&
        std::ranges::find(Chosen, Announced->Host) == Chosen.end())
      Chosen.push_back(Announced->Host);
  return Chosen;
}

void Rollouts::sendReport(RolloutStep &Step) {
  const std::string &Service = Step.Server.service();
  const ActiveRollout *Rollout = Orders.find(Service);
  bool Needed = Rollout && !isFinal(Rollout->state()) &&
                Step.Server.state() != InstanceState::Absent;
  if (!Needed) {
    ReportAt = TimePoint::max();
    return;
  }
  if (ReportAt == TimePoint::max())
    ReportAt = Step.Now;
  if (Step.Now < ReportAt)
    return;
  bool IsTarget = Step.Gate.role() == RolloutRole::Target;
  bool Fast = Rollout->state() == RolloutState::Running &&
              Rollout->step() >= FastReportStep;
  ReportAt = Step.Now + (Fast       ? FastReportInterval
                         : IsTarget ? TargetReportInterval
                                    : ReportInterval);
  RolloutReport Message = Step.Gate.report();
  Message.Service = Service;
  Message.ElapsedMicros = Rollout->elapsed(Step.Now).count();
  Message.IsTarget = Step.Server.version() == Rollout->Order.TargetVersion;
  Message.Ready = Step.Open;
  for (const HostId &Host : controllersOf(Step, *Rollout))
    Step.Out.emplace_back(SendPeer{Host, Message});
}

void Rollouts::verdict(RolloutStep &Step, const HostId &From,
                       const RolloutVerdict &Message) {
  if (Message.Progress >= RolloutStateCount)
    return;
  Orders.observeElapsed(Step.Now, Message.Service, Message.Order,
                        Duration(Message.ElapsedMicros));
  if (Message.Service == Step.Server.service())
    Step.Gate.verdict(Step.Now, From, Message);
}

// Controllers.

RolloutControllerStep
Rollouts::controllerStep(RolloutStep &Step,
                         const ActiveRollout &Rollout) const {
  std::vector<HostId> Order = controllersOf(Step, Rollout);
  auto Own = std::ranges::find(Order, Self);
  return {Step.Now,       Rollout,
          Bounds,         static_cast<unsigned>(Own - Order.begin()),
          Step.Directory, Step.Out};
}

void Rollouts::report(RolloutStep &Step, const HostId &From,
                      const RolloutReport &Message) {
  Orders.observeElapsed(Step.Now, Message.Service, Message.Order,
                        Duration(Message.ElapsedMicros));
  const ActiveRollout *Rollout = Orders.find(Message.Service);
  if (!Rollout || !maybeSameOrder(Rollout->At, Message.Order))
    return;
  auto Found = Controllers.try_emplace(Message.Service, Step.Now).first;
  // The rank matters to decisions only.
  RolloutControllerStep AtController{Step.Now, *Rollout,       Bounds,
                                     0,        Step.Directory, Step.Out};
  Step.Out.emplace_back(
      SendPeer{From, Found->second.report(AtController, From, Message)});
  TickAt = std::min(TickAt, Step.Now + TickInterval);
}

void Rollouts::tickControllers(RolloutStep &Step) {
  if (Step.Now < TickAt)
    return;
  std::erase_if(Controllers, [&](const auto &Entry) {
    const ActiveRollout *Rollout = Orders.find(Entry.first);
    return !Rollout ||
           (isFinal(Rollout->state()) &&
            Entry.second.lastReportAt() + ControllerLifetime < Step.Now);
  });
  TickAt = Controllers.empty() ? TimePoint::max() : Step.Now + TickInterval;
  for (auto &[Service, Controller] : Controllers) {
    const ActiveRollout &Rollout = *Orders.find(Service);
    RolloutControllerStep AtController = controllerStep(Step, Rollout);
    Controller.tick(AtController);
    auto Share = Controller.takeShare(AtController);
    if (!Share)
      continue;
    Share->Rejected = Orders.rejected(Service);
    SharesToAppend.push_back(std::move(*Share));
  }
  startStatusCall(Step);
}

std::optional<RolloutShare> Rollouts::takeShare() {
  if (SharesToAppend.empty())
    return std::nullopt;
  RolloutShare Next = std::move(SharesToAppend.front());
  SharesToAppend.erase(SharesToAppend.begin());
  return Next;
}

/// Each write follows a read, so that a status that another controller has
/// written is not replaced.
void Rollouts::startStatusCall(RolloutStep &Step) {
  if (StatusInFlight)
    return;
  for (auto &[Service, Controller] : Controllers) {
    const ActiveRollout &Rollout = *Orders.find(Service);
    RolloutControllerStep AtController = controllerStep(Step, Rollout);
    if (!Controller.dueStatus(AtController))
      continue;
    StatusInFlight = StatusCall{Service, Rollout.At, RolloutState::Running};
    Step.Out.emplace_back(ReadRolloutStatus{});
    return;
  }
}

/// Returns the order that a call is for, or null if another one is in force.
const ActiveRollout *Rollouts::rolloutOf(const StatusCall &Call) const {
  const ActiveRollout *Rollout = Orders.find(Call.Service);
  return Rollout && Rollout->At == Call.Order ? Rollout : nullptr;
}

void Rollouts::statusRead(RolloutStep &Step, const RolloutStatusRead &Read) {
  if (!StatusInFlight)
    return;
  const std::string Service = StatusInFlight->Service;
  auto Found = Controllers.find(Service);
  const ActiveRollout *Rollout = rolloutOf(*StatusInFlight);
  if (Found == Controllers.end() || !Rollout) {
    StatusInFlight.reset();
    return;
  }
  if (!Read.Success) {
    StatusInFlight.reset();
    return Found->second.statusUnknown(Step.Now);
  }
  std::optional<RolloutStatus> Present;
  for (const RolloutStatus &Entry : Read.Entries)
    if (Entry.Service == Service)
      Present = Entry;
  RolloutControllerStep AtController = controllerStep(Step, *Rollout);
  auto Next = Found->second.statusRead(AtController, Present);
  if (!Next) {
    StatusInFlight.reset();
    return;
  }
  StatusInFlight->Writing = *Next;
  Step.Out.emplace_back(WriteRolloutStatus{
      {Service, *Next, Rollout->Order.TargetVersion}, Read.End});
}

void Rollouts::statusWritten(RolloutStep &Step,
                             const RolloutStatusWritten &Ended) {
  if (!StatusInFlight)
    return;
  StatusCall Call = std::move(*StatusInFlight);
  StatusInFlight.reset();
  auto Found = Controllers.find(Call.Service);
  const ActiveRollout *Rollout = rolloutOf(Call);
  if (Found == Controllers.end() || !Rollout)
    return;
  RolloutControllerStep AtController = controllerStep(Step, *Rollout);
  Found->second.statusWritten(AtController, Call.Writing, Ended.Result);
  TickAt = Step.Now;
}

// Events.

void Rollouts::update(RolloutStep &Step) {
  UpToDate = Step.UpToDate;
  updateRole(Step);
  if (Orders.empty())
    return;
  sendReport(Step);
  tickControllers(Step);
}

TimePoint Rollouts::nextWake() const { return std::min(ReportAt, TickAt); }

} // namespace figsail
