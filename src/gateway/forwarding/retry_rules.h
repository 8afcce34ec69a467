#ifndef GATEWAY_FORWARDING_RETRY_RULES_H_
#define GATEWAY_FORWARDING_RETRY_RULES_H_

#include "gateway/traffic/route.h"

namespace bamboomount {

// Outcomes of the attempts of one request so far.
struct AttemptHistory {
  // Attempts in which the backend server may have run the request.
  int possible_runs = 0;
  // Attempts for which the backend server guaranteed that the request did not
  // run.
  int refusals = 0;
  // Attempts in which no connection could be set up; nothing was sent.
  int failed_connects = 0;
  // A part of the response has been forwarded to the caller.
  bool reply_started = false;
};

// Whether the request may be sent to another backend server. A request that
// must not run twice is sent again only if no attempt can have run it.
bool MayRetry(const Route& route, const AttemptHistory& history);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_RETRY_RULES_H_
