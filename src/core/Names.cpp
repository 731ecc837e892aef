// Names.cpp - Names of messages, trace kinds and counters.

#include "figsail/Events.h"

#include <array>

namespace figsail {

static constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>>
    MessageNames{
        "Execute",    "Received",      "Answer",         "Refused",
        "Failed",     "Cancel",        "Await",          "Claim",
        "Granted",    "ClaimHeld",     "ClaimDone",      "ClaimRefused",
        "Completed",  "Fence",         "FenceAck",       "Heartbeat",
        "Probe",      "ProbeReply",    "Subscribe",      "Records",
        "Snapshot",   "SuspectReport", "TopicSubscribe", "TopicUpdate",
        "TopicPiece", "RolloutReport", "RolloutVerdict", "QuotaReport",
        "QuotaReply", "AnswerPiece"};

bool isControl(const PeerMessage &Message) {
  return !std::holds_alternative<Execute>(Message) &&
         !std::holds_alternative<Answer>(Message) && !isBulk(Message);
}

bool isBulk(const PeerMessage &Message) {
  return std::holds_alternative<TopicUpdate>(Message) ||
         std::holds_alternative<TopicPiece>(Message) ||
         std::holds_alternative<AnswerPiece>(Message) ||
         std::holds_alternative<Records>(Message) ||
         std::holds_alternative<Snapshot>(Message);
}

std::string_view messageName(const PeerMessage &Message) {
  return MessageNames[Message.index()];
}

static constexpr std::array<
    std::string_view, static_cast<std::size_t>(TraceKind::LogRecovered) + 1>
    TraceKindNames{"call-arrived",  "call-answered",         "call-refused",
                   "claim-granted", "run-started",           "run-ended",
                   "epoch-changed", "configuration-applied", "member-joined",
                   "member-left",   "member-suspected",      "limit-changed",
                   "drain-started", "drain-ended",           "log-lost",
                   "log-back"};

std::string_view traceKindName(TraceKind Kind) {
  return TraceKindNames[static_cast<std::size_t>(Kind)];
}

static constexpr std::array<std::string_view, CounterCount> CounterNames{
    "calls",
    "calls_answered",
    "calls_refused",
    "calls_unknown",
    "retries",
    "retries_denied",
    "cross_domain",
    "cross_region",
    "cross_region_bytes",
    "runs_started",
    "runs_refused",
    "runs_failed",
    "claims",
    "claims_replayed",
    "fences",
    "probes",
    "heartbeats",
    "records_forwarded",
    "suspects",
    "quarantined",
    "wrong_region",
    "stale_messages",
    "store_histories",
    "responses_rejected",
    "records_unusable",
    "keys_missing",
    "keys_unknown",
    "rollout_steps",
    "runs_displaced",
    "dependency_refusals",
    "dependency_trials",
    "answer_pieces_dropped"};

std::string_view counterName(Counter Which) {
  return CounterNames[static_cast<std::size_t>(Which)];
}

} // namespace figsail
