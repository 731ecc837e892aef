// OperatorClient.cpp - Client of the operator interface of daemons.

#include "OperatorClient.h"

namespace figsail {

namespace http = boost::beast::http;

static constexpr std::size_t MaxConcurrentCalls = 64;

static std::string requestBody(const std::string &Method,
                               const Json::Value &Parameters) {
  Json::Value Request(Json::objectValue);
  Request["jsonrpc"] = "2.0";
  Request["id"] = 1;
  Request["method"] = Method;
  if (!Parameters.empty())
    Request["params"] = Parameters;
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Request);
}

static OperatorResult parseResponse(const std::string &Body) {
  Json::Value Root;
  Json::CharReaderBuilder Builder;
  std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  std::string Error;
  if (!Reader->parse(Body.data(), Body.data() + Body.size(), &Root, &Error) ||
      !Root.isObject())
    return OperatorError{"the response is not JSON-RPC"};
  if (Root["error"].isObject())
    return OperatorError{Root["error"]["message"].asString()};
  return Root["result"];
}

void callOperator(boost::asio::io_context &Context, const std::string &Address,
                  const std::string &Method, const Json::Value &Parameters,
                  Duration Timeout,
                  const std::function<void(OperatorResult)> &OnResult) {
  auto Exchange = std::make_shared<HttpExchange>(Context, Address);
  HttpExchange::Request Request;
  Request.method(http::verb::post);
  Request.target("/");
  Request.set(http::field::content_type, "application/json");
  Request.keep_alive(false);
  Request.body() = requestBody(Method, Parameters);
  Exchange->start(
      std::move(Request), Timeout, [OnResult](ExchangeResult Result) {
        if (!Result)
          return OnResult(OperatorError{"no response"});
        if (Result->result() != http::status::ok)
          return OnResult(OperatorError{"expected HTTP status 200, received " +
                                        std::to_string(Result->result_int())});
        OnResult(parseResponse(Result->body()));
      });
}

namespace {

/// Batch of calls of one method. Each call that ends starts the next one, so
/// that at most MaxConcurrentCalls are in flight.
class CallBatch {
public:
  CallBatch(const std::vector<std::string> &Addresses,
            const std::string &Method, Duration Timeout)
      : Addresses(Addresses), Method(Method), Timeout(Timeout),
        Results(Addresses.size()) {}

  std::vector<OperatorResult> run() {
    for (std::size_t I = 0; I < MaxConcurrentCalls; ++I)
      startNext();
    Context.run();
    return std::move(Results);
  }

private:
  void startNext() {
    if (NextIndex == Addresses.size())
      return;
    std::size_t Index = NextIndex++;
    callOperator(Context, Addresses[Index], Method, Json::objectValue, Timeout,
                 [this, Index](OperatorResult Result) {
                   Results[Index] = std::move(Result);
                   startNext();
                 });
  }

  const std::vector<std::string> &Addresses;
  const std::string &Method;
  Duration Timeout;
  std::vector<OperatorResult> Results;
  std::size_t NextIndex = 0;
  boost::asio::io_context Context;
};

} // namespace

std::vector<OperatorResult>
callOperators(const std::vector<std::string> &Addresses,
              const std::string &Method, Duration Timeout) {
  return CallBatch(Addresses, Method, Timeout).run();
}

} // namespace figsail
