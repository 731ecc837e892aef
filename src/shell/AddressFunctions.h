// AddressFunctions.h - Addresses of the form "ip:port".

#ifndef FIGSAIL_ADDRESSFUNCTIONS_H
#define FIGSAIL_ADDRESSFUNCTIONS_H

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace figsail {

/// Parses "127.0.0.1:80" or "[::1]:80". Returns nothing for other text; names
/// are not resolved.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Address);

} // namespace figsail

#endif // FIGSAIL_ADDRESSFUNCTIONS_H
