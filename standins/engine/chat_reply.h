#ifndef ENGINE_CHAT_REPLY_H_
#define ENGINE_CHAT_REPLY_H_

#include <cstdint>
#include <string>

#include "engine/chat_request.h"

namespace standin {

// Server-sent event with one token. "sent_us" is CLOCK_MONOTONIC in
// microseconds, so that a load tool on the same machine can measure the time
// that passing the token on takes.
std::string TokenEvent(const ChatRequest& chat, std::int64_t index);

// Last chunk, with finish reason and usage, and the [DONE] event.
std::string FinalEvents(const ChatRequest& chat, std::int64_t total_tokens);

// The body of a whole answer.
std::string CompletionBody(const ChatRequest& chat, std::int64_t total_tokens);

}  // namespace standin

#endif  // ENGINE_CHAT_REPLY_H_
