// TopicTrafficTest.cpp - Tests of what logs and metrics show of the topics'
// records: their origin, their size, and whether they were already known.

#include "SidecarFixture.h"

using namespace figsail;
using namespace figsail::test;

namespace {

/// Returns the volume that an event has counted.
RecordVolume counted(const SidecarEffects &Out, TopicFlow Which) {
  RecordVolume Total;
  for (const CountTopicRecords &Part : effects<CountTopicRecords>(Out)) {
    if (Part.Which != Which)
      continue;
    Total.Records += Part.Volume.Records;
    Total.Bytes += Part.Volume.Bytes;
  }
  return Total;
}

struct TopicTrafficTest : SidecarTest {
  TopicTrafficTest() {
    loadTopics();
    Decoder.Contents["config@40"] = config(9);
  }
  /// Delivers a configuration of 1000 bytes from a daemon.
  SidecarEffects updateFrom(const HostId &Host) {
    return reply(Host, TopicUpdate{true, true, {{41, {Record}}, {0, {}}}, 0});
  }
  KeyedRecord Record{"config", std::string(1000, 'x'), 40};
};

} // namespace

// Guards against a late configuration whose way cannot be told from the logs:
// from the store, or from which daemon.
TEST_F(TopicTrafficTest, TheLogNamesTheOriginOfAConfiguration) {
  auto Out = updateFrom("b");
  EXPECT_EQ(loggedField(Out, "config-in-force", "from"), "b");
  EXPECT_EQ(loggedField(Out, "config-in-force", "bytes"), "1000");
  EXPECT_EQ(loggedField(Out, "config-in-force", "previous"), "5");
  Out = operatorRecord("config", 50, config(10));
  EXPECT_EQ(loggedField(Out, "config-in-force", "from"), "store");
  EXPECT_EQ(loggedField(Out, "config-in-force", "bytes"), "1");
  EXPECT_EQ(loggedField(Out, "config-in-force", "previous"), "9");
  EXPECT_EQ(Reducer.configVersion(), 10U);
  EXPECT_EQ(Reducer.configBytes(), 1U);
}

// Guards against a daemon that is ready without saying that it had none before.
TEST_F(SidecarTest, TheFirstConfigurationHasNoPreviousOne) {
  tick();
  EXPECT_FALSE(Reducer.configVersion());
  EXPECT_EQ(Reducer.configBytes(), 0U);
  auto Out = operatorRecord("config", 1, config(5));
  EXPECT_EQ(loggedField(Out, "config-in-force", "previous"), "none");
}

// Guards against copies of a known configuration that fill the links unseen:
// the metrics had only the bytes of all messages together.
TEST_F(TopicTrafficTest, RecordsThatWereKnownAreCountedAsRepeated) {
  RecordVolume One{1, 1000};
  auto Out = updateFrom("b");
  EXPECT_EQ(counted(Out, TopicFlow::FromDaemon), One);
  EXPECT_EQ(counted(Out, TopicFlow::RepeatedFromDaemon), RecordVolume{});
  Out = updateFrom("c");
  EXPECT_EQ(counted(Out, TopicFlow::FromDaemon), One);
  EXPECT_EQ(counted(Out, TopicFlow::RepeatedFromDaemon), One);
  Out = apply(TopicRecords{Topic::Operator, {Record}, 41, 0});
  EXPECT_EQ(counted(Out, TopicFlow::FromStore), One);
  EXPECT_EQ(counted(Out, TopicFlow::RepeatedFromStore), One);
  EXPECT_EQ(counted(Out, TopicFlow::FromDaemon), RecordVolume{});
}

// A key that a snapshot lacks gives a tombstone, which was not received: the
// number of repeated records would wrap around.
TEST_F(TopicTrafficTest, AKeyMissingInASnapshotIsNotCountedAsReceived) {
  operatorRecord("evacuate/a", 41, Evacuation{"a", true});
  auto Out = apply(TopicSnapshot{Topic::Operator, {Record}, 60, 0});
  EXPECT_EQ(counted(Out, TopicFlow::FromStore), (RecordVolume{1, 1000}));
  EXPECT_EQ(counted(Out, TopicFlow::RepeatedFromStore), RecordVolume{});
}

// Guards against a source whose link is full of copies of one configuration
// while no metric says so.
TEST_F(TopicTrafficTest, EachCopyThatIsSentIsCounted) {
  reply("a", TopicSubscribe{{2, 5}});
  reply("b", TopicSubscribe{{2, 5}});
  auto Out = updateFrom("c");
  EXPECT_EQ(messages<TopicUpdate>(Out).size(), 2U);
  EXPECT_EQ(counted(Out, TopicFlow::Sent), (RecordVolume{2, 2000}));
  Out = reply("a", TopicSubscribe{{2, 5}});
  EXPECT_EQ(counted(Out, TopicFlow::Sent), (RecordVolume{1, 1000}))
      << "the answer to a subscription carries the record again";
}
