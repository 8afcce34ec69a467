#ifndef GATEWAY_EVENTS_H_
#define GATEWAY_EVENTS_H_

#include <array>

#include "telemetry/log_event.h"

// Log events 7000 to 7199.
namespace bamboomount::gateway_events {

inline constexpr LogEvent kStarted{
    7000, Severity::kInfo, "gateway_started",
    "The instance is listening. It becomes ready once it has loaded the "
    "configuration and the list of backend servers."};
inline constexpr LogEvent kStopRequested{
    7001, Severity::kInfo, "gateway_stop_requested",
    "A signal requested a graceful shutdown: the instance is no longer ready, "
    "accepts new requests for a short time only, and finishes the requests in "
    "progress."};
inline constexpr LogEvent kStopped{7002, Severity::kInfo, "gateway_stopped",
                                   "The process exits."};
inline constexpr LogEvent kSettingsReloaded{
    7003, Severity::kInfo, "settings_reloaded",
    "The settings file was read again; limits that changed are in effect."};
inline constexpr LogEvent kSettingsRefused{
    7004, Severity::kError, "settings_refused",
    "The settings file is invalid. At startup the process exits; on a reload "
    "the current settings remain in effect."};
inline constexpr LogEvent kConfigApplied{
    7010, Severity::kInfo, "config_applied",
    "A newer version of the configuration took effect on this instance."};
inline constexpr LogEvent kConfigUnreadable{
    7011, Severity::kError, "config_unreadable",
    "The configuration in the store cannot be parsed; the previous one remains "
    "in effect. Publish a corrected version."};
inline constexpr LogEvent kStoreLost{
    7012, Severity::kWarning, "store_lost",
    "The store stopped responding to calls for this table. The state that is "
    "known remains in use; requests with keys are refused once withdrawals of "
    "keys could be missed."};
inline constexpr LogEvent kStoreRegained{
    7013, Severity::kInfo, "store_regained",
    "The store responds to calls for this table again."};
inline constexpr LogEvent kHistoryLost{
    7014, Severity::kWarning, "store_history_lost",
    "The store no longer has the changes since its last response; the whole "
    "table is read again."};
inline constexpr LogEvent kStorePollFailed{
    7015, Severity::kInfo, "store_poll_failed",
    "A stale replica of this table could not get the changes from the store; "
    "it polls again later."};
inline constexpr LogEvent kTableReadDropped{
    7018, Severity::kWarning, "table_read_dropped",
    "A whole table was read at an older version than this instance has; the "
    "rows that it has stay in use."};
inline constexpr LogEvent kTableRestored{
    7019, Severity::kWarning, "table_restored",
    "The store came back from an older copy; this table was read anew there. "
    "What was written since the copy is missing until its owner writes it "
    "again."};
inline constexpr LogEvent kBackendListed{
    7020, Severity::kInfo, "backend_listed",
    "A backend server was added, or its state changed."};
inline constexpr LogEvent kBackendGone{
    7021, Severity::kInfo, "backend_gone",
    "A backend server was removed from the list and gets no new requests."};
inline constexpr LogEvent kBackendUnreadable{
    7022, Severity::kWarning, "backend_row_unreadable",
    "The row of a backend server cannot be parsed; the server gets no "
    "requests."};
inline constexpr LogEvent kBackendLeaving{
    7027, Severity::kInfo, "backend_leaving",
    "A backend server said in a reply that it is about to leave; it gets no "
    "new "
    "requests."};
inline constexpr LogEvent kBackendPaused{
    7028, Severity::kInfo, "backend_paused",
    "A backend server refused a request and asked for a pause; it gets no "
    "requests of this instance for that time."};
inline constexpr LogEvent kPoolBrittle{
    7029, Severity::kWarning, "pool_brittle",
    "The backend servers of a pool say that they fall over if they refuse many "
    "requests for want of room; this instance sends them only what fits."};
inline constexpr LogEvent kEvacuationBegan{
    7016, Severity::kInfo, "evacuation_began",
    "The operator takes an availability zone out of use; its backend servers "
    "get no new requests."};
inline constexpr LogEvent kEvacuationEnded{
    7017, Severity::kInfo, "evacuation_ended",
    "The backend servers of the availability zone may be used again. If the "
    "configuration limits cold servers, they get few requests at first."};
inline constexpr LogEvent kMemberUnreadable{
    7023, Severity::kWarning, "member_row_unreadable",
    "The row of an instance cannot be parsed. Check that all instances run "
    "compatible versions."};
inline constexpr LogEvent kMemberListed{
    7025, Severity::kInfo, "member_listed",
    "An instance was added, was restarted, or is leaving."};
inline constexpr LogEvent kMemberGone{
    7026, Severity::kInfo, "member_gone",
    "The row of an instance was removed; the instance is no longer counted as "
    "a member."};
inline constexpr LogEvent kPeerRowsFailed{
    7024, Severity::kInfo, "peer_rows_failed",
    "Another instance that has newer rows did not return them; the next gossip "
    "message triggers another request."};
inline constexpr LogEvent kRequestPlaced{
    7030, Severity::kInfo, "request_placed",
    "A request is sent to a backend server, selected by the values in this "
    "entry."};
inline constexpr LogEvent kRequestRefused{
    7031, Severity::kInfo, "request_refused",
    "This instance ended a request with a response of its own, for the given "
    "reason."};
inline constexpr LogEvent kAttemptFailed{
    7032, Severity::kWarning, "attempt_failed",
    "A backend server could not be reached, refused a request, or did not "
    "return a complete response."};
inline constexpr LogEvent kRequestEnded{
    7033, Severity::kInfo, "request_ended",
    "A request ended: the backend server's response was forwarded, completely "
    "or in part, or the caller disconnected."};
inline constexpr LogEvent kPoisonPartFound{
    7034, Severity::kWarning, "poison_part_found",
    "Engines crashed one after the other while they answered requests with a "
    "part of the prompt; requests with the part are refused."};
inline constexpr LogEvent kStreamResumed{
    7035, Severity::kInfo, "stream_resumed",
    "A caller resumes a stream. It goes on only at servers of the software "
    "version that began it, and is refused if that is unknown."};
inline constexpr LogEvent kRequestRelayed{
    7036, Severity::kInfo, "request_relayed",
    "This instance reaches no backend server and sends the request to another "
    "instance, which sends it to a backend server."};
inline constexpr LogEvent kServersUnreachable{
    7037, Severity::kWarning, "servers_unreachable",
    "This instance reaches no backend server; its requests go through other "
    "instances, if any reaches one."};
inline constexpr LogEvent kServersReachable{
    7038, Severity::kInfo, "servers_reachable",
    "This instance reaches backend servers again and sends them its requests "
    "itself."};
inline constexpr LogEvent kPoolOverloaded{
    7050, Severity::kWarning, "pool_overloaded",
    "The demand on a pool exceeds its capacity, both in servers; this instance "
    "refuses requests of the lowest admitted tier in part, and all of less "
    "urgent tiers."};
inline constexpr LogEvent kPoolRecovered{
    7051, Severity::kInfo, "pool_recovered",
    "The demand on a pool fits its capacity again."};
inline constexpr LogEvent kLeaseTaken{
    7040, Severity::kInfo, "duty_lease_taken",
    "This instance acquired the duty lease and now reports usage and orders "
    "backend servers."};
inline constexpr LogEvent kLeaseLost{
    7041, Severity::kWarning, "duty_lease_lost",
    "This instance did not renew the duty lease in time, or another instance "
    "holds it; it sends no more reports and orders."};
inline constexpr LogEvent kUsageReported{
    7042, Severity::kInfo, "usage_reported",
    "The usage report of one window was accepted."};
inline constexpr LogEvent kUsageNotReported{
    7043, Severity::kWarning, "usage_not_reported",
    "The platform did not accept a usage report; the same report is sent "
    "again."};
inline constexpr LogEvent kBackendsOrdered{
    7044, Severity::kInfo, "backends_ordered",
    "Backend servers of a pool and zone were ordered or returned."};
inline constexpr LogEvent kOrderFailed{
    7045, Severity::kWarning, "order_failed",
    "An order for backend servers failed; other zones are tried."};
inline constexpr LogEvent kStoreRestored{
    7046, Severity::kWarning, "store_restored",
    "The store came back from an older copy; what instances wrote since the "
    "copy is gone. The duty lease is acquired anew, with a higher token."};
inline constexpr LogEvent kMemoryStateChanged{
    7060, Severity::kWarning, "caller_memory_state_changed",
    "The memory that callers make the process hold became scarce (new requests "
    "are refused), exhausted (connections are closed) or normal again."};
// All events of this library, in the order of the catalogue.
inline constexpr std::array kGatewayEvents{
    kStarted,          kStopRequested,     kStopped,
    kSettingsReloaded, kSettingsRefused,   kConfigApplied,
    kConfigUnreadable, kStoreLost,         kStoreRegained,
    kHistoryLost,      kStorePollFailed,   kEvacuationBegan,
    kEvacuationEnded,  kTableReadDropped,  kTableRestored,
    kBackendListed,    kBackendGone,       kBackendUnreadable,
    kBackendLeaving,   kBackendPaused,     kPoolBrittle,
    kMemberUnreadable, kMemberListed,      kMemberGone,
    kPeerRowsFailed,   kRequestPlaced,     kRequestRefused,
    kAttemptFailed,    kRequestEnded,      kPoisonPartFound,
    kStreamResumed,    kRequestRelayed,    kServersUnreachable,
    kServersReachable, kLeaseTaken,        kLeaseLost,
    kUsageReported,    kUsageNotReported,  kBackendsOrdered,
    kOrderFailed,      kStoreRestored,     kPoolOverloaded,
    kPoolRecovered,    kMemoryStateChanged};

}  // namespace bamboomount::gateway_events

#endif  // GATEWAY_EVENTS_H_
