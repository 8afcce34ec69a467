#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "command/command_registry.h"

int main(int argc, char** argv) {
  bamboomount::Console console(std::cout, std::cerr, [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value == nullptr ? "" : value);
  });
  const std::vector<std::string> args(argv + 1, argv + argc);
  return static_cast<int>(bamboomount::RunCommandLine(args, console));
}
