// FigsailctlTest.cpp - Tests that figsailctl reports correctly whether a change
// took effect.

#include "../standins/LogStandin.h"
#include "ControlCommands.h"
#include "LogReplica.h"
#include "TreeTestFunctions.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>

using namespace figsail;

namespace {

namespace asio = boost::asio;
const asio::ip::tcp::endpoint AnyPort(asio::ip::address_v4::loopback(), 0);

/// Status and output of a command.
struct CommandResult {
  ControlStatus Status = ControlStatus::Success;
  std::string Out;
  std::string Error;
};

/// Fixture that runs a simulated log service and a simulated operator interface
/// on one thread.
class FigsailctlTest : public testing::Test {
protected:
  void SetUp() override {
    Address = text(Log.listen(AnyPort));
    OperatorAddress = text(Operators.listen(AnyPort));
    Loop = std::thread([this] { Context.run(); });
  }

  void TearDown() override {
    Context.stop();
    Loop.join();
    for (const std::string &File : Files)
      std::remove(File.c_str());
  }

  static std::string text(const asio::ip::tcp::endpoint &Endpoint) {
    std::ostringstream Text;
    Text << Endpoint;
    return Text.str();
  }

  /// Runs a function on the thread of the simulators.
  template <class Function> auto runOnLoop(Function Call) {
    std::packaged_task<decltype(Call())()> Task(Call);
    auto Result = Task.get_future();
    asio::post(Context, [&Task] { Task(); });
    return Result.get();
  }

  CommandResult run(ArgumentList Arguments) {
    std::ostringstream Out;
    std::ostringstream Error;
    Arguments.insert(Arguments.begin(),
                     {"--log=" + Address, "--patience=5", "--timeout=2"});
    ControlStatus Status = runFigsailctl(Arguments, Out, Error);
    return {Status, Out.str(), Error.str()};
  }

  std::string write(const std::string &Deadline) {
    std::string TestName =
        testing::UnitTest::GetInstance()->current_test_info()->name();
    Files.push_back(testing::TempDir() + "figsailctl-" + TestName + "-" +
                    Deadline);
    std::ofstream(Files.back())
        << "workspaces:\n  w:\n    settings: {deadline: " << Deadline
        << "}\nfailure_domains:\n  d:\n";
    return Files.back();
  }

  void append(const RecordBody &Body) {
    LogConnection(Address, std::chrono::seconds(2)).append(encodeRecord(Body));
  }

  asio::io_context Context;
  LogStandin Log{Context, {}};
  HttpService Operators{
      Context,
      [](const HttpService::Request &Request, const HttpService::Reply &Send) {
        bool IsStatusRequest =
            Request.body().find("\"status\"") != std::string::npos;
        Send(makeResponse(boost::beast::http::status::ok,
                          IsStatusRequest
                              ? R"({"id":1,"jsonrpc":"2.0","result":)"
                                R"({"applied":0,"listed":true}})"
                              : "{}",
                          "application/json"));
      }};
  std::thread Loop;
  std::string Address;
  std::string OperatorAddress;
  std::vector<std::string> Files;
};

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_F(FigsailctlTest, PublishesOnceAndShowsOrigins) {
  std::string File = write("750ms");
  CommandResult First = run({"publish", File});
  EXPECT_EQ(First.Status, ControlStatus::Success) << First.Error;
  EXPECT_TRUE(contains(First.Out, "add /w\n")) << First.Out;
  EXPECT_TRUE(contains(First.Out, "accepted: change ")) << First.Out;
  EXPECT_TRUE(contains(First.Out, "2 nodes, at offset 0")) << First.Out;
  EXPECT_EQ(run({"publish", File}).Out, "nothing to publish\n");
  CommandResult Shown = run({"show", "/w"});
  EXPECT_TRUE(contains(Shown.Out, "deadline = 750ms  [declared here]"))
      << Shown.Out;
  EXPECT_TRUE(contains(Shown.Out, "max_body = 1MiB  [default]")) << Shown.Out;
  EXPECT_EQ(run({"show", "/x"}).Status, ControlStatus::Failed);
}

// The log service stores the record, but its acknowledgement is lost.
TEST_F(FigsailctlTest, FindsTheOutcomeInTheLogAfterALostAcknowledgement) {
  runOnLoop([this] { Log.control({{"lose_next_answer", "1"}}); });
  CommandResult Result = run({"publish", write("1s")});
  EXPECT_EQ(Result.Status, ControlStatus::Success) << Result.Error;
  EXPECT_TRUE(contains(Result.Out, "at offset 0")) << Result.Out;
}

TEST_F(FigsailctlTest, DoesNotPublishWhileTheLogServiceIsDown) {
  std::string File = write("1s");
  runOnLoop([this] { Log.control({{"outage", "1"}}); });
  CommandResult Result = run({"publish", File});
  EXPECT_EQ(Result.Status, ControlStatus::Failed);
  EXPECT_TRUE(contains(Result.Error, "cannot be read")) << Result.Error;
  EXPECT_EQ(runOnLoop([this] { return Log.size(); }), 0U);
}

// Both changes edit version 0 of "/w", and alice-1 comes first in the log.
TEST_F(FigsailctlTest, ReportsTheConflictingChange) {
  ASSERT_EQ(run({"publish", write("1s")}).Status, ControlStatus::Success);
  LogConnection Connection(Address, std::chrono::seconds(2));
  LogReplica SlowReplica(Connection);
  ASSERT_FALSE(SlowReplica.catchUp());
  append(Change{"alice-1",
                {edit("/w", NodeKind::Workspace, {{"deadline", "3s"}}, 0)}});
  Change LateChange{"bob-1",
                    {edit("/w", NodeKind::Workspace, {{"deadline", "4s"}}, 0)}};
  ProposalOutcome Outcome =
      SlowReplica.propose(LateChange, std::chrono::seconds(5));
  ASSERT_TRUE(Outcome.FinalVerdict);
  EXPECT_TRUE(rejectionOf(*Outcome.FinalVerdict).Conflict);
  CommandResult Verdict = run({"verdict", "bob-1"});
  EXPECT_EQ(Verdict.Status, ControlStatus::Conflict);
  EXPECT_TRUE(
      contains(Verdict.Error,
               "the last edit of this node is change alice-1 at offset 1"))
      << Verdict.Error;
  EXPECT_EQ(run({"verdict", "carol-1"}).Status, ControlStatus::OutcomeUnknown);
}

TEST_F(FigsailctlTest, TakesADomainOutOfServiceAndBringsItBack) {
  Member Listed;
  Listed.Host = "127.0.0.1:9";
  Listed.Inc = 5;
  Listed.FailureDomain = "d";
  Listed.OperatorAddress = OperatorAddress;
  append(JoinRecord{Listed});
  ArgumentList TakeOut{"take-out", "failure-domain", "d"};
  EXPECT_EQ(run(TakeOut).Status, ControlStatus::Success);
  EXPECT_TRUE(contains(run({"members"}).Out, "out of service"));
  EXPECT_TRUE(contains(run(TakeOut).Out, "already out of service"));
  EXPECT_EQ(run({"bring-back", "failure-domain", "d"}).Status,
            ControlStatus::Success);
  EXPECT_FALSE(contains(run({"members"}).Out, "out of service"));
  EXPECT_EQ(run({"take-out", "failure-domain", "misspelt"}).Status,
            ControlStatus::Failed);
  CommandResult Offsets = run({"offsets"});
  EXPECT_EQ(Offsets.Out, "127.0.0.1:9: applied 0, behind by 2\n");
  EXPECT_TRUE(contains(run({"status"}).Out, "listed: true"));
  EXPECT_EQ(run({"status", "127.0.0.1:8"}).Status, ControlStatus::Failed);
}

TEST_F(FigsailctlTest, InvalidFilesAreNotPublished) {
  CommandResult Result = run({"publish", write("99s")});
  EXPECT_EQ(Result.Status, ControlStatus::Failed);
  EXPECT_TRUE(contains(Result.Error, ":3: /w: value \"99s\"")) << Result.Error;
  EXPECT_EQ(runOnLoop([this] { return Log.size(); }), 0U);
}

TEST_F(FigsailctlTest, ProgramReportsBadUsageByItsExitStatus) {
  auto ExitStatus = [](const std::string &Arguments) {
    std::string Line = FIGSAIL_BIN_DIR "/figsailctl " + Arguments;
    // NOLINTNEXTLINE(bugprone-command-processor): runs the built program.
    int Status = std::system((Line + " >/dev/null 2>&1").c_str());
    return WEXITSTATUS(Status);
  };
  EXPECT_EQ(ExitStatus("--help"), 0);
  EXPECT_EQ(ExitStatus(""), 2);
  EXPECT_EQ(ExitStatus("--colour=red show"), 2);
  EXPECT_EQ(ExitStatus("unknown"), 2);
  EXPECT_EQ(ExitStatus("check"), 2);
  EXPECT_EQ(ExitStatus("--log=nowhere show"), 2);
  EXPECT_EQ(ExitStatus("--timeout=0 check x"), 2);
  EXPECT_EQ(ExitStatus("--log=127.0.0.1:1 take-out rack r"), 2);
  EXPECT_EQ(ExitStatus("check /nonexistent/x.yaml"), 1);
  EXPECT_EQ(ExitStatus("check " FIGSAIL_EXAMPLES_DIR "/tsukushi.yaml"), 0);
  EXPECT_EQ(ExitStatus("--log=127.0.0.1:1 show"), 1);
}
