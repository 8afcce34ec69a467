#include "gateway/forwarding/backend_attempt.h"

#include <limits>
#include <utility>

#include "base/response_end.h"
#include "gateway/forwarding/endpoint.h"

namespace bamboomount {
namespace {

// Covers the retransmission of a lost packet within a region and leaves time to
// try another server.
constexpr Millis kConnectTimeout{500};
// Bounds the head of a reply, and its chunk framing that is not yet complete.
constexpr std::size_t kMaxReplyHeaderBytes = 65536;
// Used if the server does not announce its idle timeout; such servers may close
// idle connections early.
constexpr Millis kDefaultIdleTimeout{1000};
// A server that sends more responses to other requests than this is considered
// faulty.
constexpr int kMaxMismatchedReplies = 2;
// The same for the bytes of their bodies with chunk framing.
constexpr std::size_t kMaxMismatchedBytes = 1'048'576;

}  // namespace

BackendAttempt::BackendAttempt(const AttemptEnvironment& environment,
                               const BackendServer& server,
                               Options options,
                               AttemptObserver& observer)
    : environment_(environment),
      server_(server),
      options_(std::move(options)),
      observer_(&observer),
      connect_timer_(environment.context) {}

BackendAttempt::~BackendAttempt() {
  CloseConnection();
}

void BackendAttempt::Start() {
  connection_ = environment_.connections.Acquire(
      server_.id, options_.fresh_connection, BootClock::now());
  reused_ = connection_ != nullptr;
  if (reused_)
    SendRequest();
  else
    Connect();
}

void BackendAttempt::Connect() {
  const auto endpoint = ParseIpEndpoint(server_.address);
  if (!endpoint) {
    EndAttempt(AttemptOutcome::kNotSent);
    return;
  }
  connection_ = std::make_unique<BackendConnection>(environment_.context);
  environment_.connections.CountOpened(server_.id);
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](const error_code& error) {
        if (error || self->sent_ || !self->observer_)
          return;
        self->EndAttempt(AttemptOutcome::kNotSent);
      });
  connection_->socket.async_connect(
      *endpoint, [self = shared_from_this()](const error_code& error) {
        if (!self->observer_)
          return;
        self->connect_timer_.cancel();
        if (error) {
          self->EndAttempt(error == asio::error::connection_refused
                               ? AttemptOutcome::kConnectionRefused
                               : AttemptOutcome::kNotSent);
          return;
        }
        error_code ignored;
        self->connection_->socket.set_option(tcp::no_delay(true), ignored);
        self->connection_->socket.non_blocking(true, ignored);
        self->SendRequest();
      });
}

void BackendAttempt::SendRequest() {
  std::optional<std::string> head = observer_->PrepareHead();
  if (!head) {
    EndAttempt(AttemptOutcome::kNotSent);
    return;
  }
  request_head_ = std::move(*head);
  // Set before the write, because a write that fails midway may have delivered
  // bytes to the server.
  sent_ = true;
  const std::array<asio::const_buffer, 2> buffers{
      asio::buffer(request_head_), asio::buffer(observer_->request_body())};
  asio::async_write(
      connection_->socket, buffers,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        // A failed write also ends the read, which may still return a response
        // that the server sent before it closed the connection.
        self->write_done_ = !error;
        self->write_error_ = error;
      });
  ReadHead();
}

void BackendAttempt::ReadHead() {
  parser_.emplace();
  framing_meter_ = {};
  connection_->reader.BeginMessage(kMaxReplyHeaderBytes);
  // The observer bounds what is buffered. The maximum is set explicitly,
  // because boost::none does not lift Beast's limit.
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (options_.head_request)
    parser_->skip(true);
  ReadHeadSome();
}

void BackendAttempt::ReadHeadSome() {
  connection_->reader.ReadSome(
      connection_->socket, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (!self->observer_)
          return;
        if (error)
          self->EndAttempt(AttemptOutcome::kInterrupted);
        else if (self->parser_->is_header_done())
          self->OnHead();
        else
          self->ReadHeadSome();
      });
}

void BackendAttempt::OnHead() {
  const auto& header = parser_->get().base();
  switch (head_checker_.Check(header)) {
    case StatusKind::kInvalid:
      EndAttempt(AttemptOutcome::kInterrupted);
      return;
    case StatusKind::kInformational:
      ReadHead();
      return;
    case StatusKind::kFinal:
      break;
  }
  const ReplyHead head = environment_.protocol.DecodeReplyHead(header);
  idle_timeout_ = head.idle_timeout.value_or(kDefaultIdleTimeout);
  mismatched_reply_ = head.request_id != options_.id;
  if (mismatched_reply_) {
    ++mismatched_replies_;
    const bool bounded = parser_->content_length() || parser_->chunked();
    if (mismatched_replies_ > kMaxMismatchedReplies ||
        head.request_id.empty() || !bounded) {
      EndAttempt(AttemptOutcome::kInterrupted);
      return;
    }
  } else {
    std::optional<std::uint64_t> length;
    if (parser_->content_length())
      length = *parser_->content_length();
    observer_->OnReplyHead(header, head, length);
    if (!observer_)
      return;
  }
  if (parser_->is_done())
    FinishReply();
  else
    ReadBody();
}

void BackendAttempt::ReadBody() {
  auto& body = parser_->get().body();
  body.data = chunk_.data();
  body.size = chunk_.size();
  body.more = true;
  connection_->reader.ReadSome(
      connection_->socket, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t used) {
        if (self->observer_)
          self->OnBodyRead(error, used);
      });
}

void BackendAttempt::OnBodyRead(const error_code& error, std::size_t used) {
  const std::size_t size = chunk_.size() - parser_->get().body().size;
  bool read_on = true;
  if (size > 0 && !mismatched_reply_) {
    read_on = observer_->OnReplyBody(std::string_view(chunk_.data(), size));
    if (!observer_)
      return;
  }
  if (mismatched_reply_)
    mismatched_bytes_ += used;
  const bool broken = error && error != http::error::need_buffer;
  if (broken || mismatched_bytes_ > kMaxMismatchedBytes ||
      !framing_meter_.Record(used, size) ||
      MayBeCutByReset(*parser_, write_error_)) {
    EndAttempt(AttemptOutcome::kInterrupted);
    return;
  }
  if (parser_->is_done())
    FinishReply();
  else if (read_on)
    ReadBody();
}

void BackendAttempt::Resume() {
  if (observer_ && connection_)
    ReadBody();
}

void BackendAttempt::FinishReply() {
  if (mismatched_reply_) {
    ReadHead();
    return;
  }
  // Surplus bytes, or a request body that is still being sent, would corrupt
  // the next exchange on the connection.
  const bool reusable = parser_->get().keep_alive() && write_done_ &&
                        connection_->reader.buffered_bytes() == 0;
  if (reusable) {
    connection_->idle_timeout = idle_timeout_;
    environment_.connections.Release(server_.id, std::move(connection_),
                                     BootClock::now());
  }
  EndAttempt(AttemptOutcome::kComplete);
}

void BackendAttempt::EndAttempt(AttemptOutcome outcome) {
  AttemptObserver* observer = std::exchange(observer_, nullptr);
  const auto self = shared_from_this();
  CloseConnection();
  if (observer)
    observer->OnAttemptEnd(outcome);
}

void BackendAttempt::Cancel() {
  observer_ = nullptr;
  CloseConnection();
}

void BackendAttempt::CloseConnection() {
  connect_timer_.cancel();
  if (!connection_)
    return;
  error_code ignored;
  connection_->socket.close(ignored);
  // Pending operations still refer to the buffer and the parser; their handlers
  // keep this object alive.
  if (!close_counted_) {
    close_counted_ = true;
    environment_.connections.CountClosed(server_.id);
  }
}

}  // namespace bamboomount
