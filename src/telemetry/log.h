#ifndef TELEMETRY_LOG_H_
#define TELEMETRY_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "telemetry/log_event.h"

namespace bamboomount {

struct LogField {
  std::string_view name;
  std::string value;
};

// Writes one JSON line to standard error: time, process, event number, event
// name and the fields. Thread-safe. Keys of customers must not be passed.
void Log(const LogEvent& event, std::initializer_list<LogField> fields = {});

// Writes the lines to standard output from a thread of its own. A reader that
// is slow delays nobody: the oldest lines that wait are dropped, and so are
// informational lines beyond a bound for each second.
void UseAsyncStandardOutputForLogs();

// Sets the process name that each line carries, for example "router/r1".
void SetLogProcess(std::string process);

}  // namespace bamboomount

#endif  // TELEMETRY_LOG_H_
