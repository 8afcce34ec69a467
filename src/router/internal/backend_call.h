#ifndef ROUTER_INTERNAL_BACKEND_CALL_H_
#define ROUTER_INTERNAL_BACKEND_CALL_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "base/bounded_http_reader.h"
#include "router/internal/asio.h"
#include "router/internal/running_request.h"

namespace bamboomount {

using BackendRequest = http::request<http::string_body>;

// Status and evaluated header fields of a backend server's response.
struct BackendResponseHead {
  int status = 0;
  std::string content_type;
  // Value of X-Request-Id; empty if the response has none.
  std::string request_id;
  // Value of X-Engine-Version; empty if the response has none.
  SoftwareVersion engine_version;
};

// One request to a backend server on its own connection. A connection is never
// reused, so that a late response to an earlier request cannot be taken for the
// response to this one. All errors have the code kBackendFailed; their verdict
// is kNotRun until the first byte of the request is handed to the connection,
// and kMayHaveRun from then on. Cancelling the request closes the connection.
// Not thread-safe: runs on the executor of the request.
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
  // Returns the head of the final response; skips informational ones.
  asio::awaitable<Result<BackendResponseHead>> ReadHead(Millis timeout);
  // Returns the next bytes of the body, or nothing at its end. The view is
  // valid until the next call. Fails if the connection closes before the end.
  asio::awaitable<Result<std::optional<std::string_view>>> ReadSome(
      Millis timeout);
  // Returns the rest of the body. Fails if it exceeds `limit` bytes; `timeout`
  // applies to each read.
  asio::awaitable<Result<std::string>> ReadAll(std::size_t limit,
                                               Millis timeout);

 private:
  using Parser = http::response_parser<http::buffer_body>;

  // Reads the head of the next response, final or not.
  asio::awaitable<Result<void>> ReadNextHead();
  Error MakeFailure(const std::string& operation,
                    const error_code& error) const;

  RunningRequest& request_;
  beast::tcp_stream stream_;
  BoundedHttpReader reader_;
  std::optional<Parser> parser_;
  ResponseHeadChecker head_checker_;
  ChunkFramingMeter framing_meter_;
  std::string chunk_;
  RunVerdict verdict_ = RunVerdict::kNotRun;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_BACKEND_CALL_H_
