// OperatorClient.h - Calls the operator interface of daemons, for tools.

#ifndef FIGSAIL_OPERATORCLIENT_H
#define FIGSAIL_OPERATORCLIENT_H

#include "figsail/Types.h"

#include <boost/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace figsail {

/// The result of a call, or an error text.
using OperatorResult = std::variant<boost::json::object, std::string>;

/// Calls a method without parameters at each address by JSON-RPC 2.0, several
/// at a time. Results are in the order of the addresses.
std::vector<OperatorResult>
callOperators(const std::vector<std::string> &Addresses,
              const std::string &Method, Duration Timeout);

} // namespace figsail

#endif // FIGSAIL_OPERATORCLIENT_H
