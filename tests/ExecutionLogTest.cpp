// ExecutionLogTest.cpp - Tests of at-most-once execution at the executor.

#include "RecordsFixture.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::fixture;

namespace {

const Member Granter = member("h0", "d0");
const Member Self = member("h1", "d1");
const PeerRef Ingress{"i0", 900};
const RequestKey Key{1, 2};
const CallId FirstCall{900, 1};
const CallId OtherCall{901, 1};

class ExecutionLogTest : public testing::Test {
protected:
  ExecutionLog Log{ref(Self), {}};
  EffectList Out;
  GrantToken First = token(Key, 10, ref(Granter), ref(Self));

  AcceptResult accept(const CallId &Call, const GrantToken &Grant) {
    return Log.accept(Start, Ingress, execute(Call, Grant), nullptr);
  }
  ErrorKind refusal(const AcceptResult &Verdict) {
    const auto *Known = std::get_if<KnownReply>(&Verdict);
    const auto *Reply = Known ? std::get_if<Refused>(&Known->Reply) : nullptr;
    return Reply ? Reply->Kind : ErrorKind::Internal;
  }
  void run(const std::string &Body) {
    ASSERT_TRUE(std::holds_alternative<MayRun>(accept(FirstCall, First)));
    ASSERT_TRUE(Log.start(Start, FirstCall));
    Log.finish(Start, FirstCall, HttpResponse{200, {}, Body}, {}, Out);
  }
};

} // namespace

TEST_F(ExecutionLogTest, SecondCopyOfAMessageDoesNotRunAgain) {
  ASSERT_TRUE(std::holds_alternative<MayRun>(accept(FirstCall, First)));
  EXPECT_TRUE(
      std::holds_alternative<AlreadyInFlight>(accept(FirstCall, First)));
  ASSERT_TRUE(Log.start(Start, FirstCall));
  EXPECT_FALSE(Log.start(Start, FirstCall));
  Log.finish(Start, FirstCall, HttpResponse{200, {}, "a"}, {}, Out);
  auto Answers = sent<Answer>(Out);
  ASSERT_EQ(Answers.size(), 1U);
  auto Again = accept(FirstCall, First);
  ASSERT_TRUE(std::holds_alternative<KnownReply>(Again));
  EXPECT_EQ(std::get<Answer>(std::get<KnownReply>(Again).Reply).Response.Body,
            "a");
}

TEST_F(ExecutionLogTest, KeyThatRanDoesNotRunUnderALaterGrant) {
  run("a");
  auto Verdict = accept(OtherCall, token(Key, 20, ref(Granter), ref(Self), 2));
  ASSERT_TRUE(std::holds_alternative<KnownReply>(Verdict));
  EXPECT_TRUE(
      std::holds_alternative<Answer>(std::get<KnownReply>(Verdict).Reply));
}

TEST_F(ExecutionLogTest, CompletionReachesTheCoordinator) {
  run("a");
  auto Reports = sent<Completed>(Out);
  ASSERT_EQ(Reports.size(), 1U);
  EXPECT_EQ(Reports[0].first, Granter.Host);
  EXPECT_EQ(Reports[0].second.State, RecordState::Done);
  EXPECT_EQ(Reports[0].second.Token, First);
}

TEST_F(ExecutionLogTest, FenceRefusesLowerEpochsOnly) {
  Log.fence(Service, 10);
  Log.fence(Service, 5); // A late fence does not lower the bound.
  EXPECT_EQ(refusal(accept(FirstCall, token(Key, 9, ref(Granter), ref(Self)))),
            ErrorKind::StaleEpoch);
  EXPECT_TRUE(std::holds_alternative<MayRun>(accept(OtherCall, First)));
}

TEST_F(ExecutionLogTest, FenceOvertakesAQueuedRequest) {
  ASSERT_TRUE(std::holds_alternative<MayRun>(accept(FirstCall, First)));
  Log.fence(Service, 11);
  EXPECT_FALSE(Log.start(Start, FirstCall));
  Log.refuse(Start, FirstCall, ErrorKind::StaleEpoch, {}, Out);
  EXPECT_EQ(sent<Refused>(Out).size(), 1U);
  EXPECT_EQ(refusal(accept(FirstCall, First)), ErrorKind::StaleEpoch);
}

TEST_F(ExecutionLogTest, OtherIncarnationIsRefused) {
  PeerRef Predecessor{Self.Host, Self.Inc - 1};
  EXPECT_EQ(
      refusal(accept(FirstCall, token(Key, 10, ref(Granter), Predecessor))),
      ErrorKind::WrongIncarnation);
  Execute Unkeyed = execute(OtherCall, First);
  Unkeyed.Grant.reset();
  Unkeyed.Target = Predecessor.Inc;
  EXPECT_EQ(refusal(Log.accept(Start, Ingress, Unkeyed, nullptr)),
            ErrorKind::WrongIncarnation);
}

TEST_F(ExecutionLogTest, ExecutorInTheCoordinatorsDomainIsRefused) {
  EpochHistory History;
  History.append(
      epoch(10, {member("h0", "d0"), member("h1", "d0"), member("h2", "d1")}));
  EXPECT_EQ(
      refusal(Log.accept(Start, Ingress, execute(FirstCall, First), &History)),
      ErrorKind::StaleEpoch);
}

TEST_F(ExecutionLogTest, UnknownGrantIsMadeFinal) {
  Log.await(Start, Ingress, {OtherCall, First}, {}, Out);
  auto Replies = sent<Refused>(Out);
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_EQ(Replies[0].second.Kind, ErrorKind::NeverStarted);
  EXPECT_EQ(refusal(accept(FirstCall, First)), ErrorKind::NeverStarted);
  EXPECT_TRUE(std::holds_alternative<MayRun>(
      accept(FirstCall, token(Key, 10, ref(Granter), ref(Self), 2))))
      << "the next attempt is not covered by the mark";
  EXPECT_TRUE(std::holds_alternative<AlreadyInFlight>(accept(OtherCall, First)))
      << "a late lower attempt gets the result of the queued one";
}

TEST_F(ExecutionLogTest, UnknownCallIsMadeFinal) {
  Execute Unkeyed = execute(FirstCall, First);
  Unkeyed.Grant.reset();
  Log.await(Start, Ingress, {FirstCall, std::nullopt}, {}, Out);
  EXPECT_EQ(sent<Refused>(Out).size(), 1U);
  EXPECT_EQ(refusal(Log.accept(Start, Ingress, Unkeyed, nullptr)),
            ErrorKind::NeverStarted);
}

TEST_F(ExecutionLogTest, OtherIncarnationDoesNotReplyNeverStarted) {
  PeerRef Predecessor{Self.Host, Self.Inc - 1};
  Log.await(Start, Ingress,
            {FirstCall, token(Key, 10, ref(Granter), Predecessor)}, {}, Out);
  Log.await(Start, Ingress, {FirstCall, std::nullopt, Predecessor.Inc}, {},
            Out);
  EXPECT_EQ(sent<Failed>(Out).size(), 2U);
  EXPECT_TRUE(sent<Refused>(Out).empty());
}

TEST_F(ExecutionLogTest, EveryWaiterGetsTheResult) {
  ASSERT_TRUE(std::holds_alternative<MayRun>(accept(FirstCall, First)));
  Log.await(Start, {"i1", 901}, {OtherCall, First}, {}, Out);
  Log.await(Start, {"i1", 901}, {OtherCall, First}, {}, Out);
  EXPECT_EQ(sent<Received>(Out).size(), 2U);
  ASSERT_TRUE(Log.start(Start, FirstCall));
  Log.finish(Start, FirstCall, ErrorKind::BackendFailed, {}, Out);
  auto Results = sent<Failed>(Out);
  ASSERT_EQ(Results.size(), 2U);
  EXPECT_EQ(Results[0].second.Call, FirstCall);
  EXPECT_EQ(Results[1].second.Call, OtherCall);
}

TEST_F(ExecutionLogTest, RunThatWroteNothingMayBeRefused) {
  ASSERT_TRUE(std::holds_alternative<MayRun>(accept(FirstCall, First)));
  ASSERT_TRUE(Log.start(Start, FirstCall));
  Log.refuse(Start, FirstCall, ErrorKind::Overloaded, {}, Out);
  EXPECT_EQ(sent<Refused>(Out).size(), 1U);
  EXPECT_EQ(refusal(accept(FirstCall, First)), ErrorKind::Overloaded);
}

TEST_F(ExecutionLogTest, LargeAnswerIsSentOnceAndNotKept) {
  run(std::string(100000, 'x'));
  EXPECT_EQ(sent<Answer>(Out).size(), 1U);
  EXPECT_EQ(sent<Completed>(Out)[0].second.State, RecordState::NotKept);
  Out.clear();
  Log.await(Start, Ingress, {OtherCall, First}, {}, Out);
  ASSERT_EQ(sent<Failed>(Out).size(), 1U);
  EXPECT_EQ(sent<Failed>(Out)[0].second.Kind, ErrorKind::AnswerNotKept);
}

TEST_F(ExecutionLogTest, RecordLastsItsLifetimeAfterTheRun) {
  ASSERT_TRUE(std::holds_alternative<MayRun>(accept(FirstCall, First)));
  ASSERT_TRUE(Log.start(Start, FirstCall));
  Log.expire(Start + 3 * Lifetime);
  EXPECT_EQ(Log.size(), 1U) << "a running request does not expire";
  Log.finish(Start + 4 * Lifetime, FirstCall, HttpResponse{}, {}, Out);
  Log.expire(Start + 5 * Lifetime - Duration(1));
  EXPECT_EQ(Log.size(), 1U);
  Log.expire(Start + 6 * Lifetime);
  EXPECT_EQ(Log.size(), 0U);
}

// A paused executor must not start a request whose grant has expired at its
// coordinator.
TEST_F(ExecutionLogTest, RequestThatWaitedForTheLifetimeDoesNotStart) {
  ASSERT_TRUE(std::holds_alternative<MayRun>(accept(FirstCall, First)));
  Log.expire(Start + 3 * Lifetime);
  EXPECT_EQ(Log.size(), 1U) << "a waiting request does not expire";
  EXPECT_FALSE(Log.start(Start + Lifetime, FirstCall));
  Log.refuse(Start + Lifetime, FirstCall, ErrorKind::DeadlineNotRun, {}, Out);
  EXPECT_EQ(sent<Refused>(Out).size(), 1U);
}

TEST_F(ExecutionLogTest, FullMemoryRefusesOnlyWithAFinalMark) {
  RecordLimits Small;
  Small.MaxRecords = 4; // Marks may use one more.
  ExecutionLog Full(ref(Self), Small);
  auto Accept = [&](std::uint64_t Number) {
    return Full.accept(
        Start, Ingress,
        execute({900, Number}, token({0, Number}, 10, ref(Granter), ref(Self))),
        nullptr);
  };
  for (std::uint64_t I = 1; I <= 4; ++I)
    ASSERT_TRUE(std::holds_alternative<MayRun>(Accept(I)));
  EXPECT_EQ(refusal(Accept(5)), ErrorKind::RecordCapacity);
  auto Unmarked = Accept(6);
  EXPECT_TRUE(
      std::holds_alternative<Failed>(std::get<KnownReply>(Unmarked).Reply))
      << "without a mark, the attempt could still run later";
}

// Without the notification, the outcome of a run that ends after a takeover is
// known to its executor only.
TEST_F(ExecutionLogTest, NewCoordinatorIsNotifiedOfTheOutcome) {
  ASSERT_TRUE(std::holds_alternative<MayRun>(accept(FirstCall, First)));
  ASSERT_TRUE(Log.start(Start, FirstCall));
  EpochEntry Entry = epoch(20, {Self, member("h2", "d0")});
  HostId NewCoordinator = coordinatorOf(Entry, Route, Key)->Host;
  PeerRef Receiver{NewCoordinator, 102};
  Log.recordsFor(Start, Entry, Service, Receiver);
  Log.recordsFor(Start, Entry, Service, Receiver);
  Log.finish(Start, FirstCall, HttpResponse{}, {}, Out);
  auto Reports = sent<Completed>(Out);
  ASSERT_EQ(Reports.size(), 2U);
  EXPECT_EQ(Reports[0].first, NewCoordinator);
  EXPECT_EQ(Reports[1].first, Granter.Host);
}

TEST_F(ExecutionLogTest, RecordsGoToTheNewCoordinatorOnly) {
  EpochEntry Entry = epoch(20, {Self, member("h2", "d0"), member("h3", "d0")});
  GrantToken Grant =
      token(keyCoordinatedBy(Entry, "h2"), 10, ref(Granter), ref(Self));
  ASSERT_TRUE(std::holds_alternative<MayRun>(accept(FirstCall, Grant)));
  EXPECT_TRUE(Log.recordsFor(Start, Entry, Service, {"h3", 103}).empty());
  auto Copies = Log.recordsFor(Start, Entry, Service, {"h2", 102});
  ASSERT_EQ(Copies.size(), 1U);
  EXPECT_EQ(Copies[0].State, RecordState::Granted);
  EXPECT_EQ(Copies[0].Token, Grant);
}
