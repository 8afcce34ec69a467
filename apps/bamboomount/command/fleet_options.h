#ifndef COMMAND_FLEET_OPTIONS_H_
#define COMMAND_FLEET_OPTIONS_H_

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

#include "base/base.h"
#include "command/command_line.h"

namespace bamboomount {

// How a command connects to the fleet.
struct FleetAccess {
  // Admin addresses "ip:port", tried in order.
  std::vector<std::string> servers;
  std::string token;
  std::string author;
  // Timeout of one request.
  Millis request_timeout{0};
  // Longest time to wait until a change is in force on all instances.
  Millis wait{0};
};

// Options of every command that sends requests to instances.
class FleetOptions {
 public:
  explicit FleetOptions(CommandLine& line);

  // Combines the options with their environment variables. Fails with
  // kBadRequest if the server, token or author is missing or a time is out of
  // range, and with kNotFound if the token file cannot be opened.
  Result<FleetAccess> Access(const Console& console) const;

 private:
  TCLAP::MultiArg<std::string> servers_;
  TCLAP::ValueArg<std::string> token_file_;
  TCLAP::ValueArg<std::string> author_;
  TCLAP::ValueArg<int> request_timeout_;
  TCLAP::ValueArg<int> wait_;
};

// Returns the content of a file. Fails with kNotFound if it cannot be opened.
Result<std::string> ReadFile(const std::string& path);

}  // namespace bamboomount

#endif  // COMMAND_FLEET_OPTIONS_H_
