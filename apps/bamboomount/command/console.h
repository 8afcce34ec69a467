#ifndef COMMAND_CONSOLE_H_
#define COMMAND_CONSOLE_H_

#include <functional>
#include <memory>
#include <ostream>
#include <string>

#include "command/reporter.h"

namespace bamboomount {

// Where a command writes, and the environment that it reads.
class Console {
 public:
  // Value of an environment variable, or empty.
  using Environment = std::function<std::string(const char*)>;

  Console(std::ostream& out, std::ostream& err, Environment environment)
      : out_(out), err_(err), environment_(std::move(environment)) {}

  std::ostream& out() { return out_; }
  std::ostream& err() { return err_; }
  std::string EnvironmentVariable(const char* name) const {
    return environment_(name);
  }

  void SetReporter(std::unique_ptr<Reporter> reporter) {
    reporter_ = std::move(reporter);
  }
  void Write(const Report& report) { reporter_->Write(report, out_); }
  void WriteError(const Error& error) {
    reporter_->WriteError(error, out_, err_);
  }

 private:
  std::ostream& out_;
  std::ostream& err_;
  Environment environment_;
  std::unique_ptr<Reporter> reporter_ = MakeReporter("table");
};

}  // namespace bamboomount

#endif  // COMMAND_CONSOLE_H_
