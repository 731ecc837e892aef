// CoordinatorTest.cpp - Tests of a coordinator's grants, replayed answers and
// records.

#include "RecordsFixture.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::fixture;

namespace {

const Member Self = member("h0", "d0");
const Member SameDomain = member("h1", "d0");
const Member Executor = member("h2", "d1");
const Member OtherExecutor = member("h3", "d1");
const PeerRef Ingress{"i0", 900};

/// A coordinator in the first epoch of a service with two failure domains.
class CoordinatorTest : public testing::Test {
protected:
  CoordinatorTest() {
    applyEpoch(10, {Self, SameDomain, Executor, OtherExecutor});
  }

  void applyEpoch(Offset At, std::vector<Member> Members) {
    History.append(epoch(At, std::move(Members), Now));
    KeyCoordinator.epochChanged(Now, Service, History, Log, Out);
    Out.clear();
  }
  Claim makeClaim(const RequestKey &Key) {
    Claim Message;
    Message.Call = {900, ++Calls};
    Message.Key = Key;
    Message.Fingerprint = 7;
    Message.Policy = policy();
    Message.Epoch = History.current().At;
    Message.Executor = ref(Executor);
    return Message;
  }
  PeerMessage claim(const Claim &Message) {
    EffectList Effects;
    KeyCoordinator.claim(Now, Ingress, Message, &History, Effects);
    for (const Effect &Next : Effects)
      if (const auto *Sending = std::get_if<SendPeer>(&Next))
        return Sending->Message;
    return Received{};
  }
  ErrorKind refusal(const Claim &Message) {
    PeerMessage Reply = claim(Message);
    const auto *Refusal = std::get_if<ClaimRefused>(&Reply);
    return Refusal ? Refusal->Kind : ErrorKind::Internal;
  }
  GrantToken granted(const Claim &Message) {
    PeerMessage Reply = claim(Message);
    const auto *Grant = std::get_if<Granted>(&Reply);
    return Grant ? Grant->Token : GrantToken{};
  }
  GrantToken held(const Claim &Message) {
    PeerMessage Reply = claim(Message);
    const auto *Held = std::get_if<ClaimHeld>(&Reply);
    return Held ? Held->Token : GrantToken{};
  }
  void complete(const GrantToken &Grant, const std::string &Body) {
    KeyCoordinator.completed(
        Now, Grant.Executor,
        {Grant, RecordState::Done, HttpResponse{200, {}, Body}});
  }

  TimePoint Now = Start;
  EpochHistory History;
  ExecutionLog Log{ref(Self), {}};
  Coordinator KeyCoordinator{ref(Self), {}};
  EffectList Out;
  std::uint64_t Calls = 0;
  RequestKey Key = keyCoordinatedBy(
      epoch(10, {Self, SameDomain, Executor, OtherExecutor}), Self.Host);
};

} // namespace

TEST_F(CoordinatorTest, OtherEpochIsStaleInBothDirections) {
  for (Offset Epoch : {5, 15}) {
    Claim Message = makeClaim(Key);
    Message.Epoch = Epoch;
    PeerMessage Reply = claim(Message);
    ASSERT_TRUE(std::holds_alternative<ClaimRefused>(Reply));
    EXPECT_EQ(std::get<ClaimRefused>(Reply).Kind, ErrorKind::StaleEpoch);
    EXPECT_EQ(std::get<ClaimRefused>(Reply).Epoch, 10);
  }
}

TEST_F(CoordinatorTest, KeyOfAnotherCoordinatorIsRefused) {
  RequestKey OtherKey = keyCoordinatedBy(History.current(), Executor.Host);
  EXPECT_EQ(refusal(makeClaim(OtherKey)), ErrorKind::StaleEpoch);
}

TEST_F(CoordinatorTest, UnlistedIncarnationDoesNotGrant) {
  Coordinator Restarted({Self.Host, Self.Inc + 1}, {});
  ExecutionLog Empty({Self.Host, Self.Inc + 1}, {});
  Restarted.epochChanged(Now, Service, History, Empty, Out);
  EffectList Effects;
  Restarted.claim(Now, Ingress, makeClaim(Key), &History, Effects);
  auto Replies = sent<ClaimRefused>(Effects);
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_EQ(Replies[0].second.Kind, ErrorKind::CoordinatorUnavailable);
}

TEST_F(CoordinatorTest, KeyIsGrantedOnce) {
  GrantToken Grant = granted(makeClaim(Key));
  EXPECT_EQ(Grant, token(Key, 10, ref(Self), ref(Executor)));
  Claim Second = makeClaim(Key);
  Second.Executor = ref(OtherExecutor);
  EXPECT_EQ(held(Second), Grant);
}

TEST_F(CoordinatorTest, OtherContentUnderTheSameKeyIsRefused) {
  granted(makeClaim(Key));
  Claim Second = makeClaim(Key);
  Second.Fingerprint = 8;
  EXPECT_EQ(refusal(Second), ErrorKind::KeyReused);
}

TEST_F(CoordinatorTest, ResentRequestGetsTheFirstAnswer) {
  GrantToken Grant = granted(makeClaim(Key));
  KeyCoordinator.completed(Now, ref(OtherExecutor),
                           {Grant, RecordState::Done, {}});
  EXPECT_EQ(held(makeClaim(Key)), Grant) << "only the executor may report";
  complete(Grant, "first");
  complete(Grant, "second");
  PeerMessage Reply = claim(makeClaim(Key));
  ASSERT_TRUE(std::holds_alternative<ClaimDone>(Reply));
  EXPECT_EQ(std::get<ClaimDone>(Reply).Response.Body, "first");
}

TEST_F(CoordinatorTest, ReleasedGrantAllowsTheNextAttempt) {
  Claim Message = makeClaim(Key);
  GrantToken Grant = granted(Message);
  Message.Released = Grant;
  Message.Executor = ref(OtherExecutor);
  GrantToken Next = granted(Message);
  EXPECT_EQ(Next.Attempt, 2U);
  EXPECT_EQ(Next.Executor, ref(OtherExecutor));
  EXPECT_EQ(held(Message), Next)
      << "the token of a lower attempt has no effect";
  Message.Released = Next;
  Message.Released->Epoch = 5;
  EXPECT_EQ(held(Message), Next)
      << "nor has the same attempt number of another epoch";
  complete(Next, "a");
  Message.Released = Next;
  EXPECT_TRUE(std::holds_alternative<ClaimDone>(claim(Message)));
}

TEST_F(CoordinatorTest, UnsuitableExecutorIsRefused) {
  Claim Message = makeClaim(Key);
  Message.Executor = ref(SameDomain);
  EXPECT_EQ(refusal(Message), ErrorKind::StaleEpoch);
  Message.Executor = {Executor.Host, Executor.Inc + 1};
  EXPECT_EQ(refusal(Message), ErrorKind::WrongIncarnation);
  EXPECT_EQ(KeyCoordinator.size(), 0U);
}

TEST_F(CoordinatorTest, RestartedExecutorGivesUnknownOutcomeAtOnce) {
  granted(makeClaim(Key));
  applyEpoch(20, {Self, SameDomain, member("h2", "d1", 777), OtherExecutor});
  EXPECT_EQ(refusal(makeClaim(Key)), ErrorKind::OutcomeUnknown);
}

TEST_F(CoordinatorTest, RecordLastsItsLifetimeFromTheLastChange) {
  GrantToken Grant = granted(makeClaim(Key));
  Now += 2 * Lifetime - Duration(1);
  EXPECT_EQ(held(makeClaim(Key)), Grant) << "the run may not have ended";
  complete(Grant, "a");
  Now += Lifetime - Duration(1);
  EXPECT_TRUE(std::holds_alternative<ClaimDone>(claim(makeClaim(Key))));
  Now += Duration(1);
  EXPECT_EQ(granted(makeClaim(Key)).Attempt, 1U)
      << "an expired key is a new request by then";
}

TEST_F(CoordinatorTest, FullMemoryRefusesNewKeysAndKeepsOldOnes) {
  RecordLimits Small;
  Small.MaxRecords = 1;
  Coordinator Full(ref(Self), Small);
  Full.epochChanged(Now, Service, History, Log, Out);
  Out.clear();
  Full.claim(Now, Ingress, makeClaim(Key), &History, Out);
  RequestKey Second;
  for (int I = 0; Second == RequestKey{} || Second == Key; ++I)
    Second = keyCoordinatedBy(History.current(), Self.Host, I);
  Full.claim(Now, Ingress, makeClaim(Second), &History, Out);
  Full.claim(Now, Ingress, makeClaim(Key), &History, Out);
  EXPECT_EQ(sent<Granted>(Out).size(), 1U);
  EXPECT_EQ(sent<ClaimHeld>(Out).size(), 1U);
  ASSERT_EQ(sent<ClaimRefused>(Out).size(), 1U);
  EXPECT_EQ(sent<ClaimRefused>(Out)[0].second.Kind, ErrorKind::RecordCapacity);
}

TEST_F(CoordinatorTest, AnswerBeyondTheMemoryBoundIsNotKept) {
  GrantToken Grant = granted(makeClaim(Key));
  complete(Grant, std::string(70000, 'x'));
  EXPECT_EQ(refusal(makeClaim(Key)), ErrorKind::AnswerNotKept);

  RecordLimits Small;
  Small.MaxTotalBytes = 10;
  Coordinator Full(ref(Self), Small);
  Full.epochChanged(Now, Service, History, Log, Out);
  Full.claim(Now, Ingress, makeClaim(Key), &History, Out);
  Full.completed(Now, Grant.Executor,
                 {Grant, RecordState::Done, {200, {}, "more than ten"}});
  Out.clear();
  Full.claim(Now, Ingress, makeClaim(Key), &History, Out);
  ASSERT_EQ(sent<ClaimRefused>(Out).size(), 1U);
  EXPECT_EQ(sent<ClaimRefused>(Out)[0].second.Kind, ErrorKind::AnswerNotKept);
}

TEST_F(CoordinatorTest, SingleMemberGrantsToItself) {
  RequestKey OtherKey = keyCoordinatedBy(History.current(), Executor.Host);
  applyEpoch(20, {Self});
  Claim Message = makeClaim(OtherKey);
  Message.Executor = ref(Self);
  EXPECT_EQ(refusal(Message), ErrorKind::OutcomeUnknown)
      << "the other members have not acknowledged";
  Now += Lifetime + Duration(1);
  EXPECT_EQ(granted(Message).Executor, ref(Self));
}

TEST_F(CoordinatorTest, HomeRegionsOfTheRouteBoundBothRoles) {
  EpochEntry Entry = epoch(20, {member("h0", "d0"), member("h1", "d1"),
                                member("h2", "d2", 0, "away")});
  Entry.RouteRegions[Route] = {"r"};
  for (int I = 0; I < 50; ++I)
    EXPECT_NE(
        coordinatorOf(Entry, Route, requestKey(Route, std::to_string(I)))->Host,
        "h2");
  EXPECT_TRUE(mayExecute(Entry, Route, "h0", "h1"));
  EXPECT_FALSE(mayExecute(Entry, Route, "h0", "h2"));
}
