// OddRecordsTest.cpp - Tests of records, reports and settings that another
// writer has left: deep nesting, numbers beyond every type, invalid addresses.

#include "JsonRecordDecoder.h"
#include "JsonReportCodec.h"
#include "Settings.h"
#include "SidecarFixture.h"
#include "StoreClient.h"

#include "figsail/DurationLimits.h"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace figsail;
using namespace figsail::test;

namespace {

/// More than any parser recurses, and more than the stack would hold.
constexpr std::size_t DeepNesting = 200000;

const HostId Host = "10.0.0.7:7000";

std::string nested() {
  return std::string(DeepNesting, '[') + std::string(DeepNesting, ']');
}

/// Returns the text with its first occurrence of From replaced by To.
std::string replaced(std::string Text, std::string_view From,
                     std::string_view To) {
  std::size_t At = Text.find(From);
  EXPECT_NE(At, std::string::npos) << From;
  return Text.replace(At, From.size(), To);
}

std::string validAnnouncement() {
  Announcement Announced = announcement(Host);
  Announced.Instance = "i-7";
  return encodeAnnouncement(Announced);
}

TopicContent decodeMember(const std::string &Value,
                          const std::string &Key = Host) {
  return platform::JsonRecordDecoder().decode(Topic::Members, {Key, Value, 1});
}

bool isUnusable(const TopicContent &Content) {
  return std::holds_alternative<UnusableRecord>(Content);
}

/// Texts that stand for a number but are none that fits a field.
const std::vector<std::string> OddNumbers{
    "-1",        "1.5",   "1e400", "-1e400", "18446744073709551616",
    "1e99",      "\"1\"", "nan",   "null",   "[]",
    "{\"a\":[]}"};

// Announcements.

// Guards against a record under one host's key that names another host: it
// would replace the announcement of a host that its writer does not own.
TEST(OddMemberRecords, AnAnnouncementUnderAnotherKeyIsUnusable) {
  EXPECT_FALSE(isUnusable(decodeMember(validAnnouncement())));
  EXPECT_TRUE(isUnusable(decodeMember(validAnnouncement(), "10.0.0.8:7000")));
  EXPECT_TRUE(isUnusable(decodeMember(validAnnouncement(), "")));
}

// Guards against servers that are chosen but cannot be reached: each call to
// them would use up one of its attempts.
TEST(OddMemberRecords, AHostThatIsNoAddressIsUnusable) {
  for (const char *Odd :
       {"10.0.0.7:70000", "10.0.0.7:0", "10.0.0.7:-1", "10.0.0.7", ":7000",
        "0.0.0.0:7000", "desk:7000", "10.0.0.7:7000x", "224.0.0.1:7000", ""}) {
    Announcement Announced = announcement(Odd);
    EXPECT_TRUE(isUnusable(decodeMember(encodeAnnouncement(Announced), Odd)))
        << Odd;
  }
}

TEST(OddMemberRecords, NumbersThatDoNotFitAreUnusable) {
  std::string Valid = validAnnouncement();
  for (const std::string &Odd : OddNumbers)
    for (const char *Field : {"\"generation\":1", "\"incarnation\":77",
                              "\"counter\":1", "\"state\":1", "\"slots\":10"}) {
      std::string Name(Field);
      Name.resize(Name.find(':') + 1);
      EXPECT_TRUE(isUnusable(decodeMember(replaced(Valid, Field, Name + Odd))))
          << Field << " " << Odd;
    }
}

// Guards against an order that the host's own daemon cannot exceed.
TEST(OddMemberRecords, AGenerationBeyondTheBoundIsUnusable) {
  std::string Beyond = std::to_string(MaxGeneration + 1);
  EXPECT_TRUE(isUnusable(decodeMember(replaced(
      validAnnouncement(), "\"generation\":1", "\"generation\":" + Beyond))));
}

TEST(OddMemberRecords, DeepNestingAndHugeTextAreUnusable) {
  EXPECT_TRUE(isUnusable(decodeMember(nested())));
  EXPECT_TRUE(isUnusable(decodeMember(replaced(
      validAnnouncement(), "\"booking\"", "{\"a\":" + nested() + "}"))));
  std::string Huge = '"' + std::string(200000, 'x') + '"';
  EXPECT_TRUE(isUnusable(
      decodeMember(replaced(validAnnouncement(), "\"booking\"", Huge))));
  EXPECT_TRUE(isUnusable(decodeMember("\xff\xfe{")));
  EXPECT_TRUE(isUnusable(decodeMember("")));
}

// Guards against an odd entry that shuts out the host's own announcements for
// ever. Generations end, so from the last one on the store's order decides.
TEST(OddMemberRecords, TheHighestOrderDoesNotShutOutTheTrueAnnouncement) {
  InstanceDirectory Directory;
  Announcement Odd = announcement(Host);
  Odd.Order = {MaxGeneration, ~Incarnation(0), ~std::uint64_t(0)};
  Odd.Instance = "odd";
  EXPECT_TRUE(Directory.merge(Odd));
  Announcement True = announcement(Host);
  True.Order = {MaxGeneration, 5, 1};
  EXPECT_TRUE(Directory.merge(True));
  EXPECT_EQ(Directory.find(Host)->Instance, True.Instance);
  True.Order.Counter = 0;
  EXPECT_FALSE(Directory.merge(True)) << "an older one of the same daemon";
}

/// A reducer that has read both topics and announced itself.
struct OwnKeyTest : SidecarTest {
  OwnKeyTest() {
    loadTopics();
    reportServer(heartbeat());
    finishAppends();
  }
  /// Acknowledges appends until none is due. Returns the last announcement.
  std::optional<Announcement> finishAppends() {
    std::optional<Announcement> Last;
    for (int I = 0; I < 10; ++I) {
      auto Sent = effects<Announce>(apply(AnnouncementResult{true, "", 0}));
      if (Sent.empty())
        break;
      Last = Sent[0].Content;
    }
    return Last;
  }
  HostId self() const { return testSettings().Host; }
  /// Delivers a record under this host's key. Returns the announcement that
  /// follows, if there is one.
  std::optional<Announcement> ownRecord(TopicContent Content) {
    Offset At = ++MemberOffset;
    Decoder.Contents[self() + "@" + std::to_string(At)] = std::move(Content);
    auto Sent = effects<Announce>(
        apply(TopicRecords{Topic::Members, {{self(), "x", At}}, At + 1}));
    return Sent.empty() ? std::nullopt : std::optional(Sent[0].Content);
  }
};

// Guards against a host that the other daemons lose: its key holds what nobody
// can read, and a daemon that starts finds no server there.
TEST_F(OwnKeyTest, AnUnusableRecordUnderTheOwnKeyIsReplaced) {
  EXPECT_TRUE(ownRecord(UnusableRecord{self(), "odd"}));
}

TEST_F(OwnKeyTest, AnOrderThatIsTooHighIsExceeded) {
  Announcement Odd = announcement(self());
  Odd.Order = {MaxGeneration - 1, 9, 9};
  auto Own = ownRecord(Odd);
  ASSERT_TRUE(Own);
  EXPECT_TRUE(Odd.Order < Own->Order);
  finishAppends();
  Odd.Order = {MaxGeneration, 9, 9};
  Own = ownRecord(Odd);
  ASSERT_TRUE(Own);
  EXPECT_EQ(Own->Order.Generation, MaxGeneration);
}

// Another writer copied this daemon's own announcement and its number grew.
TEST_F(OwnKeyTest, AHigherCounterOfThisIncarnationIsExceeded) {
  Announcement Odd = announcement(self());
  Odd.Order = {0, 1, ~std::uint64_t(0)};
  auto Own = ownRecord(Odd);
  ASSERT_TRUE(Own);
  EXPECT_TRUE(Odd.Order < Own->Order);
}

// Guards against unusable entries that operators do not see.
TEST_F(OwnKeyTest, UnusableRecordsAreCountedAndLoggedOnce) {
  Offset At = ++MemberOffset;
  SidecarEffects Out =
      apply(TopicRecords{Topic::Members, {{"odd", "x", At}}, At + 1});
  auto Counted = [&] {
    std::uint64_t Sum = 0;
    for (const Count &Action : effects<Count>(Out))
      if (Action.Which == Counter::RecordsUnusable)
        Sum += Action.By;
    return Sum;
  };
  EXPECT_EQ(Counted(), 1U);
  EXPECT_EQ(loggedField(Out, "record-unusable", "key"), "odd");
  Out = apply(TopicRecords{Topic::Members, {{"odd", "x", At}}, At + 1});
  EXPECT_EQ(Counted(), 0U);
  EXPECT_FALSE(logged(Out, "record-unusable"));
}

// Guards against a report that names a service which nobody configured: the
// host would be announced for it instead of for its true server.
TEST_F(OwnKeyTest, AReportForAnUnknownServiceNamesNoServer) {
  ServerHeartbeat Odd = heartbeat(9, "odd", 5000);
  Odd.Service = "unknown";
  auto Answers = effects<AnswerReport>(apply(Odd));
  ASSERT_EQ(Answers.size(), 1U);
  EXPECT_FALSE(Answers[0].Accepted);
  EXPECT_EQ(Reducer.server().instance(), "i-1");
}

// Pages of the store.

std::string newestPage(const std::string &Items) {
  return R"({"items":[)" + Items + R"(],"HasMore":false,"EndOffset":9})";
}

// Guards against an entry that hides all others: the page was rejected as a
// whole, read again, and rejected again.
TEST(OddStorePages, AnUnreadableItemDoesNotHideTheOthers) {
  const std::string Good = R"({"Key":"a","Value":"dg==","Offset":3})";
  for (const std::string &Odd : std::vector<std::string>{
           R"({"Key":"b","Value":"***","Offset":4})",
           R"({"Key":"b","Value":7,"Offset":4})",
           R"({"Key":"b","Value":"dg==","Offset":1e300})",
           R"({"Key":"b","Value":"dg=="})",
           R"({"Key":"b","Value":"dg==","Offset":-4})",
           "{\"Key\":\"\xff\xfe\",\"Value\":\"dg==\",\"Offset\":4}",
           R"({"Key":{"a":[]},"Value":"dg==","Offset":4})", "7", "[[]]"}) {
    std::string Items = Odd;
    Items.append(",").append(Good);
    auto Page = platform::decodeNewestPage(newestPage(Items));
    ASSERT_TRUE(Page) << Odd;
    ASSERT_FALSE(Page->Records.empty()) << Odd;
    EXPECT_EQ(Page->Records.back(), (KeyedRecord{"a", "v", 3})) << Odd;
    EXPECT_EQ(Page->LastKey, "a") << Odd;
    EXPECT_EQ(Page->End, 9) << Odd;
  }
}

// Guards against a reader that never ends: the next page is requested after
// the last key.
TEST(OddStorePages, APageWithoutAKeyToContinueAfterIsRejected) {
  EXPECT_FALSE(platform::decodeNewestPage(
      R"({"items":[7],"HasMore":true,"EndOffset":9})"));
}

// Configurations.

const std::string ValidConfig =
    R"({"Version":"0000000c","Routes":[)"
    R"({"Name":"r1","Host":"a.example","PathPrefix":"/x/",)"
    R"("Kind":"idempotent","TimeoutMs":1000,"TargetLatencyMs":400,)"
    R"("Priority":1,"TrafficSplit":[{"Service":"a","Weight":90},)"
    R"({"Service":"b","Weight":10}],"Attempts":2}],)"
    R"("Services":[{"Name":"till","HealthPath":"/h","ConnectionLimit":260,)"
    R"("ColdPerS":40.0}],)"
    R"("Limits":{"HeaderBytes":16384,"BodyBytes":1048576,)"
    R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

TopicContent decodeConfig(const std::string &Text) {
  return platform::JsonRecordDecoder().decode(Topic::Operator,
                                              {"config", Text, 3});
}

// Guards against a time that overflows when it is added to another one.
TEST(OddConfigurations, ALongTimeIsBounded) {
  for (const char *Long : {"1e300", "9e18", "1e400"}) {
    TopicContent Content =
        decodeConfig(replaced(ValidConfig, "\"TimeoutMs\":1000",
                              std::string("\"TimeoutMs\":") + Long));
    auto *Config = std::get_if<ConfigPtr>(&Content);
    if (!Config)
      continue; // Rejected with a reason.
    EXPECT_EQ((*Config)->findRoute("a.example", "/x/1")->Timeout, MaxDuration);
  }
}

TEST(OddConfigurations, NumbersThatAreNoneAreUnusable) {
  for (const char *Odd : {"-1", "-1e300", "\"1\"", "nan", "[]"}) {
    for (const char *Name : {"\"TimeoutMs\":1000", "\"Weight\":90",
                             "\"ColdPerS\":40.0", "\"IdleTimeoutMs\":15000"}) {
      std::string Field(Name);
      Field.resize(Field.find(':') + 1);
      EXPECT_TRUE(
          isUnusable(decodeConfig(replaced(ValidConfig, Name, Field + Odd))))
          << Name << " " << Odd;
    }
  }
  EXPECT_TRUE(isUnusable(decodeConfig(nested())));
}

// Reports of the server.

const std::string ValidHeartbeat =
    R"({"Service":"till","Address":"10.0.0.1:80","Zone":"a","Version":"v1",)"
    R"("Slots":11,"State":"ready","ColdRemainingMs":1500,"Sequence":4,)"
    R"("born":1767225600000})";

unsigned reportStatus(const std::string &Method, const std::string &Body) {
  Report Read =
      platform::JsonReportCodec().decode(Method, "/v1/instances/i-1", Body);
  const auto *Invalid = std::get_if<InvalidReport>(&Read);
  return Invalid ? Invalid->Status : 0;
}

TEST(OddReports, AnAddressThatIsNoneIsRejected) {
  for (const char *Odd : {"10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1:-1",
                          "10.0.0.1", "", "0.0.0.0:80"})
    EXPECT_EQ(reportStatus("PUT", replaced(ValidHeartbeat, "10.0.0.1:80", Odd)),
              400U)
        << Odd;
}

TEST(OddReports, OddNumbersAndNestingAreRejected) {
  EXPECT_EQ(reportStatus("PUT", ValidHeartbeat), 0U);
  for (const std::string &Odd : OddNumbers)
    for (const char *Name : {"\"Slots\":11", "\"Sequence\":4"}) {
      std::string Field(Name);
      Field.resize(Field.find(':') + 1);
      EXPECT_EQ(
          reportStatus("PUT", replaced(ValidHeartbeat, Name, Field + Odd)),
          400U)
          << Name << " " << Odd;
    }
  for (const char *Odd : {"1e400", "1e300", "-1", "1.5", "9223372036854775808"})
    EXPECT_EQ(
        reportStatus("PUT", replaced(ValidHeartbeat, "1767225600000", Odd)),
        400U)
        << Odd;
  EXPECT_EQ(reportStatus("PUT", nested()), 400U);
  std::string Deep = ValidHeartbeat;
  Deep.insert(1, "\"Later\":" + nested() + ",");
  EXPECT_EQ(reportStatus("PUT", Deep), 400U);
}

// Guards against bytes that count as the leave of the server.
TEST(OddReports, ALeaveWithABodyThatCannotBeReadIsRejected) {
  EXPECT_EQ(reportStatus("DELETE", ""), 0U);
  EXPECT_EQ(reportStatus("DELETE", "{}"), 0U);
  for (const std::string &Odd :
       {nested(), std::string("\xff"), std::string("7"),
        std::string("{\"born\":1e300}"), std::string("{\"born\":")})
    EXPECT_EQ(reportStatus("DELETE", Odd), 400U) << Odd.substr(0, 20);
}

// The settings file.

const std::string ValidSettings = R"(SelfNode:
  IpAddress: "10.1.0.8"
  Zone: "hakata"
  Region: "fukuoka"
  Limits: {FileDescriptors: 4100}
  ApplicationAddress: "10.1.0.8:8301"
  Service: "desk"
Network:
  ListenAddresses: {Outbound: "10.1.0.8:8304", Ready: "10.1.0.8:8302", Control: "10.1.0.8:8306"}
  InternalPortRange: [7620, 7635]
  Zones: {hakata: "fukuoka"}
Platform:
  HeartbeatIntervalMs: 1500
  Platform: {Address: "10.200.1.7:8309"}
Terms:
  Bounds: {RetryBudgetRatio: 0.2, RetryBudgetSlack: 64, BudgetWindowS: 10, ColdOverage: 1.5, ColdSlack: 5, GracePeriodS: 6}
)";

// Guards against a process that ends, or computes with an overflown time, when
// the settings file changes while it runs.
TEST(OddSettings, NumbersAndAddressesOutOfRangeAreNamedInTheError) {
  ASSERT_TRUE(std::holds_alternative<SidecarConfiguration>(
      platform::parseSettings(ValidSettings)));
  for (auto [From, To, Field] : std::vector<std::array<std::string, 3>>{
           {"BudgetWindowS: 10", "BudgetWindowS: -1", "BudgetWindowS"},
           {"BudgetWindowS: 10", "BudgetWindowS: .nan", "BudgetWindowS"},
           {"BudgetWindowS: 10", "BudgetWindowS: 0", "BudgetWindowS"},
           {"GracePeriodS: 6", "GracePeriodS: -.inf", "GracePeriodS"},
           {"RetryBudgetRatio: 0.2", "RetryBudgetRatio: -1",
            "RetryBudgetRatio"},
           {"RetryBudgetSlack: 64", "RetryBudgetSlack: .inf",
            "RetryBudgetSlack"},
           {"HeartbeatIntervalMs: 1500", "HeartbeatIntervalMs: -5",
            "HeartbeatIntervalMs"},
           {"[7620, 7635]", "[7620, 70000]", "InternalPortRange"},
           {"[7620, 7635]", "[0, 5]", "InternalPortRange"},
           {"10.200.1.7:8309", "10.200.1.7:83090", "Address"},
           {"10.1.0.8:8301", "10.1.0.8", "ApplicationAddress"}}) {
    auto Read = platform::parseSettings(replaced(ValidSettings, From, To));
    const auto *Error = std::get_if<platform::SettingsError>(&Read);
    ASSERT_TRUE(Error) << To;
    EXPECT_NE(Error->Text.find(Field), std::string::npos) << Error->Text;
  }
}

TEST(OddSettings, LongTimesAreBounded) {
  auto Read = platform::parseSettings(replaced(
      replaced(ValidSettings, "GracePeriodS: 6", "GracePeriodS: 1e300"),
      "HeartbeatIntervalMs: 1500",
      "HeartbeatIntervalMs: 99999999999999999999"));
  const auto *Configuration = std::get_if<SidecarConfiguration>(&Read);
  ASSERT_TRUE(Configuration);
  EXPECT_EQ(Configuration->Settings.Bounds.StopLimit, MaxDuration);
  EXPECT_EQ(Configuration->Settings.Bounds.HeartbeatInterval, MaxDuration);
}

TEST(OddSettings, DeepNestingIsAnError) {
  for (const std::string &Odd :
       {nested(), "SelfNode: " + nested(), std::string(DeepNesting, '{')}) {
    auto Read = platform::parseSettings(Odd);
    EXPECT_TRUE(std::holds_alternative<platform::SettingsError>(Read));
  }
}

// All decoders.

/// Returns a text with some of its bytes replaced, removed or repeated.
rc::Gen<std::string> mutated(const std::string &Text) {
  return rc::gen::exec([Text] {
    std::string Result = Text;
    int Mutations = *rc::gen::inRange(1, 6);
    for (int I = 0; I < Mutations && !Result.empty(); ++I) {
      std::size_t At = *rc::gen::inRange<std::size_t>(0, Result.size());
      std::string Piece = *rc::gen::element<std::string>(
          "", "-", "9999999999999999999999", "1e400", "\"", "{", "[[[[", "}",
          "null", "\xff", ":0", ":70000", ",", "0");
      std::size_t Length = *rc::gen::inRange<std::size_t>(0, 12);
      Result.replace(At, std::min(Length, Result.size() - At), Piece);
    }
    return Result;
  });
}

// Guards against any text that ends a process or names a server that cannot be
// reached. The sanitizers find what this test does not compare.
RC_GTEST_PROP(OddTexts, EveryDecoderReturnsContentOrAnError, ()) {
  auto Member = decodeMember(*mutated(validAnnouncement()));
  if (const auto *Announced = std::get_if<Announcement>(&Member)) {
    RC_ASSERT(Announced->Host == Host);
    RC_ASSERT(Announced->Order.Generation <= MaxGeneration);
  }
  auto Content = decodeConfig(*mutated(ValidConfig));
  if (const auto *Config = std::get_if<ConfigPtr>(&Content)) {
    if (RoutePtr Route = (*Config)->findRoute("a.example", "/x/1")) {
      RC_ASSERT(Route->Timeout >= Duration(0));
      RC_ASSERT(Route->Timeout <= MaxDuration);
    }
  }
  platform::JsonReportCodec Reports;
  Reports.decode("PUT", "/v1/instances/i-1", *mutated(ValidHeartbeat));
  Reports.decode("DELETE", "/v1/instances/i-1", *mutated(R"({"born":17})"));
  platform::decodeNewestPage(
      *mutated(newestPage(R"({"Key":"a","Value":"dg==","Offset":3})")));
  platform::decodeReadPage(
      4, *mutated(std::string(16, '\1') +
                  platform::encodeKeyedRecord(Host, validAnnouncement())));
  platform::parseSettings(*mutated(ValidSettings));
}

} // namespace
