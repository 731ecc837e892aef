// PeerSendQueueTest.cpp - Tests of the order in which a link writes its
// messages.

#include "PeerSendQueue.h"

#include "PeerCodec.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace figsail;

namespace {

PeerMessage call(std::uint64_t Sequence, std::size_t Bytes = 0) {
  Execute Message;
  Message.Call.Sequence = Sequence;
  Message.Request.Body = std::string(Bytes, 'x');
  return Message;
}

/// An update whose number is the sender's history.
PeerMessage update(std::uint64_t Number, std::size_t Bytes = 0) {
  TopicUpdate Message;
  Message.History = Number;
  Message.Parts = {{0, {{"config", std::string(Bytes, 'x'), 1}}}};
  return Message;
}

/// A piece of an answer to the call of this number.
PeerMessage piece(std::uint64_t Call, std::uint32_t Index) {
  AnswerPiece Message;
  Message.Call.Sequence = Call;
  Message.Index = Index;
  Message.Bytes = std::string(16384, 'x');
  return Message;
}

/// Returns the call and the index of the only piece in a write, or zeros.
std::pair<std::uint64_t, std::uint32_t>
pieceOf(const std::vector<PeerMessage> &Messages) {
  const auto *Body =
      Messages.empty() ? nullptr : std::get_if<AnswerPiece>(&Messages.back());
  return Body ? std::pair{Body->Call.Sequence, Body->Index}
              : std::pair{0UL, 0U};
}

std::uint64_t updateOf(const std::optional<PeerMessage> &Message) {
  const auto *Body = Message ? std::get_if<TopicUpdate>(&*Message) : nullptr;
  return Body ? Body->History : 0;
}

/// The messages of one write, in order.
struct Write {
  std::vector<PeerMessage> Messages;
  std::size_t Bytes = 0;

  std::size_t calls() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Messages, [](const PeerMessage &Message) {
          return std::holds_alternative<Execute>(Message);
        }));
  }
  /// Returns the numbers of the updates.
  std::vector<std::uint64_t> updates() const {
    std::vector<std::uint64_t> Numbers;
    for (const PeerMessage &Message : Messages)
      if (std::uint64_t Number = updateOf(Message))
        Numbers.push_back(Number);
    return Numbers;
  }
};

Write takeWrite(PeerSendQueue &Queue) {
  Write Taken;
  Queue.startWrite();
  while (auto Message = Queue.next(Taken.Bytes)) {
    Taken.Bytes += estimateSize(*Message);
    Taken.Messages.push_back(std::move(*Message));
  }
  return Taken;
}

constexpr std::size_t KiB = 1024;

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
  auto First = Queue.next(0);
  ASSERT_TRUE(First);
  EXPECT_TRUE(std::holds_alternative<Heartbeat>(*First));
  EXPECT_EQ(sequenceOf(Queue.next(0)), 1U);
  EXPECT_EQ(sequenceOf(Queue.next(0)), 2U);
  EXPECT_FALSE(Queue.next(0));
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
  Queue.next(0);
  EXPECT_EQ(Queue.queuedBytes(), OfOne);
  Queue.next(0);
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

// Calls waited behind a configuration of half a megabyte, which takes 0.4 s on
// a link of 10 Mbit/s: an update was a control message, and thus overtook the
// calls and their receipts (issue 26).
TEST(PeerSendQueue, CallsAndReceiptsOvertakeAConfigurationOfHalfAMegabyte) {
  PeerSendQueue Queue;
  Queue.push(update(1, 500 * KiB));
  Queue.push(call(1));
  Queue.push(Received{});
  Write First = takeWrite(Queue);
  ASSERT_EQ(First.Messages.size(), 3U);
  EXPECT_TRUE(std::holds_alternative<Received>(First.Messages[0]));
  EXPECT_EQ(sequenceOf(First.Messages[1]), 1U);
  EXPECT_EQ(updateOf(First.Messages[2]), 1U);
}

// Copies that fill one write together would delay a call that is queued
// meanwhile by all of them.
TEST(PeerSendQueue, ACallWaitsForOneBulkMessageOfEachWrite) {
  PeerSendQueue Queue;
  for (std::uint64_t I = 1; I <= 4; ++I)
    Queue.push(update(I));
  EXPECT_EQ(takeWrite(Queue).updates(), (std::vector<std::uint64_t>{1}));
  Queue.push(call(7));
  Write Second = takeWrite(Queue);
  ASSERT_EQ(Second.Messages.size(), 2U);
  EXPECT_EQ(sequenceOf(Second.Messages[0]), 7U);
  EXPECT_EQ(updateOf(Second.Messages[1]), 2U);
}

// A host that is never without calls would not get a configuration.
TEST(PeerSendQueue, CallsDoNotKeepBulkFromBeingWritten) {
  PeerSendQueue Queue;
  for (std::uint64_t I = 1; I <= 3; ++I)
    Queue.push(update(I, 16 * KiB));
  for (std::uint64_t I = 1; I <= 100; ++I)
    Queue.push(call(I, 10 * KiB));
  for (std::uint64_t I = 1; I <= 3; ++I) {
    Write Next = takeWrite(Queue);
    EXPECT_EQ(Next.updates(), (std::vector<std::uint64_t>{I}));
    EXPECT_GE(Next.calls(), 1U);
    EXPECT_EQ(updateOf(Next.Messages.back()), I) << "it comes after the calls";
    EXPECT_LE(Next.Bytes, 64 * KiB + 11 * KiB + 17 * KiB)
        << "the target, the call that exceeds it, and one bulk message";
  }
}

// Bulk messages of a broken or closing link must be moved or reported too, and
// count in its limit.
TEST(PeerSendQueue, BulkIsTakenAndCountedLikeTheOthers) {
  PeerSendQueue Queue;
  Queue.push(update(1, 100 * KiB));
  Queue.push(call(1));
  EXPECT_FALSE(Queue.empty());
  EXPECT_GE(Queue.queuedBytes(), 100 * KiB);
  auto All = Queue.takeAll();
  ASSERT_EQ(All.size(), 2U);
  EXPECT_EQ(sequenceOf(All[0]), 1U);
  EXPECT_EQ(updateOf(All[1]), 1U);
  EXPECT_EQ(Queue.queuedBytes(), 0U);
  EXPECT_TRUE(Queue.empty());
}

// An answer of 90 KB would wait for one of 540 KB, and calls for both.
TEST(PeerSendQueue, PiecesOfSeveralAnswersAndUpdatesTakeTurns) {
  PeerSendQueue Queue;
  for (std::uint32_t I = 0; I < 3; ++I)
    Queue.push(piece(1, I));
  Queue.push(piece(2, 0));
  Queue.push(update(9));
  Queue.push(call(7));
  std::vector<std::pair<std::uint64_t, std::uint32_t>> Order;
  for (int I = 0; I < 5; ++I) {
    Write Next = takeWrite(Queue);
    EXPECT_EQ(Next.calls(), I == 0 ? 1U : 0U);
    Order.push_back(pieceOf(Next.Messages));
  }
  using Turn = std::pair<std::uint64_t, std::uint32_t>;
  EXPECT_EQ(Order, (std::vector<Turn>{{1, 0}, {2, 0}, {0, 0}, {1, 1}, {1, 2}}));
  EXPECT_TRUE(Queue.empty());
  EXPECT_EQ(Queue.queuedBytes(), 0U);
}

// A query during a transfer would put the whole answer into the queue again and
// again; after the transfer it must, since pieces may be lost.
TEST(PeerSendQueue, AnAnswerInProgressIsNotQueuedAgain) {
  PeerSendQueue Queue;
  auto SendAll = [&] {
    for (std::uint32_t I = 0; I < 3; ++I)
      Queue.push(piece(1, I));
  };
  SendAll();
  EXPECT_EQ(pieceOf(takeWrite(Queue).Messages).second, 0U);
  std::size_t Before = Queue.queuedBytes();
  SendAll();
  EXPECT_EQ(Queue.queuedBytes(), Before);
  EXPECT_EQ(pieceOf(takeWrite(Queue).Messages).second, 1U);
  EXPECT_EQ(pieceOf(takeWrite(Queue).Messages).second, 2U);
  EXPECT_TRUE(Queue.empty());
  SendAll();
  EXPECT_EQ(Queue.takeAll().size(), 3U);
}

// Answers that must wait for the pacer would hold up a configuration, and an
// answer that nobody wants would take its time on the link.
TEST(PeerSendQueue, AnswersMayBeHeldBackOrDropped) {
  PeerSendQueue Queue;
  Queue.push(piece(1, 0));
  Queue.push(piece(2, 0));
  Queue.push(update(9));
  Queue.startWrite(false);
  EXPECT_EQ(updateOf(Queue.next(0)), 9U);
  Queue.startWrite(false);
  EXPECT_FALSE(Queue.next(0));
  EXPECT_TRUE(Queue.hasAnswers());
  Queue.dropAnswer({0, 1});
  EXPECT_EQ(pieceOf(takeWrite(Queue).Messages).first, 2U);
  EXPECT_EQ(Queue.queuedBytes(), 0U);
}
