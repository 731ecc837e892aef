// LogStandin.h - Simulates the platform's append-only log service.

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
  std::size_t RetentionRecords = 0; ///< Records kept; 0: no bound.
  Duration Retention{0};            ///< Age of records kept; 0: no bound.
  double AppendsPerSecond = 500;    ///< Further appends wait their turn.
};

/// The log service in one process. Its interface is described in LogClient.h.
/// Faults: POST /_control?outage=0|1&slow_ms=N&lose_next_answer=1. During an
/// outage every other request gets 503; slow_ms delays every answer;
/// lose_next_answer stores the next append and closes its connection.
class LogStandin {
public:
  LogStandin(boost::asio::io_context &Context, LogStandinSettings Settings)
      : Context(Context), Settings(Settings),
        Service(Context, [this](const Request &Message, const Reply &Send) {
          handle(Message, Send);
        }) {}

  /// Starts to listen; port 0 chooses a free port. Returns the endpoint. Throws
  /// boost::system::system_error.
  boost::asio::ip::tcp::endpoint
  listen(const boost::asio::ip::tcp::endpoint &Where) {
    return Service.listen(Where);
  }

  /// Returns the number of records kept.
  std::size_t size() const { return Records.size(); }

  /// Applies the arguments of /_control.
  void control(const std::map<std::string, std::string> &Arguments) {
    auto Find = [&](const char *Name, long Present) {
      return Arguments.contains(Name) ? number(Arguments, Name, 0) : Present;
    };
    Outage = Find("outage", Outage ? 1 : 0) != 0;
    Slow = std::chrono::milliseconds(Find("slow_ms", Slow.count()));
    LoseNextAnswer = Find("lose_next_answer", LoseNextAnswer ? 1 : 0) != 0;
    if (Outage)
      answerWaiting(true);
  }

private:
  using Request = HttpService::Request;
  using Response = HttpService::Response;
  using Reply = HttpService::Reply;
  using Query = std::map<std::string, std::string>;
  using Status = boost::beast::http::status;
  using Clock = std::chrono::steady_clock;

  struct Stored {
    Clock::time_point Since;
    std::string Data;
  };
  /// A read that is held until there is a record for it.
  struct HeldRead {
    Offset From;
    std::size_t Max;
    std::shared_ptr<boost::asio::steady_timer> Timer;
    Reply Send;
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
    std::size_t Mark = Target.find('?');
    if (Mark == std::string_view::npos)
      return Arguments;
    std::string_view Rest = Target.substr(Mark + 1);
    while (!Rest.empty()) {
      std::string_view Pair = Rest.substr(0, Rest.find('&'));
      Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
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

  void handle(const Request &Message, const Reply &Send) {
    std::string Target(Message.target());
    Query Arguments = parseQuery(Target);
    std::string Path = Target.substr(0, Target.find('?'));
    if (Path == "/_control") {
      control(Arguments);
      return Send(success(boost::json::object{}));
    }
    after(Slow, [this, Path, Arguments, Body = Message.body(), Send] {
      dispatch(Path, Arguments, Body, Send);
    });
  }

  void dispatch(const std::string &Path, const Query &Arguments,
                const std::string &Body, const Reply &Send) {
    if (Outage)
      Send(failure(Status::service_unavailable, "outage"));
    else if (Path == "/v1/append")
      append(Body, Send);
    else if (Path == "/v1/read")
      read(Arguments, Send);
    else
      Send(failure(Status::not_found, "no such method"));
  }

  template <class F> void after(Duration Delay, F Action) {
    if (Delay.count() <= 0)
      return Action();
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context, Delay);
    Timer->async_wait([Timer, Action](const boost::system::error_code &Error) {
      if (!Error)
        Action();
    });
  }

  /// Delays appends above the rate.
  void append(const std::string &Data, const Reply &Send) {
    auto Now = Clock::now();
    auto Turn = std::max(Now, NextAppend);
    NextAppend =
        Turn +
        std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(1 / Settings.AppendsPerSecond));
    after(std::chrono::ceil<Duration>(Turn - Now),
          [this, Data, Send] { store(Data, Send); });
  }

  void store(const std::string &Data, const Reply &Send) {
    if (Outage)
      return Send(failure(Status::service_unavailable, "outage"));
    Offset At = next();
    Records.push_back({Clock::now(), Data});
    trim();
    answerWaiting(false);
    if (std::exchange(LoseNextAnswer, false))
      return Send(std::nullopt);
    Send(success({{"offset", At}}));
  }

  void read(const Query &Arguments, const Reply &Send) {
    trim();
    Offset From = number(Arguments, "from", 0);
    auto Max = static_cast<std::size_t>(number(Arguments, "max", 500));
    std::chrono::milliseconds Wait(number(Arguments, "wait_ms", 0));
    if (From < next() || Wait.count() <= 0)
      return answerRead(From, Max, Send);
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context, Wait);
    auto Held = Waits.insert(Waits.end(), {From, Max, Timer, Send});
    Timer->async_wait([this, Held](const boost::system::error_code &Error) {
      if (Error)
        return;
      answerRead(Held->From, Held->Max, Held->Send);
      Waits.erase(Held);
    });
  }

  void answerRead(Offset From, std::size_t Max, const Reply &Send) {
    if (Outage)
      return Send(failure(Status::service_unavailable, "outage"));
    boost::json::array Batch;
    for (Offset At = std::max(From, Earliest);
         At < next() && Batch.size() < Max; ++At)
      Batch.push_back(
          {{"offset", At},
           {"data", Records[static_cast<std::size_t>(At - Earliest)].Data}});
    Send(success({{"earliest", Earliest},
                  {"next", next()},
                  {"records", std::move(Batch)}}));
  }

  /// Answers the held reads that have a record now, or all of them.
  void answerWaiting(bool All) {
    for (auto Held = Waits.begin(); Held != Waits.end();) {
      if (!All && Held->From >= next()) {
        ++Held;
        continue;
      }
      // Nothing to cancel means that the handler of the timer is already due;
      // it answers this read itself.
      if (Held->Timer->cancel() == 0) {
        ++Held;
        continue;
      }
      answerRead(Held->From, Held->Max, Held->Send);
      Held = Waits.erase(Held);
    }
  }

  void trim() {
    auto Now = Clock::now();
    auto Expired = [&](const Stored &Record) {
      return (Settings.RetentionRecords != 0 &&
              Records.size() > Settings.RetentionRecords) ||
             (Settings.Retention.count() != 0 &&
              Record.Since + Settings.Retention < Now);
    };
    while (!Records.empty() && Expired(Records.front())) {
      Records.pop_front();
      ++Earliest;
    }
  }

  /// Offset that the next append gets.
  Offset next() const { return Earliest + static_cast<Offset>(Records.size()); }

  boost::asio::io_context &Context;
  LogStandinSettings Settings;
  HttpService Service;
  std::deque<Stored> Records;
  Offset Earliest = 0; ///< Offset of the first record kept.
  std::list<HeldRead> Waits;
  Clock::time_point NextAppend{}; ///< When the rate allows the next append.
  bool Outage = false;
  std::chrono::milliseconds Slow{0};
  bool LoseNextAnswer = false;
};

} // namespace figsail

#endif // FIGSAIL_LOGSTANDIN_H
