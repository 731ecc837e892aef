// TakeoverTest.cpp - Guards the change of coordinator when the list changes.

#include "RecordsFixture.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::fixture;

namespace {

const Member Self = member("h0", "d0");
const Member Former = member("h1", "d0");
const Member Left = member("h2", "d1");
const Member Right = member("h3", "d1");
const PeerRef Front{"i0", 900};

/// The key's coordinator Former is removed in epoch 20; Self takes over.
class TakeoverTest : public testing::Test {
protected:
  void apply(EpochEntry Entry) {
    Entry.AppliedAt = Now;
    History.append(std::move(Entry));
    Keys->epochChanged(Now, Service, History, Log, Out);
  }
  /// Chooses a key whose coordinators follow the removal.
  void lose(bool Truncated = false) {
    EpochEntry Before = epoch(10, {Self, Former, Left, Right});
    Before.Truncated = Truncated;
    EpochEntry After = epoch(20, {Self, Left, Right});
    for (int I = 0;; ++I) {
      Key = keyOf(Before, Former.Host, I);
      if (coordinatorOf(After, Route, Key)->Host == Self.Host)
        break;
    }
    apply(Before);
    apply(After);
  }
  /// Chooses a key that Former, Between and Self coordinate one after another.
  void chooseKey(const EpochEntry &First, const EpochEntry &Second,
                 const Member &Between, const EpochEntry &Third) {
    for (int I = 0;; ++I) {
      Key = keyOf(First, Former.Host, I);
      if (coordinatorOf(Second, Route, Key)->Host == Between.Host &&
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
    Keys->fenceAck(Now, ref(From), Part, &History);
  }
  RecordCopy copy(Offset Epoch, const Member &Owner, const Member &Executor,
                  RecordState State, std::uint32_t Attempt = 1) {
    return {token(Key, Epoch, ref(Owner), ref(Executor), Attempt),
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
    Message.Executor = ref(Left);
    Message.Released = Released;
    EffectList Effects;
    Keys->claim(Now, Front, Message, &History, Effects);
    for (const Effect &Next : Effects)
      if (const auto *Sending = std::get_if<SendPeer>(&Next))
        return Sending->Message;
    return Received{};
  }
  bool grants() { return std::holds_alternative<Granted>(claim()); }
  bool unknown(const PeerMessage &Reply) {
    const auto *No = std::get_if<ClaimRefused>(&Reply);
    return No && No->Kind == ErrorKind::OutcomeUnknown;
  }
  std::size_t fencesTo(const Member &Who) {
    std::size_t Found = 0;
    for (const auto &[Host, Message] : sent<Fence>(Out))
      Found += Host == Who.Host;
    return Found;
  }

  TimePoint Now = Start;
  EpochHistory History;
  ExecutionLog Log{ref(Self), {}};
  std::optional<Coordinator> Keys{std::in_place, ref(Self), RecordLimits{}};
  EffectList Out;
  RequestKey Key;
  std::uint64_t Calls = 0;
  std::uint64_t Answers = 0;
};

} // namespace

TEST_F(TakeoverTest, NothingIsGrantedBeforeTheAcknowledgements) {
  lose();
  EXPECT_TRUE(unknown(claim()));
  ack(Left, 20);
  EXPECT_TRUE(unknown(claim())) << "Right may run a request of Former";
  ack(Right, 20);
  EXPECT_TRUE(grants()) << "every executor of Former has acknowledged";
}

TEST_F(TakeoverTest, FormerCoordinatorCoversItsOwnEpoch) {
  lose();
  ack(Former, 20);
  EXPECT_TRUE(grants());
}

TEST_F(TakeoverTest, OtherIncarnationDoesNotSpeakForTheFormerOne) {
  lose();
  ack(member("h1", "d0", 999), 20);
  ack(Left, 20);
  ack(member("h3", "d1", 999), 20);
  EXPECT_TRUE(unknown(claim()));
}

TEST_F(TakeoverTest, AcknowledgementOfTheOldEpochDoesNotCount) {
  lose();
  ack(Former, 10, true);
  EXPECT_TRUE(unknown(claim()));
}

TEST_F(TakeoverTest, RecordsOfTheFormerCoordinatorAreUsed) {
  lose();
  ack(Former, 20, false, {copy(10, Former, Right, RecordState::Done)});
  PeerMessage Reply = claim();
  ASSERT_TRUE(std::holds_alternative<ClaimDone>(Reply));
  EXPECT_EQ(std::get<ClaimDone>(Reply).Response.Body, "attempt 1");
}

TEST_F(TakeoverTest, OwnExecutionsAreUsed) {
  Member Home = member("h0", "d1");
  EpochEntry Before = epoch(10, {Home, member("h1", "d0")});
  EpochEntry After = epoch(20, {Home});
  Key = keyOf(Before, "h1");
  GrantToken Grant = token(Key, 10, ref(member("h1", "d0")), ref(Home));
  apply(Before);
  Log.accept(Now, Front, execute({900, 99}, Grant), &History);
  apply(After);
  PeerMessage Reply = claim();
  ASSERT_TRUE(std::holds_alternative<ClaimHeld>(Reply));
  EXPECT_EQ(std::get<ClaimHeld>(Reply).Token, Grant);
}

// An acknowledgement holds only the records of keys that its receiver
// coordinates in the acknowledged epoch.
TEST_F(TakeoverTest, AcknowledgementForOtherKeysDoesNotCount) {
  Member Between = member("h4", "d0");
  EpochEntry First = epoch(10, {Self, Former, Left, Right});
  EpochEntry Second = epoch(20, {Self, Between, Left, Right});
  EpochEntry Third = epoch(30, {Self, Left, Right});
  chooseKey(First, Second, Between, Third);
  apply(First);
  apply(Second);
  ack(Former, 20, true); // Without the key, which Between coordinates in 20.
  apply(Third);
  ack(Between, 30);
  EXPECT_TRUE(unknown(claim()));
  ack(Left, 30);
  EXPECT_TRUE(unknown(claim()));
  ack(Right, 30);
  EXPECT_TRUE(grants());
}

TEST_F(TakeoverTest, CompleteEndsTheWalk) {
  Member Between = member("h4", "d0");
  EpochEntry First = epoch(10, {Self, Former, Left, Right});
  EpochEntry Second = epoch(20, {Self, Between, Left, Right});
  EpochEntry Third = epoch(30, {Self, Left, Right});
  chooseKey(First, Second, Between, Third);
  apply(First);
  apply(Second);
  apply(Third);
  ack(Between, 30);
  EXPECT_TRUE(unknown(claim()));
  ack(Between, 30, true);
  EXPECT_TRUE(grants());
}

TEST_F(TakeoverTest, HistoryFromASnapshotNeedsCompleteOrTheLifetime) {
  lose(true);
  ack(Former, 20);
  EXPECT_TRUE(unknown(claim()));
  Now += Lifetime;
  EXPECT_TRUE(unknown(claim()));
  Now += Duration(1);
  EXPECT_TRUE(grants());
}

TEST_F(TakeoverTest, HistoryFromASnapshotIsCoveredByComplete) {
  lose(true);
  ack(Former, 20, true);
  EXPECT_TRUE(grants());
}

TEST_F(TakeoverTest, ReleasedRecordNeedsCoverageForTheNextAttempt) {
  lose();
  RecordCopy Known = copy(10, Former, Left, RecordState::Granted);
  ack(Left, 20, false, {Known});
  EXPECT_TRUE(std::holds_alternative<ClaimHeld>(claim()));
  EXPECT_TRUE(unknown(claim(Known.Token)))
      << "Former may have granted attempt 2 to Right";
  ack(Right, 20, false, {copy(10, Former, Right, RecordState::Done, 2)});
  PeerMessage Reply = claim();
  ASSERT_TRUE(std::holds_alternative<ClaimDone>(Reply));
  EXPECT_EQ(std::get<ClaimDone>(Reply).Response.Body, "attempt 2");
}

TEST_F(TakeoverTest, MergePrefersLaterGrantsAndFinishedStates) {
  struct Case {
    RecordState First, Second;
    std::uint32_t FirstAttempt, SecondAttempt;
    std::string Body; ///< Empty: not done.
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
    Keys.emplace(ref(Self), RecordLimits{});
    History = {};
    lose();
    ack(Former, 20, false,
        {copy(10, Former, Right, Next.First, Next.FirstAttempt)});
    ack(Right, 20, false,
        {copy(10, Former, Right, Next.Second, Next.SecondAttempt)});
    PeerMessage Reply = claim();
    const auto *Done = std::get_if<ClaimDone>(&Reply);
    EXPECT_EQ(Done ? Done->Response.Body : "", Next.Body);
    EXPECT_EQ(unknown(Reply), Next.Body.empty());
  }
}

TEST_F(TakeoverTest, LostPartMakesTheAcknowledgementVoid) {
  lose();
  FenceAck Part;
  Part.Service = Service;
  Part.Epoch = 20;
  Part.AckNumber = 1;
  Part.Part = 1; // Part 0 was lost.
  Keys->fenceAck(Now, ref(Former), Part, &History);
  EXPECT_TRUE(unknown(claim()));
  Part.AckNumber = 2;
  Part.Part = 0;
  Part.Last = false;
  Keys->fenceAck(Now, ref(Former), Part, &History);
  EXPECT_TRUE(unknown(claim())) << "parts of two answers make no whole";
  Part.Part = 1;
  Part.Last = true;
  Keys->fenceAck(Now, ref(Former), Part, &History);
  EXPECT_TRUE(grants());
}

TEST_F(TakeoverTest, RecordsThatDoNotFitMakeTheAcknowledgementVoid) {
  RecordLimits Small;
  Small.MaxRecords = 4; // Taken over records may use one more.
  Keys.emplace(ref(Self), Small);
  lose();
  std::vector<RecordCopy> Copies;
  for (std::uint64_t I = 0; I < 6; ++I) {
    Copies.push_back(copy(10, Former, Right, RecordState::Granted));
    Copies.back().Token.Key = {I, I};
  }
  ack(Former, 20, false, Copies);
  EXPECT_EQ(Keys->size(), 5U);
  EXPECT_TRUE(unknown(claim()));
}

TEST_F(TakeoverTest, FenceIsRepeatedUntilAcknowledged) {
  lose();
  Out.clear();
  ack(Left, 20);
  Now += std::chrono::milliseconds(499);
  Keys->timer(Now, Out);
  EXPECT_TRUE(sent<Fence>(Out).empty());
  Now += std::chrono::milliseconds(1);
  EXPECT_LE(Keys->nextWake(), Now);
  Keys->timer(Now, Out);
  EXPECT_EQ(fencesTo(Left), 0U);
  EXPECT_EQ(fencesTo(Right), 1U);
  EXPECT_EQ(fencesTo(Former), 1U) << "it may be leaving and still hand over";
}

TEST_F(TakeoverTest, ReplacedIncarnationIsNotAsked) {
  apply(epoch(10, {Self, Former}));
  Out.clear();
  apply(epoch(20, {Self, member("h1", "d0", 999)}));
  EXPECT_EQ(fencesTo(Former), 1U) << "the new incarnation only";
}

TEST_F(TakeoverTest, FenceOfALaterEpochIsAnsweredOnceItIsApplied) {
  apply(epoch(10, {Self, Left}));
  Out.clear();
  Keys->fence(Now, ref(Left), {Service, 20}, &History, Log, Out);
  EXPECT_TRUE(sent<FenceAck>(Out).empty());
  GrantToken Old = token(Key, 10, ref(Left), ref(Self));
  auto Verdict = Log.accept(Now, Front, execute({900, 1}, Old), &History);
  EXPECT_TRUE(std::holds_alternative<KnownReply>(Verdict))
      << "the executor is fenced at once";
  apply(epoch(20, {Self, Left, Right}));
  auto Acks = sent<FenceAck>(Out);
  ASSERT_EQ(Acks.size(), 1U);
  EXPECT_EQ(Acks[0].first, Left.Host);
  EXPECT_EQ(Acks[0].second.Epoch, 20);
}

TEST_F(TakeoverTest, AcknowledgementIsCompleteOnlyWithOwnCoverage) {
  Member Joined = member("h5", "d0");
  apply(epoch(10, {Self, Former, Left}));
  apply(epoch(20, {Self, Former, Left, Right}));
  apply(epoch(30, {Self, Former, Left, Right, Joined}));
  auto Complete = [&] {
    Out.clear();
    Keys->fence(Now, ref(Joined), {Service, 30}, &History, Log, Out);
    return sent<FenceAck>(Out).at(0).second.Complete;
  };
  EXPECT_FALSE(Complete()) << "Left may have granted to Former in epoch 10";
  ack(Left, 30);
  EXPECT_FALSE(Complete()) << "in epoch 30 Self has fewer keys than in 20";
  ack(Left, 20);
  EXPECT_TRUE(Complete());
}

TEST_F(TakeoverTest, LeavingMemberHandsOverEveryRecord) {
  apply(epoch(10, {Self, Left, Right}));
  Key = keyOf(History.current(), Self.Host);
  claim();
  EXPECT_FALSE(Keys->handedOver(Service, History)) << "still listed";
  apply(epoch(20, {Left, Right}));
  Out.clear();
  Keys->fence(Now, ref(Left), {Service, 20}, &History, Log, Out);
  EXPECT_FALSE(Keys->handedOver(Service, History));
  Keys->fence(Now, ref(Right), {Service, 20}, &History, Log, Out);
  EXPECT_TRUE(Keys->handedOver(Service, History));
  std::size_t Copies = 0;
  for (const auto &[Host, Message] : sent<FenceAck>(Out))
    Copies += Message.Records.size();
  EXPECT_EQ(Copies, 1U) << "at the key's new coordinator only";
}

TEST_F(TakeoverTest, LongAcknowledgementIsSplit) {
  apply(epoch(10, {Self, Left}));
  for (std::uint64_t I = 0; I < 2000; ++I) {
    Key = requestKey(Route, std::to_string(I));
    if (coordinatorOf(History.current(), Route, Key)->Host == Self.Host)
      claim();
  }
  apply(epoch(20, {Left, Right}));
  Out.clear();
  Keys->fence(Now, ref(Left), {Service, 20}, &History, Log, Out);
  auto Parts = sent<FenceAck>(Out);
  ASSERT_GT(Parts.size(), 1U);
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    EXPECT_EQ(Parts[I].second.Part, I);
    EXPECT_EQ(Parts[I].second.Last, I + 1 == Parts.size());
    EXPECT_EQ(Parts[I].second.AckNumber, Parts[0].second.AckNumber);
  }
}
