// StandinProgram.cpp - Command line handling of the simulator programs.

#include "StandinProgram.h"

#include <exception>
#include <iostream>

namespace figsail {

namespace po = boost::program_options;

static constexpr int ErrorStatus = 2;

int runStandin(const std::string &Name, int Argc, char **Argv,
               const po::options_description &Options,
               const ProgramBody &Body) {
  try {
    po::variables_map Values;
    po::store(po::parse_command_line(Argc, Argv, Options), Values);
    if (Values.contains("help")) {
      std::cout << Options;
      return 0;
    }
    po::notify(Values);
    return Body(Values);
  } catch (const std::exception &Error) {
    std::cerr << Name << ": " << Error.what() << "\n";
    return ErrorStatus;
  }
}

} // namespace figsail
