// TopicsTest.cpp - Tests of announcements, topic images, shared store reads,
// host expiry and peer health.

#include "HostExpiry.h"
#include "Instance.h"
#include "SidecarTestSupport.h"
#include "TopicFollower.h"
#include "TopicImage.h"
#include "TopicPublisher.h"
#include "TopicRelay.h"

#include "figsail/Epoch.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;

namespace {

// Announcements.

TEST(Announcement, IsDecodedAsEncoded) {
  Announcement Original = announcement("10.0.0.2:7000");
  Original.Order = {3, ~0ULL, 9};
  Original.State = InstanceState::Draining;
  auto Decoded = decodeAnnouncement(encodeAnnouncement(Original));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded->Order, Original.Order);
  EXPECT_EQ(Decoded->State, Original.State);
  EXPECT_EQ(Decoded->Instance, Original.Instance);
}

// Bytes of another writer must not stop the daemon or list a server.
TEST(Announcement, IsNotDecodedFromForeignBytes) {
  std::string Good = encodeAnnouncement(announcement("10.0.0.2:7000"));
  for (const std::string &Bad :
       {std::string(), std::string("{}"), std::string("[1]"),
        std::string("\xff\xfe"), Good.substr(0, Good.size() - 5),
        std::string(R"({"host":1,"state":9})")})
    EXPECT_FALSE(decodeAnnouncement(Bad)) << Bad;
}

// An append without an answer may take effect seconds later, after the next
// incarnation of the daemon has announced itself.
TEST(InstanceDirectory, ALateAnnouncementOfAnEarlierIncarnationIsIgnored) {
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

// The address of a removed server may be reused by another service.
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

// Records come from the store and from peers, in any order and more than once.
// Every daemon must end with the same image.
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

// Guards against an image that fills up: hosts are replaced at new addresses,
// and the image never evicted a key and accepted no new ones after 100,000.
TEST(TopicImage, OldTombstonesAreEvicted) {
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
  EXPECT_EQ(Newest->At, At - 1) << "the newest tombstones stay for peers";
}

TEST(TopicImage, AnOlderSnapshotDropsNoNewerKey) {
  TopicImage Image;
  Image.apply({8, {record("evacuate/a", 7)}});
  EXPECT_TRUE(Image.applySnapshot({5, {}}).empty());
}

// Reading.

static TopicReadFailed failedRead(const std::string &Reason,
                                  std::uint64_t Bytes = 0) {
  return {Topic::Operator, Reason, 0, Bytes};
}

// A store that loses a delayed read must not delay a configuration beyond the
// time in which it must be in force.
TEST(TopicFollower, BoundsTheLongPollTimeout) {
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
  EXPECT_LE(Reads[0].Wait, 1500ms)
      << "a configuration must be in force everywhere in 2.5 s";
}

TEST(TopicFollower, RetriesSoonWithoutLongPoll) {
  TopicFollower Follower(Topic::Operator);
  SidecarEffects Out;
  Follower.timer(TestStart, 0, Out);
  Follower.timer(TestStart + 100ms, 0, Out);
  Follower.readDone(TestStart, 4, true, Out);
  for (int I = 0; I < 20; ++I)
    Follower.readFailed(TestStart, 12345, failedRead("no answer"), Out);
  EXPECT_FALSE(Follower.live());
  EXPECT_LE(Follower.nextWake(), TestStart + 1s);
  Out.clear();
  Follower.timer(Follower.nextWake(), 4, Out);
  auto Reads = effects<ReadTopic>(Out);
  ASSERT_EQ(Reads.size(), 1U);
  EXPECT_EQ(Reads[0].Wait, Duration(0));
}

TEST(TopicFollower, LogsTheFirstFailureAndTheRecovery) {
  TopicFollower Follower(Topic::Members);
  SidecarEffects Out;
  Follower.timer(TestStart, 0, Out);
  Follower.readFailed(TestStart, 1, failedRead("status 503"), Out);
  EXPECT_TRUE(logged(Out, "store-lost"));
  Out.clear();
  Follower.timer(TestStart + 2s, 0, Out);
  Follower.readFailed(TestStart + 2s, 1, failedRead("status 503"), Out);
  EXPECT_FALSE(logged(Out, "store-lost"));
  Follower.timer(TestStart + 4s, 0, Out);
  Follower.readDone(TestStart + 4s, 0, false, Out);
  EXPECT_TRUE(logged(Out, "store-reached"));
}

// Guards against answers that are given up one after the other, unseen, while
// they fill a link: the log said once that the store does not answer.
TEST(TopicFollower, EachAnswerThatIsGivenUpIsLogged) {
  TopicFollower Follower(Topic::Operator);
  SidecarEffects Out;
  Follower.readFailed(TestStart, 1, failedRead("no answer", 900000), Out);
  EXPECT_EQ(loggedField(Out, "store-lost", "bytes"), "900000");
  Out.clear();
  Follower.readFailed(TestStart + 2s, 1, failedRead("no answer", 700000), Out);
  EXPECT_EQ(loggedField(Out, "store-read-abandoned", "bytes"), "700000");
}

TEST(TopicFollower, StartsOverWhenRecordsAreTruncated) {
  TopicFollower Follower(Topic::Operator);
  SidecarEffects Out;
  Follower.timer(TestStart, 0, Out);
  Follower.readDone(TestStart, 4, false, Out);
  Out.clear();
  Follower.readTruncated(Out);
  EXPECT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
}

// Guards against a daemon that reads every version of a large configuration
// after an outage, although only the newest counts.
TEST(TopicFollower, AReaderThatIsFarBehindReadsTheNewestRecords) {
  TopicFollower Follower(Topic::Operator);
  SidecarEffects Out;
  Follower.skipSnapshot();
  Follower.readDone(TestStart, 4, true, Out);
  Out.clear();
  Follower.pageDone(TestStart, 5, Out);
  EXPECT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
  EXPECT_FALSE(Follower.live()) << "it lacks records";
  Out.clear();
  Follower.readDone(TestStart, 9, false, Out);
  auto Reads = effects<ReadTopic>(Out);
  ASSERT_EQ(Reads.size(), 1U);
  EXPECT_EQ(Reads[0].From, 9);
  EXPECT_TRUE(Follower.live());
}

// Guards against a pause after each page of a long list of hosts.
TEST(TopicFollower, ThePagesOfTheMembersFollowEachOther) {
  TopicFollower Follower(Topic::Members);
  SidecarEffects Out;
  Follower.skipSnapshot();
  Follower.readDone(TestStart, 4, false, Out);
  Out.clear();
  Follower.pageDone(TestStart, 900, Out);
  auto Reads = effects<ReadTopic>(Out);
  ASSERT_EQ(Reads.size(), 1U);
  EXPECT_EQ(Reads[0].From, 900);
}

// Sharing of reads.

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
    auto Request = [](const HostId &) { return TopicSubscribe{{0, 0}, 0}; };
    Relay.timer(Now, Directory, Peers, Request, Out);
  }
  InstanceDirectory Directory;
  PeerHealth Peers;
  SidecarEffects Out;
  HostId First, Second; ///< In the order of their hashes: First is the source.
};

TEST_F(TopicRelayTest, OneDaemonOfADomainReadsTheStore) {
  TopicRelay Reader(First, "east-a");
  TopicRelay Subscriber(Second, "east-a");
  tick(Reader, TestStart);
  EXPECT_TRUE(Reader.readsStore(TestStart));
  tick(Subscriber, TestStart);
  auto Requests = messages<TopicSubscribe>(Out);
  ASSERT_EQ(Requests.size(), 1U);
  EXPECT_EQ(Requests[0].first, First);
  EXPECT_FALSE(Subscriber.readsStore(TestStart))
      << "the source may still answer";
  EXPECT_TRUE(Subscriber.readsStore(TestStart + 200ms))
      << "the source has not answered";
  Subscriber.updateReceived(TestStart, First, {true, true, {}});
  EXPECT_FALSE(Subscriber.readsStore(TestStart + 1s));
}

// Otherwise a reader that crashed or lost the store would keep a configuration
// from its whole failure domain.
TEST_F(TopicRelayTest, ReadsTheStoreWhenItsSourceDoesNot) {
  TopicRelay Subscriber(Second, "east-a");
  tick(Subscriber, TestStart);
  Subscriber.updateReceived(TestStart, First, {true, true, {}});
  EXPECT_TRUE(Subscriber.readsStore(TestStart + 1500ms))
      << "the source is silent";
  Subscriber.updateReceived(TestStart + 2s, First, {true, true, {}});
  Subscriber.updateReceived(TestStart + 2s, First, {false, true, {}});
  EXPECT_TRUE(Subscriber.readsStore(TestStart + 2s))
      << "the source has lost the store";
}

TEST_F(TopicRelayTest, ASuspectedSourceIsReplaced) {
  TopicRelay Subscriber(Second, "east-a");
  Peers.markUnreachable(TestStart, First, Out);
  tick(Subscriber, TestStart);
  EXPECT_TRUE(messages<TopicSubscribe>(Out).empty());
  EXPECT_TRUE(Subscriber.readsStore(TestStart + 200ms));
}

// Guards against changes of the source, and reads of the store in its place,
// whose reason no log shows.
TEST_F(TopicRelayTest, LogsWhyTheSourceOrTheReadingChanges) {
  TopicRelay Subscriber(Second, "east-a");
  tick(Subscriber, TestStart);
  EXPECT_EQ(loggedField(Out, "topic-source", "reason"), "first");
  EXPECT_EQ(loggedField(Out, "topic-source", "before"), "none");
  EXPECT_EQ(loggedField(Out, "topic-reading", "reason"), "asked");
  tick(Subscriber, TestStart + 1s);
  EXPECT_EQ(loggedField(Out, "topic-reading", "reason"), "silent");
  EXPECT_EQ(loggedField(Out, "topic-reading", "from"), "store");
  Subscriber.updateReceived(TestStart + 1s, First, {true, true, {}});
  tick(Subscriber, TestStart + 2s);
  EXPECT_EQ(loggedField(Out, "topic-reading", "reason"), "live");
  EXPECT_EQ(loggedField(Out, "topic-reading", "from"), First);
  Subscriber.updateReceived(TestStart + 2s, First, {false, true, {}});
  tick(Subscriber, TestStart + 3s);
  EXPECT_EQ(loggedField(Out, "topic-reading", "reason"), "behind");
  EXPECT_FALSE(logged(Out, "topic-source"));
  Peers.markUnreachable(TestStart + 3s, First, Out);
  tick(Subscriber, TestStart + 4s);
  EXPECT_EQ(loggedField(Out, "topic-source", "reason"), "unreachable");
  EXPECT_EQ(loggedField(Out, "topic-source", "before"), First);
  EXPECT_FALSE(logged(Out, "topic-reading")) << "it still reads the store";
  Peers.markReachable(First, Out);
  tick(Subscriber, TestStart + 5s);
  EXPECT_EQ(loggedField(Out, "topic-source", "reason"), "other");
}

// Guards against a reader that sends updates to all hosts of its domain: at 300
// hosts, the busiest daemon of a sweep sent and received 897 kB/s, growing with
// the number of hosts.
TEST_F(TopicRelayTest, ASourceHasAtMostEightSubscribers) {
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

// Two daemons that each consider the other up to date would miss all updates.
TEST_F(TopicRelayTest, IsUpToDateOnlyAfterAnAnswer) {
  TopicRelay Subscriber(Second, "east-a");
  tick(Subscriber, TestStart);
  EXPECT_FALSE(Subscriber.hasLiveSource(TestStart))
      << "there is no answer of the source yet";
  Subscriber.updateReceived(TestStart, First, {true, true, {}});
  EXPECT_TRUE(Subscriber.hasLiveSource(TestStart + 1s));
  EXPECT_FALSE(Subscriber.hasLiveSource(TestStart + 1500ms))
      << "the source is silent";
  Subscriber.updateReceived(TestStart + 2s, First, {false, true, {}});
  EXPECT_FALSE(Subscriber.hasLiveSource(TestStart + 2s))
      << "the source is not up to date";
}

TEST(TopicPublisher, SubscriptionsExpire) {
  TopicPublisher Publisher;
  Publisher.subscribe(TestStart, {"b", 1}, {{0, 0}, 0}, 0);
  EXPECT_EQ(Publisher.subscribers(TestStart + 1s).size(), 1U);
  EXPECT_TRUE(Publisher.subscribers(TestStart + 3s).empty());
}

// Hosts that no longer exist.

/// A daemon that knows hosts a to d, in virtual time.
struct HostExpiryTest : testing::Test {
  HostExpiryTest() {
    for (const char *Host : {"self", "a", "b", "c", "d"})
      Directory.merge(announcement(Host));
  }
  /// Advances the time while the listed hosts answer. Returns the hosts to
  /// remove.
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
  SidecarEffects Effects; ///< Of the last step.
  HostExpiry Expiry;
};

// Guards against replaced hosts that stay in the topic forever: each took a
// share of the retry budget and was probed more than once a second.
TEST_F(HostExpiryTest, AHostThatStaysSilentIsRemoved) {
  EXPECT_TRUE(advance(9min, {"a", "b", "c"}).empty())
      << "the host may come back";
  auto Dropped = advance(2min, {"a", "b", "c"});
  ASSERT_FALSE(Dropped.empty());
  EXPECT_EQ(Dropped[0], "d");
}

TEST_F(HostExpiryTest, AHostThatAnswersStays) {
  advance(9min, {"a", "b", "c"});
  Expiry.markReachable(Now, "d");
  EXPECT_TRUE(advance(9min, {"a", "b", "c"}).empty());
  EXPECT_EQ(messages<Probe>(Effects).size(), 1U)
      << "only the silent host is probed";
}

// A partitioned daemon would otherwise remove all others.
TEST_F(HostExpiryTest, APartitionedDaemonRemovesNoHost) {
  EXPECT_TRUE(advance(1h, {"a"}).empty());
}

// Without probes, silence only means that there was nothing to send.
TEST_F(HostExpiryTest, NoHostIsRemovedWithoutProbes) {
  Expiry.timer(Now, "self", Directory, Effects);
  Now += 1h;
  for (const char *Host : {"a", "b", "c"})
    Expiry.markReachable(Now, Host);
  EXPECT_FALSE(Expiry.timer(Now, "self", Directory, Effects));
  EXPECT_EQ(messages<Probe>(Effects).size(), 1U);
}

// The probes of one step must not open links to all hosts of a large system.
TEST_F(HostExpiryTest, FewHostsAreProbedAtOnce) {
  for (int I = 0; I < 500; ++I)
    Directory.merge(announcement("h" + std::to_string(I)));
  advance(5min, {});
  EXPECT_EQ(messages<Probe>(Effects).size(), 32U);
}

// Reachability.

TEST(PeerHealth, ProbesOnNewLinksUntilAMessageArrives) {
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
