// OperatorClient.cpp - Calls the operator interface of daemons, for tools.
//
// The client classes of libjsonrpccpp 0.7 have dynamic exception
// specifications, which C++20 does not allow; requests are built here instead.

#include "OperatorClient.h"

#include "HttpExchange.h"

#include <algorithm>

namespace figsail {

namespace http = boost::beast::http;
namespace json = boost::json;

/// Calls under way at the same time.
static constexpr std::size_t MaxConcurrentCalls = 64;

static OperatorResult parseResponse(const ExchangeResult &Response) {
  if (!Response)
    return "no response";
  json::error_code Code;
  json::value Body = json::parse(Response->body(), Code);
  const json::object *Root = Code ? nullptr : Body.if_object();
  if (!Root)
    return "HTTP status " + std::to_string(Response->result_int()) +
           " without a JSON-RPC response";
  if (const json::value *Result = Root->if_contains("result"))
    if (const json::object *Fields = Result->if_object())
      return *Fields;
  if (const json::value *Error = Root->if_contains("error"))
    return "error " + json::serialize(*Error);
  return "malformed JSON-RPC response";
}

namespace {

/// Calls one after the other, up to MaxConcurrentCalls at a time.
class CallBatch {
public:
  CallBatch(const std::vector<std::string> &Addresses,
            const std::string &Method, Duration Timeout)
      : Addresses(Addresses), Timeout(Timeout), Results(Addresses.size()) {
    Body = json::serialize(json::object{{"jsonrpc", "2.0"},
                                        {"id", 1},
                                        {"method", Method},
                                        {"params", json::object()}});
  }

  std::vector<OperatorResult> run() {
    for (std::size_t I = 0; I < MaxConcurrentCalls; ++I)
      startNext();
    Context.run();
    return std::move(Results);
  }

private:
  void startNext() {
    if (Next == Addresses.size())
      return;
    std::size_t Index = Next++;
    HttpExchange::Request Request;
    Request.method(http::verb::post);
    Request.target("/");
    Request.set(http::field::content_type, "application/json");
    Request.body() = Body;
    auto Exchange = std::make_shared<HttpExchange>(Context, Addresses[Index]);
    Exchange->start(std::move(Request), Timeout,
                    [this, Index, Exchange](const ExchangeResult &Response) {
                      Results[Index] = parseResponse(Response);
                      Exchange->close();
                      startNext();
                    });
  }

  const std::vector<std::string> &Addresses;
  Duration Timeout;
  std::string Body;
  std::vector<OperatorResult> Results;
  std::size_t Next = 0;
  boost::asio::io_context Context;
};

} // namespace

std::vector<OperatorResult>
callOperators(const std::vector<std::string> &Addresses,
              const std::string &Method, Duration Timeout) {
  return CallBatch(Addresses, Method, Timeout).run();
}

} // namespace figsail
