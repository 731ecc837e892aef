// SidecarEvents.h - Events and effects of the sidecar's reducer.

#ifndef FIGSAIL_SIDECAR_SIDECAREVENTS_H
#define FIGSAIL_SIDECAR_SIDECAREVENTS_H

#include "BlockedRequests.h"
#include "Instance.h"
#include "Rollout.h"
#include "ServiceConfig.h"
#include "SidecarSettings.h"

#include "figsail/Events.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace figsail {

/// Number of a heartbeat or leave request on the control interface.
using ReportId = std::uint64_t;

// Events.

/// A client's request has arrived completely.
struct ClientRequest {
  CallerId Caller = 0;
  std::string Id;   ///< The client's id of this attempt, for logs.
  std::string Host; ///< Value of the Host field.
  std::optional<Duration> ClientTimeout; ///< Time that the client waits.
  HttpRequest Request;                   ///< Includes the calling service.
  /// Its last byte arrived after CloseClients, on a kept connection.
  bool Late = false;
  /// Key of the client's workspace; none: the request has no Authorization
  /// field; empty: it has several, or one that names no key.
  std::optional<std::string> Credential;
};

/// Heartbeat of the backend server beside this daemon.
struct ServerHeartbeat {
  ReportId Report = 0;
  std::string Instance;
  std::string Service;
  std::string Address; ///< "ip:port", as the server reports it.
  std::uint32_t Slots = 0;
  bool Draining = false;
  Duration Cold{0};             ///< How much longer it stays cold.
  std::uint64_t Sequence = 0;   ///< Increases from the server's start on.
  std::int64_t StartMillis = 0; ///< Start, Unix time; orders incarnations.
  std::string Version;          ///< Empty: it states none.
};

/// Report of the backend server that it leaves for good.
struct ServerLeave {
  ReportId Report = 0;
  std::string Instance;
  std::int64_t StartMillis = 0; ///< Start of the incarnation; 0: not reported.
};

/// Load that a backend server reports.
struct ServerLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  double SlowdownFactor = 1; ///< Duration of a run now over the usual one.
};

/// What a backend server says in a response about the requests that it takes.
struct ServerTerms {
  /// Requests a second that it takes from all hosts together; none: any number.
  std::optional<double> RateLimit;
  bool RateLimitUnusable = false; ///< It names a limit that is no number.
  bool Leaving = false;           ///< It leaves; it wants no new requests.
};

/// Statements of a backend server about a run, from the header fields and the
/// status of its response.
struct ResponseMetadata {
  bool NotExecuted = false;   ///< The server did not run the request.
  bool OtherInstance = false; ///< The address belongs to another server.
  std::optional<ServerLoad> Load;
  ServerTerms Terms;
};

/// End of a run at the backend server.
struct ServerRunResult {
  RunId Run = 0;
  std::variant<HttpResponse, BackendError> Result;
  ResponseMetadata Metadata; ///< Default values without a response.
};

/// End of a health probe.
struct ServerProbeResult {
  bool Healthy = false;
  std::string Instance; ///< Empty without a response.
  std::optional<Duration> Cold;
  std::optional<ServerLoad> Load;
  ServerTerms Terms;
};

/// The operator takes a failure domain out of service, or back into it.
struct Evacuation {
  std::string FailureDomain;
  bool Active = true;
};

/// A host's announcement was removed.
struct HostRemoved {
  HostId Host;
};

/// A record that cannot be decoded or applied.
struct UnusableRecord {
  std::string Key;
  std::string Reason;
};

/// Decoded record of a topic.
using TopicContent =
    std::variant<UnusableRecord, ConfigPtr, Evacuation, Announcement,
                 HostRemoved, RolloutOrder, RolloutShare, BlockedRequest>;

/// Decoder of the topics' records. A record without a value marks its key as
/// removed.
class RecordDecoder {
public:
  virtual ~RecordDecoder() = default;
  virtual TopicContent decode(Topic Which, const KeyedRecord &Record) const = 0;
};

/// The newest record of each key of a topic was read.
struct TopicSnapshot {
  Topic Which = Topic::Operator;
  std::vector<KeyedRecord> Records;
  Offset Next = 0; ///< Continue reading here; earlier records are included.
  StoreHistory History = 0;
  bool Hedged = false; ///< Result of the hedged read.
};

/// Records of a topic were read; the list may be empty.
struct TopicRecords {
  Topic Which = Topic::Operator;
  std::vector<KeyedRecord> Records;
  Offset Next = 0;
  StoreHistory History = 0;
  Offset End = 0; ///< Of the topic. Beyond Next, there are more records.
  bool Hedged = false;
};

/// The requested records of a topic do not exist: they are no longer kept, or
/// lie beyond the end.
struct TopicTruncated {
  Topic Which = Topic::Operator;
  Offset First = 0; ///< First record that is kept.
  StoreHistory History = 0;
  bool Hedged = false;
};

/// A read of a topic failed.
struct TopicReadFailed {
  Topic Which = Topic::Operator;
  std::string Reason;
  StoreHistory History = 0; ///< 0: the store did not answer.
  std::uint64_t Bytes = 0;  ///< Of the answer that had arrived by then.
  bool Hedged = false;
};

/// An append of Announce or RemoveHost ended. After a failure it is not known
/// whether the store has applied it.
struct AnnouncementResult {
  bool Appended = false;
  std::string Reason;       ///< Reason of a failure.
  StoreHistory History = 0; ///< 0: the store did not answer.
};

/// The rollout status of all services was read.
struct RolloutStatusRead {
  bool Success = false;
  std::vector<RolloutStatus> Entries;
  Offset End = 0; ///< Of the topic.
};

/// End of a conditional write of a rollout status.
struct RolloutStatusWritten {
  /// Result of the write. After Failed it is not known whether the store has
  /// applied it.
  enum class Outcome : std::uint8_t { Written, Conflict, Failed };
  Outcome Result = Outcome::Failed;
};

/// The bounds of the process settings have changed.
struct BoundsChanged {
  SidecarBounds Bounds;
};

/// End of CloseClients: no client connection has a request left to answer.
struct ClientsDrained {};

using SidecarEventBody =
    std::variant<BoundsChanged, ClientRequest, CallerDisconnected,
                 ClientsDrained, PeerReceived, PeerConnected, PeerLost,
                 ServerRunResult, ServerProbeResult, ServerHeartbeat,
                 ServerLeave, TopicSnapshot, TopicRecords, TopicTruncated,
                 TopicReadFailed, AnnouncementResult, TimerFired, StopRequested,
                 RolloutStatusRead, RolloutStatusWritten, PeerReceiving>;

/// One event with the inputs that the reducer must not obtain itself: time and
/// random bits.
struct SidecarEvent {
  TimePoint Now;
  std::uint64_t Seed = 0; ///< Random bits for this event.
  SidecarEventBody Body;
};

// Effects.

/// Send a request to the backend server beside this daemon.
struct StartRun {
  RunId Run = 0;
  HttpRequest Request;
  std::string Instance; ///< Only this backend server may run it.
  Duration Budget{0};   ///< Until the client's deadline.
  bool Idempotent = false;
  std::string Workspace; ///< Name of the client's workspace; empty: none.
};

/// Probe the health endpoint of the backend server.
struct ProbeServer {
  std::string Target;
};

/// Reply to a heartbeat or a leave report.
struct AnswerReport {
  ReportId Report = 0;
  bool Accepted = true;
};

/// Read the newest record of each key of a topic.
struct ReadTopicSnapshot {
  Topic Which = Topic::Operator;
  /// Above 0: a hedged read. It is sent beside the other one, on a connection
  /// of its own, and each of its calls has this timeout.
  Duration HedgeTimeout{0};
};

/// Read records of a topic from an offset on. Without any, the store waits up
/// to Wait for one.
struct ReadTopic {
  Topic Which = Topic::Operator;
  Offset From = 0;
  Duration Wait{0};
  Duration HedgeTimeout{0}; ///< See ReadTopicSnapshot.
};

/// Give up the reads of a topic that are in flight. No event follows.
struct AbandonReads {
  Topic Which = Topic::Operator;
};

/// Set the timeout of the next calls to the store, except hedged reads.
struct SetStoreTimeout {
  Duration Timeout{0};
};

/// Append the announcement of this host.
struct Announce {
  Announcement Content;
};

/// Remove the announcement of a host that no longer exists. Ends in
/// AnnouncementResult, like Announce.
struct RemoveHost {
  HostId Host;
};

/// Append the share record of a rollout. Ends in AnnouncementResult, like
/// Announce.
struct AppendRolloutShare {
  RolloutShare Content;
};

/// Append or, if it is inactive, remove the record of a blocked request. Ends
/// in AnnouncementResult, like Announce.
struct AppendBlockedRequest {
  BlockedRequest Content;
};

/// Read the rollout status of all services. Ends in RolloutStatusRead.
struct ReadRolloutStatus {};

/// Write a rollout status, unless the topic does not end at End. Ends in
/// RolloutStatusWritten.
struct WriteRolloutStatus {
  RolloutStatus Content;
  Offset End = 0;
};

/// Apply changed limits for clients.
struct SetClientLimits {
  ClientLimits Limits;
};

/// Set the answer of the readiness endpoint: whether this daemon accepts
/// requests of clients.
struct SetReadiness {
  bool Ready = false;
};

/// Accept no new client connections; close each one after its present request.
/// Ends in ClientsDrained.
struct CloseClients {};

/// Severity of a log line. Info lines and more severe ones have separate rate
/// limits.
enum class LogLevel : std::uint8_t { Info, Warning, Error };

/// Line of the structured log that records one decision.
struct Decision {
  LogLevel Level = LogLevel::Info;
  std::string_view Kind; ///< A string literal.
  std::vector<std::pair<std::string_view, std::string>> Fields;
};

using SidecarEffect = std::variant<
    ReplyCaller, SendPeer, ResetPeer, StartRun, CancelRun, ProbeServer,
    AnswerReport, ReadTopicSnapshot, ReadTopic, Announce, RemoveHost,
    SetClientLimits, SetReadiness, CloseClients, Decision, Count, CountRefusal,
    CountTopicRecords, ExitProcess, AppendRolloutShare, ReadRolloutStatus,
    WriteRolloutStatus, AppendBlockedRequest, AbandonReads, SetStoreTimeout>;
using SidecarEffects = std::vector<SidecarEffect>;

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SIDECAREVENTS_H
