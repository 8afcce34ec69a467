#include "command/command_line.h"

namespace bamboomount {

// Writes --help to the console instead of standard output, and rethrows parse
// errors instead of exiting.
class CommandLine::HelpOutput : public TCLAP::StdOutput {
 public:
  explicit HelpOutput(Console& console) : console_(console) {}

  void usage(TCLAP::CmdLineInterface& line) override {
    console_.out() << line.getMessage() << "\n\nUsage:\n\n";
    _shortUsage(line, console_.out());
    console_.out() << "\n\nWhere:\n\n";
    _longUsage(line, console_.out());
  }
  void failure(TCLAP::CmdLineInterface& /*line*/,
               TCLAP::ArgException& error) override {
    throw error;
  }

 private:
  Console& console_;
};

CommandLine::CommandLine(const Command& command, Console& console)
    : program_("bamboomount " + command.name()),
      console_(console),
      help_(std::make_unique<HelpOutput>(console)),
      line_(command.summary(), ' ', "1"),
      format_("o",
              "output",
              "Output format",
              false,
              formats_.front(),
              &format_constraint_) {
  line_.setExceptionHandling(false);
  line_.setOutput(help_.get());
  line_.add(format_);
}

CommandLine::~CommandLine() = default;

void CommandLine::Parse(const std::vector<std::string>& args) {
  std::vector<std::string> all = {program_};
  all.insert(all.end(), args.begin(), args.end());
  line_.parse(all);
  console_.SetReporter(MakeReporter(format_.getValue()));
}

}  // namespace bamboomount
