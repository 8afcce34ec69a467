#ifndef ENGINE_CHAT_REPLY_H_
#define ENGINE_CHAT_REPLY_H_

#include <cstdint>
#include <string>

#include "engine/chat_request.h"

namespace standin {

// Returns the server-sent event for token `index` (from 0) of the completion.
// Its "sent_us" field is CLOCK_MONOTONIC in microseconds, so that a load tool
// on the same machine can measure how long the token takes to arrive.
std::string TokenEvent(const ChatRequest& chat, std::int64_t index);

// Returns the events that end a stream of `total_tokens` tokens: the last
// chunk, with finish reason and usage, and the [DONE] event.
std::string FinalEvents(const ChatRequest& chat, std::int64_t total_tokens);

// Returns the JSON body of a completion of `total_tokens` tokens that is not
// streamed.
std::string CompletionBody(const ChatRequest& chat, std::int64_t total_tokens);

}  // namespace standin

#endif  // ENGINE_CHAT_REPLY_H_
