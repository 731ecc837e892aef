// PeerCodecTest.cpp - Tests that frames arrive unchanged, and that a faulty
// peer can't crash a daemon or exhaust its memory.

#include "PeerCodec.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;

namespace {

template <class T> T any() { return *rc::gen::arbitrary<T>(); }

std::string anyText() { return any<std::string>(); }
HeaderList anyHeaders() {
  return any<std::vector<std::pair<std::string, std::string>>>();
}
PeerRef anyPeer() { return {anyText(), any<std::uint64_t>()}; }
CallId anyCallId() { return {any<std::uint64_t>(), any<std::uint64_t>()}; }
HttpRequest anyRequest() {
  return {anyText(), anyText(), anyHeaders(), anyText()};
}
HttpResponse anyResponse() {
  return {any<std::uint32_t>(), anyHeaders(), anyText()};
}
ErrorKind anyErrorKind() {
  return static_cast<ErrorKind>(*rc::gen::inRange<int>(0, ErrorKindCount));
}
RecordState anyRecordState() {
  return static_cast<RecordState>(*rc::gen::inRange<int>(0, 5));
}
std::optional<ServerNotice> anyNotice() {
  if (any<bool>())
    return std::nullopt;
  ServerNotice Notice{anyText(), any<std::int64_t>(), any<bool>(), std::nullopt,
                      Duration(any<std::int64_t>())};
  if (any<bool>())
    Notice.RateLimit = any<std::uint32_t>() / 10.0;
  return Notice;
}
LoadReport anyLoadReport() {
  return {any<std::uint32_t>(),
          any<std::uint32_t>(),
          any<std::uint32_t>(),
          Duration(any<std::int64_t>()),
          any<bool>(),
          Duration(any<std::int64_t>()),
          Duration(any<std::int64_t>())};
}
GrantToken anyGrantToken() {
  return {{any<std::uint64_t>(), any<std::uint64_t>()},
          anyText(),
          any<std::int64_t>(),
          anyPeer(),
          anyPeer(),
          any<std::uint32_t>()};
}
std::optional<GrantToken> anyOptionalGrant() {
  if (any<bool>())
    return anyGrantToken();
  return std::nullopt;
}
CallPolicy anyCallPolicy() {
  return {anyText(),
          anyText(),
          anyText(),
          any<std::vector<std::string>>(),
          any<bool>(),
          any<std::uint32_t>(),
          any<std::uint32_t>(),
          Duration(any<std::int64_t>())};
}
RecordCopy anyRecordCopy() {
  return {anyGrantToken(),  anyText(),     any<std::uint64_t>(),
          anyRecordState(), anyResponse(), any<std::int64_t>()};
}
std::vector<RecordCopy> anyRecordCopies() {
  std::vector<RecordCopy> Copies(*rc::gen::inRange<std::size_t>(0, 4));
  std::ranges::generate(Copies, anyRecordCopy);
  return Copies;
}
std::vector<LogRecord> anyLogRecords() {
  std::vector<LogRecord> Batch(*rc::gen::inRange<std::size_t>(0, 4));
  for (LogRecord &Record : Batch)
    Record = {any<std::int64_t>(), anyText()};
  return Batch;
}

/// Returns an arbitrary message of the type with that index in PeerMessage.
PeerMessage anyMessage(std::size_t Index) {
  switch (Index) {
  case 0:
    return Execute{anyCallId(),
                   any<std::uint64_t>(),
                   anyCallPolicy(),
                   any<std::int64_t>(),
                   any<std::uint64_t>(),
                   anyOptionalGrant(),
                   anyRequest(),
                   anyText(),
                   any<std::int64_t>(),
                   any<bool>(),
                   0.5F,
                   any<std::uint32_t>(),
                   anyNotice()};
  case 1:
    return Received{anyCallId()};
  case 2:
    return Answer{anyCallId(), anyResponse(), anyLoadReport()};
  case 3:
    return Refused{anyCallId(), anyErrorKind(), anyLoadReport()};
  case 4:
    return Failed{anyCallId(), anyErrorKind(), anyLoadReport()};
  case 5:
    return Cancel{anyCallId()};
  case 6:
    return Await{anyCallId(), anyOptionalGrant()};
  case 7:
    return Claim{
        anyCallId(),          {any<std::uint64_t>(), any<std::uint64_t>()},
        any<std::uint64_t>(), anyCallPolicy(),
        any<std::int64_t>(),  anyPeer(),
        anyOptionalGrant()};
  case 8:
    return Granted{anyCallId(), anyGrantToken()};
  case 9:
    return ClaimHeld{anyCallId(), anyGrantToken()};
  case 10:
    return ClaimDone{anyCallId(), anyResponse()};
  case 11:
    return ClaimRefused{anyCallId(), anyErrorKind(), any<std::int64_t>()};
  case 12:
    return Completed{anyGrantToken(), anyRecordState(), anyResponse()};
  case 13:
    return Fence{anyText(), any<std::int64_t>()};
  case 14:
    return FenceAck{anyText(), any<std::int64_t>(), anyRecordCopies(),
                    any<bool>(), any<bool>()};
  case 15:
    return Heartbeat{any<std::int64_t>(), anyLoadReport()};
  case 16:
    return Probe{anyPeer()};
  case 17:
    return ProbeReply{anyPeer(), any<bool>()};
  case 18:
    return Subscribe{any<std::int64_t>(), any<std::uint32_t>()};
  case 19:
    return Records{anyLogRecords()};
  case 20:
    return Snapshot{any<std::int64_t>(), anyText(), any<std::uint32_t>(),
                    any<std::uint32_t>()};
  case 21:
    return SuspectReport{any<std::uint64_t>(), any<std::uint32_t>(),
                         any<bool>(), any<std::int64_t>()};
  case 22:
    return TopicSubscribe{any<std::vector<std::int64_t>>()};
  case 24:
    return TopicPiece{
        any<std::uint64_t>(), any<std::uint64_t>(), any<std::uint32_t>(),
        any<std::uint32_t>(), any<std::uint64_t>(), any<std::uint64_t>(),
        any<std::uint64_t>(), any<std::int64_t>(),  anyText()};
  case 25:
    return RolloutReport{
        anyText(),
        any<std::int64_t>(),
        any<std::int64_t>(),
        any<std::uint64_t>(),
        any<bool>(),
        any<bool>(),
        any<std::uint32_t>(),
        any<std::uint32_t>(),
        any<std::uint32_t>(),
        {RolloutRouteCounts{anyText(), any<std::uint32_t>(),
                            any<std::uint32_t>(),
                            any<std::vector<std::uint32_t>>()}}};
  case 26:
    return RolloutVerdict{anyText(),           any<std::int64_t>(),
                          any<std::int64_t>(), any<std::uint64_t>(),
                          any<std::uint8_t>(), any<std::uint32_t>()};
  case 27:
    return QuotaReport{
        {QuotaUsage{anyText(), any<std::int64_t>(), any<std::int64_t>(),
                    any<std::uint32_t>(), 0.5F, any<std::uint32_t>(),
                    any<bool>(), any<bool>()}}};
  case 28:
    return QuotaReply{{QuotaGrant{
        anyText(), any<std::int64_t>(), any<std::uint32_t>(), 0.5F, 0.25F, 1.5F,
        2.5F, any<bool>(), any<bool>(), any<std::uint32_t>()}}};
  case 29:
    return AnswerPiece{anyCallId(), any<std::uint64_t>(), any<std::uint32_t>(),
                       anyText(),
                       Answer{anyCallId(), anyResponse(), anyLoadReport()}};
  default: {
    KeyedRecord Present{anyText(), anyText(), any<std::int64_t>()};
    KeyedRecord Removed{anyText(), std::nullopt, any<std::int64_t>()};
    return TopicUpdate{
        any<bool>(),
        any<bool>(),
        {TopicContents{any<std::int64_t>(), {Present, Removed}}}};
  }
  }
}

PeerMessage anyMessage() {
  return anyMessage(
      *rc::gen::inRange<std::size_t>(0, std::variant_size_v<PeerMessage>));
}

std::string frameOf(const PeerMessage &Message, std::uint64_t Lamport = 7) {
  std::string Frame;
  appendFrame(Frame, Lamport, Message);
  return Frame;
}

std::string_view payloadOf(const std::string &Frame) {
  return std::string_view(Frame).substr(FrameHeaderBytes);
}

} // namespace

// A field that serialize() omits or reorders would be lost between daemons. The
// test compares encodings, as some message types have no operator==. The next
// test shows that the encoding includes the fields.
RC_GTEST_PROP(PeerCodec, EveryMessageTypeRoundTrips, ()) {
  for (std::size_t I = 0; I < std::variant_size_v<PeerMessage>; ++I) {
    PeerMessage Message = anyMessage(I);
    RC_ASSERT(Message.index() == I);
    std::string Frame = frameOf(Message);
    FrameHeader Header = readFrameHeader(Frame);
    RC_ASSERT(Header.Length == payloadOf(Frame).size());
    RC_ASSERT(Header.Lamport == 7U);
    RC_ASSERT(checksumMatches(Header, payloadOf(Frame)));
    std::optional<PeerMessage> Decoded = decodeMessage(payloadOf(Frame));
    RC_ASSERT(Decoded.has_value());
    RC_ASSERT(Decoded->index() == I);
    RC_ASSERT(frameOf(*Decoded) == Frame);
  }
}

TEST(PeerCodec, FieldsKeepTheirValues) {
  Execute Original;
  Original.Call = {1, 2};
  Original.Target = 3;
  Original.Policy.Route = "/r";
  Original.Policy.HomeRegions = {"fukuoka"};
  Original.Policy.RecordLifetime = std::chrono::minutes(10);
  Original.BudgetMicros = 4;
  Original.Fingerprint = 5;
  Original.Grant = GrantToken{{6, 7}, "/s", 8, {"a:1", 9}, {"b:2", 10}, 11};
  Original.Request = {"POST", "/x", {{"A", "b"}}, std::string("\0\xff", 2)};
  std::string Frame = frameOf(Original);
  std::optional<PeerMessage> Decoded = decodeMessage(payloadOf(Frame));
  ASSERT_TRUE(Decoded);
  const auto &Actual = std::get<Execute>(*Decoded);
  EXPECT_EQ(Actual.Call, Original.Call);
  EXPECT_EQ(Actual.Target, Original.Target);
  EXPECT_EQ(Actual.Policy, Original.Policy);
  EXPECT_EQ(Actual.BudgetMicros, Original.BudgetMicros);
  EXPECT_EQ(Actual.Fingerprint, Original.Fingerprint);
  EXPECT_EQ(Actual.Grant, Original.Grant);
  EXPECT_EQ(Actual.Request, Original.Request);
}

// A flipped bit in the checksum, the Lamport counter or the payload must be
// detected before the message reaches the core.
RC_GTEST_PROP(PeerCodec, AFlippedBitFailsTheChecksum, ()) {
  std::string Frame = frameOf(anyMessage());
  auto Position = *rc::gen::inRange<std::size_t>(4, Frame.size());
  auto Bit = *rc::gen::inRange(0, 8);
  Frame[Position] = static_cast<char>(Frame[Position] ^ (1 << Bit));
  RC_ASSERT(!checksumMatches(readFrameHeader(Frame), payloadOf(Frame)));
}

// A truncated or extended payload with a matching checksum comes from a faulty
// peer. It must be rejected without reading beyond its end.
RC_GTEST_PROP(PeerCodec, TruncatedOrExtendedPayloadsDoNotDecode, ()) {
  std::string Frame = frameOf(anyMessage());
  std::string_view Payload = payloadOf(Frame);
  auto Size = *rc::gen::inRange<std::size_t>(0, Payload.size());
  RC_ASSERT(!decodeMessage(Payload.substr(0, Size)));
  RC_ASSERT(!decodeMessage(std::string(Payload) + "x"));
}

// Any bytes decode to a valid message or to nothing. The sanitizers report
// reads out of bounds and enumerators out of range.
RC_GTEST_PROP(PeerCodec, CorruptedPayloadsNeverCrash, ()) {
  std::string Payload(payloadOf(frameOf(anyMessage())));
  auto Changes = *rc::gen::inRange(1, 8);
  for (int I = 0; I < Changes; ++I) {
    auto Position = *rc::gen::inRange<std::size_t>(0, Payload.size());
    Payload[Position] = any<char>();
  }
  if (std::optional<PeerMessage> Decoded = decodeMessage(Payload))
    RC_ASSERT(decodeMessage(payloadOf(frameOf(*Decoded))).has_value());
}

// A stated length of a terabyte must be rejected before anything is allocated.
TEST(PeerCodec, LengthsBeyondThePayloadAreRefused) {
  std::string Frame = frameOf(Fence{"service", 1});
  std::string Payload(payloadOf(Frame));
  std::size_t LengthPosition = Payload.find("service") - 8;
  Payload[LengthPosition + 5] = 1;
  EXPECT_FALSE(decodeMessage(Payload));
}

// errorEntry() indexes its table with the error kind, without a check of its
// range.
TEST(PeerCodec, EnumeratorsOutOfRangeAreRefused) {
  auto Kind = static_cast<ErrorKind>(ErrorKindCount);
  EXPECT_FALSE(decodeMessage(payloadOf(frameOf(Refused{{}, Kind, {}}))));
  EXPECT_FALSE(decodeMessage(payloadOf(frameOf(ClaimRefused{{}, Kind, 0}))));
  auto State = static_cast<RecordState>(9);
  EXPECT_FALSE(decodeMessage(payloadOf(frameOf(Completed{{}, State, {}}))));
  FenceAck Ack;
  Ack.Records.emplace_back().State = State;
  EXPECT_FALSE(decodeMessage(payloadOf(frameOf(Ack))));
}

// The version must be readable whatever fields follow it in another version.
TEST(PeerCodec, HelloOfAnotherVersionDecodesItsVersion) {
  std::string Frame;
  appendHello(Frame, 1, {PeerProtocolVersion + 1, {"a:1", 2}});
  std::string Payload = std::string(payloadOf(Frame)) + "new fields";
  std::optional<Hello> Decoded = decodeHello(Payload);
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded->Version, PeerProtocolVersion + 1);
}
