// BulkTransferTest.cpp - Tests of large answers: signs of life, loss of pieces
// and resends, without a network.

#include "AnswerAssembly.h"
#include "AnswerPieces.h"
#include "ServerGateFixture.h"
#include "SidecarFixture.h"

using namespace figsail;
using namespace figsail::test;

namespace {

constexpr std::size_t LargeBytes = 100'000; ///< Seven pieces.

/// Returns a body in which pieces differ.
std::string largeBody(std::size_t Bytes = LargeBytes) {
  std::string Body(Bytes, ' ');
  for (std::size_t I = 0; I < Bytes; ++I)
    Body[I] = static_cast<char>('a' + I / 1000 % 26);
  return Body;
}

std::vector<AnswerPiece> largePieces(const CallId &Call,
                                     std::size_t Bytes = LargeBytes) {
  return splitAnswer({Call, {200, {{"X-Name", "v"}}, largeBody(Bytes)}, {}});
}

struct BulkTransferTest : SidecarTest {
  /// Delivers the pieces without one of them; returns the effects of the last.
  SidecarEffects deliver(const HostId &Host, const CallId &Call,
                         std::size_t Lost) {
    SidecarEffects Out;
    for (AnswerPiece &Piece : largePieces(Call))
      if (Piece.Index != Lost)
        Out = reply(Host, std::move(Piece));
    return Out;
  }

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

// An answer with a missing piece must never reach the client as complete,
// whichever piece it is; the same pieces sent again must complete it.
TEST(AnswerAssembly, AnAnswerIsCompleteWithAllPiecesOnly) {
  PeerRef From{"a", 77};
  CallId Call{1, 5};
  std::size_t Count = largePieces(Call).size();
  for (std::size_t Lost = 0; Lost < Count; ++Lost) {
    AnswerAssembly Assembly;
    for (AnswerPiece &Piece : largePieces(Call)) {
      if (Piece.Index == Lost)
        continue;
      EXPECT_FALSE(Assembly.add(From, std::move(Piece)));
    }
    std::optional<Answer> Whole;
    // The router takes no piece of a call that has ended.
    for (AnswerPiece &Piece : largePieces(Call))
      if (!Whole)
        Whole = Assembly.add(From, std::move(Piece));
    ASSERT_TRUE(Whole) << "without piece " << Lost;
    EXPECT_EQ(Whole->Response.Body, largeBody());
    EXPECT_EQ(Whole->Response.Headers.size(), 1U);
    EXPECT_EQ(Assembly.bytes(), 0U);
  }
}

// Pieces of another incarnation or of a false size would be mixed into one
// body.
TEST(AnswerAssembly, PiecesThatDoNotBelongTogetherAreNotJoined) {
  AnswerAssembly Assembly;
  CallId Call{1, 5};
  std::vector<AnswerPiece> Pieces = largePieces(Call);
  for (std::size_t I = 0; I + 1 < Pieces.size(); ++I)
    EXPECT_FALSE(Assembly.add({"a", 77}, Pieces[I]));
  EXPECT_FALSE(Assembly.add({"a", 78}, Pieces.back()));
  AnswerPiece Short = Pieces[0];
  Short.Bytes.pop_back();
  EXPECT_FALSE(Assembly.add({"a", 78}, Short));
  AnswerPiece Beyond = Pieces[0];
  Beyond.Index = 1000;
  EXPECT_FALSE(Assembly.add({"a", 78}, Beyond));
}

// Answers that never end would fill the memory of a host of 160 MB.
TEST(AnswerAssembly, UnfinishedAnswersAreBoundedInBytes) {
  AnswerAssembly Assembly;
  constexpr std::size_t Each = 1'000'000;
  for (std::uint64_t I = 1; I <= 40; ++I)
    Assembly.add({"a", 77}, largePieces({1, I}, Each)[0]);
  EXPECT_LE(Assembly.bytes(), 16U * 1024 * 1024);
  EXPECT_GE(Assembly.bytes(), 10 * Each);
  for (std::uint64_t I = 1; I <= 40; ++I)
    Assembly.remove({1, I});
  EXPECT_EQ(Assembly.bytes(), 0U);
}

// The ingress must ask for an answer that stays incomplete, and deliver it
// whole when it comes again.
TEST_F(BulkTransferTest, AnIncompleteAnswerIsRequestedAgain) {
  for (std::size_t Lost : {0U, 3U, 6U}) {
    SCOPED_TRACE(Lost);
    if (Lost == 0)
      loadTopics(false);
    auto [Host, Call] = sent(request(1));
    EXPECT_FALSE(answer(deliver(Host, Call.Call, Lost)));
    SidecarEffects Out = tick(500ms);
    EXPECT_EQ(messages<Await>(Out).size(), 1U);
    EXPECT_FALSE(answer(Out));
    reply(Host, Received{Call.Call});
    std::optional<HttpResponse> Whole;
    for (AnswerPiece &Piece : largePieces(Call.Call))
      if (auto Got = answer(reply(Host, std::move(Piece))))
        Whole = Got;
    ASSERT_TRUE(Whole);
    EXPECT_EQ(Whole->Body, largeBody());
  }
}

// After a lost link the answer may be gone with the daemon. The call must then
// end as unknown, not with a part of the answer.
TEST_F(BulkTransferTest, AnAnswerLostForGoodEndsAsUnknown) {
  loadTopics(false);
  auto [Host, Call] = sent(request(1));
  deliver(Host, Call.Call, 6);
  SidecarEffects Out = apply(PeerLost{Host, {}});
  EXPECT_EQ(messages<Await>(Out).size(), 1U);
  Out = apply(PeerReceived{{Host, 78},
                           Failed{Call.Call, ErrorKind::OutcomeUnknown, {}}});
  ASSERT_TRUE(answer(Out));
  EXPECT_EQ(answer(Out)->Status, 502U);
}

// Small answers must be sent as before. Large ones are kept and sent again, or
// a lost piece could not be replaced; without the receipt, an ingress whose
// query finds the pieces still queued would hear nothing.
TEST_F(BulkTransferTest, TheGateSendsOnlyLargeAnswersInPiecesAndAgainOnAwait) {
  loadTopics(true);
  reportServer(heartbeat());
  for (std::size_t Bytes : {AnswerPieceBytes, LargeBytes}) {
    bool Large = Bytes > AnswerPieceBytes;
    Execute Message;
    Message.Call = {77, Bytes};
    Message.Policy.Service = "booking";
    Message.BudgetMicros = Message.TargetMicros = 1'000'000;
    auto Runs = effects<StartRun>(reply("a", Message));
    ASSERT_EQ(Runs.size(), 1U);
    HttpResponse Response{200, {}, largeBody(Bytes)};
    SidecarEffects First = apply(ServerRunResult{Runs[0].Run, Response, {}});
    SidecarEffects Second = reply("a", Await{Message.Call, std::nullopt, 1});
    for (const SidecarEffects &Out : {First, Second}) {
      EXPECT_EQ(messages<Answer>(Out).size(), Large ? 0U : 1U);
      EXPECT_EQ(messages<Received>(Out).size(), Large ? 1U : 0U);
      EXPECT_EQ(messages<AnswerPiece>(Out).size(), Large ? 7U : 0U);
    }
  }
}

/// A gate on a host whose link passes 875 KB/s of answers, and that has sent
/// one of them.
struct LinkedGateTest : ServerGateTest {
  LinkedGateTest() {
    SidecarSettings Settings = testSettings();
    Settings.LinkBytes = 10e6 / 8;
    Gate = ServerGate(Settings);
    ServiceSettings Service;
    Service.MaxConnections = 200;
    Gate.configure(Service);
    reportServer();
  }
  SidecarEffects executeLarge(bool HasAlternative) {
    Execute Message = call();
    Message.Policy.Route = "download";
    Message.TargetMicros = Duration(1s).count();
    Message.BudgetMicros = Duration(2s).count();
    Message.HasAlternative = HasAlternative;
    return execute(std::move(Message));
  }
  static std::optional<ErrorKind> refusal(const SidecarEffects &Out) {
    auto Found = messages<Refused>(Out);
    return Found.empty() ? std::nullopt : std::optional(Found[0].second.Kind);
  }
  /// Runs a call to its end, with an answer of this size.
  void answerLarge(std::size_t Bytes) {
    auto Runs = effects<StartRun>(executeLarge(false));
    ASSERT_EQ(Runs.size(), 1U);
    Now += 10ms;
    endRun(Runs[0].Run, {0, HttpResponse{200, {}, largeBody(Bytes)}, {}});
  }
};

// Slots were free while answers of seconds waited for the link: calls were
// admitted whose answers came after their target and their deadline.
TEST_F(LinkedGateTest, ACallWhoseAnswerWouldWaitForTheLinkGoesElsewhere) {
  answerLarge(270'000);
  EXPECT_FALSE(refusal(executeLarge(true))) << "0.31 s and 0.31 s";
  answerLarge(270'000);
  EXPECT_EQ(refusal(executeLarge(true)), ErrorKind::ServerSlow);
  EXPECT_FALSE(refusal(executeLarge(false))) << "late is better than never";
  EXPECT_FALSE(refusal(execute(call()))) << "a small answer";
  answerLarge(270'000);
  answerLarge(270'000);
  EXPECT_EQ(refusal(executeLarge(false)), ErrorKind::Overloaded);
  Now += 2s;
  EXPECT_FALSE(refusal(executeLarge(true))) << "the link has sent them";
}
