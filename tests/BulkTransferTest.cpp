// BulkTransferTest.cpp - Tests of large answers: signs of life, loss of pieces
// and resends, without a network.

#include "SidecarFixture.h"

using namespace figsail;
using namespace figsail::test;

namespace {

struct BulkTransferTest : SidecarTest {
  SidecarEffects bytesFrom(const HostId &Host) {
    return apply(PeerReceiving{{Host, 77}});
  }
};

} // namespace

// The replies to status queries were queued behind an answer of half a
// megabyte, and the ingress gave the call up with 502 while it arrived.
TEST_F(BulkTransferTest, AHostWhoseBytesArriveIsNotSilent) {
  loadTopics(false);
  auto [Host, Call] = sent(request(1));
  reply(Host, Received{Call.Call});
  EXPECT_EQ(messages<Await>(tick(500ms)).size(), 1U);
  for (int I = 0; I < 5; ++I) {
    bytesFrom(Host);
    SidecarEffects Out = tick(80ms);
    EXPECT_FALSE(logged(Out, "peer-silent"));
    EXPECT_FALSE(answer(Out));
  }
  SidecarEffects Out = reply(Host, Answer{Call.Call, {200, {}, "late"}, {}});
  EXPECT_EQ(answer(Out)->Body, "late");
}

// Old bytes must not hide a silent link: the call would wait until its
// deadline.
TEST_F(BulkTransferTest, AHostWhoseBytesEndIsSilentAfterTheUsualTime) {
  loadTopics(false);
  auto [Host, Call] = sent(request(1));
  reply(Host, Received{Call.Call});
  bytesFrom(Host);
  tick(500ms);
  EXPECT_TRUE(logged(tick(200ms), "peer-silent"))
      << "the bytes arrived before the query";
}

// Bytes that never become an answer must not delay the reply to the client
// beyond its deadline.
TEST_F(BulkTransferTest, BytesDelayACallOnlyUntilItsDeadline) {
  loadTopics(false);
  auto [Host, Call] = sent(request(1, "/book/1", 700ms));
  SidecarEffects Out;
  for (int I = 0; I < 70 && !answer(Out); ++I) {
    bytesFrom(Host);
    Out = tick(10ms);
  }
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 504U);
  EXPECT_EQ(Now, TestStart + 100ms + 700ms);
}
