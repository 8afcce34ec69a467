#ifndef COMMAND_TABLE_REPORTER_H_
#define COMMAND_TABLE_REPORTER_H_

#include "command/reporter.h"

namespace bamboomount {

// Writes aligned columns to be read by people. Trees are indented in the first
// column.
class TableReporter : public Reporter {
 public:
  void Write(const Report& report, std::ostream& out) const override;
  void WriteError(const Error& error,
                  std::ostream& out,
                  std::ostream& err) const override;
};

}  // namespace bamboomount

#endif  // COMMAND_TABLE_REPORTER_H_
