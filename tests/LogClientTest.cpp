// LogClientTest.cpp - Tests of LogClient: outcomes of appends, and reads
// without skipped or duplicate records.

#include "LogClient.h"
#include "../standins/LogStandin.h"
#include "Endpoint.h"
#include "HttpTestSupport.h"

#include <gtest/gtest.h>

using namespace figsail;
using figsail::test::RawConnection;
namespace asio = boost::asio;

namespace {

/// Time after which a test fails. Passing tests never wait for it.
constexpr std::chrono::seconds TestTimeout{20};
constexpr std::chrono::seconds RequestTimeout{10};

class LogClientTest : public ::testing::Test, public LogHandler {
protected:
  void logRead(LogRead Read) override { Reads.push_back(std::move(Read)); }
  void logReadFailed() override { ++FailedReads; }
  void appendDone(AppendDone Done) override { Appends.push_back(Done); }

  /// Starts the log service and a client of it.
  void start(LogStandinSettings Settings = {}) {
    Service = std::make_unique<LogStandin>(Loop, Settings);
    auto Endpoint =
        Service->listen({asio::ip::make_address("127.0.0.1"), Port});
    Port = Endpoint.port();
    Client = std::make_unique<LogClient>(Loop, *this, formatEndpoint(Endpoint),
                                         RequestTimeout);
  }

  template <class F> void runUntil(F Condition) {
    auto Limit = std::chrono::steady_clock::now() + TestTimeout;
    while (!Condition()) {
      ASSERT_LT(std::chrono::steady_clock::now(), Limit);
      Loop.restart();
      Loop.run_one_for(std::chrono::milliseconds(100));
    }
  }

  Offset append(const std::string &Data) {
    std::size_t OldCount = Appends.size();
    Client->append(OldCount + 1, Data);
    runUntil([&] { return Appends.size() == OldCount + 1; });
    EXPECT_EQ(Appends.back().Append, OldCount + 1);
    return Appends.back().At;
  }

  LogRead read(Offset From) {
    std::size_t OldCount = Reads.size();
    Client->read(From, Duration(0));
    runUntil([&] { return Reads.size() == OldCount + 1; });
    return Reads.back();
  }

  asio::io_context Loop{1};
  std::uint16_t Port = 0;
  std::unique_ptr<LogStandin> Service;
  std::unique_ptr<LogClient> Client;
  std::vector<LogRead> Reads;
  std::vector<AppendDone> Appends;
  int FailedReads = 0;
};

} // namespace

TEST_F(LogClientTest, ReadReturnsRecordsInOrderAndUnchanged) {
  start();
  std::string Escaped = "{\"text\": \"quote \\\" \\n \xe5\x8d\x9a\"}";
  EXPECT_EQ(append("first"), 0);
  EXPECT_EQ(append(Escaped), 1);
  LogRead All = read(0);
  EXPECT_EQ(All.Earliest, 0);
  EXPECT_EQ(All.Next, 2);
  EXPECT_EQ(All.Batch, (std::vector<LogRecord>{{0, "first"}, {1, Escaped}}));
  EXPECT_EQ(read(1).Batch.size(), 1U);
  EXPECT_TRUE(read(2).Batch.empty());
}

// Membership records of one daemon must not be reordered.
TEST_F(LogClientTest, AppendsAreStoredInOrder) {
  start({.AppendsPerSecond = 1e6});
  for (AppendId I = 0; I < 20; ++I)
    Client->append(I, std::to_string(I));
  runUntil([&] { return Appends.size() == 20; });
  for (AppendId I = 0; I < 20; ++I) {
    EXPECT_EQ(Appends[I].Append, I);
    EXPECT_EQ(Appends[I].At, static_cast<Offset>(I));
  }
}

// The record is in the log, but the response with its offset is lost. The
// client must report neither an offset nor a failure.
TEST_F(LogClientTest, LostResponseLeavesTheOutcomeUnknown) {
  start();
  Service->control({{"lose_next_answer", "1"}});
  EXPECT_EQ(append("kept"), NoOffset);
  LogRead All = read(0);
  ASSERT_EQ(All.Batch.size(), 1U);
  EXPECT_EQ(All.Batch[0].Data, "kept");
  EXPECT_EQ(append("next"), 1)
      << "the client must work after the lost response";
}

TEST_F(LogClientTest, ReadsAndAppendsFailDuringAnOutage) {
  start();
  EXPECT_EQ(append("before"), 0);
  Service->control({{"outage", "1"}});
  EXPECT_EQ(append("during"), NoOffset);
  Client->read(0, Duration(0));
  runUntil([&] { return FailedReads == 1; });
  Service->control({{"outage", "0"}});
  EXPECT_EQ(append("after"), 1);
  EXPECT_EQ(read(0).Batch.size(), 2U);
}

// The service ends and starts again at the same address.
TEST_F(LogClientTest, ClientReconnectsAfterTheServiceRestarts) {
  start();
  EXPECT_EQ(append("x"), 0);
  read(0);
  Service = nullptr;
  Client->read(0, Duration(0));
  runUntil([&] { return FailedReads == 1; });
  EXPECT_EQ(append("lost"), NoOffset);
  Service = std::make_unique<LogStandin>(Loop, LogStandinSettings());
  Service->listen({asio::ip::make_address("127.0.0.1"), Port});
  EXPECT_EQ(append("y"), 0);
  EXPECT_EQ(read(0).Batch.size(), 1U);
}

// A change must take effect immediately, not at the end of a waiting read.
TEST_F(LogClientTest, WaitingReadEndsWithTheNextRecord) {
  start();
  Client->read(0, std::chrono::minutes(5));
  EXPECT_EQ(append("new record"), 0);
  runUntil([&] { return Reads.size() == 1; });
  ASSERT_EQ(Reads[0].Batch.size(), 1U);
  EXPECT_EQ(Reads[0].Batch[0].Data, "new record");
}

// The response of a replaced read would otherwise be taken for that of the new
// read.
TEST_F(LogClientTest, SecondReadReplacesTheFirst) {
  start();
  EXPECT_EQ(append("a"), 0);
  Client->read(1, std::chrono::minutes(5));
  Client->read(0, Duration(0));
  runUntil([&] { return Reads.size() == 1; });
  EXPECT_EQ(Reads[0].Batch.size(), 1U);
  EXPECT_EQ(append("b"), 1);
  EXPECT_EQ(Reads.size(), 1U);
  EXPECT_EQ(FailedReads, 0);
}

// A reader whose records have expired must see the gap, not a log that seems
// complete.
TEST_F(LogClientTest, ReadBelowTheEarliestRecordReportsTheGap) {
  start({.RetentionRecords = 2});
  for (int I = 0; I < 5; ++I)
    append(std::to_string(I));
  LogRead All = read(0);
  EXPECT_EQ(All.Earliest, 3);
  EXPECT_EQ(All.Next, 5);
  EXPECT_EQ(All.Batch, (std::vector<LogRecord>{{3, "3"}, {4, "4"}}));
}

// A response that violates the interface must not produce records.
TEST_F(LogClientTest, MalformedResponsesAreFailures) {
  std::string Body;
  HttpService Faulty(
      Loop, [&](const HttpService::Request &, const HttpService::Reply &Send) {
        Send(makeResponse(boost::beast::http::status::ok, Body, "text/plain"));
      });
  auto Endpoint = Faulty.listen({asio::ip::make_address("127.0.0.1"), 0});
  Client = std::make_unique<LogClient>(Loop, *this, formatEndpoint(Endpoint),
                                       RequestTimeout);
  int Expected = 0;
  const char *NoRecords = R"({"earliest":0,"next":1})";
  const char *TextOffset =
      R"({"earliest":0,"next":1,"records":[{"offset":"0","data":"x"}]})";
  const char *OutOfOrder = R"({"earliest":0,"next":2,"records":[)"
                           R"({"offset":1,"data":"x"},)"
                           R"({"offset":0,"data":"y"}]})";
  for (const char *Text : {"", "nonsense", NoRecords, TextOffset, OutOfOrder}) {
    Body = Text;
    Client->read(0, Duration(0));
    ++Expected;
    runUntil([&] { return FailedReads == Expected; });
    EXPECT_EQ(append("x"), NoOffset) << Text;
  }
  EXPECT_TRUE(Reads.empty());
}

/// Log service that handles connections one after the other on its own thread.
class ScriptedLogService {
public:
  using Script = std::function<void(RawConnection &, std::size_t)>;

  explicit ScriptedLogService(Script HandleConnection)
      : Acceptor(Context, {asio::ip::address_v4::loopback(), 0}),
        Thread(
            [this, Handle = std::move(HandleConnection)] { serve(Handle); }) {}
  ~ScriptedLogService() {
    Stopping = true;
    RawConnection Wake(Acceptor.local_endpoint().port());
    Thread.join();
  }
  ScriptedLogService(const ScriptedLogService &) = delete;
  ScriptedLogService &operator=(const ScriptedLogService &) = delete;

  std::string address() const {
    return formatEndpoint(Acceptor.local_endpoint());
  }

private:
  void serve(const Script &HandleConnection) {
    for (std::size_t Number = 0;; ++Number) {
      RawConnection Peer(Acceptor.accept());
      if (Stopping)
        return;
      try {
        HandleConnection(Peer, Number);
      } catch (const boost::system::system_error &) {
        // The client has closed the connection.
      }
    }
  }

  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

static std::string readResponse(const std::string &Next) {
  std::string Body = R"({"earliest":0,"next":)" + Next + R"(,"records":[]})";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

// Guards against a second copy of a response that is taken as the response to
// the next read. It arrives with the first copy.
TEST_F(LogClientTest, ASecondResponseIsNotThatOfTheNextRead) {
  ScriptedLogService Faulty([](RawConnection &Peer, std::size_t Number) {
    Peer.request();
    if (Number == 0)
      Peer.send(readResponse("1") + readResponse("1"));
    else
      Peer.send(readResponse("2"));
    Peer.isClosedByPeer();
  });
  Client = std::make_unique<LogClient>(Loop, *this, Faulty.address(),
                                       RequestTimeout);
  EXPECT_EQ(read(0).Next, 1);
  EXPECT_EQ(read(0).Next, 2);
  Client.reset();
  Loop.poll();
}

// The same for a copy that arrives later, while no read is in progress.
TEST_F(LogClientTest, ALateSecondResponseIsNotThatOfTheNextRead) {
  std::promise<void> SendCopy;
  std::promise<void> CopySent;
  ScriptedLogService Faulty([&](RawConnection &Peer, std::size_t Number) {
    Peer.request();
    Peer.send(readResponse(Number == 0 ? "1" : "2"));
    if (Number == 0) {
      SendCopy.get_future().wait();
      Peer.send(readResponse("1"));
      CopySent.set_value();
    }
    Peer.isClosedByPeer();
  });
  Client = std::make_unique<LogClient>(Loop, *this, Faulty.address(),
                                       RequestTimeout);
  EXPECT_EQ(read(0).Next, 1);
  SendCopy.set_value();
  CopySent.get_future().wait();
  EXPECT_EQ(read(0).Next, 2);
  Client.reset();
  Loop.poll();
}

// Guards against a follower that stops: one record whose bytes are not text
// made the client reject its page, read it again and reject it again.
TEST_F(LogClientTest, ARecordThatIsNotTextDoesNotHideTheOthers) {
  start();
  append("first");
  append("\xff\xfe\x01");
  append("last");
  LogRead All = read(0);
  ASSERT_EQ(All.Batch.size(), 3U);
  EXPECT_EQ(All.Batch[0].Data, "first");
  EXPECT_EQ(All.Batch[2].Data, "last");
  EXPECT_EQ(All.Next, 3);
}
