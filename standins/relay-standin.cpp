// relay-standin.cpp - Plain TCP relay, the baseline for latency measurements.

#include "../src/shell/Endpoint.h"
#include "StandinProgram.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <memory>

using namespace figsail;
namespace asio = boost::asio;
namespace po = boost::program_options;
using boost::system::error_code;
using tcp = asio::ip::tcp;

static constexpr std::size_t BufferBytes = std::size_t{64} * 1024;

namespace {

/// Copies bytes in both directions between two connections. The end of one
/// direction shuts it down at the other side; an error closes both connections.
class Relay : public std::enable_shared_from_this<Relay> {
public:
  Relay(tcp::socket Accepted, asio::io_context &Context)
      : Client(std::move(Accepted)), Server(Context) {}

  void start(const tcp::endpoint &To) {
    Server.async_connect(
        To, [Self = shared_from_this()](const error_code &Error) {
          if (Error)
            return Self->close();
          Self->disableNagle();
          Self->copy(Self->Client, Self->Server, Self->Requests);
          Self->copy(Self->Server, Self->Client, Self->Responses);
        });
  }

private:
  using Buffer = std::array<char, BufferBytes>;

  /// Disables Nagle's algorithm, as the daemons do.
  void disableNagle() {
    error_code Ignored;
    Client.set_option(tcp::no_delay(true), Ignored);
    Server.set_option(tcp::no_delay(true), Ignored);
  }

  void copy(tcp::socket &From, tcp::socket &To, Buffer &Bytes) {
    From.async_read_some(asio::buffer(Bytes),
                         [this, Self = shared_from_this(), &From, &To,
                          &Bytes](const error_code &Error, std::size_t Count) {
                           if (Error == asio::error::eof)
                             return shutdownSend(To);
                           if (Error)
                             return close();
                           write(From, To, Bytes, Count);
                         });
  }

  void write(tcp::socket &From, tcp::socket &To, Buffer &Bytes,
             std::size_t Count) {
    asio::async_write(To, asio::buffer(Bytes, Count),
                      [this, Self = shared_from_this(), &From, &To,
                       &Bytes](const error_code &Error, std::size_t) {
                        if (Error)
                          return close();
                        copy(From, To, Bytes);
                      });
  }

  static void shutdownSend(tcp::socket &To) {
    error_code Ignored;
    To.shutdown(tcp::socket::shutdown_send, Ignored);
  }

  void close() {
    error_code Ignored;
    Client.close(Ignored);
    Server.close(Ignored);
  }

  tcp::socket Client;
  tcp::socket Server;
  Buffer Requests{};
  Buffer Responses{};
};

} // namespace

static void acceptNext(tcp::acceptor &Acceptor, asio::io_context &Context,
                       const tcp::endpoint &To) {
  Acceptor.async_accept(
      [&Acceptor, &Context, To](const error_code &Error, tcp::socket Accepted) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error)
          std::make_shared<Relay>(std::move(Accepted), Context)->start(To);
        acceptNext(Acceptor, Context, To);
      });
}

/// Relays until SIGTERM or SIGINT.
static void serve(const tcp::endpoint &Listen, const tcp::endpoint &To) {
  asio::io_context Context(1);
  tcp::acceptor Acceptor(Context, Listen);
  std::cout << "listening on " << formatEndpoint(Acceptor.local_endpoint())
            << std::endl;
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&Context](const error_code &, int) { Context.stop(); });
  acceptNext(Acceptor, Context, To);
  Context.run();
}

int main(int Argc, char **Argv) {
  std::string Listen;
  std::string To;
  po::options_description Options("relay-standin: plain TCP relay");
  // clang-format off
  Options.add_options()
    ("help", "print this text")
    ("listen", po::value(&Listen)->default_value("127.0.0.1:0"), "address ip:port; port 0: a free port")
    ("to", po::value(&To)->required(), "address ip:port to relay to");
  // clang-format on
  return runStandin("relay-standin", Argc, Argv, Options,
                    [&](const po::variables_map &) {
                      auto From = parseEndpoint(Listen);
                      auto Target = parseEndpoint(To);
                      if (!From || !Target)
                        throw po::error("--listen and --to need ip:port");
                      serve(*From, *Target);
                      return 0;
                    });
}
