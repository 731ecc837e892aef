// LargeAnswersTest.cpp - Simulation of answers of 90 to 540 KB on links of 10
// Mbit/s beside small calls.

#include "PacedCluster.h"

#include "figsail/Epoch.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace json = boost::json;

namespace {

constexpr std::size_t HostCount = 12;
constexpr std::size_t MeanLargeBytes = 90'000;
constexpr std::size_t MaxLargeBytes = 540'000;
constexpr std::uint64_t TestSeed = 20261204;

/// One answer in six is of the largest size, the others are smaller. Numbers
/// of requests repeat by host, so their hash is used: one host would receive
/// the large ones only, more than its link can take.
std::size_t answerBytes(const std::string &Target) {
  if (!Target.starts_with("/large/"))
    return AnswerBodyBytes;
  bool Largest = hashText(Target) % 6 == 0;
  return Largest ? MaxLargeBytes : MeanLargeBytes;
}

json::object route(const std::string &Name) {
  return {{"Name", Name},
          {"Host", "desk.example"},
          {"PathPrefix", "/" + Name + "/"},
          {"Kind", "idempotent"},
          {"TimeoutMs", 4000},
          {"TargetLatencyMs", Name == "large" ? 2000 : 200},
          {"Priority", 1},
          {"Service", "depot"},
          {"TrafficSplit", {{{"Service", "depot"}, {"Weight", 1}}}},
          {"Attempts", 3},
          {"HomeRegions", json::array{"north"}}};
}

std::string configText() {
  json::object Service{{"Name", "depot"},
                       {"HealthPath", "/health"},
                       {"ConnectionLimit", 200},
                       {"ColdPerS", 1000.0}};
  return json::serialize(
      json::object{{"Version", "00000001"},
                   {"Routes", {route("large"), route("small")}},
                   {"Services", {Service}}});
}

/// The results of one play.
struct Outcome {
  std::size_t Large = 0;
  std::size_t LargeWhole = 0; ///< With status 200 and the whole body.
  std::vector<Duration> Small;
  unsigned Silent = 0; ///< Daemons taken for silent.
};

/// Plays 10 s in which large answers take a quarter of each link, six times as
/// much as those of the press works.
Outcome play(double LinkBytes) {
  std::vector<PacedHost> List;
  for (std::size_t I = 0; I < HostCount; ++I)
    List.push_back({"10.0.0." + std::to_string(I + 1) + ":7000", "north",
                    "north-a", "depot"});
  PacedCluster Cluster(List, "north", TestSeed, LinkBytes);
  Cluster.setAnswerSize(answerBytes);
  Cluster.ClientTimeout = 4s;
  Cluster.sendConfig(1, configText());
  Cluster.run(5s);
  Cluster.resetCounts();
  std::size_t First = Cluster.Requests.size();
  bool Sending = true;
  Cluster.requestRegularly(500ms, [&](std::size_t Self) {
    if (Sending)
      Cluster.request(Self, "/large/");
  });
  Cluster.requestRegularly(100ms, [&](std::size_t Self) {
    if (Sending)
      Cluster.request(Self, "/small/");
  });
  Cluster.run(10s);
  Sending = false;
  Cluster.run(4s);
  Outcome Result;
  for (std::size_t I = First; I < Cluster.Requests.size(); ++I) {
    const PacedRequest &Ended = Cluster.Requests[I];
    bool Good = Ended.Status == 200;
    if (Ended.Prefix == "/small/" && Good)
      Result.Small.push_back(Ended.AnsweredAt - Ended.SentAt);
    if (Ended.Prefix != "/large/")
      continue;
    ++Result.Large;
    std::size_t Size = answerBytes(Ended.Prefix + std::to_string(I));
    Result.LargeWhole += Good && Ended.BodyBytes == Size ? 1 : 0;
  }
  std::ranges::sort(Result.Small);
  Result.Silent = Cluster.Decisions["peer-silent"];
  return Result;
}

} // namespace

// 710 to 853 of 2,500 to 3,100 downloads a day failed: the replies to status
// queries waited behind the answers, and daemons were taken for silent.
TEST(LargeAnswers, NoDaemonIsTakenForSilentBehindLargeAnswers) {
  for (double LinkBytes : {0.0, HostLinkBytes}) {
    Outcome Result = play(LinkBytes);
    EXPECT_EQ(Result.Silent, 0U) << "LinkBytes " << LinkBytes;
    EXPECT_GT(Result.Large, 200U);
    EXPECT_GE(static_cast<double>(Result.LargeWhole),
              0.99 * static_cast<double>(Result.Large));
    ASSERT_GT(Result.Small.size(), 1100U);
    Duration Slow = Result.Small[Result.Small.size() * 99 / 100];
    EXPECT_LT(Slow, 200ms);
    std::string Run = LinkBytes > 0 ? "paced_" : "unpaced_";
    RecordProperty(Run + "small_p99_us", static_cast<int>(Slow.count()));
    RecordProperty(Run + "large", static_cast<int>(Result.Large));
    RecordProperty(Run + "large_whole", static_cast<int>(Result.LargeWhole));
  }
}
