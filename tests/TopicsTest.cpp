// TopicsTest.cpp - Announcements, images of topics, and who reads the store.

#include "HostExpiry.h"
#include "Instance.h"
#include "SidecarTestSupport.h"
#include "TopicFollower.h"
#include "TopicImage.h"
#include "TopicRelay.h"

#include "figsail/Epoch.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;

namespace {

// Announcements.

TEST(Announcement, SurvivesItsRecord) {
  Announcement Original = announcement("10.0.0.2:7000");
  Original.Order = {3, ~0ULL, 9};
  Original.State = InstanceState::Draining;
  auto Decoded = decodeAnnouncement(encodeAnnouncement(Original));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded->Order, Original.Order);
  EXPECT_EQ(Decoded->State, Original.State);
  EXPECT_EQ(Decoded->Instance, Original.Instance);
}

// Another writer's bytes must not stop the daemon or name a server.
TEST(Announcement, IsNotReadFromForeignBytes) {
  std::string Good = encodeAnnouncement(announcement("10.0.0.2:7000"));
  for (const std::string &Bad :
       {std::string(), std::string("{}"), std::string("[1]"),
        std::string("\xff\xfe"), Good.substr(0, Good.size() - 5),
        std::string(R"({"host":1,"state":9})")})
    EXPECT_FALSE(decodeAnnouncement(Bad)) << Bad;
}

// An append without an answer may take effect seconds later, after the next
// daemon of the host has announced itself.
TEST(InstanceDirectory, ALateAnnouncementOfAnEarlierDaemonLoses) {
  InstanceDirectory Directory;
  Announcement New = announcement("a");
  New.Order = {5, 1, 1};
  Announcement Old = announcement("a");
  Old.Order = {4, 9, 99};
  Old.Service = "other";
  EXPECT_TRUE(Directory.merge(New));
  EXPECT_FALSE(Directory.merge(Old));
  EXPECT_EQ(Directory.ready("booking").size(), 1U);
  EXPECT_TRUE(Directory.ready("other").empty());
}

// The address of a server that is gone is used again by another service.
TEST(InstanceDirectory, AHostServesOneServiceAtATime) {
  InstanceDirectory Directory;
  Directory.merge(announcement("a"));
  Announcement Next = announcement("a", "other");
  Next.Order.Counter = 2;
  Directory.merge(Next);
  EXPECT_TRUE(Directory.ready("booking").empty());
  EXPECT_EQ(Directory.ready("other").size(), 1U);
  Next.Order.Counter = 3;
  Next.State = InstanceState::Draining;
  Directory.merge(Next);
  EXPECT_TRUE(Directory.ready("other").empty());
}

// Images.

KeyedRecord record(const std::string &Key, Offset At,
                   std::optional<std::string> Value = "v") {
  return {Key, std::move(Value), At};
}

// Records come from the store and from peers, in any order and repeated; each
// daemon must end with the same image.
RC_GTEST_PROP(TopicImage, TheOrderOfArrivalDoesNotMatter, ()) {
  auto Keys = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5)));
  std::vector<KeyedRecord> Log;
  for (std::size_t I = 0; I < Keys.size(); ++I)
    Log.push_back(
        record(std::to_string(Keys[I]), Offset(I), "v" + std::to_string(I)));
  TopicImage InOrder;
  InOrder.apply({Offset(Log.size()), Log});
  TopicImage Shuffled;
  for (std::size_t I = 0; I < 2 * Log.size(); ++I)
    Shuffled.apply({0, {Log[*rc::gen::inRange<std::size_t>(0, Log.size())]}});
  for (std::size_t I = Log.size(); I-- > 0;)
    Shuffled.apply({Offset(I + 1), {Log[I]}});
  RC_ASSERT(Shuffled.since(0).Records == InOrder.since(0).Records);
  RC_ASSERT(Shuffled.next() == InOrder.next());
}

TEST(TopicImage, AKeyMissingInASnapshotWasDropped) {
  TopicImage Image;
  Image.apply({3, {record("evacuate/a", 1), record("config", 2)}});
  auto Applied = Image.applySnapshot({9, {record("config", 2)}});
  ASSERT_EQ(Applied.size(), 1U);
  EXPECT_EQ(Applied[0].Key, "evacuate/a");
  EXPECT_FALSE(Applied[0].Value);
}

// Hosts come and go at new addresses; the image took no new keys after 100,000
// and never forgot one.
TEST(TopicImage, DroppedKeysAreForgottenInTheEnd) {
  TopicImage Image;
  Offset At = 0;
  for (int I = 0; I < 5000; ++I) {
    std::string Key = "host" + std::to_string(I);
    Image.apply({At + 1, {record(Key, At)}});
    Image.apply({At + 2, {{Key, std::nullopt, At + 1}}});
    At += 2;
  }
  auto Kept = Image.since(0).Records;
  EXPECT_LE(Kept.size(), 1000U);
  auto Newest = std::ranges::max_element(Kept, {}, &KeyedRecord::At);
  EXPECT_EQ(Newest->At, At - 1) << "the newest ones stay for peers";
}

TEST(TopicImage, ASnapshotThatIsOlderDropsNothingNewer) {
  TopicImage Image;
  Image.apply({8, {record("evacuate/a", 7)}});
  EXPECT_TRUE(Image.applySnapshot({5, {}}).empty());
}

// Following.

// A store that forgets a held read must not delay a configuration beyond the
// time in which it must be in force.
TEST(TopicFollower, DoesNotHoldReadsForLong) {
  TopicFollower Follower(Topic::Operator);
  SidecarEffects Out;
  Follower.timer(TestStart, 0, Out);
  Follower.timer(TestStart + 100ms, 0, Out);
  ASSERT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
  Follower.readDone(TestStart, 4, true, Out);
  Follower.timer(TestStart + 200ms, 4, Out);
  auto Reads = effects<ReadTopic>(Out);
  ASSERT_EQ(Reads.size(), 1U);
  EXPECT_EQ(Reads[0].From, 4);
  EXPECT_LE(Reads[0].Wait, 1500ms) << "2.5 s to be in force everywhere";
}

TEST(TopicFollower, ComesBackSoonAndAsksWithoutWaiting) {
  TopicFollower Follower(Topic::Operator);
  SidecarEffects Out;
  Follower.timer(TestStart, 0, Out);
  Follower.timer(TestStart + 100ms, 0, Out);
  Follower.readDone(TestStart, 4, true, Out);
  for (int I = 0; I < 20; ++I)
    Follower.readFailed(TestStart, 12345, "no answer", Out);
  EXPECT_FALSE(Follower.live());
  EXPECT_LE(Follower.nextWake(), TestStart + 1s);
  Out.clear();
  Follower.timer(Follower.nextWake(), 4, Out);
  auto Reads = effects<ReadTopic>(Out);
  ASSERT_EQ(Reads.size(), 1U);
  EXPECT_EQ(Reads[0].Wait, Duration(0));
}

TEST(TopicFollower, LogsTheLossOnceAndTheReturn) {
  TopicFollower Follower(Topic::Members);
  SidecarEffects Out;
  Follower.timer(TestStart, 0, Out);
  Follower.readFailed(TestStart, 1, "status 503", Out);
  EXPECT_TRUE(logged(Out, "store-lost"));
  Out.clear();
  Follower.timer(TestStart + 2s, 0, Out);
  Follower.readFailed(TestStart + 2s, 1, "status 503", Out);
  EXPECT_FALSE(logged(Out, "store-lost"));
  Follower.timer(TestStart + 4s, 0, Out);
  Follower.readDone(TestStart + 4s, 0, false, Out);
  EXPECT_TRUE(logged(Out, "store-reached"));
}

TEST(TopicFollower, StartsOverWhenRecordsAreGone) {
  TopicFollower Follower(Topic::Operator);
  SidecarEffects Out;
  Follower.timer(TestStart, 0, Out);
  Follower.readDone(TestStart, 4, false, Out);
  Out.clear();
  Follower.readTruncated(Out);
  EXPECT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
}

// Sharing.

struct TopicRelayTest : testing::Test {
  TopicRelayTest() {
    Directory.merge(announcement("a"));
    Directory.merge(announcement("b"));
    Directory.merge(announcement("far", "booking", "east-b"));
    First = hashText("a") < hashText("b") ? "a" : "b";
    Second = First == "a" ? "b" : "a";
  }
  void tick(TopicRelay &Relay, TimePoint Now) {
    Out.clear();
    Relay.timer(Now, Directory, Peers, {{0, 0}, 0}, Out);
  }
  InstanceDirectory Directory;
  PeerHealth Peers;
  SidecarEffects Out;
  HostId First, Second; ///< In the order in which they are chosen.
};

TEST_F(TopicRelayTest, OneDaemonOfADomainReads) {
  TopicRelay Reader(First, "east-a");
  TopicRelay Subscriber(Second, "east-a");
  tick(Reader, TestStart);
  EXPECT_TRUE(Reader.readsStore(TestStart));
  tick(Subscriber, TestStart);
  auto Requests = messages<TopicSubscribe>(Out);
  ASSERT_EQ(Requests.size(), 1U);
  EXPECT_EQ(Requests[0].first, First);
  EXPECT_FALSE(Subscriber.readsStore(TestStart)) << "it may still answer";
  EXPECT_TRUE(Subscriber.readsStore(TestStart + 200ms))
      << "it has not answered";
  Subscriber.updateReceived(TestStart, First, {true, true, {}});
  EXPECT_FALSE(Subscriber.readsStore(TestStart + 1s));
}

// Otherwise a reader that died or lost the store would keep a configuration
// from its whole failure domain.
TEST_F(TopicRelayTest, ReadsForItselfWhenTheReaderDoesNotReachTheStore) {
  TopicRelay Subscriber(Second, "east-a");
  tick(Subscriber, TestStart);
  Subscriber.updateReceived(TestStart, First, {true, true, {}});
  EXPECT_TRUE(Subscriber.readsStore(TestStart + 1500ms)) << "silent";
  Subscriber.updateReceived(TestStart + 2s, First, {true, true, {}});
  Subscriber.updateReceived(TestStart + 2s, First, {false, true, {}});
  EXPECT_TRUE(Subscriber.readsStore(TestStart + 2s)) << "it has lost the store";
}

TEST_F(TopicRelayTest, ASuspectedReaderIsReplaced) {
  TopicRelay Subscriber(Second, "east-a");
  Peers.markUnreachable(TestStart, First, Out);
  tick(Subscriber, TestStart);
  EXPECT_TRUE(messages<TopicSubscribe>(Out).empty());
  EXPECT_TRUE(Subscriber.readsStore(TestStart + 200ms));
}

// With one reader that tells all hosts of its domain, the busiest daemon of a
// sweep moved 897 kB/s at 300 hosts, growing as the number of hosts.
TEST_F(TopicRelayTest, NoSourceIsAskedByMoreThanEight) {
  std::vector<HostId> Hosts{"a", "b"};
  for (int I = 0; I < 300; ++I) {
    Hosts.push_back("h" + std::to_string(I));
    Directory.merge(announcement(Hosts.back()));
  }
  std::map<HostId, HostId> SourceOf;
  std::map<HostId, std::size_t> SubscriberCounts;
  std::size_t Readers = 0;
  for (const HostId &Host : Hosts) {
    TopicRelay Relay(Host, "east-a");
    tick(Relay, TestStart);
    auto Requests = messages<TopicSubscribe>(Out);
    if (Requests.empty()) {
      ++Readers;
      continue;
    }
    SourceOf[Host] = Requests[0].first;
    ++SubscriberCounts[Requests[0].first];
  }
  EXPECT_EQ(Readers, 1U);
  for (const auto &[Host, Count] : SubscriberCounts)
    EXPECT_LE(Count, 8U) << Host;
  for (HostId Host : Hosts) {
    int Depth = 0;
    for (; SourceOf.contains(Host) && Depth < 100; ++Depth)
      Host = SourceOf[Host];
    EXPECT_LE(Depth, 4) << "1 + 8 + 64 + 512 hosts";
  }
}

// Two daemons that each take the other for up to date would miss all news.
TEST_F(TopicRelayTest, IsUpToDateOnlyByAnAnswer) {
  TopicRelay Subscriber(Second, "east-a");
  tick(Subscriber, TestStart);
  EXPECT_FALSE(Subscriber.hasLiveSource(TestStart)) << "the grace is no answer";
  Subscriber.updateReceived(TestStart, First, {true, true, {}});
  EXPECT_TRUE(Subscriber.hasLiveSource(TestStart + 1s));
  EXPECT_FALSE(Subscriber.hasLiveSource(TestStart + 1500ms)) << "silent";
  Subscriber.updateReceived(TestStart + 2s, First, {false, true, {}});
  EXPECT_FALSE(Subscriber.hasLiveSource(TestStart + 2s))
      << "the source is behind";
}

TEST_F(TopicRelayTest, TellsOnlyThoseThatAskedLately) {
  TopicRelay Reader(First, "east-a");
  Reader.addSubscriber(TestStart, Second);
  EXPECT_EQ(Reader.subscribers(TestStart + 1s).size(), 1U);
  EXPECT_TRUE(Reader.subscribers(TestStart + 3s).empty());
}

// Hosts that are gone.

/// A daemon that knows hosts a to d, over virtual time.
struct HostExpiryTest : testing::Test {
  HostExpiryTest() {
    for (const char *Host : {"self", "a", "b", "c", "d"})
      Directory.merge(announcement(Host));
  }
  /// Lets time pass; the hosts named answer. Returns the hosts to drop.
  std::vector<HostId> advance(Duration Time,
                              const std::vector<HostId> &Answering) {
    std::vector<HostId> Dropped;
    for (TimePoint End = Now + Time; Now < End; Now += 30s) {
      Effects.clear();
      if (auto Expired = Expiry.timer(Now, "self", Directory, Effects))
        Dropped.push_back(*Expired);
      for (const HostId &Host : Answering)
        Expiry.markReachable(Now, Host);
    }
    return Dropped;
  }
  TimePoint Now = TestStart;
  InstanceDirectory Directory;
  SidecarEffects Effects; ///< By the last step.
  HostExpiry Expiry;
};

// A host that was replaced stayed in the topic for ever: it took a share of
// the retry budget and was probed more than once a second.
TEST_F(HostExpiryTest, AHostThatStaysSilentIsDropped) {
  EXPECT_TRUE(advance(9min, {"a", "b", "c"}).empty()) << "it may come back";
  auto Dropped = advance(2min, {"a", "b", "c"});
  ASSERT_FALSE(Dropped.empty());
  EXPECT_EQ(Dropped[0], "d");
}

TEST_F(HostExpiryTest, AHostThatAnswersStays) {
  advance(9min, {"a", "b", "c"});
  Expiry.markReachable(Now, "d");
  EXPECT_TRUE(advance(9min, {"a", "b", "c"}).empty());
  EXPECT_EQ(messages<Probe>(Effects).size(), 1U) << "only the silent one";
}

// A daemon that is cut off would drop all others.
TEST_F(HostExpiryTest, ADaemonThatIsCutOffDropsNobody) {
  EXPECT_TRUE(advance(1h, {"a"}).empty());
}

// Without questions silence means only that there was nothing to say.
TEST_F(HostExpiryTest, NobodyIsDroppedUnasked) {
  Expiry.timer(Now, "self", Directory, Effects);
  Now += 1h;
  for (const char *Host : {"a", "b", "c"})
    Expiry.markReachable(Now, Host);
  EXPECT_FALSE(Expiry.timer(Now, "self", Directory, Effects));
  EXPECT_EQ(messages<Probe>(Effects).size(), 1U);
}

// The questions of one step must not open links to all of a large system.
TEST_F(HostExpiryTest, FewHostsAreAskedAtOnce) {
  for (int I = 0; I < 500; ++I)
    Directory.merge(announcement("h" + std::to_string(I)));
  advance(5min, {});
  EXPECT_EQ(messages<Probe>(Effects).size(), 32U);
}

// Reachability.

TEST(PeerHealth, ProbesOnNewLinksUntilSomethingIsHeard) {
  PeerHealth Peers;
  SidecarEffects Out;
  Peers.markUnreachable(TestStart, "a", Out);
  EXPECT_TRUE(Peers.isSuspected("a"));
  EXPECT_LE(Peers.nextWake(), TestStart + 200ms);
  Out.clear();
  Peers.timer(TestStart + 200ms, Out);
  EXPECT_EQ(effects<ResetPeer>(Out).size(), 1U);
  EXPECT_EQ(messages<Probe>(Out).size(), 1U);
  Peers.markReachable("a", Out);
  EXPECT_FALSE(Peers.isSuspected("a"));
  EXPECT_EQ(Peers.nextWake(), TimePoint::max());
}

} // namespace
