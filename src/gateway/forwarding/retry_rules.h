#ifndef GATEWAY_FORWARDING_RETRY_RULES_H_
#define GATEWAY_FORWARDING_RETRY_RULES_H_

#include "gateway/traffic/route.h"

namespace bamboomount {

// How the sends of one request ended so far.
struct AttemptHistory {
  // Sends to backend servers that may have run the request.
  int possible_runs = 0;
  // Sends that the backend server promised not to have run.
  int refusals = 0;
  // Connections that could not be set up; nothing was sent.
  int failed_connects = 0;
  // A part of the answer was passed on to the caller.
  bool reply_started = false;
};

// Whether the request may be sent to another backend server. A request that
// must not run twice is sent again only if no send can have run it.
bool MayRetry(const Route& route, const AttemptHistory& history);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_RETRY_RULES_H_
