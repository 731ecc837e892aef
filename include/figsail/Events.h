// Events.h - Events that a daemon's reducer receives and effects that it
// returns.

#ifndef FIGSAIL_EVENTS_H
#define FIGSAIL_EVENTS_H

#include "figsail/PeerMessages.h"

#include <string>
#include <variant>
#include <vector>

namespace figsail {

/// Id that the shell assigns to a caller's request.
using CallerId = std::uint64_t;
/// Id that the core assigns to a run on the backend server.
using RunId = std::uint64_t;
/// Id that the core assigns to an append to the log.
using AppendId = std::uint64_t;

/// A caller's request has arrived completely.
struct CallerRequest {
  CallerId Caller = 0;
  HttpRequest Request;
};

/// A caller's connection closed before its answer was written.
struct CallerDisconnected {
  CallerId Caller = 0;
};

/// A message has arrived on a peer link.
struct PeerReceived {
  PeerRef From;
  PeerMessage Message;
};

/// A peer link is open and both sides have identified themselves.
struct PeerConnected {
  PeerRef Peer;
};

/// Bytes of a large message that is not complete yet have arrived on a peer
/// link.
struct PeerReceiving {
  PeerRef From;
};

/// A peer link broke or could not be opened.
struct PeerLost {
  HostId Host;
  std::vector<PeerMessage> Unsent; ///< Messages of which no byte was written.
};

/// Reason why a run on the backend server has no response.
enum class BackendError : std::uint8_t {
  NotSent,   ///< No connection; no byte of the request was written.
  Broken,    ///< The connection broke after the request may have arrived.
  Malformed, ///< The response was not valid HTTP or ended early.
  TimedOut,  ///< No complete response within the budget.
  Cancelled, ///< Closed by CancelRun.
};

/// A run on the backend server has ended.
struct BackendDone {
  RunId Run = 0;
  std::variant<HttpResponse, BackendError> Result;
};

/// The health probe of the backend server has ended.
struct ProbeDone {
  bool Healthy = false;
  Duration Elapsed{0};
  HeaderList Headers{}; ///< Of the response, if there was one.
};

/// A read of the log has ended.
struct LogRead {
  std::vector<LogRecord> Batch; ///< In order; may be empty.
  Offset Earliest = 0;          ///< Lowest offset that the log retains.
  Offset Next = 0;              ///< Offset of the next append.
};

/// A read of the log has failed or timed out.
struct LogReadFailed {};

/// An append has ended. Without an offset the outcome is not known.
struct AppendDone {
  AppendId Append = 0;
  Offset At = NoOffset;
};

/// The time returned by Node::nextWake() has been reached.
struct TimerFired {};

/// SIGTERM or SIGINT: stop gracefully.
struct StopRequested {};

using EventBody =
    std::variant<CallerRequest, CallerDisconnected, PeerReceived, PeerConnected,
                 PeerLost, BackendDone, ProbeDone, LogRead, LogReadFailed,
                 AppendDone, TimerFired, StopRequested>;

/// Event with the clock reading and random bits that the core must not obtain
/// itself, so that it stays deterministic.
struct Event {
  TimePoint Now;          ///< The daemon's own steady clock.
  std::uint64_t Seed = 0; ///< Random bits for this event.
  EventBody Body;
};

/// Answer a caller.
struct ReplyCaller {
  CallerId Caller = 0;
  HttpResponse Response;
};

/// Send a message to a peer; the shell opens a link if there is none.
struct SendPeer {
  HostId Host;
  PeerMessage Message;
};

/// Close the link to an unresponsive host; the next send opens a new one.
struct ResetPeer {
  HostId Host;
};

/// Close all links and drop all data on them that is not yet read or written.
struct ResetAllPeers {};

/// Send a request to the backend server.
struct RunBackend {
  RunId Run = 0;
  HttpRequest Request;
  Duration Budget{0};
};

/// Close the backend connection of a run.
struct CancelRun {
  RunId Run = 0;
};

/// Send a request to the health endpoint of the backend server.
struct ProbeBackend {};

/// Read the log from an offset; ends with LogRead or LogReadFailed.
struct ReadLog {
  Offset From = 0;
  Duration Wait{0}; ///< Longest time that the log delays its reply while there
                    ///< are no new records.
};

/// Append a record; ends with AppendDone.
struct AppendLog {
  AppendId Append = 0;
  std::string Data;
};

/// Kinds of entries in the timeline.
enum class TraceKind : std::uint8_t {
  CallArrived,
  CallAnswered,
  CallRefused,
  ClaimGranted,
  RunStarted,
  RunEnded,
  EpochChanged,
  ConfigurationApplied,
  MemberJoined,
  MemberLeft,
  MemberSuspected,
  LimitChanged,
  DrainStarted,
  DrainEnded,
  LogLost,
  LogRecovered,
};

/// Add an entry to the timeline. Never contains content of a request.
struct Trace {
  TraceKind Kind = TraceKind::CallArrived;
  std::string Subject; ///< Call id, member, node path or offset.
  std::string Detail;
};

/// Counters that the core increments. The shell measures latencies.
enum class Counter : std::uint8_t {
  Calls,
  CallsAnswered,
  CallsRefused,
  CallsUnknown,
  Retries,
  RetriesDenied,
  CrossDomain,
  CrossRegion,
  CrossRegionBytes,
  RunsStarted,
  RunsRefused,
  RunsFailed,
  Claims,
  ClaimsReplayed,
  Fences,
  Probes,
  Heartbeats,
  RecordsForwarded,
  Suspects,
  Quarantined,
  WrongRegion,
  StaleMessages,
  StoreHistories,
  ResponsesRejected,
  RecordsUnusable,
  KeysMissing,  ///< Requests refused without a key where one is required.
  KeysUnknown,  ///< Requests refused with a key of no workspace.
  RolloutSteps, ///< Steps of rollouts that this daemon has decided.
  RunsDisplaced,
  DependencyRefusals,
  DependencyTrials,
  AnswerPiecesDropped, ///< For lack of memory at the ingress.
};

/// Increment a counter.
struct Count {
  Counter Which = Counter::Calls;
  std::uint64_t By = 1;
};

/// Role that ends a call with an answer of its own.
enum class RefusedBy : std::uint8_t {
  Ingress, ///< The daemon that the client is connected to.
  Gate,    ///< The daemon beside the backend server.
};
inline constexpr std::size_t RefusedByCount =
    static_cast<std::size_t>(RefusedBy::Gate) + 1;

/// Count an answer that this daemon sends in place of a backend server.
struct CountRefusal {
  RefusedBy Source = RefusedBy::Ingress;
  ErrorKind Reason = ErrorKind::Internal;
};

/// Ways of topic records to and from a daemon.
enum class TopicFlow : std::uint8_t {
  FromStore,          ///< Received from the store.
  FromDaemon,         ///< Received from another daemon.
  RepeatedFromStore,  ///< Those of FromStore that changed nothing.
  RepeatedFromDaemon, ///< Those of FromDaemon that changed nothing.
  Sent,               ///< Sent to other daemons.
  Abandoned, ///< Answers of the store that broke off or were given up: their
             ///< number, and the bytes that had arrived.
};
inline constexpr std::size_t TopicFlowCount =
    static_cast<std::size_t>(TopicFlow::Abandoned) + 1;

/// Number of topic records and size of their values. A record without a value
/// is not counted.
struct RecordVolume {
  std::uint64_t Records = 0;
  std::uint64_t Bytes = 0;

  bool operator==(const RecordVolume &) const = default;
};

/// Count topic records.
struct CountTopicRecords {
  TopicFlow Which = TopicFlow::FromStore;
  RecordVolume Volume;
};

/// Kinds of calls to the store.
enum class StoreCall : std::uint8_t {
  Snapshot, ///< Read of the newest record of each key.
  Read,     ///< Read of the records from an offset on.
  Append,   ///< Append of this host's announcement.
  Remove,   ///< Removal of an expired host.
};
inline constexpr std::size_t StoreCallCount =
    static_cast<std::size_t>(StoreCall::Remove) + 1;

/// End the process. Sent when all work is done.
struct ExitProcess {};

using Effect = std::variant<ReplyCaller, SendPeer, ResetPeer, ResetAllPeers,
                            RunBackend, CancelRun, ProbeBackend, ReadLog,
                            AppendLog, Trace, Count, ExitProcess>;

/// Effects in the order in which they are to be carried out.
using EffectList = std::vector<Effect>;

/// Returns the name of a trace kind, for the timeline.
std::string_view traceKindName(TraceKind Kind);

/// Returns the name of a counter, for the operator interface.
std::string_view counterName(Counter Which);

inline constexpr std::size_t CounterCount =
    static_cast<std::size_t>(Counter::AnswerPiecesDropped) + 1;

} // namespace figsail

#endif // FIGSAIL_EVENTS_H
