#ifndef GATEWAY_FORWARDING_FLEET_ADMISSION_H_
#define GATEWAY_FORWARDING_FLEET_ADMISSION_H_

#include <optional>

#include "gateway/forwarding/dispatcher.h"
#include "gateway/forwarding/request_admission.h"

namespace bamboomount {

// What the predicted cost of a request for `pool` depends on.
CostQuery CostQueryFor(const PromptShape& prompt,
                       const AdmittedRequest& request,
                       const Pool& pool);

// Applies the admission control over all instances to a new request. Returns
// the delay after which the caller should retry, or nothing if the request is
// admitted. Admits everything if the settings do not enable it.
std::optional<Millis> RefuseExcess(Dispatcher& dispatcher,
                                   const CostQuery& cost,
                                   const AdmittedRequest& request,
                                   Millis time_left);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_FLEET_ADMISSION_H_
