#ifndef GATEWAY_FORWARDING_CALLER_REPLY_H_
#define GATEWAY_FORWARDING_CALLER_REPLY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/base.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// The response to one request of a caller. Used in exactly one of these ways:
// Send; Begin, any number of Write, then Finish or Abort; or Abort alone.
class CallerReply {
 public:
  virtual ~CallerReply() = default;

  // Sends a complete response and sets its Content-Length.
  virtual void Send(http::response<http::string_body> response) = 0;
  // Starts a response whose body follows in pieces. Without `content_length`,
  // the body is sent with chunked encoding.
  virtual void Begin(http::response_header<> head,
                     std::optional<std::uint64_t> content_length) = 0;
  // Queues a piece of the body.
  virtual void Write(std::string piece) = 0;
  // Bytes that are queued and not yet written to the socket.
  virtual std::size_t pending_bytes() const = 0;
  // Calls `drained` once, when few enough bytes are queued that the response
  // can go on.
  virtual void WhenDrained(std::function<void()> drained) = 0;
  // Ends the body normally.
  virtual void Finish() = 0;
  // Closes the connection, so that the caller can tell that the response is
  // incomplete.
  virtual void Abort() = 0;
  // Sets a handler that is called once if the connection closes before the
  // response is complete, other than by Abort. A null `gone` removes it.
  virtual void SetCallerGoneHandler(std::function<void()> gone) = 0;
  // Sets a handler that is called if the response has to end now, because the
  // process stops. A null `end` removes it.
  virtual void SetEndHandler(std::function<void()> end) = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_CALLER_REPLY_H_
