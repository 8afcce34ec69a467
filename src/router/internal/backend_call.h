#ifndef ROUTER_INTERNAL_BACKEND_CALL_H_
#define ROUTER_INTERNAL_BACKEND_CALL_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "router/internal/asio.h"
#include "router/internal/running_request.h"

namespace bamboomount {

using BackendRequest = http::request<http::string_body>;

// Status line and the header fields that the router looks at.
struct BackendResponseHead {
  int status = 0;
  std::string content_type;
  // Value of X-Request-Id; empty if the backend server sent none.
  std::string request_id;
};

// One exchange with a backend server on a connection of its own. A connection
// is never reused, so a late answer to an earlier request cannot be taken for
// the answer to this one. Errors carry the verdict: kNotRun until the first
// byte of the request is handed to the connection, kMayHaveRun from then on.
// Cancelling the request interrupts the exchange.
class BackendCall {
 public:
  explicit BackendCall(RunningRequest& request);
  ~BackendCall();
  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;

  // `address` is "ip:port".
  asio::awaitable<Result<void>> Connect(const std::string& address,
                                        Millis timeout);
  asio::awaitable<Result<void>> Send(const BackendRequest& request,
                                     Millis timeout);
  asio::awaitable<Result<BackendResponseHead>> ReadHead(Millis timeout);
  // The next bytes of the body; empty at its end. The view is valid until the
  // next call. A connection that closes before the end is an error.
  asio::awaitable<Result<std::optional<std::string_view>>> ReadSome(
      Millis timeout);
  // The rest of the body, at most `limit` bytes.
  asio::awaitable<Result<std::string>> ReadAll(std::size_t limit,
                                               Millis timeout);

 private:
  Error MakeFailure(const std::string& operation,
                    const error_code& error) const;

  RunningRequest& request_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::response_parser<http::buffer_body> parser_;
  std::string chunk_;
  RunVerdict verdict_ = RunVerdict::kNotRun;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_BACKEND_CALL_H_
