#ifndef PROVIDER_EVENTS_H_
#define PROVIDER_EVENTS_H_

#include <array>

#include "telemetry/log_event.h"

// Log events 4100 to 4199.
namespace bamboomount::events {

inline constexpr LogEvent kUsageLate{
    4100, Severity::kInfo, "usage_late",
    "A usage window closed before this router had written all of it; the rest "
    "goes to a later window. Frequent ones mean a slow table service or clocks "
    "that differ."};
inline constexpr LogEvent kUsageAmbiguous{
    4101, Severity::kError, "usage_ambiguous",
    "A write of usage had an unknown outcome and its row is gone, so it counts "
    "as reported. The customers' figures may be too low."};
inline constexpr LogEvent kUsageRowMalformed{
    4102, Severity::kError, "usage_row_malformed",
    "This router's own usage row could not be read."};

// All events of this library, for the catalogue.
inline constexpr std::array kProviderEvents{kUsageLate, kUsageAmbiguous,
                                            kUsageRowMalformed};

}  // namespace bamboomount::events

#endif  // PROVIDER_EVENTS_H_
