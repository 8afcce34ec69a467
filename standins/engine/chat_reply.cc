#include "engine/chat_reply.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "engine/prefix_cache.h"
#include "support/answer.h"
#include "support/json_text.h"

namespace standin {
namespace {

std::int64_t MonotonicMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

const char* FinishReason(const ChatRequest& chat) {
  return chat.max_tokens ? "length" : "stop";
}

nlohmann::json Envelope(const ChatRequest& chat, const char* object) {
  return {{"id", "chatcmpl-" + chat.request_id},
          {"object", object},
          {"created", MonotonicMicros() / 1000000},
          {"model", chat.model}};
}

nlohmann::json Usage(const ChatRequest& chat, std::int64_t total_tokens) {
  const std::int64_t prompt = CountWords(chat.prompt);
  return {{"prompt_tokens", prompt},
          {"completion_tokens", total_tokens},
          {"total_tokens", prompt + total_tokens}};
}

std::string Event(const nlohmann::json& data) {
  return "data: " + ToText(data) + "\n\n";
}

}  // namespace

std::string TokenEvent(const ChatRequest& chat, std::int64_t index) {
  nlohmann::json delta = {{"content", AnswerToken(chat.prompt, index)}};
  if (index == 0) {
    delta["role"] = "assistant";
  }
  nlohmann::json chunk = Envelope(chat, "chat.completion.chunk");
  chunk["choices"] = nlohmann::json::array(
      {{{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}}});
  chunk["sent_us"] = MonotonicMicros();
  return Event(chunk);
}

std::string FinalEvents(const ChatRequest& chat, std::int64_t total_tokens) {
  nlohmann::json chunk = Envelope(chat, "chat.completion.chunk");
  chunk["choices"] =
      nlohmann::json::array({{{"index", 0},
                              {"delta", nlohmann::json::object()},
                              {"finish_reason", FinishReason(chat)}}});
  chunk["usage"] = Usage(chat, total_tokens);
  return Event(chunk) + "data: [DONE]\n\n";
}

std::string CompletionBody(const ChatRequest& chat, std::int64_t total_tokens) {
  nlohmann::json answer = Envelope(chat, "chat.completion");
  answer["choices"] = nlohmann::json::array(
      {{{"index", 0},
        {"message",
         {{"role", "assistant"},
          {"content", ExpectedAnswer(chat.prompt, total_tokens)}}},
        {"finish_reason", FinishReason(chat)}}});
  answer["usage"] = Usage(chat, total_tokens);
  return ToText(answer);
}

}  // namespace standin
