// ConfigurationTest.cpp - Guards against invalid trees and wrong look-ups.

#include "TreeTestFunctions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;

static Configuration makeTree(std::vector<NodeEdit> Edits) {
  Configuration Tree;
  Change Proposal{"setup", std::move(Edits)};
  EXPECT_EQ(rejectionOf(Tree.check(Proposal)).Reason, "");
  Tree.apply(Proposal, 0);
  return Tree;
}

/// Returns the reason why a single edit is rejected, or an empty text.
static std::string reasonOf(const Configuration &Tree, const NodeEdit &Edit) {
  return rejectionOf(Tree.check({"id", {Edit}})).Reason;
}

TEST(Configuration, ChildrenInheritAndOverrideSettings) {
  Configuration Tree = makeTree(
      {edit("/w", NodeKind::Workspace, {{"deadline", "250ms"}, {"share", "7"}}),
       edit("/w/s", NodeKind::Service, {{"idempotent", "true"}}),
       route("/w/s/r", "/r", "", {{"identity", "header:Booking-Id"}}),
       route("/w/s/q", "/q", "", {{"deadline", "1s"}})});
  auto Route = Tree.findRoute("POST", "/r?x=1");
  ASSERT_TRUE(Route);
  EXPECT_EQ(Route->Deadline, std::chrono::milliseconds(250));
  EXPECT_EQ(Route->Policy.Share, 7U);
  EXPECT_TRUE(Route->Policy.Idempotent);
  EXPECT_EQ(Route->Policy.RecordLifetime, std::chrono::minutes(10));
  EXPECT_EQ(Route->Identity.HeaderName, "Booking-Id");
  EXPECT_EQ(Route->Policy.Workspace, "/w");
  EXPECT_EQ(Tree.findRoute("GET", "/q")->Deadline, std::chrono::seconds(1));
  auto Effective = Tree.effectiveSettings("/w/s/q");
  EXPECT_EQ(Effective.at("idempotent").Origin, "/w/s");
  EXPECT_EQ(Effective.at("max_body").Origin, "");
}

// A request must not run twice on a route that is not declared idempotent.
TEST(Configuration, RoutesAreNotIdempotentUnlessDeclared) {
  EXPECT_FALSE(makeTree(smallTree()).findRoute("GET", "/t")->Policy.Idempotent);
}

TEST(Configuration, RejectsInvalidEdits) {
  Configuration Tree = makeTree(smallTree());
  auto ExpectRejected = [&](const NodeEdit &Edit, const std::string &Reason) {
    EXPECT_NE(reasonOf(Tree, Edit).find(Reason), std::string::npos)
        << Edit.Path << ": " << reasonOf(Tree, Edit);
  };
  ExpectRejected(edit("/w/s/x/y", NodeKind::Route), "does not exist");
  ExpectRejected(edit("/w/x", NodeKind::Route),
                 "cannot stand below a workspace");
  ExpectRejected(edit("/x", NodeKind::Service), "cannot stand below the top");
  ExpectRejected(edit("/w/x", NodeKind::Workspace),
                 "cannot stand below a workspace");
  ExpectRejected(edit("/w/s/x", NodeKind::Route), "must declare match_path");
  ExpectRejected(edit("/w/", NodeKind::Group), "path is not valid");
  ExpectRejected(edit("", NodeKind::Group), "path is not valid");
  ExpectRejected(edit("/failure_domains", NodeKind::Group), "reserved");
  ExpectRejected(edit("/x", NodeKind::FailureDomain),
                 "must be /failure_domains/NAME");
  ExpectRejected(edit("/x", NodeKind::Group, {{"colour", "red"}}),
                 "unknown setting");
  ExpectRejected(edit("/x", NodeKind::Group, {{"deadline", "61s"}}),
                 "1ms..60s");
  ExpectRejected(edit("/x", NodeKind::Group, {{"deadline", "2"}}), "1ms..60s");
  ExpectRejected(edit("/x", NodeKind::Group, {{"record_lifetime", "59s"}}),
                 "1min..24h");
  ExpectRejected(edit("/x", NodeKind::Group, {{"home_regions", "a,,b"}}),
                 "comma list");
  ExpectRejected(edit("/x", NodeKind::Group, {{"match_path", "/"}}),
                 "cannot declare");
  ExpectRejected(edit("/x", NodeKind::Group, {{"in_service", "no"}}),
                 "cannot declare");
  ExpectRejected(edit("/failure_domains/d", NodeKind::FailureDomain,
                      {{"in_service", "no"}}),
                 "true|false");
  ExpectRejected(route("/w/s/x", "no-slash"), "/PREFIX*");
  ExpectRejected(route("/w/s/x", "/a*b"), "/PREFIX*");
  ExpectRejected(route("/w/s/x", "/t"), "\"/w/t/r\" has the same method");
  ExpectRejected(removal("/w", NodeKind::Workspace, 0), "has children");
  ExpectRejected(edit("/w", NodeKind::Group, {}, 0), "kind cannot change");
  ExpectRejected(removal("/w/t/r", NodeKind::FailureDomain, 0),
                 "kind cannot change");
  ExpectRejected(removal("/w/x", NodeKind::Service, NoOffset),
                 "does not exist");
  EXPECT_EQ(reasonOf(Tree, route("/w/s/x", "/t", "GET")), "");
}

TEST(Configuration, StaleVersionIsAConflict) {
  Configuration Tree = makeTree(smallTree());
  for (const NodeEdit &Edit :
       {edit("/w", NodeKind::Workspace, {}, 5), edit("/w", NodeKind::Workspace),
        edit("/new", NodeKind::Group, {}, 3),
        removal("/gone", NodeKind::Group, 3)})
    EXPECT_TRUE(rejectionOf(Tree.check({"id", {Edit}})).Conflict) << Edit.Path;
}

TEST(Configuration, HomeRegionsOfAnAncestorMustCoverItsChildren) {
  Configuration Tree =
      makeTree({edit("/w", NodeKind::Workspace, {{"home_regions", "a,b"}}),
                edit("/w/s", NodeKind::Service),
                route("/w/s/r", "/r", "", {{"home_regions", "b"}})});
  Rejection Rejected = rejectionOf(Tree.check(
      {"id", {edit("/w", NodeKind::Workspace, {{"home_regions", "a"}}, 0)}}));
  EXPECT_EQ(Rejected.Path, "/w/s/r");
  EXPECT_EQ(Rejected.Setting, "home_regions");
}

TEST(Configuration, ChangeIsCheckedAsAWhole) {
  Configuration Tree = makeTree(smallTree());
  // Two routes exchange their paths.
  NodeEdit First = route("/w/s/q", "/t");
  NodeEdit Second = route("/w/t/r", "/s/q");
  First.ExpectedVersion = Second.ExpectedVersion = 0;
  Change Exchange{"id", {First, Second}};
  ASSERT_TRUE(accepted(Tree.check(Exchange)));
  Tree.apply(Exchange, 1);
  EXPECT_EQ(Tree.findRoute("GET", "/t")->Policy.Route, "/w/s/q");
  EXPECT_EQ(Tree.findRoute("GET", "/s/q")->Policy.Route, "/w/t/r");
  // One change removes a subtree, with its edits in any order.
  Change Removal{"id2",
                 {removal("/w/t", NodeKind::Service, 0),
                  removal("/w/t/r", NodeKind::Route, 1)}};
  ASSERT_TRUE(accepted(Tree.check(Removal)));
  Tree.apply(Removal, 2);
  EXPECT_EQ(Tree.findRoute("GET", "/s/q")->Policy.Route, "/w/s/r");
  EXPECT_FALSE(Tree.nodes().contains("/w/t"));
}

TEST(Configuration, ChangeOfAnAncestorAppliesToItsRoutes) {
  Configuration Tree = makeTree(smallTree());
  Tree.apply({"id", {edit("/w", NodeKind::Workspace, {{"deadline", "5s"}}, 0)}},
             1);
  EXPECT_EQ(Tree.findRoute("GET", "/t")->Deadline, std::chrono::seconds(5));
}

TEST(Configuration, InServiceDependsOnFailureDomainAndHost) {
  Configuration Tree =
      makeTree({edit("/failure_domains/d", NodeKind::FailureDomain,
                     {{"in_service", "false"}}),
                edit("/backend_servers/10.0.0.1:9", NodeKind::BackendServer,
                     {{"in_service", "false"}})});
  EXPECT_FALSE(Tree.inService("d", "10.0.0.2:9"));
  EXPECT_FALSE(Tree.inService("e", "10.0.0.1:9"));
  EXPECT_TRUE(Tree.inService("e", "10.0.0.2:9"));
}

// Guards against status 404 for a HEAD request on a route of GET.
TEST(Configuration, HeadMatchesTheRouteOfGet) {
  Configuration Tree = makeTree(
      {edit("/w", NodeKind::Workspace), edit("/w/s", NodeKind::Service),
       route("/w/s/read", "/read", "GET"), route("/w/s/any", "/any", ""),
       route("/w/s/write", "/write", "POST")});
  auto Found = Tree.findRoute("HEAD", "/read");
  ASSERT_TRUE(Found);
  EXPECT_EQ(Found->Policy.Route, "/w/s/read");
  EXPECT_TRUE(Tree.findRoute("HEAD", "/any"));
  EXPECT_FALSE(Tree.findRoute("HEAD", "/write"));
}

/// Returns how well the method of a route matches that of a request: 0 not at
/// all, 1 the route has no method, 2 GET for a HEAD request, 3 the same method.
static int methodRank(const std::string &Declared, const std::string &Method) {
  if (Declared == Method)
    return 3;
  if (Method == "HEAD" && Declared == "GET")
    return 2;
  return Declared.empty() ? 1 : 0;
}

/// Finds the route for a request by a scan over all routes.
static std::string findByScan(const Configuration &Tree,
                              const std::string &Method,
                              const std::string &Path) {
  std::string Best;
  std::tuple<std::size_t, bool, int> BestRank;
  for (const auto &[Name, Node] : Tree.nodes()) {
    if (Node.Kind != NodeKind::Route)
      continue;
    std::string Match = Node.Settings.at("match_path");
    const std::string &Declared = Node.Settings.at("match_method");
    bool Prefix = Match.ends_with('*');
    if (Prefix)
      Match.pop_back();
    int Fit = methodRank(Declared, Method);
    if (Fit == 0 || !(Prefix ? Path.starts_with(Match) : Path == Match))
      continue;
    std::tuple Rank(Match.size(), !Prefix, Fit);
    if (!Best.empty() && Rank <= BestRank)
      continue;
    Best = Name;
    BestRank = Rank;
  }
  return Best;
}

// Guards against wrong look-ups when prefixes have a common beginning, and when
// an edit leaves an old route in the index.
RC_GTEST_PROP(Configuration, FindRouteEqualsAScan, ()) {
  // Short paths over few characters often are prefixes of each other.
  auto Path = rc::gen::map(rc::gen::resize(5, rc::gen::container<std::string>(
                                                  rc::gen::element('a', '/'))),
                           [](const std::string &Text) { return "/" + Text; });
  auto Match = rc::gen::map(
      rc::gen::pair(Path, rc::gen::arbitrary<bool>()),
      [](const auto &Pair) { return Pair.first + (Pair.second ? "*" : ""); });
  auto Method = rc::gen::element<std::string>("", "GET", "POST", "HEAD");
  Configuration Tree = makeTree(
      {edit("/w", NodeKind::Workspace), edit("/w/s", NodeKind::Service)});
  int Count = *rc::gen::inRange(1, 30);
  for (int I = 1; I <= Count; ++I) {
    NodeEdit Edit = route("/w/s/r" + std::to_string(*rc::gen::inRange(0, 12)),
                          *Match, *Method);
    auto Present = Tree.nodes().find(Edit.Path);
    if (Present != Tree.nodes().end())
      Edit.ExpectedVersion = Present->second.Version;
    Change Proposal{"id", {Edit}};
    if (accepted(Tree.check(Proposal)))
      Tree.apply(Proposal, I);
  }
  for (int I = 0; I < 20; ++I) {
    std::string Requested = *Path;
    std::string Verb =
        *rc::gen::element<std::string>("GET", "POST", "PUT", "HEAD");
    auto Found = Tree.findRoute(Verb, Requested);
    RC_ASSERT((Found ? Found->Policy.Route : "") ==
              findByScan(Tree, Verb, Requested));
  }
}
