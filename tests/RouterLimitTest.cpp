// RouterLimitTest.cpp - Where calls go whose servers have named a rate limit.

#include "SidecarFixture.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace figsail;
using namespace figsail::test;

namespace {

struct RouterLimitTest : SidecarTest {
  RouterLimitTest() { loadTopics(); }

  static LoadReport limited(const HostId &Host, Duration TimeToStart) {
    LoadReport Load;
    Load.Limit = 8;
    Load.ServiceTime = Load.UsualServiceTime = 20ms;
    Load.TimeToStart = TimeToStart;
    Load.Notice = ServerNotice{"i-" + Host, 0, false, 2.0, 0ms};
    return Load;
  }
  SidecarEffects refuse(const HostId &Host, const Execute &Sent,
                        Duration TimeToStart) {
    return reply(Host, Refused{Sent.Call, ErrorKind::RateLimited,
                               limited(Host, TimeToStart)});
  }
  /// Lets the ingress learn which servers are limited.
  void learn(const std::set<HostId> &Limited) {
    for (const HostId &Host : Limited)
      reply(Host, Heartbeat{NoOffset, limited(Host, 0ms)});
  }
  CallerId LastCaller = 0;
};

// Guards against a call that is refused although a server without a limit is
// free: it asked the limited ones one after the other.
TEST_F(RouterLimitTest, ARefusedCallGoesToAServerWithoutALimit) {
  learn({"a", "b"});
  for (int I = 0; I < 30; ++I) {
    Now += 2s;
    auto [Host, Sent] = sent(request(++LastCaller));
    if (Host == "c")
      continue;
    EXPECT_EQ(sent(refuse(Host, Sent, 400ms)).first, "c");
  }
}

// Guards against a call that is refused although a limited server starts it in
// time, and against waiting at the one that starts it later.
TEST_F(RouterLimitTest, ACallThatAllRefusedWaitsForTheFirstStart) {
  learn({"a", "b", "c"});
  const std::map<HostId, Duration> Starts{
      {"a", 200ms}, {"b", 50ms}, {"c", 120ms}};
  auto Out = request(++LastCaller);
  std::map<Duration, HostId> Refusing; ///< In favour of another server.
  for (int I = 0; I < 3; ++I) {
    auto [Host, Sent] = sent(Out);
    EXPECT_EQ(Sent.Notice->RateLimit, 2.0);
    if (Sent.HasAlternative)
      Refusing.emplace(Starts.at(Host), Host);
    Out = refuse(Host, Sent, Starts.at(Host));
  }
  ASSERT_EQ(Refusing.size(), 2U);
  auto [Host, Sent] = sent(Out);
  EXPECT_FALSE(Sent.HasAlternative) << "it may wait there";
  EXPECT_EQ(Host, Refusing.begin()->second);
}

// Guards against a client that is told to come back before any server can start
// its request, or that waits for its deadline.
TEST_F(RouterLimitTest, ARefusalNamesTheFirstStart) {
  learn({"a", "b", "c"});
  auto Out = request(++LastCaller, "/book/1", 3000ms);
  std::size_t Tries = 0;
  while (!answer(Out)) {
    ASSERT_LT(++Tries, 8U);
    auto [Host, Sent] = sent(Out);
    Out = refuse(Host, Sent, Host == "b" ? 310ms : 700ms);
  }
  HttpResponse Response = *answer(Out);
  EXPECT_EQ(Response.Status, 503U);
  EXPECT_EQ(findHeader(Response.Headers, "Figsail-Error"), "rate-limited");
  EXPECT_EQ(findHeader(Response.Headers, "Figsail-Run"), "no");
  EXPECT_GE(retryAfter(Response), 0.31 / 2) << "a third of 1 s bounds it";
  EXPECT_LE(retryAfter(Response), 0.34);
}

} // namespace
