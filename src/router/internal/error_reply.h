#ifndef ROUTER_INTERNAL_ERROR_REPLY_H_
#define ROUTER_INTERNAL_ERROR_REPLY_H_

#include <string>

#include "base/base.h"
#include "router/internal/caller_reply.h"

namespace bamboomount {

// Formats `error` as {"error":{"code","message","ran"}}.
std::string ErrorJson(const Error& error);

// Makes the HTTP reply for a refusal. Retry-After is set in whole seconds, at
// least 1, if error.retry_after is set.
BufferedReply ErrorReply(const Error& error);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_ERROR_REPLY_H_
