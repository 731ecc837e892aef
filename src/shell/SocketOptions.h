// SocketOptions.h - TCP options that bound queues, and checks that detect
// unusable connections.

#ifndef FIGSAIL_SOCKETOPTIONS_H
#define FIGSAIL_SOCKETOPTIONS_H

#include "figsail/Types.h"

#include <boost/asio/ip/tcp.hpp>

namespace figsail {

/// Sets TCP_USER_TIMEOUT: the kernel breaks the connection when sent data stays
/// unacknowledged for this time.
void setTcpUserTimeout(boost::asio::ip::tcp::socket &Socket, Duration Limit);

/// Limits the bytes that the kernel accepts ahead of those that it has sent.
/// More stay with the daemon, which can still change their order. Has no effect
/// on systems without the option.
void setUnsentLimit(boost::asio::ip::tcp::socket &Socket, std::size_t Bytes);

/// Turns on TCP keep-alive: the kernel sends a probe every second while the
/// connection is idle, and breaks it after two unanswered probes.
void setKeepAlive(boost::asio::ip::tcp::socket &Socket);

/// Returns whether an idle client connection is open and has nothing to read.
/// Anything to read would be the end of the stream or a response to no request.
bool hasNothingToRead(boost::asio::ip::tcp::socket &Socket);

} // namespace figsail

#endif // FIGSAIL_SOCKETOPTIONS_H
