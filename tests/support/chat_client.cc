#include "support/chat_client.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace bamboomount::support {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kErrorPrefix = "event: error\ndata: ";

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

// Adds the choice of a chunk to `reply`. Returns whether the chunk had a token.
bool AppendChunk(const std::string& text, ChatReply& reply) {
  const Json chunk = Json::parse(text, nullptr, false);
  if (!chunk.is_object() || chunk.value("choices", Json::array()).empty())
    return false;
  const Json& choice = chunk["choices"][0];
  if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
    reply.finish_reason = choice["finish_reason"].get<std::string>();
  if (!choice.contains("delta") || !choice["delta"].contains("content"))
    return false;
  reply.content += choice["delta"]["content"].get<std::string>();
  ++reply.tokens;
  return true;
}

void ReadStream(HttpClient& client,
                ChatReply& reply,
                const std::function<void(int)>& on_token) {
  while (const auto event = client.ReadEvent()) {
    if (StartsWith(*event, kErrorPrefix)) {
      reply.error = event->substr(kErrorPrefix.size());
    } else if (*event == "data: [DONE]") {
      reply.done = true;
    } else if (StartsWith(*event, kDataPrefix)) {
      if (AppendChunk(event->substr(kDataPrefix.size()), reply) && on_token)
        on_token(reply.tokens);
    }
  }
  reply.complete = client.ended_cleanly();
}

void ParseCompletion(const ClientResponse& response, ChatReply& reply) {
  reply.complete = response.complete;
  const Json body = Json::parse(response.body, nullptr, false);
  if (reply.status != 200 || !body.is_object() || !body.contains("choices")) {
    reply.error = response.body;
    return;
  }
  const Json& choice = body["choices"][0];
  reply.content = choice["message"]["content"].get<std::string>();
  reply.finish_reason = choice.value("finish_reason", "");
  reply.done = true;
}

}  // namespace

std::string ErrorMember(const std::string& body, const std::string& member) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("error") ||
      !json["error"].is_object())
    return "";
  return json["error"].value(member, "");
}

std::string ChatReply::error_code() const {
  return ErrorMember(error, "code");
}

std::string ChatReply::ran() const {
  return ErrorMember(error, "ran");
}

ClientRequest ToRequest(const ChatParameters& parameters) {
  ClientRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = parameters.headers;
  request.headers.emplace_back("Content-Type", "application/json");
  if (!parameters.key.empty())
    request.headers.emplace_back("Authorization", "Bearer " + parameters.key);
  const Json message = {{"role", "user"}, {"content", parameters.prompt}};
  request.body = Json({{"model", parameters.model},
                       {"stream", parameters.stream},
                       {"max_tokens", parameters.max_tokens},
                       {"messages", Json::array({message})}})
                     .dump();
  return request;
}

ChatReply SendChatRequest(const std::string& address,
                          const ChatParameters& parameters,
                          const std::function<void(int)>& on_token) {
  ChatReply reply;
  try {
    HttpClient client(address);
    client.Send(ToRequest(parameters));
    if (!parameters.stream) {
      const ClientResponse response = client.ReadResponse();
      reply.status = response.status;
      reply.request_id = response.header("X-Request-Id");
      ParseCompletion(response, reply);
      return reply;
    }
    const ClientResponse head = client.ReadHead();
    reply.status = head.status;
    reply.request_id = head.header("X-Request-Id");
    if (head.header("Content-Type").find("event-stream") != std::string::npos) {
      ReadStream(client, reply, on_token);
      return reply;
    }
    reply.error = client.ReadRest();
    reply.complete = client.ended_cleanly();
  } catch (const std::runtime_error&) {
    // The connection failed; the reply keeps status 0.
  }
  return reply;
}

}  // namespace bamboomount::support
