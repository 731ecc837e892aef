// figsaild.cpp - The daemon beside each backend server.

#include "../shell/Daemon.h"
#include "../shell/FileLimit.h"
#include "../shell/Logging.h"

#include <iostream>

using namespace figsail;

/// Exit status for settings that are not usable.
static constexpr int SettingsStatus = 2;

static int run(ProcessSettings Settings) {
  startLogging();
  raiseFileLimit();
  boost::asio::io_context Context(1);
  Daemon Self(Context, std::move(Settings));
  if (auto Error = Self.start()) {
    logError("daemon", *Error);
    return 1;
  }
  Context.run();
  return 0;
}

int main(int Argc, char **Argv) {
  std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  SettingsResult Result = readProcessSettings(Arguments, processEnvironment());
  if (const auto *Help = std::get_if<HelpRequested>(&Result)) {
    std::cout << Help->Text;
    return 0;
  }
  if (const auto *Error = std::get_if<SettingsError>(&Result)) {
    std::cerr << "figsaild: " << Error->Text << "\n";
    return SettingsStatus;
  }
  return run(std::get<ProcessSettings>(std::move(Result)));
}
