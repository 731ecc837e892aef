// OperatorServer.cpp - JSON-RPC server for operators and their tools.

#include "OperatorServer.h"

#include "Endpoint.h"
#include "HttpService.h"
#include "OperatorJson.h"

#include <jsonrpccpp/server.h>

namespace figsail {

namespace http = boost::beast::http;
using jsonrpc::Procedure;

namespace {

/// Connector between libjsonrpccpp and an HttpService. It handles requests on
/// the daemon's event loop, without threads of the library.
class HttpConnector : public jsonrpc::AbstractServerConnector {
public:
  HttpConnector(boost::asio::io_context &Context, std::string Address)
      : Address(std::move(Address)),
        Service(Context, [this](const HttpService::Request &Request,
                                const HttpService::Reply &Send) {
          handleRequest(Request, Send);
        }) {}

  bool StartListening() override {
    auto Endpoint = parseEndpoint(Address);
    if (!Endpoint)
      return false;
    try {
      Service.listen(*Endpoint);
      return true;
    } catch (const boost::system::system_error &) {
      return false;
    }
  }

  bool StopListening() override {
    Service.stop();
    return true;
  }

  // NOLINTNEXTLINE(google-default-arguments): signature of the base class.
  bool SendResponse(const std::string &Body, void *Send) override {
    auto Response = makeResponse(http::status::ok, Body, "application/json");
    (*static_cast<const HttpService::Reply *>(Send))(std::move(Response));
    return true;
  }

private:
  void handleRequest(const HttpService::Request &Request,
                     const HttpService::Reply &Send) {
    if (Request.method() != http::verb::post)
      return Send(makeResponse(http::status::method_not_allowed,
                               "Only POST is supported.\n", "text/plain"));
    HttpService::Reply Reply = Send;
    try {
      OnRequest(Request.body(), &Reply);
    } catch (const Json::Exception &) {
      // The parser throws for JSON that is nested too deeply.
      Send(makeResponse(http::status::bad_request, "The JSON is malformed.\n",
                        "text/plain"));
    }
  }

  std::string Address;
  HttpService Service;
};

/// Methods of the operator interface.
class OperatorMethods : public jsonrpc::AbstractServer<OperatorMethods> {
public:
  OperatorMethods(jsonrpc::AbstractServerConnector &Connector,
                  OperatorView View);

  void status(const Json::Value &, Json::Value &Result) {
    Result = statusJson(View);
  }
  void counters(const Json::Value &, Json::Value &Result) {
    Result = countersJson(View.DaemonMetrics);
  }
  void latencies(const Json::Value &, Json::Value &Result) {
    Result = latenciesJson(View.DaemonMetrics);
  }
  void members(const Json::Value &, Json::Value &Result) {
    Result = membersJson(View.DaemonNode.replicated());
  }
  void configuration(const Json::Value &, Json::Value &Result) {
    Result = configurationJson(View.DaemonNode.replicated());
  }
  void verdict(const Json::Value &Arguments, Json::Value &Result) {
    Result = verdictJson(View.DaemonNode.replicated(),
                         Arguments["change_id"].asString());
  }
  void timeline(const Json::Value &Arguments, Json::Value &Result) {
    const Json::Value &Since = Arguments["since"];
    Result = timelineJson(View, Since.isUInt64() ? Since.asUInt64() : 0);
  }

private:
  OperatorView View;
};

} // namespace

OperatorMethods::OperatorMethods(jsonrpc::AbstractServerConnector &Connector,
                                 OperatorView View)
    : AbstractServer(Connector), View(View) {
  using M = OperatorMethods;
  auto Add = [this](const char *Name, jsonrpc::jsontype_t Result,
                    methodPointer_t Method) {
    bindAndAddMethod(Procedure(Name, jsonrpc::PARAMS_BY_NAME, Result, nullptr),
                     Method);
  };
  Add("status", jsonrpc::JSON_OBJECT, &M::status);
  Add("counters", jsonrpc::JSON_OBJECT, &M::counters);
  Add("latencies", jsonrpc::JSON_OBJECT, &M::latencies);
  Add("members", jsonrpc::JSON_ARRAY, &M::members);
  Add("configuration", jsonrpc::JSON_OBJECT, &M::configuration);
  bindAndAddMethod(Procedure("verdict", jsonrpc::PARAMS_BY_NAME,
                             jsonrpc::JSON_OBJECT, "change_id",
                             jsonrpc::JSON_STRING, nullptr),
                   &M::verdict);
  bindAndAddMethod(Procedure("timeline", jsonrpc::PARAMS_BY_NAME,
                             jsonrpc::JSON_OBJECT, "since",
                             jsonrpc::JSON_INTEGER, nullptr),
                   &M::timeline);
}

struct OperatorServer::State {
  State(boost::asio::io_context &Context, OperatorView View)
      : Context(Context), View(View) {}

  boost::asio::io_context &Context;
  OperatorView View;
  std::unique_ptr<HttpConnector> Connector;
  std::unique_ptr<OperatorMethods> Methods;
};

OperatorServer::OperatorServer(boost::asio::io_context &Context,
                               OperatorView View)
    : Impl(std::make_unique<State>(Context, View)) {}

OperatorServer::~OperatorServer() = default;

std::optional<std::string> OperatorServer::listen(const std::string &Address) {
  Impl->Connector = std::make_unique<HttpConnector>(Impl->Context, Address);
  Impl->Methods =
      std::make_unique<OperatorMethods>(*Impl->Connector, Impl->View);
  if (!Impl->Methods->StartListening())
    return "cannot listen on " + Address;
  return std::nullopt;
}

} // namespace figsail
