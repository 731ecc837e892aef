// StoreHistoryTest.cpp - The store comes back from an older copy of itself.

#include "ContentOrder.h"
#include "SidecarFixture.h"
#include "TopicImage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

/// Decodes by value: "vN" is the configuration with version N.
class ValueDecoder : public RecordDecoder {
public:
  TopicContent decode(Topic Which, const KeyedRecord &Record) const override {
    if (Which == Topic::Members) {
      if (!Record.Value)
        return HostForgotten{Record.Key};
      if (auto Said = decodeAnnouncement(*Record.Value))
        return *Said;
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
KeyedRecord evacuated(Offset At) { return {"evacuate/east-b", "{}", At}; }
KeyedRecord back(Offset At) { return {"evacuate/east-b", std::nullopt, At}; }

struct HistoryImage : testing::Test {
  HistoryImage() : Order(Topic::Operator, Decoder), Image(&Order) {}

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

// Offsets that had been read before hid all that the operator wrote after the
// store had come back: its new records have lower ones.
TEST_F(HistoryImage, WhatIsWrittenAtALowerOffsetIsTaken) {
  Image.absorb({106, {config(7, 105)}});
  Image.restart();
  EXPECT_EQ(Image.next(), 0);
  EXPECT_TRUE(Image.absorbAll({96, {config(6, 95)}}).empty());
  EXPECT_EQ(valueOf("config"), "v7") << "a known version does not fall back";
  auto Taken = Image.absorb({97, {config(8, 96)}});
  ASSERT_EQ(Taken.size(), 1U);
  EXPECT_EQ(valueOf("config"), "v8");
}

// The operator was faster than this daemon: its new version lies in the list of
// all keys already, below the offset of the version that is known.
TEST_F(HistoryImage, ANewerVersionInTheFirstListIsTaken) {
  Image.absorb({106, {config(7, 105)}});
  Image.restart();
  EXPECT_EQ(Image.absorbAll({98, {config(8, 97)}}).size(), 1U);
}

TEST_F(HistoryImage, ALostEvacuationStaysUntilItIsTakenBack) {
  Image.absorb({41, {evacuated(40)}});
  Image.restart();
  EXPECT_TRUE(Image.absorbAll({38, {}}).empty());
  EXPECT_TRUE(Image.readsBack());
  EXPECT_TRUE(Image.absorb({38, {config(1, 2)}}).size() == 1);
  EXPECT_FALSE(Image.readsBack());
  EXPECT_TRUE(valueOf("evacuate/east-b"));
  EXPECT_EQ(Image.absorb({39, {back(38)}}).size(), 1U);
  EXPECT_FALSE(valueOf("evacuate/east-b"));
}

TEST_F(HistoryImage, AnEvacuationThatWasTakenBackDoesNotReturn) {
  Image.absorb({36, {evacuated(30), back(35)}});
  Image.restart();
  EXPECT_TRUE(Image.absorbAll({33, {evacuated(30)}}).empty());
  EXPECT_FALSE(valueOf("evacuate/east-b"));
  EXPECT_EQ(Image.absorb({34, {evacuated(33)}}).size(), 1U)
      << "but the operator may order it anew";
}

// Taken back after the return of the store, before this daemon read anything:
// only the log tells, since a list of all keys lacks dropped ones.
TEST_F(HistoryImage, WhatWasDroppedBeforeTheFirstListIsFoundInTheLog) {
  Image.absorb({50, {evacuated(10)}});
  Image.restart();
  EXPECT_TRUE(Image.absorbAll({46, {}}).empty());
  ASSERT_TRUE(Image.readsBack());
  EXPECT_EQ(Image.next(), 0);
  auto Taken = Image.absorb({46, {evacuated(10), back(45)}});
  ASSERT_FALSE(Taken.empty());
  EXPECT_FALSE(Taken.back().Value);
  EXPECT_FALSE(valueOf("evacuate/east-b"));
}

// Taken back so long ago that the log no longer tells. The copy is younger.
TEST_F(HistoryImage, WhatTheCopyMustHoldAndLacksWasDropped) {
  Image.absorb({50, {evacuated(10), config(3, 49)}});
  Image.restart();
  Image.absorbAll({46, {config(2, 30)}});
  auto Taken = Image.skipTo(20);
  ASSERT_EQ(Taken.size(), 1U);
  EXPECT_EQ(Taken[0].Key, "evacuate/east-b");
  EXPECT_EQ(Image.next(), 20);
}

TEST_F(HistoryImage, TwoCopiesInARow) {
  Image.absorb({106, {config(7, 105)}});
  Image.restart();
  Image.absorbAll({96, {config(6, 95)}});
  Image.restart();
  EXPECT_TRUE(Image.absorbAll({91, {config(5, 90)}}).empty());
  EXPECT_EQ(valueOf("config"), "v7");
  EXPECT_EQ(Image.absorb({92, {config(8, 91)}}).size(), 1U);
}

// A daemon that starts while the store holds the older copy learns the newer
// version from a peer, although both name the same offset.
TEST_F(HistoryImage, APeerKnowsMoreThanTheStore) {
  TopicImage Starting(&Order);
  Starting.absorbAll({96, {config(6, 95)}});
  Image.absorb({106, {config(7, 105)}});
  Image.restart();
  Image.absorbAll({96, {config(6, 95)}});
  auto Taken = Starting.absorb(Image.since(0));
  ASSERT_EQ(Taken.size(), 1U);
  EXPECT_EQ(Taken[0].Value, "v7");
}

// A store that falls back at random, an operator that writes again what was
// lost, and a daemon that reads now and then. The version never falls, and in
// the end the daemon knows what the store holds.
RC_GTEST_PROP(StoreHistory, NothingFallsBackAndNothingIsMissed, ()) {
  ValueDecoder Decoder;
  ContentOrder Order(Topic::Operator, Decoder);
  TopicImage Image(&Order);
  std::vector<KeyedRecord> Log;
  int Version = 1;
  bool Evacuated = false;
  std::uint64_t History = 1;
  std::uint64_t Known = 1;
  int Newest = 0;
  bool Listed = false;
  auto Write = [&](KeyedRecord Record) {
    Record.At = static_cast<Offset>(Log.size());
    Log.push_back(std::move(Record));
  };
  auto WriteState = [&] {
    Write(config(Version, 0));
    Write(Evacuated ? evacuated(0) : back(0));
  };
  auto Read = [&] {
    if (Known != History) {
      Image.restart();
      Listed = false;
    }
    Known = History;
    auto End = static_cast<Offset>(Log.size());
    std::vector<KeyedRecord> Taken;
    if (!Listed) {
      std::map<std::string, KeyedRecord> ByKey;
      for (const KeyedRecord &Record : Log)
        ByKey[Record.Key] = Record;
      TopicContents All{End, {}};
      for (auto &[Key, Record] : ByKey)
        if (Record.Value)
          All.Records.push_back(Record);
      Taken = Image.absorbAll(std::move(All));
      Listed = true;
    }
    auto From = Log.begin() + std::min(Image.next(), End);
    auto More = Image.absorb({End, {From, Log.end()}});
    Taken.insert(Taken.end(), More.begin(), More.end());
    for (const KeyedRecord &Record : Taken) {
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
      Write(Evacuated ? evacuated(0) : back(0));
    } else {
      Read();
    }
  }
  // What the operator has written last is written again in the end.
  WriteState();
  Read();
  std::map<std::string, std::optional<std::string>> Held;
  for (const KeyedRecord &Record : Image.since(0).Records)
    Held[Record.Key] = Record.Value;
  RC_ASSERT(Held["config"] == "v" + std::to_string(Version));
  RC_ASSERT(Held["evacuate/east-b"].has_value() == Evacuated);
}

// Daemons.

namespace {

/// A daemon that has read history 1: version 7 at offset 105, and host a.
struct HistoryTest : testing::Test {
  HistoryTest() : Under(testSettings(), Decoder) {
    apply(TimerFired{});
    apply(TopicSnapshot{Topic::Operator, {config(7, 105)}, 106, 1});
    apply(TopicSnapshot{Topic::Members, {member("a", 50, 3)}, 51, 1});
    apply(heartbeat(1));
    apply(AnnouncementDone{true, "", 1});
    // The reads of both topics are held by the store.
    Now += 1s;
    apply(TimerFired{});
  }

  static KeyedRecord member(const HostId &Host, Offset At,
                            std::uint64_t Counter,
                            InstanceState State = InstanceState::Ready) {
    Announcement Said = announcement(Host);
    Said.Order.Counter = Counter;
    Said.State = State;
    return {Host, encodeAnnouncement(Said), At};
  }
  SidecarEffects apply(SidecarEventBody Body) {
    return Under.apply({Now, Seed += 0x9e3779b97f4a7c15ULL, std::move(Body)});
  }
  /// The store has come back with records up to offset 95.
  SidecarEffects fallBack() {
    apply(TopicTruncated{Topic::Operator, 0, 2});
    return apply(TopicSnapshot{Topic::Operator, {config(6, 95)}, 96, 2});
  }
  /// Returns the version that serves requests; 0: none.
  std::uint64_t version() {
    for (const auto &[Host, Told] :
         messages<TopicUpdate>(apply(PeerReceived{{"z", 5}, TopicSubscribe{}})))
      for (const KeyedRecord &Record : Told.Parts.at(0).Records)
        if (Record.Key == "config")
          return std::stoull(Record.Value->substr(1));
    return 0;
  }

  TimePoint Now = TestStart;
  std::uint64_t Seed = 1;
  ValueDecoder Decoder;
  Sidecar Under;
};

} // namespace

TEST_F(HistoryTest, TheStoreIsReadAnewAndTheVersionStays) {
  auto Out = apply(TopicTruncated{Topic::Operator, 0, 2});
  EXPECT_TRUE(logged(Out, "store-history-changed"));
  ASSERT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
  apply(TopicSnapshot{Topic::Operator, {config(6, 95)}, 96, 2});
  EXPECT_EQ(version(), 7U);
  Out = apply(TopicRecords{Topic::Operator, {config(8, 96)}, 97, 2});
  EXPECT_TRUE(logged(Out, "config-in-force"));
  EXPECT_EQ(version(), 8U);
}

TEST_F(HistoryTest, TheOwnAnnouncementIsWrittenAgain) {
  EXPECT_EQ(effects<Announce>(fallBack()).size() +
                effects<Announce>(apply(TimerFired{})).size(),
            0U);
  // It went out with the answer that named the history.
  apply(AnnouncementDone{false, "no answer", 0});
  Now += 1s;
  auto Said = effects<Announce>(apply(TimerFired{}));
  ASSERT_EQ(Said.size(), 1U) << "an append without an answer is repeated";
  EXPECT_EQ(Said[0].Said.State, InstanceState::Ready);
}

// The append was acknowledged by a history that had ended when the answer was
// read.
TEST_F(HistoryTest, AnAnnouncementOfAnEndedHistoryIsNotDone) {
  apply(heartbeat(2, "i-2", 2000));
  apply(TopicTruncated{Topic::Operator, 0, 2});
  auto Out = apply(AnnouncementDone{true, "", 1});
  Now += 1s;
  auto Later = effects<Announce>(apply(TimerFired{}));
  auto AtOnce = effects<Announce>(Out);
  AtOnce.insert(AtOnce.end(), Later.begin(), Later.end());
  ASSERT_FALSE(AtOnce.empty());
  EXPECT_EQ(AtOnce.back().Said.Instance, "i-2");
}

// The other topic's read was held while the store fell back; its offsets mean
// other records now.
TEST_F(HistoryTest, AReadThatBeganBeforeIsDiscarded) {
  fallBack();
  auto Out = apply(TopicRecords{Topic::Members, {member("a", 51, 1)}, 52, 2});
  EXPECT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
  Out = apply(TopicSnapshot{Topic::Members, {member("a", 40, 2)}, 41, 2});
  EXPECT_EQ(Under.directory().find("a")->Order.Counter, 3U);
}

TEST_F(HistoryTest, ALateAnswerOfTheEndedHistoryChangesNothing) {
  fallBack();
  auto Out = apply(TopicSnapshot{Topic::Members, {member("b", 49, 9)}, 51, 1});
  EXPECT_EQ(Under.directory().find("b"), nullptr);
  EXPECT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
}

// A server had left; the copy still calls it ready.
TEST_F(HistoryTest, AServerThatLeftIsNotUsedAgain) {
  apply(TopicRecords{
      Topic::Members, {member("a", 51, 4, InstanceState::Draining)}, 52, 1});
  apply(TopicTruncated{Topic::Members, 0, 2});
  apply(TopicSnapshot{Topic::Members, {member("a", 50, 3)}, 51, 2});
  EXPECT_TRUE(Under.directory().ready("booking").empty() ||
              Under.directory().find("a")->State == InstanceState::Draining);
  EXPECT_EQ(Under.directory().find("a")->State, InstanceState::Draining);
}

// The host's announcement was lost with the store's last seconds. It lives.
TEST_F(HistoryTest, AHostThatTheCopyLacksStaysInUse) {
  apply(TopicRecords{Topic::Members, {member("c", 51, 1)}, 52, 1});
  apply(TopicTruncated{Topic::Members, 0, 2});
  apply(TopicSnapshot{Topic::Members, {member("a", 50, 3)}, 51, 2});
  apply(TopicRecords{Topic::Members, {member("a", 50, 3)}, 51, 2});
  ASSERT_NE(Under.directory().find("c"), nullptr);
  EXPECT_EQ(Under.directory().find("c")->State, InstanceState::Ready);
}

// Daemons that read through others hear of it from them.
TEST_F(HistoryTest, APeerTellsOfTheNewHistory) {
  TopicUpdate Told{true, true, {{96, {config(6, 95)}}, {51, {}}}, 2};
  auto Out = apply(PeerReceived{{"a", 77}, Told});
  EXPECT_TRUE(logged(Out, "store-history-changed"));
  EXPECT_EQ(version(), 7U);
  Told.Parts[0] = {97, {config(8, 96)}};
  apply(PeerReceived{{"a", 77}, Told});
  EXPECT_EQ(version(), 8U);
}

TEST_F(HistoryTest, APeerThatMissedItIsNotListenedTo) {
  fallBack();
  TopicUpdate Told{true, true, {{108, {config(9, 107)}}, {51, {}}}, 1};
  apply(PeerReceived{{"a", 77}, Told});
  EXPECT_EQ(version(), 7U);
}

// The asker's offsets are of the ended history: it is told everything.
TEST_F(HistoryTest, AnAskerOfTheEndedHistoryIsToldAll) {
  fallBack();
  auto Told = messages<TopicUpdate>(
      apply(PeerReceived{{"z", 5}, TopicSubscribe{{200, 200}, 1}}));
  ASSERT_EQ(Told.size(), 1U);
  EXPECT_EQ(Told[0].second.History, 2U);
  EXPECT_FALSE(Told[0].second.Parts[0].Records.empty());
}

// A daemon that starts with nothing but the older copy, and then meets one that
// knows more.
TEST_F(HistoryTest, ADaemonThatStartsThenLearnsTheNewerVersion) {
  fallBack();
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

// The store falls back twice, and the answer that tells of the first time is
// lost.
TEST_F(HistoryTest, TwoCopiesInARowWithALostAnswer) {
  apply(TopicFailed{Topic::Operator, "no answer", 0});
  Now += 1s;
  apply(TimerFired{});
  apply(TopicTruncated{Topic::Operator, 0, 3});
  apply(TopicSnapshot{Topic::Operator, {config(5, 90)}, 91, 3});
  EXPECT_EQ(version(), 7U);
  apply(TopicRecords{Topic::Operator, {config(7, 91), config(8, 92)}, 93, 3});
  EXPECT_EQ(version(), 8U);
}
