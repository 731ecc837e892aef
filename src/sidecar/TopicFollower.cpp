// TopicFollower.cpp - Reads one topic of the store.

#include "TopicFollower.h"

#include <algorithm>

namespace figsail {

using namespace std::chrono_literals;

/// How long the store may hold a read when there is nothing new. Long, since
/// each call has a price; lost connections are found by keep-alive probes.
static constexpr Duration TailWait = 30s;
/// Pauses after failures. Entries must be back two seconds after the store is,
/// so the longest pause is well below.
static constexpr Duration FirstPause = 100ms;
static constexpr Duration LongestPause = 800ms;

Duration retryPause(unsigned Failures, std::uint64_t Seed) {
  Duration Pause = FirstPause * (1U << std::min(Failures, 3U));
  Pause = std::min(Pause, LongestPause);
  auto Spread = static_cast<Duration::rep>(
      Seed % static_cast<std::uint64_t>(Pause.count() / 2));
  return Pause / 2 + Duration(Spread);
}

static std::string_view topicName(Topic Which) {
  return Which == Topic::Operator ? "operator" : "members";
}

void TopicFollower::readOn(SidecarEffects &Out) {
  RetryAt = TimePoint::max();
  if (Listed)
    Out.emplace_back(ReadTopic{Which, Next, TailWait});
  else
    Out.emplace_back(ReadTopicSnapshot{Which});
}

void TopicFollower::regained(SidecarEffects &Out) {
  if (Failures == 0 && Complete)
    return;
  Decision Line{LogLevel::Info, "store-reached", {}};
  Line.Fields = {{"topic", std::string(topicName(Which))},
                 {"failures", std::to_string(Failures)}};
  Out.emplace_back(std::move(Line));
  Failures = 0;
}

void TopicFollower::snapshotRead(SidecarEffects &Out, Offset NextOffset) {
  regained(Out);
  Complete = true;
  Listed = true;
  Next = NextOffset;
  readOn(Out);
}

void TopicFollower::recordsRead(SidecarEffects &Out, Offset NextOffset) {
  regained(Out);
  Next = NextOffset;
  readOn(Out);
}

void TopicFollower::truncated(SidecarEffects &Out) {
  Decision Line{LogLevel::Warning, "store-truncated", {}};
  Line.Fields = {{"topic", std::string(topicName(Which))},
                 {"wanted", std::to_string(Next)}};
  Out.emplace_back(std::move(Line));
  Listed = false;
  readOn(Out);
}

void TopicFollower::failed(TimePoint Now, std::uint64_t Seed,
                           const std::string &Reason, SidecarEffects &Out) {
  if (Failures == 0) {
    Decision Line{LogLevel::Warning, "store-lost", {}};
    Line.Fields = {{"topic", std::string(topicName(Which))},
                   {"reason", Reason}};
    Out.emplace_back(std::move(Line));
  }
  RetryAt = Now + retryPause(Failures, Seed);
  ++Failures;
}

void TopicFollower::timer(TimePoint Now, SidecarEffects &Out) {
  if (Now >= RetryAt)
    readOn(Out);
}

} // namespace figsail
