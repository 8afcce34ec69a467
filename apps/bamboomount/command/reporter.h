#ifndef COMMAND_REPORTER_H_
#define COMMAND_REPORTER_H_

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "base/base.h"
#include "command/report.h"

namespace bamboomount {

// Writes reports and errors in one output format.
class Reporter {
 public:
  virtual ~Reporter() = default;

  virtual void Write(const Report& report, std::ostream& out) const = 0;
  virtual void WriteError(const Error& error,
                          std::ostream& out,
                          std::ostream& err) const = 0;
};

// The values of --output; the first is the default.
std::vector<std::string> ReporterNames();
// Returns nullptr for an unknown name.
std::unique_ptr<Reporter> MakeReporter(const std::string& name);

}  // namespace bamboomount

#endif  // COMMAND_REPORTER_H_
