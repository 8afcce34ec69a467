#ifndef SUPPORT_CHAT_CLIENT_H_
#define SUPPORT_CHAT_CLIENT_H_

#include <functional>
#include <string>

#include "support/http_client.h"

namespace bamboomount::support {

// Parameters of a chat completion request.
struct ChatParameters {
  std::string model = "stand-in";
  // API key; without one, no Authorization header is sent.
  std::string key;
  std::string prompt;
  int max_tokens = 8;
  bool stream = true;
  // Headers in addition to Authorization and Content-Type.
  HeaderList headers;
};

// What a caller received. The response is intact if both `done` and `complete`
// are set.
struct ChatReply {
  // HTTP status code; 0 if no response arrived.
  int status = 0;
  std::string request_id;
  // Concatenated text of all tokens, in order of arrival.
  std::string content;
  int tokens = 0;
  std::string finish_reason;
  // Whether the [DONE] event, or a response body with a completion, arrived.
  bool done = false;
  // Data of an error event, or the body of an error response.
  std::string error;
  // Whether the HTTP message ended correctly.
  bool complete = false;

  // Member "code" of `error`, for example "unknown_key"; empty if missing.
  std::string error_code() const;
  // Member "ran" of `error`, which says whether the request was executed, for
  // example "unknown"; empty if missing.
  std::string ran() const;
};

// Returns the HTTP request for `parameters`.
ClientRequest ToRequest(const ChatParameters& parameters);

// Sends a chat request to the router at `address` ("ip:port") and waits for the
// response. After each token of a stream, `on_token` is called with the number
// of tokens so far. Does not throw if the connection fails.
ChatReply SendChatRequest(const std::string& address,
                          const ChatParameters& parameters,
                          const std::function<void(int)>& on_token = {});

// Returns the string `member` ("code" or "ran") of the "error" object in
// `body`; empty if it is missing.
std::string ErrorMember(const std::string& body, const std::string& member);

}  // namespace bamboomount::support

#endif  // SUPPORT_CHAT_CLIENT_H_
