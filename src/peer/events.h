#ifndef PEER_EVENTS_H_
#define PEER_EVENTS_H_

#include <array>

#include "telemetry/log_event.h"

namespace bamboomount::peer_events {

inline constexpr LogEvent kListening{
    3000, Severity::kInfo, "peer_listening",
    "The process accepts messages of peers at this address."};
inline constexpr LogEvent kMessageRefused{
    3001, Severity::kWarning, "peer_message_refused",
    "A peer sent bytes that are not a valid message. Look for a router of "
    "another version, or for an unrelated program that connects to the peer "
    "port."};
inline constexpr LogEvent kPeerDialFailed{
    3002, Severity::kWarning, "peer_dial_failed",
    "No connection to a peer could be set up. Check its peer address."};
inline constexpr LogEvent kPeerJoined{
    3010, Severity::kInfo, "peer_joined",
    "A router joined the roster, or rejoined it after a restart or a removal."};
inline constexpr LogEvent kPeerSuspected{
    3011, Severity::kWarning, "peer_suspected",
    "No newer heartbeat of the router arrived for 3 intervals. Check the "
    "instance if it persists."};
inline constexpr LogEvent kPeerRemoved{
    3012, Severity::kWarning, "peer_removed",
    "No newer heartbeat of the router arrived for 5 intervals. Its slots are "
    "freed and its cells get new owners."};
inline constexpr LogEvent kPeerLeaving{
    3013, Severity::kInfo, "peer_leaving",
    "The router announced a planned stop; its cells get new owners."};
inline constexpr LogEvent kDirectoryUnavailable{
    3014, Severity::kWarning, "peer_directory_unavailable",
    "The platform's list of instances could not be read; the last known list "
    "stays in use."};
inline constexpr LogEvent kChangesMissing{
    3020, Severity::kInfo, "peer_changes_missing",
    "A peer has a higher change sequence; the missing changes are fetched."};
inline constexpr LogEvent kWithdrawalReceived{
    3021, Severity::kWarning, "peer_emergency_withdrawal_received",
    "Emergency withdrawals of keys were received from a peer and applied."};
inline constexpr LogEvent kCellOwned{
    3030, Severity::kInfo, "cell_owned",
    "This router became the owner of a cell and collects the reports of the "
    "other routers."};
inline constexpr LogEvent kCellReportsMissing{
    3031, Severity::kWarning, "cell_reports_missing",
    "Some routers did not report their requests to the new owner of a cell in "
    "time. It grants slots without these reports and adds them when they "
    "arrive."};
inline constexpr LogEvent kCellGivenUp{
    3032, Severity::kInfo, "cell_given_up",
    "This router no longer owns a cell: another router became its owner, or "
    "the configuration no longer contains the cell."};
inline constexpr LogEvent kLocalBudgetUsed{
    3033, Severity::kWarning, "cell_local_budget_used",
    "The owner of a cell does not acknowledge requests, so this router places "
    "them within its own share of the slots. Until the owner responds, "
    "priority order holds only within this router."};

// All events of this library, for the event catalogue.
inline constexpr std::array kPeerEvents{kListening,      kMessageRefused,
                                        kPeerDialFailed, kPeerJoined,
                                        kPeerSuspected,  kPeerRemoved,
                                        kPeerLeaving,    kDirectoryUnavailable,
                                        kChangesMissing, kWithdrawalReceived,
                                        kCellOwned,      kCellReportsMissing,
                                        kCellGivenUp,    kLocalBudgetUsed};

}  // namespace bamboomount::peer_events

#endif  // PEER_EVENTS_H_
