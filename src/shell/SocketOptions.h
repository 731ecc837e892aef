// SocketOptions.h - Options that find connections which silently stopped
// working.

#ifndef FIGSAIL_SOCKETOPTIONS_H
#define FIGSAIL_SOCKETOPTIONS_H

#include "figsail/Types.h"

#include <boost/asio/ip/tcp.hpp>

namespace figsail {

/// Breaks the connection when written data is not acknowledged for so long.
void setTcpUserTimeout(boost::asio::ip::tcp::socket &Socket, Duration Limit);

/// Sends probes once a second while the connection is idle, and breaks it after
/// two of them without an answer.
void setKeepAlive(boost::asio::ip::tcp::socket &Socket);

} // namespace figsail

#endif // FIGSAIL_SOCKETOPTIONS_H
