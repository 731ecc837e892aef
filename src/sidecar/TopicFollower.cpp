// TopicFollower.cpp - Continuous reader of one topic of the store.

#include "TopicFollower.h"

#include "DecisionText.h"

#include <algorithm>
#include <utility>

namespace figsail {

using namespace std::chrono_literals;

/// Long-poll timeouts: the time that the store may delay a read when there is
/// nothing new. The store may lose a delayed read, so the timeout for the
/// configuration is well below the time in which one must be in force.
static constexpr Duration OperatorPollTimeout = 1000ms;
static constexpr Duration MembersPollTimeout = 2s;
/// Time in which the store answers, also in another region, beyond the time
/// that it was asked to wait. After it the read is overdue: another daemon
/// should try, since this one may be cut off.
static constexpr Duration OverdueTime = 400ms;
/// Time for which the time of an answer says how fast the store is. A daemon
/// that no longer reads the store doesn't see it become faster.
static constexpr Duration AnswerTimeLifetime = 30s;
/// Pause after a read that returned announcements. They come in bursts, and
/// each read has a cost.
static constexpr Duration MembersReadPause = 500ms;
/// Pause after the first snapshot. The snapshot lists the hosts, so meanwhile
/// the reader of the failure domain can answer in place of the store.
static constexpr Duration SnapshotPause = 150ms;
/// Delay of the first read of the operator topic after that of the members
/// topic, for the same reason.
static constexpr Duration OperatorStartDelay = 100ms;
/// Bounds of the pause after failures. Entries must be back two seconds after
/// the store is, so the longest pause is well below that.
static constexpr Duration InitialBackoff = 100ms;
static constexpr Duration MaxBackoff = 800ms;

Duration retryBackoff(unsigned Failures, std::uint64_t Seed) {
  Duration Pause = InitialBackoff * (1U << std::min(Failures, 3U));
  Pause = std::min(Pause, MaxBackoff);
  auto Spread = static_cast<Duration::rep>(
      Seed % static_cast<std::uint64_t>(Pause.count() / 2));
  return Pause / 2 + Duration(Spread);
}

static std::string_view topicName(Topic Which) {
  return Which == Topic::Operator ? "operator" : "members";
}

void TopicFollower::read(TimePoint Now, Offset Next, SidecarEffects &Out) {
  Reading = true;
  StartedAt = Now;
  ReadAt = TimePoint::max();
  OverdueAt = Now + OverdueTime;
  Held = Duration(0);
  if (NeedsSnapshot) {
    Out.emplace_back(ReadTopicSnapshot{Which});
    return;
  }
  Duration Wait =
      Which == Topic::Operator ? OperatorPollTimeout : MembersPollTimeout;
  // The first read, also after a failure, does not wait, so that it shows at
  // once whether the store is reachable and what it has.
  bool First = !StoreReached || !ReadSinceActive;
  if (First)
    Wait = Duration(0);
  Held = Wait;
  OverdueAt += Wait;
  Out.emplace_back(ReadTopic{Which, Next, Wait});
}

/// Starts a hedged read. It is not held, so that it shows what the store has.
void TopicFollower::hedge(TimePoint Now, Offset Next, SidecarEffects &Out) {
  Hedging = true;
  HedgeAt = TimePoint::max();
  HedgedAt = Now;
  if (NeedsSnapshot)
    Out.emplace_back(ReadTopicSnapshot{Which, HedgeTimeout});
  else
    Out.emplace_back(ReadTopic{Which, Next, Duration(0), HedgeTimeout});
}

Duration TopicFollower::answerTime(TimePoint Now) const {
  return Now - AnsweredAt < AnswerTimeLifetime ? AnswerTime : Duration(0);
}

void TopicFollower::answered(TimePoint Now, bool Hedged, SidecarEffects &Out) {
  bool InFlight = Hedged ? Hedging : Reading;
  bool OtherInFlight = Hedged ? Reading : Hedging;
  if (Hedged) {
    StartedAt = HedgedAt;
    Held = Duration(0);
  }
  // The store may have answered a held read at any time before its end.
  Duration Elapsed = Now - StartedAt;
  AnsweredAt = Now;
  if (InFlight)
    AnswerTime =
        std::clamp(AnswerTime, std::max(Elapsed - Held, Duration(0)), Elapsed);
  Hedging = false;
  HedgeAt = TimePoint::max();
  HedgeTimeout = MinHedgeTimeout;
  Reading = true; // Until its result is reported: it may turn out to be stale.
  if (OtherInFlight)
    Out.emplace_back(AbandonReads{Which});
}

void TopicFollower::endRead() {
  Reading = false;
  Overdue = false;
  OverdueAt = TimePoint::max();
}

void TopicFollower::noteSuccess(TimePoint Now, Offset Next,
                                SidecarEffects &Out) {
  endRead();
  if (!StoreReached) {
    Decision Line{LogLevel::Info, "store-reached", {}};
    Line.Fields = {{"topic", std::string(topicName(Which))},
                   {"failures", std::to_string(Failures)},
                   {"answer_ms", millisText(Now - StartedAt)},
                   {"next", std::to_string(Next)}};
    Out.emplace_back(std::move(Line));
  }
  StoreReached = true;
  ReadIsStale = false;
  Failures = 0;
  NeedsSnapshot = false;
}

void TopicFollower::pageDone(TimePoint Now, Offset Next, SidecarEffects &Out) {
  noteSuccess(Now, Next, Out);
  NeedsSnapshot = Which == Topic::Operator;
  if (!Active)
    return;
  ReadAt = Now;
  timer(Now, Next, Out);
}

void TopicFollower::readDone(TimePoint Now, Offset Next, bool Records,
                             SidecarEffects &Out) {
  noteSuccess(Now, Next, Out);
  bool First = !std::exchange(Complete, true);
  ReadSinceActive = true;
  if (!Active)
    return;
  ReadAt = Now;
  if (First)
    ReadAt += SnapshotPause;
  else if (Records && Which == Topic::Members)
    ReadAt += MembersReadPause;
  timer(Now, Next, Out);
}

void TopicFollower::readTruncated(TimePoint Now, SidecarEffects &Out) {
  Decision Line{LogLevel::Warning, "store-truncated", {}};
  Line.Fields = {{"topic", std::string(topicName(Which))}};
  Out.emplace_back(std::move(Line));
  NeedsSnapshot = true;
  read(Now, 0, Out);
}

void TopicFollower::restart(TimePoint Now) {
  NeedsSnapshot = true;
  ReadIsStale = Reading || Hedging;
  if (Active && !Reading)
    ReadAt = Now;
}

bool TopicFollower::discardStaleRead(TimePoint Now, SidecarEffects &Out) {
  if (!std::exchange(ReadIsStale, false))
    return false;
  endRead();
  if (Active)
    ReadAt = Now;
  timer(Now, 0, Out);
  return true;
}

/// A store that gave no answer gets more time; one that refused the read
/// doesn't.
void TopicFollower::hedgeFailed(TimePoint Now) {
  Hedging = false;
  if (Now - HedgedAt >= HedgeTimeout)
    HedgeTimeout = std::min(2 * HedgeTimeout, MaxHedgeTimeout);
  // The next read was left to the hedged one.
  if (Active && !Reading && ReadAt == TimePoint::max())
    ReadAt = Now;
}

void TopicFollower::readFailed(TimePoint Now, std::uint64_t Seed,
                               const TopicReadFailed &Failure,
                               SidecarEffects &Out) {
  if (Failure.Hedged)
    return hedgeFailed(Now);
  bool NoAnswer = Reading && Now - StartedAt >= MinStoreTimeout;
  endRead();
  if (std::exchange(ReadIsStale, false) && std::exchange(Hedging, false))
    Out.emplace_back(AbandonReads{Which});
  if (Failures == 0 || Failure.Bytes > 0) {
    Decision Line{LogLevel::Warning,
                  Failures == 0 ? "store-lost" : "store-read-abandoned",
                  {}};
    Line.Fields = {{"topic", std::string(topicName(Which))},
                   {"reason", Failure.Reason},
                   {"after_ms", millisText(Now - StartedAt)},
                   {"bytes", std::to_string(Failure.Bytes)}};
    Out.emplace_back(std::move(Line));
  }
  StoreReached = false;
  if (Active)
    ReadAt = Now + retryBackoff(Failures, Seed);
  ++Failures;
  if (!Active || !(NoAnswer || Hedging))
    return;
  if (!Hedging)
    HedgeAt = Now;
  // Two copies of a large answer would fill the link that was too slow for one.
  if (Failure.Bytes > 0)
    ReadAt = TimePoint::max();
}

void TopicFollower::timer(TimePoint Now, Offset Next, SidecarEffects &Out) {
  if (ReadAt == TimePoint{})
    ReadAt = Which == Topic::Operator ? Now + OperatorStartDelay : Now;
  if (Now >= OverdueAt) {
    Overdue = true;
    OverdueAt = TimePoint::max();
  }
  if (Active && !Reading && Now >= ReadAt)
    read(Now, Next, Out);
  if (Now >= HedgeAt)
    hedge(Now, Next, Out);
}

void TopicFollower::setActive(TimePoint Now, bool Wanted) {
  if (Wanted == Active)
    return;
  Active = Wanted;
  HedgeAt = TimePoint::max();
  ReadSinceActive = false;
  if (!Active)
    ReadAt = TimePoint::max();
  else if (!Reading)
    ReadAt = Now;
}

} // namespace figsail
