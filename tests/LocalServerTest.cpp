// LocalServerTest.cpp - Ordering of heartbeats and leave reports.

#include "LocalServer.h"
#include "SidecarTestSupport.h"

#include <gtest/gtest.h>

using namespace figsail;

namespace {

ServerLeave leaveReport(const std::string &Instance, std::int64_t Born = 0) {
  return ServerLeave{1, Instance, Born};
}

ServerHeartbeat draining(std::uint64_t Sequence) {
  ServerHeartbeat Report = heartbeat(Sequence);
  Report.Draining = true;
  return Report;
}

TEST(LocalServer, ReportsOnlyChangesToAnnounce) {
  LocalServer Server;
  EXPECT_EQ(Server.heartbeat(TestStart, heartbeat(1)), ReportVerdict::Changed);
  EXPECT_EQ(Server.heartbeat(TestStart, heartbeat(2)),
            ReportVerdict::Unchanged);
  EXPECT_EQ(Server.state(), InstanceState::Ready);
}

// A delayed heartbeat must not undo a newer one.
TEST(LocalServer, IgnoresADelayedHeartbeat) {
  LocalServer Server;
  Server.heartbeat(TestStart, draining(5));
  EXPECT_EQ(Server.heartbeat(TestStart, heartbeat(4)), ReportVerdict::Stale);
  EXPECT_EQ(Server.state(), InstanceState::Draining);
}

// A partition may deliver the heartbeat of a crashed incarnation after its
// successor has registered.
TEST(LocalServer, IgnoresAnEarlierIncarnation) {
  LocalServer Server;
  Server.heartbeat(TestStart, heartbeat(1, "i-new", 2000));
  EXPECT_EQ(Server.heartbeat(TestStart, heartbeat(90, "i-old", 1000)),
            ReportVerdict::Stale);
  EXPECT_EQ(Server.instance(), "i-new");
}

TEST(LocalServer, AcceptsTheSameIdAfterARestart) {
  LocalServer Server;
  Server.heartbeat(TestStart, draining(50));
  EXPECT_EQ(Server.heartbeat(TestStart, heartbeat(1, "i-1", 2000)),
            ReportVerdict::Changed);
  EXPECT_EQ(Server.state(), InstanceState::Ready);
}

TEST(LocalServer, DrainingIsFinalWithinAnIncarnation) {
  LocalServer Server;
  Server.heartbeat(TestStart, draining(1));
  Server.heartbeat(TestStart, heartbeat(2));
  EXPECT_EQ(Server.state(), InstanceState::Draining);
}

TEST(LocalServer, LeaveIsFinal) {
  LocalServer Server;
  Server.heartbeat(TestStart, heartbeat(1));
  EXPECT_EQ(Server.leave(leaveReport("i-1")), ReportVerdict::Changed);
  EXPECT_EQ(Server.state(), InstanceState::Absent);
  EXPECT_EQ(Server.heartbeat(TestStart, heartbeat(2)), ReportVerdict::Stale);
  EXPECT_EQ(Server.state(), InstanceState::Absent);
}

TEST(LocalServer, LeaveOfAnotherServerChangesNothing) {
  LocalServer Server;
  Server.heartbeat(TestStart, heartbeat(1, "i-1", 2000));
  EXPECT_EQ(Server.leave(leaveReport("i-0")), ReportVerdict::Stale);
  EXPECT_EQ(Server.leave(leaveReport("i-1", 1000)), ReportVerdict::Stale);
  EXPECT_EQ(Server.state(), InstanceState::Ready);
}

// A restarted daemon may receive the leave report before the last heartbeat.
TEST(LocalServer, LeaveBeforeTheFirstHeartbeatIsFinal) {
  LocalServer Server;
  Server.leave(leaveReport("i-1"));
  EXPECT_EQ(Server.heartbeat(TestStart, heartbeat(7)), ReportVerdict::Stale);
  EXPECT_EQ(Server.state(), InstanceState::Absent);
}

TEST(LocalServer, RejectsAHeartbeatWithoutSlots) {
  LocalServer Server;
  ServerHeartbeat Report = heartbeat(1);
  Report.Slots = 0;
  EXPECT_EQ(Server.heartbeat(TestStart, Report), ReportVerdict::Invalid);
  EXPECT_EQ(Server.state(), InstanceState::Absent);
}

TEST(LocalServer, ExpiresAfterSilence) {
  LocalServer Server;
  Server.heartbeat(TestStart, heartbeat(1));
  EXPECT_FALSE(Server.expire(TestStart + 5s, 6s));
  EXPECT_TRUE(Server.expire(TestStart + 6s, 6s));
  EXPECT_EQ(Server.heartbeat(TestStart + 7s, heartbeat(2)),
            ReportVerdict::Changed);
}

// Guards against one report with the highest start or sequence number, left by
// another writer, that makes every later report of the true server look late.
// Only a server that lives reports again and again.
TEST(LocalServer, AServerThatKeepsReportingReplacesASilentOne) {
  constexpr Duration Interval = 1500ms;
  constexpr std::int64_t HighestStart = INT64_MAX;
  constexpr std::uint64_t HighestSequence = UINT64_MAX;
  for (const ServerHeartbeat &Odd :
       {heartbeat(1, "odd", HighestStart), heartbeat(HighestSequence)}) {
    LocalServer Server;
    TimePoint Now = TestStart;
    Server.heartbeat(Now, heartbeat(1));
    Server.heartbeat(Now, Odd);
    ReportVerdict Verdict = ReportVerdict::Stale;
    for (std::uint64_t I = 2; I < 7 && Verdict == ReportVerdict::Stale; ++I) {
      Now += Interval;
      Server.expire(Now, 4 * Interval);
      Verdict = Server.heartbeat(Now, heartbeat(I));
    }
    EXPECT_NE(Verdict, ReportVerdict::Stale);
    EXPECT_EQ(Server.instance(), "i-1");
    EXPECT_EQ(Server.state(), InstanceState::Ready);
  }
}

// A partition ends, and all heartbeats of a crashed incarnation arrive at once.
TEST(LocalServer, LateHeartbeatsInABurstReplaceNothing) {
  LocalServer Server;
  Server.heartbeat(TestStart, heartbeat(1, "i-new", 2000));
  TimePoint Now = TestStart + 10s;
  Server.expire(Now, 6s);
  for (std::uint64_t I = 1; I < 20; ++I)
    EXPECT_EQ(Server.heartbeat(Now, heartbeat(I, "i-old", 1000)),
              ReportVerdict::Stale);
}

// A server that has left, or said that it leaves, does not return by reporting
// on.
TEST(LocalServer, AServerThatHasLeftDoesNotReturnByReporting) {
  LocalServer Server;
  TimePoint Now = TestStart;
  Server.heartbeat(Now, heartbeat(1));
  Server.leave(leaveReport("i-1", 1000));
  for (std::uint64_t I = 2; I < 12; ++I) {
    Now += 1500ms;
    Server.expire(Now, 6s);
    EXPECT_EQ(Server.heartbeat(Now, heartbeat(I)), ReportVerdict::Stale);
  }
}

// While the newer server reports, an older one that also does is not used.
TEST(LocalServer, ALivingServerIsNotReplacedByAnOlderOne) {
  LocalServer Server;
  TimePoint Now = TestStart;
  for (std::uint64_t I = 1; I < 12; ++I) {
    Now += 1500ms;
    Server.heartbeat(Now, heartbeat(I, "i-new", 2000));
    EXPECT_EQ(Server.heartbeat(Now, heartbeat(I, "i-old", 1000)),
              ReportVerdict::Stale);
  }
}

} // namespace
