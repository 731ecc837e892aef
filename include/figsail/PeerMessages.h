// PeerMessages.h - The closed set of messages between daemons.

#ifndef FIGSAIL_PEERMESSAGES_H
#define FIGSAIL_PEERMESSAGES_H

#include "figsail/ErrorKind.h"
#include "figsail/HttpMessage.h"
#include "figsail/Types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figsail {

/// Version of the peer protocol; links between different versions are refused.
inline constexpr std::uint32_t PeerProtocolVersion = 3;

/// Permission to run one attempt of one keyed request on one executor.
struct GrantToken {
  RequestKey Key;
  std::string Service;
  Offset Epoch = NoOffset;   ///< Epoch of the service when it was granted.
  PeerRef Coordinator;       ///< Who granted it.
  PeerRef Executor;          ///< Who may run it.
  std::uint32_t Attempt = 0; ///< Counts up from 1 for each key.

  bool operator==(const GrantToken &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Key, Service, Epoch, Coordinator, Executor, Attempt);
  }
};

/// The part of a route's effective settings that travels with a call, so that a
/// change of configuration under way does not affect it.
struct CallPolicy {
  std::string Route;                    ///< Path of the route node.
  std::string Service;                  ///< Path of the service node.
  std::string Workspace;                ///< Path of the workspace node.
  std::vector<std::string> HomeRegions; ///< Empty: any region.
  bool Idempotent = true;
  std::uint32_t Share = 1; ///< Weight of the workspace in the admission queue.
  std::uint32_t RefusalStatus =
      0; ///< Status by which the backend server says "not run"; 0: none.
  Duration RecordLifetime{0}; ///< How long a record outlives its run.
  std::uint32_t Priority = 0; ///< Rank in the admission queue; 0 goes first.

  bool operator==(const CallPolicy &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    auto Micros = RecordLifetime.count();
    Ar(Route, Service, Workspace, HomeRegions, Idempotent, Share, RefusalStatus,
       Micros, Priority);
    RecordLifetime = Duration(Micros);
  }
};

/// Ingress to executor: run this request.
struct Execute {
  CallId Call;
  Incarnation Target =
      0; ///< Incarnation of the executor it is meant for; 0: any.
  CallPolicy Policy;
  std::int64_t BudgetMicros =
      0; ///< Time left until the deadline, from receipt.
  std::uint64_t Fingerprint =
      0; ///< Equal for repeats of one request by any client.
  std::optional<GrantToken> Grant; ///< Set for keyed requests.
  HttpRequest Request;
  std::string Instance; ///< Backend server that the ingress knows of.
  std::int64_t TargetMicros =
      0; ///< Time left until the route's target latency; may be negative.
  bool HasAlternative =
      false; ///< Another server can take it if this one is slow now.
  float RetryFraction = 0; ///< 1 for a repeat of a call that may have reached a
                           ///< server. Else the part of the caller's runs that
                           ///< were repeats themselves.
  std::uint32_t ReceiptDelayMicros = 0; ///< Received is wanted if the call has
                                        ///< not ended by then, from receipt.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Call, Target, Policy, BudgetMicros, Fingerprint, Grant, Request,
       Instance, TargetMicros, HasAlternative, RetryFraction,
       ReceiptDelayMicros);
  }
};

/// Executor to ingress: the call arrived and is queued or running.
struct Received {
  CallId Call;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call); }
};

/// Executor to ingress: the whole response of the backend server.
struct Answer {
  CallId Call;
  HttpResponse Response;
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Call, Response, Load);
  }
};

/// Executor to ingress: did not run and will not run under this call and
/// attempt.
struct Refused {
  CallId Call;
  ErrorKind Kind = ErrorKind::Overloaded;
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call, Kind, Load); }
};

/// Executor to ingress: started, and the outcome is not known or the answer is
/// not kept.
struct Failed {
  CallId Call;
  ErrorKind Kind = ErrorKind::BackendFailed;
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call, Kind, Load); }
};

/// Ingress to executor: the result is no longer wanted. Only for idempotent
/// calls.
struct Cancel {
  CallId Call;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call); }
};

/// Ingress to executor: what became of a call or of a grant? Answered by
/// Received, Answer, Refused (NeverStarted, made final) or Failed, for the id
/// Call.
struct Await {
  CallId Call; ///< Id of the asker's call.
  std::optional<GrantToken>
      Grant; ///< Set: asks for the grant, possibly of another ingress.
  Incarnation Target = 0; ///< Incarnation the call was sent to; 0: any. Another
                          ///< incarnation does not know whether it ran.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Call, Grant, Target);
  }
};

/// Ingress to coordinator: may this keyed request run on this executor?
struct Claim {
  CallId Call;
  RequestKey Key;
  std::uint64_t Fingerprint = 0;
  CallPolicy Policy;
  Offset Epoch = NoOffset; ///< Epoch of the service in the ingress's view.
  PeerRef Executor;        ///< Preferred executor.
  std::optional<GrantToken>
      Released; ///< Grant that its executor refused with finality. The whole
                ///< token: attempt numbers may repeat after a takeover.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Call, Key, Fingerprint, Policy, Epoch, Executor, Released);
  }
};

/// Coordinator to ingress: run it with this token.
struct Granted {
  CallId Call;
  GrantToken Token;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call, Token); }
};

/// Coordinator to ingress: already granted; ask the executor of this token.
struct ClaimHeld {
  CallId Call;
  GrantToken Token;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call, Token); }
};

/// Coordinator to ingress: it ran; this is its first answer.
struct ClaimDone {
  CallId Call;
  HttpResponse Response;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call, Response); }
};

/// Coordinator to ingress: no grant.
struct ClaimRefused {
  CallId Call;
  ErrorKind Kind = ErrorKind::OutcomeUnknown;
  Offset Epoch = NoOffset; ///< Epoch of the service in the coordinator's view.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Call, Kind, Epoch);
  }
};

/// What is known of a granted request.
enum class RecordState : std::uint8_t {
  Granted,  ///< Granted; may run or have run.
  Done,     ///< Ran; the answer is kept.
  NotKept,  ///< Ran; the answer was too large to keep.
  Unknown,  ///< Started; the outcome is not known.
  Released, ///< The attempt did not run and will not run.
};

/// Executor to coordinator: how a granted attempt ended.
struct Completed {
  GrantToken Token;
  RecordState State = RecordState::Unknown;
  HttpResponse Response; ///< Set with Done.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Token, State, Response);
  }
};

/// A copy of an idempotency record, sent in a takeover.
struct RecordCopy {
  GrantToken Token;
  std::string Route;
  std::uint64_t Fingerprint = 0;
  RecordState State = RecordState::Granted;
  HttpResponse Response;            ///< Set with Done.
  std::int64_t RemainingMicros = 0; ///< Life left, from receipt.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Token, Route, Fingerprint, State, Response, RemainingMicros);
  }
};

/// Member to member: acknowledge this epoch of the service and send my records.
struct Fence {
  std::string Service;
  Offset Epoch = NoOffset;
  template <class Archive> void serialize(Archive &Ar) { Ar(Service, Epoch); }
};

/// Answer to Fence: the sender refuses tokens and grants of lower epochs from
/// now on.
struct FenceAck {
  std::string Service;
  Offset Epoch = NoOffset;
  std::vector<RecordCopy>
      Records; ///< Records whose key the receiver coordinates in Epoch.
  std::uint64_t AckNumber = 0; ///< Number of this acknowledgement, unique in
                               ///< the sender's incarnation.
  std::uint32_t Part = 0; ///< Counts up from 0 within the acknowledgement.
  bool Last = true; ///< The acknowledgement counts when all parts up to the
                    ///< last have arrived.
  bool Complete = false; ///< For keys that the sender coordinates in the newest
                         ///< earlier epoch that lists it, its records cover
                         ///< all epochs before.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Service, Epoch, Records, AckNumber, Part, Last, Complete);
  }
};

/// Ring neighbour to ring neighbour, once a second.
struct Heartbeat {
  Offset Applied = NoOffset; ///< Applied log offset of the sender.
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) { Ar(Applied, Load); }
};

/// Watcher to a third member: do you hear Target?
struct Probe {
  PeerRef Target;
  template <class Archive> void serialize(Archive &Ar) { Ar(Target); }
};

/// Answer to Probe, or the proof of life that the target itself sends.
struct ProbeReply {
  PeerRef Target;
  bool Alive = false;
  template <class Archive> void serialize(Archive &Ar) { Ar(Target, Alive); }
};

/// Child to parent in the replication tree: send records from this offset on.
struct Subscribe {
  Offset From = 0;
  template <class Archive> void serialize(Archive &Ar) { Ar(From); }
};

/// Parent to child: records in order, possibly none (proof of life).
struct Records {
  std::vector<LogRecord> Batch;
  template <class Archive> void serialize(Archive &Ar) { Ar(Batch); }
};

/// Parent to child whose offset is too old: the whole replicated state.
struct Snapshot {
  Offset At = NoOffset; ///< Last offset that is part of it.
  std::string State;    ///< JSON text.
  template <class Archive> void serialize(Archive &Ar) { Ar(At, State); }
};

/// Member to member in the home regions: a request may have crashed a backend
/// server.
struct SuspectReport {
  std::uint64_t Fingerprint = 0;
  std::uint32_t Crashes = 0; ///< Crashes seen while it ran; 0 clears it.
  bool Alone = false; ///< No other suspect was running at the last crash.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Fingerprint, Crashes, Alone);
  }
};

/// Number of the store's history. It rises when the store comes back from an
/// older copy of itself: acknowledged records are gone then, and their offsets
/// are given out again. 0: not known.
using StoreHistory = std::uint64_t;

/// Topics of a keyed log that daemons follow.
enum class Topic : std::uint8_t {
  Operator, ///< Configuration and evacuations; only the operator writes.
  Members,  ///< Announcements of the daemons.
};
inline constexpr std::size_t TopicCount = 2;

/// One record of a keyed log.
struct KeyedRecord {
  std::string Key;
  std::optional<std::string> Value; ///< Nothing: the key was dropped.
  Offset At = NoOffset; ///< NoOffset: known from an earlier history only.

  bool operator==(const KeyedRecord &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Key, Value, At); }
};

/// What is known of one topic: the newest record of each key below Next.
struct TopicContents {
  Offset Next = 0; ///< Where to read on; 0: nothing is known.
  std::vector<KeyedRecord> Records;
  template <class Archive> void serialize(Archive &Ar) { Ar(Next, Records); }
};

/// Daemon to daemon: send what is newer than these offsets, and for some time
/// what comes after it.
struct TopicSubscribe {
  std::vector<Offset> From; ///< By topic.
  StoreHistory History = 0; ///< That the offsets belong to.
  template <class Archive> void serialize(Archive &Ar) { Ar(From, History); }
};

/// Answer to TopicSubscribe, and news.
struct TopicUpdate {
  bool Live = false; ///< The sender is up to date: it reads the store, or its
                     ///< source says so.
  bool Complete = false;            ///< The sender has read every topic.
  std::vector<TopicContents> Parts; ///< By topic.
  StoreHistory History = 0;         ///< That the offsets belong to.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Live, Complete, Parts, History);
  }
};

/// The order is the wire encoding: append only.
using PeerMessage =
    std::variant<Execute, Received, Answer, Refused, Failed, Cancel, Await,
                 Claim, Granted, ClaimHeld, ClaimDone, ClaimRefused, Completed,
                 Fence, FenceAck, Heartbeat, Probe, ProbeReply, Subscribe,
                 Records, Snapshot, SuspectReport, TopicSubscribe, TopicUpdate>;

/// Returns whether the message is control traffic, which is sent ahead of
/// queued calls.
bool isControl(const PeerMessage &Message);

/// Returns the name of the message's type.
std::string_view messageName(const PeerMessage &Message);

} // namespace figsail

#endif // FIGSAIL_PEERMESSAGES_H
