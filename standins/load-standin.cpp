// load-standin.cpp - Simulator of clients.

#include "LoadStandin.h"
#include "StandinProgram.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace figsail;
namespace po = boost::program_options;

/// Runs until all requests have ended. SIGTERM and SIGINT stop the start of
/// further requests.
static void run(const LoadSettings &Settings, const std::string &HistoryFile) {
  std::ofstream History(HistoryFile);
  if (!History)
    throw po::error("cannot write " + HistoryFile);
  boost::asio::io_context Context(1);
  LoadStandin Load(Context, Settings, History, [&Context] { Context.stop(); });
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait(
      [&](const boost::system::error_code &, int) { Load.stop(); });
  boost::asio::post(Context, [&Load] { Load.start(); });
  Context.run();
  History.close();
  if (!History)
    throw po::error("cannot write " + HistoryFile);
  std::cout << "logical requests: " << Load.started() << std::endl;
}

/// Returns a prefix that no other process on this host has used.
static std::string idPrefix() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  auto Micros = std::chrono::duration_cast<Duration>(Now).count();
  return std::to_string(::getpid()) + "-" + std::to_string(Micros) + "-";
}

static Duration seconds(double Value) {
  return Duration(static_cast<Duration::rep>(Value * 1e6));
}

int main(int Argc, char **Argv) {
  std::string Targets;
  std::string HistoryFile;
  double SendSeconds = 0;
  double ResendDelayMs = 0;
  double Timeout = 0;
  double LastBytesDelayMs = 0;
  LoadSettings Settings;
  po::options_description Options("load-standin: simulator of clients");
  // clang-format off
  Options.add_options()
    ("help", "print this text")
    ("targets", po::value(&Targets)->required(), "addresses ip:port,ip:port,... used round-robin")
    ("history", po::value(&HistoryFile)->required(), "file to write a line to for each attempt")
    ("rate", po::value(&Settings.Rate)->default_value(0), "requests a second; 0: as fast as the connections allow")
    ("seconds", po::value(&SendSeconds)->default_value(0), "time in which requests are started")
    ("count", po::value(&Settings.Count)->default_value(0), "number of requests, instead of --seconds")
    ("connections", po::value(&Settings.Connections)->default_value(16), "maximum open connections over all targets")
    ("method", po::value(&Settings.Method)->default_value("GET"), "HTTP method; all but GET and HEAD are bookings")
    ("target", po::value(&Settings.Path)->default_value("/"), "request target")
    ("unique-ids", po::bool_switch(&Settings.UniqueIds), "send X-Request-Id, and Booking-Id with bookings")
    ("id-prefix", po::value(&Settings.IdPrefix)->default_value(idPrefix()), "prefix of the ids")
    ("body-bytes", po::value(&Settings.BodyBytes)->default_value(32), "body size of a booking")
    ("resends", po::value(&Settings.Resends)->default_value(0), "resends of a request that was not run, or whose outcome is unknown or lost")
    ("resend-delay-ms", po::value(&ResendDelayMs)->default_value(100), "delay before a resend")
    ("timeout-s", po::value(&Timeout)->default_value(10), "time limit of an attempt")
    ("keep-connections", po::bool_switch(&Settings.KeepConnections), "use connections again after error responses too, until the server closes them")
    ("last-bytes-delay-ms", po::value(&LastBytesDelayMs)->default_value(0), "send the end of a request, of its head if it has no body, this much later than the rest");
  // clang-format on
  return runStandin(
      "load-standin", Argc, Argv, Options, [&](const po::variables_map &) {
        boost::split(Settings.Targets, Targets, boost::is_any_of(","));
        if (Settings.Count == 0 && SendSeconds <= 0)
          throw po::error("either --seconds or --count must be given");
        Settings.SendPeriod = seconds(SendSeconds);
        Settings.ResendDelay = seconds(ResendDelayMs / 1000);
        Settings.Timeout = seconds(Timeout);
        Settings.LastBytesDelay = seconds(LastBytesDelayMs / 1000);
        run(Settings, HistoryFile);
        return 0;
      });
}
