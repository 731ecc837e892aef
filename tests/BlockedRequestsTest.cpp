// BlockedRequestsTest.cpp - Who writes the record of a request that crashes
// servers, and when it ends.

#include "BlockedRequests.h"
#include "JsonRecordDecoder.h"
#include "SidecarFixture.h"

#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

constexpr std::uint64_t Crasher = 7; ///< A fingerprint.

BlockedRequest record(bool Active = true) {
  BlockedRequest Record = blockedRequest("booking", Crasher);
  Record.Active = Active;
  return Record;
}

struct BlockedRequestsTest : testing::Test {
  BlockedRequestsTest() { Blocked.setTurn("booking", 1, 4); }
  /// Returns the time until a record is due, or nothing within Limit.
  std::optional<Duration> timeUntilDue(Duration Limit) {
    for (Duration Passed{0}; Passed <= Limit; Passed += 100ms) {
      Due = Blocked.takeDue(Now + Passed);
      if (Due)
        return Passed;
    }
    return std::nullopt;
  }
  bool blocks() { return Blocked.contains(Now, "booking", Crasher); }

  TimePoint Now = TestStart;
  BlockedRequests Blocked;
  std::optional<BlockedRequest> Due;
};

TEST_F(BlockedRequestsTest, TheDaemonThatCountedTheCrashesAppendsAtOnce) {
  Blocked.block(Now, Crasher, 0s, true);
  EXPECT_EQ(timeUntilDue(0s), 0s);
  EXPECT_TRUE(Due->Active);
  EXPECT_EQ(Due->Key, record().Key);
  Blocked.appended(*Due);
  EXPECT_FALSE(timeUntilDue(5min));
}

// Guards against a record that nobody writes, since the daemon that counted the
// crashes has ended before the store had it.
TEST_F(BlockedRequestsTest, ADaemonThatHeardOfItAppendsInItsTurn) {
  Blocked.block(Now, Crasher, 0s, false);
  EXPECT_TRUE(blocks());
  EXPECT_EQ(timeUntilDue(5min), 2s);
  Blocked.apply(Now, record());
  EXPECT_FALSE(timeUntilDue(5min)) << "another daemon was first";
}

TEST_F(BlockedRequestsTest, AFailedAppendIsRepeatedAfterAPause) {
  Blocked.block(Now, Crasher, 0s, true);
  EXPECT_EQ(timeUntilDue(0s), 0s);
  EXPECT_EQ(timeUntilDue(5min), 1s);
}

TEST_F(BlockedRequestsTest, AnExpiredRecordIsRemovedOnce) {
  Blocked.block(Now, Crasher, 1min, true);
  timeUntilDue(0s);
  Blocked.appended(*Due);
  Now += 9min;
  EXPECT_FALSE(blocks());
  EXPECT_EQ(timeUntilDue(5min), 2s);
  EXPECT_FALSE(Due->Active);
  Blocked.appended(*Due);
  EXPECT_EQ(Blocked.size(), 0U);
}

// The daemons of a service that is gone remove nothing, those of others do.
TEST_F(BlockedRequestsTest, ARecordOfAnotherServiceIsRemovedLater) {
  Blocked.setTurn("payment", 0, 4);
  Blocked.apply(Now, record());
  EXPECT_FALSE(Blocked.contains(Now, "payment", Crasher));
  EXPECT_TRUE(blocks());
  Now += BlockedRequests::Lifetime;
  EXPECT_EQ(timeUntilDue(5min), 64s);
}

// Guards against a suspicion that never ends: daemons that restart count the
// time of a record from when they read it.
TEST_F(BlockedRequestsTest, ARemovalEndsWhatOnlyTheRecordSaid) {
  Blocked.apply(Now, record());
  EXPECT_TRUE(blocks());
  Blocked.apply(Now, record(false));
  EXPECT_FALSE(blocks());
}

// Guards against a record that is lost with a restored store, or removed by a
// daemon that has missed the last crash.
TEST_F(BlockedRequestsTest, ADaemonThatKnowsTheCrashesRestoresARemovedRecord) {
  Blocked.block(Now, Crasher, 0s, true);
  Blocked.apply(Now, record());
  Blocked.apply(Now, record(false));
  EXPECT_TRUE(blocks());
  EXPECT_EQ(timeUntilDue(5min), 2s);
  EXPECT_TRUE(Due->Active);
}

TEST_F(BlockedRequestsTest, TheRecordsOfAServiceAreBounded) {
  std::size_t Appended = 0;
  for (std::uint64_t I = 1; I <= 200; ++I) {
    Blocked.block(Now, I, 0s, true);
    Due = Blocked.takeDue(Now);
    if (!Due)
      continue;
    ++Appended;
    Blocked.appended(*Due);
  }
  EXPECT_EQ(Appended, 64U);
  EXPECT_TRUE(Blocked.contains(Now, "booking", 200)) << "in memory";
}

// Records of other writers.
TEST(BlockedRequestRecord, OnlyAValidRecordOfItsKeyIsRead) {
  BlockedRequest Sent = blockedRequest(std::string(600, 's'), UINT64_MAX);
  EXPECT_LE(Sent.Key.size(), 255U);
  auto Read = decodeBlockedRequest(Sent.Key, encodeBlockedRequest(Sent));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read->Service, Sent.Service);
  EXPECT_EQ(Read->Fingerprint, Sent.Fingerprint);
  EXPECT_FALSE(decodeBlockedRequest("blocked/1", encodeBlockedRequest(Sent)));
  for (const char *Odd : {"", "[]", "{}", "{\"service\":1,\"fingerprint\":7}",
                          "{\"service\":\"s\",\"fingerprint\":-1}",
                          "{\"service\":\"s\",\"fingerprint\":\"7\"}"})
    EXPECT_FALSE(decodeBlockedRequest(Sent.Key, Odd)) << Odd;
  platform::JsonRecordDecoder Decoder;
  TopicContent Content = Decoder.decode(Topic::Members, {Sent.Key, "odd", 1});
  EXPECT_TRUE(std::holds_alternative<UnusableRecord>(Content));
  Content = Decoder.decode(Topic::Members, {Sent.Key, std::nullopt, 2});
  ASSERT_TRUE(std::holds_alternative<BlockedRequest>(Content));
  EXPECT_FALSE(std::get<BlockedRequest>(Content).Active);
}

// Guards against BUDGET (review/3): the next daemon must refuse the request
// before any other daemon has told it anything.
TEST_F(SidecarTest, ANewDaemonRefusesWhatTheStoreSaysIsBlocked) {
  loadTopics();
  Decoder.Contents[record().Key + "@50"] = record();
  apply(TopicRecords{Topic::Members, {{record().Key, "x", 50}}, 51});
  reportServer(heartbeat(1));
  Execute Message;
  Message.Call = {77, 1};
  Message.Policy.Service = "booking";
  Message.BudgetMicros = Message.TargetMicros = Duration(1s).count();
  Message.Fingerprint = Crasher;
  auto Refusals = messages<Refused>(reply("a", Message));
  ASSERT_EQ(Refusals.size(), 1U);
  EXPECT_EQ(Refusals[0].second.Kind, ErrorKind::Quarantined);
  Message.Call.Sequence = 2;
  Message.Fingerprint = Crasher + 1;
  EXPECT_EQ(effects<StartRun>(reply("a", Message)).size(), 1U);
}

// Guards against BUDGET: a daemon that had just started, and announced itself
// before it knew its server, was told nothing by daemons whose link to it
// opened after that announcement.
TEST_F(SidecarTest, ADaemonIsToldOfSuspectsWhenItsServerIsAnnounced) {
  loadTopics();
  reportServer(heartbeat(1));
  reply("a", SuspectReport{Crasher, 2, true});
  Announcement Starting = announcement("b");
  Starting.Order = {2, 99, 1};
  Starting.Service.clear();
  Starting.State = InstanceState::Absent;
  memberRecord(Starting);
  auto Told = messages<SuspectReport>(apply(PeerConnected{{"b", 99}}));
  ASSERT_EQ(Told.size(), 1U) << "its service is not known yet";
  Announcement Serving = announcement("b");
  Serving.Order = {2, 99, 2};
  Told = messages<SuspectReport>(memberRecord(Serving));
  ASSERT_EQ(Told.size(), 1U);
  EXPECT_EQ(Told[0].first, "b");
  Serving.Order.Counter = 3;
  Serving.Slots += 1;
  EXPECT_TRUE(messages<SuspectReport>(memberRecord(Serving)).empty());
  Serving.Order.Counter = 4;
  Serving.State = InstanceState::Absent;
  memberRecord(Serving);
  Serving.Order.Counter = 5;
  Serving.State = InstanceState::Ready;
  EXPECT_EQ(messages<SuspectReport>(memberRecord(Serving)).size(), 1U)
      << "reports were not sent while its server was away";
}

} // namespace
