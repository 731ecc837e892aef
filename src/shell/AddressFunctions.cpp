// AddressFunctions.cpp - Addresses of the form "ip:port".

#include "AddressFunctions.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace figsail {

namespace ip = boost::asio::ip;

static std::string_view withoutBrackets(std::string_view Host) {
  if (Host.size() < 2 || Host.front() != '[' || Host.back() != ']')
    return Host;
  return Host.substr(1, Host.size() - 2);
}

std::optional<ip::tcp::endpoint> parseEndpoint(std::string_view Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Digits = Address.substr(Colon + 1);
  std::uint16_t Port = 0;
  const char *End = Digits.data() + Digits.size();
  auto [Stop, Fault] = std::from_chars(Digits.data(), End, Port);
  if (Fault != std::errc() || Stop != End)
    return std::nullopt;
  boost::system::error_code Error;
  std::string Host(withoutBrackets(Address.substr(0, Colon)));
  ip::address Parsed = ip::make_address(Host, Error);
  if (Error)
    return std::nullopt;
  return ip::tcp::endpoint(Parsed, Port);
}

} // namespace figsail
