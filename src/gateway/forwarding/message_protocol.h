#ifndef GATEWAY_FORWARDING_MESSAGE_PROTOCOL_H_
#define GATEWAY_FORWARDING_MESSAGE_PROTOCOL_H_

#include <optional>
#include <string>

#include "base/base.h"
#include "gateway/forwarding/prompt_shape.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// What a caller's header fields say.
struct CallerHead {
  RequestId id;
  // How long the caller waits for the answer.
  std::optional<Millis> time_limit;
  // The customer's key; empty if there is none.
  std::string key;
  PromptShape prompt;
  // The caller resumes a stream after this event.
  std::string last_event_id;
};

// Rank of a request, 0 first, among `levels` ranks.
struct Urgency {
  Tier rank;
  int levels = 1;
};

// What an instance adds to a request for a backend server.
struct ForwardingHead {
  Millis time_left{0};
  BackendId server;
  // Empty on routes open to all.
  CustomerId customer;
  // Set for model engines.
  std::optional<Urgency> urgency;
  // "ip:port" of another engine that holds shared parts of the prompt, for the
  // server to copy; empty if it is to read them itself.
  std::string copy_prefix_from;
  // Continue the stream after this event.
  std::string resume_after;
};

// What the header fields of a backend server's reply say.
struct ReplyHead {
  unsigned status = 0;
  RequestId request_id;
  // The server promises that it did not and will not run the request.
  bool not_executed = false;
  // The reply carries the server's seal, which callers check.
  bool sealed = false;
  std::optional<Millis> retry_after;
  // How long the server keeps the connection open without a request.
  std::optional<Millis> idle_timeout;
};

// How the facts above stand in HTTP header fields. The implementation knows
// the names; the gateway does not.
class MessageProtocol {
 public:
  virtual ~MessageProtocol() = default;

  // Fails with kBadRequest, not run, if a field cannot be read.
  virtual Result<CallerHead> DecodeCallerHead(
      const http::fields& fields) const = 0;
  // Removes what callers may not tell backend servers and what concerns only
  // one connection, and adds `head`.
  virtual void EncodeForwardingHead(const ForwardingHead& head,
                                    http::fields& fields) const = 0;
  virtual ReplyHead DecodeReplyHead(
      const http::response_header<>& header) const = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_MESSAGE_PROTOCOL_H_
