// relay-standin.cpp - TCP relay: the baseline for latency measurements, or a
// slow link.

#include "../src/shell/Endpoint.h"
#include "Relay.h"
#include "StandinProgram.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <limits>

using namespace figsail;
namespace asio = boost::asio;
namespace po = boost::program_options;
using tcp = asio::ip::tcp;

/// Relays until SIGTERM or SIGINT.
static void serve(const tcp::endpoint &Listen, const RelaySettings &Settings) {
  asio::io_context Context(1);
  Relay Server(Context, Settings);
  if (auto Error = Server.listen(Listen))
    throw po::error(*Error);
  std::cout << "listening on " << formatEndpoint(Server.address()) << std::endl;
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait(
      [&Context](const boost::system::error_code &, int) { Context.stop(); });
  Context.run();
}

/// Checks the number of an option. The parser of unsigned options would take -1
/// for the largest number.
static std::uint32_t wholeOption(const std::string &Name, std::int64_t Value) {
  if (Value < 0 || Value > std::numeric_limits<std::uint32_t>::max())
    throw po::error(Name + " must be from 0 to 4294967295");
  return static_cast<std::uint32_t>(Value);
}

int main(int Argc, char **Argv) {
  std::string Listen;
  std::string To;
  std::int64_t BytesPerSecond = 0;
  std::int64_t DelayMs = 0;
  po::options_description Options("relay-standin: TCP relay");
  // clang-format off
  Options.add_options()
    ("help", "print this text")
    ("listen", po::value(&Listen)->default_value("127.0.0.1:0"), "address ip:port; port 0: a free port")
    ("to", po::value(&To)->required(), "address ip:port to relay to")
    ("bytes-per-second", po::value(&BytesPerSecond)->default_value(0), "limit of each direction, shared by all connections; 0: none")
    ("delay-ms", po::value(&DelayMs)->default_value(0), "delay of each byte in each direction, in milliseconds");
  // clang-format on
  return runStandin(
      "relay-standin", Argc, Argv, Options, [&](const po::variables_map &) {
        auto From = parseEndpoint(Listen);
        auto Target = parseEndpoint(To);
        if (!From || !Target)
          throw po::error("--listen and --to need ip:port");
        RelaySettings Settings;
        Settings.To = *Target;
        Settings.BytesPerSecond =
            wholeOption("--bytes-per-second", BytesPerSecond);
        Settings.Delay =
            std::chrono::milliseconds(wholeOption("--delay-ms", DelayMs));
        serve(*From, Settings);
        return 0;
      });
}
