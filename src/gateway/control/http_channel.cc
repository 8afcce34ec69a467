#include "gateway/control/http_channel.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "base/base.h"
#include "base/bounded_http_reader.h"
#include "gateway/forwarding/endpoint.h"

namespace bamboomount {
namespace {

constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 1;
constexpr unsigned kHttp11 = 11;
// Large enough for a full page of rows, encoded as base64 in JSON.
constexpr std::uint64_t kMaxResponseBytes = 8'388'608;
// Bounds the head of a response, and its chunk framing that is not yet
// complete.
constexpr std::size_t kMaxHeadBytes = 65'536;

}  // namespace

class HttpChannel::Connection
    : public std::enable_shared_from_this<HttpChannel::Connection> {
 public:
  using Done = std::function<void(HttpResponse)>;

  Connection(asio::io_context& context, const std::string& address)
      : socket_(context), timer_(context), address_(address) {}

  void Run(const HttpCall& call, Done done) {
    done_ = std::move(done);
    response_ = {};
    received_bytes_ = 0;
    head_checker_ = {};
    request_ = {call.method, call.target, kHttp11};
    request_.set(http::field::host, address_);
    for (const auto& [name, value] : call.headers)
      request_.set(name, value);
    if (!call.body.empty())
      request_.set(http::field::content_type, "application/json");
    request_.body() = call.body;
    request_.prepare_payload();
    timeout_ = call.timeout;
    connect_timeout_ = call.connect_timeout;
    if (socket_.is_open())
      Send();
    else
      Connect();
  }

  // Whether another call can reuse the connection: the peer has not closed it
  // and has not sent unexpected data.
  bool IsUsable() {
    std::array<char, 1> probe{};
    error_code error;
    socket_.receive(asio::buffer(probe), tcp::socket::message_peek, error);
    return keep_alive_ && reader_.buffered_bytes() == 0 &&
           error == asio::error::would_block;
  }

  // Cancels the call in progress without calling its callback.
  void Cancel() {
    done_ = nullptr;
    Close();
  }

 private:
  void Connect() {
    const auto endpoint = ParseIpEndpoint(address_);
    if (!endpoint) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->Fail("the address is not ip:port");
      });
      return;
    }
    ArmTimer(connect_timeout_);
    socket_.async_connect(
        *endpoint, [self = shared_from_this()](const error_code& error) {
          if (!self->done_)
            return;
          if (error) {
            self->Fail("connect: " + error.message());
            return;
          }
          error_code ignored;
          self->socket_.set_option(tcp::no_delay(true), ignored);
          self->socket_.non_blocking(true, ignored);
          self->EnableKeepAlive();
          self->Send();
        });
  }

  // Detects a dead connection within about 2 s while a response is awaited.
  void EnableKeepAlive() {
    error_code ignored;
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    SetTcpOption(TCP_KEEPIDLE, kKeepAliveSeconds);
    SetTcpOption(TCP_KEEPINTVL, kKeepAliveSeconds);
    SetTcpOption(TCP_KEEPCNT, kKeepAliveProbes);
  }

  // Asio does not provide these options.
  void SetTcpOption(int name, int value) {
    setsockopt(socket_.native_handle(), IPPROTO_TCP, name, &value,
               sizeof(value));
  }

  void Send() {
    ArmTimer(timeout_);
    response_.sent = BootClock::now();
    response_.may_have_run = true;
    http::async_write(
        socket_, request_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          if (!self->done_)
            return;
          if (error)
            self->Fail("send: " + error.message());
          else
            self->Read();
        });
  }

  void Read() {
    parser_.emplace();
    framing_meter_ = {};
    body_size_ = 0;
    reader_.BeginMessage(kMaxHeadBytes);
    parser_->body_limit(kMaxResponseBytes);
    ReadSome();
  }

  void ReadSome() {
    const bool in_body = parser_->is_header_done();
    reader_.ReadSome(socket_, *parser_,
                     [self = shared_from_this(), in_body](
                         const error_code& error, std::size_t size) {
                       if (!self->done_)
                         return;
                       if (error)
                         self->Fail("receive: " + error.message());
                       else if (in_body)
                         self->OnBodyRead(size);
                       else
                         self->OnHeadRead(size);
                     });
  }

  void OnHeadRead(std::size_t size) {
    if (!parser_->is_header_done()) {
      ReadOn(size);
      return;
    }
    switch (head_checker_.Check(parser_->get())) {
      case StatusKind::kInvalid:
        Fail("the head of the response is invalid");
        return;
      case StatusKind::kInformational:
        received_bytes_ += size;
        ArmTimer(TimeLeft());
        Read();
        return;
      case StatusKind::kFinal:
        break;
    }
    if (parser_->is_done())
      Succeed();
    else
      ReadOn(size);
  }

  void OnBodyRead(std::size_t size) {
    const std::size_t body_size = parser_->get().body().size();
    const std::size_t added = body_size - std::exchange(body_size_, body_size);
    if (parser_->is_done())
      Succeed();
    else if (!framing_meter_.Record(size, added))
      Fail("the chunk framing of the response is out of proportion");
    else
      ReadOn(size);
  }

  // Reads more of a response, of which `size` further bytes have arrived.
  void ReadOn(std::size_t size) {
    received_bytes_ += size;
    ArmTimer(std::min(TimeLeft(), kStallTimeout));
    ReadSome();
  }

  Millis TimeLeft() const {
    const Millis allowed =
        timeout_ + Millis(received_bytes_ / kMinBytesPerMilli);
    const Millis elapsed = ToMillis(BootClock::now() - response_.sent);
    return std::max(Millis(0), allowed - elapsed);
  }

  void ArmTimer(Millis time) {
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error && self->done_)
        self->Fail("timeout");
    });
  }

  void Succeed() {
    timer_.cancel();
    keep_alive_ = parser_->get().keep_alive();
    response_.status = parser_->get().result_int();
    response_.fields = parser_->get();
    response_.body = std::move(parser_->get().body());
    // Keeps the connection alive during the callback, which may drop the other
    // references to it.
    const auto self = shared_from_this();
    std::exchange(done_, nullptr)(std::move(response_));
  }

  void Fail(std::string failure) {
    keep_alive_ = false;
    response_.failure = std::move(failure);
    response_.received_bytes = received_bytes_;
    Close();
    const auto self = shared_from_this();
    std::exchange(done_, nullptr)(std::move(response_));
  }

  void Close() {
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  const std::string address_;
  BoundedHttpReader reader_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  Millis timeout_{0};
  Millis connect_timeout_{0};
  std::size_t received_bytes_ = 0;
  ResponseHeadChecker head_checker_;
  ChunkFramingMeter framing_meter_;
  std::size_t body_size_ = 0;
  HttpResponse response_;
  Done done_;
  bool keep_alive_ = true;
};

HttpChannel::HttpChannel(asio::io_context& context, std::string address)
    : context_(context), address_(std::move(address)) {}

HttpChannel::~HttpChannel() {
  if (connection_)
    connection_->Cancel();
}

void HttpChannel::Call(HttpCall call, Callback done) {
  queue_.push_back({std::move(call), std::move(done)});
  if (!busy_)
    StartNext();
}

void HttpChannel::StartNext() {
  if (queue_.empty())
    return;
  busy_ = true;
  if (connection_ && !connection_->IsUsable())
    connection_.reset();
  if (!connection_)
    connection_ = std::make_shared<Connection>(context_, address_);
  const auto connection = connection_;
  connection->Run(queue_.front().call,
                  [this, connection](HttpResponse response) {
                    OnResponse(connection, std::move(response));
                  });
}

void HttpChannel::OnResponse(const std::shared_ptr<Connection>& connection,
                             HttpResponse response) {
  if (!response.answered() && connection_ == connection)
    connection_.reset();
  const Callback done = std::move(queue_.front().done);
  queue_.pop_front();
  busy_ = false;
  done(std::move(response));
  if (!busy_)
    StartNext();
}

}  // namespace bamboomount
