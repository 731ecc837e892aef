// AtMostOnceHarness.cpp - The simulated members, network and log.

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

World::World(Scenario Initial) : Plan(std::move(Initial)) {
  for (std::size_t I = 0; I < Plan.Hosts.size(); ++I) {
    HostId Host = "m" + std::to_string(I);
    Processes.push_back(std::make_unique<Process>(
        PeerRef{Host, NextInc++}, std::chrono::seconds(1000 * I)));
    Listed.insert(Host);
    ListedInc[Host] = Processes.back()->Ref.Inc;
  }
  for (std::size_t I = 0; I < Plan.Ingresses; ++I)
    Ingresses.push_back(std::make_unique<Process>(
        PeerRef{"i" + std::to_string(I), NextInc++}, Duration(0)));
  appendEpoch();
  applyAll();
}

Process *World::at(const HostId &Host) {
  for (auto &Who : Ingresses)
    if (Who->Ref.Host == Host)
      return Who.get();
  for (auto &Who : Processes)
    if (Who->Alive && Who->Ref.Host == Host)
      return Who.get();
  return nullptr;
}

std::vector<Process *> World::live() {
  std::vector<Process *> Found;
  for (auto &Who : Processes)
    if (Who->Alive && !Who->Paused)
      Found.push_back(Who.get());
  return Found;
}

void World::appendEpoch() {
  EpochEntry Entry;
  Entry.At = Log.empty() ? 10 : Log.back().At + 7;
  for (const HostId &Host : Listed) {
    Member Who;
    const Place &Where = Plan.Hosts[std::stoul(Host.substr(1))];
    Who.Host = Host;
    Who.Inc = ListedInc[Host];
    Who.Region = Where.Region;
    Who.FailureDomain = Where.Domain;
    Who.Service = Service;
    Entry.Members.push_back(Who);
  }
  for (std::size_t I = 0; I < Plan.Routes.size(); ++I)
    Entry.RouteRegions["r" + std::to_string(I)] = Plan.Routes[I];
  Log.push_back(Entry);
  ++Seen.Epochs;
}

void World::applyNext(Process &Who) {
  if (Who.Applied >= Log.size() || Who.Paused)
    return;
  EpochEntry Entry = Log[Who.Applied++];
  Entry.AppliedAt = now(Who);
  if (Plan.Without.OwnIncarnation)
    for (Member &Listed : Entry.Members)
      if (Listed.Host == Who.Ref.Host)
        Listed.Inc = Who.Ref.Inc;
  Who.History.append(std::move(Entry));
  if (Who.Ref.Host[0] == 'i')
    return;
  EffectList Out;
  Who.Keys.epochChanged(now(Who), Service, Who.History, Who.Log, Out);
  perform(Who, Out);
  if (Plan.Without.AckWait)
    forgeAcks(Who);
}

void World::forgeAcks(Process &Who) {
  for (const EpochEntry &Entry : Who.History.entries()) {
    for (const Member &Other : Entry.Members) {
      FenceAck Forged;
      Forged.Service = Service;
      Forged.Epoch = Who.History.current().At;
      Forged.AckNumber = 1ULL << 40;
      Forged.Complete = true;
      Who.Keys.fenceAck(now(Who), {Other.Host, Other.Inc}, Forged,
                        &Who.History);
    }
  }
}

void World::applyAll() {
  for (auto *Group : {&Processes, &Ingresses})
    for (auto &Who : *Group)
      while (Who->Alive && !Who->Paused && Who->Applied < Log.size())
        applyNext(*Who);
}

void World::kill(const HostId &Host) {
  Process *Who = at(Host);
  if (!Who || Host[0] == 'i')
    return;
  Who->Alive = false;
  for (auto &Other : Ingresses)
    loseLink(Who, Other.get());
  std::erase_if(Flights, [&](const Flight &F) { return F.To == Who; });
}

void World::restart(const HostId &Host, bool Truncated) {
  kill(Host);
  ++Seen.Restarts;
  Incarnation Inc = NextInc++;
  Processes.push_back(std::make_unique<Process>(
      PeerRef{Host, Inc}, std::chrono::seconds(77 * Inc)));
  Process &Who = *Processes.back();
  if (!Truncated)
    return;
  // A snapshot holds the last epoch only.
  Who.Applied = Log.size();
  EpochEntry Entry = Log.back();
  Entry.AppliedAt = now(Who);
  Entry.Truncated = true;
  if (Plan.Without.OwnIncarnation)
    for (Member &Listed : Entry.Members)
      if (Listed.Host == Host)
        Listed.Inc = Who.Ref.Inc;
  Who.History.append(std::move(Entry));
  EffectList Out;
  Who.Keys.epochChanged(now(Who), Service, Who.History, Who.Log, Out);
  perform(Who, Out);
}

void World::setListed(const HostId &Host, bool IsListed) {
  Process *Who = at(Host);
  if (!IsListed && Listed.erase(Host))
    return appendEpoch();
  if (!IsListed || !Who)
    return;
  if (Listed.contains(Host) && ListedInc[Host] == Who->Ref.Inc)
    return;
  Listed.insert(Host);
  ListedInc[Host] = Who->Ref.Inc;
  appendEpoch();
}

void World::pause(const HostId &Host, bool Paused) {
  if (Process *Who = at(Host))
    Who->Paused = Paused;
}

void World::tick(Duration By) {
  Clock += By;
  for (Process *Who : live()) {
    EffectList Out;
    if (Who->Keys.nextWake() <= now(*Who))
      Who->Keys.timer(now(*Who), Out);
    perform(*Who, Out);
  }
}

void World::send(Process &From, const HostId &To, PeerMessage Message) {
  Process *Target = at(To);
  if (Target)
    Flights.push_back({&From, Target, std::move(Message)});
  else if (From.Ref.Host[0] == 'i')
    linkLost(From, To);
}

void World::perform(Process &Who, EffectList &Effects) {
  for (Effect &Next : Effects)
    if (auto *Sending = std::get_if<SendPeer>(&Next))
      send(Who, Sending->Host, std::move(Sending->Message));
}

void World::loseLink(Process *A, Process *B) {
  std::erase_if(Flights, [&](const Flight &F) {
    return F.Message &&
           ((F.From == A && F.To == B) || (F.From == B && F.To == A));
  });
  Flights.push_back({A, B, std::nullopt});
  Flights.push_back({B, A, std::nullopt});
}

void World::deliver(std::size_t Index) {
  Flight Next = Flights[Index];
  if (Next.To->Paused)
    return;
  Flights.erase(Flights.begin() + static_cast<std::ptrdiff_t>(Index));
  if (!Next.To->Alive)
    return;
  if (!Next.Message) {
    if (Next.To->Ref.Host[0] == 'i')
      linkLost(*Next.To, Next.From->Ref.Host);
    return;
  }
  receive(*Next.To, *Next.From, std::move(*Next.Message));
}

void World::defeat(Process &Who, PeerMessage &Message) const {
  auto *Work = std::get_if<Execute>(&Message);
  auto *Question = std::get_if<Await>(&Message);
  if (Plan.Without.FenceCheck && Work && Work->Grant)
    Work->Grant->Epoch += 1LL << 40;
  if (auto *Ack = std::get_if<FenceAck>(&Message))
    Ack->Complete = Ack->Complete || Plan.Without.Complete;
  if (!Plan.Without.ExecutorIncarnation)
    return;
  if (Work) {
    Work->Target = 0;
    if (Work->Grant)
      Work->Grant->Executor = Who.Ref;
  }
  if (Question) {
    Question->Target = 0;
    if (Question->Grant)
      Question->Grant->Executor = Who.Ref;
  }
}

void World::receive(Process &Who, Process &From, PeerMessage Message) {
  if (Who.Ref.Host[0] == 'i')
    return reply(Who, Message);
  defeat(Who, Message);
  EffectList Out;
  TimePoint Now = now(Who);
  if (auto *Work = std::get_if<Execute>(&Message))
    return execute(Who, From, *Work);
  if (auto *Asked = std::get_if<Claim>(&Message))
    return claim(Who, From, std::move(*Asked));
  if (auto *Question = std::get_if<Await>(&Message)) {
    Execute Subject;
    Subject.Call = Question->Call;
    Subject.Grant = Question->Grant;
    bool Arrived = Who.Seen.contains(nameOf(Subject));
    if (Plan.Without.FinalMarks && !Arrived)
      Out.push_back(SendPeer{
          From.Ref.Host, Refused{Question->Call, ErrorKind::NeverStarted, {}}});
    else
      Who.Log.await(Now, From.Ref, *Question, {}, Out);
  }
  if (auto *Report = std::get_if<Completed>(&Message))
    Who.Keys.completed(Now, From.Ref, *Report);
  if (auto *Asked = std::get_if<Fence>(&Message))
    Who.Keys.fence(Now, From.Ref, *Asked, Who.history(), Who.Log, Out);
  if (auto *Ack = std::get_if<FenceAck>(&Message))
    Who.Keys.fenceAck(Now, From.Ref, *Ack, Who.history());
  perform(Who, Out);
}

void World::claim(Process &Who, const Process &From, Claim Message) {
  EffectList Out;
  EpochHistory Seen = Who.History;
  if (Plan.Without.DomainRule && !Seen.empty()) {
    // Grants see each host as its own failure domain; the walk over earlier
    // epochs still relies on the real ones.
    EpochHistory Altered;
    for (EpochEntry Entry : Seen.entries()) {
      if (Entry.At == Seen.current().At)
        for (Member &Member : Entry.Members)
          Member.FailureDomain = Member.Host;
      Altered.append(std::move(Entry));
    }
    Seen = Altered;
  }
  if (Plan.Without.ReleasedToken && Message.Released) {
    // The record is asked for its token, as if only the number were compared.
    Claim Question = Message;
    Question.Released.reset();
    EffectList Held;
    Who.Keys.claim(now(Who), From.Ref, Question, &Seen, Held);
    for (const Effect &Next : Held)
      if (const auto *Sending = std::get_if<SendPeer>(&Next))
        if (const auto *Known = std::get_if<ClaimHeld>(&Sending->Message))
          if (Known->Token.Attempt == Message.Released->Attempt)
            Message.Released = Known->Token;
  }
  Who.Keys.claim(now(Who), From.Ref, Message, Seen.empty() ? nullptr : &Seen,
                 Out);
  for (const Effect &Next : Out)
    if (const auto *Sending = std::get_if<SendPeer>(&Next))
      if (std::holds_alternative<Granted>(Sending->Message))
        this->Seen.GrantsAfterTakeover += Who.History.current().At > 10;
  perform(Who, Out);
}

void World::execute(Process &Who, const Process &From, const Execute &Message) {
  Who.Seen.insert(nameOf(Message));
  const EpochHistory *History =
      Plan.Without.DomainRule ? nullptr : Who.history();
  StartVerdict Verdict = Who.Log.accept(now(Who), From.Ref, Message, History);
  if (auto *Known = std::get_if<KnownReply>(&Verdict))
    return send(Who, From.Ref.Host, Known->Reply);
  if (std::holds_alternative<MayRun>(Verdict)) {
    Who.Queue.push_back(Message.Call);
    Who.Work[Message.Call] = Message;
  }
  send(Who, From.Ref.Host, Received{Message.Call});
}

void World::runNext(Process &Who, std::uint32_t Choice) {
  if (Who.Queue.empty())
    return;
  std::size_t Index = Choice % Who.Queue.size();
  CallId Call = Who.Queue[Index];
  Who.Queue.erase(Who.Queue.begin() + static_cast<std::ptrdiff_t>(Index));
  EffectList Out;
  if (!Who.Log.start(now(Who), Call)) {
    ++Seen.Fenced;
    Who.Log.refuse(now(Who), Call, ErrorKind::StaleEpoch, {}, Out);
    return perform(Who, Out);
  }
  if (Choice % 11 == 7) { // No byte was written to the backend server.
    Who.Log.refuse(now(Who), Call, ErrorKind::Overloaded, {}, Out);
    return perform(Who, Out);
  }
  const Execute &Work = Who.Work[Call];
  Request &Subject = Requests[std::stoul(Work.Request.Body)];
  ++Seen.Runs;
  Subject.Runs.push_back(Work.Request.Body + " run " +
                         std::to_string(Seen.Runs));
  Who.Work[Call].Request.Target = Subject.Runs.back();
  RunGrants.insert(nameOf(Work));
  if (Subject.Runs.size() > 1)
    fail("request " + Work.Request.Body + " ran twice, last as " +
         nameOf(Work));
  if (RefusedGrants.contains(nameOf(Work)))
    fail(nameOf(Work) + " ran after its final refusal");
  Who.Running.push_back(Call);
}

void World::finishNext(Process &Who, std::uint32_t Choice) {
  if (Who.Running.empty())
    return;
  std::size_t Index = Choice % Who.Running.size();
  CallId Call = Who.Running[Index];
  Who.Running.erase(Who.Running.begin() + static_cast<std::ptrdiff_t>(Index));
  EffectList Out;
  std::variant<HttpResponse, ErrorKind> Result = ErrorKind::BackendFailed;
  if (Choice % 13 != 5)
    Result = HttpResponse{200, {}, Who.Work[Call].Request.Target};
  Who.Log.finish(now(Who), Call, Result, {}, Out);
  perform(Who, Out);
}

// A caller sends a new request, or an earlier identity once more. A request
// without a key is a new one each time.
void World::submitSome(std::size_t Ingress, std::uint32_t Choice) {
  std::size_t Old = Requests.empty() ? 0 : Choice / 4 % Requests.size();
  bool Repeat = !Requests.empty() &&
                (Choice % 4 != 0 || Requests.size() > Plan.MaxRequests);
  if (Repeat && Requests[Old].Keyed)
    return submit(Ingress, Old);
  submit(Ingress, addRequest(Choice / 4, Choice % 5 != 0));
}

// How often each action is chosen, for each profile.
namespace {
enum class Action {
  Deliver,
  Flush,
  Repeat,
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
  Action What;
  std::uint32_t Disorderly;
  std::uint32_t Orderly;
};
} // namespace
// clang-format off
static constexpr ActionWeight Weights[] = {
    {Action::Deliver, 520, 150}, {Action::Flush, 0, 60},    {Action::Repeat, 15, 8},
    {Action::LoseLink, 8, 4},    {Action::Submit, 60, 60},  {Action::Advance, 100, 90},
    {Action::Run, 90, 80},       {Action::Finish, 60, 50},  {Action::Tick, 40, 30},
    {Action::Apply, 80, 30},     {Action::ApplyMost, 0, 30}, {Action::Pause, 6, 3},
    {Action::Resume, 10, 10},    {Action::Kill, 2, 2},      {Action::Restart, 3, 4},
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
      return Row.What;
    Choice -= WeightOf(Row);
  }
  return Action::Deliver;
}

void World::performOnNetwork(const Step &Next, bool Copy, bool Lose) {
  if (Flights.empty())
    return;
  std::size_t Index = Next.A % Flights.size();
  if (Copy)
    return Flights.push_back(Flight(Flights[Index]));
  if (Lose)
    return loseLink(Flights[Index].From, Flights[Index].To);
  deliver(Index);
}

void World::perform(const Step &Next) {
  std::vector<Process *> Live = live();
  HostId Host = "m" + std::to_string(Next.A % Plan.Hosts.size());
  Process &Front = ingress(Next.A);
  Process *Some = Live.empty() ? nullptr : Live[Next.A % Live.size()];
  HostId PauseHost = Next.B % 4 == 0 ? Front.Ref.Host : Host;
  switch (actionOf(Next.Kind, Plan.Orderly)) {
  case Action::Deliver:
    return performOnNetwork(Next, false, false);
  case Action::Flush:
    for (std::uint32_t I = 0; I < 40; ++I)
      performOnNetwork({0, Next.A * (I + 1), Next.B}, false, false);
    return;
  case Action::Repeat:
    return performOnNetwork(Next, true, false);
  case Action::LoseLink:
    return performOnNetwork(Next, false, true);
  case Action::Submit:
    return submitSome(Next.A, Next.B);
  case Action::Advance:
    if (!Front.Paused && !Front.Calls.empty())
      advance(Front, Front.Calls[Next.B % Front.Calls.size()], Next.B);
    return;
  case Action::Run:
    return Some ? runNext(*Some, Next.B) : void();
  case Action::Finish:
    return Some ? finishNext(*Some, Next.B) : void();
  case Action::Tick:
    return tick(std::chrono::milliseconds(50 + Next.A % 600));
  case Action::Apply:
    return Next.B % 3 == 0 || !Some ? applyNext(Front) : applyNext(*Some);
  case Action::ApplyMost:
    for (std::size_t I = 0; I < Live.size(); ++I)
      if ((Next.A >> I) % 8 != 0)
        applyNext(*Live[I]);
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
    return !at(Host) || Next.B % 5 == 0 ? restart(Host, Next.B % 2 == 0)
                                        : void();
  case Action::Remove:
    return setListed(Host, false);
  case Action::List:
    return setListed(Host, true);
  }
}

void World::settle() {
  for (int Round = 0; Round < 200; ++Round) {
    applyAll();
    while (!Flights.empty()) {
      auto Next = std::ranges::find_if(
          Flights, [](const Flight &F) { return !F.To->Paused; });
      if (Next == Flights.end())
        break;
      deliver(static_cast<std::size_t>(Next - Flights.begin()));
    }
    for (Process *Who : live()) {
      runNext(*Who, 0);
      finishNext(*Who, 0);
    }
    bool Busy = false;
    for (auto &Who : Ingresses)
      for (Call &Current : Who->Calls) {
        Busy = Busy || Current.State != CallState::Ended;
        if (Current.State == CallState::Idle)
          startAttempt(*Who, Current, static_cast<std::uint32_t>(Round));
      }
    if (!Busy && Flights.empty() && Round > 4)
      return;
    tick(std::chrono::milliseconds(500));
  }
}

} // namespace figsail::harness
