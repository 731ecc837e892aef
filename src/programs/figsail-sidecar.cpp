// figsail-sidecar.cpp - The daemon beside a backend server on the users'
// platform.

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

/// Exit status for settings that are not usable.
static constexpr int SettingsStatus = 2;

static SettingsRead readAgain(const std::string &Path) {
  auto Read = platform::readSettings(Path);
  if (auto *Fault = std::get_if<platform::SettingsError>(&Read))
    return std::move(Fault->Text);
  return std::get<SidecarConfiguration>(std::move(Read));
}

static SidecarPlatform makePlatform(const std::string &Path,
                                    boost::asio::io_context &Context,
                                    StoreHandler &Handler,
                                    const SidecarConfiguration &Given) {
  SidecarPlatform Result;
  Result.Fields =
      std::make_shared<platform::HeaderFields>(Given.Settings.Service);
  Result.Records = std::make_unique<platform::JsonRecordDecoder>();
  Result.Reports = std::make_unique<platform::JsonReportCodec>();
  Result.Store = std::make_unique<platform::StoreClient>(Context, Handler,
                                                         Given.Addresses.Store);
  Result.ReadSettings = [Path] { return readAgain(Path); };
  return Result;
}

static Incarnation drawIncarnation() {
  std::random_device Source;
  Incarnation Drawn = 0;
  while (Drawn == 0)
    Drawn = (static_cast<Incarnation>(Source()) << 32) | Source();
  return Drawn;
}

static int run(const std::string &Path, SidecarConfiguration Given) {
  startStructuredLogging(Given.Settings.Host);
  raiseFileLimit();
  Given.Settings.Inc = drawIncarnation();
  boost::asio::io_context Context(1);
  SidecarDaemon Self(Context, std::move(Given),
                     [&Path](auto &Loop, auto &Handler, const auto &Settings) {
                       return makePlatform(Path, Loop, Handler, Settings);
                     });
  if (auto Error = Self.start()) {
    logError("daemon", *Error);
    flushLog();
    return 1;
  }
  Context.run();
  return 0;
}

int main(int Argc, char **Argv) {
  options::options_description Known("figsail-sidecar");
  Known.add_options()("help", "show this text")(
      "settings",
      options::value<std::string>()->default_value(platform::settingsPath()),
      "path of the platform's settings file")(
      "check", "read the settings, report faults and exit");
  options::variables_map Chosen;
  try {
    options::store(options::parse_command_line(Argc, Argv, Known), Chosen);
    options::notify(Chosen);
  } catch (const options::error &Error) {
    std::cerr << "figsail-sidecar: " << Error.what() << "\n";
    return SettingsStatus;
  }
  if (Chosen.contains("help")) {
    std::cout << Known;
    return 0;
  }
  auto Path = Chosen["settings"].as<std::string>();
  auto Read = platform::readSettings(Path);
  if (const auto *Fault = std::get_if<platform::SettingsError>(&Read)) {
    std::cerr << "figsail-sidecar: settings: " << Fault->Text << "\n";
    return SettingsStatus;
  }
  if (Chosen.contains("check")) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  return run(Path, std::get<SidecarConfiguration>(std::move(Read)));
}
