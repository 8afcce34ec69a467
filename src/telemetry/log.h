#ifndef TELEMETRY_LOG_H_
#define TELEMETRY_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "telemetry/log_event.h"

namespace bamboomount {

// A named value of a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

// Writes one JSON line with time, process, level, event number, event name and
// `fields`, to standard error by default. Never pass customers' keys.
// Thread-safe.
void Log(const LogEvent& event, std::initializer_list<LogField> fields = {});

// Writes log lines to standard output from a background thread instead. A slow
// reader does not block callers of Log: if the queue is full, its oldest lines
// are dropped. Lines of severity kInfo beyond a limit per second are dropped,
// too; a line of the next second reports how many.
void UseAsyncStandardOutputForLogs();

// Sets the process name written in each line, for example "router/r1".
// Thread-safe.
void SetLogProcess(std::string process);

}  // namespace bamboomount

#endif  // TELEMETRY_LOG_H_
