// PeerSendQueueTest.cpp - Tests of the order in which a link writes its
// messages.

#include "PeerSendQueue.h"

#include <gtest/gtest.h>

using namespace figsail;

namespace {

PeerMessage call(std::uint64_t Sequence, std::size_t Bytes = 0) {
  Execute Message;
  Message.Call.Sequence = Sequence;
  Message.Request.Body = std::string(Bytes, 'x');
  return Message;
}

std::uint64_t sequenceOf(const std::optional<PeerMessage> &Message) {
  const auto *Body = Message ? std::get_if<Execute>(&*Message) : nullptr;
  return Body ? Body->Call.Sequence : 0;
}

} // namespace

// A receipt that waits behind calls lets the ingress take the host for dead.
TEST(PeerSendQueue, ControlMessagesOvertakeCallsThatStayInOrder) {
  PeerSendQueue Queue;
  Queue.push(call(1));
  Queue.push(call(2));
  Queue.push(Heartbeat{});
  auto First = Queue.next();
  ASSERT_TRUE(First);
  EXPECT_TRUE(std::holds_alternative<Heartbeat>(*First));
  EXPECT_EQ(sequenceOf(Queue.next()), 1U);
  EXPECT_EQ(sequenceOf(Queue.next()), 2U);
  EXPECT_FALSE(Queue.next());
}

// A size that drifts would break a link that is not full, or let a full one
// grow without bound.
TEST(PeerSendQueue, TheQueuedSizeReturnsToZero) {
  PeerSendQueue Queue;
  EXPECT_TRUE(Queue.empty());
  Queue.push(call(1, 5000));
  std::size_t OfOne = Queue.queuedBytes();
  EXPECT_GE(OfOne, 5000U);
  Queue.push(Heartbeat{});
  EXPECT_GT(Queue.queuedBytes(), OfOne);
  Queue.next();
  EXPECT_EQ(Queue.queuedBytes(), OfOne);
  Queue.next();
  EXPECT_EQ(Queue.queuedBytes(), 0U);
  EXPECT_TRUE(Queue.empty());
}

// Each message of a broken link must be reported as unsent, and only once: a
// call may be sent to another host.
TEST(PeerSendQueue, AllMessagesAreTakenOnce) {
  PeerSendQueue Queue;
  Queue.push(call(1));
  Queue.push(Heartbeat{});
  Queue.push(call(2));
  auto All = Queue.takeAll();
  ASSERT_EQ(All.size(), 3U);
  EXPECT_TRUE(std::holds_alternative<Heartbeat>(All[0]));
  EXPECT_EQ(sequenceOf(All[1]), 1U);
  EXPECT_EQ(sequenceOf(All[2]), 2U);
  EXPECT_TRUE(Queue.takeAll().empty());
  EXPECT_EQ(Queue.queuedBytes(), 0U);
}
