// ExecutionLog.cpp - At-most-once execution at the executor.

#include "CoordinatorLookup.h"
#include "ExecutionLogBase.h"

#include <algorithm>

namespace figsail {

std::size_t answerBytes(const HttpResponse &Response) {
  std::size_t Bytes = Response.Body.size();
  for (const auto &[Name, Value] : Response.Headers)
    Bytes += sizeof(HeaderList::value_type) + Name.size() + Value.size();
  return Bytes;
}

bool grantedAfter(const GrantToken &A, const GrantToken &B) {
  if (A.Epoch != B.Epoch)
    return A.Epoch > B.Epoch;
  return A.Attempt > B.Attempt;
}

bool sameGrant(const GrantToken &A, const GrantToken &B) {
  return A.Epoch == B.Epoch && A.Attempt == B.Attempt;
}

// Final marks may exceed the bound by a quarter, so that a refusal for lack of
// memory can still be made final.
static std::size_t maxWithMarks(const RecordLimits &Limits) {
  return Limits.MaxRecords + Limits.MaxRecords / 4;
}

ExecutionRecord *ExecutionLog::State::byCall(const CallId &Call) {
  auto Found = ByCall.find(Call);
  return Found == ByCall.end() ? nullptr : &Records.at(Found->second);
}

ExecutionRecord *ExecutionLog::State::byKey(const RequestKey &Key) {
  auto Found = ByKey.find(Key);
  return Found == ByKey.end() ? nullptr : &Records.at(Found->second);
}

ExecutionRecord *ExecutionLog::State::findDecisive(const GrantToken &Token) {
  ExecutionRecord *Known = byKey(Token.Key);
  if (!Known)
    return nullptr;
  bool Newer = grantedAfter(Token, *Known->Token);
  return Newer && Known->Stage == ExecutionStage::Final ? nullptr : Known;
}

ExecutionRecord &ExecutionLog::State::add(TimePoint Now,
                                          ExecutionRecord Record) {
  Id RecordId = NextId++;
  if (Record.Token) {
    auto Older = ByKey.find(Record.Token->Key);
    if (Older != ByKey.end())
      erase(Older->second);
    ByKey[Record.Token->Key] = RecordId;
  }
  if (Record.Call)
    ByCall[*Record.Call] = RecordId;
  Record.Expires = Now + Record.Lifetime;
  Expiry.add(Record.Expires, RecordId);
  return Records.emplace(RecordId, std::move(Record)).first->second;
}

void ExecutionLog::State::erase(Id RecordId) {
  auto Found = Records.find(RecordId);
  if (Found == Records.end())
    return;
  const ExecutionRecord &Record = Found->second;
  if (Record.Call) {
    auto Indexed = ByCall.find(*Record.Call);
    if (Indexed != ByCall.end() && Indexed->second == RecordId)
      ByCall.erase(Indexed);
  }
  if (Record.Token) {
    auto Indexed = ByKey.find(Record.Token->Key);
    if (Indexed != ByKey.end() && Indexed->second == RecordId)
      ByKey.erase(Indexed);
  }
  if (Record.Stage == ExecutionStage::Done)
    KeptBytes -= answerBytes(Record.Response);
  Records.erase(Found);
}

void ExecutionLog::State::endAs(TimePoint Now, ExecutionRecord &Record,
                                ExecutionStage Stage, ErrorKind Kind) {
  Record.Stage = Stage;
  Record.Kind = Kind;
  Record.Expires = Now + Record.Lifetime;
}

bool ExecutionLog::State::isFenced(const GrantToken &Token) const {
  auto Found = Fences.find(Token.Service);
  return Found != Fences.end() && Token.Epoch < Found->second;
}

bool ExecutionLog::State::isFenced(const ExecutionRecord &Record) const {
  return Record.Token && isFenced(*Record.Token);
}

std::optional<ErrorKind>
ExecutionLog::State::checkExecute(const Execute &Message,
                                  const EpochHistory *History) const {
  if (Message.Target != 0 && Message.Target != Self.Inc)
    return ErrorKind::WrongIncarnation;
  if (!Message.Grant)
    return std::nullopt;
  const GrantToken &Token = *Message.Grant;
  if (Token.Executor != Self)
    return ErrorKind::WrongIncarnation;
  if (isFenced(Token))
    return ErrorKind::StaleEpoch;
  const EpochEntry *Entry = History ? History->find(Token.Epoch) : nullptr;
  if (Entry && !mayExecute(*Entry, Message.Policy.Route, Token.Coordinator.Host,
                           Token.Executor.Host))
    return ErrorKind::StaleEpoch;
  return std::nullopt;
}

bool ExecutionLog::State::markFinal(TimePoint Now, const CallId &Call,
                                    const std::optional<GrantToken> &Token,
                                    ErrorKind Kind) {
  if (Token && isFenced(*Token))
    return true; // The fence already refuses the attempt.
  if (Records.size() >= maxWithMarks(Limits))
    return false;
  ExecutionRecord Record;
  Record.Token = Token;
  if (!Token)
    Record.Call = Call;
  Record.Lifetime = FinalMarkLifetime;
  endAs(Now, add(Now, std::move(Record)), ExecutionStage::Final, Kind);
  return true;
}

PeerMessage ExecutionLog::State::reply(const ExecutionRecord &Record,
                                       const CallId &Call,
                                       const LoadReport &Load) const {
  switch (Record.Stage) {
  case ExecutionStage::Accepted:
  case ExecutionStage::Running:
    return Received{Call};
  case ExecutionStage::Done:
    return Answer{Call, Record.Response, Load};
  case ExecutionStage::NotKept:
    return Failed{Call, ErrorKind::AnswerNotKept, Load};
  case ExecutionStage::Unknown:
    return Failed{Call, Record.Kind, Load};
  case ExecutionStage::Final:
    return Refused{Call, Record.Kind, Load};
  }
  return Failed{Call, ErrorKind::OutcomeUnknown, Load};
}

void ExecutionLog::State::replyToWaiters(ExecutionRecord &Record,
                                         const LoadReport &Load,
                                         EffectList &Out) {
  for (const auto &[Peer, Call] : Record.Waiters)
    Out.push_back(SendPeer{Peer.Host, reply(Record, Call, Load)});
  Record.Waiters.clear();
  Record.Waiters.shrink_to_fit();
}

ExecutionLog::ExecutionLog(PeerRef Self, RecordLimits Limits)
    : Impl(std::make_unique<State>()) {
  Impl->Self = std::move(Self);
  Impl->Limits = Limits;
}

ExecutionLog::~ExecutionLog() = default;

static void addWaiter(ExecutionRecord &Record, const PeerRef &Peer,
                      const CallId &Call) {
  std::pair<PeerRef, CallId> Waiter(Peer, Call);
  if (std::ranges::find(Record.Waiters, Waiter) == Record.Waiters.end())
    Record.Waiters.push_back(std::move(Waiter));
}

AcceptResult ExecutionLog::accept(TimePoint Now, const PeerRef &From,
                                  const Execute &Message,
                                  const EpochHistory *History) {
  expire(Now);
  ExecutionRecord *Known = Impl->byCall(Message.Call);
  // A call may arrive again with the grant of its next attempt.
  if (Known && Known->Token && Message.Grant)
    Known = nullptr;
  if (!Known && Message.Grant && Message.Grant->Executor == Impl->Self)
    Known = Impl->findDecisive(*Message.Grant);
  if (Known && Known->isActive()) {
    addWaiter(*Known, From, Message.Call);
    return AlreadyInFlight{};
  }
  if (Known)
    return KnownReply{Impl->reply(*Known, Message.Call, {})};

  std::optional<ErrorKind> Refusal = Impl->checkExecute(Message, History);
  bool Full = Impl->Records.size() >= Impl->Limits.MaxRecords;
  if (!Refusal && Full)
    Refusal = ErrorKind::RecordCapacity;
  if (Refusal) {
    // A refusal for another incarnation or by a fence holds forever, so only
    // the other refusals need a mark.
    bool IsFinal = *Refusal == ErrorKind::WrongIncarnation ||
                   Impl->markFinal(Now, Message.Call, Message.Grant, *Refusal);
    if (IsFinal)
      return KnownReply{Refused{Message.Call, *Refusal, {}}};
    return KnownReply{Failed{Message.Call, ErrorKind::OutcomeUnknown, {}}};
  }

  ExecutionRecord Record;
  Record.Token = Message.Grant;
  Record.Call = Message.Call;
  Record.Route = Message.Policy.Route;
  Record.Fingerprint = Message.Fingerprint;
  Record.Lifetime = std::max(Message.Policy.RecordLifetime, MinRecordLifetime);
  Record.Waiters.emplace_back(From, Message.Call);
  Impl->add(Now, std::move(Record));
  return MayRun{};
}

bool ExecutionLog::start(TimePoint Now, const CallId &Call) {
  ExecutionRecord *Record = Impl->byCall(Call);
  if (!Record || Record->Stage != ExecutionStage::Accepted ||
      Impl->isFenced(*Record))
    return false;
  // After a long pause the grant may have expired at the coordinator.
  if (Now >= Record->Expires)
    return false;
  Record->Stage = ExecutionStage::Running;
  Record->Expires = Now + Record->Lifetime;
  return true;
}

void ExecutionLog::refuse(TimePoint Now, const CallId &Call, ErrorKind Kind,
                          const LoadReport &Load, EffectList &Out) {
  ExecutionRecord *Record = Impl->byCall(Call);
  if (!Record || !Record->isActive())
    return;
  Impl->endAs(Now, *Record, ExecutionStage::Final, Kind);
  Impl->replyToWaiters(*Record, Load, Out);
}

void ExecutionLog::finish(TimePoint Now, const CallId &Call,
                          const std::variant<HttpResponse, ErrorKind> &Result,
                          const LoadReport &Load, EffectList &Out) {
  ExecutionRecord *Record = Impl->byCall(Call);
  if (!Record || Record->Stage != ExecutionStage::Running)
    return;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (!Response) {
    Impl->endAs(Now, *Record, ExecutionStage::Unknown,
                std::get<ErrorKind>(Result));
  } else {
    Impl->endAs(Now, *Record, ExecutionStage::Done, ErrorKind::AnswerNotKept);
    Record->Response = *Response;
    Impl->KeptBytes += answerBytes(*Response);
  }
  // The answer is sent to everyone who waits, even if it is too large to keep.
  Impl->replyToWaiters(*Record, Load, Out);

  std::size_t Bytes = answerBytes(Record->Response);
  bool Keep = Bytes <= Impl->Limits.MaxAnswerBytes &&
              Impl->KeptBytes <= Impl->Limits.MaxTotalBytes;
  if (Response && !Keep) {
    Record->Stage = ExecutionStage::NotKept;
    Record->Response = {};
    Impl->KeptBytes -= Bytes;
  }
  if (!Record->Token)
    return;
  Completed Report{*Record->Token, RecordState::Unknown, Record->Response};
  if (Record->Stage == ExecutionStage::Done)
    Report.State = RecordState::Done;
  if (Record->Stage == ExecutionStage::NotKept)
    Report.State = RecordState::NotKept;
  for (const HostId &NewCoordinator : Record->NewCoordinators)
    Out.push_back(SendPeer{NewCoordinator, Report});
  Record->NewCoordinators = {};
  Out.push_back(SendPeer{Record->Token->Coordinator.Host, std::move(Report)});
}

void ExecutionLog::await(TimePoint Now, const PeerRef &From,
                         const Await &Message, const LoadReport &Load,
                         EffectList &Out) {
  expire(Now);
  bool OtherTarget = Message.Target != 0 && Message.Target != Impl->Self.Inc;
  bool OtherExecutor = Message.Grant && Message.Grant->Executor != Impl->Self;
  if (OtherTarget || OtherExecutor) {
    Out.push_back(SendPeer{
        From.Host, Failed{Message.Call, ErrorKind::OutcomeUnknown, Load}});
    return;
  }
  ExecutionRecord *Known = Message.Grant ? Impl->findDecisive(*Message.Grant)
                                         : Impl->byCall(Message.Call);
  if (Known) {
    if (Known->isActive())
      addWaiter(*Known, From, Message.Call);
    Out.push_back(SendPeer{From.Host, Impl->reply(*Known, Message.Call, Load)});
    return;
  }
  PeerMessage Reply = Failed{Message.Call, ErrorKind::OutcomeUnknown, Load};
  if (Impl->markFinal(Now, Message.Call, Message.Grant,
                      ErrorKind::NeverStarted))
    Reply = Refused{Message.Call, ErrorKind::NeverStarted, Load};
  Out.push_back(SendPeer{From.Host, std::move(Reply)});
}

void ExecutionLog::fence(const std::string &Service, Offset Epoch) {
  auto [Found, Added] = Impl->Fences.try_emplace(Service, Epoch);
  if (!Added)
    Found->second = std::max(Found->second, Epoch);
}

static RecordState recordState(ExecutionStage Stage) {
  switch (Stage) {
  case ExecutionStage::Accepted:
  case ExecutionStage::Running:
    return RecordState::Granted;
  case ExecutionStage::Done:
    return RecordState::Done;
  case ExecutionStage::NotKept:
    return RecordState::NotKept;
  case ExecutionStage::Unknown:
    return RecordState::Unknown;
  case ExecutionStage::Final:
    return RecordState::Released;
  }
  return RecordState::Unknown;
}

std::vector<RecordCopy> ExecutionLog::recordsFor(TimePoint Now,
                                                 const EpochEntry &Epoch,
                                                 const std::string &Service,
                                                 const PeerRef &Receiver) {
  bool Listed = Epoch.lists(Impl->Self);
  CoordinatorLookup Lookup(Epoch);
  std::vector<RecordCopy> Copies;
  for (auto &[RecordId, Record] : Impl->Records) {
    if (!Record.Token || Record.Token->Service != Service ||
        Record.Route.empty())
      continue;
    if (!Record.isActive() && Record.Expires <= Now)
      continue;
    if (Listed && Record.Token->Coordinator == Receiver)
      continue;
    if (!Lookup.isCoordinator(Receiver.Host, Record.Route, Record.Token->Key))
      continue;
    Duration Remaining =
        Record.isActive() ? 2 * Record.Lifetime : Record.Expires - Now;
    bool Notified = Record.Token->Coordinator == Receiver ||
                    std::ranges::find(Record.NewCoordinators, Receiver.Host) !=
                        Record.NewCoordinators.end();
    if (Record.isActive() && !Notified)
      Record.NewCoordinators.push_back(Receiver.Host);
    Copies.push_back({*Record.Token, Record.Route, Record.Fingerprint,
                      recordState(Record.Stage), Record.Response,
                      Remaining.count()});
  }
  return Copies;
}

void ExecutionLog::expire(TimePoint Now) {
  Impl->Expiry.checkDue(
      Now, [&](State::Id RecordId) -> std::optional<TimePoint> {
        auto Found = Impl->Records.find(RecordId);
        if (Found == Impl->Records.end())
          return std::nullopt;
        const ExecutionRecord &Record = Found->second;
        if (Record.isActive())
          return Now +
                 std::max<Duration>(Record.Lifetime, std::chrono::seconds(1));
        if (Record.Expires > Now)
          return Record.Expires;
        Impl->erase(RecordId);
        return std::nullopt;
      });
}

std::size_t ExecutionLog::size() const { return Impl->Records.size(); }

} // namespace figsail
