// OperatorClient.h - Calls the operator interface of daemons.

#ifndef FIGSAIL_OPERATORCLIENT_H
#define FIGSAIL_OPERATORCLIENT_H

#include "HttpExchange.h"

#include <functional>
#include <jsonrpccpp/common/jsonparser.h>
#include <string>
#include <variant>
#include <vector>

namespace figsail {

/// Why a call has no result.
struct OperatorError {
  std::string Text;
};
using OperatorResult = std::variant<Json::Value, OperatorError>;

/// Starts a JSON-RPC call of the operator interface at "ip:port". Done is
/// called once from the event loop. The client classes of libjsonrpccpp cannot
/// be used: their headers have dynamic exception specifications, which C++17
/// removed.
void callOperator(boost::asio::io_context &Context, const std::string &Address,
                  const std::string &Method, const Json::Value &Parameters,
                  Duration Timeout,
                  const std::function<void(OperatorResult)> &OnResult);

/// Calls a method without parameters at each address, several at a time, and
/// waits for all. Results are in the order of the addresses.
std::vector<OperatorResult>
callOperators(const std::vector<std::string> &Addresses,
              const std::string &Method, Duration Timeout);

} // namespace figsail

#endif // FIGSAIL_OPERATORCLIENT_H
