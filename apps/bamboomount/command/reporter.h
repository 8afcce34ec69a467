#ifndef COMMAND_REPORTER_H_
#define COMMAND_REPORTER_H_

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "base/base.h"
#include "command/report.h"

namespace bamboomount {

// An output format.
class Reporter {
 public:
  virtual ~Reporter() = default;

  virtual void Write(const Report& report, std::ostream& out) const = 0;
  virtual void WriteError(const Error& error,
                          std::ostream& out,
                          std::ostream& err) const = 0;
};

// Names for --output.
std::vector<std::string> ReporterNames();
// nullptr for unknown names.
std::unique_ptr<Reporter> MakeReporter(const std::string& name);

}  // namespace bamboomount

#endif  // COMMAND_REPORTER_H_
