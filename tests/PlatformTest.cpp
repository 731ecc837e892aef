// PlatformTest.cpp - The platform's names and formats, good and bad.

#include "Fields.h"
#include "HttpService.h"
#include "Records.h"
#include "Reports.h"
#include "Settings.h"
#include "StoreClient.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <gtest/gtest.h>

using namespace figsail;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

// Header fields.

HttpRequest request(HeaderList Headers) {
  return HttpRequest{"GET", "/a/b?c=d", std::move(Headers), ""};
}

// A client must not be able to name another service or server.
TEST(PlatformFields, ReplacesWhatOnlyFigsailMaySet) {
  platform::Fields Fields("till");
  ClientRequest Read =
      Fields.decodeRequest(4, request({{"Host", "desk.example"},
                                       {"Figsail-Attempt-Id", "ab12"},
                                       {"figsail-deadline-milliseconds", "800"},
                                       {"Figsail-Calling-Service", "forged"},
                                       {"Figsail-Expected-Instance", "forged"},
                                       {"X-Other", "kept"}}));
  EXPECT_EQ(Read.Id, "ab12");
  EXPECT_EQ(Read.Host, "desk.example");
  EXPECT_EQ(Read.Patience, Duration(800ms));
  const HeaderList &Sent = Read.Request.Headers;
  EXPECT_EQ(findHeader(Sent, "Figsail-Calling-Service"), "till");
  EXPECT_EQ(findHeader(Sent, "Figsail-Expected-Instance"), "");
  EXPECT_EQ(findHeader(Sent, "Figsail-Attempt-Id"), "ab12");
  EXPECT_EQ(findHeader(Sent, "X-Other"), "kept");
}

TEST(PlatformFields, AnUnreadableDeadlineIsNone) {
  platform::Fields Fields("till");
  for (const char *Text : {"", "soon", "-5", "1e99", "800ms"})
    EXPECT_FALSE(Fields
                     .decodeRequest(
                         1, request({{"Figsail-Deadline-Milliseconds", Text}}))
                     .Patience)
        << Text;
}

ResponseMatch match(unsigned Status, HeaderList Headers) {
  BackendFields::Message Sent;
  Sent.set("Figsail-Attempt-Id", "ab12");
  return platform::Fields("till").match(Sent, {Status, std::move(Headers), ""});
}

TEST(PlatformFields, AnAnswerMustBeSealedAndNameItsRequest) {
  using enum ResponseMatch;
  EXPECT_EQ(match(200, {{"Figsail-Attempt-Id", "ab12"},
                        {"Figsail-Server-Seal", "s"}}),
            Own);
  EXPECT_EQ(match(200, {{"Figsail-Attempt-Id", "ffff"},
                        {"Figsail-Server-Seal", "s"}}),
            Foreign);
  EXPECT_EQ(match(200, {{"Figsail-Attempt-Id", "ab12"}}), Unusable);
  EXPECT_EQ(match(200, {{"Figsail-Server-Seal", "s"}}), Unusable);
  EXPECT_EQ(match(200, {{"Figsail-Attempt-Id", "ab12"},
                        {"Figsail-Server-Seal", "s"},
                        {"Content-Encoding", "gzip"}}),
            Unusable);
  EXPECT_EQ(match(500, {{"Figsail-Attempt-Id", "ab12"}}), Own);
  EXPECT_EQ(match(503, {{"Figsail-Not-Executed", "1"}}), Own);
}

TEST(PlatformFields, ReadsLoadWithAndWithoutTheFactor) {
  platform::Fields Fields("till");
  auto Load = [&](const char *Text) {
    return Fields.readMetadata({200, {{"Figsail-Server-Load", Text}}, ""}).Load;
  };
  ASSERT_TRUE(Load("3,1,8"));
  EXPECT_EQ(Load("3,1,8")->Running, 3U);
  EXPECT_EQ(Load("3,1,8")->SlowdownFactor, 1);
  EXPECT_EQ(Load("3,1,8,400")->SlowdownFactor, 4);
  EXPECT_GT(Load("3,1,8,0")->SlowdownFactor, 0) << "it is divided by";
  for (const char *Bad : {"", "3", "3,1", "a,b,c", "3,,8", "-1,0,8"})
    EXPECT_FALSE(Load(Bad)) << Bad;
}

// Reports.

const std::string GoodBeat =
    R"({"Service":"till","Address":"10.0.0.1:80","Zone":"a","Version":"v1",)"
    R"("Slots":11,"State":"draining","ColdRemainingMs":1500,"Sequence":4,)"
    R"("born":1767225600000,"Later":"field"})";

TEST(PlatformReports, ReadsAHeartbeat) {
  Report Read =
      platform::Reports().decode("PUT", "/v1/instances/i-1", GoodBeat);
  const auto &Said = std::get<ServerHeartbeat>(Read);
  EXPECT_EQ(Said.Instance, "i-1");
  EXPECT_EQ(Said.Slots, 11U);
  EXPECT_TRUE(Said.Draining);
  EXPECT_EQ(Said.Cold, Duration(1500ms));
  EXPECT_EQ(Said.BornMillis, 1767225600000);
}

TEST(PlatformReports, RefusesWhatNamesNoServer) {
  auto Status = [](std::string_view Method, std::string_view Target,
                   const std::string &Body) {
    Report Read = platform::Reports().decode(Method, Target, Body);
    const auto *Bad = std::get_if<InvalidReport>(&Read);
    return Bad ? Bad->Status : 0;
  };
  std::string Path = "/v1/instances/i-1";
  EXPECT_EQ(Status("PUT", "/v1/instances/", GoodBeat), 400U);
  EXPECT_EQ(Status("PUT", "/v1/other", GoodBeat), 404U);
  EXPECT_EQ(Status("GET", Path, GoodBeat), 405U);
  for (auto [From, To] : std::vector<std::pair<std::string, std::string>>{
           {"\"Slots\":11", "\"Slots\":\"many\""},
           {"\"Slots\":11", "\"Slots\":-1"},
           {"\"State\":\"draining\"", "\"State\":\"asleep\""},
           {"\"Sequence\":4,", ""},
           {"\"born\":1767225600000", "\"born\":1.5"},
           {"\"Service\":\"till\"", "\"Service\":7"},
           {"}", ""}}) {
    std::string Body = GoodBeat;
    Body.replace(Body.find(From), From.size(), To);
    EXPECT_EQ(Status("PUT", Path, Body), 400U) << Body;
  }
}

TEST(PlatformReports, ReadsALeaveWithAndWithoutABody) {
  auto Born = [](const std::string &Body) {
    Report Read =
        platform::Reports().decode("DELETE", "/v1/instances/i-1", Body);
    return std::get<ServerLeaves>(Read).BornMillis;
  };
  EXPECT_EQ(Born(""), 0);
  EXPECT_EQ(Born(R"({"born":17})"), 17);
}

// Operator records.

const std::string GoodConfig =
    R"({"Version":"0000000c","Routes":[)"
    R"({"Name":"r1","Host":"a.example","PathPrefix":"/x/",)"
    R"("Kind":"non_idempotent","TimeoutMs":1000,"TargetLatencyMs":400,)"
    R"("Priority":1,"Service":"till","Attempts":2,"HomeRegions":["east"]},)"
    R"({"Name":"r2","Host":"a.example","PathPrefix":"/y/",)"
    R"("Kind":"idempotent","TimeoutMs":800,"TargetLatencyMs":300,)"
    R"("Priority":2,"TrafficSplit":[{"Service":"a","Weight":90},)"
    R"({"Service":"b","Weight":10}],"Attempts":3,"HomeRegions":[]}],)"
    R"("Services":[{"Name":"till","HealthPath":"/h","ConnectionLimit":260,)"
    R"("Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":40.0}],)"
    R"("Limits":{"HeaderBytes":16384,"BodyBytes":1048576,)"
    R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

TopicContent decodeConfig(const std::string &Text) {
  return platform::Records().decode(Topic::Operator, {"config", Text, 3});
}

TEST(PlatformRecords, ReadsAConfiguration) {
  auto Config = std::get<ConfigPtr>(decodeConfig(GoodConfig));
  EXPECT_EQ(Config->Version, 12U);
  RoutePtr Once = Config->find("a.example", "/x/1");
  ASSERT_TRUE(Once);
  EXPECT_FALSE(Once->Idempotent);
  EXPECT_EQ(Once->Timeout, Duration(1s));
  EXPECT_EQ(Once->HomeRegions, std::vector<std::string>{"east"});
  RoutePtr Split = Config->find("a.example", "/y/1");
  EXPECT_TRUE(Split->Idempotent);
  EXPECT_EQ(Split->MaxServers, 3U);
  ASSERT_EQ(Split->Parts.size(), 2U);
  EXPECT_EQ(Split->Parts[0].Weight, 90);
  EXPECT_EQ(Config->service("till")->ColdPerSecond, 40);
  EXPECT_EQ(Config->Limits.BodyBytes, 1048576U);
}

TEST(PlatformRecords, AFaultyConfigurationIsUnusableAsAWhole) {
  for (auto [From, To] : std::vector<std::pair<std::string, std::string>>{
           {"0000000c", "0000zz0c"},
           {"\"TimeoutMs\":1000", "\"TimeoutMs\":\"long\""},
           {"\"Attempts\":2,", ""},
           {"\"Service\":\"till\",", ""},
           {"\"Routes\":[", "\"Routes\":7,\"Rest\":["},
           {"}}", ""}}) {
    std::string Text = GoodConfig;
    Text.replace(Text.find(From), From.size(), To);
    EXPECT_TRUE(std::holds_alternative<UnusableRecord>(decodeConfig(Text)))
        << Text;
  }
}

TEST(PlatformRecords, ReadsEvacuationsAndTheirEnd) {
  platform::Records Records;
  auto Out = std::get<Evacuation>(
      Records.decode(Topic::Operator, {"evacuate/east-a", "{}", 1}));
  EXPECT_EQ(Out.FailureDomain, "east-a");
  EXPECT_TRUE(Out.Out);
  auto Back = std::get<Evacuation>(
      Records.decode(Topic::Operator, {"evacuate/east-a", std::nullopt, 2}));
  EXPECT_FALSE(Back.Out);
}

// The store.

std::string pageOf(const std::string &Records) {
  return std::string(7, '\0') + '\x09' + std::string(8, '\0') + Records;
}

TEST(PlatformStore, ReadsRecordsAndIgnoresACutOne) {
  std::string Two = platform::encodeKeyedRecord("k1", "v1") +
                    platform::encodeKeyedRecord("k2", "");
  auto Page = platform::decodeReadPage(5, pageOf(Two));
  ASSERT_TRUE(Page);
  EXPECT_EQ(Page->Next, 7);
  ASSERT_EQ(Page->Records.size(), 2U);
  EXPECT_EQ(Page->Records[0], (KeyedRecord{"k1", "v1", 5}));
  EXPECT_EQ(Page->Records[1], (KeyedRecord{"k2", std::nullopt, 6}));
  for (std::size_t Cut = 1; Cut < Two.size(); ++Cut) {
    Page = platform::decodeReadPage(5, pageOf(Two.substr(0, Cut)));
    ASSERT_TRUE(Page);
    EXPECT_EQ(Page->Next, 5 + Offset(Page->Records.size()));
  }
  EXPECT_FALSE(platform::decodeReadPage(5, "short"));
}

/// A store that answers with what the test prepares.
struct StoreTest : testing::Test, StoreHandler {
  StoreTest()
      : Server(Context, [this](const auto &Request, const auto &Reply) {
          Targets.emplace_back(Request.target());
          Bodies.push_back(Request.body());
          if (HoldAnswers)
            return Held.push_back(Reply);
          if (Answers.empty())
            return Reply(std::nullopt);
          auto Next = std::move(Answers.front());
          Answers.pop_front();
          Reply(std::move(Next));
        }) {
    auto Where = Server.listen({boost::asio::ip::make_address("127.0.0.1"), 0});
    Address = "127.0.0.1:" + std::to_string(Where.port());
    Client = std::make_unique<platform::StoreClient>(Context, *this, Address);
  }
  void storeEvent(SidecarEventBody Body) override {
    Event = std::move(Body);
    Context.stop();
  }
  void answer(unsigned Status, std::string Body) {
    Answers.push_back(makeResponse(http::int_to_status(Status), std::move(Body),
                                   "application/json"));
  }
  template <class T> T wait() {
    Context.restart();
    Context.run();
    return std::get<T>(Event);
  }

  boost::asio::io_context Context;
  std::deque<HttpService::Response> Answers; ///< None left: the answer is lost.
  bool HoldAnswers = false;
  std::vector<HttpService::Reply> Held;
  std::string Address;
  std::vector<std::string> Targets;
  std::vector<std::string> Bodies;
  SidecarEventBody Event;
  HttpService Server;
  std::unique_ptr<platform::StoreClient> Client;
};

TEST_F(StoreTest, CollectsAllPagesOfASnapshot) {
  answer(200, R"({"items":[{"Key":"a/1","Value":"djE=","Offset":3}],)"
              R"("HasMore":true,"EndOffset":9})");
  answer(200, R"({"items":[{"Key":"b","Value":"djI=","Offset":12}],)"
              R"("HasMore":false,"EndOffset":13})");
  Client->readSnapshot(Topic::Members);
  auto Read = wait<TopicSnapshot>();
  ASSERT_EQ(Read.Records.size(), 2U);
  EXPECT_EQ(Read.Records[0], (KeyedRecord{"a/1", "v1", 3}));
  EXPECT_EQ(Read.Next, 9) << "what came between the pages is read again";
  EXPECT_NE(Targets[1].find("after=a%2F1"), std::string::npos);
}

TEST_F(StoreTest, ATopicNobodyWroteToIsEmpty) {
  answer(404, "");
  Client->readSnapshot(Topic::Members);
  EXPECT_EQ(wait<TopicSnapshot>().Next, 0);
}

TEST_F(StoreTest, TellsFailuresFromMissingRecords) {
  answer(410, R"({"FirstOffset":7})");
  Client->read({Topic::Operator, 3, 1s});
  EXPECT_EQ(wait<TopicTruncated>().Which, Topic::Operator);
  answer(503, "");
  Client->read({Topic::Operator, 3, 1s});
  EXPECT_EQ(wait<TopicFailed>().Reason, "status 503");
  answer(200, "{not json");
  Client->readSnapshot(Topic::Operator);
  EXPECT_EQ(wait<TopicFailed>().Which, Topic::Operator);
}

// Without the number of the history, a store that has come back from an older
// copy looks like one that has nothing new.
TEST_F(StoreTest, EveryAnswerTellsTheHistory) {
  auto AnswerOf = [this](unsigned Status, std::string Body) {
    answer(Status, std::move(Body));
    Answers.back().set("Store-Era", "7");
  };
  AnswerOf(410, R"({"FirstOffset":7})");
  Client->read({Topic::Operator, 3, 1s});
  auto Truncated = wait<TopicTruncated>();
  EXPECT_EQ(Truncated.History, 7U);
  EXPECT_EQ(Truncated.First, 7);
  AnswerOf(503, "");
  Client->read({Topic::Operator, 3, 1s});
  EXPECT_EQ(wait<TopicFailed>().History, 7U);
  AnswerOf(200, pageOf(""));
  Client->read({Topic::Operator, 3, 1s});
  EXPECT_EQ(wait<TopicRecords>().History, 7U);
  AnswerOf(404, "");
  Client->readSnapshot(Topic::Members);
  EXPECT_EQ(wait<TopicSnapshot>().History, 7U);
  AnswerOf(200, R"({"Offset":4,"EndOffset":5})");
  Client->append(Announcement{});
  EXPECT_EQ(wait<AnnouncementDone>().History, 7U);
  AnswerOf(410, "not json");
  Client->read({Topic::Operator, 3, 1s});
  EXPECT_EQ(wait<TopicTruncated>().First, 0);
}

// Pages of two histories do not make a list of all keys.
TEST_F(StoreTest, AListAcrossTwoHistoriesIsReadAgain) {
  answer(200, R"({"items":[{"Key":"a/1","Value":"djE=","Offset":3}],)"
              R"("HasMore":true,"EndOffset":9})");
  Answers.back().set("Store-Era", "1");
  answer(200, R"({"items":[],"HasMore":false,"EndOffset":7})");
  Answers.back().set("Store-Era", "2");
  Client->readSnapshot(Topic::Members);
  EXPECT_EQ(wait<TopicFailed>().History, 2U);
}

// The outcome of an append without an answer is not known; it must not count
// as done.
TEST_F(StoreTest, AnAppendWithoutAnAnswerIsNotDone) {
  Announcement Said;
  Said.Host = "10.0.0.1:7000";
  Client->append(Said);
  EXPECT_FALSE(wait<AnnouncementDone>().Appended);
  answer(200, R"({"Offset":4,"EndOffset":5})");
  Client->append(Said);
  EXPECT_TRUE(wait<AnnouncementDone>().Appended);
  EXPECT_NE(Bodies[1].find("10.0.0.1:7000"), std::string::npos);
}

TEST_F(StoreTest, ADroppedHostIsARecordWithoutAValue) {
  answer(200, R"({"Offset":4,"EndOffset":5})");
  Client->removeHost("10.0.0.1:7000");
  EXPECT_TRUE(wait<AnnouncementDone>().Appended);
  EXPECT_EQ(Bodies[0], std::string("\0\0\0\x0e\x0d", 5) + "10.0.0.1:7000");
}

// A connection attempt into a partition hangs, and the kernel repeats it only
// after seconds: with the time of a held read for it, a daemon came back to the
// store 6 s after the partition had ended.
TEST_F(StoreTest, AnAttemptToConnectDoesNotTakeTheTimeOfAHeldRead) {
  // Nobody accepts, and the queue of new connections is full.
  boost::asio::ip::tcp::acceptor Full(Context);
  Full.open(boost::asio::ip::tcp::v4());
  Full.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  Full.listen(0);
  std::vector<boost::asio::ip::tcp::socket> Waiting;
  for (int I = 0; I < 4; ++I) {
    Waiting.emplace_back(Context);
    Waiting.back().async_connect(Full.local_endpoint(), [](auto) {});
  }
  Client->setAddress("127.0.0.1:" +
                     std::to_string(Full.local_endpoint().port()));
  // Another call, which the store does not answer, has less time in all.
  platform::StoreClient Other(Context, *this, Address);
  HoldAnswers = true;
  Other.read({Topic::Members, 3, 10s});
  Client->read({Topic::Operator, 3, 60s});
  EXPECT_EQ(wait<TopicFailed>().Which, Topic::Operator) << "which ends first";
}

// Settings.

const std::string GoodSettings = R"(
SelfNode: {IpAddress: "10.1.0.8", Zone: "a", Region: "east", Service: "till",
  ApplicationAddress: "10.1.0.8:8301", Limits: {FileDescriptors: 4100}}
Network: {ListenAddresses: {Outbound: "10.1.0.8:8304", Ready: "10.1.0.8:8302",
  Control: "10.1.0.8:8306"}, InternalPortRange: [7620, 7635], Zones: {a: east}}
Platform: {HeartbeatIntervalMs: 1500, Platform: {Address: "10.2.1.7:8309"}}
Terms: {Bounds: {RetryBudgetRatio: 0.2, RetryBudgetSlack: 64, BudgetWindowS: 10,
  ColdOverage: 1.5, ColdSlack: 5, GracePeriodS: 6, Unknown: 7}}
)";

TEST(PlatformSettings, ReadsTheFile) {
  auto Read = platform::parseSettings(GoodSettings);
  ASSERT_TRUE(std::holds_alternative<SidecarConfiguration>(Read));
  const auto &Given = std::get<SidecarConfiguration>(Read);
  EXPECT_EQ(Given.Settings.Host, "10.1.0.8:7620");
  EXPECT_EQ(Given.Settings.Region, "east");
  EXPECT_EQ(Given.Settings.Bounds.StopLimit, Duration(6s));
  EXPECT_EQ(Given.Addresses.Store, "10.2.1.7:8309");
  EXPECT_EQ(Given.Addresses.Clients, "10.1.0.8:8304");
}

TEST(PlatformSettings, NamesTheFieldAtFault) {
  for (auto [From, To, Name] :
       std::vector<std::tuple<std::string, std::string, std::string>>{
           {"Region: \"east\",", "", "Region"},
           {"GracePeriodS: 6", "GracePeriodS: soon", "GracePeriodS"},
           {"[7620, 7635]", "[7620]", "InternalPortRange"},
           {"Platform: {Address: \"10.2.1.7:8309\"}", "Other: 1",
            "Platform"}}) {
    std::string Text = GoodSettings;
    Text.replace(Text.find(From), From.size(), To);
    auto Read = platform::parseSettings(Text);
    ASSERT_TRUE(std::holds_alternative<platform::SettingsFault>(Read)) << Name;
    EXPECT_NE(std::get<platform::SettingsFault>(Read).Text.find(Name),
              std::string::npos);
  }
  EXPECT_TRUE(std::holds_alternative<platform::SettingsFault>(
      platform::parseSettings("a: [")));
  EXPECT_TRUE(std::holds_alternative<platform::SettingsFault>(
      platform::readSettings("/nonexistent/settings.yaml")));
}

} // namespace
