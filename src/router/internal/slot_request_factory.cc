#include "router/internal/slot_request_factory.h"

namespace bamboomount {
namespace {

// Rough size of a token in the prompt, in bytes; the engine's own count
// replaces it in usage figures where it is known.
constexpr std::size_t kEstimatedBytesPerToken = 4;

}  // namespace

SlotRequest MakeSlotRequest(const CallerRequest& request,
                            const ServiceConfig& config,
                            const ClassRule& class_rule,
                            const ZoneId& entry_zone,
                            int attempt) {
  SlotRequest slot;
  slot.request = RequestId(request.id.value() + "." + std::to_string(attempt));
  slot.class_id = class_rule.class_id;
  slot.tier = class_rule.tier;
  slot.queue_limit = class_rule.queue_limit;
  slot.first_token_target = class_rule.first_token_target;
  slot.prompt_tokens = Tokens(static_cast<std::int64_t>(
      request.http.body().size() / kEstimatedBytesPerToken));
  slot.entry_zone = entry_zone;
  if (!request.identity)
    return slot;
  slot.customer = request.identity->customer;
  const CustomerRule* customer = config.FindCustomer(slot.customer);
  if (customer != nullptr)
    slot.share = customer->share;
  return slot;
}

}  // namespace bamboomount
