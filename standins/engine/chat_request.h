#ifndef ENGINE_CHAT_REQUEST_H_
#define ENGINE_CHAT_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "support/http_message.h"

namespace standin {

// The fields of a chat completion request that the engine uses.
struct ChatRequest {
  std::string model;
  // Contents of all messages, joined by line feeds.
  std::string prompt;
  // Empty if the request sets no limit.
  std::optional<std::int64_t> max_tokens;
  bool stream = false;
  std::string request_id;
  // Value of X-Priority; lower tiers are served first.
  int tier = 0;
  // Tokens that the caller already has; generation starts after them.
  std::int64_t resume_offset = 0;
  // Value of X-Expected-Engine-Version; empty if any version may answer.
  std::string expected_version;
};

// Parses the body and headers of `request`. Returns nothing if the body is
// malformed.
std::optional<ChatRequest> ParseChatRequest(const HttpRequest& request);

}  // namespace standin

#endif  // ENGINE_CHAT_REQUEST_H_
