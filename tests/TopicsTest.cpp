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
  Follower.readTruncated(TestStart, Out);
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
  void tick(TopicRelay &Relay, TimePoint Now, bool Failing = false) {
    Out.clear();
    auto Request = [](const HostId &) { return TopicSubscribe{{0, 0}, 0}; };
    Relay.timer(Now, Directory, Peers, Failing, Request, Out);
  }
  /// The update of a source whose reads of the store fail.
  static TopicUpdate failingUpdate() {
    TopicUpdate Update{false, true, {}};
    Update.StoreFailing = true;
    return Update;
  }
  /// Adds a third host to the domain and sorts the three by their hashes.
  std::vector<HostId> threeHosts() {
    Directory.merge(announcement("c"));
    std::vector<HostId> Hosts{"a", "b", "c"};
    std::ranges::sort(Hosts, {},
                      [](const HostId &Host) { return hashText(Host); });
    return Hosts;
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
  Subscriber.updateReceived(TestStart + 2s, First, failingUpdate());
  EXPECT_LE(Subscriber.nextWake(), TestStart + 2s);
  tick(Subscriber, TestStart + 2s);
  EXPECT_TRUE(Subscriber.readsStore(TestStart + 2s))
      << "the source has lost the store";
}

// Guards against a whole domain that reads the store when its reader is cut
// off, and against one that keeps to that reader: the next daemon in the order
// takes its place, and the others subscribe to that one.
TEST_F(TopicRelayTest, TheNextDaemonReadsTheStoreForAReaderThatFails) {
  std::vector<HostId> Hosts = threeHosts();
  TopicRelay Last(Hosts[2], "east-a");
  tick(Last, TestStart);
  Last.updateReceived(TestStart, Hosts[0], {true, true, {}});
  Last.updateReceived(TestStart + 1s, Hosts[0], failingUpdate());
  EXPECT_FALSE(Last.hasLiveSource(TestStart + 1s));
  tick(Last, TestStart + 1s);
  EXPECT_EQ(loggedField(Out, "topic-source", "reason"), "failing");
  auto Requests = messages<TopicSubscribe>(Out);
  ASSERT_EQ(Requests.size(), 1U);
  EXPECT_EQ(Requests[0].first, Hosts[1]);
  EXPECT_FALSE(Last.readsStore(TestStart + 1s));
  tick(Last, TestStart + 5s);
  EXPECT_EQ(loggedField(Out, "topic-source", "source"), Hosts[0])
      << "the first one is tried again";
}

// Guards against a store that serves nobody and is asked by more and more
// daemons, as fast as they can be refused.
TEST_F(TopicRelayTest, FurtherReadersThatFailAreReplacedSlowly) {
  std::vector<HostId> Hosts = threeHosts();
  TopicRelay Last(Hosts[2], "east-a");
  tick(Last, TestStart);
  Last.updateReceived(TestStart, Hosts[0], failingUpdate());
  tick(Last, TestStart);
  Last.updateReceived(TestStart, Hosts[1], failingUpdate());
  for (Duration After : {0ms, 200ms, 400ms}) {
    Last.updateReceived(TestStart + After, Hosts[1], failingUpdate());
    tick(Last, TestStart + After);
    EXPECT_FALSE(Last.readsStore(TestStart + After)) << After.count();
  }
  tick(Last, TestStart + 700ms);
  EXPECT_TRUE(Last.readsStore(TestStart + 700ms)) << "none before it is left";
}

// Guards against a host that is cut off from the store and keeps an old
// configuration though its neighbours have the new one; and against daemons
// that count as up to date through each other.
TEST_F(TopicRelayTest, AReaderThatFailsSubscribesToTheNextDaemon) {
  TopicRelay Reader(First, "east-a");
  tick(Reader, TestStart);
  tick(Reader, TestStart + 1s, true);
  auto Requests = messages<TopicSubscribe>(Out);
  ASSERT_EQ(Requests.size(), 1U);
  EXPECT_EQ(Requests[0].first, Second);
  EXPECT_TRUE(Reader.readsStore(TestStart + 1s)) << "it keeps trying";
  EXPECT_TRUE(Reader.isReader());
  Reader.updateReceived(TestStart + 1s, Second, {true, true, {}});
  EXPECT_TRUE(Reader.hasLiveSource(TestStart + 1s));
  Reader.updateReceived(TestStart + 2s, Second, failingUpdate());
  EXPECT_FALSE(Reader.hasLiveSource(TestStart + 2s));
}

// Guards against CONFIG (review/1): a daemon whose read of the store had no
// answer vouched for its configuration until the read timed out.
TEST(TopicFollower, AReadThatIsOverdueIsNotLive) {
  TopicFollower Follower(Topic::Operator);
  SidecarEffects Out;
  Follower.skipSnapshot();
  Follower.readDone(TestStart, 4, true, Out);
  TimePoint Asked = TestStart + 1s;
  Follower.timer(Asked, 4, Out);
  Follower.readDone(Asked, 4, false, Out);
  Follower.timer(Asked + 1100ms, 4, Out);
  EXPECT_TRUE(Follower.live()) << "the store was asked to wait";
  TimePoint Overdue = Follower.nextWake();
  EXPECT_LE(Overdue, Asked + 1500ms)
      << "the configuration must be in force in 2.5 s";
  Follower.timer(Overdue, 4, Out);
  EXPECT_FALSE(Follower.live());
  EXPECT_TRUE(Follower.failing());
  EXPECT_GT(Follower.nextWake(), Overdue) << "it is noticed once";
  Follower.readDone(Overdue + 50ms, 4, false, Out);
  EXPECT_TRUE(Follower.live());
}

/// A follower whose first read has had no answer for as long as it waits for
/// one, and the hedged read that follows.
struct HedgedFollowerTest : testing::Test {
  HedgedFollowerTest() {
    Follower.timer(TestStart, 0, Out);
    Follower.readFailed(Failed, 1, failedRead("no answer"), Out);
    Out.clear();
    Follower.timer(Failed, 0, Out);
  }
  void hedgeFails(TimePoint At) {
    TopicReadFailed Failure = failedRead("no answer");
    Failure.Hedged = true;
    Follower.readFailed(At, 1, Failure, Out);
  }

  TopicFollower Follower{Topic::Members};
  TimePoint Failed = TestStart + MinStoreTimeout;
  SidecarEffects Out;
};

// Guards against RECOVER (issue 51): a store that is slow counted as one that
// is away, and each read of it was given up.
TEST_F(HedgedFollowerTest, AReadWithoutAnAnswerIsHedgedAndTriedAgain) {
  auto Hedged = effects<ReadTopicSnapshot>(Out);
  ASSERT_EQ(Hedged.size(), 1U);
  EXPECT_GE(Hedged[0].HedgeTimeout, 10s) << "the slowest answers tested";
  Out.clear();
  Follower.timer(Failed + 1s, 0, Out);
  auto Retried = effects<ReadTopicSnapshot>(Out);
  ASSERT_EQ(Retried.size(), 1U) << "the store may be back";
  EXPECT_EQ(Retried[0].HedgeTimeout, Duration(0));
}

TEST_F(HedgedFollowerTest, TheFirstAnswerEndsTheOtherRead) {
  Follower.timer(Failed + 1s, 0, Out);
  Out.clear();
  Follower.answered(Failed + 2500ms, true, Out);
  EXPECT_EQ(effects<AbandonReads>(Out).size(), 1U);
  EXPECT_EQ(Follower.answerTime(Failed + 3s), 2500ms);
  EXPECT_EQ(Follower.answerTime(Failed + 1min), 0s) << "it may be faster now";
  Follower.readDone(Failed + 2500ms, 4, false, Out);
  EXPECT_TRUE(Follower.complete());
  EXPECT_TRUE(Follower.live());
  EXPECT_FALSE(Follower.confirmed()) << "it may have changed since";
}

// Guards against a store that is refused more than once for one answer.
TEST(TopicFollower, ARefusedReadIsNotHedged) {
  TopicFollower Follower(Topic::Members);
  SidecarEffects Out;
  Follower.timer(TestStart, 0, Out);
  Follower.readFailed(TestStart + 10ms, 1, failedRead("status 503"), Out);
  Out.clear();
  Follower.timer(TestStart + 2s, 0, Out);
  EXPECT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
}

TEST_F(HedgedFollowerTest, ALongerSilenceGetsALongerTimeout) {
  Duration First = effects<ReadTopicSnapshot>(Out).at(0).HedgeTimeout;
  hedgeFails(Failed + First);
  Follower.timer(Failed + First, 0, Out);
  Follower.readFailed(Failed + First + MinStoreTimeout, 1,
                      failedRead("no answer"), Out);
  Out.clear();
  Follower.timer(Failed + First + MinStoreTimeout, 0, Out);
  auto Second = effects<ReadTopicSnapshot>(Out);
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_EQ(Second[0].HedgeTimeout, 2 * First);
}

// Guards against two copies of a large answer on a link that was too slow for
// one (issue 38).
TEST_F(HedgedFollowerTest, ALargeAnswerIsReceivedOnceAtATime) {
  Follower.timer(Failed + 1s, 0, Out);
  Follower.readFailed(Failed + 5s, 1, failedRead("no answer", 900000), Out);
  Out.clear();
  Follower.timer(Failed + 10s, 0, Out);
  EXPECT_TRUE(effects<ReadTopicSnapshot>(Out).empty());
  hedgeFails(Failed + 15s);
  Follower.timer(Failed + 15s, 0, Out);
  EXPECT_EQ(effects<ReadTopicSnapshot>(Out).size(), 1U);
}

// Guards against offsets of an ended history in the answer to a hedged read.
TEST_F(HedgedFollowerTest, AHedgedReadOfAnEndedHistoryIsDiscarded) {
  Follower.timer(Failed + 1s, 0, Out);
  Follower.answered(Failed + 2s, true, Out);
  Follower.restart(Failed + 2s);
  EXPECT_TRUE(Follower.discardStaleRead(Failed + 2s, Out));
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
  EXPECT_EQ(loggedField(Out, "topic-source", "reason"), "behind");
  EXPECT_EQ(loggedField(Out, "topic-source", "before"), First);
  EXPECT_EQ(loggedField(Out, "topic-reading", "reason"), "own-source");
  tick(Subscriber, TestStart + 7s);
  EXPECT_EQ(loggedField(Out, "topic-source", "reason"), "other");
  EXPECT_EQ(loggedField(Out, "topic-reading", "reason"), "asked");
  Peers.markUnreachable(TestStart + 7s, First, Out);
  tick(Subscriber, TestStart + 8s);
  EXPECT_EQ(loggedField(Out, "topic-source", "reason"), "unreachable");
  EXPECT_EQ(loggedField(Out, "topic-source", "before"), First);
  EXPECT_EQ(loggedField(Out, "topic-reading", "reason"), "own-source");
  Peers.markReachable(First, Out);
  tick(Subscriber, TestStart + 9s);
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
