// HistoryCheckTest.cpp - Tests of the history checker, one fault at a time.

#include "HistoryCheck.h"
#include "EchoBody.h"

#include <gtest/gtest.h>

using namespace figsail;

namespace {

/// A correct history: booking "a" is refused as not run and succeeds at another
/// target; the response to booking "b" is lost and replayed; "c" is a GET.
class HistoryCheckTest : public testing::Test {
protected:
  HistoryCheckTest() {
    add("a", 0, 503, "no");
    add("a", 1, 200, "");
    add("b", 0, 0, "");
    add("b", 1, 200, "");
    add("c", 0, 200, "");
    for (Attempt &Entry : History)
      if (Entry.LogicalId == "c")
        Entry.BookingId.clear();
    Runs = {{"1", "a", "a.1", "a", 1, 2},
            {"2", "b", "b.0", "b", 3, 4},
            {"3", "c", "c.0", "", 5, 6}};
  }

  void add(const std::string &Id, std::uint32_t Number, std::uint32_t Status,
           const std::string &Run) {
    Attempt Entry;
    Entry.LogicalId = Id;
    Entry.AttemptId = Id + "." + std::to_string(Number);
    Entry.BookingId = Id;
    Entry.Number = Number;
    Entry.Target = "127.0.0.1:1";
    Entry.DueMicros = 10;
    Entry.StartMicros = 20;
    Entry.EndMicros = 110;
    Entry.Status = Status;
    Entry.RunOutcome = Run;
    Entry.ErrorName = Run.empty() ? "" : "overloaded";
    Entry.Failure = Status == 0 ? "connection-lost" : "";
    Entry.Echo = Status == 200 ? EchoResult::Match : EchoResult::NotChecked;
    Entry.BodyHash = Status == 200 ? textHash(Id) : 0;
    History.push_back(Entry);
  }

  std::vector<Finding> findings() {
    return checkHistory(History, Runs).Findings;
  }
  static std::vector<Finding> only(Violation Rule, const std::string &Id) {
    return {{Rule, Id}};
  }

  std::vector<Attempt> History;
  std::vector<RunRecord> Runs;
};

} // namespace

TEST_F(HistoryCheckTest, CorrectHistoryHasNoFindings) {
  CheckResult Result = checkHistory(History, Runs);
  EXPECT_TRUE(Result.Findings.empty());
  EXPECT_EQ(Result.LogicalRequests, 3U);
  EXPECT_EQ(Result.AnsweredRequests, 3U);
  EXPECT_EQ(Result.RunCount, 3U);
  std::map<std::string, std::uint64_t> Counts{
      {"200", 3}, {"503 overloaded run:no", 1}, {"connection-lost", 1}};
  EXPECT_EQ(Result.OutcomeCounts, Counts);
  EXPECT_EQ(Result.Latencies, (std::vector<std::int64_t>{100, 100, 100}));
}

TEST_F(HistoryCheckTest, BookingThatRanTwiceIsFoundOnce) {
  Runs.push_back({"4", "b", "b.1", "b", 7, 8});
  Runs.push_back({"5", "b", "b.1", "b", 9, 0});
  EXPECT_EQ(findings(), only(Violation::RanTwice, "b"));
}

// A run without an end record may have had its effect.
TEST_F(HistoryCheckTest, UnfinishedSecondRunCounts) {
  Runs.push_back({"4", "b", "b.1", "b", 7, 0});
  EXPECT_EQ(findings(), only(Violation::RanTwice, "b"));
}

TEST_F(HistoryCheckTest, RepeatedIdempotentRunIsNoViolation) {
  Runs.push_back({"4", "c", "c.0", "", 7, 8});
  EXPECT_TRUE(findings().empty());
}

TEST_F(HistoryCheckTest, NotRunThatRanIsFound) {
  Runs[0].AttemptId = "a.0";
  EXPECT_EQ(findings(), only(Violation::FalseNotRun, "a.0"));
}

TEST_F(HistoryCheckTest, UnknownThatRanIsNoViolation) {
  Runs[0].AttemptId = "a.0";
  History[0].RunOutcome = "unknown";
  EXPECT_TRUE(findings().empty());
}

TEST_F(HistoryCheckTest, WrongBodyIsFound) {
  History[4].Echo = EchoResult::Mismatch;
  EXPECT_EQ(findings(), only(Violation::WrongBody, "c.0"));
}

TEST_F(HistoryCheckTest, AnswerWithoutARunIsFound) {
  Runs.pop_back();
  EXPECT_EQ(findings(), only(Violation::AnsweredWithoutRun, "c"));
  Runs.clear();
  EXPECT_EQ(findings().size(), 3U);
}

TEST_F(HistoryCheckTest, DifferentAnswersToOneBookingAreFound) {
  add("a", 2, 200, "");
  EXPECT_TRUE(findings().empty());
  History.back().BodyHash = 1;
  EXPECT_EQ(findings(), only(Violation::DifferentBody, "a"));
}

TEST_F(HistoryCheckTest, WithoutRunsOnlyBodiesAreChecked) {
  EXPECT_TRUE(checkHistory(History, std::nullopt).Findings.empty());
  History[4].Echo = EchoResult::Mismatch;
  EXPECT_EQ(checkHistory(History, std::nullopt).Findings,
            only(Violation::WrongBody, "c.0"));
}

TEST_F(HistoryCheckTest, LinesSurviveARoundTrip) {
  for (const Attempt &Entry : History)
    EXPECT_EQ(std::get<Attempt>(parseAttempt(formatAttempt(Entry))), Entry);
}

// Skipping a damaged line could hide a violation.
TEST_F(HistoryCheckTest, DamagedLinesAreErrors) {
  std::string Line = formatAttempt(History[1]);
  std::string Truncated = Line.substr(0, Line.rfind(' '));
  for (const std::string &Bad :
       {Truncated, Line + " x", Truncated + " maybe", std::string()})
    EXPECT_TRUE(std::holds_alternative<std::string>(parseAttempt(Bad))) << Bad;
  RunRecordReader Reader;
  for (const char *Bad : {"", "start 1.1 1 a a.0", "end 1.1 2", "stop 1.1 2"})
    EXPECT_NE(Reader.addLine(Bad), std::nullopt) << Bad;
}

TEST_F(HistoryCheckTest, RecordsOfKilledServerAreRead) {
  RunRecordReader Reader;
  for (const char *Line : {"start 7.1 1 a a.0 a", "start 7.2 2 c c.0 -",
                           "end 7.1 3", "start 8.1 1 b b.0 b"})
    EXPECT_EQ(Reader.addLine(Line), std::nullopt);
  ASSERT_EQ(Reader.records().size(), 3U);
  EXPECT_EQ(Reader.records()[0].End, 3U);
  EXPECT_EQ(Reader.records()[1].BookingId, "");
  EXPECT_EQ(Reader.records()[2].End, 0U);
}

TEST(EchoBodyTest, OnlyTheWholeBodyOfTheSameIdPasses) {
  std::string Body = makeEchoBody("id-1", 50);
  EXPECT_TRUE(isEchoBody(Body, "id-1"));
  EXPECT_TRUE(isEchoBody(makeEchoBody("", 0), ""));
  EXPECT_FALSE(isEchoBody(Body, "id-2"));
  EXPECT_FALSE(isEchoBody(Body + "x", "id-1"));
  EXPECT_FALSE(isEchoBody(Body.substr(0, Body.size() - 1), "id-1"));
  EXPECT_FALSE(isEchoBody(Body.substr(0, 20), "id-1"));
  EXPECT_FALSE(isEchoBody("", "id-1"));
  Body.back() = '#';
  EXPECT_FALSE(isEchoBody(Body, "id-1"));
}

TEST(QuantileTest, IsTheSmallestValueThatCoversTheShare) {
  std::vector<std::int64_t> Values;
  EXPECT_EQ(quantile(Values, 0.5), 0);
  for (std::int64_t I = 1; I <= 1000; ++I)
    Values.push_back(I);
  EXPECT_EQ(quantile(Values, 0.5), 500);
  EXPECT_EQ(quantile(Values, 0.99), 990);
  EXPECT_EQ(quantile(Values, 0.999), 999);
  EXPECT_EQ(quantile({7}, 0.999), 7);
}
