#ifndef ADMIN_EVENTS_H_
#define ADMIN_EVENTS_H_

#include <array>

#include "telemetry/log_event.h"

namespace bamboomount {

// Log events of the library admin: 6000 to 6999.
inline constexpr LogEvent kAdminListening{
    6000, Severity::kInfo, "admin_listening",
    "The operators' interface accepts connections."};
inline constexpr LogEvent kAdminRefused{
    6001, Severity::kWarning, "admin_refused",
    "A request came without the admin token or with a wrong one. If it was no "
    "slip, replace the token."};
inline constexpr LogEvent kAdminFailed{
    6002, Severity::kError, "admin_failed",
    "A request of an operator failed inside the instance."};
inline constexpr LogEvent kOperatorAction{
    6010, Severity::kInfo, "operator_action",
    "An operator asked for a change; the fields say who, what and the result."};
inline constexpr LogEvent kEmergencyWithdrawal{
    6011, Severity::kWarning, "emergency_withdrawal",
    "A key was withdrawn while the store did not answer. It is written to the "
    "log when the store returns."};
inline constexpr LogEvent kEmergencyWithdrawalLogged{
    6012, Severity::kInfo, "emergency_withdrawal_logged",
    "An emergency withdrawal is in the log now."};

// All events of this library, for the catalogue.
inline constexpr std::array kAdminEvents{
    kAdminListening, kAdminRefused,        kAdminFailed,
    kOperatorAction, kEmergencyWithdrawal, kEmergencyWithdrawalLogged};

}  // namespace bamboomount

#endif  // ADMIN_EVENTS_H_
