// Endpoint.cpp - Conversion between TCP endpoints and their text form.

#include "Endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace figsail {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parseEndpoint(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  std::string_view Port = Text.substr(Colon + 1);
  bool Bracketed = Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Error;
  auto Address = boost::asio::ip::make_address(std::string(Host), Error);
  if (Error || Address.is_v6() != Bracketed)
    return std::nullopt;
  std::uint16_t Number = 0;
  auto [End, Code] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Number);
  if (Code != std::errc() || End != Port.data() + Port.size())
    return std::nullopt;
  return tcp::endpoint(Address, Number);
}

bool isConnectable(std::string_view Text) {
  auto Endpoint = parseEndpoint(Text);
  return Endpoint && Endpoint->port() != 0 &&
         !Endpoint->address().is_unspecified() &&
         !Endpoint->address().is_multicast();
}

std::string formatEndpoint(const tcp::endpoint &Endpoint) {
  std::string Address = Endpoint.address().to_string();
  if (Endpoint.address().is_v6())
    Address = '[' + Address + ']';
  return Address + ':' + std::to_string(Endpoint.port());
}

} // namespace figsail
