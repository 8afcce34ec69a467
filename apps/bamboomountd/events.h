#ifndef APPS_BAMBOOMOUNTD_EVENTS_H_
#define APPS_BAMBOOMOUNTD_EVENTS_H_

#include <array>

#include "telemetry/telemetry.h"

namespace bamboomount {

inline constexpr LogEvent kProcessStarted{
    1000, Severity::kInfo, "process_started",
    "The process runs in the given role. No action."};
inline constexpr LogEvent kStopRequested{
    1001, Severity::kInfo, "stop_requested",
    "A signal asked for a planned stop. No action."};
inline constexpr LogEvent kProcessStopped{
    1002, Severity::kInfo, "process_stopped", "The process ends. No action."};
inline constexpr LogEvent kDirectoryUnavailable{
    1003, Severity::kWarning, "directory_unavailable",
    "The platform's list of instances cannot be read; the last one stays in "
    "use. Check the platform."};
inline constexpr LogEvent kBackendLeaving{
    1004, Severity::kInfo, "backend_leaving",
    "A backend server is leaving and gets no new requests. No action."};

inline constexpr LogEvent kPeerChangeMalformed{
    1005, Severity::kError, "peer_change_unreadable",
    "A peer sent a change that cannot be read; it is fetched from the store "
    "instead. Check that all instances run compatible versions."};

inline constexpr LogEvent kUsageNotWritten{
    1006, Severity::kWarning, "usage_not_written",
    "Usage figures could not be written to the table; they are kept and "
    "written later. Check the platform's table service."};

inline constexpr std::array kDaemonEvents{
    kProcessStarted,       kStopRequested,  kProcessStopped,
    kDirectoryUnavailable, kBackendLeaving, kPeerChangeMalformed,
    kUsageNotWritten};

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNTD_EVENTS_H_
