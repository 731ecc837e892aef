// TopicStreamTest.cpp - Tests of the streams in which daemons pass on topic
// records: packing, pieces, renewed subscriptions, losses.

#include "SidecarFixture.h"
#include "TopicImage.h"
#include "TopicPublisher.h"
#include "TopicReceiver.h"

#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

/// Returns a configuration-like text with this number of routes. Equal seeds
/// give the same routes.
std::string routesText(int Count, unsigned Seed = 1) {
  std::mt19937 Random(Seed);
  auto Word = [&] {
    std::string Text;
    for (int I = 0; I < 8; ++I)
      Text += static_cast<char>('a' + Random() % 26);
    return Text;
  };
  std::string Text = "{\"Routes\":[";
  for (int I = 0; I < Count; ++I)
    Text += R"({"Name":"r-)" + Word() + R"(","Host":"desk.example",)" +
            R"("PathPrefix":"/)" + Word() + R"(/","Kind":"idempotent",)" +
            R"("Service":"booking","TimeoutMs":5000,"TargetLatencyMs":800,)" +
            R"("Priority":1,"Attempts":2,"HomeRegions":[],"Weight":)" +
            std::to_string(I % 7) + "},";
  return Text + "]}";
}

KeyedRecord configRecord(Offset At, std::string Value) {
  return {"config", std::move(Value), At};
}

TopicUpdate update(Offset Next, std::vector<KeyedRecord> Records) {
  return {true, true, {{Next, std::move(Records)}}};
}

std::size_t pieceBytes(const SidecarEffects &Out) {
  std::size_t Bytes = 0;
  for (const auto &[Host, Piece] : messages<TopicPiece>(Out))
    Bytes += Piece.Bytes.size();
  return Bytes;
}

const PeerRef Subscriber{"b", 7};

// Packing.

// Guards against a change of a few bytes that is sent as half a megabyte.
TEST(TopicPacking, ANewVersionTakesAboutAsManyBytesAsItDiffers) {
  std::string Old = routesText(1400);
  std::string New = Old;
  New.replace(New.find("\"Weight\":3"), 10, "\"Weight\":9");
  ASSERT_GT(Old.size(), 200000U);
  ValueBases Bases;
  Bases.add(Old);
  std::string Encoded = encodeUpdate(update(3, {configRecord(2, New)}));
  PackedUpdate Packed = packUpdate(Encoded, valueDigest(Old), &Old);
  EXPECT_LT(Packed.Bytes.size(), 2048U);
  auto Unpacked = unpackUpdate(Packed, Bases);
  ASSERT_TRUE(std::holds_alternative<TopicUpdate>(Unpacked));
  EXPECT_EQ(std::get<TopicUpdate>(Unpacked).Parts[0].Records[0].Value, New);
}

TEST(TopicPacking, AWholeValueIsCompressed) {
  std::string Text = routesText(1400);
  PackedUpdate Packed =
      packUpdate(encodeUpdate(update(3, {configRecord(2, Text)})), 0, nullptr);
  EXPECT_LT(Packed.Bytes.size() * 5, Text.size());
}

// A value that was compressed against another one must not come into force.
TEST(TopicPacking, AnUnknownBaseAndAlteredBytesGiveAnError) {
  std::string Old = routesText(100, 1);
  PackedUpdate Packed =
      packUpdate(encodeUpdate(update(3, {configRecord(2, routesText(100, 2))})),
                 valueDigest(Old), &Old);
  ValueBases Bases;
  EXPECT_EQ(std::get<UnpackError>(unpackUpdate(Packed, Bases)),
            UnpackError::UnknownBase);
  Bases.add(Old);
  PackedUpdate Altered = Packed;
  Altered.Digest ^= 1;
  EXPECT_EQ(std::get<UnpackError>(unpackUpdate(Altered, Bases)),
            UnpackError::Corrupt);
  Altered = Packed;
  Altered.Bytes.resize(Altered.Bytes.size() / 2);
  EXPECT_EQ(std::get<UnpackError>(unpackUpdate(Altered, Bases)),
            UnpackError::Corrupt);
  Altered = Packed;
  Altered.Size = std::uint64_t{1} << 40;
  EXPECT_EQ(std::get<UnpackError>(unpackUpdate(Altered, Bases)),
            UnpackError::TooLarge);
}

// A peer's bytes must not stop the daemon.
RC_GTEST_PROP(TopicPacking, AnyBytesGiveAnErrorOrAnUpdate, ()) {
  PackedUpdate Packed;
  Packed.Size = *rc::gen::inRange<std::uint64_t>(0, 4096);
  Packed.Digest = *rc::gen::arbitrary<std::uint64_t>();
  Packed.Bytes = *rc::gen::arbitrary<std::string>();
  unpackUpdate(Packed, ValueBases());
}

TEST(ValueBases, KeepsTheNewestLargeValues) {
  ValueBases Bases;
  Bases.add("small");
  EXPECT_EQ(Bases.newest(), 0U);
  std::vector<std::string> Values;
  for (unsigned I = 0; I < 10; ++I) {
    Values.push_back(routesText(50, I));
    Bases.add(Values.back());
  }
  EXPECT_EQ(Bases.newest(), valueDigest(Values.back()));
  EXPECT_TRUE(Bases.find(valueDigest(Values[8])));
  EXPECT_FALSE(Bases.find(valueDigest(Values[0])));
}

// Streams.

// Guards against the load that grows with the delay it causes (DENIED): each
// renewed subscription was answered with the configuration that was under way.
TEST(TopicPublisher, ARenewedSubscriptionSendsNothingAgain) {
  TopicPublisher Publisher;
  ValueBases Bases;
  SidecarEffects Out;
  TopicSubscribe Request{{0}, 0, 5, 0};
  TopicUpdate Whole = update(3, {configRecord(2, routesText(1400))});
  EXPECT_EQ(Publisher.subscribe(TestStart, Subscriber, Request, 0),
            std::vector<Offset>{0});
  Publisher.reply("b", Whole, Bases, Out);
  EXPECT_GT(pieceBytes(Out), 0U);
  EXPECT_EQ(Publisher.subscribe(TestStart + 500ms, Subscriber, Request, 0),
            std::vector<Offset>{3})
      << "the request names the old offset, but the records are under way";
}

TEST(TopicPublisher, ALostLinkStartsTheStreamAgain) {
  TopicPublisher Publisher;
  ValueBases Bases;
  SidecarEffects Out;
  TopicSubscribe Request{{1}, 0, 5, 0};
  Publisher.subscribe(TestStart, Subscriber, Request, 0);
  Publisher.reply("b", update(3, {configRecord(2, "x")}), Bases, Out);
  Publisher.linkLost("b");
  EXPECT_EQ(Publisher.subscribe(TestStart, Subscriber, Request, 0),
            std::vector<Offset>{1});
}

TEST(TopicPublisher, ARestartedSubscriberGetsEverythingFromItsOffsets) {
  TopicPublisher Publisher;
  ValueBases Bases;
  SidecarEffects Out;
  Publisher.subscribe(TestStart, Subscriber, {{3}, 0, 5, 0}, 0);
  Publisher.reply("b", update(9, {}), Bases, Out);
  EXPECT_EQ(Publisher.subscribe(TestStart, {"b", 8}, {{0}, 0, 5, 0}, 0),
            std::vector<Offset>{0});
}

// A call waits for one piece at most on a link that carries a configuration.
TEST(TopicPublisher, LargeUpdatesAreSentInSmallPieces) {
  TopicPublisher Publisher;
  SidecarEffects Out;
  Publisher.subscribe(TestStart, Subscriber, {{0}, 0, 5, 0}, 0);
  Publisher.reply("b", update(3, {configRecord(2, routesText(5000))}),
                  ValueBases(), Out);
  auto Pieces = messages<TopicPiece>(Out);
  EXPECT_GT(Pieces.size(), 1U);
  for (const auto &[Host, Piece] : Pieces)
    EXPECT_LE(Piece.Bytes.size(), 16U * 1024);
}

/// A source and a subscriber with their images, and the link between them.
struct StreamPair {
  /// Writes the next version at the source and pushes it.
  void write() {
    std::string Value =
        routesText(ManyRoutes, static_cast<unsigned>(++Written));
    Bases.add(Value);
    auto Applied = Image.apply(
        {Offset(Written + 1), {configRecord(Offset(Written), Value)}});
    for (const HostId &Host : Publisher.subscribers(Now))
      Publisher.push(Host, {true, false, {{0, Applied}}}, {Image.next()}, Bases,
                     Link);
  }
  void subscribe() {
    TopicSubscribe Request{
        {Copy.next()}, 0, Receiver.stream("a", ++Seed), CopyBases.newest()};
    auto UpTo = Publisher.subscribe(Now, Subscriber, Request, 0);
    Publisher.reply("b",
                    {true, true, {Image.since(UpTo.empty() ? 0 : UpTo[0])}},
                    Bases, Link);
  }
  void breakLink(bool SeenBySource, bool SeenBySubscriber) {
    Link.clear();
    if (SeenBySource)
      Publisher.linkLost("b");
    if (SeenBySubscriber)
      Receiver.linkLost("a");
  }
  void apply(TopicUpdate Update) {
    bool InOrder = Receiver.inOrder("a", Update);
    for (TopicContents &Part : Update.Parts) {
      if (!InOrder)
        Part.Next = 0;
      for (const KeyedRecord &Record : Part.Records)
        CopyBases.add(*Record.Value);
      Copy.apply(Part);
    }
  }
  void deliver(std::size_t Count) {
    for (; Count > 0 && !Link.empty(); --Count) {
      auto *Sent = std::get_if<SendPeer>(&Link.front());
      PeerMessage Message = Sent ? std::move(Sent->Message) : Probe{};
      Link.erase(Link.begin());
      if (std::holds_alternative<Probe>(Message)) // A counter, not a message.
        continue;
      if (auto *Small = std::get_if<TopicUpdate>(&Message))
        apply(std::move(*Small));
      else if (auto Whole = Receiver.receive("a", std::get<TopicPiece>(Message),
                                             CopyBases, Log))
        apply(std::move(*Whole));
    }
  }
  /// Returns whether the subscriber has every record below its offset.
  bool hasNoGap() const {
    auto Own = Copy.since(0).Records;
    Offset Newest = Own.empty() ? -1 : Own.front().At;
    return Copy.next() <= Newest + 1;
  }

  /// Routes of a value that takes several pieces also when it is compressed.
  static constexpr int ManyRoutes = 2000;

  TimePoint Now = TestStart;
  std::uint64_t Seed = 0;
  int Written = 0;
  TopicImage Image, Copy; ///< Of the source and of the subscriber.
  ValueBases Bases, CopyBases;
  TopicPublisher Publisher;
  TopicReceiver Receiver;
  SidecarEffects Link; ///< Messages under way.
  SidecarEffects Log;
};

// Guards against a daemon that keeps an old configuration: whatever is lost,
// repeated or cut off, the subscriber never passes a record that it lacks, and
// it ends with the source's records.
RC_GTEST_PROP(TopicStream, EndsWithTheRecordsOfTheSource, ()) {
  StreamPair Pair;
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7));
  for (int Step : Steps) {
    if (Step == 0)
      Pair.write();
    if (Step == 1 || Step == 2)
      Pair.subscribe();
    if (Step == 3)
      Pair.deliver(1);
    if (Step == 4)
      Pair.deliver(100);
    if (Step == 5)
      Pair.breakLink(true, *rc::gen::arbitrary<bool>());
    if (Step == 6 && !Pair.Link.empty()) // Lost without any notice.
      Pair.Link.erase(Pair.Link.begin());
    RC_ASSERT(Pair.hasNoGap());
  }
  Pair.write();
  for (int I = 0; I < 4; ++I) {
    Pair.subscribe();
    Pair.deliver(1000);
  }
  RC_ASSERT(Pair.Copy.since(0).Records == Pair.Image.since(0).Records);
  RC_ASSERT(Pair.Copy.next() == Pair.Image.next());
}

// Each byte of a change is sent about once while nothing is lost.
TEST(TopicStream, NothingIsSentTwiceWhileTheLinkLasts) {
  StreamPair Pair;
  Pair.subscribe();
  Pair.deliver(100);
  std::size_t Whole = 0;
  for (int I = 0; I < 10; ++I) {
    Pair.write();
    for (int Renewal = 0; Renewal < 5; ++Renewal)
      Pair.subscribe();
    for (const auto &[Host, Message] : messages<TopicUpdate>(Pair.Link))
      for (const TopicContents &Part : Message.Parts)
        Whole += Part.Records.size();
    for (const auto &[Host, Piece] : messages<TopicPiece>(Pair.Link)) {
      EXPECT_GT(Piece.Count, 1U);
      Whole += Piece.Index == 0 ? 1 : 0;
    }
    Pair.deliver(1000);
  }
  EXPECT_EQ(Whole, 10U);
  EXPECT_EQ(Pair.Copy.next(), Pair.Image.next());
}

// A piece that is missing must not be filled with bytes of another update.
TEST(TopicReceiver, AMissingPieceIsLoggedAndBeginsAnotherStream) {
  TopicPublisher Publisher;
  TopicReceiver Receiver;
  SidecarEffects Sent;
  SidecarEffects Out;
  std::uint64_t First = Receiver.stream("a", 5);
  Publisher.subscribe(TestStart, Subscriber, {{0}, 0, First, 0}, 0);
  Publisher.reply("b", update(3, {configRecord(2, routesText(5000))}),
                  ValueBases(), Sent);
  auto Pieces = messages<TopicPiece>(Sent);
  ASSERT_GT(Pieces.size(), 2U);
  Receiver.receive("a", Pieces[0].second, ValueBases(), Out);
  EXPECT_TRUE(Receiver.expects("a", Pieces[2].second));
  EXPECT_FALSE(Receiver.receive("a", Pieces[2].second, ValueBases(), Out));
  EXPECT_TRUE(logged(Out, "topic-update-unusable"));
  EXPECT_NE(Receiver.stream("a", 6), First);
  EXPECT_FALSE(Receiver.expects("a", Pieces[2].second));
}

// Requests for routes of a configuration that is on its way.

// Guards against DENIED: a daemon that was behind answered 404 for a route of
// the newer configuration. Such a request is not wrong.
TEST_F(SidecarTest, AnUnknownRouteIsNotDeniedWhileANewerConfigurationIsKnown) {
  loadTopics();
  EXPECT_EQ(answer(request(1, "/new/1"))->Status, 404U);
  reply("b", TopicSubscribe{{900, 0}});
  auto Refusal = answer(request(2, "/new/1"));
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Status, 503U);
  EXPECT_GE(retryAfter(*Refusal), 0.15)
      << "an earlier retry would find the same configuration";
  Now += 4s;
  EXPECT_EQ(answer(request(3, "/new/1"))->Status, 404U)
      << "a route that never existed";
}

/// A daemon that is fed by a source of its failure domain.
class FedSidecarTest : public SidecarTest {
protected:
  /// Chooses the source, which has the daemon's own records.
  void SetUp() override {
    loadTopics();
    auto Requests = messages<TopicSubscribe>(tick(1s));
    ASSERT_EQ(Requests.size(), 1U);
    Source = Requests[0].first;
    Stream = Requests[0].second.Stream;
    OwnOffsets = Requests[0].second.From;
    reply(Source, sourceUpdate(OwnOffsets));
    ASSERT_EQ(statusOfUnknownRoute(), 404U) << "nothing newer is known";
  }
  /// The next update of the source, which has read up to these offsets.
  TopicUpdate sourceUpdate(const std::vector<Offset> &UpTo) {
    TopicUpdate Update{true, true, {{UpTo[0], {}}, {UpTo[1], {}}}};
    Update.Stream = Stream;
    Update.Number = Number++;
    Update.Confirmed = true;
    Update.NewestConfig = UpTo[0];
    return Update;
  }
  TopicPiece firstPieceOf(Offset NewestConfig) {
    TopicPiece Piece;
    Piece.Stream = Stream;
    Piece.Number = Number++;
    Piece.Count = 2;
    Piece.Size = 100000;
    Piece.NewestConfig = NewestConfig;
    Piece.Bytes = "x";
    return Piece;
  }
  std::uint32_t statusOfUnknownRoute() {
    return answer(request(NextCaller++, "/new/1"))->Status;
  }

  HostId Source;
  std::uint64_t Stream = 0;
  std::uint64_t Number = (1ULL << 32) + 1;
  std::vector<Offset> OwnOffsets;
  CallerId NextCaller = 1000;
};

// Guards against DENIED: pieces of a newer configuration were arriving, or had
// been when the link broke, and its routes were answered with 404.
TEST_F(FedSidecarTest, AnUnknownRouteIsNotDeniedWhileAnUpdateIsArriving) {
  reply(Source, firstPieceOf(OwnOffsets[0] + 1));
  EXPECT_EQ(statusOfUnknownRoute(), 503U);
  apply(PeerLost{Source, {}});
  EXPECT_EQ(statusOfUnknownRoute(), 503U)
      << "the update is still missing after its transfer broke off";
}

// Guards against DENIED: the next update of a source that was behind as well
// made a daemon forget that a newer configuration had been named.
TEST_F(FedSidecarTest, AnUpdateOfASourceThatIsBehindEndsNoExpectation) {
  reply("c", TopicSubscribe{{OwnOffsets[0] + 1, 0}});
  EXPECT_EQ(statusOfUnknownRoute(), 503U);
  reply(Source, sourceUpdate(OwnOffsets));
  EXPECT_EQ(statusOfUnknownRoute(), 503U);
  reply(Source, sourceUpdate({OwnOffsets[0] + 1, OwnOffsets[1]}));
  EXPECT_EQ(statusOfUnknownRoute(), 404U) << "the daemon has what was named";
}

// Guards against DENIED: daemons below one that was receiving a configuration
// knew nothing of it.
TEST_F(FedSidecarTest, WhatIsNamedToADaemonIsNamedToItsSubscribers) {
  reply(Source, firstPieceOf(OwnOffsets[0] + 1));
  auto Replies =
      messages<TopicUpdate>(reply("b", TopicSubscribe{OwnOffsets, 0}));
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_EQ(Replies[0].second.NewestConfig, OwnOffsets[0] + 1);
}

// Guards against DENIED: a daemon whose source had fallen silent counted as up
// to date before the store had answered it, and told its subscribers so.
TEST_F(FedSidecarTest, ADaemonThatTurnsToTheStoreIsNotUpToDateBeforeItAnswers) {
  for (Topic Which : {Topic::Operator, Topic::Members})
    apply(TopicRecords{Which, {}, OwnOffsets[static_cast<std::size_t>(Which)]});
  auto Reads = effects<ReadTopic>(tick(2s));
  ASSERT_EQ(Reads.size(), 2U) << "the source is silent";
  EXPECT_EQ(Reads[0].Wait, Duration(0)) << "a long poll would delay the answer";
  EXPECT_EQ(statusOfUnknownRoute(), 503U);
  auto Replies =
      messages<TopicUpdate>(reply("b", TopicSubscribe{OwnOffsets, 0}));
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_FALSE(Replies[0].second.Confirmed);
  for (Topic Which : {Topic::Operator, Topic::Members})
    apply(TopicRecords{Which, {}, OwnOffsets[static_cast<std::size_t>(Which)]});
  EXPECT_EQ(statusOfUnknownRoute(), 404U);
}

// Guards against the same denial by a daemon that cannot read the store: a
// newer configuration may be in force.
TEST_F(SidecarTest, AnUnknownRouteIsNotDeniedWhileTheStoreCannotBeRead) {
  loadTopics();
  EXPECT_EQ(answer(request(1, "/new/1"))->Status, 404U);
  apply(TopicReadFailed{Topic::Operator, "no answer"});
  EXPECT_EQ(answer(request(2, "/new/1"))->Status, 503U);
}

// Guards against the load of the incident's second half: 77 of 100 hosts turned
// to the store within one second, and each read everything again.
TEST_F(SidecarTest, ADaemonThatWasFedByAPeerReadsOnFromItsOffset) {
  tick();
  tick(100ms);
  apply(TopicReadFailed{Topic::Operator, "no answer"});
  apply(TopicReadFailed{Topic::Members, "no answer"});
  auto Requests = messages<TopicSubscribe>(apply(PeerConnected{{"a", 77}}));
  ASSERT_EQ(Requests.size(), 1U);
  Decoder.Contents["config@3"] = config(5);
  Decoder.Contents["a@4"] = announcement("a");
  TopicUpdate Whole{
      true, true, {{4, {{"config", "x", 3}}}, {5, {{"a", "x", 4}}}}};
  Whole.Stream = Requests[0].second.Stream;
  Whole.Number = (1ULL << 32) + 1;
  reply("a", Whole);
  SidecarEffects Out = tick(3s);
  EXPECT_TRUE(effects<ReadTopicSnapshot>(Out).empty());
  auto Reads = effects<ReadTopic>(Out);
  ASSERT_EQ(Reads.size(), 2U);
  EXPECT_EQ(Reads[0].From, 4);
  EXPECT_EQ(Reads[1].From, 5);
}

} // namespace
