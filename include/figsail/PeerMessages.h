// PeerMessages.h - Messages between daemons.

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
inline constexpr std::uint32_t PeerProtocolVersion = 8;

/// Permission to run one attempt of one keyed request on one executor.
struct GrantToken {
  RequestKey Key;
  std::string Service;
  Offset Epoch = NoOffset;   ///< Epoch of the service when it was granted.
  PeerRef Coordinator;       ///< Coordinator that granted it.
  PeerRef Executor;          ///< Executor that may run it.
  std::uint32_t Attempt = 0; ///< Counts up from 1 for each key.

  bool operator==(const GrantToken &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Key, Service, Epoch, Coordinator, Executor, Attempt);
  }
};

/// Effective settings of a route that are sent with a call, so that a change of
/// configuration does not affect calls in flight.
struct CallPolicy {
  std::string Route;                    ///< Path of the route node.
  std::string Service;                  ///< Path of the service node.
  std::string Workspace;                ///< Path of the workspace node.
  std::vector<std::string> HomeRegions; ///< Empty: any region.
  bool Idempotent = true;
  std::uint32_t Share = 1; ///< Weight of the workspace in the admission queue.
  std::uint32_t RefusalStatus =
      0; ///< Status with which the backend server reports that it did not run
         ///< the request; 0: none.
  Duration RecordLifetime{0}; ///< How long a record is kept after its run.
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
      0; ///< Incarnation of the executor that it is sent to; 0: any.
  CallPolicy Policy;
  std::int64_t BudgetMicros =
      0; ///< Time left until the deadline, from receipt.
  std::uint64_t Fingerprint =
      0; ///< Equal for the same request resent by any client.
  std::optional<GrantToken> Grant; ///< Set for keyed requests.
  HttpRequest Request;
  std::string
      Instance; ///< Id of the backend server process, as the ingress knows it.
  std::int64_t TargetMicros =
      0; ///< Time left until the route's target latency; may be negative.
  bool HasAlternative =
      false; ///< Another server can run the call if this one is slow now.
  float RetryFraction =
      0; ///< 1 for a retry of a call that may have reached a server. Else the
         ///< fraction of retries among the runs of the caller.
  std::uint32_t ReceiptDelayMicros = 0; ///< Received is sent if the call has
                                        ///< not ended this long after receipt.
  std::optional<ServerNotice>
      Notice{};        ///< What the ingress knows of the server.
  bool Nested = false; ///< A run of the server beside the ingress makes it.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Call, Target, Policy, BudgetMicros, Fingerprint, Grant, Request,
       Instance, TargetMicros, HasAlternative, RetryFraction,
       ReceiptDelayMicros, Notice, Nested);
  }
};

/// Executor to ingress: the call arrived and is queued or running.
struct Received {
  CallId Call;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call); }
};

/// Executor to ingress: the complete response of the backend server.
struct Answer {
  CallId Call;
  HttpResponse Response;
  LoadReport Load;
  /// The run failed since a service refused a call that the run made.
  bool CallRefused = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Call, Response, Load, CallRefused);
  }
};

/// Executor to ingress: the request did not run and will not run under this
/// call id and attempt.
struct Refused {
  CallId Call;
  ErrorKind Kind = ErrorKind::Overloaded;
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call, Kind, Load); }
};

/// Executor to ingress: the request was started, and its outcome is not known
/// or its answer is not kept.
struct Failed {
  CallId Call;
  ErrorKind Kind = ErrorKind::BackendFailed;
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call, Kind, Load); }
};

/// Ingress to executor: the result is no longer needed. Sent only for
/// idempotent calls.
struct Cancel {
  CallId Call;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call); }
};

/// Ingress to executor: query for the state of a call or a grant. The reply,
/// with the id Call, is Received, Answer, Failed or Refused. Refused with
/// NeverStarted is final: the executor will not start the request later.
struct Await {
  CallId Call; ///< Id of the sender's call.
  std::optional<GrantToken>
      Grant; ///< Set: the query is for the grant, possibly of another ingress.
  Incarnation Target = 0; ///< Incarnation that the call was sent to; 0: any.
                          ///< Another incarnation cannot tell whether it ran.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Call, Grant, Target);
  }
};

/// Ingress to coordinator: request for permission to run a keyed request on an
/// executor.
struct Claim {
  CallId Call;
  RequestKey Key;
  std::uint64_t Fingerprint = 0;
  CallPolicy Policy;
  Offset Epoch = NoOffset; ///< Epoch of the service in the ingress's view.
  PeerRef Executor;        ///< Preferred executor.
  std::optional<GrantToken>
      Released; ///< Grant that its executor refused for good. The complete
                ///< token is needed, as a takeover may assign an attempt number
                ///< again.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Call, Key, Fingerprint, Policy, Epoch, Executor, Released);
  }
};

/// Coordinator to ingress: permission to run the request with this token.
struct Granted {
  CallId Call;
  GrantToken Token;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call, Token); }
};

/// Coordinator to ingress: the key is already granted; the executor of this
/// token knows the state.
struct ClaimHeld {
  CallId Call;
  GrantToken Token;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call, Token); }
};

/// Coordinator to ingress: the request has run; this is its first answer.
struct ClaimDone {
  CallId Call;
  HttpResponse Response;
  template <class Archive> void serialize(Archive &Ar) { Ar(Call, Response); }
};

/// Coordinator to ingress: the claim is refused.
struct ClaimRefused {
  CallId Call;
  ErrorKind Kind = ErrorKind::OutcomeUnknown;
  Offset Epoch = NoOffset; ///< Epoch of the service in the coordinator's view.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Call, Kind, Epoch);
  }
};

/// State of a granted request.
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

/// Copy of an idempotency record, sent in a takeover.
struct RecordCopy {
  GrantToken Token;
  std::string Route;
  std::uint64_t Fingerprint = 0;
  RecordState State = RecordState::Granted;
  HttpResponse Response;            ///< Set with Done.
  std::int64_t RemainingMicros = 0; ///< Lifetime left, from receipt.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Token, Route, Fingerprint, State, Response, RemainingMicros);
  }
};

/// Member to member: request to acknowledge this epoch of the service and to
/// send the records that the sender now coordinates.
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
  std::uint32_t Part = 0;      ///< Number of this part, from 0.
  bool Last = true; ///< The acknowledgement takes effect when all parts up to
                    ///< the last have arrived.
  bool Complete = false; ///< For keys that the sender coordinates in the newest
                         ///< earlier epoch that lists it, its records cover
                         ///< all epochs before.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Service, Epoch, Records, AckNumber, Part, Last, Complete);
  }
};

/// Member to its neighbours in the ring, once a second.
struct Heartbeat {
  Offset Applied = NoOffset; ///< Applied log offset of the sender.
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) { Ar(Applied, Load); }
};

/// Member to a third member: request to check whether Target is alive. Also
/// sent to Target itself.
struct Probe {
  PeerRef Target;
  template <class Archive> void serialize(Archive &Ar) { Ar(Target); }
};

/// Reply to Probe, from the target itself or forwarded by a third member.
struct ProbeReply {
  PeerRef Target;
  bool Alive = false;
  template <class Archive> void serialize(Archive &Ar) { Ar(Target, Alive); }
};

/// Child to parent in the replication tree: send records from this offset on.
struct Subscribe {
  Offset From = 0;
  std::uint32_t Pieces = 0; ///< That have arrived of an unfinished snapshot.
  template <class Archive> void serialize(Archive &Ar) { Ar(From, Pieces); }
};

/// Parent to child: records in order. Sent without records to show that the
/// link is alive.
struct Records {
  std::vector<LogRecord> Batch;
  template <class Archive> void serialize(Archive &Ar) { Ar(Batch); }
};

/// Parent to child whose offset is too old: a piece of the complete replicated
/// state. The pieces of one snapshot follow each other. Calls share the link
/// with them, so a call waits for one piece at most.
struct Snapshot {
  Offset At = NoOffset;    ///< Offset of the last record that it includes.
  std::string State;       ///< Part of a JSON text.
  std::uint32_t Index = 0; ///< Of the piece, from 0 on.
  std::uint32_t Count = 1; ///< Pieces of the snapshot.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(At, State, Index, Count);
  }
};

/// Member to member in the home regions: a request may have crashed a backend
/// server.
struct SuspectReport {
  std::uint64_t Fingerprint = 0;
  std::uint32_t Crashes =
      0; ///< Crashes while the request ran; 0 clears the suspicion.
  bool Alone = false; ///< No other suspect was running at the last crash.
  std::int64_t AgeMicros = 0; ///< Since the last crash that the sender counted.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Fingerprint, Crashes, Alone, AgeMicros);
  }
};

/// Number of the store's history. It increases when the store is restored from
/// an older copy of itself: acknowledged records are then lost, and their
/// offsets are assigned again. 0: not known.
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
  std::optional<std::string> Value; ///< Empty: the key was removed.
  Offset At = NoOffset; ///< NoOffset: the record is from an earlier history.

  bool operator==(const KeyedRecord &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Key, Value, At); }
};

/// Contents of one topic: the newest record of each key below Next.
struct TopicContents {
  Offset Next = 0; ///< Offset of the next record to read; 0: nothing was read.
  std::vector<KeyedRecord> Records;
  template <class Archive> void serialize(Archive &Ar) { Ar(Next, Records); }
};

/// Daemon to daemon: request for the records after these offsets and, for a
/// limited time, for later ones.
struct TopicSubscribe {
  std::vector<Offset> From; ///< By topic.
  StoreHistory History = 0; ///< History that the offsets belong to.
  /// Chosen by the subscriber. With the number of an earlier request it only
  /// renews the subscription: what was sent on the stream is not sent again.
  /// 0: the reply contains all records from the offsets on.
  std::uint64_t Stream = 0;
  /// Digest of a large value that the subscriber has; 0: none.
  std::uint64_t Base = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(From, History, Stream, Base);
  }
};

/// Reply to TopicSubscribe, and later updates.
struct TopicUpdate {
  bool Live = false; ///< The sender is up to date: it reads the store, or its
                     ///< source reports to be up to date. Never together with
                     ///< StoreFailing.
  bool Complete = false;            ///< The sender has read every topic.
  std::vector<TopicContents> Parts; ///< By topic.
  StoreHistory History = 0;         ///< History that the offsets belong to.
  std::uint64_t Stream = 0; ///< Of the subscription; 0: not part of a stream.
  /// Position in the stream. The upper 32 bits differ whenever the sender
  /// starts the stream anew, the lower ones count from 1.
  std::uint64_t Number = 0;
  /// The sender has heard from the store, itself or through its source, since
  /// it began to rely on it. Live alone may be said before the first answer.
  bool Confirmed = false;
  /// Newest offset of the operator topic that the sender has or knows of.
  Offset NewestConfig = 0;
  /// The sender should read the store for others, and its reads fail or are
  /// overdue. Its subscribers need another source.
  bool StoreFailing = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Live, Complete, Parts, History, Stream, Number, Confirmed, NewestConfig,
       StoreFailing);
  }
};

/// A piece of a large TopicUpdate, which is sent compressed. The pieces of one
/// update follow each other. Calls share the link with them, so a call waits
/// for one piece at most.
struct TopicPiece {
  std::uint64_t Stream = 0; ///< Of the update.
  std::uint64_t Number = 0; ///< Of the update.
  std::uint32_t Index = 0;  ///< Of the piece, from 0 on.
  std::uint32_t Count = 0;  ///< Pieces of the update.
  std::uint64_t Base = 0;   ///< Digest of the value that it was compressed
                            ///< against; 0: none.
  std::uint64_t Digest = 0; ///< Of the encoded update.
  std::uint64_t Size = 0;   ///< Of the encoded update, in bytes.
  Offset NewestConfig = 0;  ///< Of the update.
  std::string Bytes;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, Number, Index, Count, Base, Digest, Size, NewestConfig, Bytes);
  }
};

/// Runs of one route at a server's gate since the start of a rollout order.
struct RolloutRouteCounts {
  std::string Route;
  std::uint32_t Runs = 0;     ///< That ended with a response.
  std::uint32_t Failures = 0; ///< Of them, by the server's own fault.
  /// Number of runs by duration at the usual speed, in steps of the square root
  /// of 2. Runs of a cold server are left out.
  std::vector<std::uint32_t> Times;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Route, Runs, Failures, Times);
  }
};

/// Gate to controller: what has run here since the start of a rollout order.
struct RolloutReport {
  std::string Service;
  Offset Order = NoOffset;        ///< Of the order.
  std::int64_t ElapsedMicros = 0; ///< Of the order's time, at the sender.
  std::uint64_t Epoch = 0;        ///< All counts begin at zero with each.
  bool IsTarget = false;          ///< The server has the target version.
  bool Ready = false;             ///< The server accepts requests.
  std::uint32_t Started = 0;      ///< Runs.
  std::uint32_t Refused = 0;      ///< Calls refused for lack of capacity.
  std::uint32_t Late = 0;         ///< Runs that ended after their target.
  std::vector<RolloutRouteCounts> Routes;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Service, Order, ElapsedMicros, Epoch, IsTarget, Ready, Started, Refused,
       Late, Routes);
  }
};

/// Controller to gate: reply to RolloutReport.
struct RolloutVerdict {
  std::string Service;
  Offset Order = NoOffset;        ///< Of the order.
  std::int64_t ElapsedMicros = 0; ///< Of the order's time, at the sender.
  std::uint64_t Epoch = 0;        ///< Of the report.
  std::uint8_t Progress = 0;      ///< A RolloutState.
  std::uint32_t Grant = 0; ///< Runs that the gate may start in this epoch.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Service, Order, ElapsedMicros, Epoch, Progress, Grant);
  }
};

/// Use of one workspace's quota at one ingress.
struct QuotaUsage {
  std::string Workspace;
  /// Requests admitted and not refunded since the ingress keeps the workspace.
  std::int64_t Admitted = 0;
  std::int64_t Acknowledged = 0; ///< Value of Admitted in the newest grant.
  std::uint32_t Requested = 0;   ///< Requests since the last report.
  float Share = 0;               ///< Held share, in requests a second.
  std::uint32_t Sequence = 0;    ///< Newest grant of the recipient; 0: none.
  bool Limited = false;
  bool Released = false; ///< The ingress gives up its share.
  bool operator==(const QuotaUsage &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Workspace, Admitted, Acknowledged, Requested, Share, Sequence, Limited,
       Released);
  }
};

/// Ingress to quota coordinator.
struct QuotaReport {
  std::vector<QuotaUsage> Usage;
  template <class Archive> void serialize(Archive &Ar) { Ar(Usage); }
};

/// Share of one workspace's quota for one ingress.
struct QuotaGrant {
  std::string Workspace;
  std::int64_t Admitted = 0; ///< Value that the coordinator has counted.
  /// Of the coordinator, for this ingress; 0: there is no grant, only a notice
  /// whether the workspace is limited.
  std::uint32_t Sequence = 0;
  float Rate = 0;  ///< Requests a second, while a coordinator is heard.
  float Share = 0; ///< The same without a coordinator.
  float Burst = 0; ///< Requests beyond the rate.
  float Extra = 0; ///< Requests beyond the share that may be uncounted.
  bool Limited = false;
  bool Query = false;               ///< A report is to be sent.
  std::uint32_t IntervalMillis = 0; ///< Between reports while Limited.
  bool operator==(const QuotaGrant &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Workspace, Admitted, Sequence, Rate, Share, Burst, Extra, Limited, Query,
       IntervalMillis);
  }
};

/// Quota coordinator to ingress: reply to QuotaReport, or sent unrequested when
/// a workspace becomes limited or an ingress has been silent.
struct QuotaReply {
  std::vector<QuotaGrant> Grants;
  template <class Archive> void serialize(Archive &Ar) { Ar(Grants); }
};

/// Executor to ingress: a piece of an answer with a large body. Pieces of
/// several answers take turns on a link, and other messages overtake them.
struct AnswerPiece {
  CallId Call;
  std::uint64_t Size = 0;       ///< Of the whole body, in bytes.
  std::uint32_t Index = 0;      ///< Of the piece, from 0 on.
  std::string Bytes;            ///< Part of the body.
  std::optional<Answer> Head{}; ///< The answer without its body; set in the
                                ///< last piece only.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Call, Size, Index, Bytes, Head);
  }
};

/// The order is the wire encoding: append only.
using PeerMessage =
    std::variant<Execute, Received, Answer, Refused, Failed, Cancel, Await,
                 Claim, Granted, ClaimHeld, ClaimDone, ClaimRefused, Completed,
                 Fence, FenceAck, Heartbeat, Probe, ProbeReply, Subscribe,
                 Records, Snapshot, SuspectReport, TopicSubscribe, TopicUpdate,
                 TopicPiece, RolloutReport, RolloutVerdict, QuotaReport,
                 QuotaReply, AnswerPiece>;

/// Returns whether the message is control traffic, which is sent ahead of
/// queued calls.
bool isControl(const PeerMessage &Message);

/// Returns whether the message is part of a bulk transfer, which control
/// messages and calls overtake. A receiver must not depend on the order of bulk
/// and other messages.
bool isBulk(const PeerMessage &Message);

/// Returns the name of the message's type.
std::string_view messageName(const PeerMessage &Message);

} // namespace figsail

#endif // FIGSAIL_PEERMESSAGES_H
