#include "router/internal/backend_call.h"

#include <limits>
#include <sstream>

#include "router/internal/endpoint.h"

namespace bamboomount {
namespace {

constexpr std::size_t kReadBufferBytes = 8'192;
// Bounds the head of a response, and its chunk framing that is not yet
// complete.
constexpr std::size_t kMaxResponseHeaderBytes = 16'384;

}  // namespace

BackendCall::BackendCall(RunningRequest& request)
    : request_(request),
      stream_(request.executor()),
      chunk_(kReadBufferBytes, '\0') {
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
  co_await stream_.async_connect(*endpoint, RedirectError(error));
  if (error)
    co_return MakeFailure("connect", error);
  // Disables Nagle's algorithm, which delays small messages to fill a segment.
  stream_.socket().set_option(tcp::no_delay(true), error);
  co_return Success();
}

asio::awaitable<Result<void>> BackendCall::Send(const BackendRequest& request,
                                                Millis timeout) {
  if (request_.cancel_reason())
    co_return MakeFailure("send", asio::error::operation_aborted);
  std::ostringstream wire;
  wire << request;
  const std::string bytes = wire.str();
  error_code error;
  stream_.expires_after(timeout);
  // Set before the write starts: a write that fails may still have reached the
  // backend server in part.
  verdict_ = RunVerdict::kMayHaveRun;
  co_await asio::async_write(stream_, asio::buffer(bytes),
                             RedirectError(error));
  if (error)
    co_return MakeFailure("send", error);
  co_return Success();
}

asio::awaitable<Result<BackendResponseHead>> BackendCall::ReadHead(
    Millis timeout) {
  stream_.expires_after(timeout);
  StatusKind kind = StatusKind::kInformational;
  while (kind == StatusKind::kInformational) {
    const auto read = co_await ReadNextHead();
    if (!read)
      co_return read.error();
    kind = head_checker_.Check(parser_->get());
  }
  if (kind == StatusKind::kInvalid)
    co_return MakeFailure("read header", http::error::bad_status);
  const auto& response = parser_->get();
  co_return BackendResponseHead{
      static_cast<int>(response.result_int()),
      std::string(response[http::field::content_type]),
      std::string(response["X-Request-Id"]),
      SoftwareVersion(std::string(response["X-Engine-Version"]))};
}

asio::awaitable<Result<void>> BackendCall::ReadNextHead() {
  parser_.emplace();
  // ReadAll limits the size of the bodies that it collects. In Boost 1.74,
  // boost::none does not remove the parser's limit.
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  reader_.BeginMessage(kMaxResponseHeaderBytes);
  while (!parser_->is_header_done()) {
    error_code error;
    co_await reader_.ReadSome(stream_, *parser_, RedirectError(error));
    if (error)
      co_return MakeFailure("read header", error);
  }
  co_return Success();
}

asio::awaitable<Result<std::optional<std::string_view>>> BackendCall::ReadSome(
    Millis timeout) {
  while (!parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = chunk_.data();
    body.size = chunk_.size();
    body.more = true;
    error_code error;
    stream_.expires_after(timeout);
    const std::size_t used =
        co_await reader_.ReadSome(stream_, *parser_, RedirectError(error));
    if (error && error != http::error::need_buffer)
      co_return MakeFailure("read body", error);
    const std::size_t size = chunk_.size() - body.size;
    if (!framing_meter_.Record(used, size))
      co_return MakeFailure("read body", http::error::bad_chunk);
    if (size > 0)
      co_return std::optional(std::string_view(chunk_.data(), size));
  }
  co_return std::optional<std::string_view>();
}

asio::awaitable<Result<std::string>> BackendCall::ReadAll(std::size_t limit,
                                                          Millis timeout) {
  std::string all;
  while (true) {
    auto chunk = co_await ReadSome(timeout);
    if (!chunk)
      co_return chunk.error();
    if (!chunk.value())
      co_return all;
    all.append(*chunk.value());
    if (all.size() > limit)
      co_return Error{ErrorCode::kBackendFailed,
                      verdict_,
                      "reply of the backend server is too large",
                      {}};
  }
}

Error BackendCall::MakeFailure(const std::string& operation,
                               const error_code& error) const {
  return {ErrorCode::kBackendFailed,
          verdict_,
          "backend server failed during " + operation + ": " + error.message(),
          {}};
}

}  // namespace bamboomount
