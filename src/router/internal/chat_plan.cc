#include "router/internal/chat_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace bamboomount {
namespace {

using Json = nlohmann::json;

// Prompts that share this many leading bytes are expected to share cached
// prefixes in the engine.
constexpr std::size_t kPrefixHashBytes = 1024;

Error BadRequest(std::string message) {
  return {ErrorCode::kBadRequest, RunVerdict::kNotRun, std::move(message), {}};
}

Result<Json> ParseBody(const std::string& body) {
  Json json = Json::parse(body, nullptr, false);
  if (!json.is_object())
    return BadRequest("the body is not a JSON object in UTF-8");
  if (!json.contains("model") || !json["model"].is_string())
    return BadRequest("the body needs a field \"model\"");
  if (!json.contains("messages") || !json["messages"].is_array() ||
      json["messages"].empty())
    return BadRequest("the body needs a non-empty array \"messages\"");
  if (json.contains("stream") && !json["stream"].is_boolean())
    return BadRequest("\"stream\" must be true or false");
  const bool has_max_tokens = json.contains("max_tokens");
  if (has_max_tokens && (!json["max_tokens"].is_number_integer() ||
                         json["max_tokens"].get<std::int64_t>() < 1))
    return BadRequest("\"max_tokens\" must be a positive integer");
  return json;
}

// The class that X-Service-Class names, if the customer may use it; else the
// customer's first class.
Result<ClassRule> SelectServiceClass(const CallerRequest& request,
                                     const ServiceConfig& config) {
  const CustomerRule* customer =
      request.identity ? config.FindCustomer(request.identity->customer)
                       : nullptr;
  if (customer == nullptr || customer->classes.empty())
    return BadRequest("no service class is configured for this customer");
  const std::string class_header = request.Header("X-Service-Class");
  const ClassId requested_class =
      class_header.empty() ? customer->classes.front() : ClassId(class_header);
  const bool allowed =
      std::find(customer->classes.begin(), customer->classes.end(),
                requested_class) != customer->classes.end();
  const ClassRule* rule = allowed ? config.FindClass(requested_class) : nullptr;
  if (rule == nullptr)
    return BadRequest("service class " + requested_class.value() +
                      " is not open to this customer");
  return *rule;
}

}  // namespace

Result<ChatPlan> MakeChatPlan(const CallerRequest& request,
                              std::shared_ptr<const ServiceConfig> config) {
  BOOST_OUTCOME_TRY(json, ParseBody(request.http.body()));
  const std::string model = json["model"].get<std::string>();
  const PoolRule* pool = config->FindModel(model);
  if (pool == nullptr)
    return Error{ErrorCode::kUnknownModel,
                 RunVerdict::kNotRun,
                 "model " + model + " is not served here",
                 {}};
  BOOST_OUTCOME_TRY(class_rule, SelectServiceClass(request, *config));
  ChatPlan plan;
  plan.pool = *pool;
  plan.class_rule = std::move(class_rule);
  plan.streamed = json.value("stream", false);
  if (json.contains("max_tokens"))
    plan.max_output_tokens = Tokens(json["max_tokens"].get<std::int64_t>());
  const std::string prompt = json["messages"].dump();
  plan.prefix_hash =
      XXH3_64bits(prompt.data(), std::min(prompt.size(), kPrefixHashBytes));
  plan.body = json.dump();
  plan.config = std::move(config);
  return plan;
}

}  // namespace bamboomount
