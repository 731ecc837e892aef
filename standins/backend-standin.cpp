// backend-standin.cpp - Simulator of a backend server.

#include "BackendStandin.h"
#include "StandinProgram.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>

using namespace figsail;
namespace po = boost::program_options;

/// Runs the simulator until it has drained after SIGTERM or SIGINT.
static void serve(const std::string &Listen, const std::string &RecordFile,
                  const BackendStandinSettings &Settings) {
  boost::asio::io_context Context(1);
  RunRecorder Recorder;
  if (!RecordFile.empty())
    if (auto Error = Recorder.open(RecordFile))
      throw po::error(*Error);
  BackendStandin Server(Context, Settings, Recorder);
  if (auto Error = Server.listen(Listen))
    throw po::error(*Error);
  std::string Host = Listen.substr(0, Listen.rfind(':') + 1);
  std::cout << "listening on " << Host << Server.port() << std::endl;
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](const boost::system::error_code &, int) {
    Server.drain([&Context] { Context.stop(); });
  });
  Context.run();
}

static OverloadMode parseOverloadMode(const std::string &Name) {
  if (Name == "queue")
    return OverloadMode::Queue;
  if (Name == "shed")
    return OverloadMode::Shed;
  if (Name == "crash")
    return OverloadMode::Crash;
  throw po::error("--cold-overload must be queue, shed or crash");
}

static Duration seconds(double Value) {
  return Duration(static_cast<Duration::rep>(Value * 1e6));
}

int main(int Argc, char **Argv) {
  std::string Listen;
  std::string RecordFile;
  std::string ColdOverload;
  std::string Health;
  double ServiceMs = 0;
  double ColdStart = 0;
  double HealthLag = 0;
  double HealthMs = 0;
  BackendStandinSettings Settings;
  po::options_description Options(
      "backend-standin: simulator of a backend server");
  // clang-format off
  Options.add_options()
    ("help", "print this text")
    ("listen", po::value(&Listen)->default_value("127.0.0.1:0"), "address ip:port; port 0: a free port")
    ("slots", po::value(&Settings.Slots)->default_value(10), "concurrent runs when warm")
    ("max-connections", po::value(&Settings.MaxConnections)->default_value(250), "maximum open connections")
    ("service-ms", po::value(&ServiceMs)->default_value(5), "mean time of a run when warm, in milliseconds")
    ("jitter", po::value(&Settings.Jitter)->default_value(0), "maximum deviation of a run, as a fraction of its time, 0 to 1")
    ("seed", po::value(&Settings.Seed)->default_value(1), "seed of the jitter")
    ("cold-start-s", po::value(&ColdStart)->default_value(0), "time from the start until warm, in seconds")
    ("cold-overload", po::value(&ColdOverload)->default_value("queue"), "on overload while cold: queue, shed or crash")
    ("shed", po::bool_switch(), "reply 503 with Backend-Not-Run: 1 when all slots are taken, instead of queueing")
    ("health", po::value(&Health)->default_value("ok"), "health endpoint: ok, lag or lie")
    ("health-lag-s", po::value(&HealthLag)->default_value(3), "age of the state that --health lag reports, in seconds")
    ("health-ms", po::value(&HealthMs)->default_value(5), "time until a health response is sent, in milliseconds")
    ("response-bytes", po::value(&Settings.ResponseBytes)->default_value(100), "payload size of a response")
    ("record", po::value(&RecordFile), "file to append a line to for each start and end of a run");
  // clang-format on
  return runStandin(
      "backend-standin", Argc, Argv, Options,
      [&](const po::variables_map &Values) {
        std::optional<HealthMode> Mode = parseHealthMode(Health);
        if (!Mode || Settings.Slots == 0)
          throw po::error(
              "--health must be ok, lag or lie; --slots must be at least 1");
        Settings.Health = *Mode;
        Settings.Overload = Values["shed"].as<bool>() ? OverloadMode::Shed
                                                      : OverloadMode::Queue;
        Settings.ColdOverload = parseOverloadMode(ColdOverload);
        Settings.ServiceTime = seconds(ServiceMs / 1000);
        Settings.ColdStart = seconds(ColdStart);
        Settings.HealthLag = seconds(HealthLag);
        Settings.HealthDelay = seconds(HealthMs / 1000);
        serve(Listen, RecordFile, Settings);
        return 0;
      });
}
