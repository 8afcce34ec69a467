#ifndef TELEMETRY_LOG_EVENT_H_
#define TELEMETRY_LOG_EVENT_H_

#include <string_view>

namespace bamboomount {

enum class Severity { kInfo, kWarning, kError };

// A kind of log line. Event numbers are stable; docs/EVENTS.md lists them.
// Ranges: 1000 daemon, 2000 config and state, 3000 peer, 4000 controller (4100
// to 4199 provider), 5000 router, 6000 admin, 7000 gateway. Each library
// declares its events in <lib>/events.h.
struct LogEvent {
  int number;
  Severity severity;
  std::string_view name;
  // Explains the event and what an operator can do about it.
  std::string_view meaning;
};

}  // namespace bamboomount

#endif  // TELEMETRY_LOG_EVENT_H_
