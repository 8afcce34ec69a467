#include "provider/http_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

#include "base/bounded_http_reader.h"
#include "base/response_end.h"

namespace bamboomount {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// Limit on the size of a response. The largest bodies are objects such as
// snapshots of the change log.
constexpr std::uint64_t kMaxBodyBytes = 64ULL << 20;
// Bounds the head of a response, and its chunk framing that is not yet
// complete.
constexpr std::size_t kMaxHeadBytes = 65'536;

constexpr char kStoreEraField[] = "Store-Era";

std::optional<asio::ip::tcp::endpoint> ParseAddress(
    const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  std::string host = address.substr(0, colon);
  if (host.size() > 1 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return asio::ip::tcp::endpoint(ip, port);
}

Error TransportError(RunVerdict verdict, const std::string& message) {
  return Error{ErrorCode::kStoreUnavailable, verdict, message, std::nullopt};
}

// One request in flight. The handlers run one after the other inside
// io_context::run, and the deadline of the stream cancels the pending step.
class RequestSession {
 public:
  RequestSession(const ExchangeRequest& call, const std::string& host)
      : stream_(context_) {
    request_.version(11);
    request_.method_string(call.method);
    request_.target(call.target);
    request_.set(http::field::host, host);
    if (!call.body.empty())
      request_.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : call.headers)
      request_.set(name, value);
    request_.keep_alive(false);
    request_.body() = call.body;
    request_.prepare_payload();
  }

  Result<ExchangeResponse> Run(const asio::ip::tcp::endpoint& endpoint,
                               Millis timeout) {
    stream_.expires_after(timeout);
    stream_.async_connect(
        endpoint, [this](beast::error_code error) { OnConnected(error); });
    context_.run();
    if (!error_)
      return TakeResponse();
    return TransportError(
        connected_ ? RunVerdict::kMayHaveRun : RunVerdict::kNotRun,
        error_.message());
  }

 private:
  ExchangeResponse TakeResponse() {
    auto& message = parser_->get();
    ExchangeResponse response{static_cast<int>(message.result_int()),
                              std::move(message.body())};
    const auto era = message.find(kStoreEraField);
    if (era != message.end())
      response.store_era = std::string(era->value());
    return response;
  }

  void OnConnected(beast::error_code error) {
    error_ = error;
    if (error)
      return;
    connected_ = true;
    http::async_write(
        stream_, request_,
        [this](beast::error_code failure, std::size_t) { OnWritten(failure); });
  }

  void OnWritten(beast::error_code error) {
    // A receiver that refuses the request early may close its reading side and
    // still send a response, so the response is read even after a failed write.
    write_error_ = error;
    if (error == beast::error::timeout) {
      error_ = error;
      return;
    }
    ReadMessage();
  }

  void ReadMessage() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    reader_.BeginMessage(kMaxHeadBytes);
    ReadSome();
  }

  void ReadSome() {
    const bool in_body = parser_->is_header_done();
    reader_.ReadSome(
        stream_, *parser_,
        [this, in_body](beast::error_code error, std::size_t size) {
          if (error)
            Fail(error);
          else if (in_body)
            OnBodyRead(size);
          else
            OnHeadRead();
        });
  }

  void OnHeadRead() {
    if (!parser_->is_header_done()) {
      ReadSome();
      return;
    }
    switch (head_checker_.Check(parser_->get())) {
      case StatusKind::kInvalid:
        Fail(http::error::bad_status);
        return;
      case StatusKind::kInformational:
        ReadMessage();
        return;
      case StatusKind::kFinal:
        break;
    }
    if (!parser_->is_done())
      ReadSome();
  }

  void OnBodyRead(std::size_t size) {
    const std::size_t body_size = parser_->get().body().size();
    const std::size_t added = body_size - std::exchange(body_size_, body_size);
    if (MayBeCutByReset(*parser_, write_error_))
      Fail(write_error_);
    else if (!framing_meter_.Record(size, added))
      Fail(http::error::bad_chunk);
    else if (!parser_->is_done())
      ReadSome();
  }

  void Fail(beast::error_code error) {
    error_ = write_error_ ? write_error_ : error;
  }

  asio::io_context context_{1};
  beast::tcp_stream stream_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  BoundedHttpReader reader_;
  ResponseHeadChecker head_checker_;
  ChunkFramingMeter framing_meter_;
  std::size_t body_size_ = 0;
  beast::error_code error_;
  beast::error_code write_error_;
  bool connected_ = false;
};

}  // namespace

Result<ExchangeResponse> SendRequest(const std::string& address,
                                     const ExchangeRequest& call,
                                     Millis timeout) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) {
    return TransportError(RunVerdict::kNotRun,
                          "not an ip:port address: " + address);
  }
  if (timeout <= Millis(0))
    return TransportError(RunVerdict::kNotRun,
                          "the time limit of the call has already expired");
  return RequestSession(call, address).Run(*endpoint, timeout);
}

}  // namespace bamboomount
