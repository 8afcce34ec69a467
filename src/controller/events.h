#ifndef CONTROLLER_EVENTS_H_
#define CONTROLLER_EVENTS_H_

#include <array>

#include "telemetry/log_event.h"

// Log events 4000 to 4999, except 4100 to 4199: these are logged by the usage
// recording on routers.
namespace bamboomount::events {

inline constexpr LogEvent kLeaseTaken{
    4000, Severity::kInfo, "lease_taken",
    "This instance now holds the controller lease: it orders backend servers "
    "and reports usage."};
inline constexpr LogEvent kLeaseLost{
    4001, Severity::kWarning, "lease_lost",
    "Another instance holds the lease. Expected after an outage of the table "
    "service or a pause of this process."};
inline constexpr LogEvent kLeaseSteppedDown{
    4002, Severity::kWarning, "lease_stepped_down",
    "The lease could not be renewed in time, so this instance stopped ordering "
    "and reporting. Check the table service."};
inline constexpr LogEvent kLeaseReleased{
    4003, Severity::kInfo, "lease_released",
    "Graceful shutdown; another instance can acquire the lease without waiting "
    "for it to expire."};
inline constexpr LogEvent kLeaseStoreRestored{
    4004, Severity::kWarning, "lease_store_restored",
    "The table service came back from an older copy. A held lease has ended; "
    "the next tenure has a higher fencing token."};
inline constexpr LogEvent kOrderAccepted{
    4010, Severity::kInfo, "order_accepted",
    "The platform has received an order for backend servers."};
inline constexpr LogEvent kOrderRefused{
    4011, Severity::kWarning, "order_refused",
    "The platform refused an order or could not be reached; the order was not "
    "executed."};
inline constexpr LogEvent kOrderUnresolved{
    4012, Severity::kWarning, "order_unresolved",
    "It is unknown whether an order reached the platform. No further order is "
    "sent until the platform reports whether it has received this one."};
inline constexpr LogEvent kOrderAbandoned{
    4013, Severity::kWarning, "order_abandoned",
    "The platform has not received a recorded order. If it arrives later, the "
    "platform has more backend servers than planned; compare its order list."};
inline constexpr LogEvent kWindowSealed{
    4020, Severity::kInfo, "usage_window_sealed",
    "The totals of a usage window are final."};
inline constexpr LogEvent kWindowReported{
    4021, Severity::kInfo, "usage_window_reported",
    "The platform has received every customer's totals of a usage window."};
inline constexpr LogEvent kReportFailed{
    4022, Severity::kWarning, "usage_report_failed",
    "A usage report was not confirmed; the same totals are sent again."};
inline constexpr LogEvent kWindowPassedOver{
    4023, Severity::kWarning, "usage_window_passed_over",
    "The table was restored, and this window may have been sealed before. It "
    "is not sealed again; compare the platform's reports with other records."};
inline constexpr LogEvent kMalformedRow{
    4030, Severity::kError, "malformed_row",
    "A row of the table service could not be parsed. Check which version of "
    "the program wrote it."};

// All events of this library, for the event catalogue.
inline constexpr std::array kControllerEvents{
    kLeaseTaken,         kLeaseLost,     kLeaseSteppedDown, kLeaseReleased,
    kLeaseStoreRestored, kOrderAccepted, kOrderRefused,     kOrderUnresolved,
    kOrderAbandoned,     kWindowSealed,  kWindowReported,   kReportFailed,
    kWindowPassedOver,   kMalformedRow};

}  // namespace bamboomount::events

#endif  // CONTROLLER_EVENTS_H_
