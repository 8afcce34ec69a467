#ifndef SUPPORT_CHAT_CLIENT_H_
#define SUPPORT_CHAT_CLIENT_H_

#include <functional>
#include <string>

#include "support/http_client.h"

namespace bamboomount::support {

struct ChatParameters {
  std::string model = "stand-in";
  std::string key;
  std::string prompt;
  int max_tokens = 8;
  bool stream = true;
  // More headers than Authorization.
  HeaderList headers;
};

// What a caller received. The response is whole if `done` and `complete`.
struct ChatReply {
  int status = 0;
  std::string request_id;
  // Text of all tokens, in order of arrival.
  std::string content;
  int tokens = 0;
  std::string finish_reason;
  // Whether the [DONE] event came.
  bool done = false;
  // Data of an error event, or the body of a refusal.
  std::string error;
  // Whether HTTP ended correctly.
  bool complete = false;

  // The code in `error`, for example "unknown_key".
  std::string error_code() const;
  // The "ran" statement in `error`.
  std::string ran() const;
};

ClientRequest ToRequest(const ChatParameters& parameters);

// Asks `parameters` at the router `address`. `on_token` runs after each token
// of a streamed response with the number of tokens so far.
ChatReply SendChatRequest(const std::string& address,
                          const ChatParameters& parameters,
                          const std::function<void(int)>& on_token = {});

// The "code" or "ran" member of an error body, empty if it is missing.
std::string ErrorMember(const std::string& body, const std::string& member);

}  // namespace bamboomount::support

#endif  // SUPPORT_CHAT_CLIENT_H_
