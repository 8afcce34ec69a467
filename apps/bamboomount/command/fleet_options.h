#ifndef COMMAND_FLEET_OPTIONS_H_
#define COMMAND_FLEET_OPTIONS_H_

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

#include "base/base.h"
#include "command/command_line.h"

namespace bamboomount {

// How a command reaches the fleet.
struct FleetAccess {
  // Admin addresses, tried in order.
  std::vector<std::string> servers;
  std::string token;
  std::string author;
  // For one request.
  Millis request_timeout{0};
  // For a change to be in force on all instances.
  Millis wait{0};
};

// The options of every command that talks to instances.
class FleetOptions {
 public:
  explicit FleetOptions(CommandLine& line);

  // Fails with kBadRequest if no server or token is given.
  Result<FleetAccess> Access(const Console& console) const;

 private:
  TCLAP::MultiArg<std::string> servers_;
  TCLAP::ValueArg<std::string> token_file_;
  TCLAP::ValueArg<std::string> author_;
  TCLAP::ValueArg<int> request_timeout_;
  TCLAP::ValueArg<int> wait_;
};

// The whole file. Fails with kNotFound.
Result<std::string> ReadFile(const std::string& path);

}  // namespace bamboomount

#endif  // COMMAND_FLEET_OPTIONS_H_
