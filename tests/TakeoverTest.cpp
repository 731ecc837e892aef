// TakeoverTest.cpp - Tests of the change of a key's coordinator when the member
// list changes.

#include "RecordsFixture.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::fixture;

namespace {

const Member Self = member("h0", "d0");
const Member Previous = member("h1", "d0");
const Member FirstExecutor = member("h2", "d1");
const Member SecondExecutor = member("h3", "d1");
const PeerRef Ingress{"i0", 900};

/// Fixture in which Previous, the coordinator of the key, is removed in epoch
/// 20 and Self takes over.
class TakeoverTest : public testing::Test {
protected:
  void apply(EpochEntry Entry) {
    Entry.AppliedAt = Now;
    History.append(std::move(Entry));
    KeyCoordinator->epochChanged(Now, Service, History, Log, Out);
  }
  /// Chooses a key that Previous coordinates, and Self after the removal of
  /// Previous. Then applies both epochs.
  void removePrevious(bool Truncated = false) {
    EpochEntry Before =
        epoch(10, {Self, Previous, FirstExecutor, SecondExecutor});
    Before.Truncated = Truncated;
    EpochEntry After = epoch(20, {Self, FirstExecutor, SecondExecutor});
    for (int I = 0;; ++I) {
      Key = keyCoordinatedBy(Before, Previous.Host, I);
      if (coordinatorOf(After, Route, Key)->Host == Self.Host)
        break;
    }
    apply(Before);
    apply(After);
  }
  /// Chooses a key that Previous, Interim and Self coordinate one after
  /// another.
  void chooseKey(const EpochEntry &First, const EpochEntry &Second,
                 const Member &Interim, const EpochEntry &Third) {
    for (int I = 0;; ++I) {
      Key = keyCoordinatedBy(First, Previous.Host, I);
      if (coordinatorOf(Second, Route, Key)->Host == Interim.Host &&
          coordinatorOf(Third, Route, Key)->Host == Self.Host)
        return;
    }
  }
  void ack(const Member &From, Offset Epoch, bool Complete = false,
           std::vector<RecordCopy> Copies = {}) {
    FenceAck Part;
    Part.Service = Service;
    Part.Epoch = Epoch;
    Part.Records = std::move(Copies);
    Part.AckNumber = ++Answers;
    Part.Complete = Complete;
    KeyCoordinator->fenceAck(Now, ref(From), Part, &History);
  }
  RecordCopy copy(Offset Epoch, const Member &Granter, const Member &Executor,
                  RecordState State, std::uint32_t Attempt = 1) {
    return {token(Key, Epoch, ref(Granter), ref(Executor), Attempt),
            Route,
            7,
            State,
            {200, {}, "attempt " + std::to_string(Attempt)},
            Duration(Lifetime).count()};
  }
  PeerMessage claim(const std::optional<GrantToken> &Released = std::nullopt) {
    Claim Message;
    Message.Call = {900, ++Calls};
    Message.Key = Key;
    Message.Fingerprint = 7;
    Message.Policy = policy();
    Message.Epoch = History.current().At;
    Message.Executor = ref(FirstExecutor);
    Message.Released = Released;
    EffectList Effects;
    KeyCoordinator->claim(Now, Ingress, Message, &History, Effects);
    for (const Effect &Next : Effects)
      if (const auto *Sending = std::get_if<SendPeer>(&Next))
        return Sending->Message;
    return Received{};
  }
  bool isGranted() { return std::holds_alternative<Granted>(claim()); }
  bool isUnknown(const PeerMessage &Reply) {
    const auto *Refusal = std::get_if<ClaimRefused>(&Reply);
    return Refusal && Refusal->Kind == ErrorKind::OutcomeUnknown;
  }
  std::size_t fencesTo(const Member &Receiver) {
    std::size_t Found = 0;
    for (const auto &[Host, Message] : sent<Fence>(Out))
      Found += Host == Receiver.Host;
    return Found;
  }

  TimePoint Now = Start;
  EpochHistory History;
  ExecutionLog Log{ref(Self), {}};
  std::optional<Coordinator> KeyCoordinator{std::in_place, ref(Self),
                                            RecordLimits{}};
  EffectList Out;
  RequestKey Key;
  std::uint64_t Calls = 0;
  std::uint64_t Answers = 0;
};

} // namespace

TEST_F(TakeoverTest, NothingIsGrantedBeforeTheAcknowledgements) {
  removePrevious();
  EXPECT_TRUE(isUnknown(claim()));
  ack(FirstExecutor, 20);
  EXPECT_TRUE(isUnknown(claim()))
      << "SecondExecutor may run a request of Previous";
  ack(SecondExecutor, 20);
  EXPECT_TRUE(isGranted()) << "every executor of Previous has acknowledged";
}

TEST_F(TakeoverTest, PreviousCoordinatorCoversItsOwnEpoch) {
  removePrevious();
  ack(Previous, 20);
  EXPECT_TRUE(isGranted());
}

TEST_F(TakeoverTest, OtherIncarnationDoesNotAcknowledgeForThePreviousOne) {
  removePrevious();
  ack(member("h1", "d0", 999), 20);
  ack(FirstExecutor, 20);
  ack(member("h3", "d1", 999), 20);
  EXPECT_TRUE(isUnknown(claim()));
}

TEST_F(TakeoverTest, AcknowledgementOfTheOldEpochDoesNotCount) {
  removePrevious();
  ack(Previous, 10, true);
  EXPECT_TRUE(isUnknown(claim()));
}

TEST_F(TakeoverTest, RecordsOfThePreviousCoordinatorAreUsed) {
  removePrevious();
  ack(Previous, 20, false,
      {copy(10, Previous, SecondExecutor, RecordState::Done)});
  PeerMessage Reply = claim();
  ASSERT_TRUE(std::holds_alternative<ClaimDone>(Reply));
  EXPECT_EQ(std::get<ClaimDone>(Reply).Response.Body, "attempt 1");
}

TEST_F(TakeoverTest, OwnExecutionsAreUsed) {
  Member Home = member("h0", "d1");
  EpochEntry Before = epoch(10, {Home, member("h1", "d0")});
  EpochEntry After = epoch(20, {Home});
  Key = keyCoordinatedBy(Before, "h1");
  GrantToken Grant = token(Key, 10, ref(member("h1", "d0")), ref(Home));
  apply(Before);
  Log.accept(Now, Ingress, execute({900, 99}, Grant), &History);
  apply(After);
  PeerMessage Reply = claim();
  ASSERT_TRUE(std::holds_alternative<ClaimHeld>(Reply));
  EXPECT_EQ(std::get<ClaimHeld>(Reply).Token, Grant);
}

// An acknowledgement holds only the records of keys that its receiver
// coordinates in the acknowledged epoch.
TEST_F(TakeoverTest, AcknowledgementForOtherKeysDoesNotCount) {
  Member Interim = member("h4", "d0");
  EpochEntry First = epoch(10, {Self, Previous, FirstExecutor, SecondExecutor});
  EpochEntry Second = epoch(20, {Self, Interim, FirstExecutor, SecondExecutor});
  EpochEntry Third = epoch(30, {Self, FirstExecutor, SecondExecutor});
  chooseKey(First, Second, Interim, Third);
  apply(First);
  apply(Second);
  ack(Previous, 20, true); // Without the key, which Interim coordinates in 20.
  apply(Third);
  ack(Interim, 30);
  EXPECT_TRUE(isUnknown(claim()));
  ack(FirstExecutor, 30);
  EXPECT_TRUE(isUnknown(claim()));
  ack(SecondExecutor, 30);
  EXPECT_TRUE(isGranted());
}

TEST_F(TakeoverTest, CompleteAcknowledgementCoversEarlierEpochs) {
  Member Interim = member("h4", "d0");
  EpochEntry First = epoch(10, {Self, Previous, FirstExecutor, SecondExecutor});
  EpochEntry Second = epoch(20, {Self, Interim, FirstExecutor, SecondExecutor});
  EpochEntry Third = epoch(30, {Self, FirstExecutor, SecondExecutor});
  chooseKey(First, Second, Interim, Third);
  apply(First);
  apply(Second);
  apply(Third);
  ack(Interim, 30);
  EXPECT_TRUE(isUnknown(claim()));
  ack(Interim, 30, true);
  EXPECT_TRUE(isGranted());
}

TEST_F(TakeoverTest, SnapshotNeedsACompleteAcknowledgementOrTheLifetime) {
  removePrevious(true);
  ack(Previous, 20);
  EXPECT_TRUE(isUnknown(claim()));
  Now += Lifetime;
  EXPECT_TRUE(isUnknown(claim()));
  Now += Duration(1);
  EXPECT_TRUE(isGranted());
}

TEST_F(TakeoverTest, CompleteAcknowledgementCoversASnapshot) {
  removePrevious(true);
  ack(Previous, 20, true);
  EXPECT_TRUE(isGranted());
}

TEST_F(TakeoverTest, ReleasedRecordNeedsCoverageForTheNextAttempt) {
  removePrevious();
  RecordCopy Known = copy(10, Previous, FirstExecutor, RecordState::Granted);
  ack(FirstExecutor, 20, false, {Known});
  EXPECT_TRUE(std::holds_alternative<ClaimHeld>(claim()));
  EXPECT_TRUE(isUnknown(claim(Known.Token)))
      << "Previous may have granted attempt 2 to SecondExecutor";
  ack(SecondExecutor, 20, false,
      {copy(10, Previous, SecondExecutor, RecordState::Done, 2)});
  PeerMessage Reply = claim();
  ASSERT_TRUE(std::holds_alternative<ClaimDone>(Reply));
  EXPECT_EQ(std::get<ClaimDone>(Reply).Response.Body, "attempt 2");
}

TEST_F(TakeoverTest, MergePrefersLaterGrantsAndFinishedStates) {
  struct Case {
    RecordState First, Second;
    std::uint32_t FirstAttempt, SecondAttempt;
    std::string Body; ///< Of the kept answer; empty: none.
  };
  using enum RecordState;
  for (const Case &Next :
       {Case{Granted, Done, 1, 1, "attempt 1"},
        Case{Done, Granted, 1, 1, "attempt 1"},
        Case{Done, Unknown, 1, 1, "attempt 1"},
        Case{Released, Done, 1, 2, "attempt 2"},
        Case{Done, Released, 2, 1, "attempt 2"},
        Case{Unknown, Released, 1, 2, ""}, Case{Unknown, Granted, 1, 1, ""}}) {
    TakeoverTest::SetUp();
    KeyCoordinator.emplace(ref(Self), RecordLimits{});
    History = {};
    removePrevious();
    ack(Previous, 20, false,
        {copy(10, Previous, SecondExecutor, Next.First, Next.FirstAttempt)});
    ack(SecondExecutor, 20, false,
        {copy(10, Previous, SecondExecutor, Next.Second, Next.SecondAttempt)});
    PeerMessage Reply = claim();
    const auto *Done = std::get_if<ClaimDone>(&Reply);
    EXPECT_EQ(Done ? Done->Response.Body : "", Next.Body);
    EXPECT_EQ(isUnknown(Reply), Next.Body.empty());
  }
}

TEST_F(TakeoverTest, LostPartInvalidatesTheAcknowledgement) {
  removePrevious();
  FenceAck Part;
  Part.Service = Service;
  Part.Epoch = 20;
  Part.AckNumber = 1;
  Part.Part = 1; // Part 0 was lost.
  KeyCoordinator->fenceAck(Now, ref(Previous), Part, &History);
  EXPECT_TRUE(isUnknown(claim()));
  Part.AckNumber = 2;
  Part.Part = 0;
  Part.Last = false;
  KeyCoordinator->fenceAck(Now, ref(Previous), Part, &History);
  EXPECT_TRUE(isUnknown(claim()))
      << "parts of two acknowledgements do not count together";
  Part.Part = 1;
  Part.Last = true;
  KeyCoordinator->fenceAck(Now, ref(Previous), Part, &History);
  EXPECT_TRUE(isGranted());
}

TEST_F(TakeoverTest, RecordsThatDoNotFitInvalidateTheAcknowledgement) {
  RecordLimits Small;
  Small.MaxRecords = 4; // Records that are taken over may use one more.
  KeyCoordinator.emplace(ref(Self), Small);
  removePrevious();
  std::vector<RecordCopy> Copies;
  for (std::uint64_t I = 0; I < 6; ++I) {
    Copies.push_back(copy(10, Previous, SecondExecutor, RecordState::Granted));
    Copies.back().Token.Key = {I, I};
  }
  ack(Previous, 20, false, Copies);
  EXPECT_EQ(KeyCoordinator->size(), 5U);
  EXPECT_TRUE(isUnknown(claim()));
}

TEST_F(TakeoverTest, FenceIsResentUntilAcknowledged) {
  removePrevious();
  Out.clear();
  ack(FirstExecutor, 20);
  Now += std::chrono::milliseconds(499);
  KeyCoordinator->timer(Now, Out);
  EXPECT_TRUE(sent<Fence>(Out).empty());
  Now += std::chrono::milliseconds(1);
  EXPECT_LE(KeyCoordinator->nextWake(), Now);
  KeyCoordinator->timer(Now, Out);
  EXPECT_EQ(fencesTo(FirstExecutor), 0U);
  EXPECT_EQ(fencesTo(SecondExecutor), 1U);
  EXPECT_EQ(fencesTo(Previous), 1U)
      << "it may be draining and still hand over its records";
}

TEST_F(TakeoverTest, ReplacedIncarnationIsNotFenced) {
  apply(epoch(10, {Self, Previous}));
  Out.clear();
  apply(epoch(20, {Self, member("h1", "d0", 999)}));
  EXPECT_EQ(fencesTo(Previous), 1U) << "the new incarnation only";
}

TEST_F(TakeoverTest, FenceOfALaterEpochIsAnsweredOnceItIsApplied) {
  apply(epoch(10, {Self, FirstExecutor}));
  Out.clear();
  KeyCoordinator->fence(Now, ref(FirstExecutor), {Service, 20}, &History, Log,
                        Out);
  EXPECT_TRUE(sent<FenceAck>(Out).empty());
  GrantToken Old = token(Key, 10, ref(FirstExecutor), ref(Self));
  auto Verdict = Log.accept(Now, Ingress, execute({900, 1}, Old), &History);
  EXPECT_TRUE(std::holds_alternative<KnownReply>(Verdict))
      << "the executor is fenced at once";
  apply(epoch(20, {Self, FirstExecutor, SecondExecutor}));
  auto Acks = sent<FenceAck>(Out);
  ASSERT_EQ(Acks.size(), 1U);
  EXPECT_EQ(Acks[0].first, FirstExecutor.Host);
  EXPECT_EQ(Acks[0].second.Epoch, 20);
}

TEST_F(TakeoverTest, AcknowledgementIsCompleteOnlyWithOwnCoverage) {
  Member Joined = member("h5", "d0");
  apply(epoch(10, {Self, Previous, FirstExecutor}));
  apply(epoch(20, {Self, Previous, FirstExecutor, SecondExecutor}));
  apply(epoch(30, {Self, Previous, FirstExecutor, SecondExecutor, Joined}));
  auto Complete = [&] {
    Out.clear();
    KeyCoordinator->fence(Now, ref(Joined), {Service, 30}, &History, Log, Out);
    return sent<FenceAck>(Out).at(0).second.Complete;
  };
  EXPECT_FALSE(Complete())
      << "FirstExecutor may have granted to Previous in epoch 10";
  ack(FirstExecutor, 30);
  EXPECT_FALSE(Complete()) << "in epoch 30 Self has fewer keys than in 20";
  ack(FirstExecutor, 20);
  EXPECT_TRUE(Complete());
}

TEST_F(TakeoverTest, LeavingMemberHandsOverEveryRecord) {
  apply(epoch(10, {Self, FirstExecutor, SecondExecutor}));
  Key = keyCoordinatedBy(History.current(), Self.Host);
  claim();
  EXPECT_FALSE(KeyCoordinator->handedOver(Service, History)) << "still listed";
  apply(epoch(20, {FirstExecutor, SecondExecutor}));
  Out.clear();
  KeyCoordinator->fence(Now, ref(FirstExecutor), {Service, 20}, &History, Log,
                        Out);
  EXPECT_FALSE(KeyCoordinator->handedOver(Service, History));
  KeyCoordinator->fence(Now, ref(SecondExecutor), {Service, 20}, &History, Log,
                        Out);
  EXPECT_TRUE(KeyCoordinator->handedOver(Service, History));
  std::size_t Copies = 0;
  for (const auto &[Host, Message] : sent<FenceAck>(Out))
    Copies += Message.Records.size();
  EXPECT_EQ(Copies, 1U) << "at the key's new coordinator only";
}

TEST_F(TakeoverTest, LongAcknowledgementIsSplit) {
  apply(epoch(10, {Self, FirstExecutor}));
  for (std::uint64_t I = 0; I < 2000; ++I) {
    Key = requestKey(Route, std::to_string(I));
    if (coordinatorOf(History.current(), Route, Key)->Host == Self.Host)
      claim();
  }
  apply(epoch(20, {FirstExecutor, SecondExecutor}));
  Out.clear();
  KeyCoordinator->fence(Now, ref(FirstExecutor), {Service, 20}, &History, Log,
                        Out);
  auto Parts = sent<FenceAck>(Out);
  ASSERT_GT(Parts.size(), 1U);
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    EXPECT_EQ(Parts[I].second.Part, I);
    EXPECT_EQ(Parts[I].second.Last, I + 1 == Parts.size());
    EXPECT_EQ(Parts[I].second.AckNumber, Parts[0].second.AckNumber);
  }
}
