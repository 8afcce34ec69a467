#ifndef GATEWAY_CONTROL_HTTP_CHANNEL_H_
#define GATEWAY_CONTROL_HTTP_CHANNEL_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// A request to an HTTP service.
struct HttpCall {
  http::verb method = http::verb::get;
  std::string target;
  // JSON; empty if the request has no body.
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  // Time in which the response must begin. One that has begun may take longer
  // while its bytes arrive, see HttpChannel.
  Millis timeout{1500};
  Millis connect_timeout{700};
};

// The outcome of an HttpCall.
struct HttpResponse {
  // HTTP status code; 0 if no response was received.
  unsigned status = 0;
  http::fields fields;
  std::string body;
  // When the request was sent.
  Instant sent;
  // The service may have acted on the request. Meaningful if no response was
  // received.
  bool may_have_run = false;
  // Why no response was received; empty if one was.
  std::string failure;
  // Bytes of an incomplete response that arrived before the call failed.
  std::size_t received_bytes = 0;

  bool answered() const { return status != 0; }
};

// Sends calls to one HTTP service, one after the other, over one persistent
// connection. A call that gets no response in time closes the connection, since
// a late response could otherwise be mistaken for that of a later call.
//
// The time for a response grows with the bytes that arrive, because a limit for
// the whole transfer would end every transfer that is too large for the link,
// and each repetition would start from the first byte. A response still fails
// if it stalls or if it arrives more slowly than a sound link delivers it.
//
// Not thread-safe. Destroying the channel drops outstanding calls without their
// callbacks.
class HttpChannel {
 public:
  // Longest time without a further byte of a response that has begun.
  static constexpr Millis kStallTimeout{600};
  // Slowest rate at which a response may arrive.
  static constexpr std::size_t kMinBytesPerMilli = 64;

  using Callback = std::function<void(HttpResponse)>;

  HttpChannel(asio::io_context& context, std::string address);
  ~HttpChannel();
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;

  void Call(HttpCall call, Callback done);

 private:
  class Connection;
  struct QueuedCall {
    HttpCall call;
    Callback done;
  };

  void StartNext();
  void OnResponse(const std::shared_ptr<Connection>& connection,
                  HttpResponse response);

  asio::io_context& context_;
  const std::string address_;
  std::deque<QueuedCall> queue_;
  std::shared_ptr<Connection> connection_;
  bool busy_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_HTTP_CHANNEL_H_
