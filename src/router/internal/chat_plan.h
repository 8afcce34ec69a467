#ifndef ROUTER_INTERNAL_CHAT_PLAN_H_
#define ROUTER_INTERNAL_CHAT_PLAN_H_

#include <memory>
#include <optional>
#include <string>

#include "base/base.h"
#include "config/config.h"
#include "router/internal/caller_request.h"

namespace bamboomount {

// What a chat request asks for, checked against the configuration.
struct ChatPlan {
  std::shared_ptr<const ServiceConfig> config;
  PoolRule pool;
  ClassRule class_rule;
  // The body as the engine gets it.
  std::string body;
  bool streamed = false;
  std::optional<Tokens> max_output_tokens;
  std::uint64_t prefix_hash = 0;
};

// Fails with kBadRequest, kUnknownModel or kUnknownRoute (no class).
Result<ChatPlan> MakeChatPlan(const CallerRequest& request,
                              std::shared_ptr<const ServiceConfig> config);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_CHAT_PLAN_H_
