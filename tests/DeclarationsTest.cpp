// DeclarationsTest.cpp - Tests that invalid declarations are rejected with file
// and line.

#include "Declarations.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

using namespace figsail;

namespace {

/// Fixture that writes declaration files and removes them after the test.
class DeclarationsTest : public testing::Test {
protected:
  std::string write(const std::string &Name, const std::string &Text) {
    std::string TestName =
        testing::UnitTest::GetInstance()->current_test_info()->name();
    std::string File = testing::TempDir() + TestName + "-" + Name;
    std::ofstream(File) << Text;
    Files.push_back(File);
    return File;
  }

  /// Returns the errors of a file with this text, without the file name.
  std::vector<std::string> errorsOf(const std::string &Text) {
    std::string File = write("a.yaml", Text);
    std::vector<std::string> Lines;
    auto Result = readDeclarations({File});
    if (auto *Errors = std::get_if<std::vector<DeclarationError>>(&Result))
      for (const DeclarationError &Error : *Errors)
        Lines.push_back(describe(Error).substr(File.size() + 1));
    return Lines;
  }

  void TearDown() override {
    for (const std::string &File : Files)
      std::remove(File.c_str());
  }

  std::vector<std::string> Files;
};

} // namespace

using Lines = std::vector<std::string>;

static const char *const SmallTree = R"(workspaces:
  w:
    settings: {deadline: 1s, home_regions: [a, b]}
    services:
      s:
        routes:
          r:
            settings: {match_path: /r, home_regions: b}
failure_domains:
  d:
)";

TEST_F(DeclarationsTest, ReadsNodesAndSettings) {
  auto Result = readDeclarations({write("a.yaml", SmallTree)});
  ASSERT_TRUE(std::holds_alternative<DeclaredTree>(Result));
  auto &Tree = std::get<DeclaredTree>(Result);
  ASSERT_EQ(Tree.size(), 4U);
  EXPECT_EQ(Tree.at("/w").Settings.at("home_regions"), "a,b");
  EXPECT_EQ(Tree.at("/w/s/r").Kind, NodeKind::Route);
  EXPECT_EQ(Tree.at("/w/s/r").Location.Line, 7);
  EXPECT_EQ(Tree.at("/failure_domains/d").Kind, NodeKind::FailureDomain);
}

TEST_F(DeclarationsTest, ReportsTheLineOfEachError) {
  EXPECT_EQ(
      errorsOf(R"(workspaces:
  w:
    settings:
      colour: red
      deadline: 61s
      max_attempts: many
      home_regions: [a]
      share:
    services:
      s:
        settings: {in_service: true}
        routes:
          q:
            settings: {match_path: /same}
          r:
            settings:
              home_regions: [a, b]
              match_path: /r
          t:
            settings:
              match_path: /same
          u: {}
)"),
      Lines({
          "4: /w: unknown setting \"colour\"",
          R"(5: /w: value "61s" of "deadline" is not valid; allowed: )" +
              std::string("1ms..60s"),
          R"(6: /w: value "many" of "max_attempts" is not valid; allowed: )" +
              std::string("1..8"),
          "8: /w: setting \"share\" needs a value",
          R"(11: /w/s: a service node cannot declare the setting "in_service")",
          R"(17: /w/s/r: region "b" is not among the inherited "a")",
          R"(21: /w/s/t: the route "/w/s/q" has the same method and path)",
          "22: /w/s/u: a route must declare match_path",
      }));
}

TEST_F(DeclarationsTest, ReportsTheLineOfStructuralErrors) {
  EXPECT_EQ(errorsOf("workspaces:\n  w:\n    routes: {}\n"),
            Lines{"3: /w: unknown key \"routes\"; allowed: settings services"});
  EXPECT_EQ(errorsOf("workspaces:\n  w: {}\n  w: {}\n").at(0).substr(0, 21),
            "3: /w: duplicate node");
  EXPECT_EQ(errorsOf("groups: {}\ngroups: {}\n"),
            Lines{"2: duplicate key \"groups\""});
  EXPECT_EQ(errorsOf("workspaces:\n- w\n"),
            Lines{"2: expected a mapping from names to nodes"});
  EXPECT_EQ(errorsOf("groups:\n  bad name: {}\n"),
            Lines{"2: /bad name: the path is not valid"});
  EXPECT_EQ(errorsOf("workspaces:\n  w: [\n").at(0).substr(0, 8), "3: YAML:");
}

// An alias inside its own anchor makes the document infinitely deep.
TEST_F(DeclarationsTest, RejectsADocumentThatContainsItself) {
  Lines Errors = errorsOf("groups:\n  g: &g\n    groups:\n      h: *g\n");
  ASSERT_FALSE(Errors.empty());
  EXPECT_NE(Errors.front().find("nested too deeply"), std::string::npos);
}

TEST_F(DeclarationsTest, ReportsBothLocationsOfADuplicateNode) {
  std::string First = write("a.yaml", "workspaces:\n  w: {}\n");
  std::string Second = write("b.yaml", "\nworkspaces:\n\n  w: {}\n");
  auto Result = readDeclarations({First, Second});
  auto &Errors = std::get<std::vector<DeclarationError>>(Result);
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_EQ(describe(Errors[0]), Second +
                                     ":4: /w: duplicate node; first "
                                     "declared at " +
                                     First + ":2");
}

TEST_F(DeclarationsTest, ReportsAFileThatCannotBeRead) {
  auto Result = readDeclarations({"/nonexistent/x.yaml"});
  auto &Errors = std::get<std::vector<DeclarationError>>(Result);
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_EQ(describe(Errors[0]),
            "/nonexistent/x.yaml: the file cannot be read");
}

// Publishing the same files again must not bring a failure domain back into
// service, nor remove a node that another operator added.
TEST_F(DeclarationsTest, PublishingAgainKeepsDomainStateAndOtherNodes) {
  auto Result = readDeclarations({write("a.yaml", SmallTree)});
  auto &Tree = std::get<DeclaredTree>(Result);
  Configuration Current;
  Current.apply({"c0", computeEdits(Tree, Current, false)}, 0);
  EXPECT_TRUE(computeEdits(Tree, Current, true).empty());
  Current.apply({"c1",
                 {{"/failure_domains/d",
                   NodeKind::FailureDomain,
                   false,
                   {{"in_service", "false"}},
                   0},
                  {"/other", NodeKind::Group, false, {}, NoOffset}}},
                1);
  EXPECT_TRUE(computeEdits(Tree, Current, false).empty());
  std::vector<NodeEdit> Pruned = computeEdits(Tree, Current, true);
  ASSERT_EQ(Pruned.size(), 1U);
  EXPECT_EQ(Pruned[0].Path, "/other");
  EXPECT_TRUE(Pruned[0].Remove);
  Tree.at("/w").Settings["deadline"] = "2s";
  std::vector<NodeEdit> Edits = computeEdits(Tree, Current, false);
  ASSERT_EQ(Edits.size(), 1U);
  EXPECT_EQ(Edits[0].ExpectedVersion, 0);
}

TEST_F(DeclarationsTest, ExamplesAreValid) {
  for (const char *Name : {"tsukushi.yaml", "fraserline.yaml"}) {
    auto Result =
        readDeclarations({std::string(FIGSAIL_EXAMPLES_DIR "/") + Name});
    ASSERT_TRUE(std::holds_alternative<DeclaredTree>(Result)) << Name;
    int Services = 0;
    int WithIdentity = 0;
    for (const auto &[Path, Node] : std::get<DeclaredTree>(Result)) {
      Services += Node.Kind == NodeKind::Service ? 1 : 0;
      WithIdentity += Node.Settings.contains("identity") ? 1 : 0;
    }
    EXPECT_EQ(Services, 4) << Name;
    EXPECT_GE(WithIdentity, 3) << Name;
  }
}
