#ifndef ROUTER_INTERNAL_ERROR_REPLY_H_
#define ROUTER_INTERNAL_ERROR_REPLY_H_

#include <string>

#include "base/base.h"
#include "router/internal/caller_reply.h"

namespace bamboomount {

// {"error":{"code","message","ran"}} as text.
std::string ErrorJson(const Error& error);

// The HTTP reply for a refusal, with Retry-After in whole seconds where known.
BufferedReply ErrorReply(const Error& error);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_ERROR_REPLY_H_
