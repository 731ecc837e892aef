// OperatorServer.h - JSON-RPC server for operators and their tools.

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

/// Components of the daemon that the interface reads. They must outlive the
/// server.
struct OperatorView {
  const Member &Self;
  const Node &DaemonNode;
  const PeerTransport &Peers;
  const Metrics &DaemonMetrics;
  const Timeline &DaemonTimeline;
};

/// Server for JSON-RPC 2.0, sent as HTTP POST to "/". Its methods are
/// read-only:
///   status, counters, latencies, members,
///   configuration                applied log offset; nodes with their versions
///   verdict {change_id}          known, accepted; reason of a rejection
///   timeline {since}             entries with a Lamport counter above since
class OperatorServer {
public:
  OperatorServer(boost::asio::io_context &Context, OperatorView View);
  ~OperatorServer();

  /// Listens on "ip:port". Returns an error text if that fails.
  std::optional<std::string> listen(const std::string &Address);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace figsail

#endif // FIGSAIL_OPERATORSERVER_H
