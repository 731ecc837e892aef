// OperatorClient.cpp - Calls the operator interface of daemons.

#include "OperatorClient.h"

namespace figsail {

namespace http = boost::beast::http;

static std::string requestBody(const std::string &Method,
                               const Json::Value &Parameters) {
  Json::Value Call(Json::objectValue);
  Call["jsonrpc"] = "2.0";
  Call["id"] = 1;
  Call["method"] = Method;
  if (!Parameters.empty())
    Call["params"] = Parameters;
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Call);
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
                  const std::function<void(OperatorResult)> &Done) {
  auto Exchange = std::make_shared<HttpExchange>(Context, Address);
  HttpExchange::Request Request;
  Request.method(http::verb::post);
  Request.target("/");
  Request.set(http::field::content_type, "application/json");
  Request.keep_alive(false);
  Request.body() = requestBody(Method, Parameters);
  Exchange->start(std::move(Request), Timeout, [Done](ExchangeResult Result) {
    if (!Result)
      return Done(OperatorError{"there is no response"});
    if (Result->result() != http::status::ok)
      return Done(OperatorError{"the HTTP status is " +
                                std::to_string(Result->result_int())});
    Done(parseResponse(Result->body()));
  });
}

} // namespace figsail
