// OperatorClient.h - Client of the operator interface of daemons.

#ifndef FIGSAIL_OPERATORCLIENT_H
#define FIGSAIL_OPERATORCLIENT_H

#include "HttpExchange.h"

#include <functional>
#include <jsonrpccpp/common/jsonparser.h>
#include <string>
#include <variant>
#include <vector>

namespace figsail {

/// Reason why a call has no result.
struct OperatorError {
  std::string Text;
};
using OperatorResult = std::variant<Json::Value, OperatorError>;

/// Starts a JSON-RPC call to the operator interface at "ip:port". The event
/// loop calls OnResult once. The client classes of libjsonrpccpp cannot be
/// used: their headers have dynamic exception specifications, which C++17
/// removed.
void callOperator(boost::asio::io_context &Context, const std::string &Address,
                  const std::string &Method, const Json::Value &Parameters,
                  Duration Timeout,
                  const std::function<void(OperatorResult)> &OnResult);

/// Calls a method without parameters at all addresses, with a limited number of
/// calls in flight, and waits for the results. They are in the order of the
/// addresses.
std::vector<OperatorResult>
callOperators(const std::vector<std::string> &Addresses,
              const std::string &Method, Duration Timeout);

} // namespace figsail

#endif // FIGSAIL_OPERATORCLIENT_H
