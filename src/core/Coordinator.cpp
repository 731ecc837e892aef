// Coordinator.cpp - Grants of keys and their idempotency records.

#include "CoordinatorBase.h"

#include "CoordinatorLookup.h"
#include "ExecutionLogBase.h"

#include <algorithm>

namespace figsail {

// A long acknowledgement is split so that it does not delay other messages.
static constexpr std::size_t MaxPartRecords = 256;
static constexpr std::size_t MaxPartBytes = 262144;
// Bounds the wake-ups for expiry. A claim removes expired records itself.
static constexpr Duration ExpiryInterval = std::chrono::seconds(1);

// A record in state Granted outlives a run that takes up to one lifetime.
static Duration lifetimeIn(RecordState State, Duration Lifetime) {
  return State == RecordState::Granted ? 2 * Lifetime : Lifetime;
}

// Records that are taken over may exceed the bound for new keys by a quarter.
static std::size_t maxWithTakeover(const RecordLimits &Limits) {
  return Limits.MaxRecords + Limits.MaxRecords / 4;
}

// Of two reports of the same attempt the one with the higher rank is newer.
static int rank(RecordState State) {
  switch (State) {
  case RecordState::Granted:
    return 0;
  case RecordState::Released:
    return 1;
  case RecordState::Unknown:
    return 2;
  case RecordState::NotKept:
    return 3;
  case RecordState::Done:
    return 4;
  }
  return 0;
}

static bool hasRun(RecordState State) {
  return State == RecordState::Done || State == RecordState::NotKept;
}

CoordinatorRecord *Coordinator::State::findRecord(const RequestKey &Key) {
  auto Found = Records.find(Key);
  return Found == Records.end() ? nullptr : &Found->second;
}

void Coordinator::State::insert(TimePoint Now, CoordinatorRecord Record) {
  RequestKey Key = Record.Token.Key;
  Record.Expires = Now + lifetimeIn(Record.State, Record.Lifetime);
  Expiry.add(Record.Expires, Key);
  Records.emplace(Key, std::move(Record));
}

void Coordinator::State::changeState(TimePoint Now, CoordinatorRecord &Record,
                                     RecordState State,
                                     const HttpResponse &Response) {
  if (Record.State == RecordState::Done)
    KeptBytes -= answerBytes(Record.Response);
  Record.Response = {};
  Record.State = State;
  Record.Expires = Now + lifetimeIn(State, Record.Lifetime);
  if (State != RecordState::Done)
    return;
  std::size_t Bytes = answerBytes(Response);
  if (Bytes > Limits.MaxAnswerBytes ||
      KeptBytes + Bytes > Limits.MaxTotalBytes) {
    Record.State = RecordState::NotKept;
    return;
  }
  Record.Response = Response;
  KeptBytes += Bytes;
}

std::optional<ClaimRefused>
Coordinator::State::checkClaim(const Claim &Message,
                               const EpochHistory *History) const {
  const std::string &Service = Message.Policy.Service;
  Offset Epoch = Takeovers.epoch(Service);
  if (!History || History->empty() || Message.Epoch != Epoch ||
      History->current().At != Epoch)
    return ClaimRefused{Message.Call, ErrorKind::StaleEpoch, Epoch};
  const Member *KeyCoordinator =
      coordinatorOf(History->current(), Message.Policy.Route, Message.Key);
  if (!KeyCoordinator || KeyCoordinator->Host != Self.Host)
    return ClaimRefused{Message.Call, ErrorKind::StaleEpoch, Epoch};
  if (KeyCoordinator->Inc != Self.Inc)
    return ClaimRefused{Message.Call, ErrorKind::CoordinatorUnavailable, Epoch};
  return std::nullopt;
}

PeerMessage Coordinator::State::replyFor(const Claim &Message,
                                         const CoordinatorRecord &Record,
                                         const EpochEntry &Current) const {
  switch (Record.State) {
  case RecordState::Done:
    return ClaimDone{Message.Call, Record.Response};
  case RecordState::NotKept:
    return ClaimRefused{Message.Call, ErrorKind::AnswerNotKept, Current.At};
  case RecordState::Unknown:
  case RecordState::Released:
    return ClaimRefused{Message.Call, ErrorKind::OutcomeUnknown, Current.At};
  case RecordState::Granted:
    break;
  }
  // Another listed incarnation on the executor's host proves that the executor
  // has ended.
  const PeerRef &Executor = Record.Token.Executor;
  bool Ended = std::ranges::any_of(Current.Members, [&](const Member &Peer) {
    return Peer.Host == Executor.Host && Peer.Inc != Executor.Inc;
  });
  if (Ended)
    return ClaimRefused{Message.Call, ErrorKind::OutcomeUnknown, Current.At};
  return ClaimHeld{Message.Call, Record.Token};
}

PeerMessage Coordinator::State::grant(TimePoint Now, const Claim &Message,
                                      const EpochHistory &History,
                                      CoordinatorRecord *Released) {
  const EpochEntry &Current = History.current();
  const CallPolicy &Policy = Message.Policy;
  Duration Lifetime = std::max(Policy.RecordLifetime, MinRecordLifetime);
  auto Refuse = [&](ErrorKind Kind) {
    return ClaimRefused{Message.Call, Kind, Current.At};
  };
  // The refusals below mean "not run", which is true only if all earlier grants
  // of the key are known here.
  if (OwnRecordsMissing.contains(Policy.Service) ||
      !Takeovers.covers(Now, Policy.Service, History, Policy.Route, Message.Key,
                        Lifetime))
    return Refuse(ErrorKind::OutcomeUnknown);
  if (!Current.lists(Message.Executor))
    return Refuse(ErrorKind::WrongIncarnation);
  if (!mayExecute(Current, Policy.Route, Self.Host, Message.Executor.Host))
    return Refuse(ErrorKind::StaleEpoch);
  if (!Released && Records.size() >= Limits.MaxRecords)
    return Refuse(ErrorKind::RecordCapacity);

  GrantToken Token{Message.Key, Policy.Service,   Current.At,
                   Self,        Message.Executor, 1};
  if (Released) {
    Token.Attempt = Released->Token.Attempt + 1;
    Released->Token = Token;
    Released->Lifetime = Lifetime;
    changeState(Now, *Released, RecordState::Granted, {});
  } else {
    CoordinatorRecord Record;
    Record.Token = Token;
    Record.Route = Policy.Route;
    Record.Fingerprint = Message.Fingerprint;
    Record.Lifetime = Lifetime;
    insert(Now, std::move(Record));
  }
  return Granted{Message.Call, std::move(Token)};
}

Coordinator::Coordinator(PeerRef Self, RecordLimits Limits)
    : Impl(std::make_unique<State>(std::move(Self), Limits)) {}

Coordinator::~Coordinator() = default;

void Coordinator::claim(TimePoint Now, const PeerRef &From,
                        const Claim &Message, const EpochHistory *History,
                        EffectList &Out) {
  Impl->expire(Now);
  Out.push_back(Count{Counter::Claims, 1});
  auto Send = [&](PeerMessage Reply) {
    Out.push_back(SendPeer{From.Host, std::move(Reply)});
  };
  if (std::optional<ClaimRefused> Refusal = Impl->checkClaim(Message, History))
    return Send(*Refusal);
  CoordinatorRecord *Record = Impl->findRecord(Message.Key);
  if (!Record)
    return Send(Impl->grant(Now, Message, *History, nullptr));
  if (Record->Fingerprint != Message.Fingerprint)
    return Send(
        ClaimRefused{Message.Call, ErrorKind::KeyReused, Message.Epoch});
  if (Record->State == RecordState::Granted && Message.Released &&
      *Message.Released == Record->Token)
    Impl->changeState(Now, *Record, RecordState::Released, {});
  if (Record->State == RecordState::Released)
    return Send(Impl->grant(Now, Message, *History, Record));
  Out.push_back(Count{Counter::ClaimsReplayed, 1});
  Send(Impl->replyFor(Message, *Record, History->current()));
}

void Coordinator::completed(TimePoint Now, const PeerRef &From,
                            const Completed &Message) {
  CoordinatorRecord *Record = Impl->findRecord(Message.Token.Key);
  if (!Record || Record->Token != Message.Token ||
      From != Message.Token.Executor ||
      rank(Message.State) <= rank(Record->State))
    return;
  Impl->changeState(Now, *Record, Message.State, Message.Response);
}

bool Coordinator::State::merge(TimePoint Now,
                               const std::vector<RecordCopy> &Copies) {
  bool Stored = true;
  for (const RecordCopy &Copy : Copies) {
    if (Copy.RemainingMicros <= 0)
      continue;
    TimePoint Expires = Now + Duration(Copy.RemainingMicros);
    CoordinatorRecord *Record = findRecord(Copy.Token.Key);
    if (!Record && Records.size() >= maxWithTakeover(Limits)) {
      Stored = false;
      continue;
    }
    if (!Record) {
      CoordinatorRecord Added;
      Added.Token = Copy.Token;
      Added.Route = Copy.Route;
      Added.Fingerprint = Copy.Fingerprint;
      Added.Lifetime = Duration(Copy.RemainingMicros);
      insert(Now, std::move(Added));
      Record = this->findRecord(Copy.Token.Key);
    } else {
      // The first answer of a key is never replaced.
      bool Newer = grantedAfter(Copy.Token, Record->Token);
      bool Same = sameGrant(Copy.Token, Record->Token);
      if (hasRun(Record->State) || (!Newer && !Same) ||
          (Same && rank(Copy.State) <= rank(Record->State)))
        continue;
      // An earlier attempt may have run whatever happened to a later one.
      if (Record->State == RecordState::Unknown && !hasRun(Copy.State))
        continue;
      Record->Token = Copy.Token;
    }
    changeState(Now, *Record, Copy.State, Copy.Response);
    Record->Expires = Expires;
  }
  return Stored;
}

void Coordinator::epochChanged(TimePoint Now, const std::string &Service,
                               const EpochHistory &History, ExecutionLog &Log,
                               EffectList &Out) {
  const EpochEntry &Current = History.current();
  Log.fence(Service, Current.At);
  if (Current.lists(Impl->Self)) {
    Impl->OwnRecordsMissing.erase(Service);
    if (!Impl->merge(Now, Log.recordsFor(Now, Current, Service, Impl->Self)))
      Impl->OwnRecordsMissing.insert(Service);
  }
  Impl->Takeovers.epochChanged(Now, Service, History, Out);

  State::Epochs &Pending = Impl->PendingFences[Service];
  for (auto It = Pending.begin(); It != Pending.end();) {
    if (It->second > Current.At) {
      ++It;
      continue;
    }
    Impl->acknowledge(Now, It->first, Service, It->second, History, Log, Out);
    It = Pending.erase(It);
  }
}

void Coordinator::fence(TimePoint Now, const PeerRef &From,
                        const Fence &Message, const EpochHistory *History,
                        ExecutionLog &Log, EffectList &Out) {
  Log.fence(Message.Service, Message.Epoch);
  if (!History || History->empty() || History->current().At < Message.Epoch) {
    Offset &Epoch = Impl->PendingFences[Message.Service][From];
    Epoch = std::max(Epoch, Message.Epoch);
    return;
  }
  Impl->acknowledge(Now, From, Message.Service, Message.Epoch, *History, Log,
                    Out);
}

std::vector<RecordCopy>
Coordinator::State::copiesFor(TimePoint Now, const EpochEntry &Entry,
                              const std::string &Service,
                              const PeerRef &Receiver) const {
  bool Listed = Entry.lists(Self);
  CoordinatorLookup Lookup(Entry);
  std::vector<RecordCopy> Copies;
  for (const auto &[Key, Record] : Records) {
    if (Record.Token.Service != Service || Record.Expires <= Now)
      continue;
    // The receiver still has the records that it granted itself.
    if (Listed && Record.Token.Coordinator == Receiver)
      continue;
    if (!Lookup.isCoordinator(Receiver.Host, Record.Route, Key))
      continue;
    Duration Remaining = Record.Expires - Now;
    Copies.push_back({Record.Token, Record.Route, Record.Fingerprint,
                      Record.State, Record.Response, Remaining.count()});
  }
  return Copies;
}

void Coordinator::State::acknowledge(TimePoint Now, const PeerRef &To,
                                     const std::string &Service, Offset Epoch,
                                     const EpochHistory &History,
                                     ExecutionLog &Log, EffectList &Out) {
  const EpochEntry *Entry = History.find(Epoch);
  // No reply is needed: the sender fences a newer epoch as soon as it has
  // applied that.
  if (!Entry || !Entry->lists(To))
    return;
  std::vector<RecordCopy> Copies = copiesFor(Now, *Entry, Service, To);
  std::ranges::move(Log.recordsFor(Now, *Entry, Service, To),
                    std::back_inserter(Copies));
  FenceAck Part;
  Part.Service = Service;
  Part.Epoch = Epoch;
  Part.AckNumber = NextAckNumber++;
  Part.Last = false;
  Part.Complete = Takeovers.complete(Service, History, Epoch);
  std::size_t Bytes = 0;
  for (RecordCopy &Copy : Copies) {
    Bytes += answerBytes(Copy.Response);
    Part.Records.push_back(std::move(Copy));
    if (Part.Records.size() < MaxPartRecords && Bytes < MaxPartBytes)
      continue;
    Out.push_back(SendPeer{To.Host, Part});
    Part.Records.clear();
    ++Part.Part;
    Bytes = 0;
  }
  Part.Last = true;
  Out.push_back(SendPeer{To.Host, std::move(Part)});
  Offset &Newest = SentAcks[Service].try_emplace(To, Epoch).first->second;
  Newest = std::max(Newest, Epoch);
}

void Coordinator::fenceAck(TimePoint Now, const PeerRef &From,
                           const FenceAck &Message,
                           const EpochHistory *History) {
  bool Stored = Impl->merge(Now, Message.Records);
  Impl->Takeovers.acknowledged(Now, From, Message, Stored, History);
}

void Coordinator::State::expire(TimePoint Now) {
  Expiry.checkDue(Now, [&](const RequestKey &Key) -> std::optional<TimePoint> {
    auto Found = Records.find(Key);
    if (Found == Records.end())
      return std::nullopt;
    const CoordinatorRecord &Record = Found->second;
    if (Record.Expires > Now)
      return Record.Expires;
    if (Record.State == RecordState::Done)
      KeptBytes -= answerBytes(Record.Response);
    Records.erase(Found);
    return std::nullopt;
  });
  NextExpiry = Now + ExpiryInterval;
}

void Coordinator::timer(TimePoint Now, EffectList &Out) {
  Impl->expire(Now);
  Impl->Takeovers.timer(Now, Out);
}

TimePoint Coordinator::nextWake() const {
  TimePoint Expiry = std::max(Impl->Expiry.next(), Impl->NextExpiry);
  return std::min(Impl->Takeovers.nextWake(), Expiry);
}

bool Coordinator::handedOver(const std::string &Service,
                             const EpochHistory &History) const {
  const EpochEntry &Current = History.current();
  if (Current.lists(Impl->Self))
    return false;
  auto Found = Impl->SentAcks.find(Service);
  for (const Member &Peer : Current.Members) {
    if (Peer.Host == Impl->Self.Host)
      continue;
    if (Found == Impl->SentAcks.end())
      return false;
    auto Sent = Found->second.find({Peer.Host, Peer.Inc});
    if (Sent == Found->second.end())
      return false;
    const EpochEntry *Entry = History.find(Sent->second);
    if (!Entry || Entry->lists(Impl->Self))
      return false;
  }
  return true;
}

std::size_t Coordinator::size() const { return Impl->Records.size(); }

} // namespace figsail
