// HttpTestSupport.h - Raw connections and a loop thread for tests of the HTTP
// shell.

#ifndef FIGSAIL_HTTPTESTSUPPORT_H
#define FIGSAIL_HTTPTESTSUPPORT_H

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <future>
#include <string>
#include <string_view>
#include <thread>

namespace figsail::test {

using boost::asio::ip::tcp;
namespace http = boost::beast::http;
using Response = http::response<http::string_body>;

/// A blocking connection to a port on loopback. Receiving fails by an exception
/// after a long silence, so that a lost response ends the test.
class RawConnection {
public:
  explicit RawConnection(tcp::socket Socket) : Socket(std::move(Socket)) {
    timeval ReceiveTimeout{30, 0};
    ::setsockopt(this->Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO,
                 &ReceiveTimeout, sizeof(ReceiveTimeout));
  }
  explicit RawConnection(std::uint16_t Port) : RawConnection(connect(Port)) {}

  void send(std::string_view Bytes) {
    boost::asio::write(Socket, boost::asio::buffer(Bytes.data(), Bytes.size()));
  }

  /// Sends as much as the peer takes; an error is no fault.
  void sendIgnoringErrors(std::string_view Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Bytes.data(), Bytes.size()),
                       Ignored);
  }

  void finishSending() { Socket.shutdown(tcp::socket::shutdown_send); }

  /// Closes so that the peer sees a reset.
  void reset() {
    Socket.set_option(boost::asio::socket_base::linger(true, 0));
    Socket.close();
  }
  void close() { Socket.close(); }

  /// Reads one response. Bodiless: it answers a HEAD request.
  Response response(bool Bodiless = false) {
    http::response_parser<http::string_body> Parser;
    Parser.skip(Bodiless);
    http::read(Socket, Buffer, Parser);
    return Parser.release();
  }

  /// Reads one request, as a server.
  http::request<http::string_body> request() {
    http::request<http::string_body> Message;
    http::read(Socket, Buffer, Message);
    return Message;
  }

  /// Returns whether the peer has ended the connection and no byte is left.
  bool isClosedByPeer() {
    if (Buffer.size() > 0)
      return false;
    char Byte = 0;
    boost::system::error_code Error;
    std::size_t Count = Socket.read_some(boost::asio::buffer(&Byte, 1), Error);
    return Count == 0 && Error != boost::asio::error::would_block &&
           Error != boost::asio::error::try_again;
  }

private:
  static tcp::socket connect(std::uint16_t Port) {
    static boost::asio::io_context Context;
    tcp::socket Socket(Context);
    Socket.connect({boost::asio::ip::address_v4::loopback(), Port});
    return Socket;
  }

  tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
};

/// Runs an event loop on a thread of its own.
class LoopThread {
public:
  LoopThread()
      : Work(boost::asio::make_work_guard(Context)),
        Thread([this] { Context.run(); }) {}
  ~LoopThread() {
    Context.stop();
    Thread.join();
  }
  LoopThread(const LoopThread &) = delete;
  LoopThread &operator=(const LoopThread &) = delete;

  /// Calls a function on the loop and returns its result.
  template <class Function> auto on(Function Call) {
    std::packaged_task<decltype(Call())()> Task(std::move(Call));
    auto Result = Task.get_future();
    boost::asio::post(Context, [&Task] { Task(); });
    return Result.get();
  }

  boost::asio::io_context Context{1};

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::thread Thread;
};

} // namespace figsail::test

#endif // FIGSAIL_HTTPTESTSUPPORT_H
