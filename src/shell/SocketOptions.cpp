// SocketOptions.cpp - Options that find connections which silently stopped
// working.

#include "SocketOptions.h"

#include <netinet/tcp.h>

namespace figsail {

namespace asio = boost::asio;

/// Seconds until the first keep-alive probe, and between probes.
static constexpr int KeepAliveSeconds = 1;
/// Probes without an answer after which the connection is broken.
static constexpr int KeepAliveProbes = 2;

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

void setTcpUserTimeout(asio::ip::tcp::socket &Socket, Duration Limit) {
  boost::system::error_code Ignored;
  auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Limit);
  Socket.set_option(
      TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(Milliseconds.count())),
      Ignored);
}

void setKeepAlive(asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(TcpOption<TCP_KEEPIDLE>(KeepAliveSeconds), Ignored);
  Socket.set_option(TcpOption<TCP_KEEPINTVL>(KeepAliveSeconds), Ignored);
  Socket.set_option(TcpOption<TCP_KEEPCNT>(KeepAliveProbes), Ignored);
}

} // namespace figsail
