// figsail-sidecar.cpp - Sidecar of a backend server on the users' platform.

#include "DecisionLog.h"
#include "FileLimit.h"
#include "HeaderFields.h"
#include "JsonRecordDecoder.h"
#include "JsonReportCodec.h"
#include "Logging.h"
#include "Settings.h"
#include "SidecarDaemon.h"
#include "StoreClient.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <random>

using namespace figsail;
namespace options = boost::program_options;

/// Exit status for invalid settings or arguments.
static constexpr int InvalidSettingsStatus = 2;

static SettingsReadResult reloadSettings(const std::string &Path) {
  auto Read = platform::readSettings(Path);
  if (auto *Fault = std::get_if<platform::SettingsError>(&Read))
    return std::move(Fault->Text);
  return std::get<SidecarConfiguration>(std::move(Read));
}

static SidecarPlatform makePlatform(const std::string &Path,
                                    boost::asio::io_context &Context,
                                    StoreHandler &Handler,
                                    const SidecarConfiguration &Configuration) {
  SidecarPlatform Result;
  Result.Fields =
      std::make_shared<platform::HeaderFields>(Configuration.Settings.Service);
  Result.Records = std::make_unique<platform::JsonRecordDecoder>();
  Result.Reports = std::make_unique<platform::JsonReportCodec>();
  Result.Store = std::make_unique<platform::StoreClient>(
      Context, Handler, Configuration.Addresses.Store);
  Result.ReadSettings = [Path] { return reloadSettings(Path); };
  return Result;
}

static Incarnation drawIncarnation() {
  std::random_device Source;
  Incarnation Result = 0;
  while (Result == 0)
    Result = (static_cast<Incarnation>(Source()) << 32) | Source();
  return Result;
}

static int run(const std::string &Path, SidecarConfiguration Configuration) {
  startStructuredLogging(Configuration.Settings.Host);
  raiseFileLimit();
  Configuration.Settings.Inc = drawIncarnation();
  boost::asio::io_context Context(1);
  SidecarDaemon Process(
      Context, std::move(Configuration),
      [&Path](auto &Loop, auto &Handler, const auto &Settings) {
        return makePlatform(Path, Loop, Handler, Settings);
      });
  if (auto Error = Process.start()) {
    logError("daemon", *Error);
    flushLog();
    return 1;
  }
  Context.run();
  return 0;
}

int main(int Argc, char **Argv) {
  options::options_description Options("figsail-sidecar");
  Options.add_options()("help", "print this text")(
      "settings",
      options::value<std::string>()->default_value(platform::settingsPath()),
      "path of the platform's settings file")(
      "check", "check the settings, report a fault and exit");
  options::variables_map Values;
  try {
    options::store(options::parse_command_line(Argc, Argv, Options), Values);
    options::notify(Values);
  } catch (const options::error &Error) {
    std::cerr << "figsail-sidecar: " << Error.what() << "\n";
    return InvalidSettingsStatus;
  }
  if (Values.contains("help")) {
    std::cout << Options;
    return 0;
  }
  auto Path = Values["settings"].as<std::string>();
  auto Read = platform::readSettings(Path);
  if (const auto *Fault = std::get_if<platform::SettingsError>(&Read)) {
    std::cerr << "figsail-sidecar: settings: " << Fault->Text << "\n";
    return InvalidSettingsStatus;
  }
  if (Values.contains("check")) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  return run(Path, std::get<SidecarConfiguration>(std::move(Read)));
}
