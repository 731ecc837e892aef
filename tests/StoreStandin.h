// StoreStandin.h - In-memory stand-in for the platform's metadata store.

#ifndef FIGSAIL_TESTS_STORESTANDIN_H
#define FIGSAIL_TESTS_STORESTANDIN_H

#include "HttpService.h"
#include "StoreClient.h"

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace figsail::test {

/// Metadata store for tests, with keyed topics of one partition. Call it only
/// from the thread of its event loop.
class StoreStandin {
public:
  explicit StoreStandin(boost::asio::io_context &Context)
      : Context(Context),
        Server(Context, [this](const auto &Incoming, const auto &Reply) {
          handle(Incoming, Reply);
        }) {}

  void listen(const boost::asio::ip::tcp::endpoint &Endpoint) {
    Server.listen(Endpoint);
  }
  void stop() { Server.stop(); }
  /// Appends a record, as the platform's operator does.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) {
    Topics[Topic].push_back(platform::encodeKeyedRecord(Key, Value));
  }

  /// Sets the time from a call to its answer, for the next calls.
  void setAnswerTime(std::chrono::milliseconds Time) { AnswerTime = Time; }

  /// Restores the store from an older copy, which lacks the last records of
  /// each topic. Their offsets are assigned again.
  void restoreOlderCopy(std::size_t Lost) {
    for (auto &[Name, Log] : Topics)
      Log.resize(Log.size() - std::min(Lost, Log.size()));
    ++Era;
    for (auto &EndRead : std::exchange(WaitingReads, {}))
      EndRead();
  }

  /// Returns whether any record contains the text.
  bool containsRecordWith(std::string_view Text) const {
    return std::ranges::any_of(Topics, [&](const auto &Entry) {
      return std::ranges::any_of(Entry.second, [&](const std::string &Record) {
        return Record.find(Text) != std::string::npos;
      });
    });
  }

private:
  using Request = HttpService::Request;
  using Reply = HttpService::Reply;

  static std::string parameter(std::string_view Target, std::string Name) {
    Name += '=';
    std::size_t Position = Target.find(Name);
    if (Position == std::string_view::npos)
      return {};
    std::string_view Rest = Target.substr(Position + Name.size());
    return std::string(Rest.substr(0, Rest.find('&')));
  }

  static std::string base64(const std::string &Text) {
    using namespace boost::archive::iterators;
    using Encoder =
        base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    return {Encoder(Text.begin()), Encoder(Text.end())};
  }

  void sendReply(
      const Reply &Reply, std::string Body,
      boost::beast::http::status Status = boost::beast::http::status::ok) {
    auto Response = makeResponse(Status, std::move(Body), "application/json");
    Response.set("Store-Era", std::to_string(Era));
    if (AnswerTime == std::chrono::milliseconds(0))
      return Reply(std::move(Response));
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context);
    Timer->expires_after(AnswerTime);
    Timer->async_wait([Timer, Reply, Response,
                       Life = std::weak_ptr<char>(Alive)](const auto &) {
      if (!Life.expired())
        Reply(Response);
    });
  }

  void handle(const Request &Incoming, const Reply &Reply) {
    std::string Target(Incoming.target());
    std::string Topic = parameter(Target, "Topic");
    if (Target.starts_with("/v1/log-append"))
      return append(Topic, Incoming.body(), parameter(Target, "At"), Reply);
    if (!Topics.contains(Topic))
      return sendReply(Reply, "{}", boost::beast::http::status::not_found);
    if (Target.starts_with("/v1/log-newest"))
      return newest(Topic, Reply);
    std::size_t From = std::stoull(parameter(Target, "From"));
    if (From != Topics[Topic].size())
      return records(Topic, From, Reply);
    // Nothing to read: wait for WaitMs, or until the store is restored.
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context);
    WaitingReads.emplace_back([Timer] { Timer->expires_after({}); });
    Timer->expires_after(
        std::chrono::milliseconds(std::stoull(parameter(Target, "WaitMs"))));
    // The event loop may run the handler after the stand-in has gone.
    Timer->async_wait([this, Topic, From, Reply, Timer,
                       Life = std::weak_ptr<char>(Alive)](const auto &) {
      if (!Life.expired())
        records(Topic, From, Reply);
    });
  }

  void append(const std::string &Topic, const std::string &Body,
              const std::string &At, const Reply &Reply) {
    if (!At.empty() && std::stoull(At) != Topics[Topic].size())
      return sendReply(Reply, "{}",
                       boost::beast::http::status::precondition_failed);
    Topics[Topic].push_back(Body);
    std::size_t End = Topics[Topic].size();
    sendReply(Reply, R"({"Offset":)" + std::to_string(End - 1) +
                         R"(,"EndOffset":)" + std::to_string(End) + "}");
  }

  void newest(const std::string &Topic, const Reply &Reply) {
    const std::vector<std::string> &Log = Topics[Topic];
    std::map<std::string, boost::json::object> ByKey;
    for (std::size_t Position = 0; Position < Log.size(); ++Position) {
      auto KeyLength = static_cast<unsigned char>(Log[Position][4]);
      std::string Key = Log[Position].substr(5, KeyLength);
      std::string Value = Log[Position].substr(5 + KeyLength);
      ByKey.erase(Key);
      if (!Value.empty())
        ByKey[Key] = {
            {"Key", Key}, {"Value", base64(Value)}, {"Offset", Position}};
    }
    boost::json::array Items;
    for (auto &[Key, Item] : ByKey)
      Items.emplace_back(std::move(Item));
    boost::json::object Page{{"items", std::move(Items)},
                             {"HasMore", false},
                             {"EndOffset", Log.size()}};
    sendReply(Reply, boost::json::serialize(Page));
  }

  void records(const std::string &Topic, std::size_t From, const Reply &Reply) {
    const std::vector<std::string> &Log = Topics[Topic];
    if (From > Log.size())
      return sendReply(Reply, R"({"FirstOffset":0})",
                       boost::beast::http::status::gone);
    std::string Page(16, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char *>(Page.data()),
                                 Log.size());
    for (std::size_t Position = From; Position < Log.size(); ++Position)
      Page += Log[Position];
    sendReply(Reply, std::move(Page));
  }

  std::shared_ptr<char> Alive = std::make_shared<char>(); ///< Never shared.
  boost::asio::io_context &Context;
  std::map<std::string, std::vector<std::string>> Topics; ///< Encoded records.
  std::uint64_t Era = 1;
  std::chrono::milliseconds AnswerTime{0};
  std::vector<std::function<void()>> WaitingReads; ///< Functions that end them.
  HttpService Server;
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_STORESTANDIN_H
