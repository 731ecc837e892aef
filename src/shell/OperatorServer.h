// OperatorServer.h - JSON-RPC interface for operators and their tools.

#ifndef FIGSAIL_OPERATORSERVER_H
#define FIGSAIL_OPERATORSERVER_H

#include "Metrics.h"
#include "PeerTransport.h"
#include "Timeline.h"
#include "figsail/Node.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

namespace figsail {

/// What the interface shows. All must outlive the server.
struct OperatorView {
  const Member &Self;
  const Node &DaemonNode;
  const PeerTransport &Peers;
  const Metrics &DaemonMetrics;
  const Timeline &DaemonTimeline;
};

/// JSON-RPC 2.0 by POST / over HTTP. Methods, all without effect:
///   status, counters, latencies, members,
///   configuration                offset, and nodes with their versions
///   verdict {change_id}          known, accepted; why a change was rejected
///   timeline {since}             entries with a higher Lamport counter
class OperatorServer {
public:
  OperatorServer(boost::asio::io_context &Context, OperatorView View);
  ~OperatorServer();

  /// Starts to listen on "ip:port". Returns an error text, or nothing.
  std::optional<std::string> listen(const std::string &Address);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_OPERATORSERVER_H
