#include "router/internal/backend_call.h"

#include <limits>
#include <sstream>

#include "router/internal/endpoint.h"

namespace bamboomount {
namespace {

constexpr std::size_t kReadBytes = 8'192;
constexpr std::size_t kMaxReplyHeaderBytes = 16'384;

}  // namespace

BackendCall::BackendCall(RunningRequest& request)
    : request_(request), stream_(request.executor()), chunk_(kReadBytes, '\0') {
  // Replies are bounded where they are collected; boost::none does not lift the
  // limit in Boost 1.74.
  parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
  parser_.header_limit(kMaxReplyHeaderBytes);
  request_.SetCancelAction([this] { stream_.close(); });
}

BackendCall::~BackendCall() {
  request_.ClearCancelAction();
}

asio::awaitable<Result<void>> BackendCall::Connect(const std::string& address,
                                                   Millis timeout) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint)
    co_return Error{ErrorCode::kBackendFailed,
                    RunVerdict::kNotRun,
                    "backend server address is not ip:port: " + address,
                    {}};
  error_code error;
  stream_.expires_after(timeout);
  co_await stream_.async_connect(*endpoint, Await(error));
  if (error)
    co_return Failure("connect", error);
  // Tokens are small; waiting to fill a segment would delay them.
  stream_.socket().set_option(tcp::no_delay(true), error);
  co_return Success();
}

asio::awaitable<Result<void>> BackendCall::Send(const BackendRequest& request,
                                                Millis timeout) {
  if (request_.cancel_reason())
    co_return Failure("send", asio::error::operation_aborted);
  std::ostringstream wire;
  wire << request;
  const std::string bytes = wire.str();
  error_code error;
  stream_.expires_after(timeout);
  // The verdict changes before the write starts: a partial write that fails
  // may still have reached the backend server.
  verdict_ = RunVerdict::kMayHaveRun;
  co_await asio::async_write(stream_, asio::buffer(bytes), Await(error));
  if (error)
    co_return Failure("send", error);
  co_return Success();
}

asio::awaitable<Result<BackendReplyHead>> BackendCall::ReadHead(
    Millis timeout) {
  error_code error;
  stream_.expires_after(timeout);
  co_await http::async_read_header(stream_, buffer_, parser_, Await(error));
  if (error)
    co_return Failure("read header", error);
  const auto& reply = parser_.get();
  co_return BackendReplyHead{static_cast<int>(reply.result_int()),
                             std::string(reply[http::field::content_type]),
                             std::string(reply["X-Request-Id"])};
}

asio::awaitable<Result<std::optional<std::string_view>>> BackendCall::ReadSome(
    Millis timeout) {
  while (!parser_.is_done()) {
    auto& body = parser_.get().body();
    body.data = chunk_.data();
    body.size = chunk_.size();
    error_code error;
    stream_.expires_after(timeout);
    co_await http::async_read_some(stream_, buffer_, parser_, Await(error));
    if (error && error != http::error::need_buffer)
      co_return Failure("read body", error);
    const std::size_t size = chunk_.size() - body.size;
    if (size > 0)
      co_return std::optional(std::string_view(chunk_.data(), size));
  }
  co_return std::optional<std::string_view>();
}

asio::awaitable<Result<std::string>> BackendCall::ReadAll(std::size_t limit,
                                                          Millis timeout) {
  std::string all;
  while (true) {
    auto piece = co_await ReadSome(timeout);
    if (!piece)
      co_return piece.error();
    if (!piece.value())
      co_return all;
    all.append(*piece.value());
    if (all.size() > limit)
      co_return Error{ErrorCode::kBackendFailed,
                      verdict_,
                      "reply of the backend server is too large",
                      {}};
  }
}

Error BackendCall::Failure(const std::string& what,
                           const error_code& error) const {
  return {ErrorCode::kBackendFailed,
          verdict_,
          "backend server failed during " + what + ": " + error.message(),
          {}};
}

}  // namespace bamboomount
