// figsailctl.cpp - The operators' command-line tool.

#include "../shell/ControlCommands.h"

#include <exception>
#include <iostream>

int main(int Count, char **Values) {
  try {
    figsail::ArgumentList Arguments(Values + 1, Values + Count);
    return static_cast<int>(
        figsail::runControl(Arguments, std::cout, std::cerr));
  } catch (const std::exception &Error) {
    std::cerr << "figsailctl: " << Error.what() << '\n';
    return static_cast<int>(figsail::ControlStatus::Failed);
  }
}
