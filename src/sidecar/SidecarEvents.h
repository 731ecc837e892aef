// SidecarEvents.h - Everything that can happen to a sidecar, and everything it
// can do.

#ifndef FIGSAIL_SIDECAR_SIDECAREVENTS_H
#define FIGSAIL_SIDECAR_SIDECAREVENTS_H

#include "Instance.h"
#include "ServiceConfig.h"
#include "SidecarSettings.h"

#include "figsail/Events.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace figsail {

/// Numbers of requests on the control interface.
using ReportId = std::uint64_t;

// Events.

/// A client's request has arrived whole.
struct ClientRequest {
  CallerId Caller = 0;
  std::string Id;   ///< The client's own id of this attempt; for logs.
  std::string Host; ///< Value of the Host field.
  std::optional<Duration> Patience; ///< How long the client will wait.
  HttpRequest Request;              ///< With the calling service named.
};

/// A heartbeat of the backend server beside this daemon.
struct ServerHeartbeat {
  ReportId Report = 0;
  std::string Instance;
  std::string Service;
  std::string Address; ///< "ip:port", as the backend server says it.
  std::uint32_t Slots = 0;
  bool Draining = false;
  Duration Cold{0};            ///< How much longer it stays cold.
  std::uint64_t Sequence = 0;  ///< Counts up from its start.
  std::int64_t BornMillis = 0; ///< Its start, Unix time; orders incarnations.
};

/// The backend server says that it is leaving for good.
struct ServerLeaves {
  ReportId Report = 0;
  std::string Instance;
  std::int64_t BornMillis = 0; ///< 0: not said.
};

/// How busy a backend server says it is.
struct ServerLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  double SlowdownFactor = 1; ///< Duration of work now over the usual one.
};

/// What the fields of a backend server's response say beside the response.
struct ServerNote {
  bool NotExecuted = false;   ///< The request did not run.
  bool OtherInstance = false; ///< Another backend server has the address.
  std::optional<ServerLoad> Load;
};

/// A run has ended.
struct ServerDone {
  RunId Run = 0;
  std::variant<HttpResponse, BackendError> Result;
  ServerNote Note; ///< Empty when there is no response.
};

/// A health probe has ended.
struct ServerProbed {
  bool Healthy = false;
  std::string Instance; ///< Empty when there was no response.
  std::optional<Duration> Cold;
  std::optional<ServerLoad> Load;
};

/// The operator takes a failure domain out of service, or back.
struct Evacuation {
  std::string FailureDomain;
  bool Out = true;
};

/// A host's announcement was dropped.
struct HostForgotten {
  HostId Host;
};

/// A record that cannot be used.
struct UnusableRecord {
  std::string Key;
  std::string Reason;
};

/// A record of a topic, decoded.
using TopicContent = std::variant<UnusableRecord, ConfigPtr, Evacuation,
                                  Announcement, HostForgotten>;

/// Decodes records of the topics. A record without a value says that its key
/// was dropped.
class RecordDecoder {
public:
  virtual ~RecordDecoder() = default;
  virtual TopicContent decode(Topic Which, const KeyedRecord &Record) const = 0;
};

/// The newest record of each key of a topic was read.
struct TopicSnapshot {
  Topic Which = Topic::Operator;
  std::vector<KeyedRecord> Records;
  Offset Next = 0; ///< Read on from here; earlier records are covered.
  StoreHistory History = 0;
};

/// Records of a topic were read, possibly none.
struct TopicRecords {
  Topic Which = Topic::Operator;
  std::vector<KeyedRecord> Records;
  Offset Next = 0;
  StoreHistory History = 0;
};

/// The wanted records of a topic are not there: no longer kept, or beyond the
/// end.
struct TopicTruncated {
  Topic Which = Topic::Operator;
  Offset First = 0; ///< The first record that is kept.
  StoreHistory History = 0;
};

/// A read of a topic has failed.
struct TopicFailed {
  Topic Which = Topic::Operator;
  std::string Reason;
  StoreHistory History = 0; ///< 0: no answer.
};

/// An announcement was appended or dropped, or not: then the outcome is not
/// known.
struct AnnouncementDone {
  bool Appended = false;
  std::string Reason;       ///< Of a failure.
  StoreHistory History = 0; ///< 0: no answer.
};

/// The bounds of the process settings have changed.
struct BoundsChanged {
  SidecarBounds Bounds;
};

/// After CloseClients: no client connection has a request left to answer.
struct ClientsGone {};

using SidecarEventBody =
    std::variant<BoundsChanged, ClientRequest, CallerDisconnected, ClientsGone,
                 PeerReceived, PeerConnected, PeerLost, ServerDone,
                 ServerProbed, ServerHeartbeat, ServerLeaves, TopicSnapshot,
                 TopicRecords, TopicTruncated, TopicFailed, AnnouncementDone,
                 TimerFired, StopRequested>;

/// One event with the inputs that the reducer may not fetch itself.
struct SidecarEvent {
  TimePoint Now;
  std::uint64_t Seed = 0; ///< Random bits for this event.
  SidecarEventBody Body;
};

// Effects.

/// Send a request to the backend server beside this daemon.
struct RunServer {
  RunId Run = 0;
  HttpRequest Request;
  std::string Instance; ///< The only backend server that may run it.
  Duration Budget{0};   ///< Until the client's deadline.
  bool Repeatable = false;
};

/// Ask the health endpoint of the backend server.
struct ProbeServer {
  std::string Target;
};

/// Answer a heartbeat or a leave.
struct AnswerReport {
  ReportId Report = 0;
  bool Accepted = true;
};

/// Read the newest record of each key of a topic.
struct ReadTopicSnapshot {
  Topic Which = Topic::Operator;
};

/// Read records of a topic from an offset on, or wait for one.
struct ReadTopic {
  Topic Which = Topic::Operator;
  Offset From = 0;
  Duration Wait{0};
};

/// Append the announcement of this host.
struct Announce {
  Announcement Said;
};

/// Drop the announcement of a host that is gone. Ends like Announce.
struct DropHost {
  HostId Host;
};

/// The limits for clients have changed.
struct SetClientLimits {
  ClientLimits Limits;
};

/// Say to those who ask whether this daemon takes requests of clients.
struct SetReadiness {
  bool Ready = false;
};

/// Take no new client connections; close each one after its present request.
/// Ends in ClientsGone.
struct CloseClients {};

/// How important a log line is when lines have to be left out.
enum class LogLevel : std::uint8_t { Info, Warning, Error };

/// A line of the structured log: one decision.
struct Decision {
  LogLevel Level = LogLevel::Info;
  std::string_view What; ///< Kind of decision, a literal.
  std::vector<std::pair<std::string_view, std::string>> Fields;
};

using SidecarEffect =
    std::variant<ReplyCaller, SendPeer, ResetPeer, RunServer, CancelRun,
                 ProbeServer, AnswerReport, ReadTopicSnapshot, ReadTopic,
                 Announce, DropHost, SetClientLimits, SetReadiness,
                 CloseClients, Decision, Count, CountRefusal, ExitProcess>;
using SidecarEffects = std::vector<SidecarEffect>;

} // namespace figsail

#endif // FIGSAIL_SIDECAR_SIDECAREVENTS_H
