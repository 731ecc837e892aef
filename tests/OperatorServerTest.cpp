// OperatorServerTest.cpp - Tests of the operator interface against malformed
// requests, and of the order of merged timelines.

#include "OperatorServer.h"

#include "LoopbackAddress.h"
#include "OperatorClient.h"
#include "TimelineMerge.h"

#include <gtest/gtest.h>

using namespace figsail;

namespace {

struct IgnoringPeerHandler : public PeerHandler {
  void peerReceived(PeerReceived) override {}
  void peerConnected(PeerConnected) override {}
  void peerLost(PeerLost) override {}
};

class OperatorServerTest : public ::testing::Test {
protected:
  OperatorServerTest() {
    EXPECT_EQ(Server.listen(Self.OperatorAddress), std::nullopt);
  }

  static NodeSettings settingsOf(const Member &Self) {
    NodeSettings Settings;
    Settings.Self = Self;
    return Settings;
  }

  static Member makeMember() {
    Member Result;
    Result.Host = loopbackAddress(0);
    Result.Inc = 0xfedcba9876543210;
    Result.OperatorAddress = loopbackAddress(1);
    return Result;
  }

  OperatorResult call(const std::string &Method,
                      const Json::Value &Parameters = {}) {
    std::optional<OperatorResult> Result;
    callOperator(Loop, Self.OperatorAddress, Method, Parameters,
                 std::chrono::seconds(20), [&](OperatorResult Response) {
                   Result = std::move(Response);
                 });
    Loop.restart();
    while (!Result && Loop.run_one() != 0)
      continue;
    return Result.value();
  }

  Json::Value resultOf(const std::string &Method,
                       const Json::Value &Parameters = {}) {
    OperatorResult Result = call(Method, Parameters);
    const auto *Error = std::get_if<OperatorError>(&Result);
    EXPECT_EQ(Error, nullptr) << (Error ? Error->Text : "");
    return Error ? Json::Value() : std::get<Json::Value>(Result);
  }

  boost::asio::io_context Loop{1};
  Member Self = makeMember();
  Node DaemonNode{settingsOf(Self)};
  IgnoringPeerHandler Handler;
  LamportClock Clock;
  PeerTransport Peers{Loop, Handler, {Self.Host, Self.Inc}, Clock, {}};
  Metrics DaemonMetrics;
  Timeline Events{10};
  OperatorServer Server{Loop, {Self, DaemonNode, Peers, DaemonMetrics, Events}};
};

} // namespace

TEST_F(OperatorServerTest, EveryMethodReturnsAResult) {
  DaemonMetrics.count(Counter::Retries, 3);
  DaemonMetrics.add(Latency::Calls, Duration(1500));
  EXPECT_EQ(resultOf("status")["host"].asString(), Self.Host);
  EXPECT_EQ(resultOf("status")["incarnation"].asString(),
            std::to_string(Self.Inc));
  EXPECT_EQ(resultOf("counters")["retries"].asInt(), 3);
  EXPECT_EQ(resultOf("latencies")["calls"]["p50_us"].asInt(), 1500);
  EXPECT_TRUE(resultOf("members").isArray());
  EXPECT_EQ(resultOf("configuration")["offset"].asInt(), NoOffset);
  Json::Value Change(Json::objectValue);
  Change["change_id"] = "unseen";
  EXPECT_FALSE(resultOf("verdict", Change)["known"].asBool());
}

// A request that cannot be parsed must stop neither the daemon nor the
// interface.
TEST_F(OperatorServerTest, MalformedRequestsReturnErrors) {
  EXPECT_TRUE(std::holds_alternative<OperatorError>(call("no_such_method")));
  EXPECT_TRUE(std::holds_alternative<OperatorError>(call("timeline")))
      << "the parameter is missing";
  Json::Value Nested;
  for (int I = 0; I < 3000; ++I) {
    Json::Value Outer(Json::arrayValue);
    Outer.append(std::move(Nested));
    Nested = std::move(Outer);
  }
  Json::Value Parameters(Json::objectValue);
  Parameters["since"] = std::move(Nested);
  EXPECT_TRUE(
      std::holds_alternative<OperatorError>(call("timeline", Parameters)));
  EXPECT_EQ(resultOf("status")["host"].asString(), Self.Host);
}

TEST_F(OperatorServerTest, TimelineReturnsOnlyEntriesAfterSince) {
  for (int I = 1; I <= 3; ++I)
    Events.add(Clock.tick(), {TraceKind::LogLost, std::to_string(I), "x"});
  Json::Value Parameters(Json::objectValue);
  Parameters["since"] = 1;
  std::vector<MergedEvent> Merged;
  ASSERT_TRUE(appendTimeline(resultOf("timeline", Parameters), Merged));
  ASSERT_EQ(Merged.size(), 2U);
  EXPECT_EQ(Merged[0].Lamport, 2U);
  EXPECT_EQ(Merged[0].Host, Self.Host);
  EXPECT_EQ(Merged[0].Kind, "log-lost");
  EXPECT_EQ(Merged[0].Subject, "2");
}

// Wall clocks of hosts differ, so they must not determine the order.
TEST(TimelineMerge, LamportCounterThenHostDecides) {
  std::vector<MergedEvent> Events{{3, "b", 1, "k", "last", ""},
                                  {2, "b", 2, "k", "second", ""},
                                  {2, "a", 3, "k", "first", ""}};
  sortTimeline(Events);
  EXPECT_EQ(Events[0].Subject, "first");
  EXPECT_EQ(Events[1].Subject, "second");
  EXPECT_EQ(Events[2].Subject, "last");
  EXPECT_EQ(timelineText(Events[0]), "2 a 1970-01-01T00:00:00.000003Z k first");
}

TEST(TimelineMerge, MalformedTimelineAddsNothing) {
  Json::Value Result(Json::objectValue);
  Result["host"] = "a";
  Result["entries"][0]["lamport"] = 1;
  Result["entries"][1]["lamport"] = "text";
  std::vector<MergedEvent> Events;
  EXPECT_FALSE(appendTimeline(Result, Events));
  EXPECT_TRUE(Events.empty());
}
