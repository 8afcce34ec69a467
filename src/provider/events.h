#ifndef PROVIDER_EVENTS_H_
#define PROVIDER_EVENTS_H_

#include <array>

#include "telemetry/log_event.h"

// Log events 4100 to 4199: usage recording on routers.
namespace bamboomount::events {

inline constexpr LogEvent kUsageLate{
    4100, Severity::kInfo, "usage_late",
    "A usage window closed before this router had written all its usage; the "
    "rest is counted in a later window. Frequent occurrences indicate a slow "
    "table service or clock skew between instances."};
inline constexpr LogEvent kUsageAmbiguous{
    4101, Severity::kError, "usage_ambiguous",
    "The outcome of a usage write is unknown and its row is gone, so the usage "
    "is assumed to be reported. The customers' totals may be too low."};
inline constexpr LogEvent kUsageRowMalformed{
    4102, Severity::kError, "usage_row_malformed",
    "This router's own usage row could not be parsed."};

// All events of this library, for the event catalogue.
inline constexpr std::array kProviderEvents{kUsageLate, kUsageAmbiguous,
                                            kUsageRowMalformed};

}  // namespace bamboomount::events

#endif  // PROVIDER_EVENTS_H_
