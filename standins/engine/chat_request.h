#ifndef ENGINE_CHAT_REQUEST_H_
#define ENGINE_CHAT_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "support/http_message.h"

namespace standin {

// The parts of a chat completion request that the engine uses.
struct ChatRequest {
  std::string model;
  // Contents of all messages, joined by line breaks.
  std::string prompt;
  std::optional<std::int64_t> max_tokens;
  bool stream = false;
  std::string request_id;
  int tier = 0;
  std::int64_t resume_offset = 0;
};

// Empty if the request is malformed.
std::optional<ChatRequest> ParseChatRequest(const HttpRequest& request);

}  // namespace standin

#endif  // ENGINE_CHAT_REQUEST_H_
