// BalancerTest.cpp - Tests of server selection: load, failures and locality.

#include "figsail/Balancer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

using namespace figsail;
using namespace std::chrono_literals;

namespace {

struct BalancerFixture {
  std::vector<Member> Members;
  std::vector<const Member *> Eligible;
  TimePoint Now{1000s};
  Balancer Subject{"10.9.9.9:7000", {"north", "n1"}, makePowerOfTwoChoices()};
  std::uint64_t Seed = 1;

  void add(const std::string &Region, const std::string &Domain, int Count) {
    for (int I = 0; I < Count; ++I) {
      Member Server;
      Server.Host = Domain + "-" + std::to_string(I);
      Server.Region = Region;
      Server.FailureDomain = Domain;
      Members.push_back(Server);
    }
    Eligible.clear();
    for (const Member &Server : Members)
      Eligible.push_back(&Server);
  }

  const Member *choose(bool RemoteAllowed = true,
                       std::span<const HostId> Tried = {}) {
    Seed = Seed * 6364136223846793005ULL + 1442695040888963407ULL;
    return Subject.choose(Now, Eligible, Tried, RemoteAllowed,
                          Seed ^ Seed >> 29);
  }

  std::map<std::string, int> sample(int Count, bool RemoteAllowed = true) {
    std::map<std::string, int> Chosen;
    for (int I = 0; I < Count; ++I)
      ++Chosen[choose(RemoteAllowed)->Host];
    return Chosen;
  }

  /// Makes one call that ends with this report.
  void report(const HostId &Host, const LoadReport &Load, bool Success = true) {
    Subject.callSent(Now, Host);
    Subject.callEnded(Now, Host, Success, &Load);
  }
  void reportAll(const LoadReport &Load) {
    for (const Member &Server : Members)
      report(Server.Host, Load);
  }
};

constexpr LoadReport Idle{.Limit = 10};
constexpr LoadReport Full{.Limit = 10, .Running = 10, .Queued = 2};
constexpr LoadReport LongQueue{.Limit = 10, .Running = 10, .Queued = 10};

} // namespace

// Guards against a server that gets no calls because only its neighbour has
// reports: in a failure domain with two members, one got 0 of 602 runs in 3 s.
TEST(Balancer, ServerWithoutReportsGetsSomeCalls) {
  BalancerFixture F;
  F.add("north", "n1", 2);
  F.report("n1-0", Idle);
  std::map<std::string, int> Fresh = F.sample(400);
  EXPECT_GT(Fresh["n1-1"], 0);
  // A server without reports may be cold, so most calls go to the other one.
  EXPECT_LT(Fresh["n1-1"], 100);
  F.report("n1-1", Idle);
  F.Now += 30s;
  F.report("n1-0", Idle);
  EXPECT_GT(F.sample(400)["n1-1"], 0);
}

TEST(Balancer, PoliciesAreFoundByName) {
  EXPECT_TRUE(makePolicy("round-robin"));
  EXPECT_TRUE(makePolicy("least-outstanding"));
  EXPECT_TRUE(makePolicy("power-of-two"));
  EXPECT_FALSE(makePolicy("random"));
}

// Calls must stay near until the near servers are full, and must not go to
// another region unless that is allowed.
TEST(Balancer, SaturatedTierOverflowsToTheNext) {
  BalancerFixture F;
  F.add("north", "n1", 2);
  F.add("north", "n2", 2);
  F.add("south", "s1", 2);
  F.reportAll(Idle);
  EXPECT_EQ(F.choose()->FailureDomain, "n1");
  F.report("n1-0", Full);
  F.report("n1-1", Full);
  EXPECT_EQ(F.choose()->FailureDomain, "n2");
  F.report("n2-0", Full);
  F.report("n2-1", Full);
  // A short queue costs less than the round trip to another region.
  EXPECT_EQ(F.choose()->Region, "north");
  for (const char *Host : {"n1-0", "n1-1", "n2-0", "n2-1"})
    F.report(Host, LongQueue);
  EXPECT_EQ(F.choose()->FailureDomain, "s1");
  EXPECT_EQ(F.choose(false)->Region, "north");
}

// A near server that fails must lose its calls to the next tier.
TEST(Balancer, FailuresOverflowToTheNextTier) {
  BalancerFixture F;
  F.add("north", "n1", 1);
  F.add("north", "n2", 1);
  F.reportAll(Idle);
  for (int I = 0; I < 20; ++I)
    F.report("n1-0", Idle, false);
  EXPECT_EQ(F.choose()->Host, "n2-0");
  // The same holds when both tiers are saturated.
  F.report("n2-0", Full);
  EXPECT_EQ(F.choose()->Host, "n2-0");
}

// A host that refused is tried last; a report that was in flight when it
// refused must not undo that.
TEST(Balancer, AvoidsHostsThatRefusedOrDisconnected) {
  BalancerFixture F;
  F.add("north", "n1", 2);
  F.reportAll(Idle);
  F.Subject.callSent(F.Now, "n1-0");
  F.Subject.callSent(F.Now, "n1-0");
  F.Subject.callRefused(F.Now, "n1-0", Full);
  F.Subject.callEnded(F.Now, "n1-0", true, &Full);
  F.Subject.callEnded(F.Now, "n1-0", true, &Idle);
  EXPECT_FALSE(F.sample(50).contains("n1-0"));
  std::vector<HostId> Tried{"n1-1"};
  EXPECT_EQ(F.choose(true, Tried)->Host, "n1-0");
  F.Now += 6s;
  EXPECT_TRUE(F.sample(50).contains("n1-0"));
  F.Subject.linkLost(F.Now, "n1-1");
  EXPECT_FALSE(F.sample(50).contains("n1-1"));
  Tried = {"n1-0", "n1-1"};
  EXPECT_EQ(F.choose(true, Tried), nullptr);
}

// An old report of an idle server must lose weight.
TEST(Balancer, OldReportMakesServerLessPreferred) {
  BalancerFixture F;
  F.add("north", "n1", 2);
  F.report("n1-0", Idle);
  F.Now += 4s;
  F.report("n1-1", {.Limit = 10, .Running = 2});
  EXPECT_FALSE(F.sample(50).contains("n1-0"));
}

// A slow server with a low limit has few calls; a short queue must not make it
// preferred to a fast server with more load.
TEST(Balancer, ShortQueueDoesNotHideSlowServer) {
  BalancerFixture F;
  F.add("north", "n1", 2);
  F.report("n1-0", {.Limit = 2, .ServiceTime = 200ms});
  F.report("n1-1", {.Limit = 10, .Running = 9, .ServiceTime = 20ms});
  EXPECT_FALSE(F.sample(50).contains("n1-0"));
  // The weight of the report decreases, so the server is tried again.
  F.Now += 4s;
  F.report("n1-1", {.Limit = 10, .Running = 9, .ServiceTime = 20ms});
  EXPECT_TRUE(F.sample(50).contains("n1-0"));
}

// A server whose queue has emptied must not stay idle because its last report
// was of a full server.
TEST(Balancer, FullServerIsTriedAgainAfterItsQueueEmptied) {
  BalancerFixture F;
  F.add("north", "n1", 2);
  LoadReport Busy{
      .Limit = 10, .Running = 10, .Queued = 20, .ServiceTime = 20ms};
  F.report("n1-0", Busy);
  F.report("n1-1", {.Limit = 10, .Running = 8, .ServiceTime = 20ms});
  EXPECT_FALSE(F.sample(50).contains("n1-0"));
  F.Now += 200ms;
  EXPECT_TRUE(F.sample(50).contains("n1-0"));
}

// A server that quickly answers with errors must be less preferred than a
// loaded one.
TEST(Balancer, FailureRateOutweighsAnIdleReport) {
  BalancerFixture F;
  F.add("north", "n1", 2);
  F.report("n1-1", {.Limit = 10, .Running = 7});
  for (int I = 0; I < 20; ++I)
    F.report("n1-0", Idle, false);
  EXPECT_FALSE(F.sample(50).contains("n1-0"));
}

// A restarted host must not get more calls than a cold server can run.
TEST(Balancer, RestartedHostGetsLimitedCalls) {
  BalancerFixture F;
  F.add("north", "n1", 3);
  F.reportAll({.Limit = 10, .Running = 5});
  F.Subject.reset("n1-0");
  for (int I = 0; I < 12; ++I)
    F.Subject.callSent(F.Now, F.choose()->Host);
  int CallsToRestarted = 0;
  while (F.choose()->Host == "n1-0" && CallsToRestarted < 10) {
    F.Subject.callSent(F.Now, "n1-0");
    ++CallsToRestarted;
  }
  EXPECT_LE(CallsToRestarted, 1);
}

// Members must remain when the own failure domain fails, and an ingress must
// not open connections to all members of the service.
RC_GTEST_PROP(BalancerProperty, SubsetIsBoundedAndSpansDomains, ()) {
  BalancerFixture F;
  F.add("north", "n1", *rc::gen::inRange(0, 40));
  F.add("north", "n2", *rc::gen::inRange(1, 40));
  F.add("south", "s1", *rc::gen::inRange(0, 40));
  std::set<std::string> Hosts;
  std::set<std::string> Domains;
  std::vector<HostId> Tried;
  while (const Member *Server = F.choose(true, Tried)) {
    RC_ASSERT(Hosts.insert(Server->Host).second);
    Domains.insert(Server->FailureDomain);
    Tried.push_back(Server->Host);
  }
  std::set<std::string> All;
  for (const Member &Server : F.Members)
    All.insert(Server.FailureDomain);
  RC_ASSERT(Hosts.size() == std::min<std::size_t>(F.Members.size(), 16));
  RC_ASSERT(Domains.size() >= std::min<std::size_t>(All.size(), 2));
}

// Each policy must spread calls over equal servers.
TEST(Balancer, PoliciesSpreadCallsOverEqualServers) {
  for (const char *Name :
       {"round-robin", "least-outstanding", "power-of-two"}) {
    BalancerFixture F;
    F.Subject = Balancer("10.9.9.9:7000", {"north", "n1"}, makePolicy(Name));
    F.add("north", "n1", 4);
    F.reportAll(Idle);
    for (const auto &[Host, Count] : F.sample(400)) {
      EXPECT_GT(Count, 60) << Name;
      EXPECT_LT(Count, 140) << Name;
    }
  }
}

namespace {

constexpr LoadReport Fast{
    .Limit = 10, .ServiceTime = 100ms, .UsualServiceTime = 100ms};
constexpr LoadReport Slow{
    .Limit = 10, .ServiceTime = 400ms, .UsualServiceTime = 100ms};

/// Returns how often each host is chosen in 100 calls.
std::map<std::string, int> sampleExpectedTime(BalancerFixture &F,
                                              Duration TimeToTarget) {
  std::map<std::string, int> Chosen;
  for (int I = 0; I < 100; ++I) {
    F.Seed = F.Seed * 6364136223846793005ULL + 1442695040888963407ULL;
    const Member *Server =
        F.Subject.choose(F.Now, F.Eligible, {}, true, F.Seed ^ F.Seed >> 29,
                         {100ms, TimeToTarget});
    ++Chosen[Server->Host];
  }
  return Chosen;
}

struct ExpectedTime : testing::Test {
  ExpectedTime() {
    F.Subject =
        Balancer("10.9.9.9:7000", {"north", "n1"}, makeShortestExpectedTime());
  }
  BalancerFixture F;
};

} // namespace

// Load pattern: one server runs at a quarter of its speed for some hundred
// milliseconds while the others keep theirs.
TEST_F(ExpectedTime, SlowServerIsAvoidedUntilItRecovers) {
  F.add("north", "n1", 3);
  F.reportAll(Fast);
  F.Subject.loadReported(F.Now, "n1-0", Slow);
  EXPECT_EQ(sampleExpectedTime(F, 300ms)["n1-0"], 0);
  F.Subject.loadReported(F.Now, "n1-0", Fast);
  EXPECT_GT(sampleExpectedTime(F, 300ms)["n1-0"], 10);
}

// The link between regions is narrow: it is used if only then the answer meets
// the target latency, and not to save some milliseconds.
TEST_F(ExpectedTime, RemoteServerIsUsedOnlyToMeetTheTarget) {
  F.add("north", "n1", 1);
  F.add("south", "s1", 1);
  F.report("n1-0", Slow);
  F.report("s1-0", Fast);
  EXPECT_EQ(sampleExpectedTime(F, 300ms)["s1-0"], 100)
      << "about 400 ms in n1, 162 ms in s1";
  EXPECT_EQ(sampleExpectedTime(F, 500ms)["s1-0"], 0)
      << "n1 meets the target as well";
  EXPECT_EQ(sampleExpectedTime(F, 100ms)["s1-0"], 0)
      << "s1 misses the target as well";
}

// Load pattern: a service with servers in all failure domains, at moderate
// load. Calls that leave the domain cost traffic and save no time.
TEST_F(ExpectedTime, AServerOfTheSameDomainIsPreferredWhileItHasRoom) {
  F.add("north", "n1", 1);
  F.add("north", "n2", 3);
  F.reportAll(Fast);
  EXPECT_GT(sampleExpectedTime(F, 300ms)["n1-0"], 90);
  F.report("n1-0", Slow);
  EXPECT_EQ(sampleExpectedTime(F, 300ms)["n1-0"], 0) << "others are faster";
}

// Guards against a near server that gets more than it can run.
TEST_F(ExpectedTime, AnIdleServerElsewhereGoesBeforeAFullOneNearby) {
  F.add("north", "n1", 1);
  F.add("north", "n2", 3);
  F.reportAll(Fast);
  LoadReport Full = Fast;
  Full.Running = 10;
  Full.Queued = 1;
  F.Subject.loadReported(F.Now, "n1-0", Full);
  EXPECT_LT(sampleExpectedTime(F, 300ms)["n1-0"], 30);
}

TEST_F(ExpectedTime, FailingServerIsAvoided) {
  F.add("north", "n1", 2);
  F.reportAll(Fast);
  for (int I = 0; I < 8; ++I)
    F.report("n1-0", Fast, false);
  EXPECT_EQ(sampleExpectedTime(F, 300ms)["n1-0"], 0);
}
