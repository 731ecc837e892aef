// PeerTransport.h - Transport of peer messages between daemons over TCP links.

#ifndef FIGSAIL_PEERTRANSPORT_H
#define FIGSAIL_PEERTRANSPORT_H

#include "figsail/Events.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figsail {

/// Receiver of messages from peers and of notifications about their links.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  /// A message has arrived.
  virtual void peerReceived(PeerReceived Message) = 0;
  /// Bytes of a large message that is not complete yet have arrived. Called at
  /// most once in 50 ms for each host.
  virtual void peerReceiving(const PeerReceiving &) {}
  /// A link to the peer is open.
  virtual void peerConnected(PeerConnected Peer) = 0;
  /// A link has failed, or was reset with messages unsent.
  virtual void peerLost(PeerLost Lost) = 0;
};

/// Lamport clock of a daemon. Every frame carries its value. It orders the
/// timeline over all daemons.
class LamportClock {
public:
  /// Advances the clock for a local event and returns the new value.
  std::uint64_t tick() { return ++Value; }
  /// Advances the clock to the value of a received frame, if that is higher.
  void observe(std::uint64_t Other) { Value = Other > Value ? Other : Value; }

private:
  std::uint64_t Value = 0;
};

/// Settings of all peer links of a daemon.
struct PeerSettings {
  std::string Region{}; ///< Region of this daemon. Links to another region
                        ///< are compressed.
  double LinkBytes = 0; ///< Rate of this host's link in bytes a second. 0: the
                        ///< pieces of answers are not paced.
  std::size_t MaxFrameBytes =
      std::size_t(16) * 1024 * 1024; ///< Payload limit; a longer frame received
                                     ///< breaks the link.
  std::size_t MaxQueuedBytes =
      std::size_t(32) * 1024 *
      1024; ///< Limit for each link; an overflow breaks the link.
  Duration ConnectTimeout{
      std::chrono::seconds(1)}; ///< Until the peer's Hello arrives.
  Duration IdleTimeout{std::chrono::seconds(30)}; ///< Unused links are closed.
  /// The link breaks when the peer's host has not acknowledged sent data for
  /// this time. Otherwise the kernel would still deliver an Execute after a
  /// network partition of many minutes, when its grant may have expired.
  Duration UnacknowledgedLimit{std::chrono::seconds(15)};
};

/// Traffic counters of one message type, over all links to other regions.
struct CrossRegionTraffic {
  std::string_view MessageType; ///< For example "Execute".
  std::uint64_t Count = 0;
  std::uint64_t RawBytes = 0;  ///< Before compression.
  std::uint64_t SentBytes = 0; ///< After compression, without TCP/IP headers.
};

/// All peer links of one daemon: the links that it opened and those that it
/// accepted. It opens one only when no link to the host is open or being
/// opened. A message goes over the link on which the host's last message
/// arrived, if that is still open. Control messages are sent ahead of queued
/// calls.
class PeerTransport {
public:
  PeerTransport(boost::asio::io_context &Context, PeerHandler &Handler,
                PeerRef Self, LamportClock &Clock, PeerSettings Settings);
  ~PeerTransport();

  /// Starts to listen on "ip:port". Returns an error message, or nothing on
  /// success.
  std::optional<std::string> listen(const std::string &Address);
  /// Sends a message. Opens a link when there is none to the host. A message to
  /// this daemon's own host is delivered through the event loop.
  void send(const HostId &Host, PeerMessage Message);
  /// Closes all links as reset() does, and drops messages to this daemon's own
  /// host that are not delivered yet.
  void resetAll();
  /// Closes all links to a host at once. The next send() opens a new one.
  /// PeerHandler::peerLost() reports the unsent messages, if there are any.
  void reset(const HostId &Host);
  /// Stops accepting links, and announces an orderly close on every open link
  /// that has nothing left to send.
  void close();
  /// Return the bytes sent and received on all links, without TCP/IP headers.
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;
  /// Returns the traffic to other regions for each message type that was sent.
  std::vector<CrossRegionTraffic> crossRegionTraffic() const;
  /// Returns the number of links that are not closed.
  std::size_t linkCount() const;

private:
  struct Implementation;
  std::shared_ptr<Implementation> Impl;
};

} // namespace figsail

#endif // FIGSAIL_PEERTRANSPORT_H
