#include "router/internal/caller_session.h"

#include <array>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/ssl.hpp>
#include <exception>
#include <optional>
#include <utility>

#include "router/internal/error_reply.h"

namespace bamboomount {
namespace {

// Limit of the data that is read and discarded from a refused caller before its
// connection is closed.
constexpr std::size_t kMaxLingerBytes = 2'097'152;
constexpr std::size_t kReadBufferBytes = 4096;
constexpr std::chrono::seconds kIdleTimeout{60};
// Limit how long a slow sender can hold a connection.
constexpr std::chrono::seconds kHandshakeTimeout{10};
constexpr std::chrono::seconds kBodyTimeout{30};
constexpr std::chrono::seconds kWriteTimeout{30};

using PlainStream = beast::tcp_stream;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

bool NeedsHandshake(const PlainStream&) {
  return false;
}
bool NeedsHandshake(const TlsStream&) {
  return true;
}

asio::awaitable<error_code> Handshake(PlainStream&) {
  co_return error_code();
}
asio::awaitable<error_code> Handshake(TlsStream& stream) {
  error_code error;
  co_await stream.async_handshake(asio::ssl::stream_base::server,
                                  RedirectError(error));
  co_return error;
}

Error ToReadError(const error_code& error) {
  const auto refusal = [](ErrorCode code, std::string message) {
    return Error{code, RunVerdict::kNotRun, std::move(message), {}};
  };
  if (error == http::error::header_limit)
    return refusal(ErrorCode::kHeaderTooLarge,
                   "the headers exceed max_header_bytes");
  if (error == http::error::body_limit)
    return refusal(ErrorCode::kBodyTooLarge, "the body exceeds max_body_bytes");
  if (error == beast::error::timeout)
    return refusal(ErrorCode::kRequestTimeout,
                   "the request was not received in time");
  return refusal(ErrorCode::kBadRequest,
                 "the request is not valid HTTP: " + error.message());
}

// Whether the caller has closed or reset the connection. Data that waits to be
// read stays in the socket.
bool IsDisconnected(tcp::socket& socket) {
  std::array<char, 1> probe{};
  error_code error;
  socket.non_blocking(true, error);
  const std::size_t size =
      socket.receive(asio::buffer(probe), tcp::socket::message_peek, error);
  if (error)
    return error != asio::error::would_block;
  return size == 0;
}

// Time limit of a read, enforced by cancelling it. The timeout of
// beast::tcp_stream would close the socket, and the caller would get no error
// reply.
class ReadDeadline {
 public:
  ReadDeadline(beast::tcp_stream& stream, Millis time)
      : timer_(stream.get_executor(), time), state_(std::make_shared<State>()) {
    stream.expires_never();
    timer_.async_wait([&stream, state = state_](const error_code& error) {
      if (error || state->finished)
        return;
      state->expired = true;
      stream.cancel();
    });
  }
  // The timer's handler may already be queued and must not touch the stream
  // then.
  ~ReadDeadline() { state_->finished = true; }
  ReadDeadline(const ReadDeadline&) = delete;
  ReadDeadline& operator=(const ReadDeadline&) = delete;

  // Returns a timeout if the deadline ended the read, otherwise `error`.
  error_code MapError(const error_code& error) const {
    return error && state_->expired ? error_code(beast::error::timeout) : error;
  }

 private:
  struct State {
    bool finished = false;
    bool expired = false;
  };

  asio::steady_timer timer_;
  std::shared_ptr<State> state_;
};

template <typename Stream>
class BasicCallerSession
    : public CallerSession,
      public CallerReply,
      public std::enable_shared_from_this<BasicCallerSession<Stream>> {
 public:
  template <typename... StreamArguments>
  explicit BasicCallerSession(SessionEnvironment environment,
                              StreamArguments&&... arguments)
      : environment_(environment),
        stream_(std::forward<StreamArguments>(arguments)...) {}

  void Start() {
    asio::co_spawn(
        LowestLayer().get_executor(),
        [self = this->shared_from_this()] { return self->Run(); },
        asio::detached);
  }

  void CloseIfIdle() override {
    asio::post(LowestLayer().get_executor(), [self = this->shared_from_this()] {
      error_code error;
      if (self->idle_ && self->LowestLayer().socket().available(error) == 0)
        self->LowestLayer().close();
    });
  }

  void CancelOnDisconnect(std::shared_ptr<RunningRequest> request) override {
    if (buffer_.size() > 0)
      return;
    LowestLayer().socket().async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this(),
         request = std::move(request)](const error_code& error) {
          if (error || !IsDisconnected(self->LowestLayer().socket()))
            return;
          request->Cancel({ErrorCode::kCallerGone,
                           RunVerdict::kMayHaveRun,
                           "the caller closed its connection",
                           {}});
        });
  }

  asio::awaitable<bool> Send(const BufferedReply& reply) override {
    http::response<http::string_body> response(
        static_cast<http::status>(reply.status), 11);
    SetHeaders(response, reply.content_type, reply.headers);
    response.body() = reply.body;
    response.prepare_payload();
    error_code error;
    LowestLayer().expires_after(kWriteTimeout);
    co_await http::async_write(stream_, response, RedirectError(error));
    replied_ = true;
    CountReply(reply.status);
    if (error)
      keep_alive_ = false;
    co_return !error;
  }

  asio::awaitable<bool> BeginStream(
      const std::string& content_type,
      const std::vector<ReplyHeader>& headers) override {
    http::response<http::empty_body> response(http::status::ok, 11);
    SetHeaders(response, content_type, headers);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    error_code error;
    LowestLayer().expires_after(kWriteTimeout);
    co_await http::async_write_header(stream_, serializer,
                                      RedirectError(error));
    replied_ = true;
    CountReply(static_cast<int>(response.result_int()));
    co_return !error;
  }

  asio::awaitable<bool> SendChunk(std::string_view data) override {
    error_code error;
    LowestLayer().expires_after(kWriteTimeout);
    const auto chunk = http::make_chunk(asio::buffer(data.data(), data.size()));
    co_await asio::async_write(stream_, chunk, RedirectError(error));
    co_return !error;
  }

  asio::awaitable<bool> EndStream() override {
    error_code error;
    LowestLayer().expires_after(kWriteTimeout);
    const auto last_chunk = http::make_chunk_last();
    co_await asio::async_write(stream_, last_chunk, RedirectError(error));
    if (error)
      keep_alive_ = false;
    co_return !error;
  }

  void AbortStream() override {
    replied_ = true;
    keep_alive_ = false;
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  beast::tcp_stream& LowestLayer() { return beast::get_lowest_layer(stream_); }

  asio::awaitable<void> Run() {
    error_code error;
    LowestLayer().socket().set_option(tcp::no_delay(true), error);
    if (NeedsHandshake(stream_)) {
      LowestLayer().expires_after(kHandshakeTimeout);
      error = co_await Handshake(stream_);
      if (error)
        co_return;
    }
    bool open = true;
    while (open && keep_alive_ && !environment_.closing) {
      open = co_await WaitForRequest();
      if (open)
        open = co_await ServeNextRequest();
    }
    LowestLayer().close();
  }

  // Waits for the first byte of a request. Returns false when the caller closes
  // the connection or stays idle for kIdleTimeout.
  asio::awaitable<bool> WaitForRequest() {
    if (buffer_.size() > 0)
      co_return true;
    idle_ = true;
    error_code error;
    LowestLayer().expires_after(kIdleTimeout);
    const std::size_t size = co_await stream_.async_read_some(
        buffer_.prepare(kReadBufferBytes), RedirectError(error));
    idle_ = false;
    buffer_.commit(size);
    co_return !error;
  }

  asio::awaitable<bool> ServeNextRequest() {
    Parser parser;
    const auto config = environment_.state.current()->config;
    parser.header_limit(
        static_cast<std::uint32_t>(config->Limit("max_header_bytes")));
    parser.body_limit(
        static_cast<std::uint64_t>(config->Limit("max_body_bytes")));
    const Millis header_timeout(
        static_cast<std::int64_t>(config->Limit("header_timeout_ms")));
    error_code error;
    {
      const ReadDeadline deadline(LowestLayer(), header_timeout);
      co_await http::async_read_header(stream_, buffer_, parser,
                                       RedirectError(error));
      error = deadline.MapError(error);
    }
    // As if the parser had found it, since it accepts codings it does not know.
    if (!error && !IsUnambiguous(FramingOf(parser.get())))
      error = http::error::bad_transfer_encoding;
    if (!error)
      error = co_await ReadBody(parser);
    keep_alive_ = !error && parser.get().keep_alive();
    if (error) {
      const BufferedReply refusal = ErrorReply(ToReadError(error));
      if (error != http::error::end_of_stream)
        co_await Send(refusal);
      co_await Linger();
      co_return false;
    }
    co_await HandleRequest(parser);
    co_return keep_alive_;
  }

  asio::awaitable<error_code> ReadBody(Parser& parser) {
    error_code error;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> continue_response(
          http::status::continue_, 11);
      co_await http::async_write(stream_, continue_response,
                                 RedirectError(error));
      if (error)
        co_return error;
    }
    const ReadDeadline deadline(LowestLayer(), kBodyTimeout);
    co_await http::async_read(stream_, buffer_, parser, RedirectError(error));
    co_return deadline.MapError(error);
  }

  asio::awaitable<void> HandleRequest(Parser& parser) {
    replied_ = false;
    // Handlers apply their own timeouts while they wait for backend servers.
    LowestLayer().expires_never();
    std::optional<Error> failure;
    try {
      HttpRequest request = parser.release();
      co_await environment_.handler.Handle(request, *this);
    } catch (const std::exception& exception) {
      failure = Error{
          ErrorCode::kInternal, RunVerdict::kMayHaveRun, exception.what(), {}};
    }
    // Ends the wait that CancelOnDisconnect started.
    error_code ignored;
    LowestLayer().socket().cancel(ignored);
    if (!failure)
      co_return;
    keep_alive_ = false;
    const BufferedReply reply = ErrorReply(*failure);
    if (!replied_)
      co_await Send(reply);
  }

  // Reads and discards what the caller still sends, for at most one second and
  // up to kMaxLingerBytes: closing a socket with unread data resets the
  // connection, and the caller would lose the error reply.
  asio::awaitable<void> Linger() {
    error_code error;
    LowestLayer().socket().shutdown(tcp::socket::shutdown_send, error);
    std::array<char, kReadBufferBytes> discarded{};
    std::size_t total = 0;
    LowestLayer().expires_after(std::chrono::seconds(1));
    while (!error && total < kMaxLingerBytes) {
      total += co_await LowestLayer().async_read_some(asio::buffer(discarded),
                                                      RedirectError(error));
    }
  }

  template <typename Response>
  void SetHeaders(Response& response,
                  const std::string& content_type,
                  const std::vector<ReplyHeader>& headers) {
    if (environment_.closing)
      keep_alive_ = false;
    response.keep_alive(keep_alive_);
    response.set(http::field::content_type, content_type);
    response.set(http::field::cache_control, "no-store");
    for (const ReplyHeader& header : headers)
      response.set(header.name, header.value);
  }

  void CountReply(int status) {
    environment_.metrics.Increment("bamboomount_requests_total",
                                   {{"status", std::to_string(status)}});
  }

  const SessionEnvironment environment_;
  Stream stream_;
  beast::flat_buffer buffer_;
  bool idle_ = false;
  bool keep_alive_ = true;
  bool replied_ = false;
};

template <typename Session>
std::shared_ptr<CallerSession> StartSession(std::shared_ptr<Session> session) {
  session->Start();
  return session;
}

}  // namespace

std::shared_ptr<CallerSession> StartCallerSession(
    tcp::socket socket,
    asio::ssl::context* tls,
    SessionEnvironment environment) {
  if (tls == nullptr)
    return StartSession(std::make_shared<BasicCallerSession<PlainStream>>(
        environment, std::move(socket)));
  return StartSession(std::make_shared<BasicCallerSession<TlsStream>>(
      environment, std::move(socket), *tls));
}

}  // namespace bamboomount
