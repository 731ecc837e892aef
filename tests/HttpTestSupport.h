// HttpTestSupport.h - Raw connections and an event loop thread for HTTP tests.

#ifndef FIGSAIL_HTTPTESTSUPPORT_H
#define FIGSAIL_HTTPTESTSUPPORT_H

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <future>
#include <linux/sockios.h>
#include <string>
#include <string_view>
#include <sys/ioctl.h>
#include <thread>

namespace figsail::test {

using boost::asio::ip::tcp;
namespace http = boost::beast::http;
using Response = http::response<http::string_body>;

/// A blocking connection to a loopback port. Receiving throws after 30 s
/// without data, so that a lost response ends the test.
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

  /// Sends as much as the peer accepts, and ignores errors.
  void sendIgnoringErrors(std::string_view Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Bytes.data(), Bytes.size()),
                       Ignored);
  }

  void finishSending() { Socket.shutdown(tcp::socket::shutdown_send); }

  /// Waits until the peer has acknowledged all that was sent, the end included.
  /// Closing before discards what was not, if there are unread bytes.
  void awaitAcknowledgement() {
    int Unacknowledged = 1;
    while (Unacknowledged > 0 &&
           ::ioctl(Socket.native_handle(), SIOCOUTQ, &Unacknowledged) == 0)
      std::this_thread::yield();
  }

  /// Closes the connection with a TCP reset.
  void reset() {
    Socket.set_option(boost::asio::socket_base::linger(true, 0));
    Socket.close();
  }
  void close() { Socket.close(); }

  /// Reads one response. Bodiless is true for a response to a HEAD request.
  Response response(bool Bodiless = false) {
    http::response_parser<http::string_body> Parser;
    Parser.skip(Bodiless);
    http::read(Socket, Buffer, Parser);
    return Parser.release();
  }

  /// Reads one request, when the test acts as the server.
  http::request<http::string_body> request() {
    http::request<http::string_body> Message;
    http::read(Socket, Buffer, Message);
    return Message;
  }

  /// Reads the head of one request and leaves its body unread, when the test
  /// acts as the server.
  http::request<http::string_body> requestHead() {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(boost::none);
    http::read_header(Socket, Buffer, Parser);
    return Parser.release();
  }

  /// Returns all bytes until the peer closes the connection.
  std::string untilEnd() {
    std::string Bytes = boost::beast::buffers_to_string(Buffer.data());
    Buffer.clear();
    boost::system::error_code Error;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Bytes), Error);
    if (Error != boost::asio::error::eof)
      throw boost::system::system_error(Error);
    return Bytes;
  }

  /// Waits for the next byte or the end of the connection. Returns whether the
  /// peer closed it and no byte is left.
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

/// An event loop on its own thread.
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
