#ifndef ROUTER_INTERNAL_CHAT_PLAN_H_
#define ROUTER_INTERNAL_CHAT_PLAN_H_

#include <memory>
#include <optional>
#include <string>

#include "base/base.h"
#include "config/config.h"
#include "router/internal/caller_request.h"

namespace bamboomount {

// A chat request after validation against the configuration.
struct ChatPlan {
  std::shared_ptr<const ServiceConfig> config;
  PoolRule pool;
  ClassRule class_rule;
  // Body of the request to the engine.
  std::string body;
  bool streamed = false;
  std::optional<Tokens> max_output_tokens;
  // Hash of the leading bytes of the prompt, for prefix affinity.
  std::uint64_t prefix_hash = 0;
};

// Fails with kUnknownModel, or with kBadRequest if the body is invalid or the
// customer may not use the service class.
Result<ChatPlan> MakeChatPlan(const CallerRequest& request,
                              std::shared_ptr<const ServiceConfig> config);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_CHAT_PLAN_H_
