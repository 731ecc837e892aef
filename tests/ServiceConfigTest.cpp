// ServiceConfigTest.cpp - Tests of route lookup and of traffic splits.

#include "ServiceConfig.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;

namespace {

ServiceRoute route(const std::string &Name, const std::string &Host,
                   const std::string &Prefix) {
  ServiceRoute Route;
  Route.Name = Name;
  Route.Host = Host;
  Route.PathPrefix = Prefix;
  Route.Parts = {{"booking", 1}};
  return Route;
}

std::string found(const ServiceConfig &Config, const std::string &Host,
                  const std::string &Target) {
  RoutePtr Route = Config.findRoute(Host, Target);
  return Route ? Route->Name : "";
}

TEST(ServiceConfig, FindsTheLongestPrefixOfTheHost) {
  ServiceConfig Config;
  Config.add(route("short", "a.example", "/x/"));
  Config.add(route("long", "a.example", "/x/y/"));
  Config.add(route("other", "b.example", "/x/y/z/"));
  EXPECT_EQ(found(Config, "a.example", "/x/y/z/1"), "long");
  EXPECT_EQ(found(Config, "a.example", "/x/y"), "short");
  EXPECT_EQ(found(Config, "a.example", "/x/yy/1"), "short");
  EXPECT_EQ(found(Config, "a.example", "/y/1"), "");
  EXPECT_EQ(found(Config, "c.example", "/x/1"), "");
}

TEST(ServiceConfig, IgnoresPortCaseAndQuery) {
  ServiceConfig Config;
  Config.add(route("one", "A.example", "/x/"));
  EXPECT_EQ(found(Config, "a.EXAMPLE:8080", "/x/?to=/y/z/"), "one");
  EXPECT_EQ(found(Config, "a.example", "/?path=/x/"), "");
  EXPECT_EQ(found(Config, "a.example", ""), "");
}

// A part that is off by more than one request per other part violates the split
// that is guaranteed over a short window.
RC_GTEST_PROP(SplitSchedule, EachPartIsWithinOneRequestOfItsShare, ()) {
  auto Weights = *rc::gen::container<std::vector<int>>(
      *rc::gen::inRange(2, 5), rc::gen::inRange(0, 100));
  int Total = 0;
  for (int Weight : Weights)
    Total += Weight;
  RC_PRE(Total > 0);
  ServiceRoute Route = route("split", "a", "/");
  Route.Parts.clear();
  for (std::size_t I = 0; I < Weights.size(); ++I)
    Route.Parts.push_back({std::to_string(I), double(Weights[I])});
  SplitSchedule Schedule;
  std::vector<int> Counts(Weights.size());
  int Requests = *rc::gen::inRange(1, 400);
  for (int I = 0; I < Requests; ++I)
    ++Counts[std::stoul(Schedule.next(Route))];
  for (std::size_t I = 0; I < Weights.size(); ++I) {
    double Share = double(Requests) * Weights[I] / Total;
    RC_ASSERT(std::abs(Counts[I] - Share) <= 1.0 * double(Weights.size() - 1));
    RC_ASSERT(Weights[I] > 0 || Counts[I] == 0);
  }
}

// Credits from the old weights would distort the new split.
TEST(SplitSchedule, RestartsWhenThePartsChange) {
  ServiceRoute Route = route("split", "a", "/");
  Route.Parts = {{"old", 99}, {"new", 1}};
  SplitSchedule Schedule;
  for (int I = 0; I < 30; ++I)
    Schedule.next(Route);
  Route.Parts = {{"old", 0}, {"new", 100}};
  for (int I = 0; I < 10; ++I)
    EXPECT_EQ(Schedule.next(Route), "new");
}

} // namespace
