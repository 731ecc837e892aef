// AtMostOnceIngress.cpp - The ingress side of the harness: claim, execute,
// await, as rules 1 to 4 of the design have it.

#include "AtMostOnceHarness.h"

namespace figsail::harness {

static std::string nameOf(const Call &Current) {
  if (!Current.Token)
    return "call " + std::to_string(Current.Id.Ingress) + ":" +
           std::to_string(Current.Id.Sequence);
  return grantName(*Current.Token);
}

CallPolicy World::policy(const Request &Subject) const {
  CallPolicy Policy;
  Policy.Route = Subject.Route;
  Policy.Service = Service;
  Policy.HomeRegions = Plan.Routes[std::stoul(Subject.Route.substr(1))];
  Policy.Idempotent = false;
  Policy.RecordLifetime = Lifetime;
  return Policy;
}

std::size_t World::addRequest(std::size_t Route, bool Keyed) {
  Request Added;
  Added.Route = "r" + std::to_string(Route % Plan.Routes.size());
  Added.Key = requestKey(Added.Route, std::to_string(Requests.size()));
  Added.Keyed = Keyed;
  Requests.push_back(std::move(Added));
  return Requests.size() - 1;
}

void World::submit(std::size_t Ingress, std::size_t Subject) {
  Process &Front = ingress(Ingress);
  Call Added;
  Added.Subject = Subject;
  ++Seen.Submitted;
  Front.Calls.push_back(Added);
  if (!Front.Paused)
    startAttempt(Front, Front.Calls.back(), static_cast<unsigned>(Subject));
}

void World::startAttempt(Process &Who, Call &Current, std::uint32_t Choice) {
  if (Who.History.empty())
    return;
  const EpochEntry &View = Who.History.current();
  const Request &Subject = Requests[Current.Subject];
  const Member *Owner = coordinatorOf(View, Subject.Route, Subject.Key);
  std::vector<const Member *> Executors;
  for (const Member *Other : eligibleMembers(View, Subject.Route)) {
    bool Allowed = !Subject.Keyed ||
                   mayExecute(View, Subject.Route, Owner->Host, Other->Host);
    if (Plan.Without.DomainRule)
      Allowed = Other != Owner;
    if (Allowed)
      Executors.push_back(Other);
  }
  if (Executors.empty())
    return;
  const Member &Chosen = *Executors[Choice % Executors.size()];
  if (!Plan.Without.FreshCallIds || Current.Id.Sequence == 0)
    Current.Id = {Who.Ref.Inc, Who.NextCall++};
  Current.Token.reset();
  Current.Target = Chosen.Inc;
  if (!Subject.Keyed) {
    Execute Work;
    Work.Call = Current.Id;
    Work.Target = Chosen.Inc;
    Work.Policy = policy(Subject);
    Work.Request.Body = std::to_string(Current.Subject);
    Current.State = CallState::Executing;
    Current.Peer = Chosen.Host;
    return send(Who, Chosen.Host, std::move(Work));
  }
  Claim Question;
  Question.Call = Current.Id;
  Question.Key = Subject.Key;
  Question.Fingerprint = Current.Subject;
  Question.Policy = policy(Subject);
  Question.Epoch = View.At;
  Question.Executor = {Chosen.Host, Chosen.Inc};
  Question.Released = Current.Released;
  Current.State = CallState::Claiming;
  Current.Peer = Owner->Host;
  send(Who, Owner->Host, std::move(Question));
}

void World::askExecutor(Process &Who, Call &Current) {
  Current.State = CallState::Awaiting;
  send(Who, Current.Peer, Await{Current.Id, Current.Token, Current.Target});
}

void World::advance(Process &Who, Call &Current, std::uint32_t Choice) {
  switch (Current.State) {
  case CallState::Idle:
    return startAttempt(Who, Current, Choice);
  case CallState::Claiming:
    if (Choice % 8 == 0)
      Current.State = CallState::Idle;
    return;
  case CallState::Executing:
  case CallState::Awaiting:
    if (Choice % 3 == 0)
      askExecutor(Who, Current);
    else if (Choice % 16 == 1)
      Current.State = CallState::Ended;
    return;
  case CallState::Ended:
    return;
  }
}

void World::linkLost(Process &Who, const HostId &Host) {
  for (Call &Current : Who.Calls) {
    if (Current.Peer != Host)
      continue;
    if (Current.State == CallState::Claiming)
      Current.State = CallState::Idle;
    else if (Current.State == CallState::Executing ||
             (Current.State == CallState::Awaiting && at(Host)))
      askExecutor(Who, Current);
    else if (Current.State == CallState::Awaiting) {
      Current.State = CallState::Ended;
      ++Seen.Unknown;
    }
  }
}

void World::reply(Process &Who, const PeerMessage &Message) {
  auto CallOf = [](const auto &Body) -> CallId {
    if constexpr (requires { Body.Call; })
      return Body.Call;
    return {};
  };
  CallId Id = std::visit(CallOf, Message);
  auto Found = std::ranges::find(Who.Calls, Id, &Call::Id);
  if (Found == Who.Calls.end())
    return;
  Call &Current = *Found;
  bool Claiming = Current.State == CallState::Claiming;
  bool Waiting = Current.State == CallState::Executing ||
                 Current.State == CallState::Awaiting;
  const Request &Subject = Requests[Current.Subject];
  if (const auto *Yes = std::get_if<Granted>(&Message); Yes && Claiming) {
    Execute Work;
    Work.Call = Current.Id;
    Work.Policy = policy(Subject);
    Work.Target = Yes->Token.Executor.Inc;
    Work.Fingerprint = Current.Subject;
    Work.Grant = Yes->Token;
    Work.Request.Body = std::to_string(Current.Subject);
    Current.Token = Yes->Token;
    Current.Target = Work.Target;
    Current.Peer = Yes->Token.Executor.Host;
    Current.State = CallState::Executing;
    send(Who, Current.Peer, std::move(Work));
  } else if (const auto *Held = std::get_if<ClaimHeld>(&Message);
             Held && Claiming) {
    ++Seen.Held;
    Current.Token = Held->Token;
    Current.Target = Held->Token.Executor.Inc;
    Current.Peer = Held->Token.Executor.Host;
    askExecutor(Who, Current);
  } else if (const auto *Done = std::get_if<ClaimDone>(&Message);
             Done && Claiming) {
    ++Seen.Replayed;
    answered(Current, Done->Response.Body);
  } else if (const auto *No = std::get_if<ClaimRefused>(&Message);
             No && Claiming) {
    claimRefused(Current, No->Kind);
  } else if (const auto *Result = std::get_if<Answer>(&Message);
             Result && Waiting) {
    answered(Current, Result->Response.Body);
  } else if (std::holds_alternative<Refused>(Message) && Waiting) {
    refused(Current);
  } else if (std::holds_alternative<Failed>(Message) && Waiting) {
    Current.State = CallState::Ended;
    ++Seen.Unknown;
  }
}

void World::answered(Call &Current, const std::string &Body) {
  Current.State = CallState::Ended;
  ++Seen.Answered;
  const Request &Subject = Requests[Current.Subject];
  if (Subject.Runs.empty() || Subject.Runs.front() != Body)
    fail("request " + std::to_string(Current.Subject) +
         " got another answer than that of its first run: " + Body);
}

void World::refused(Call &Current) {
  if (RunGrants.contains(nameOf(Current)))
    fail(nameOf(Current) + " was refused as final although it ran");
  RefusedGrants.insert(nameOf(Current));
  Current.Released = Current.Token;
  Current.State = CallState::Idle;
  ++Seen.Released;
}

void World::claimRefused(Call &Current, ErrorKind Kind) {
  if (Kind == ErrorKind::StaleEpoch || Kind == ErrorKind::WrongIncarnation) {
    Current.State = CallState::Idle;
    ++Seen.Stale;
  } else {
    Current.State = CallState::Ended;
    ++Seen.Unknown;
  }
  bool SaysNotRun = errorEntry(Kind).Run == RunState::No;
  if (SaysNotRun && Kind != ErrorKind::StaleEpoch &&
      !Requests[Current.Subject].Runs.empty())
    fail("request " + std::to_string(Current.Subject) +
         " ran and was refused as not run");
}

} // namespace figsail::harness
