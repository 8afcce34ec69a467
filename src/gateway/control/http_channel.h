#ifndef GATEWAY_CONTROL_HTTP_CHANNEL_H_
#define GATEWAY_CONTROL_HTTP_CHANNEL_H_

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

// One call to an HTTP service.
struct HttpCall {
  http::verb method = http::verb::get;
  std::string target;
  // JSON; empty if there is none.
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  Millis timeout{1500};
  Millis connect_timeout{700};
};

// How a call ended.
struct HttpResponse {
  // 0 if no response came.
  unsigned status = 0;
  std::string body;
  // When the call was sent.
  Instant sent;
  // Without an response: the service may have acted on the call.
  bool may_have_run = false;
  // Why no response came.
  std::string failure;

  bool answered() const { return status != 0; }
};

// Calls one service over one kept connection, one call after the other. A call
// that gets no response in time ends its connection: the response could
// otherwise be taken for that of a later call.
class HttpChannel {
 public:
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
