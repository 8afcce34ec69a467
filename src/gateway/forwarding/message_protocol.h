#ifndef GATEWAY_FORWARDING_MESSAGE_PROTOCOL_H_
#define GATEWAY_FORWARDING_MESSAGE_PROTOCOL_H_

#include <optional>
#include <string>

#include "base/base.h"
#include "gateway/forwarding/prompt_shape.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// The decoded header fields of a caller's request.
struct CallerHead {
  RequestId id;
  // How long the caller waits for the response.
  std::optional<Millis> time_limit;
  // The customer's API key; empty if the request has none.
  std::string key;
  PromptShape prompt;
  // Set if the caller resumes a stream: the id of the last event that it
  // received.
  std::string last_event_id;
  // Set if the caller resumes a stream: the id of the request that brought the
  // first event of it.
  RequestId resumed_request;
};

// Rank of a request among `levels` ranks; 0 is the most urgent.
struct Urgency {
  Tier rank;
  int levels = 1;
};

// What an instance adds to the header of a request for a backend server.
struct ForwardingHead {
  Millis time_left{0};
  BackendId server;
  // Empty on routes open to all.
  CustomerId customer;
  // Set for model engines only.
  std::optional<Urgency> urgency;
  // "ip:port" of another engine from which the server copies the shared prefix
  // of the prompt; empty if the server computes it itself.
  std::string copy_prefix_from;
  // Id of the last event that was forwarded, after which the server continues
  // the stream; empty before the first event.
  std::string resume_after;
};

// What an instance adds to the header of a request that another instance sends
// to a backend server.
struct RelayingHead {
  Millis time_left{0};
  // The instance that the caller has sent the request to.
  InstanceId instance;
};

// The decoded header fields of a backend server's response.
struct ReplyHead {
  unsigned status = 0;
  RequestId request_id;
  // The server guarantees that it did not and will not run the request.
  bool not_executed = false;
  // The response carries the server's seal, which callers verify.
  bool sealed = false;
  // The server is about to leave and wants no new requests.
  bool server_leaving = false;
  // The server is brittle: it falls over once it refuses more requests than
  // this in a second for want of room.
  std::optional<int> brittle_rejections;
  // For how long a server that refused the request wants no further ones.
  std::optional<Millis> retry_after;
  // How long the server keeps an idle connection open.
  std::optional<Millis> idle_timeout;
};

// Maps these structures to and from HTTP header fields. Only the implementation
// knows the names of the fields.
class MessageProtocol {
 public:
  virtual ~MessageProtocol() = default;

  // Fails with kBadRequest, marked as not executed, if a field cannot be
  // parsed.
  virtual Result<CallerHead> DecodeCallerHead(
      const http::fields& fields) const = 0;
  // Removes the fields that callers must not send to backend servers and the
  // hop-by-hop fields, and adds `head`.
  virtual void EncodeForwardingHead(const ForwardingHead& head,
                                    http::fields& fields) const = 0;
  // Removes the fields that callers must not send to other instances and the
  // hop-by-hop fields, and adds `head`. The customer's key stays.
  virtual void EncodeRelayingHead(const RelayingHead& head,
                                  http::fields& fields) const = 0;
  // Whether another instance relays the request. Meaningful only for requests
  // that do not come from callers.
  virtual bool IsRelayed(const http::fields& fields) const = 0;
  // Marks the response of this instance's own to a relayed request as the one
  // to request `id`. `not_executed`: the request did not run and will not.
  virtual void EncodeOwnReply(const RequestId& id,
                              bool not_executed,
                              http::fields& fields) const = 0;
  // Fields that are missing or cannot be parsed keep their defaults.
  virtual ReplyHead DecodeReplyHead(
      const http::response_header<>& header) const = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_MESSAGE_PROTOCOL_H_
