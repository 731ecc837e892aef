// StoreHistoryTest.cpp - Tests of a store that is restored from an older copy.

#include "ContentOrder.h"
#include "SidecarFixture.h"
#include "TopicImage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

/// Decoder of records by their values: "vN" is the configuration with version
/// N.
class ValueDecoder : public RecordDecoder {
public:
  TopicContent decode(Topic Which, const KeyedRecord &Record) const override {
    if (Which == Topic::Members) {
      if (!Record.Value)
        return HostRemoved{Record.Key};
      if (auto Announced = decodeAnnouncement(*Record.Value))
        return *Announced;
      return UnusableRecord{Record.Key, "not an announcement"};
    }
    if (Record.Key != "config")
      return Evacuation{Record.Key.substr(Record.Key.find('/') + 1),
                        Record.Value.has_value()};
    if (!Record.Value)
      return UnusableRecord{Record.Key, "no value"};
    auto Config = std::make_shared<ServiceConfig>();
    Config->Version = std::stoull(Record.Value->substr(1));
    ServiceRoute Route;
    Route.Name = *Record.Value;
    Route.Host = "desk.example";
    Route.PathPrefix = "/";
    Route.Timeout = 1s;
    Route.TargetLatency = 300ms;
    Route.Parts = {{"booking", 1}};
    Config->add(Route);
    return ConfigPtr(Config);
  }
};

KeyedRecord config(int Version, Offset At) {
  return {"config", "v" + std::to_string(Version), At};
}
KeyedRecord evacuation(Offset At) { return {"evacuate/east-b", "{}", At}; }
KeyedRecord withdrawal(Offset At) {
  return {"evacuate/east-b", std::nullopt, At};
}

struct HistoryImageTest : testing::Test {
  HistoryImageTest() : Order(Topic::Operator, Decoder), Image(&Order) {}

  std::optional<std::string> valueOf(const std::string &Key) const {
    for (const KeyedRecord &Record : Image.since(0).Records)
      if (Record.Key == Key)
        return Record.Value;
    return std::nullopt;
  }

  ValueDecoder Decoder;
  ContentOrder Order;
  TopicImage Image;
};

} // namespace

// Images.

// Guards against new records that are ignored: after the store was restored,
// the operator's new records had lower offsets than those read before.
TEST_F(HistoryImageTest, ANewRecordAtALowerOffsetIsApplied) {
  Image.apply({106, {config(7, 105)}});
  Image.restart();
  EXPECT_EQ(Image.next(), 0);
  EXPECT_TRUE(Image.applySnapshot({96, {config(6, 95)}}).empty());
  EXPECT_EQ(valueOf("config"), "v7") << "the known version does not decrease";
  auto Applied = Image.apply({97, {config(8, 96)}});
  ASSERT_EQ(Applied.size(), 1U);
  EXPECT_EQ(valueOf("config"), "v8");
}

// The operator writes before this daemon reads: the first snapshot already
// holds the new version, at an offset below that of the known version.
TEST_F(HistoryImageTest, ANewerVersionInTheFirstSnapshotIsApplied) {
  Image.apply({106, {config(7, 105)}});
  Image.restart();
  EXPECT_EQ(Image.applySnapshot({98, {config(8, 97)}}).size(), 1U);
}

TEST_F(HistoryImageTest, ALostEvacuationStaysUntilItIsWithdrawn) {
  Image.apply({41, {evacuation(40)}});
  Image.restart();
  EXPECT_TRUE(Image.applySnapshot({38, {}}).empty());
  EXPECT_TRUE(Image.isReplaying());
  EXPECT_TRUE(Image.apply({38, {config(1, 2)}}).size() == 1);
  EXPECT_FALSE(Image.isReplaying());
  EXPECT_TRUE(valueOf("evacuate/east-b"));
  EXPECT_EQ(Image.apply({39, {withdrawal(38)}}).size(), 1U);
  EXPECT_FALSE(valueOf("evacuate/east-b"));
}

TEST_F(HistoryImageTest, AWithdrawnEvacuationDoesNotReturn) {
  Image.apply({36, {evacuation(30), withdrawal(35)}});
  Image.restart();
  EXPECT_TRUE(Image.applySnapshot({33, {evacuation(30)}}).empty());
  EXPECT_FALSE(valueOf("evacuate/east-b"));
  EXPECT_EQ(Image.apply({34, {evacuation(33)}}).size(), 1U)
      << "the operator may order a new evacuation";
}

// The evacuation is withdrawn after the store was restored and before this
// daemon reads. Only the log shows it, since a snapshot lacks dropped keys.
TEST_F(HistoryImageTest, AKeyDroppedBeforeTheFirstSnapshotIsFoundInTheLog) {
  Image.apply({50, {evacuation(10)}});
  Image.restart();
  EXPECT_TRUE(Image.applySnapshot({46, {}}).empty());
  ASSERT_TRUE(Image.isReplaying());
  EXPECT_EQ(Image.next(), 0);
  auto Applied = Image.apply({46, {evacuation(10), withdrawal(45)}});
  ASSERT_FALSE(Applied.empty());
  EXPECT_FALSE(Applied.back().Value);
  EXPECT_FALSE(valueOf("evacuate/east-b"));
}

// The evacuation was withdrawn so long ago that the log no longer shows it. The
// copy is newer than the withdrawal.
TEST_F(HistoryImageTest, AKeyThatTheCopyMustHoldAndLacksWasDropped) {
  Image.apply({50, {evacuation(10), config(3, 49)}});
  Image.restart();
  Image.applySnapshot({46, {config(2, 30)}});
  auto Applied = Image.skipTo(20);
  ASSERT_EQ(Applied.size(), 1U);
  EXPECT_EQ(Applied[0].Key, "evacuate/east-b");
  EXPECT_EQ(Image.next(), 20);
}

TEST_F(HistoryImageTest, TwoRestoresInARow) {
  Image.apply({106, {config(7, 105)}});
  Image.restart();
  Image.applySnapshot({96, {config(6, 95)}});
  Image.restart();
  EXPECT_TRUE(Image.applySnapshot({91, {config(5, 90)}}).empty());
  EXPECT_EQ(valueOf("config"), "v7");
  EXPECT_EQ(Image.apply({92, {config(8, 91)}}).size(), 1U);
}

// A daemon that starts while the store holds the older copy gets the newer
// version from a peer, although both have the same offset.
TEST_F(HistoryImageTest, ANewerRecordOfAPeerIsApplied) {
  TopicImage Starting(&Order);
  Starting.applySnapshot({96, {config(6, 95)}});
  Image.apply({106, {config(7, 105)}});
  Image.restart();
  Image.applySnapshot({96, {config(6, 95)}});
  auto Applied = Starting.apply(Image.since(0));
  ASSERT_EQ(Applied.size(), 1U);
  EXPECT_EQ(Applied[0].Value, "v7");
}

// The store is restored from older copies at random, the operator writes the
// lost records again, and a daemon reads at random times. The daemon's version
// must never decrease, and in the end its image must match the store.
RC_GTEST_PROP(StoreHistory, NoVersionDecreasesAndNoRecordIsMissed, ()) {
  ValueDecoder Decoder;
  ContentOrder Order(Topic::Operator, Decoder);
  TopicImage Image(&Order);
  std::vector<KeyedRecord> Log;
  int Version = 1;
  bool Evacuated = false;
  std::uint64_t History = 1;
  std::uint64_t KnownHistory = 1;
  int Newest = 0;
  bool SnapshotRead = false;
  auto Write = [&](KeyedRecord Record) {
    Record.At = static_cast<Offset>(Log.size());
    Log.push_back(std::move(Record));
  };
  auto WriteState = [&] {
    Write(config(Version, 0));
    Write(Evacuated ? evacuation(0) : withdrawal(0));
  };
  auto Read = [&] {
    if (KnownHistory != History) {
      Image.restart();
      SnapshotRead = false;
    }
    KnownHistory = History;
    auto End = static_cast<Offset>(Log.size());
    std::vector<KeyedRecord> Applied;
    if (!SnapshotRead) {
      std::map<std::string, KeyedRecord> ByKey;
      for (const KeyedRecord &Record : Log)
        ByKey[Record.Key] = Record;
      TopicContents All{End, {}};
      for (auto &[Key, Record] : ByKey)
        if (Record.Value)
          All.Records.push_back(Record);
      Applied = Image.applySnapshot(std::move(All));
      SnapshotRead = true;
    }
    auto From = Log.begin() + std::min(Image.next(), End);
    auto More = Image.apply({End, {From, Log.end()}});
    Applied.insert(Applied.end(), More.begin(), More.end());
    for (const KeyedRecord &Record : Applied) {
      if (Record.Key != "config")
        continue;
      int Now = std::stoi(Record.Value->substr(1));
      RC_ASSERT(Now >= Newest);
      Newest = Now;
    }
  };
  WriteState();
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
  for (int Step : Steps) {
    if (Step == 0) {
      std::size_t Lost = *rc::gen::inRange<std::size_t>(
          0, std::min<std::size_t>(Log.size(), 5));
      Log.resize(Log.size() - Lost);
      ++History;
      if (*rc::gen::arbitrary<bool>())
        Read();
      WriteState();
    } else if (Step < 3) {
      Write(config(++Version, 0));
    } else if (Step < 5) {
      Evacuated = !Evacuated;
      Write(Evacuated ? evacuation(0) : withdrawal(0));
    } else {
      Read();
    }
  }
  // The operator writes the newest state once more.
  WriteState();
  Read();
  std::map<std::string, std::optional<std::string>> Final;
  for (const KeyedRecord &Record : Image.since(0).Records)
    Final[Record.Key] = Record.Value;
  RC_ASSERT(Final["config"] == "v" + std::to_string(Version));
  RC_ASSERT(Final["evacuate/east-b"].has_value() == Evacuated);
}

// Daemons.

namespace {

/// A daemon that has read history 1: version 7 at offset 105, and host a.
struct SidecarHistoryTest : testing::Test {
  SidecarHistoryTest() : Reducer(testSettings(), Decoder) {
    apply(TimerFired{});
    apply(TopicSnapshot{Topic::Operator, {config(7, 105)}, 106, 1});
    apply(TopicSnapshot{Topic::Members, {memberRecord("a", 50, 3)}, 51, 1});
    apply(heartbeat(1));
    ServerProbeResult Well;
    Well.Healthy = true;
    Well.Instance = "i-1";
    apply(Well);
    apply(AnnouncementResult{true, "", 1});
    // The store delays the reads of both topics.
    Now += 1s;
    apply(TimerFired{});
  }

  static KeyedRecord memberRecord(const HostId &Host, Offset At,
                                  std::uint64_t Counter,
                                  InstanceState State = InstanceState::Ready) {
    Announcement Announced = announcement(Host);
    Announced.Order.Counter = Counter;
    Announced.State = State;
    return {Host, encodeAnnouncement(Announced), At};
  }
  SidecarEffects apply(SidecarEventBody Body) {
    return Reducer.apply({Now, Seed += 0x9e3779b97f4a7c15ULL, std::move(Body)});
  }
  /// The store has been restored with records up to offset 95.
  SidecarEffects restoreStore() {
    apply(TopicTruncated{Topic::Operator, 0, 2});
    return apply(TopicSnapshot{Topic::Operator, {config(6, 95)}, 96, 2});
  }
  /// Returns the version that the daemon sends to a subscriber; 0: none.
  std::uint64_t version() {
    for (const auto &[Host, Update] :
         messages<TopicUpdate>(apply(PeerReceived{{"z", 5}, TopicSubscribe{}})))
      for (const KeyedRecord &Record : Update.Parts.at(0).Records)
        if (Record.Key == "config")
          return std::stoull(Record.Value->substr(1));
    return 0;
  }

  TimePoint Now = TestStart;
  std::uint64_t Seed = 1;
  ValueDecoder Decoder;
  Sidecar Reducer;
};

} // namespace

TEST_F(SidecarHistoryTest, TheStoreIsReadAgainAndTheVersionStays) {
  auto Out = apply(TopicTruncated{Topic::Operator, 0, 2});
  EXPECT_TRUE(logged(Out, "store-history-changed"));
  ASSERT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
  apply(TopicSnapshot{Topic::Operator, {config(6, 95)}, 96, 2});
  EXPECT_EQ(version(), 7U);
  Out = apply(TopicRecords{Topic::Operator, {config(8, 96)}, 97, 2});
  EXPECT_TRUE(logged(Out, "config-in-force"));
  EXPECT_EQ(version(), 8U);
}

TEST_F(SidecarHistoryTest, TheOwnAnnouncementIsAppendedAgain) {
  EXPECT_EQ(effects<Announce>(restoreStore()).size() +
                effects<Announce>(apply(TimerFired{})).size(),
            0U);
  // The append was sent with the answer that named the new history.
  apply(AnnouncementResult{false, "no answer", 0});
  Now += 1s;
  auto Announced = effects<Announce>(apply(TimerFired{}));
  ASSERT_EQ(Announced.size(), 1U) << "an append without an answer is retried";
  EXPECT_EQ(Announced[0].Content.State, InstanceState::Ready);
}

// The history that acknowledged the append had ended when the answer was read.
TEST_F(SidecarHistoryTest, AnAppendToAnEndedHistoryIsRetried) {
  apply(heartbeat(2, "i-2", 2000));
  apply(TopicTruncated{Topic::Operator, 0, 2});
  auto Out = apply(AnnouncementResult{true, "", 1});
  Now += 1s;
  auto Later = effects<Announce>(apply(TimerFired{}));
  auto Immediate = effects<Announce>(Out);
  Immediate.insert(Immediate.end(), Later.begin(), Later.end());
  ASSERT_FALSE(Immediate.empty());
  EXPECT_EQ(Immediate.back().Content.Instance, "i-2");
}

// The read of the other topic was in flight when the store was restored. Its
// offsets now denote other records.
TEST_F(SidecarHistoryTest, AReadThatBeganInTheEndedHistoryIsDiscarded) {
  restoreStore();
  auto Out =
      apply(TopicRecords{Topic::Members, {memberRecord("a", 51, 1)}, 52, 2});
  EXPECT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
  Out = apply(TopicSnapshot{Topic::Members, {memberRecord("a", 40, 2)}, 41, 2});
  EXPECT_EQ(Reducer.directory().find("a")->Order.Counter, 3U);
}

TEST_F(SidecarHistoryTest, ALateAnswerOfTheEndedHistoryIsIgnored) {
  restoreStore();
  auto Out =
      apply(TopicSnapshot{Topic::Members, {memberRecord("b", 49, 9)}, 51, 1});
  EXPECT_EQ(Reducer.directory().find("b"), nullptr);
  EXPECT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
}

// A server has left, but the copy still lists it as ready.
TEST_F(SidecarHistoryTest, AServerThatLeftIsNotUsedAgain) {
  apply(TopicRecords{Topic::Members,
                     {memberRecord("a", 51, 4, InstanceState::Draining)},
                     52,
                     1});
  apply(TopicTruncated{Topic::Members, 0, 2});
  apply(TopicSnapshot{Topic::Members, {memberRecord("a", 50, 3)}, 51, 2});
  EXPECT_TRUE(Reducer.directory().ready("booking").empty() ||
              Reducer.directory().find("a")->State == InstanceState::Draining);
  EXPECT_EQ(Reducer.directory().find("a")->State, InstanceState::Draining);
}

// The announcement of a live host was lost with the store's last seconds.
TEST_F(SidecarHistoryTest, AHostThatTheCopyLacksStaysInUse) {
  apply(TopicRecords{Topic::Members, {memberRecord("c", 51, 1)}, 52, 1});
  apply(TopicTruncated{Topic::Members, 0, 2});
  apply(TopicSnapshot{Topic::Members, {memberRecord("a", 50, 3)}, 51, 2});
  apply(TopicRecords{Topic::Members, {memberRecord("a", 50, 3)}, 51, 2});
  ASSERT_NE(Reducer.directory().find("c"), nullptr);
  EXPECT_EQ(Reducer.directory().find("c")->State, InstanceState::Ready);
}

// A daemon that does not read the store learns of the new history from its
// source.
TEST_F(SidecarHistoryTest, TheNewHistoryIsLearnedFromAPeer) {
  TopicUpdate Update{true, true, {{96, {config(6, 95)}}, {51, {}}}, 2};
  auto Out = apply(PeerReceived{{"a", 77}, Update});
  EXPECT_TRUE(logged(Out, "store-history-changed"));
  EXPECT_EQ(version(), 7U);
  Update.Parts[0] = {97, {config(8, 96)}};
  apply(PeerReceived{{"a", 77}, Update});
  EXPECT_EQ(version(), 8U);
}

TEST_F(SidecarHistoryTest, UpdatesOfTheEndedHistoryAreIgnored) {
  restoreStore();
  TopicUpdate Update{true, true, {{108, {config(9, 107)}}, {51, {}}}, 1};
  apply(PeerReceived{{"a", 77}, Update});
  EXPECT_EQ(version(), 7U);
}

// The subscriber's offsets belong to the ended history, so it gets all records.
TEST_F(SidecarHistoryTest, ASubscriberOfTheEndedHistoryGetsAllRecords) {
  restoreStore();
  auto Update = messages<TopicUpdate>(
      apply(PeerReceived{{"z", 5}, TopicSubscribe{{200, 200}, 1}}));
  ASSERT_EQ(Update.size(), 1U);
  EXPECT_EQ(Update[0].second.History, 2U);
  EXPECT_FALSE(Update[0].second.Parts[0].Records.empty());
}

// A daemon starts with only the older copy, and then gets the newer version
// from a peer.
TEST_F(SidecarHistoryTest, AStartingDaemonGetsTheNewerVersionFromAPeer) {
  restoreStore();
  auto All =
      messages<TopicUpdate>(apply(PeerReceived{{"z", 5}, TopicSubscribe{}}));
  ASSERT_EQ(All.size(), 1U);
  Sidecar Starting(testSettings("10.0.0.2:7000"), Decoder);
  Starting.apply({Now, 1, TimerFired{}});
  Starting.apply(
      {Now, 2, TopicSnapshot{Topic::Operator, {config(6, 95)}, 96, 2}});
  Starting.apply({Now, 3, TopicSnapshot{Topic::Members, {}, 40, 2}});
  auto Out = Starting.apply({Now, 4, PeerReceived{{"a", 77}, All[0].second}});
  EXPECT_TRUE(logged(Out, "config-in-force"));
}

// The store is restored twice, and the answer that names the first new history
// is lost.
TEST_F(SidecarHistoryTest, TwoRestoresInARowWithALostAnswer) {
  apply(TopicReadFailed{Topic::Operator, "no answer", 0});
  Now += 1s;
  apply(TimerFired{});
  apply(TopicTruncated{Topic::Operator, 0, 3});
  apply(TopicSnapshot{Topic::Operator, {config(5, 90)}, 91, 3});
  EXPECT_EQ(version(), 7U);
  apply(TopicRecords{Topic::Operator, {config(7, 91), config(8, 92)}, 93, 3});
  EXPECT_EQ(version(), 8U);
}
