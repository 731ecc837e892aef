// figsailctl.cpp - Command-line tool for operators.

#include "../shell/ControlCommands.h"

#include <exception>
#include <iostream>

int main(int ArgumentCount, char **ArgumentValues) {
  try {
    figsail::ArgumentList Arguments(ArgumentValues + 1,
                                    ArgumentValues + ArgumentCount);
    return static_cast<int>(
        figsail::runFigsailctl(Arguments, std::cout, std::cerr));
  } catch (const std::exception &Error) {
    std::cerr << "figsailctl: " << Error.what() << '\n';
    return static_cast<int>(figsail::ControlStatus::Failed);
  }
}
