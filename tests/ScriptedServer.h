// ScriptedServer.h - A backend server that runs a script for each connection.

#ifndef FIGSAIL_TESTS_SCRIPTEDSERVER_H
#define FIGSAIL_TESTS_SCRIPTEDSERVER_H

#include "HttpTestSupport.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace figsail::test {

/// A backend server that runs a script for each connection, on a separate
/// thread. The script gets the number of the connection, from 0.
class ScriptedServer {
public:
  using Script = std::function<void(RawConnection &, std::size_t)>;

  /// EndClient closes the connections of the client: scripts that wait for
  /// another request end then.
  ScriptedServer(std::function<void()> EndClient, Script HandleConnection,
                 const tcp::endpoint &Address =
                     {boost::asio::ip::address_v4::loopback(), 0})
      : EndClient(std::move(EndClient)), Acceptor(Context, Address),
        HandleConnection(std::move(HandleConnection)),
        Thread([this] { serve(); }) {}
  ~ScriptedServer() {
    EndClient();
    Stopping = true;
    tcp::socket Wake(Context);
    boost::system::error_code Ignored;
    Wake.connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
    for (std::thread &Worker : Threads)
      Worker.join();
  }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  std::size_t accepted() const { return Accepted; }

private:
  void serve() {
    for (std::size_t Number = 0;; ++Number) {
      tcp::socket Socket = Acceptor.accept();
      if (Stopping)
        return;
      ++Accepted;
      Threads.emplace_back([this, Number, Moved = std::move(Socket)]() mutable {
        RawConnection Connection(std::move(Moved));
        try {
          HandleConnection(Connection, Number);
        } catch (const boost::system::system_error &) {
          // The client has closed the connection. Most scripts end like this.
        }
      });
    }
  }

  std::function<void()> EndClient;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  Script HandleConnection;
  std::atomic<bool> Stopping = false;
  std::atomic<std::size_t> Accepted = 0;
  std::vector<std::thread> Threads;
  std::thread Thread;
};

} // namespace figsail::test

#endif // FIGSAIL_TESTS_SCRIPTEDSERVER_H
