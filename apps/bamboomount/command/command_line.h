#ifndef COMMAND_COMMAND_LINE_H_
#define COMMAND_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

#include "command/command.h"

namespace bamboomount {

// Parses the options of one command. Every command has --help and --output.
class CommandLine {
 public:
  CommandLine(const Command& command, Console& console);
  ~CommandLine();

  void Add(TCLAP::Arg& arg) { line_.add(arg); }
  // Parses `args` and sets the console's reporter to the one that --output
  // names. Throws TCLAP exceptions.
  void Parse(const std::vector<std::string>& args);

 private:
  class HelpOutput;

  const std::string program_;
  Console& console_;
  std::unique_ptr<HelpOutput> help_;
  TCLAP::CmdLine line_;
  std::vector<std::string> formats_ = ReporterNames();
  TCLAP::ValuesConstraint<std::string> format_constraint_{formats_};
  TCLAP::ValueArg<std::string> format_;
};

}  // namespace bamboomount

#endif  // COMMAND_COMMAND_LINE_H_
