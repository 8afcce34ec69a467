#ifndef COMMAND_JSON_REPORTER_H_
#define COMMAND_JSON_REPORTER_H_

#include "command/reporter.h"

namespace bamboomount {

// One JSON object on one line: fields by name, tables as arrays of objects, and
// "text". Errors go to standard output too, as {"error":{...}}.
class JsonReporter : public Reporter {
 public:
  void Write(const Report& report, std::ostream& out) const override;
  void WriteError(const Error& error,
                  std::ostream& out,
                  std::ostream& err) const override;
};

}  // namespace bamboomount

#endif  // COMMAND_JSON_REPORTER_H_
