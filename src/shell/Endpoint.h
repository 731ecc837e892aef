// Endpoint.h - Conversion between TCP endpoints and their text form.

#ifndef FIGSAIL_ENDPOINT_H
#define FIGSAIL_ENDPOINT_H

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace figsail {

/// Parses "ip:port" or "[ip]:port". Host names are not resolved. Returns
/// nothing when the text has neither form.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Text);

/// Returns whether the text is the endpoint of one host that a client can
/// connect to: port 0, "any address" and multicast addresses are not.
bool isConnectable(std::string_view Text);

/// Formats the endpoint in the form that parseEndpoint() reads.
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace figsail

#endif // FIGSAIL_ENDPOINT_H
