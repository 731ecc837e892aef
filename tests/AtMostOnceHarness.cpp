// AtMostOnceHarness.cpp - Simulation of the members, the network and the log.

#include "AtMostOnceHarness.h"

namespace figsail::harness {

std::string grantName(const GrantToken &Token) {
  return "key " + std::to_string(Token.Key.Low) + " epoch " +
         std::to_string(Token.Epoch) + " attempt " +
         std::to_string(Token.Attempt) + " on " + Token.Executor.Host + "#" +
         std::to_string(Token.Executor.Inc);
}

static std::string nameOf(const Execute &Work) {
  if (Work.Grant)
    return grantName(*Work.Grant);
  return "call " + std::to_string(Work.Call.Ingress) + ":" +
         std::to_string(Work.Call.Sequence);
}

SimulatedCluster::SimulatedCluster(Scenario Initial)
    : Setup(std::move(Initial)) {
  for (std::size_t I = 0; I < Setup.Hosts.size(); ++I) {
    HostId Host = "m" + std::to_string(I);
    Processes.push_back(std::make_unique<Process>(
        PeerRef{Host, NextInc++}, std::chrono::seconds(1000 * I)));
    Listed.insert(Host);
    ListedInc[Host] = Processes.back()->Ref.Inc;
  }
  for (std::size_t I = 0; I < Setup.Ingresses; ++I)
    Ingresses.push_back(std::make_unique<Process>(
        PeerRef{"i" + std::to_string(I), NextInc++}, Duration(0)));
  appendEpoch();
  applyAll();
}

Process *SimulatedCluster::findProcess(const HostId &Host) {
  for (auto &Daemon : Ingresses)
    if (Daemon->Ref.Host == Host)
      return Daemon.get();
  for (auto &Daemon : Processes)
    if (Daemon->Alive && Daemon->Ref.Host == Host)
      return Daemon.get();
  return nullptr;
}

std::vector<Process *> SimulatedCluster::live() {
  std::vector<Process *> Found;
  for (auto &Daemon : Processes)
    if (Daemon->Alive && !Daemon->Paused)
      Found.push_back(Daemon.get());
  return Found;
}

void SimulatedCluster::appendEpoch() {
  EpochEntry Entry;
  Entry.At = Log.empty() ? 10 : Log.back().At + 7;
  for (const HostId &Host : Listed) {
    Member Added;
    const HostPlacement &Placement = Setup.Hosts[std::stoul(Host.substr(1))];
    Added.Host = Host;
    Added.Inc = ListedInc[Host];
    Added.Region = Placement.Region;
    Added.FailureDomain = Placement.Domain;
    Added.Service = Service;
    Entry.Members.push_back(Added);
  }
  for (std::size_t I = 0; I < Setup.Routes.size(); ++I)
    Entry.RouteRegions["r" + std::to_string(I)] = Setup.Routes[I];
  Log.push_back(Entry);
  ++Totals.Epochs;
}

void SimulatedCluster::applyNext(Process &Daemon) {
  if (Daemon.Applied >= Log.size() || Daemon.Paused)
    return;
  EpochEntry Entry = Log[Daemon.Applied++];
  Entry.AppliedAt = now(Daemon);
  if (Setup.Disabled.OwnIncarnation)
    for (Member &Listed : Entry.Members)
      if (Listed.Host == Daemon.Ref.Host)
        Listed.Inc = Daemon.Ref.Inc;
  Daemon.History.append(std::move(Entry));
  if (Daemon.Ref.Host[0] == 'i')
    return;
  EffectList Out;
  Daemon.KeyCoordinator.epochChanged(now(Daemon), Service, Daemon.History,
                                     Daemon.Log, Out);
  applyEffects(Daemon, Out);
  if (Setup.Disabled.AckWait)
    forgeAcks(Daemon);
}

void SimulatedCluster::forgeAcks(Process &Daemon) {
  for (const EpochEntry &Entry : Daemon.History.entries()) {
    for (const Member &Other : Entry.Members) {
      FenceAck Forged;
      Forged.Service = Service;
      Forged.Epoch = Daemon.History.current().At;
      Forged.AckNumber = 1ULL << 40;
      Forged.Complete = true;
      Daemon.KeyCoordinator.fenceAck(now(Daemon), {Other.Host, Other.Inc},
                                     Forged, &Daemon.History);
    }
  }
}

void SimulatedCluster::applyAll() {
  for (auto *Group : {&Processes, &Ingresses})
    for (auto &Daemon : *Group)
      while (Daemon->Alive && !Daemon->Paused && Daemon->Applied < Log.size())
        applyNext(*Daemon);
}

void SimulatedCluster::kill(const HostId &Host) {
  Process *Daemon = findProcess(Host);
  if (!Daemon || Host[0] == 'i')
    return;
  Daemon->Alive = false;
  for (auto &Other : Ingresses)
    loseLink(Daemon, Other.get());
  std::erase_if(InFlight,
                [&](const InFlightMessage &F) { return F.To == Daemon; });
}

void SimulatedCluster::restart(const HostId &Host, bool Truncated) {
  kill(Host);
  ++Totals.Restarts;
  Incarnation Inc = NextInc++;
  Processes.push_back(std::make_unique<Process>(
      PeerRef{Host, Inc}, std::chrono::seconds(77 * Inc)));
  Process &Daemon = *Processes.back();
  if (!Truncated)
    return;
  // A snapshot holds the last epoch only.
  Daemon.Applied = Log.size();
  EpochEntry Entry = Log.back();
  Entry.AppliedAt = now(Daemon);
  Entry.Truncated = true;
  if (Setup.Disabled.OwnIncarnation)
    for (Member &Listed : Entry.Members)
      if (Listed.Host == Host)
        Listed.Inc = Daemon.Ref.Inc;
  Daemon.History.append(std::move(Entry));
  EffectList Out;
  Daemon.KeyCoordinator.epochChanged(now(Daemon), Service, Daemon.History,
                                     Daemon.Log, Out);
  applyEffects(Daemon, Out);
}

void SimulatedCluster::setListed(const HostId &Host, bool IsListed) {
  Process *Daemon = findProcess(Host);
  if (!IsListed && Listed.erase(Host))
    return appendEpoch();
  if (!IsListed || !Daemon)
    return;
  if (Listed.contains(Host) && ListedInc[Host] == Daemon->Ref.Inc)
    return;
  Listed.insert(Host);
  ListedInc[Host] = Daemon->Ref.Inc;
  appendEpoch();
}

void SimulatedCluster::pause(const HostId &Host, bool Paused) {
  if (Process *Daemon = findProcess(Host))
    Daemon->Paused = Paused;
}

void SimulatedCluster::tick(Duration By) {
  Clock += By;
  for (Process *Daemon : live()) {
    EffectList Out;
    if (Daemon->KeyCoordinator.nextWake() <= now(*Daemon))
      Daemon->KeyCoordinator.timer(now(*Daemon), Out);
    applyEffects(*Daemon, Out);
  }
}

void SimulatedCluster::send(Process &From, const HostId &To,
                            PeerMessage Message) {
  Process *Target = findProcess(To);
  if (Target)
    InFlight.push_back({&From, Target, std::move(Message)});
  else if (From.Ref.Host[0] == 'i')
    linkLost(From, To);
}

void SimulatedCluster::applyEffects(Process &Daemon, EffectList &Effects) {
  for (Effect &Next : Effects)
    if (auto *Sending = std::get_if<SendPeer>(&Next))
      send(Daemon, Sending->Host, std::move(Sending->Message));
}

void SimulatedCluster::loseLink(Process *A, Process *B) {
  std::erase_if(InFlight, [&](const InFlightMessage &F) {
    return F.Message &&
           ((F.From == A && F.To == B) || (F.From == B && F.To == A));
  });
  InFlight.push_back({A, B, std::nullopt});
  InFlight.push_back({B, A, std::nullopt});
}

void SimulatedCluster::deliver(std::size_t Index) {
  InFlightMessage Next = InFlight[Index];
  if (Next.To->Paused)
    return;
  InFlight.erase(InFlight.begin() + static_cast<std::ptrdiff_t>(Index));
  if (!Next.To->Alive)
    return;
  if (!Next.Message) {
    if (Next.To->Ref.Host[0] == 'i')
      linkLost(*Next.To, Next.From->Ref.Host);
    return;
  }
  receive(*Next.To, *Next.From, std::move(*Next.Message));
}

void SimulatedCluster::alterMessage(Process &Daemon,
                                    PeerMessage &Message) const {
  auto *Work = std::get_if<Execute>(&Message);
  auto *AwaitMessage = std::get_if<Await>(&Message);
  if (Setup.Disabled.FenceCheck && Work && Work->Grant)
    Work->Grant->Epoch += 1LL << 40;
  if (auto *Ack = std::get_if<FenceAck>(&Message))
    Ack->Complete = Ack->Complete || Setup.Disabled.Complete;
  if (!Setup.Disabled.ExecutorIncarnation)
    return;
  if (Work) {
    Work->Target = 0;
    if (Work->Grant)
      Work->Grant->Executor = Daemon.Ref;
  }
  if (AwaitMessage) {
    AwaitMessage->Target = 0;
    if (AwaitMessage->Grant)
      AwaitMessage->Grant->Executor = Daemon.Ref;
  }
}

void SimulatedCluster::receive(Process &Daemon, Process &From,
                               PeerMessage Message) {
  if (Daemon.Ref.Host[0] == 'i')
    return reply(Daemon, Message);
  alterMessage(Daemon, Message);
  EffectList Out;
  TimePoint Now = now(Daemon);
  if (auto *Work = std::get_if<Execute>(&Message))
    return execute(Daemon, From, *Work);
  if (auto *ClaimMessage = std::get_if<Claim>(&Message))
    return claim(Daemon, From, std::move(*ClaimMessage));
  if (auto *AwaitMessage = std::get_if<Await>(&Message)) {
    Execute Queried;
    Queried.Call = AwaitMessage->Call;
    Queried.Grant = AwaitMessage->Grant;
    bool Arrived = Daemon.ArrivedGrants.contains(nameOf(Queried));
    if (Setup.Disabled.FinalMarks && !Arrived)
      Out.push_back(
          SendPeer{From.Ref.Host,
                   Refused{AwaitMessage->Call, ErrorKind::NeverStarted, {}}});
    else
      Daemon.Log.await(Now, From.Ref, *AwaitMessage, {}, Out);
  }
  if (auto *Report = std::get_if<Completed>(&Message))
    Daemon.KeyCoordinator.completed(Now, From.Ref, *Report);
  if (auto *FenceMessage = std::get_if<Fence>(&Message))
    Daemon.KeyCoordinator.fence(Now, From.Ref, *FenceMessage, Daemon.history(),
                                Daemon.Log, Out);
  if (auto *Ack = std::get_if<FenceAck>(&Message))
    Daemon.KeyCoordinator.fenceAck(Now, From.Ref, *Ack, Daemon.history());
  applyEffects(Daemon, Out);
}

void SimulatedCluster::claim(Process &Daemon, const Process &From,
                             Claim Message) {
  EffectList Out;
  EpochHistory Visible = Daemon.History;
  if (Setup.Disabled.DomainRule && !Visible.empty()) {
    // In the current epoch each host is its own failure domain, so grants
    // ignore the real ones. The search of earlier epochs still uses the real
    // ones.
    EpochHistory Altered;
    for (EpochEntry Entry : Visible.entries()) {
      if (Entry.At == Visible.current().At)
        for (Member &Member : Entry.Members)
          Member.FailureDomain = Member.Host;
      Altered.append(std::move(Entry));
    }
    Visible = Altered;
  }
  if (Setup.Disabled.ReleasedToken && Message.Released) {
    // A claim without Released gets the record's token. Sent back as Released,
    // it has the effect of a comparison of attempt numbers only.
    Claim Query = Message;
    Query.Released.reset();
    EffectList Held;
    Daemon.KeyCoordinator.claim(now(Daemon), From.Ref, Query, &Visible, Held);
    for (const Effect &Next : Held)
      if (const auto *Sending = std::get_if<SendPeer>(&Next))
        if (const auto *Known = std::get_if<ClaimHeld>(&Sending->Message))
          if (Known->Token.Attempt == Message.Released->Attempt)
            Message.Released = Known->Token;
  }
  Daemon.KeyCoordinator.claim(now(Daemon), From.Ref, Message,
                              Visible.empty() ? nullptr : &Visible, Out);
  for (const Effect &Next : Out)
    if (const auto *Sending = std::get_if<SendPeer>(&Next))
      if (std::holds_alternative<Granted>(Sending->Message))
        this->Totals.GrantsAfterTakeover += Daemon.History.current().At > 10;
  applyEffects(Daemon, Out);
}

void SimulatedCluster::execute(Process &Daemon, const Process &From,
                               const Execute &Message) {
  Daemon.ArrivedGrants.insert(nameOf(Message));
  const EpochHistory *History =
      Setup.Disabled.DomainRule ? nullptr : Daemon.history();
  AcceptResult Verdict =
      Daemon.Log.accept(now(Daemon), From.Ref, Message, History);
  if (auto *Known = std::get_if<KnownReply>(&Verdict))
    return send(Daemon, From.Ref.Host, Known->Reply);
  if (std::holds_alternative<MayRun>(Verdict)) {
    Daemon.Queue.push_back(Message.Call);
    Daemon.Work[Message.Call] = Message;
  }
  send(Daemon, From.Ref.Host, Received{Message.Call});
}

void SimulatedCluster::runNext(Process &Daemon, std::uint32_t Choice) {
  if (Daemon.Queue.empty())
    return;
  std::size_t Index = Choice % Daemon.Queue.size();
  CallId Call = Daemon.Queue[Index];
  Daemon.Queue.erase(Daemon.Queue.begin() + static_cast<std::ptrdiff_t>(Index));
  EffectList Out;
  if (!Daemon.Log.start(now(Daemon), Call)) {
    ++Totals.Fenced;
    Daemon.Log.refuse(now(Daemon), Call, ErrorKind::StaleEpoch, {}, Out);
    return applyEffects(Daemon, Out);
  }
  if (Choice % 11 == 7) { // No byte was written to the backend server.
    Daemon.Log.refuse(now(Daemon), Call, ErrorKind::Overloaded, {}, Out);
    return applyEffects(Daemon, Out);
  }
  const Execute &Work = Daemon.Work[Call];
  Request &Subject = Requests[std::stoul(Work.Request.Body)];
  ++Totals.Runs;
  Subject.Runs.push_back(Work.Request.Body + " run " +
                         std::to_string(Totals.Runs));
  Daemon.Work[Call].Request.Target = Subject.Runs.back();
  RunGrants.insert(nameOf(Work));
  if (Subject.Runs.size() > 1)
    recordViolation("request " + Work.Request.Body + " ran twice, last as " +
                    nameOf(Work));
  if (RefusedGrants.contains(nameOf(Work)))
    recordViolation(nameOf(Work) + " ran after its final refusal");
  Daemon.Running.push_back(Call);
}

void SimulatedCluster::finishNext(Process &Daemon, std::uint32_t Choice) {
  if (Daemon.Running.empty())
    return;
  std::size_t Index = Choice % Daemon.Running.size();
  CallId Call = Daemon.Running[Index];
  Daemon.Running.erase(Daemon.Running.begin() +
                       static_cast<std::ptrdiff_t>(Index));
  EffectList Out;
  std::variant<HttpResponse, ErrorKind> Result = ErrorKind::BackendFailed;
  if (Choice % 13 != 5)
    Result = HttpResponse{200, {}, Daemon.Work[Call].Request.Target};
  Daemon.Log.finish(now(Daemon), Call, Result, {}, Out);
  applyEffects(Daemon, Out);
}

// Submits a new request, or resends an earlier one that has a key. A request
// without a key is never resent.
void SimulatedCluster::submitSome(std::size_t Ingress, std::uint32_t Choice) {
  std::size_t Earlier = Requests.empty() ? 0 : Choice / 4 % Requests.size();
  bool Resend = !Requests.empty() &&
                (Choice % 4 != 0 || Requests.size() > Setup.MaxRequests);
  if (Resend && Requests[Earlier].Keyed)
    return submit(Ingress, Earlier);
  submit(Ingress, addRequest(Choice / 4, Choice % 5 != 0));
}

// Weights of the random choice of actions, for each profile.
namespace {
enum class Action {
  Deliver,
  DeliverMany,
  Duplicate,
  LoseLink,
  Submit,
  Advance,
  Run,
  Finish,
  Tick,
  Apply,
  ApplyMost,
  Pause,
  Resume,
  Kill,
  Restart,
  Remove,
  List
};
struct ActionWeight {
  Action Kind;
  std::uint32_t Disorderly;
  std::uint32_t Orderly;
};
} // namespace
// clang-format off
static constexpr ActionWeight Weights[] = {
    {Action::Deliver, 520, 150}, {Action::DeliverMany, 0, 60}, {Action::Duplicate, 15, 8},
    {Action::LoseLink, 8, 4},    {Action::Submit, 60, 60},     {Action::Advance, 100, 90},
    {Action::Run, 90, 80},       {Action::Finish, 60, 50},     {Action::Tick, 40, 30},
    {Action::Apply, 80, 30},     {Action::ApplyMost, 0, 30},   {Action::Pause, 6, 3},
    {Action::Resume, 10, 10},    {Action::Kill, 2, 2},         {Action::Restart, 3, 4},
    {Action::Remove, 3, 4},      {Action::List, 3, 9}};
// clang-format on

static Action actionOf(std::uint32_t Choice, bool Orderly) {
  auto WeightOf = [&](const ActionWeight &Row) {
    return Orderly ? Row.Orderly : Row.Disorderly;
  };
  std::uint32_t Total = 0;
  for (const ActionWeight &Row : Weights)
    Total += WeightOf(Row);
  Choice %= Total;
  for (const ActionWeight &Row : Weights) {
    if (Choice < WeightOf(Row))
      return Row.Kind;
    Choice -= WeightOf(Row);
  }
  return Action::Deliver;
}

void SimulatedCluster::performOnNetwork(const Step &Next, bool Copy,
                                        bool Lose) {
  if (InFlight.empty())
    return;
  std::size_t Index = Next.A % InFlight.size();
  if (Copy)
    return InFlight.push_back(InFlightMessage(InFlight[Index]));
  if (Lose)
    return loseLink(InFlight[Index].From, InFlight[Index].To);
  deliver(Index);
}

void SimulatedCluster::perform(const Step &Next) {
  std::vector<Process *> LiveDaemons = live();
  HostId Host = "m" + std::to_string(Next.A % Setup.Hosts.size());
  Process &IngressDaemon = ingress(Next.A);
  Process *LiveDaemon =
      LiveDaemons.empty() ? nullptr : LiveDaemons[Next.A % LiveDaemons.size()];
  HostId PauseHost = Next.B % 4 == 0 ? IngressDaemon.Ref.Host : Host;
  switch (actionOf(Next.Kind, Setup.Orderly)) {
  case Action::Deliver:
    return performOnNetwork(Next, false, false);
  case Action::DeliverMany:
    for (std::uint32_t I = 0; I < 40; ++I)
      performOnNetwork({0, Next.A * (I + 1), Next.B}, false, false);
    return;
  case Action::Duplicate:
    return performOnNetwork(Next, true, false);
  case Action::LoseLink:
    return performOnNetwork(Next, false, true);
  case Action::Submit:
    return submitSome(Next.A, Next.B);
  case Action::Advance:
    if (!IngressDaemon.Paused && !IngressDaemon.Calls.empty())
      advance(IngressDaemon,
              IngressDaemon.Calls[Next.B % IngressDaemon.Calls.size()], Next.B);
    return;
  case Action::Run:
    return LiveDaemon ? runNext(*LiveDaemon, Next.B) : void();
  case Action::Finish:
    return LiveDaemon ? finishNext(*LiveDaemon, Next.B) : void();
  case Action::Tick:
    return tick(std::chrono::milliseconds(50 + Next.A % 600));
  case Action::Apply:
    return Next.B % 3 == 0 || !LiveDaemon ? applyNext(IngressDaemon)
                                          : applyNext(*LiveDaemon);
  case Action::ApplyMost:
    for (std::size_t I = 0; I < LiveDaemons.size(); ++I)
      if ((Next.A >> I) % 8 != 0)
        applyNext(*LiveDaemons[I]);
    for (auto &Other : Ingresses)
      applyNext(*Other);
    return;
  case Action::Pause:
    return pause(PauseHost, true);
  case Action::Resume:
    return pause(PauseHost, false);
  case Action::Kill:
    return kill(Host);
  case Action::Restart:
    return !findProcess(Host) || Next.B % 5 == 0
               ? restart(Host, Next.B % 2 == 0)
               : void();
  case Action::Remove:
    return setListed(Host, false);
  case Action::List:
    return setListed(Host, true);
  }
}

void SimulatedCluster::settle() {
  for (int Round = 0; Round < 200; ++Round) {
    applyAll();
    while (!InFlight.empty()) {
      auto Next = std::ranges::find_if(
          InFlight, [](const InFlightMessage &F) { return !F.To->Paused; });
      if (Next == InFlight.end())
        break;
      deliver(static_cast<std::size_t>(Next - InFlight.begin()));
    }
    for (Process *Daemon : live()) {
      runNext(*Daemon, 0);
      finishNext(*Daemon, 0);
    }
    bool Busy = false;
    for (auto &Daemon : Ingresses)
      for (Call &Current : Daemon->Calls) {
        Busy = Busy || Current.State != CallState::Ended;
        if (Current.State == CallState::Idle)
          startAttempt(*Daemon, Current, static_cast<std::uint32_t>(Round));
      }
    if (!Busy && InFlight.empty() && Round > 4)
      return;
    tick(std::chrono::milliseconds(500));
  }
}

} // namespace figsail::harness
