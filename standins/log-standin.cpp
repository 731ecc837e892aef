// log-standin.cpp - Simulator of the platform's log service.

#include "../src/shell/Endpoint.h"
#include "LogStandin.h"
#include "StandinProgram.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>

using namespace figsail;
namespace po = boost::program_options;

/// Runs the simulator until SIGTERM or SIGINT.
static void serve(const boost::asio::ip::tcp::endpoint &Where,
                  const LogStandinSettings &Settings) {
  boost::asio::io_context Context(1);
  LogStandin Log(Context, Settings);
  auto Bound = Log.listen(Where);
  std::cout << "listening on " << formatEndpoint(Bound) << std::endl;
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait(
      [&](const boost::system::error_code &, int) { Context.stop(); });
  Context.run();
}

int main(int Argc, char **Argv) {
  std::string Listen;
  double RetentionSeconds = 0;
  LogStandinSettings Settings;
  po::options_description Options("log-standin: simulator of the log service");
  // clang-format off
  Options.add_options()
    ("help", "print this text")
    ("listen", po::value(&Listen)->default_value("127.0.0.1:0"), "address ip:port; port 0: a free port")
    ("retention-records", po::value(&Settings.RetentionRecords)->default_value(0), "maximum records kept; 0: unlimited")
    ("retention-s", po::value(&RetentionSeconds)->default_value(0), "maximum age of records, in seconds; 0: unlimited")
    ("appends-per-second", po::value(&Settings.AppendsPerSecond)->default_value(500), "rate above which appends are delayed");
  // clang-format on
  return runStandin(
      "log-standin", Argc, Argv, Options, [&](const po::variables_map &) {
        Settings.Retention =
            Duration(static_cast<std::int64_t>(RetentionSeconds * 1e6));
        auto Where = parseEndpoint(Listen);
        if (!Where || Settings.AppendsPerSecond <= 0)
          throw po::error(
              "--listen must be ip:port, --appends-per-second positive");
        serve(*Where, Settings);
        return 0;
      });
}
