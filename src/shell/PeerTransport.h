// PeerTransport.h - Links between daemons.

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

/// Receives what peers send.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  virtual void peerReceived(PeerReceived Message) = 0;
  virtual void peerConnected(PeerConnected Peer) = 0;
  virtual void peerLost(PeerLost Lost) = 0;
};

/// Logical clock carried by every frame; orders the time line over all daemons.
class LamportClock {
public:
  /// Counts a local event and returns its number.
  std::uint64_t tick() { return ++Value; }
  /// Takes over the number of a received frame, if it is higher.
  void observe(std::uint64_t Other) { Value = Other > Value ? Other : Value; }

private:
  std::uint64_t Value = 0;
};

/// Settings of the links.
struct PeerSettings {
  std::string Region{}; ///< Of this daemon. Links to another region are
                        ///< compressed.
  std::size_t MaxFrameBytes =
      std::size_t(16) * 1024 * 1024; ///< Bytes; larger frames break the link.
  std::size_t MaxQueuedBytes =
      std::size_t(32) * 1024 *
      1024; ///< Calls waiting on one link; beyond it the link breaks.
  Duration ConnectTimeout{std::chrono::seconds(1)};
  Duration IdleTimeout{std::chrono::seconds(30)}; ///< An unused link is closed.
  /// Written data that the peer's host does not acknowledge for so long is
  /// given up with the link. Otherwise the kernel would deliver an Execute
  /// after a cut of many minutes, when its grant may be forgotten.
  Duration UnacknowledgedLimit{std::chrono::seconds(15)};
};

/// What messages of one type have cost on links to other regions.
struct CrossRegionTraffic {
  std::string_view MessageType; ///< Name of the type.
  std::uint64_t Count = 0;
  std::uint64_t RawBytes = 0;  ///< Before compression.
  std::uint64_t SentBytes = 0; ///< As sent, without TCP/IP headers.
};

/// All peer links of one daemon: at most one outgoing link for each host, plus
/// accepted ones. A reply uses the link on which the peer was heard last.
/// Control messages are sent ahead of queued calls.
class PeerTransport {
public:
  PeerTransport(boost::asio::io_context &Context, PeerHandler &Handler,
                PeerRef Self, LamportClock &Clock, PeerSettings Settings);
  ~PeerTransport();

  /// Starts to listen on "ip:port". Returns an error text, or nothing.
  std::optional<std::string> listen(const std::string &Address);
  /// Sends a message, over a new link when there is none. A message to the own
  /// host is delivered through the event loop.
  void send(const HostId &Host, PeerMessage Message);
  /// Closes all links, and drops messages to the own host that are not
  /// delivered yet.
  void resetAll();
  /// Closes all links to a host. The next send() opens a new one.
  /// Messages that were not sent yet are reported by peerLost().
  void reset(const HostId &Host);
  /// Stops to accept, and announces an orderly close on every link that has
  /// nothing left to send.
  void close();
  /// Returns the bytes sent and received on links, without TCP/IP headers.
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;
  /// Returns the bytes sent to other regions, by message type.
  std::vector<CrossRegionTraffic> crossRegionTraffic() const;
  std::size_t linkCount() const;

private:
  struct Implementation;
  std::shared_ptr<Implementation> Impl;
};

} // namespace figsail

#endif // FIGSAIL_PEERTRANSPORT_H
