// SocketOptions.cpp - TCP options that detect dead connections and bound
// queues.

#include "SocketOptions.h"

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace figsail {

namespace asio = boost::asio;

/// Idle seconds before the first keep-alive probe, and seconds between probes.
static constexpr int KeepAliveSeconds = 1;
/// Number of unanswered probes after which the kernel breaks the connection.
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

void setUnsentLimit([[maybe_unused]] asio::ip::tcp::socket &Socket,
                    [[maybe_unused]] std::size_t Bytes) {
#ifdef TCP_NOTSENT_LOWAT
  boost::system::error_code Ignored;
  Socket.set_option(TcpOption<TCP_NOTSENT_LOWAT>(static_cast<int>(Bytes)),
                    Ignored);
#endif
}

void setKeepAlive(asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(TcpOption<TCP_KEEPIDLE>(KeepAliveSeconds), Ignored);
  Socket.set_option(TcpOption<TCP_KEEPINTVL>(KeepAliveSeconds), Ignored);
  Socket.set_option(TcpOption<TCP_KEEPCNT>(KeepAliveProbes), Ignored);
}

bool hasNothingToRead(boost::asio::ip::tcp::socket &Socket) {
  char Byte = 0;
  ssize_t Count =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace figsail
