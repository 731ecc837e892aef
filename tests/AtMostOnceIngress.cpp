// AtMostOnceIngress.cpp - Simulation of the ingress: claim, execute and await
// by rules 1 to 4 of the at-most-once design.

#include "AtMostOnceHarness.h"

namespace figsail::harness {

static std::string nameOf(const Call &Current) {
  if (!Current.Token)
    return "call " + std::to_string(Current.Id.Ingress) + ":" +
           std::to_string(Current.Id.Sequence);
  return grantName(*Current.Token);
}

CallPolicy SimulatedCluster::policy(const Request &Subject) const {
  CallPolicy Policy;
  Policy.Route = Subject.Route;
  Policy.Service = Service;
  Policy.HomeRegions = Setup.Routes[std::stoul(Subject.Route.substr(1))];
  Policy.Idempotent = false;
  Policy.RecordLifetime = Lifetime;
  return Policy;
}

std::size_t SimulatedCluster::addRequest(std::size_t Route, bool Keyed) {
  Request Added;
  Added.Route = "r" + std::to_string(Route % Setup.Routes.size());
  Added.Key = requestKey(Added.Route, std::to_string(Requests.size()));
  Added.Keyed = Keyed;
  Requests.push_back(std::move(Added));
  return Requests.size() - 1;
}

void SimulatedCluster::submit(std::size_t Ingress, std::size_t RequestIndex) {
  Process &IngressDaemon = ingress(Ingress);
  Call Added;
  Added.RequestIndex = RequestIndex;
  ++Totals.Submitted;
  IngressDaemon.Calls.push_back(Added);
  if (!IngressDaemon.Paused)
    startAttempt(IngressDaemon, IngressDaemon.Calls.back(),
                 static_cast<unsigned>(RequestIndex));
}

void SimulatedCluster::startAttempt(Process &Daemon, Call &Current,
                                    std::uint32_t Choice) {
  if (Daemon.History.empty())
    return;
  const EpochEntry &View = Daemon.History.current();
  const Request &Subject = Requests[Current.RequestIndex];
  const Member *KeyCoordinator =
      coordinatorOf(View, Subject.Route, Subject.Key);
  std::vector<const Member *> Executors;
  for (const Member *Other : eligibleMembers(View, Subject.Route)) {
    bool Allowed =
        !Subject.Keyed ||
        mayExecute(View, Subject.Route, KeyCoordinator->Host, Other->Host);
    if (Setup.Disabled.DomainRule)
      Allowed = Other != KeyCoordinator;
    if (Allowed)
      Executors.push_back(Other);
  }
  if (Executors.empty())
    return;
  const Member &Chosen = *Executors[Choice % Executors.size()];
  if (!Setup.Disabled.FreshCallIds || Current.Id.Sequence == 0)
    Current.Id = {Daemon.Ref.Inc, Daemon.NextCall++};
  Current.Token.reset();
  Current.Target = Chosen.Inc;
  if (!Subject.Keyed) {
    Execute Work;
    Work.Call = Current.Id;
    Work.Target = Chosen.Inc;
    Work.Policy = policy(Subject);
    Work.Request.Body = std::to_string(Current.RequestIndex);
    Current.State = CallState::Executing;
    Current.Peer = Chosen.Host;
    return send(Daemon, Chosen.Host, std::move(Work));
  }
  Claim ClaimMessage;
  ClaimMessage.Call = Current.Id;
  ClaimMessage.Key = Subject.Key;
  ClaimMessage.Fingerprint = Current.RequestIndex;
  ClaimMessage.Policy = policy(Subject);
  ClaimMessage.Epoch = View.At;
  ClaimMessage.Executor = {Chosen.Host, Chosen.Inc};
  ClaimMessage.Released = Current.Released;
  Current.State = CallState::Claiming;
  Current.Peer = KeyCoordinator->Host;
  send(Daemon, KeyCoordinator->Host, std::move(ClaimMessage));
}

void SimulatedCluster::queryExecutor(Process &Daemon, Call &Current) {
  Current.State = CallState::Awaiting;
  send(Daemon, Current.Peer, Await{Current.Id, Current.Token, Current.Target});
}

void SimulatedCluster::advance(Process &Daemon, Call &Current,
                               std::uint32_t Choice) {
  switch (Current.State) {
  case CallState::Idle:
    return startAttempt(Daemon, Current, Choice);
  case CallState::Claiming:
    if (Choice % 8 == 0)
      Current.State = CallState::Idle;
    return;
  case CallState::Executing:
  case CallState::Awaiting:
    if (Choice % 3 == 0)
      queryExecutor(Daemon, Current);
    else if (Choice % 16 == 1)
      Current.State = CallState::Ended;
    return;
  case CallState::Ended:
    return;
  }
}

void SimulatedCluster::linkLost(Process &Daemon, const HostId &Host) {
  for (Call &Current : Daemon.Calls) {
    if (Current.Peer != Host)
      continue;
    if (Current.State == CallState::Claiming)
      Current.State = CallState::Idle;
    else if (Current.State == CallState::Executing ||
             (Current.State == CallState::Awaiting && findProcess(Host)))
      queryExecutor(Daemon, Current);
    else if (Current.State == CallState::Awaiting) {
      Current.State = CallState::Ended;
      ++Totals.Unknown;
    }
  }
}

void SimulatedCluster::reply(Process &Daemon, const PeerMessage &Message) {
  auto CallOf = [](const auto &Body) -> CallId {
    if constexpr (requires { Body.Call; })
      return Body.Call;
    return {};
  };
  CallId Id = std::visit(CallOf, Message);
  auto Found = std::ranges::find(Daemon.Calls, Id, &Call::Id);
  if (Found == Daemon.Calls.end())
    return;
  Call &Current = *Found;
  bool Claiming = Current.State == CallState::Claiming;
  bool Waiting = Current.State == CallState::Executing ||
                 Current.State == CallState::Awaiting;
  const Request &Subject = Requests[Current.RequestIndex];
  if (const auto *Grant = std::get_if<Granted>(&Message); Grant && Claiming) {
    Execute Work;
    Work.Call = Current.Id;
    Work.Policy = policy(Subject);
    Work.Target = Grant->Token.Executor.Inc;
    Work.Fingerprint = Current.RequestIndex;
    Work.Grant = Grant->Token;
    Work.Request.Body = std::to_string(Current.RequestIndex);
    Current.Token = Grant->Token;
    Current.Target = Work.Target;
    Current.Peer = Grant->Token.Executor.Host;
    Current.State = CallState::Executing;
    send(Daemon, Current.Peer, std::move(Work));
  } else if (const auto *Held = std::get_if<ClaimHeld>(&Message);
             Held && Claiming) {
    ++Totals.Held;
    Current.Token = Held->Token;
    Current.Target = Held->Token.Executor.Inc;
    Current.Peer = Held->Token.Executor.Host;
    queryExecutor(Daemon, Current);
  } else if (const auto *Done = std::get_if<ClaimDone>(&Message);
             Done && Claiming) {
    ++Totals.Replayed;
    answered(Current, Done->Response.Body);
  } else if (const auto *Refusal = std::get_if<ClaimRefused>(&Message);
             Refusal && Claiming) {
    claimRefused(Current, Refusal->Kind);
  } else if (const auto *Result = std::get_if<Answer>(&Message);
             Result && Waiting) {
    answered(Current, Result->Response.Body);
  } else if (std::holds_alternative<Refused>(Message) && Waiting) {
    refused(Current);
  } else if (std::holds_alternative<Failed>(Message) && Waiting) {
    Current.State = CallState::Ended;
    ++Totals.Unknown;
  }
}

void SimulatedCluster::answered(Call &Current, const std::string &Body) {
  Current.State = CallState::Ended;
  ++Totals.Answered;
  const Request &Subject = Requests[Current.RequestIndex];
  if (Subject.Runs.empty() || Subject.Runs.front() != Body)
    recordViolation("request " + std::to_string(Current.RequestIndex) +
                    " got another answer than that of its first run: " + Body);
}

void SimulatedCluster::refused(Call &Current) {
  if (RunGrants.contains(nameOf(Current)))
    recordViolation(nameOf(Current) + " was refused as final although it ran");
  RefusedGrants.insert(nameOf(Current));
  Current.Released = Current.Token;
  Current.State = CallState::Idle;
  ++Totals.Released;
}

void SimulatedCluster::claimRefused(Call &Current, ErrorKind Kind) {
  if (Kind == ErrorKind::StaleEpoch || Kind == ErrorKind::WrongIncarnation) {
    Current.State = CallState::Idle;
    ++Totals.Stale;
  } else {
    Current.State = CallState::Ended;
    ++Totals.Unknown;
  }
  bool SaysNotRun = errorEntry(Kind).Run == RunState::No;
  if (SaysNotRun && Kind != ErrorKind::StaleEpoch &&
      !Requests[Current.RequestIndex].Runs.empty())
    recordViolation("request " + std::to_string(Current.RequestIndex) +
                    " ran and was refused as not run");
}

} // namespace figsail::harness
