// Relay.h - TCP relay that can play a slow link.

#ifndef FIGSAIL_RELAY_H
#define FIGSAIL_RELAY_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace figsail {

/// Settings of a relay.
struct RelaySettings {
  boost::asio::ip::tcp::endpoint To; ///< Where connections are relayed to.
  std::uint64_t BytesPerSecond =
      0; ///< Of all connections in one direction; 0: no limit.
  std::chrono::milliseconds Delay{0}; ///< Of each byte in each direction.
};

/// Listener that relays its connections as a link of limited bandwidth with a
/// delay would. Both directions are independent of each other, as on a
/// full-duplex link, and the connections share the bandwidth of a direction.
class Relay {
public:
  Relay(boost::asio::io_context &Context, const RelaySettings &Settings);
  /// Stops to listen and closes all connections.
  ~Relay();

  /// Starts to listen. Returns an error text, or nothing.
  std::optional<std::string>
  listen(const boost::asio::ip::tcp::endpoint &Address);
  /// Returns the bound address. To be called after listen().
  boost::asio::ip::tcp::endpoint address() const;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_RELAY_H
