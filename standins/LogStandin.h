// LogStandin.h - Simulator of the platform's append-only log service.

#ifndef FIGSAIL_LOGSTANDIN_H
#define FIGSAIL_LOGSTANDIN_H

#include "../src/shell/HttpService.h"
#include "figsail/Types.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <deque>
#include <list>
#include <map>
#include <string>

namespace figsail {

/// Settings of the simulator.
struct LogStandinSettings {
  std::size_t RetentionRecords = 0; ///< Maximum records kept; 0: unlimited.
  Duration Retention{0};            ///< Maximum age of records; 0: unlimited.
  double AppendsPerSecond = 500;    ///< Appends above the rate are delayed.
};

/// Single-process simulator of the log service. Its interface is described in
/// LogClient.h. Faults: POST /_control?outage=0|1&slow_ms=N&lose_next_answer=1.
/// During an outage every other request gets 503; slow_ms delays every answer;
/// lose_next_answer stores the next append and closes its connection.
class LogStandin {
public:
  LogStandin(boost::asio::io_context &Context, LogStandinSettings Settings)
      : Context(Context), Settings(Settings),
        Service(Context,
                [this](const Request &Message, const Reply &SendReply) {
                  handle(Message, SendReply);
                }) {}

  /// Starts to listen; port 0 chooses a free port. Returns the endpoint. Throws
  /// boost::system::system_error.
  boost::asio::ip::tcp::endpoint
  listen(const boost::asio::ip::tcp::endpoint &ListenAddress) {
    return Service.listen(ListenAddress);
  }

  /// Returns the number of records kept.
  std::size_t size() const { return Records.size(); }

  /// Applies the arguments of /_control.
  void control(const std::map<std::string, std::string> &Arguments) {
    auto NumberOr = [&](const char *Name, long Current) {
      return Arguments.contains(Name) ? number(Arguments, Name, 0) : Current;
    };
    Outage = NumberOr("outage", Outage ? 1 : 0) != 0;
    AnswerDelay =
        std::chrono::milliseconds(NumberOr("slow_ms", AnswerDelay.count()));
    LoseNextAnswer = NumberOr("lose_next_answer", LoseNextAnswer ? 1 : 0) != 0;
    if (Outage)
      answerPendingReads(true);
  }

private:
  using Request = HttpService::Request;
  using Response = HttpService::Response;
  using Reply = HttpService::Reply;
  using Query = std::map<std::string, std::string>;
  using Status = boost::beast::http::status;
  using Clock = std::chrono::steady_clock;

  struct StoredRecord {
    Clock::time_point AppendedAt;
    std::string Data;
  };
  /// A long-poll read that waits for a record.
  struct PendingRead {
    Offset From;
    std::size_t Max;
    std::shared_ptr<boost::asio::steady_timer> Timer;
    Reply SendReply;
  };

  static long number(const Query &Arguments, const std::string &Name,
                     long Default) {
    auto Found = Arguments.find(Name);
    if (Found == Arguments.end())
      return Default;
    const std::string &Text = Found->second;
    long Value = Default;
    std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    return Value;
  }

  static Query parseQuery(std::string_view Target) {
    Query Arguments;
    std::size_t QuestionMark = Target.find('?');
    if (QuestionMark == std::string_view::npos)
      return Arguments;
    std::string_view Remaining = Target.substr(QuestionMark + 1);
    while (!Remaining.empty()) {
      std::string_view Pair = Remaining.substr(0, Remaining.find('&'));
      Remaining.remove_prefix(std::min(Remaining.size(), Pair.size() + 1));
      std::size_t Equals = std::min(Pair.find('='), Pair.size());
      std::string_view Value = Pair.substr(std::min(Equals + 1, Pair.size()));
      Arguments[std::string(Pair.substr(0, Equals))] = Value;
    }
    return Arguments;
  }

  static Response failure(Status Code, const std::string &Text) {
    return makeResponse(Code, Text + "\n", "text/plain");
  }

  static Response success(const boost::json::value &Body) {
    return makeResponse(Status::ok, boost::json::serialize(Body),
                        "application/json");
  }

  void handle(const Request &Message, const Reply &SendReply) {
    std::string Target(Message.target());
    Query Arguments = parseQuery(Target);
    std::string Path = Target.substr(0, Target.find('?'));
    if (Path == "/_control") {
      control(Arguments);
      return SendReply(success(boost::json::object{}));
    }
    afterDelay(AnswerDelay,
               [this, Path, Arguments, Body = Message.body(), SendReply] {
                 dispatch(Path, Arguments, Body, SendReply);
               });
  }

  void dispatch(const std::string &Path, const Query &Arguments,
                const std::string &Body, const Reply &SendReply) {
    if (Outage)
      SendReply(failure(Status::service_unavailable, "outage"));
    else if (Path == "/v1/append")
      append(Body, SendReply);
    else if (Path == "/v1/read")
      read(Arguments, SendReply);
    else
      SendReply(failure(Status::not_found, "no such method"));
  }

  template <class F> void afterDelay(Duration Delay, F Action) {
    if (Delay.count() <= 0)
      return Action();
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context, Delay);
    Timer->async_wait([Timer, Action](const boost::system::error_code &Error) {
      if (!Error)
        Action();
    });
  }

  /// Appends a record; appends above the rate are delayed.
  void append(const std::string &Data, const Reply &SendReply) {
    auto Now = Clock::now();
    auto Scheduled = std::max(Now, NextAppend);
    NextAppend =
        Scheduled +
        std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(1 / Settings.AppendsPerSecond));
    afterDelay(std::chrono::ceil<Duration>(Scheduled - Now),
               [this, Data, SendReply] { store(Data, SendReply); });
  }

  void store(const std::string &Data, const Reply &SendReply) {
    if (Outage)
      return SendReply(failure(Status::service_unavailable, "outage"));
    Offset Position = nextOffset();
    Records.push_back({Clock::now(), Data});
    trim();
    answerPendingReads(false);
    if (std::exchange(LoseNextAnswer, false))
      return SendReply(std::nullopt);
    SendReply(success({{"offset", Position}}));
  }

  void read(const Query &Arguments, const Reply &SendReply) {
    trim();
    Offset From = number(Arguments, "from", 0);
    auto Max = static_cast<std::size_t>(number(Arguments, "max", 500));
    std::chrono::milliseconds Wait(number(Arguments, "wait_ms", 0));
    if (From < nextOffset() || Wait.count() <= 0)
      return answerRead(From, Max, SendReply);
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context, Wait);
    auto Pending =
        PendingReads.insert(PendingReads.end(), {From, Max, Timer, SendReply});
    Timer->async_wait([this, Pending](const boost::system::error_code &Error) {
      if (Error)
        return;
      answerRead(Pending->From, Pending->Max, Pending->SendReply);
      PendingReads.erase(Pending);
    });
  }

  void answerRead(Offset From, std::size_t Max, const Reply &SendReply) {
    if (Outage)
      return SendReply(failure(Status::service_unavailable, "outage"));
    boost::json::array Batch;
    for (Offset Position = std::max(From, Earliest);
         Position < nextOffset() && Batch.size() < Max; ++Position)
      Batch.push_back(
          {{"offset", Position},
           {"data",
            Records[static_cast<std::size_t>(Position - Earliest)].Data}});
    SendReply(success({{"earliest", Earliest},
                       {"next", nextOffset()},
                       {"records", std::move(Batch)}}));
  }

  /// Answers the pending reads that have a record by now, or all of them.
  void answerPendingReads(bool All) {
    for (auto Pending = PendingReads.begin(); Pending != PendingReads.end();) {
      if (!All && Pending->From >= nextOffset()) {
        ++Pending;
        continue;
      }
      // When cancel() returns 0, the handler of the timer is already queued
      // and answers this read.
      if (Pending->Timer->cancel() == 0) {
        ++Pending;
        continue;
      }
      answerRead(Pending->From, Pending->Max, Pending->SendReply);
      Pending = PendingReads.erase(Pending);
    }
  }

  void trim() {
    auto Now = Clock::now();
    auto Expired = [&](const StoredRecord &Record) {
      return (Settings.RetentionRecords != 0 &&
              Records.size() > Settings.RetentionRecords) ||
             (Settings.Retention.count() != 0 &&
              Record.AppendedAt + Settings.Retention < Now);
    };
    while (!Records.empty() && Expired(Records.front())) {
      Records.pop_front();
      ++Earliest;
    }
  }

  /// Returns the offset of the next append.
  Offset nextOffset() const {
    return Earliest + static_cast<Offset>(Records.size());
  }

  boost::asio::io_context &Context;
  LogStandinSettings Settings;
  HttpService Service;
  std::deque<StoredRecord> Records;
  Offset Earliest = 0; ///< Offset of the first record kept.
  std::list<PendingRead> PendingReads;
  Clock::time_point NextAppend{}; ///< Earliest time of the next append.
  bool Outage = false;
  std::chrono::milliseconds AnswerDelay{0};
  bool LoseNextAnswer = false;
};

} // namespace figsail

#endif // FIGSAIL_LOGSTANDIN_H
