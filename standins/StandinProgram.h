// StandinProgram.h - Command line handling of the simulator programs.

#ifndef FIGSAIL_STANDINPROGRAM_H
#define FIGSAIL_STANDINPROGRAM_H

#include <boost/program_options.hpp>
#include <functional>
#include <string>

namespace figsail {

/// Main function of a program, called with the parsed options. Returns the exit
/// status.
using ProgramBody =
    std::function<int(const boost::program_options::variables_map &)>;

/// Parses the command line, prints the help text on --help, and otherwise calls
/// Body. Returns the exit status: 2 with a message for bad usage or any other
/// error.
int runStandin(const std::string &Name, int Argc, char **Argv,
               const boost::program_options::options_description &Options,
               const ProgramBody &Body);

} // namespace figsail

#endif // FIGSAIL_STANDINPROGRAM_H
