#ifndef ADMIN_EVENTS_H_
#define ADMIN_EVENTS_H_

#include <array>

#include "telemetry/log_event.h"

namespace bamboomount {

// Log events of the admin library; numbers 6000 to 6999.
inline constexpr LogEvent kAdminListening{
    6000, Severity::kInfo, "admin_listening",
    "The operators' interface accepts connections."};
inline constexpr LogEvent kAdminRefused{
    6001, Severity::kWarning, "admin_refused",
    "A request had no admin token or a wrong one. Replace the token unless "
    "this was an operator's mistake."};
inline constexpr LogEvent kAdminFailed{
    6002, Severity::kError, "admin_failed",
    "An operator's request failed with an internal error of the instance."};
inline constexpr LogEvent kOperatorAction{
    6010, Severity::kInfo, "operator_action",
    "An operator requested a change; the fields give the author, the action, "
    "its subject and the result."};
inline constexpr LogEvent kEmergencyWithdrawal{
    6011, Severity::kWarning, "emergency_withdrawal",
    "A key was withdrawn without the change log, for example because the store "
    "did not respond. The withdrawal is logged once the store responds."};
inline constexpr LogEvent kEmergencyWithdrawalLogged{
    6012, Severity::kInfo, "emergency_withdrawal_logged",
    "An emergency withdrawal is now in the change log."};

// All events of this library, for the catalogue in docs/EVENTS.md.
inline constexpr std::array kAdminEvents{
    kAdminListening, kAdminRefused,        kAdminFailed,
    kOperatorAction, kEmergencyWithdrawal, kEmergencyWithdrawalLogged};

}  // namespace bamboomount

#endif  // ADMIN_EVENTS_H_
