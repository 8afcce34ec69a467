#ifndef GATEWAY_FORWARDING_CALLER_REPLY_H_
#define GATEWAY_FORWARDING_CALLER_REPLY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/base.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// Answers one request of a caller. Exactly one of Send, or Begin followed by
// Write and then Finish or Abort, or Abort alone, is used.
class CallerReply {
 public:
  virtual ~CallerReply() = default;

  // Sends a whole answer. The body's length is set here.
  virtual void Send(http::response<http::string_body> response) = 0;
  // Starts an answer whose body follows in pieces.
  virtual void Begin(http::response_header<> head,
                     std::optional<std::uint64_t> content_length) = 0;
  // Queues a piece of the body.
  virtual void Write(std::string piece) = 0;
  // Bytes that the caller has not taken yet.
  virtual std::size_t pending_bytes() const = 0;
  // Calls `drained` once when all queued bytes are sent.
  virtual void WhenDrained(std::function<void()> drained) = 0;
  // Ends the body as complete.
  virtual void Finish() = 0;
  // Closes the connection, so that the answer cannot look complete.
  virtual void Abort() = 0;
  // Calls `gone` once if the caller closes before the answer is complete.
  virtual void SetCallerGoneHandler(std::function<void()> gone) = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_CALLER_REPLY_H_
