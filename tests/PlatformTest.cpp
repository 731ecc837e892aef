// PlatformTest.cpp - Tests of the platform's formats and store client.

#include "HeaderFields.h"
#include "HttpService.h"
#include "JsonRecordDecoder.h"
#include "JsonReportCodec.h"
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

// Guards against a client that names another calling service or the backend
// server in its request.
TEST(PlatformFields, ReplacesFieldsThatOnlyFigsailMaySet) {
  platform::HeaderFields Fields("till");
  ClientRequest Decoded =
      Fields.decodeRequest(4, request({{"Host", "desk.example"},
                                       {"Figsail-Attempt-Id", "ab12"},
                                       {"figsail-deadline-milliseconds", "800"},
                                       {"Figsail-Calling-Service", "forged"},
                                       {"Figsail-Expected-Instance", "forged"},
                                       {"X-Other", "kept"}}));
  EXPECT_EQ(Decoded.Id, "ab12");
  EXPECT_EQ(Decoded.Host, "desk.example");
  EXPECT_EQ(Decoded.ClientTimeout, Duration(800ms));
  const HeaderList &Sent = Decoded.Request.Headers;
  EXPECT_EQ(findHeader(Sent, "Figsail-Calling-Service"), "till");
  EXPECT_EQ(findHeader(Sent, "Figsail-Expected-Instance"), "");
  EXPECT_EQ(findHeader(Sent, "Figsail-Attempt-Id"), "ab12");
  EXPECT_EQ(findHeader(Sent, "X-Other"), "kept");
}

TEST(PlatformFields, IgnoresAnInvalidDeadline) {
  platform::HeaderFields Fields("till");
  for (const char *Text : {"", "soon", "-5", "1e99", "800ms", "nan", "inf"})
    EXPECT_FALSE(Fields
                     .decodeRequest(
                         1, request({{"Figsail-Deadline-Milliseconds", Text}}))
                     .ClientTimeout)
        << Text;
}

ResponseMatch match(unsigned Status, HeaderList Headers) {
  BackendFields::Message Sent;
  Sent.set("Figsail-Attempt-Id", "ab12");
  return platform::HeaderFields("till").match(Sent,
                                              {Status, std::move(Headers), ""});
}

TEST(PlatformFields, SuccessNeedsASealAndTheAttemptId) {
  using enum ResponseMatch;
  EXPECT_EQ(match(200, {{"Figsail-Attempt-Id", "ab12"},
                        {"Figsail-Server-Seal", "s"}}),
            SameRequest);
  EXPECT_EQ(match(200, {{"Figsail-Attempt-Id", "ffff"},
                        {"Figsail-Server-Seal", "s"}}),
            OtherRequest);
  EXPECT_EQ(match(200, {{"Figsail-Attempt-Id", "ab12"}}), Unusable);
  EXPECT_EQ(match(200, {{"Figsail-Server-Seal", "s"}}), Unusable);
  EXPECT_EQ(match(200, {{"Figsail-Attempt-Id", "ab12"},
                        {"Figsail-Server-Seal", "s"},
                        {"Content-Encoding", "gzip"}}),
            Unusable);
  EXPECT_EQ(match(500, {{"Figsail-Attempt-Id", "ab12"}}), SameRequest);
  EXPECT_EQ(match(503, {{"Figsail-Attempt-Id", "ab12"},
                        {"Figsail-Not-Executed", "1"}}),
            SameRequest);
}

// Guards against a late second copy of a refusal that ends the next request on
// its connection as "not run" while that one runs.
TEST(PlatformFields, ARefusalNeedsTheAttemptId) {
  using enum ResponseMatch;
  EXPECT_EQ(match(503, {{"Figsail-Not-Executed", "1"}}), Unusable);
  EXPECT_EQ(match(421, {}), Unusable);
  EXPECT_EQ(match(503, {{"Figsail-Attempt-Id", "ffff"},
                        {"Figsail-Not-Executed", "1"}}),
            OtherRequest);
  EXPECT_EQ(match(421, {{"Figsail-Attempt-Id", "ab12"}}), SameRequest);
}

// Guards against a late second copy of a response that ends a request without
// an id, such as a health probe, as not run or with the load of an earlier
// time.
TEST(PlatformFields, AResponseWithAnIdBelongsToNoRequestWithoutOne) {
  using enum ResponseMatch;
  platform::HeaderFields Fields("till");
  BackendFields::Message Probe;
  EXPECT_EQ(Fields.match(Probe, {503,
                                 {{"Figsail-Attempt-Id", "ab12"},
                                  {"Figsail-Not-Executed", "1"},
                                  {"Figsail-Server-Load", "8,4,8"}},
                                 ""}),
            OtherRequest);
  EXPECT_EQ(Fields.match(Probe, {421, {{"Figsail-Attempt-Id", "ab12"}}, ""}),
            OtherRequest);
  EXPECT_EQ(Fields.match(Probe, {200, {{"Figsail-Server-Load", "3,0,8"}}, ""}),
            SameRequest);
  EXPECT_EQ(Fields.match(Probe, {400, {{"Figsail-Not-Executed", "1"}}, ""}),
            SameRequest);
}

// Guards against a second copy of a refusal without an id that ends a later
// request without an id. The connection of any other response stays in use.
TEST(PlatformFields, OnlyARefusalWithoutAnIdEndsItsConnection) {
  platform::HeaderFields Fields("till");
  BackendFields::Message Named;
  Named.set("Figsail-Attempt-Id", "ab12");
  HttpResponse Refusal{503, {{"Figsail-Not-Executed", "1"}}, ""};
  HttpResponse Misdirected{421, {}, ""};
  HttpResponse Unhealthy{503, {}, ""};
  EXPECT_FALSE(Fields.mayReuseAfter({}, Refusal));
  EXPECT_FALSE(Fields.mayReuseAfter({}, Misdirected));
  EXPECT_TRUE(Fields.mayReuseAfter({}, Unhealthy));
  EXPECT_TRUE(Fields.mayReuseAfter(Named, Refusal));
  EXPECT_TRUE(Fields.mayReuseAfter(Named, Misdirected));
}

TEST(PlatformFields, ReadsLoadWithAndWithoutASlowdownFactor) {
  platform::HeaderFields Fields("till");
  auto Load = [&](const char *Text) {
    return Fields.readMetadata({200, {{"Figsail-Server-Load", Text}}, ""}).Load;
  };
  ASSERT_TRUE(Load("3,1,8"));
  EXPECT_EQ(Load("3,1,8")->Running, 3U);
  EXPECT_EQ(Load("3,1,8")->SlowdownFactor, 1);
  EXPECT_EQ(Load("3,1,8,400")->SlowdownFactor, 4);
  EXPECT_GT(Load("3,1,8,0")->SlowdownFactor, 0)
      << "other code divides by the factor";
  for (const char *Bad : {"", "3", "3,1", "a,b,c", "3,,8", "-1,0,8"})
    EXPECT_FALSE(Load(Bad)) << Bad;
}

// Reports to the control interface.

const std::string ValidHeartbeat =
    R"({"Service":"till","Address":"10.0.0.1:80","Zone":"a","Version":"v1",)"
    R"("Slots":11,"State":"draining","ColdRemainingMs":1500,"Sequence":4,)"
    R"("born":1767225600000,"Later":"field"})";

// Guards against a limit that is not held because its number was misread.
TEST(PlatformFields, ReadsTheRateLimitOfRunsAndProbes) {
  platform::HeaderFields Fields("desk");
  auto Read = [&](const std::string &Text) {
    return Fields.readMetadata({200, {{"Server-Limit", Text}}, ""}).Terms;
  };
  EXPECT_EQ(Read("4.8").RateLimit, 4.8);
  EXPECT_EQ(Read("0").RateLimit, 0.0);
  for (const char *Text : {"x", "-1", "nan", "inf", "1e999", "4,8", "4.8 "}) {
    EXPECT_FALSE(Read(Text).RateLimit) << Text;
    EXPECT_TRUE(Read(Text).RateLimitUnusable) << Text;
  }
  ServerTerms None = Fields.readMetadata({200, {}, ""}).Terms;
  EXPECT_FALSE(None.RateLimit || None.RateLimitUnusable || None.Leaving);
  ProbeDone Probe;
  Probe.Headers = {{"server-limit", "2.5"}, {"Server-Leaving", "1"}};
  EXPECT_EQ(Fields.readProbe(Probe).Terms.RateLimit, 2.5);
  EXPECT_TRUE(Fields.readProbe(Probe).Terms.Leaving);
}

TEST(PlatformReports, ReadsAHeartbeat) {
  Report Read = platform::JsonReportCodec().decode("PUT", "/v1/instances/i-1",
                                                   ValidHeartbeat);
  const auto &Heartbeat = std::get<ServerHeartbeat>(Read);
  EXPECT_EQ(Heartbeat.Instance, "i-1");
  EXPECT_EQ(Heartbeat.Slots, 11U);
  EXPECT_TRUE(Heartbeat.Draining);
  EXPECT_EQ(Heartbeat.Cold, Duration(1500ms));
  EXPECT_EQ(Heartbeat.StartMillis, 1767225600000);
}

// Guards against a version that gets lost, or that is required.
TEST(PlatformReports, ReadsTheVersionOfAServer) {
  auto Version = [](const std::string &Field) {
    std::string Text = ValidHeartbeat;
    const std::string Present = R"("Version":"v1",)";
    Text.replace(Text.find(Present), Present.size(), Field);
    return std::get<ServerHeartbeat>(platform::JsonReportCodec().decode(
                                         "PUT", "/v1/instances/i-1", Text))
        .Version;
  };
  EXPECT_EQ(Version(""), "");
  EXPECT_EQ(Version(R"("Version":null,)"), "");
  EXPECT_EQ(Version(R"("Version":"v2",)"), "v2");
}

TEST(PlatformReports, RejectsInvalidReports) {
  auto Status = [](std::string_view Method, std::string_view Target,
                   const std::string &Body) {
    Report Read = platform::JsonReportCodec().decode(Method, Target, Body);
    const auto *Bad = std::get_if<InvalidReport>(&Read);
    return Bad ? Bad->Status : 0;
  };
  std::string Path = "/v1/instances/i-1";
  EXPECT_EQ(Status("PUT", "/v1/instances/", ValidHeartbeat), 400U);
  EXPECT_EQ(Status("PUT", "/v1/other", ValidHeartbeat), 404U);
  EXPECT_EQ(Status("GET", Path, ValidHeartbeat), 405U);
  for (auto [From, To] : std::vector<std::pair<std::string, std::string>>{
           {"\"Slots\":11", "\"Slots\":\"many\""},
           {"\"Slots\":11", "\"Slots\":-1"},
           {"\"State\":\"draining\"", "\"State\":\"asleep\""},
           {"\"Sequence\":4,", ""},
           {"\"born\":1767225600000", "\"born\":1.5"},
           {"\"Service\":\"till\"", "\"Service\":7"},
           {"}", ""}}) {
    std::string Body = ValidHeartbeat;
    Body.replace(Body.find(From), From.size(), To);
    EXPECT_EQ(Status("PUT", Path, Body), 400U) << Body;
  }
}

TEST(PlatformReports, ReadsALeaveWithAndWithoutABody) {
  auto Born = [](const std::string &Body) {
    Report Read =
        platform::JsonReportCodec().decode("DELETE", "/v1/instances/i-1", Body);
    return std::get<ServerLeave>(Read).StartMillis;
  };
  EXPECT_EQ(Born(""), 0);
  EXPECT_EQ(Born(R"({"born":17})"), 17);
}

// Operator records.

const std::string ValidConfig =
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
  return platform::JsonRecordDecoder().decode(Topic::Operator,
                                              {"config", Text, 3});
}

TEST(PlatformRecords, ReadsAConfiguration) {
  auto Config = std::get<ConfigPtr>(decodeConfig(ValidConfig));
  EXPECT_EQ(Config->Version, 12U);
  RoutePtr NonIdempotent = Config->findRoute("a.example", "/x/1");
  ASSERT_TRUE(NonIdempotent);
  EXPECT_FALSE(NonIdempotent->Idempotent);
  EXPECT_EQ(NonIdempotent->Timeout, Duration(1s));
  EXPECT_EQ(NonIdempotent->HomeRegions, std::vector<std::string>{"east"});
  RoutePtr Split = Config->findRoute("a.example", "/y/1");
  EXPECT_TRUE(Split->Idempotent);
  EXPECT_EQ(Split->MaxServers, 3U);
  ASSERT_EQ(Split->Parts.size(), 2U);
  EXPECT_EQ(Split->Parts[0].Weight, 90);
  EXPECT_EQ(Config->findService("till")->ColdPerSecond, 40);
  EXPECT_EQ(Config->Limits.BodyBytes, 1048576U);
}

TEST(PlatformRecords, AnInvalidConfigurationIsRejectedAsAWhole) {
  for (auto [From, To] : std::vector<std::pair<std::string, std::string>>{
           {"0000000c", "0000zz0c"},
           {"\"TimeoutMs\":1000", "\"TimeoutMs\":\"long\""},
           {"\"Attempts\":2,", ""},
           {"\"Service\":\"till\",", ""},
           {"\"Routes\":[", "\"Routes\":7,\"Rest\":["},
           {"}}", ""}}) {
    std::string Text = ValidConfig;
    Text.replace(Text.find(From), From.size(), To);
    EXPECT_TRUE(std::holds_alternative<UnusableRecord>(decodeConfig(Text)))
        << Text;
  }
}

// Guards against an order that is misread, or whose removal is taken for one.
TEST(PlatformRecords, ReadsARolloutOrder) {
  auto Decode = [](const std::string &Key, std::optional<std::string> Value) {
    return platform::JsonRecordDecoder().decode(Topic::Operator,
                                                {Key, std::move(Value), 3});
  };
  auto Read = Decode("rollout/s", R"({"Service":"s","TargetVersion":"v2",
                                      "DurationS":12})");
  const auto &Order = std::get<RolloutOrder>(Read);
  EXPECT_EQ(Order.Service, "s");
  EXPECT_EQ(Order.TargetVersion, "v2");
  EXPECT_EQ(Order.Time, Duration(12s));
  EXPECT_TRUE(Order.Active);
  EXPECT_FALSE(
      std::get<RolloutOrder>(Decode("rollout/s", std::nullopt)).Active);
  for (const char *Text :
       {R"({"Service":"t","TargetVersion":"v2","DurationS":12})",
        R"({"Service":"s","TargetVersion":"","DurationS":12})",
        R"({"Service":"s","TargetVersion":"v2","DurationS":-1})",
        R"({"Service":"s","TargetVersion":"v2"})", "[]"})
    EXPECT_TRUE(
        std::holds_alternative<UnusableRecord>(Decode("rollout/s", Text)))
        << Text;
}

// Guards against a share record that another daemon reads differently.
TEST(PlatformRecords, ReadsTheShareOfARollout) {
  RolloutShare Share{"s",   "v2",         7,     RolloutState::Running, 3, 0.25,
                     {"a"}, Duration(4s), {"v0"}};
  auto Read = platform::JsonRecordDecoder().decode(
      Topic::Members, {"rollout/s", encodeRolloutShare(Share), 1});
  EXPECT_EQ(std::get<RolloutShare>(Read), Share);
  auto Other = platform::JsonRecordDecoder().decode(
      Topic::Members, {"rollout/t", encodeRolloutShare(Share), 1});
  EXPECT_TRUE(std::holds_alternative<UnusableRecord>(Other));
}

TEST(PlatformRecords, ReadsTheStartAndEndOfAnEvacuation) {
  platform::JsonRecordDecoder Decoder;
  auto Started = std::get<Evacuation>(
      Decoder.decode(Topic::Operator, {"evacuate/east-a", "{}", 1}));
  EXPECT_EQ(Started.FailureDomain, "east-a");
  EXPECT_TRUE(Started.Active);
  auto Ended = std::get<Evacuation>(
      Decoder.decode(Topic::Operator, {"evacuate/east-a", std::nullopt, 2}));
  EXPECT_FALSE(Ended.Active);
}

// The store client.

std::string pageOf(const std::string &Records) {
  return std::string(7, '\0') + '\x09' + std::string(8, '\0') + Records;
}

TEST(PlatformStore, ReadsRecordsAndIgnoresATruncatedOne) {
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

/// A store client and a server that sends the responses prepared by a test.
struct StoreClientTest : testing::Test, StoreHandler {
  StoreClientTest()
      : Server(Context, [this](const auto &Request, const auto &Reply) {
          Targets.emplace_back(Request.target());
          Bodies.push_back(Request.body());
          if (DelayResponses)
            return DelayedReplies.push_back(Reply);
          if (Responses.empty())
            return Reply(std::nullopt);
          auto Next = std::move(Responses.front());
          Responses.pop_front();
          Reply(std::move(Next));
        }) {
    auto Listening =
        Server.listen({boost::asio::ip::make_address("127.0.0.1"), 0});
    Address = "127.0.0.1:" + std::to_string(Listening.port());
    Client = std::make_unique<platform::StoreClient>(Context, *this, Address);
  }
  void storeEvent(SidecarEventBody Body) override {
    Event = std::move(Body);
    Context.stop();
  }
  void addResponse(unsigned Status, std::string Body) {
    Responses.push_back(makeResponse(http::int_to_status(Status),
                                     std::move(Body), "application/json"));
  }
  template <class T> T wait() {
    Context.restart();
    Context.run();
    return std::get<T>(Event);
  }

  boost::asio::io_context Context;
  std::deque<HttpService::Response>
      Responses; ///< When empty, the connection is closed instead.
  bool DelayResponses = false;
  std::vector<HttpService::Reply> DelayedReplies;
  std::string Address;
  std::vector<std::string> Targets;
  std::vector<std::string> Bodies;
  SidecarEventBody Event;
  HttpService Server;
  std::unique_ptr<platform::StoreClient> Client;
};

TEST_F(StoreClientTest, ReadsAllPagesOfASnapshot) {
  addResponse(200, R"({"items":[{"Key":"a/1","Value":"djE=","Offset":3}],)"
                   R"("HasMore":true,"EndOffset":9})");
  addResponse(200, R"({"items":[{"Key":"b","Value":"djI=","Offset":12}],)"
                   R"("HasMore":false,"EndOffset":13})");
  Client->readSnapshot({Topic::Members});
  auto Read = wait<TopicSnapshot>();
  ASSERT_EQ(Read.Records.size(), 2U);
  EXPECT_EQ(Read.Records[0], (KeyedRecord{"a/1", "v1", 3}));
  EXPECT_EQ(Read.Next, 9)
      << "records appended between two pages must be read again";
  EXPECT_NE(Targets[1].find("after=a%2F1"), std::string::npos);
}

TEST_F(StoreClientTest, AMissingTopicIsEmpty) {
  addResponse(404, "");
  Client->readSnapshot({Topic::Members});
  EXPECT_EQ(wait<TopicSnapshot>().Next, 0);
}

TEST_F(StoreClientTest, DistinguishesFailuresFromTruncation) {
  addResponse(410, R"({"FirstOffset":7})");
  Client->read({Topic::Operator, 3, 1s});
  EXPECT_EQ(wait<TopicTruncated>().Which, Topic::Operator);
  addResponse(503, "");
  Client->read({Topic::Operator, 3, 1s});
  EXPECT_EQ(wait<TopicReadFailed>().Reason, "status 503");
  addResponse(200, "{not json");
  Client->readSnapshot({Topic::Operator});
  EXPECT_EQ(wait<TopicReadFailed>().Which, Topic::Operator);
}

// Without the number of the history, a store that was restored from an older
// copy looks like one without new records.
TEST_F(StoreClientTest, EveryEventHasTheHistory) {
  auto AddResponseWithHistory = [this](unsigned Status, std::string Body) {
    addResponse(Status, std::move(Body));
    Responses.back().set("Store-Era", "7");
  };
  AddResponseWithHistory(410, R"({"FirstOffset":7})");
  Client->read({Topic::Operator, 3, 1s});
  auto Truncated = wait<TopicTruncated>();
  EXPECT_EQ(Truncated.History, 7U);
  EXPECT_EQ(Truncated.First, 7);
  AddResponseWithHistory(503, "");
  Client->read({Topic::Operator, 3, 1s});
  EXPECT_EQ(wait<TopicReadFailed>().History, 7U);
  AddResponseWithHistory(200, pageOf(""));
  Client->read({Topic::Operator, 3, 1s});
  EXPECT_EQ(wait<TopicRecords>().History, 7U);
  AddResponseWithHistory(404, "");
  Client->readSnapshot({Topic::Members});
  EXPECT_EQ(wait<TopicSnapshot>().History, 7U);
  AddResponseWithHistory(200, R"({"Offset":4,"EndOffset":5})");
  Client->append(Announcement{});
  EXPECT_EQ(wait<AnnouncementResult>().History, 7U);
  AddResponseWithHistory(410, "not json");
  Client->read({Topic::Operator, 3, 1s});
  EXPECT_EQ(wait<TopicTruncated>().First, 0);
}

// A list made of pages from two histories may miss keys.
TEST_F(StoreClientTest, ASnapshotAcrossTwoHistoriesFails) {
  addResponse(200, R"({"items":[{"Key":"a/1","Value":"djE=","Offset":3}],)"
                   R"("HasMore":true,"EndOffset":9})");
  Responses.back().set("Store-Era", "1");
  addResponse(200, R"({"items":[],"HasMore":false,"EndOffset":7})");
  Responses.back().set("Store-Era", "2");
  Client->readSnapshot({Topic::Members});
  EXPECT_EQ(wait<TopicReadFailed>().History, 2U);
}

// The outcome of an append without a response is unknown, so it must not be
// reported as done.
TEST_F(StoreClientTest, AnAppendWithoutAResponseIsNotDone) {
  Announcement Announced;
  Announced.Host = "10.0.0.1:7000";
  Client->append(Announced);
  EXPECT_FALSE(wait<AnnouncementResult>().Appended);
  addResponse(200, R"({"Offset":4,"EndOffset":5})");
  Client->append(Announced);
  EXPECT_TRUE(wait<AnnouncementResult>().Appended);
  EXPECT_NE(Bodies[1].find("10.0.0.1:7000"), std::string::npos);
}

TEST_F(StoreClientTest, DropAppendsARecordWithoutAValue) {
  addResponse(200, R"({"Offset":4,"EndOffset":5})");
  Client->removeHost("10.0.0.1:7000");
  EXPECT_TRUE(wait<AnnouncementResult>().Appended);
  EXPECT_EQ(Bodies[0], std::string("\0\0\0\x0e\x0d", 5) + "10.0.0.1:7000");
}

// Guards against a status that replaces one which was written meanwhile.
TEST_F(StoreClientTest, AStatusIsWrittenOnlyAtTheEndThatWasRead) {
  using Outcome = RolloutStatusWritten::Outcome;
  addResponse(404, "{}");
  Client->readRolloutStatus();
  EXPECT_TRUE(wait<RolloutStatusRead>().Success);
  // {"State":"running","TargetVersion":"v2"}
  addResponse(200,
              R"({"items":[{"Key":"rollout/s","Offset":6,"Value":)"
              R"("eyJTdGF0ZSI6InJ1bm5pbmciLCJUYXJnZXRWZXJzaW9uIjoidjIifQ=="}],)"
              R"("HasMore":false,"EndOffset":7})");
  Client->readRolloutStatus();
  auto Read = wait<RolloutStatusRead>();
  RolloutStatus Status{"s", RolloutState::Running, "v2"};
  EXPECT_EQ(Read.Entries, std::vector<RolloutStatus>{Status});
  EXPECT_EQ(Read.End, 7);
  Status.State = RolloutState::RolledBack;
  addResponse(412, "{}");
  Client->writeRolloutStatus(Status, Read.End);
  EXPECT_EQ(wait<RolloutStatusWritten>().Result, Outcome::Conflict);
  EXPECT_EQ(Targets.back(), "/v1/log-append?Topic=keyed.status&part=0&At=7");
  EXPECT_EQ(Bodies.back().substr(5),
            R"(rollout/s{"State":"rolled_back","TargetVersion":"v2"})");
  addResponse(200, "{}");
  Client->writeRolloutStatus(Status, Read.End);
  EXPECT_EQ(wait<RolloutStatusWritten>().Result, Outcome::Written);
  Client->writeRolloutStatus(Status, Read.End);
  EXPECT_EQ(wait<RolloutStatusWritten>().Result, Outcome::Failed);
}

// Guards against a hedged read that waits for the connection, or keeps to the
// timeout, of the read that it is sent beside.
TEST_F(StoreClientTest, AHedgedReadIsIndependentOfTheOtherOne) {
  DelayResponses = true;
  Client->setTimeout(100ms);
  Client->readSnapshot({Topic::Members});
  Client->readSnapshot({Topic::Members, 30s});
  TopicReadFailed Failed = wait<TopicReadFailed>();
  EXPECT_FALSE(Failed.Hedged);
  ASSERT_EQ(DelayedReplies.size(), 2U);
  for (const HttpService::Reply &Reply : DelayedReplies)
    Reply(makeResponse(http::status::ok,
                       R"({"items":[],"HasMore":false,"EndOffset":3})",
                       "application/json"));
  TopicSnapshot Read = wait<TopicSnapshot>();
  EXPECT_TRUE(Read.Hedged);
  EXPECT_EQ(Read.Next, 3);
}

// Guards against an event of a read that was given up: it would be taken for
// that of the next one.
TEST_F(StoreClientTest, AnAbandonedReadHasNoEvent) {
  DelayResponses = true;
  Client->setTimeout(100ms);
  Client->readSnapshot({Topic::Operator});
  Client->readSnapshot({Topic::Operator, 50ms});
  Client->abandonReads(Topic::Operator);
  Client->setTimeout(300ms);
  Client->readSnapshot({Topic::Members});
  EXPECT_EQ(wait<TopicReadFailed>().Which, Topic::Members);
}

// A connection attempt into a network partition gets no reply, and the kernel
// sends the next SYN only after seconds. When the attempt had the timeout of a
// long read, a daemon reached the store again 6 s after the partition had
// ended.
TEST_F(StoreClientTest, AConnectionAttemptHasAShorterTimeoutThanALongRead) {
  // No connection is accepted, and the queue of new connections is full.
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
  // A second read, to which the store does not respond, has a shorter timeout.
  platform::StoreClient Other(Context, *this, Address);
  DelayResponses = true;
  Other.read({Topic::Members, 3, 10s});
  Client->read({Topic::Operator, 3, 60s});
  EXPECT_EQ(wait<TopicReadFailed>().Which, Topic::Operator)
      << "the connection attempt must fail before the second read";
}

// Settings.

const std::string ValidSettings = R"(
SelfNode: {IpAddress: "10.1.0.8", Zone: "a", Region: "east", Service: "till",
  ApplicationAddress: "10.1.0.8:8301", Limits: {FileDescriptors: 4100}}
Network: {ListenAddresses: {Outbound: "10.1.0.8:8304", Ready: "10.1.0.8:8302",
  Control: "10.1.0.8:8306"}, InternalPortRange: [7620, 7635], Zones: {a: east}}
Platform: {HeartbeatIntervalMs: 1500, Platform: {Address: "10.2.1.7:8309"}}
Terms: {Bounds: {RetryBudgetRatio: 0.2, RetryBudgetSlack: 64, BudgetWindowS: 10,
  ColdOverage: 1.5, ColdSlack: 5, GracePeriodS: 6, Unknown: 7}}
)";

TEST(PlatformSettings, ReadsASettingsFile) {
  auto Read = platform::parseSettings(ValidSettings);
  ASSERT_TRUE(std::holds_alternative<SidecarConfiguration>(Read));
  const auto &Parsed = std::get<SidecarConfiguration>(Read);
  EXPECT_EQ(Parsed.Settings.Host, "10.1.0.8:7620");
  EXPECT_EQ(Parsed.Settings.Region, "east");
  EXPECT_EQ(Parsed.Settings.Bounds.StopLimit, Duration(6s));
  EXPECT_EQ(Parsed.Addresses.Store, "10.2.1.7:8309");
  EXPECT_EQ(Parsed.Addresses.Clients, "10.1.0.8:8304");
}

// Guards against deployments without rollouts that hold back versions.
TEST(PlatformSettings, TheBoundsOfRolloutsAreOptional) {
  auto Bounds = [](const std::string &Fields) {
    std::string Text = ValidSettings;
    Text.insert(Text.find("Unknown: 7"), Fields);
    return std::get<SidecarConfiguration>(platform::parseSettings(Text))
        .Settings.Bounds;
  };
  EXPECT_FALSE(Bounds("").UsesRollouts);
  SidecarBounds Read =
      Bounds("ExposureShare: 0.2, ExposureSlack: 30, RollbackMs: 4000, ");
  EXPECT_TRUE(Read.UsesRollouts);
  EXPECT_EQ(Read.ExposureShare, 0.2);
  EXPECT_EQ(Read.ExposureSlack, 30);
  EXPECT_EQ(Read.RollbackTime, Duration(4s));
}

// A wrong unit would pace answers to an eighth of the link, or not at all.
TEST(PlatformSettings, TheLinkRateIsOptional) {
  auto Read = platform::parseSettings(ValidSettings);
  EXPECT_EQ(std::get<SidecarConfiguration>(Read).Settings.LinkBytes, 0);
  std::string Text = ValidSettings;
  std::string Known = "FileDescriptors: 4100";
  Text.replace(Text.find(Known), Known.size(), Known + ", LinkMbps: 10");
  Read = platform::parseSettings(Text);
  ASSERT_TRUE(std::holds_alternative<SidecarConfiguration>(Read));
  EXPECT_EQ(std::get<SidecarConfiguration>(Read).Settings.LinkBytes, 1.25e6);
  Text.replace(Text.find("LinkMbps: 10"), 12, "LinkMbps: -1");
  Read = platform::parseSettings(Text);
  EXPECT_TRUE(std::holds_alternative<platform::SettingsError>(Read));
}

// Guards against quota bounds that are required or ignored.
TEST(PlatformSettings, QuotaBoundsAreOptional) {
  auto Bounds = [](const std::string &Fields) {
    std::string Text = ValidSettings;
    Text.replace(Text.find("Unknown: 7"), 10, Fields);
    return std::get<SidecarConfiguration>(platform::parseSettings(Text))
        .Settings.Bounds;
  };
  EXPECT_EQ(Bounds("Unknown: 7"), Bounds("QuotaWindowS: 5, QuotaOverage: 0.1, "
                                         "QuotaSlack: 20"));
  SidecarBounds Given =
      Bounds("QuotaWindowS: 2, QuotaOverage: 0.2, QuotaSlack: 7");
  EXPECT_EQ(Given.QuotaWindow, Duration(2s));
  EXPECT_EQ(Given.QuotaOverage, 0.2);
  EXPECT_EQ(Given.QuotaSlack, 7);
}

TEST(PlatformSettings, AnErrorNamesTheField) {
  for (auto [From, To, Name] :
       std::vector<std::tuple<std::string, std::string, std::string>>{
           {"Region: \"east\",", "", "Region"},
           {"GracePeriodS: 6", "GracePeriodS: soon", "GracePeriodS"},
           {"[7620, 7635]", "[7620]", "InternalPortRange"},
           {"Platform: {Address: \"10.2.1.7:8309\"}", "Other: 1",
            "Platform"}}) {
    std::string Text = ValidSettings;
    Text.replace(Text.find(From), From.size(), To);
    auto Read = platform::parseSettings(Text);
    ASSERT_TRUE(std::holds_alternative<platform::SettingsError>(Read)) << Name;
    EXPECT_NE(std::get<platform::SettingsError>(Read).Text.find(Name),
              std::string::npos);
  }
  EXPECT_TRUE(std::holds_alternative<platform::SettingsError>(
      platform::parseSettings("a: [")));
  EXPECT_TRUE(std::holds_alternative<platform::SettingsError>(
      platform::readSettings("/nonexistent/settings.yaml")));
}

} // namespace
