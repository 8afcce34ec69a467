#ifndef ROUTER_EVENTS_H_
#define ROUTER_EVENTS_H_

#include <array>

#include "telemetry/telemetry.h"

namespace bamboomount {

inline constexpr LogEvent kRouterListening{
    5000, Severity::kInfo, "router_listening",
    "The router accepts connections of callers. No action."};
inline constexpr LogEvent kRequestFinished{
    5001, Severity::kInfo, "request_finished",
    "One request ended with the given status and time. No action."};
inline constexpr LogEvent kBackendAttemptFailed{
    5002, Severity::kWarning, "backend_attempt_failed",
    "A backend server failed a request. Check that server if it repeats."};
inline constexpr LogEvent kStreamInterrupted{
    5003, Severity::kError, "stream_interrupted",
    "A stream ended with an error event because no backend server could "
    "resume it or because the request was cancelled. Check the backend "
    "servers of the pool."};
inline constexpr LogEvent kForeignAnswer{
    5004, Severity::kError, "foreign_answer",
    "A backend server responded with the id of another request; the response "
    "was discarded. Check that server."};
inline constexpr LogEvent kDrainStarted{
    5005, Severity::kInfo, "drain_started",
    "A graceful shutdown has started; the router is no longer listed in "
    "address replies. No action."};
inline constexpr LogEvent kDrainFinished{
    5006, Severity::kInfo, "drain_finished",
    "All running requests have ended. No action."};
inline constexpr LogEvent kClaimRepairPending{
    5007, Severity::kWarning, "claim_repair_pending",
    "A claim on an idempotency key could not be updated because the store does "
    "not respond or is too slow; the update is retried. Check the platform's "
    "table service."};
inline constexpr LogEvent kAcceptFailed{
    5008, Severity::kError, "accept_failed",
    "A connection could not be accepted. Check the limit of open files."};

inline constexpr std::array kRouterEvents{
    kRouterListening,   kRequestFinished,    kBackendAttemptFailed,
    kStreamInterrupted, kForeignAnswer,      kDrainStarted,
    kDrainFinished,     kClaimRepairPending, kAcceptFailed};

}  // namespace bamboomount

#endif  // ROUTER_EVENTS_H_
