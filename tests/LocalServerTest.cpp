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

} // namespace
