#ifndef APPS_BAMBOOMOUNTD_EVENTS_H_
#define APPS_BAMBOOMOUNTD_EVENTS_H_

#include <array>

#include "telemetry/telemetry.h"

namespace bamboomount {

// Log events of the daemon; numbers 1000 to 1999.
inline constexpr LogEvent kProcessStarted{
    1000, Severity::kInfo, "process_started",
    "The process runs in the given role. No action."};
inline constexpr LogEvent kStopRequested{
    1001, Severity::kInfo, "stop_requested",
    "A signal requested a graceful shutdown. No action."};
inline constexpr LogEvent kProcessStopped{
    1002, Severity::kInfo, "process_stopped", "The process ends. No action."};
inline constexpr LogEvent kDirectoryUnavailable{
    1003, Severity::kWarning, "directory_unavailable",
    "The platform's instance directory could not be read or updated; the last "
    "listing stays in use. Check the platform."};
inline constexpr LogEvent kBackendLeaving{
    1004, Severity::kInfo, "backend_leaving",
    "A backend server is leaving and gets no new requests. No action."};

inline constexpr LogEvent kPeerChangeMalformed{
    1005, Severity::kError, "peer_change_unreadable",
    "A peer sent a malformed change; it is fetched from the store instead. "
    "Check that all instances run compatible versions."};

inline constexpr LogEvent kUsageNotWritten{
    1006, Severity::kWarning, "usage_not_written",
    "Usage could not be written to the table service; the figures are kept and "
    "the write is retried. Check the platform's table service."};

inline constexpr std::array kDaemonEvents{
    kProcessStarted,       kStopRequested,  kProcessStopped,
    kDirectoryUnavailable, kBackendLeaving, kPeerChangeMalformed,
    kUsageNotWritten};

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNTD_EVENTS_H_
