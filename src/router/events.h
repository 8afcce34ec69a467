#ifndef ROUTER_EVENTS_H_
#define ROUTER_EVENTS_H_

#include <array>

#include "telemetry/telemetry.h"

namespace bamboomount {

inline constexpr LogEvent kRouterListening{
    5000, Severity::kInfo, "router_listening",
    "The router accepts callers. No action."};
inline constexpr LogEvent kRequestFinished{
    5001, Severity::kInfo, "request_finished",
    "One request ended with the given status and time. No action."};
inline constexpr LogEvent kBackendAttemptFailed{
    5002, Severity::kWarning, "backend_attempt_failed",
    "A backend server failed a request. Check that server if it repeats."};
inline constexpr LogEvent kStreamInterrupted{
    5003, Severity::kError, "stream_interrupted",
    "A stream ended with an error event because no backend server could "
    "resume it. Check the backend servers of the pool."};
inline constexpr LogEvent kForeignAnswer{
    5004, Severity::kError, "foreign_answer",
    "A backend server answered with the id of another request; the answer was "
    "discarded. Check that server."};
inline constexpr LogEvent kDrainStarted{
    5005, Severity::kInfo, "drain_started",
    "The router is leaving: no longer in address answers. No action."};
inline constexpr LogEvent kDrainFinished{
    5006, Severity::kInfo, "drain_finished",
    "All running requests have ended. No action."};
inline constexpr LogEvent kClaimRepairPending{
    5007, Severity::kWarning, "claim_repair_pending",
    "A claim could not be updated because the store does not answer; the "
    "update is repeated. Check the platform's table service."};
inline constexpr LogEvent kAcceptFailed{
    5008, Severity::kError, "accept_failed",
    "A connection could not be accepted. Check the limit of open files."};

inline constexpr std::array kRouterEvents{
    kRouterListening,   kRequestFinished,    kBackendAttemptFailed,
    kStreamInterrupted, kForeignAnswer,      kDrainStarted,
    kDrainFinished,     kClaimRepairPending, kAcceptFailed};

}  // namespace bamboomount

#endif  // ROUTER_EVENTS_H_
