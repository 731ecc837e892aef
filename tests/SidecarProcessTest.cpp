// SidecarProcessTest.cpp - Tests of figsail-sidecar as a separate process.

#include "Endpoint.h"
#include "HttpTestSupport.h"
#include "LoopbackAddress.h"
#include "ScriptedServer.h"
#include "StoreStandin.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>

using namespace figsail;
using namespace figsail::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned StorePort = 24;
constexpr unsigned ServerPort = 23;
constexpr unsigned ControlPort = 22;
constexpr unsigned ReadyPort = 21;
constexpr unsigned ClientPort = 20;
constexpr unsigned MetricsPort = 1;

/// Time after which a test fails. Passing tests never wait for it.
constexpr auto TestTimeout = 60s;

/// Time in which service must be back after the return of all hosts.
constexpr auto RecoveryTime = 15s;

const std::string Config =
    R"({"Version":"00000001","Routes":[)"
    R"({"Name":"r","Host":"desk.example","PathPrefix":"/x/",)"
    R"("Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,)"
    R"("Priority":0,"Service":"desk","Attempts":2}],)"
    R"("Services":[{"Name":"desk","HealthPath":"/well","ConnectionLimit":50,)"
    R"("ColdPerS":40.0}],)"
    R"("Limits":{"HeaderBytes":16384,"BodyBytes":1048576,)"
    R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

std::string settingsText(double RetryRatio) {
  std::string Ip = loopbackAddress(0);
  Ip.resize(Ip.find(':'));
  std::ostringstream Text;
  Text << "SelfNode:\n  IpAddress: \"" << Ip << "\"\n  Zone: a\n  Region: r\n"
       << "  Limits: { FileDescriptors: 1024 }\n"
       << "  ApplicationAddress: \"" << loopbackAddress(ServerPort)
       << "\"\n  Service: desk\nNetwork:\n  ListenAddresses:\n    Outbound: \""
       << loopbackAddress(ClientPort) << "\"\n    Ready: \""
       << loopbackAddress(ReadyPort) << "\"\n    Control: \""
       << loopbackAddress(ControlPort)
       << "\"\n  InternalPortRange: [20000, 20010]\n  Zones: { a: r }\n"
       << "Platform:\n  HeartbeatIntervalMs: 1500\n  Platform:\n"
       << "    Address: \"" << loopbackAddress(StorePort) << "\"\n"
       << "Terms:\n  Bounds:\n    RetryBudgetRatio: " << RetryRatio
       << "\n    RetryBudgetSlack: 64\n    BudgetWindowS: 10\n"
       << "    ColdOverage: 1.5\n    ColdSlack: 5\n    GracePeriodS: 6\n";
  return Text.str();
}

/// Starts figsail-sidecar between stand-ins for the store, the backend server
/// and a client.
class SidecarProcessTest : public testing::Test {
protected:
  SidecarProcessTest() {
    Directory = testing::TempDir() + "figsail-sidecar-XXXXXX";
    EXPECT_NE(mkdtemp(Directory.data()), nullptr);
    writeSettings(settingsText(0.2));
    Loop.on([&] {
      Store.emplace(Loop.Context);
      Store->put("keyed.op", "config", Config);
      Store->listen(*parseEndpoint(loopbackAddress(StorePort)));
      Server.emplace(Loop.Context,
                     [this](const auto &Incoming, const auto &Reply) {
                       serve(Incoming, Reply);
                     });
      Server->listen(*parseEndpoint(loopbackAddress(ServerPort)));
    });
    start();
  }
  ~SidecarProcessTest() override {
    if (SidecarPid != 0)
      stop(SIGKILL);
    Loop.on([&] {
      Store.reset();
      Server.reset();
    });
    std::filesystem::remove_all(Directory);
  }

  void writeSettings(const std::string &Text) {
    std::ofstream(Directory + "/settings.yaml") << Text;
  }

  void start() {
    std::string Program = FIGSAIL_BIN_DIR "/figsail-sidecar";
    std::string Settings = "--settings=" + Directory + "/settings.yaml";
    std::vector<char *> Arguments{Program.data(), Settings.data(), nullptr};
    std::string Output = Directory + "/log";
    posix_spawn_file_actions_t Files;
    posix_spawn_file_actions_init(&Files);
    posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, Output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    ASSERT_EQ(posix_spawn(&SidecarPid, Program.c_str(), &Files, nullptr,
                          Arguments.data(), environ),
              0);
    posix_spawn_file_actions_destroy(&Files);
  }

  /// Sends a signal and waits for the end of the process. Returns the wait
  /// status.
  int stop(int Signal) {
    kill(SidecarPid, Signal);
    int Status = 0;
    waitpid(SidecarPid, &Status, 0);
    SidecarPid = 0;
    return Status;
  }

  /// Returns how a scripted server ends the sidecar, its client.
  std::function<void()> endsSidecar() {
    return [this] {
      if (SidecarPid != 0)
        stop(SIGKILL);
    };
  }

  template <class Condition> bool becomesTrue(Condition Predicate) {
    auto Limit = std::chrono::steady_clock::now() + TestTimeout;
    while (std::chrono::steady_clock::now() < Limit) {
      if (Predicate())
        return true;
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }

  /// Returns the number of log lines of a kind that contain a text.
  std::size_t countLogLines(const std::string &What,
                            const std::string &Text = "") {
    std::ifstream Log(Directory + "/log");
    std::size_t Count = 0;
    for (std::string Line; std::getline(Log, Line);)
      if (Line.find("\"what\":\"" + What + "\"") != std::string::npos &&
          Line.find(Text) != std::string::npos)
        ++Count;
    return Count;
  }

  /// Sends a request. Returns status 0 if there is no connection.
  static Response send(unsigned Port, const std::string &Method,
                       const std::string &Target, const std::string &Body) {
    try {
      boost::asio::io_context Blocking;
      tcp::socket Socket(Blocking);
      Socket.connect(*parseEndpoint(loopbackAddress(Port)));
      RawConnection Client(std::move(Socket));
      Client.send(Method + " " + Target +
                  " HTTP/1.1\r\nHost: desk.example\r\n"
                  "Figsail-Attempt-Id: a1\r\nContent-Length: " +
                  std::to_string(Body.size()) + "\r\n\r\n" + Body);
      return Client.response();
    } catch (const boost::system::system_error &) {
      Response None;
      None.result(0U);
      return None;
    }
  }
  /// Sends one request. Returns its status, or 0 if no connection is accepted
  /// any more. Counts a connection that ends without an answer.
  static unsigned callUntilCut(std::atomic<unsigned> &Cut) {
    boost::asio::io_context Blocking;
    tcp::socket Socket(Blocking);
    boost::system::error_code Refused;
    Socket.connect(*parseEndpoint(loopbackAddress(ClientPort)), Refused);
    if (Refused)
      return 0;
    RawConnection Client(std::move(Socket));
    try {
      Client.send("GET /x/1 HTTP/1.1\r\nHost: desk.example\r\n"
                  "Figsail-Attempt-Id: a1\r\n\r\n");
      return Client.response().result_int();
    } catch (const boost::system::system_error &) {
      ++Cut;
      return 1;
    }
  }
  bool isReady() {
    return send(ReadyPort, "GET", "/v1/readiness", "").result_int() == 200;
  }
  Response call() { return send(ClientPort, "GET", "/x/1", ""); }
  unsigned sendHeartbeat() {
    std::string Body = R"({"Service":"desk","Address":")" +
                       loopbackAddress(ServerPort) +
                       R"(","Zone":"a","Version":"v","Slots":10,)"
                       R"("State":"ready","ColdRemainingMs":0,"Sequence":)" +
                       std::to_string(++Heartbeats) + R"(,"born":1000})";
    return send(ControlPort, "PUT", "/v1/instances/i-1", Body).result_int();
  }

  /// Sends the first heartbeat to a sidecar, which asks the server before it
  /// sends calls to it.
  void reportServer() {
    std::size_t Before = countLogLines("server-recovered");
    EXPECT_EQ(sendHeartbeat(), 200U);
    EXPECT_TRUE(becomesTrue(
        [&] { return countLogLines("server-recovered") > Before; }));
  }

  void serve(const HttpService::Request &Incoming,
             const HttpService::Reply &Reply) {
    auto Answer = makeResponse(http::status::ok, "ran", "text/plain");
    Answer.set("Figsail-Instance-Id", "i-1");
    Answer.set("Figsail-Server-Seal", "seal");
    Answer.set("Figsail-Attempt-Id", Incoming["Figsail-Attempt-Id"]);
    bool IsProbe = Incoming.target() == "/well";
    for (const auto &[Name, Value] : ServerFields)
      if (!IsProbe || ProbesNameFields)
        Answer.set(Name, Value);
    if (!IsProbe)
      LastRequest = Incoming;
    if (!IsProbe)
      Arrivals.push_back(std::chrono::steady_clock::now());
    if (HoldsReplies && !IsProbe)
      Held.push_back(Reply);
    else
      Reply(std::move(Answer));
  }

  /// Changes the fields that the server adds to every response.
  void setServerFields(std::map<std::string, std::string> Fields) {
    Loop.on([&] { ServerFields = std::move(Fields); });
  }
  std::size_t arrivals() {
    return Loop.on([&] { return Arrivals.size(); });
  }
  /// Kills the sidecar and starts it again beside the same server.
  void restart() {
    stop(SIGKILL);
    start();
    EXPECT_TRUE(becomesTrue([&] { return isReady(); }));
    EXPECT_EQ(sendHeartbeat(), 200U);
  }

  std::map<std::string, std::string> ServerFields; ///< Of the server's thread.
  bool HoldsReplies = false; ///< Runs never end. Of the server's thread.
  std::vector<HttpService::Reply> Held;
  /// Whether health responses have these fields too.
  std::atomic<bool> ProbesNameFields = true;
  std::vector<std::chrono::steady_clock::time_point>
      Arrivals;                     ///< Requests at the server, without probes.
  HttpService::Request LastRequest; ///< Of the server's thread.
  std::string Directory;
  pid_t SidecarPid = 0;
  int Heartbeats = 0;
  LoopThread Loop;
  std::optional<StoreStandin> Store;
  std::optional<HttpService> Server;
};

} // namespace

TEST_F(SidecarProcessTest, ServesCallsAndStopsGracefully) {
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  EXPECT_EQ(call().result_int(), 503U) << "no server has sent a heartbeat";
  reportServer();
  Response Reply = call();
  EXPECT_EQ(Reply.result_int(), 200U);
  EXPECT_EQ(Reply.body(), "ran");
  EXPECT_EQ(Reply["Figsail-Server-Seal"], "seal");
  std::string Metrics = send(MetricsPort, "GET", "/metrics", "").body();
  EXPECT_NE(Metrics.find("figsail_calls_answered_total 1\n"), std::string::npos)
      << Metrics;
  int Status = stop(SIGTERM);
  EXPECT_TRUE(WIFEXITED(Status) && WEXITSTATUS(Status) == 0) << Status;
  EXPECT_EQ(countLogLines("stopped"), 1U);
}

// Guards against a key that reaches the backend server, the log or the metrics,
// and against a workspace that the backend server is not told.
TEST_F(SidecarProcessTest, OnlyTheNameOfTheWorkspaceLeavesTheDaemon) {
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  reportServer();
  std::string Changed = Config;
  Changed.replace(Changed.find("00000001"), 8, "00000002");
  Changed.insert(1, R"("Tenants":[{"Name":"press","ApiKeys":["k-9f3a"]}],)");
  Loop.on([&] { Store->put("keyed.op", "config", Changed); });
  ASSERT_TRUE(becomesTrue([&] {
    return countLogLines("config-in-force", "\"workspaces\":\"1\"") == 1;
  }));
  EXPECT_EQ(call().result_int(), 401U);
  boost::asio::io_context Blocking;
  tcp::socket Socket(Blocking);
  Socket.connect(*parseEndpoint(loopbackAddress(ClientPort)));
  RawConnection Client(std::move(Socket));
  Client.send("GET /x/1 HTTP/1.1\r\nHost: desk.example\r\n"
              "Authorization: Bearer k-9f3a\r\nFigsail-Tenant: forged\r\n"
              "Figsail-Attempt-Id: a1\r\n\r\n");
  EXPECT_EQ(Client.response().result_int(), 200U);
  HttpService::Request Seen = Loop.on([&] { return LastRequest; });
  EXPECT_EQ(Seen["Figsail-Tenant"], "press");
  EXPECT_EQ(Seen.count("Figsail-Tenant"), 1U);
  EXPECT_EQ(Seen.count("Authorization"), 0U);
  std::string Metrics = send(MetricsPort, "GET", "/metrics", "").body();
  EXPECT_NE(Metrics.find("figsail_keys_missing_total 1\n"), std::string::npos);
  EXPECT_EQ(Metrics.find("k-9f3a"), std::string::npos);
  EXPECT_EQ(stop(SIGTERM), 0) << "the log is complete";
  std::stringstream Log;
  Log << std::ifstream(Directory + "/log").rdbuf();
  EXPECT_EQ(Log.str().find("k-9f3a"), std::string::npos);
}

// Guards against metrics that do not say which configuration a host has.
TEST_F(SidecarProcessTest, TheMetricsShowTheConfigurationInForce) {
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  std::string Metrics = send(MetricsPort, "GET", "/metrics", "").body();
  for (const char *Name :
       {"figsail_config_version 1\n", "figsail_config_bytes ",
        "figsail_store_calls_total{kind=\"snapshot\"} "})
    EXPECT_NE(Metrics.find(Name), std::string::npos) << Name << Metrics;
  EXPECT_EQ(Metrics.find("figsail_config_bytes 0\n"), std::string::npos);
  EXPECT_EQ(Metrics.find("figsail_store_calls_total{kind=\"snapshot\"} 0\n"),
            std::string::npos)
      << Metrics;
}

// Guards against a stop that closes connections with a request in progress
// without a response.
TEST_F(SidecarProcessTest, StopAnswersPartlyReadRequests) {
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  EXPECT_EQ(sendHeartbeat(), 200U);
  boost::asio::io_context Blocking;
  tcp::socket Socket(Blocking);
  Socket.connect(*parseEndpoint(loopbackAddress(ClientPort)));
  RawConnection Client(std::move(Socket));
  Client.send("GET /x/1 HTTP/1.1\r\nHost: desk.example\r\n");
  kill(SidecarPid, SIGTERM);
  EXPECT_TRUE(
      becomesTrue([&] { return countLogLines("clients-closing") > 0; }));
  Client.send("Figsail-Attempt-Id: a1\r\n\r\n");
  // The only server accepts no more runs, so the response is 503 "not run".
  EXPECT_EQ(Client.response().result_int(), 503U);
  int Status = 0;
  waitpid(SidecarPid, &Status, 0);
  SidecarPid = 0;
  EXPECT_TRUE(WIFEXITED(Status) && WEXITSTATUS(Status) == 0) << Status;
}

// Guards against requests that are read whole in a stop and never answered: the
// clients keep sending until the process is gone, and the server outlasts it.
TEST_F(SidecarProcessTest, AStopAnswersEveryRequestThatItReads) {
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  EXPECT_EQ(sendHeartbeat(), 200U);
  std::string Long = Config;
  Long.replace(Long.find("00000001"), 8, "00000002");
  Long.replace(Long.find("5000"), 4, "15000");
  Loop.on([&] {
    Store->put("keyed.op", "config", Long);
    HoldsReplies = true;
  });
  ASSERT_TRUE(becomesTrue([&] {
    return countLogLines("config-in-force", "\"version\":\"2\"") == 1;
  }));
  std::atomic<unsigned> Cut = 0;
  std::atomic<unsigned> Refused = 0;
  std::atomic<unsigned> Unknown = 0;
  std::vector<std::jthread> Clients(8);
  for (std::jthread &Client : Clients)
    Client = std::jthread([&] {
      for (unsigned Status = 1; Status != 0;) {
        Status = callUntilCut(Cut);
        Refused += Status == 503;
        Unknown += Status == 502 || Status == 504;
      }
    });
  ASSERT_TRUE(becomesTrue([&] { return arrivals() == Clients.size(); }));
  boost::asio::io_context Blocking;
  tcp::socket Socket(Blocking);
  Socket.connect(*parseEndpoint(loopbackAddress(ClientPort)));
  RawConnection Slow(std::move(Socket));
  Slow.send("POST /x/1 HTTP/1.1\r\nHost: desk.example\r\n"
            "Content-Length: 9\r\n\r\nhalf");
  auto Start = std::chrono::steady_clock::now();
  int Status = stop(SIGTERM);
  EXPECT_LT(std::chrono::steady_clock::now() - Start, 6s);
  EXPECT_TRUE(WIFEXITED(Status) && WEXITSTATUS(Status) == 0) << Status;
  Clients.clear();
  EXPECT_EQ(Slow.response().result_int(), 408U);
  EXPECT_EQ(Cut, 0U) << "requests without an answer";
  EXPECT_GT(Unknown, 0U) << "runs were open at the end";
  EXPECT_EQ(countLogLines("stop-out-of-time"), 1U);
  Loop.on([&] { Held.clear(); });
}

// A settings file that is incomplete or invalid must neither change nor end a
// running sidecar.
TEST_F(SidecarProcessTest, ReloadsSettingsWithAndWithoutASignal) {
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  EXPECT_EQ(sendHeartbeat(), 200U);
  writeSettings(settingsText(0.3));
  kill(SidecarPid, SIGHUP);
  EXPECT_TRUE(
      becomesTrue([&] { return countLogLines("reload", "changed") > 0; }));
  writeSettings("SelfNode: 7\n");
  kill(SidecarPid, SIGHUP);
  EXPECT_TRUE(
      becomesTrue([&] { return countLogLines("settings-unusable") > 0; }));
  EXPECT_EQ(call().result_int(), 200U);
  std::size_t OldCount = countLogLines("reload", "\"bounds\":\"changed\"");
  writeSettings(settingsText(0.4));
  EXPECT_TRUE(becomesTrue([&] {
    return countLogLines("reload", "\"bounds\":\"changed\"") > OldCount;
  })) << "the settings must be reloaded without a signal";
}

// Guards against a server that gets no calls from the restart of its sidecar
// until its next heartbeat.
TEST_F(SidecarProcessTest, RestartedSidecarServesBeforeTheNextHeartbeat) {
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  reportServer();
  EXPECT_EQ(call().result_int(), 200U);
  ASSERT_TRUE(becomesTrue([&] {
    return Loop.on(
        [&] { return Store->containsRecordWith("\"instance\":\"i-1\""); });
  })) << "the instance must be announced";
  stop(SIGKILL);
  start();
  EXPECT_TRUE(becomesTrue([&] { return call().result_int() == 200; }));
  EXPECT_TRUE(
      becomesTrue([&] { return countLogLines("server-recovered") == 1; }));
}

/// Returns the configuration with another version and health path.
std::string configVersion(const std::string &Version,
                          const std::string &HealthPath) {
  std::string Text = Config;
  Text.replace(Text.find("00000001"), 8, Version);
  Text.replace(Text.find("/well"), 5, HealthPath);
  return Text;
}

// A store restored from an older copy assigns offsets again that the sidecar
// has already read. Guards against a sidecar that skips the new records at
// these offsets: it kept its configuration forever and no other host knew it.
TEST_F(SidecarProcessTest, FollowsAStoreRestoredFromAnOlderCopy) {
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  EXPECT_EQ(sendHeartbeat(), 200U);
  for (int Version = 2; Version <= 5; ++Version)
    Loop.on([&] {
      Store->put("keyed.op", "config",
                 configVersion("0000000" + std::to_string(Version), "/old"));
    });
  ASSERT_TRUE(becomesTrue([&] {
    return countLogLines("config-in-force", "\"version\":\"5\"") == 1;
  }));
  ASSERT_TRUE(becomesTrue([&] {
    return Loop.on(
        [&] { return Store->containsRecordWith("\"instance\":\"i-1\""); });
  }));
  Loop.on([&] { Store->restoreOlderCopy(3); });
  EXPECT_TRUE(
      becomesTrue([&] { return countLogLines("store-history-changed") == 1; }));
  EXPECT_TRUE(becomesTrue([&] {
    return Loop.on(
        [&] { return Store->containsRecordWith("\"instance\":\"i-1\""); });
  })) << "the sidecar must write its announcement again";
  EXPECT_EQ(call().result_int(), 200U);
  Loop.on([&] {
    Store->put("keyed.op", "config", configVersion("00000006", "/new"));
  });
  EXPECT_TRUE(becomesTrue([&] {
    return countLogLines("config-in-force", "\"version\":\"6\"") == 1;
  }));
  EXPECT_EQ(countLogLines("config-in-force"), 6U)
      << "no version may be applied twice";
}

// Guards against an entry of another writer that ends the process again and
// again, or hides what comes after it.
TEST_F(SidecarProcessTest, OddEntriesEndNothingAndHideNothing) {
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  EXPECT_EQ(sendHeartbeat(), 200U);
  std::string Nested(100000, '[');
  const std::string Members = "keyed.figsail-members";
  Loop.on([&] {
    Store->put(Members, "10.9.9.9:7000", Nested);
    Store->put(Members, "10.9.9.9:7001", R"({"generation":1e400,"host":7})");
    Store->put(Members, "10.9.9.9:70000", R"({"host":"10.9.9.9:70000"})");
    Store->put(Members, "not text", "\xff\xfe\x01");
    Store->put(Members, loopbackAddress(0), Nested);
    Store->put("keyed.op", "odd", Nested);
    Store->put("keyed.op", "config", Nested);
    Store->put("keyed.op", "config", configVersion("00000002", "/new"));
  });
  EXPECT_TRUE(becomesTrue([&] {
    return countLogLines("config-in-force", "\"version\":\"2\"") == 1;
  }));
  EXPECT_TRUE(
      becomesTrue([&] { return countLogLines("record-unusable") == 7; }));
  EXPECT_EQ(call().result_int(), 200U);
  std::string Metrics = send(MetricsPort, "GET", "/metrics", "").body();
  EXPECT_NE(Metrics.find("figsail_records_unusable_total 7\n"),
            std::string::npos)
      << Metrics;
  // A daemon that starts reads them as one list.
  restart();
  EXPECT_EQ(call().result_int(), 200U);
  int Status = stop(SIGTERM);
  EXPECT_TRUE(WIFEXITED(Status) && WEXITSTATUS(Status) == 0) << Status;
}

// Guards against RECOVER (issue 51) over a real connection: a daemon that
// started beside a store with answers slower than its timeout gave up each read
// and never became ready.
TEST_F(SidecarProcessTest, ARestartBesideASlowStoreBecomesReady) {
  ASSERT_TRUE(becomesTrue([this] { return isReady(); }));
  stop(SIGKILL);
  Loop.on([&] { Store->setAnswerTime(4s); });
  auto Started = std::chrono::steady_clock::now();
  start();
  EXPECT_TRUE(becomesTrue([this] { return isReady(); }));
  EXPECT_LT(std::chrono::steady_clock::now() - Started, RecoveryTime);
  EXPECT_TRUE(becomesTrue([this] {
    return countLogLines("store-reached", R"("answer_ms":"4)") > 0;
  }));
  reportServer();
  EXPECT_EQ(call().result_int(), 200U);
}

TEST_F(SidecarProcessTest, ServesWhileTheStoreIsUnreachable) {
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  EXPECT_EQ(sendHeartbeat(), 200U);
  Loop.on([&] { Store->stop(); });
  EXPECT_TRUE(becomesTrue([&] { return countLogLines("store-lost") > 0; }));
  EXPECT_EQ(call().result_int(), 200U);
  EXPECT_TRUE(isReady());
}

// Guards against a server that gets more requests than the limit that it names,
// also around restarts of the process beside it and without the store.
TEST_F(SidecarProcessTest, HoldsTheLimitOfTheServerThroughRestarts) {
  constexpr auto Window = 4s;
  constexpr std::size_t Allowed = 17; // 1.5 x 2 a second x 4 s + 5.
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  reportServer();
  setServerFields({{"Server-Limit", "2.0"}});
  EXPECT_EQ(call().result_int(), 200U);
  std::atomic<bool> Stopped = false;
  std::atomic<std::size_t> RateLimited = 0;
  std::vector<std::jthread> Clients(8);
  for (std::jthread &Client : Clients)
    Client = std::jthread([&] {
      for (; !Stopped; std::this_thread::sleep_for(5ms)) {
        Response Reply = call();
        std::string RetryAfter(Reply["Retry-After"]);
        bool Named = Reply["Figsail-Error"] == "rate-limited";
        // One starts in half a second, and others wait for it.
        if (Named && std::atof(RetryAfter.c_str()) > 0.1)
          ++RateLimited;
      }
    });
  for (int I = 0; I < 4; ++I) {
    std::this_thread::sleep_for(Window / 2);
    restart();
  }
  Stopped = true;
  Clients.clear();
  EXPECT_GT(RateLimited, 0U) << "refusals must say when to return";
  EXPECT_GE(countLogLines("server-limit", "\"per_second\":\"2.0"), 1U);
  auto Seen = Loop.on([&] { return Arrivals; });
  for (auto First = Seen.begin(); First != Seen.end(); ++First) {
    auto Last = std::lower_bound(First, Seen.end(), *First + Window);
    EXPECT_LE(static_cast<std::size_t>(Last - First), Allowed);
  }
}

// Guards against a server that gets requests after it has said in an answer
// that it leaves: from the same process or from the next one beside it, which a
// late heartbeat of the server reaches.
TEST_F(SidecarProcessTest, SendsNothingToAServerThatNamesItsLeaving) {
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  reportServer();
  // Else a probe may hear of the leaving before the call is sent.
  ProbesNameFields = false;
  setServerFields({{"Server-Leaving", "1"}});
  EXPECT_EQ(call().result_int(), 200U);
  EXPECT_EQ(countLogLines("server-leaving", "\"source\":\"run\""), 1U);
  ASSERT_TRUE(becomesTrue([&] {
    return Loop.on([&] { return Store->containsRecordWith("\"left\":true"); });
  })) << "the leaving must be announced";
  std::size_t Before = arrivals();
  EXPECT_EQ(call().result_int(), 503U);
  EXPECT_EQ(sendHeartbeat(), 200U);
  EXPECT_EQ(call().result_int(), 503U);
  setServerFields({});
  restart();
  EXPECT_EQ(call().result_int(), 503U);
  EXPECT_EQ(arrivals(), Before);
}

namespace {

/// The response of a server that cuts it.
const std::string WholeResponse =
    "HTTP/1.1 200 OK\r\nFigsail-Attempt-Id: a1\r\n"
    "Figsail-Server-Seal: seal\r\nContent-Length: 3\r\n\r\nran";
/// Another response, sent behind a part of the first.
constexpr std::string_view ErrorPage =
    "HTTP/1.1 500 Internal Server Error\r\nFigsail-Attempt-Id: a1\r\n"
    "Figsail-Server-Seal: seal\r\nContent-Length: 3\r\n\r\nbad";

/// Answers the probes on a connection, until the head of another request has
/// been read. Its body is left unread.
void answerProbes(RawConnection &Peer) {
  while (Peer.requestHead().target() == "/well")
    Peer.send("HTTP/1.1 200 OK\r\nFigsail-Instance-Id: i-1\r\n"
              "Content-Length: 0\r\n\r\n");
}

} // namespace

// A backend server that stops in the middle of a response, or sends another one
// behind a part of the first, must not get the client a success.
TEST_F(SidecarProcessTest, ResponseCutByTheServerIsNoSuccess) {
  // The sidecar has inherited the listening socket of the usual server.
  stop(SIGKILL);
  Loop.on([&] { Server.reset(); });
  std::atomic<std::size_t> Size = 0; // Bytes of a response that are sent.
  std::atomic<bool> SendsErrorPage = false; // After them.
  std::atomic<std::size_t> Calls = 0;
  ScriptedServer Cutting(
      endsSidecar(),
      [&](RawConnection &Peer, std::size_t) {
        answerProbes(Peer);
        ++Calls;
        Peer.send(WholeResponse.substr(0, Size));
        if (SendsErrorPage)
          Peer.send(ErrorPage);
      },
      *parseEndpoint(loopbackAddress(ServerPort)));
  start();
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  ASSERT_EQ(sendHeartbeat(), 200U);
  for (std::string_view End :
       {"HTTP/1.1 2", "200 O", "200 OK\r\n", "Attempt-Id: a1\r\n", "seal",
        "seal\r\n", "Content-Len", "Length: 3", "\r\n\r", "\r\n\r\n", "ra"}) {
    Size = WholeResponse.find(End) + End.size();
    bool HeadIsWhole = Size >= WholeResponse.size() - 3;
    for (bool Continued : {false, true}) {
      if (HeadIsWhole && Continued)
        continue;
      SendsErrorPage = Continued;
      std::size_t Before = Calls;
      unsigned Status = 0;
      // The sidecar may set a server aside that has failed.
      ASSERT_TRUE(becomesTrue([&] {
        Status = call().result_int();
        return Calls > Before;
      }));
      EXPECT_TRUE(Status < 200 || Status >= 300)
          << "cut after " << End << ", continued: " << Continued << ", status "
          << Status;
    }
  }
  SendsErrorPage = false;
  Size = WholeResponse.size();
  EXPECT_TRUE(becomesTrue([&] { return call().body() == "ran"; }));
}

// Guards against MIXED of issue 48: the client got a part of an answer as a
// complete one, since the server reset the connection while the upload was
// still being written.
TEST_F(SidecarProcessTest, AnAnswerResetDuringAnUploadIsNoSuccess) {
  stop(SIGKILL);
  Loop.on([&] { Server.reset(); });
  std::atomic<std::size_t> PartBytes = 0; // Of the body that are sent.
  std::atomic<std::size_t> Uploads = 0;
  ScriptedServer Resetting(
      endsSidecar(),
      [&](RawConnection &Peer, std::size_t) {
        answerProbes(Peer);
        ++Uploads;
        Peer.send("HTTP/1.1 200 OK\r\nFigsail-Attempt-Id: a1\r\n"
                  "Figsail-Server-Seal: seal\r\n\r\n");
        Peer.send(std::string(PartBytes, 'a'));
        std::this_thread::sleep_for(2ms);
        Peer.reset();
      },
      *parseEndpoint(loopbackAddress(ServerPort)));
  std::string Large = Config;
  Large.replace(Large.find("1048576"), 7, "8388608");
  Loop.on([&] { Store->put("keyed.op", "config", Large); });
  start();
  ASSERT_TRUE(becomesTrue([&] { return isReady(); }));
  reportServer();
  const std::string Body(std::size_t{7} * 1024 * 1024, 'u');
  for (std::size_t Bytes : {1U, 5000U, 300'000U}) {
    PartBytes = Bytes;
    for (int I = 0; I < 4; ++I) {
      std::size_t Before = Uploads;
      unsigned Status = 0;
      // The sidecar may set a server aside that has failed.
      ASSERT_TRUE(becomesTrue([&] {
        Status = send(ClientPort, "POST", "/x/1", Body).result_int();
        return Uploads > Before;
      }));
      EXPECT_EQ(Status, 502U) << Bytes << " bytes of the answer";
    }
  }
}
