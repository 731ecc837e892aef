// figsaild.cpp - Main program of the daemon beside each backend server.

#include "../shell/Daemon.h"
#include "../shell/FileLimit.h"
#include "../shell/Logging.h"

#include <iostream>

using namespace figsail;

/// Exit status for invalid settings or arguments.
static constexpr int InvalidSettingsStatus = 2;

static int run(ProcessSettings Settings) {
  startLogging();
  raiseFileLimit();
  boost::asio::io_context Context(1);
  Daemon Process(Context, std::move(Settings));
  if (auto Error = Process.start()) {
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
    return InvalidSettingsStatus;
  }
  return run(std::get<ProcessSettings>(std::move(Result)));
}
