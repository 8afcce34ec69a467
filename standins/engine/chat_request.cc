#include "engine/chat_request.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace standin {
namespace {

// Tier of requests without an X-Priority header. Lower tiers are served first,
// so these requests come last.
constexpr int kDefaultTier = 1000;

template <typename Number>
Number ParseNumberOr(const std::string& text, Number fallback) {
  Number value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

std::optional<ChatRequest> ParseChatRequest(const HttpRequest& request) {
  const nlohmann::json body =
      nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("messages") ||
      !body["messages"].is_array()) {
    return std::nullopt;
  }
  ChatRequest chat;
  try {
    for (const auto& message : body["messages"]) {
      if (!chat.prompt.empty()) {
        chat.prompt += "\n";
      }
      chat.prompt += message.at("content").get<std::string>();
    }
    chat.model = body.value("model", "");
    chat.stream = body.value("stream", false);
    if (body.contains("max_tokens")) {
      chat.max_tokens = body["max_tokens"].get<std::int64_t>();
    }
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  chat.request_id = request.header("X-Request-Id");
  chat.tier = ParseNumberOr(request.header("X-Priority"), kDefaultTier);
  chat.resume_offset =
      ParseNumberOr(request.header("X-Resume-Offset"), std::int64_t{0});
  chat.expected_version = request.header("X-Expected-Engine-Version");
  return chat;
}

}  // namespace standin
