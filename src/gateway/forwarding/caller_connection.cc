#include "gateway/forwarding/caller_connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include "base/message_framing.h"
#include "gateway/admission_rules.h"

namespace bamboomount {
namespace {

// Size of a read, and memory that is reserved at first for a body of unknown
// length.
constexpr std::size_t kReadBytes = 16384;
// Retry-After of a request whose body finds no memory. About the time in which
// the bodies before it are sent on.
constexpr Millis kMemoryRetryAfter{200};
// How long a finished connection waits for the caller to close its side.
constexpr Millis kLingerTimeout{1000};
// A connection is closed if bytes of a response are queued and the caller takes
// fewer than kMinReadBytes within this time. Backend servers cut off responses
// that are not read for some seconds.
constexpr Millis kWriteTimeout{5000};
constexpr std::size_t kMinReadBytes = 16384;
// A response goes on once no more bytes than these are queued.
constexpr std::size_t kResumeBytes = 32768;
// Bounds the kernel's memory for a caller that does not read.
constexpr int kSendBufferBytes = 131072;
// Memory of a connection without its buffers: the object, and the socket in the
// kernel.
constexpr std::size_t kConnectionBytes = 8192;
// Memory of a parsed field besides its text: its links and sizes, and what the
// allocator adds.
constexpr std::size_t kFieldBytes = 96;
constexpr unsigned kHttp11 = 11;

// Memory of a parsed head, which may be many times its bytes.
std::size_t HeadBytes(const http::request_header<>& head) {
  std::size_t bytes = 0;
  for (const auto& field : head)
    bytes += kFieldBytes + field.name_string().size() + field.value().size();
  return bytes;
}

template <typename Body>
std::string SerializeHeader(const http::response<Body>& response) {
  std::ostringstream text;
  text << response.base();
  return text.str();
}

std::string ChunkSizeLine(std::size_t size) {
  std::ostringstream text;
  text << std::hex << size << "\r\n";
  return text.str();
}

}  // namespace

CallerConnection::CallerConnection(tcp::socket socket,
                                   CallerConnectionOwner& owner)
    : socket_(std::move(socket)),
      owner_(owner),
      phase_start_(BootClock::now()),
      charge_(owner.memory()) {
  error_code ignored;
  // Events of a stream are small; Nagle's algorithm would delay them.
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes),
                     ignored);
  socket_.non_blocking(true, ignored);
}

void CallerConnection::Start() {
  ChargeMemory();
  ReadNext();
}

void CallerConnection::ReadNext() {
  phase_ = Phase::kIdle;
  phase_start_ = BootClock::now();
  response_ended_ = false;
  ++request_number_;
  const CallerLimits limits = owner_.limits();
  parser_.emplace();
  parser_->body_limit(limits.body_bytes);
  chunked_head_.reset();
  framing_meter_ = {};
  body_size_ = 0;
  head_bytes_ = 0;
  reader_.BeginMessage(limits.header_bytes);
  ChargeMemory();
  if (reader_.buffered_bytes() > 0) {
    ReadHeader();
    return;
  }
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       if (self->phase_ != Phase::kIdle)
                         return;
                       if (error)
                         self->Close();
                       else
                         self->ReadHeader();
                     });
}

void CallerConnection::ReadHeader() {
  phase_ = Phase::kReadingHeader;
  phase_start_ = BootClock::now();
  ReadHeaderSome();
}

void CallerConnection::ReadHeaderSome() {
  reader_.ReadSome(
      socket_, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (self->phase_ == Phase::kReadingHeader)
          self->OnHeaderRead(error);
      });
}

void CallerConnection::OnHeaderRead(const error_code& error) {
  ChargeMemory();
  if (error)
    OnReadError(error);
  else if (parser_->is_header_done())
    ReadBody();
  else
    ReadHeaderSome();
}

void CallerConnection::ReadBody() {
  if (!IsUnambiguous(FramingOf(parser_->get()))) {
    Refuse(http::status::bad_request);
    return;
  }
  const std::size_t expected = static_cast<std::size_t>(
      parser_->content_length().value_or(parser_->chunked() ? kReadBytes : 0));
  // The head of a request in chunks is kept twice.
  const std::size_t head_bytes =
      HeadBytes(parser_->get()) * (parser_->chunked() ? 2 : 1);
  if (owner_.refuses_requests() || !charge_.TryAdd(head_bytes + expected)) {
    parser_.reset();
    Refuse(http::status::service_unavailable);
    return;
  }
  head_bytes_ = head_bytes;
  reserved_bytes_ = expected;
  if (parser_->is_done()) {
    DeliverRequest();
    return;
  }
  if (parser_->chunked())
    chunked_head_ = parser_->get().base();
  phase_ = Phase::kReadingBody;
  if (beast::iequals(parser_->get()[http::field::expect], "100-continue"))
    QueueBytes("HTTP/1.1 100 Continue\r\n\r\n");
  ReadBodySome();
}

// Reads step by step, because a read of the whole body could not be stopped
// between its steps.
void CallerConnection::ReadBodySome() {
  reader_.ReadSome(
      socket_, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t used) {
        if (self->phase_ != Phase::kReadingBody)
          self->parser_.reset();
        else
          self->OnBodyRead(error, used);
      });
}

void CallerConnection::OnBodyRead(const error_code& error, std::size_t used) {
  if (error) {
    OnReadError(error);
  } else if (!FramingIsInProportion(used)) {
    Refuse(http::status::bad_request);
  } else if (!ReserveBodyMemory()) {
    parser_.reset();
    Refuse(http::status::service_unavailable);
  } else if (parser_->is_done()) {
    DeliverRequest();
  } else {
    ReadBodySome();
  }
}

bool CallerConnection::FramingIsInProportion(std::size_t used) {
  const std::size_t body_size = parser_->get().body().size();
  const std::size_t added = body_size - std::exchange(body_size_, body_size);
  return framing_meter_.Record(used, added);
}

bool CallerConnection::ReserveBodyMemory() {
  const std::size_t held = parser_->get().body().capacity();
  if (held <= reserved_bytes_)
    return true;
  if (!charge_.TryAdd(held - reserved_bytes_))
    return false;
  reserved_bytes_ = held;
  return true;
}

void CallerConnection::DeliverRequest() {
  phase_ = Phase::kResponding;
  IncomingRequest request{parser_->release(), phase_start_};
  if (chunked_head_)
    request.message.base() = std::move(*chunked_head_);
  keep_alive_ = request.message.keep_alive();
  head_request_ = request.message.method() == http::verb::head;
  parser_.reset();
  WatchForClose();
  owner_.OnRequest(std::move(request), shared_from_this());
}

void CallerConnection::OnReadError(const error_code& error) {
  if (error == http::error::header_limit)
    Refuse(http::status::request_header_fields_too_large);
  else if (error == http::error::body_limit)
    Refuse(http::status::payload_too_large);
  else if (error.category() ==
               http::make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream &&
           error != http::error::partial_message)
    Refuse(http::status::bad_request);
  else
    Close();
}

void CallerConnection::Refuse(http::status status) {
  phase_ = Phase::kResponding;
  keep_alive_ = false;
  head_request_ = false;
  http::response<http::string_body> response(status, kHttp11);
  if (status == http::status::service_unavailable)
    response.set(http::field::retry_after, FormatSeconds(kMemoryRetryAfter));
  Send(std::move(response));
}

void CallerConnection::RefuseSlowCaller() {
  // A read that has completed is not cancelled: its handler is still to come.
  error_code ignored;
  socket_.cancel(ignored);
  Refuse(http::status::request_timeout);
}

void CallerConnection::WatchForClose() {
  socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), number = request_number_](const error_code&) {
        if (self->phase_ != Phase::kResponding ||
            self->request_number_ != number || !self->CallerHasClosed())
          return;
        self->Close();
      });
}

bool CallerConnection::CallerHasClosed() {
  std::array<char, 1> probe{};
  error_code error;
  const std::size_t size =
      socket_.receive(asio::buffer(probe), tcp::socket::message_peek, error);
  if (error)
    return error != asio::error::would_block;
  return size == 0;
}

void CallerConnection::SetConnectionHeader(
    http::response_header<>& head) const {
  if (!keep_alive_ || owner_.shutting_down())
    head.set(http::field::connection, "close");
}

void CallerConnection::Send(http::response<http::string_body> response) {
  if (phase_ != Phase::kResponding)
    return;
  response.version(kHttp11);
  response.set(http::field::content_length,
               std::to_string(response.body().size()));
  if (owner_.shutting_down())
    keep_alive_ = false;
  SetConnectionHeader(response.base());
  std::string bytes = SerializeHeader(response);
  if (!head_request_)
    bytes += response.body();
  response_ended_ = true;
  QueueBytes(std::move(bytes));
}

void CallerConnection::Begin(http::response_header<> head,
                             std::optional<std::uint64_t> content_length) {
  if (phase_ != Phase::kResponding)
    return;
  head.version(kHttp11);
  chunked_ = !content_length;
  if (content_length)
    head.set(http::field::content_length, std::to_string(*content_length));
  else
    head.set(http::field::transfer_encoding, "chunked");
  if (owner_.shutting_down())
    keep_alive_ = false;
  SetConnectionHeader(head);
  std::ostringstream text;
  text << head;
  QueueBytes(text.str());
}

void CallerConnection::Write(std::string piece) {
  if (phase_ != Phase::kResponding || piece.empty() || head_request_)
    return;
  if (chunked_)
    piece = ChunkSizeLine(piece.size()) + piece + "\r\n";
  QueueBytes(std::move(piece));
}

void CallerConnection::WhenDrained(std::function<void()> drained) {
  on_drained_ = std::move(drained);
}

void CallerConnection::Finish() {
  if (phase_ != Phase::kResponding)
    return;
  response_ended_ = true;
  if (chunked_ && !head_request_)
    QueueBytes("0\r\n\r\n");
  else if (!write_in_progress_)
    EndResponse();
}

void CallerConnection::Abort() {
  on_caller_gone_ = nullptr;
  Close();
}

void CallerConnection::SetCallerGoneHandler(std::function<void()> gone) {
  on_caller_gone_ = std::move(gone);
}

void CallerConnection::SetEndHandler(std::function<void()> end) {
  on_end_ = std::move(end);
}

void CallerConnection::EndRequest() {
  if (on_end_)
    std::exchange(on_end_, nullptr)();
}

void CallerConnection::QueueBytes(std::string bytes) {
  if (pending_bytes_ == 0) {
    progress_bytes_ = sent_bytes_;
    progress_start_ = BootClock::now();
  }
  pending_bytes_ += bytes.size();
  ChargeMemory();
  if (queued_.empty())
    queued_ = std::move(bytes);
  else
    queued_ += bytes;
  if (!write_in_progress_)
    WriteQueued();
}

void CallerConnection::WriteQueued() {
  writing_ = std::exchange(queued_, {});
  written_bytes_ = 0;
  write_in_progress_ = true;
  WriteSome();
}

void CallerConnection::WriteSome() {
  socket_.async_write_some(
      asio::buffer(writing_) + written_bytes_,
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        self->OnWritten(error, size);
      });
}

void CallerConnection::OnWritten(const error_code& error, std::size_t size) {
  pending_bytes_ -= size;
  written_bytes_ += size;
  sent_bytes_ += size;
  if (phase_ == Phase::kClosed)
    return;
  if (error) {
    Close();
    return;
  }
  ChargeMemory();
  if (written_bytes_ < writing_.size())
    WriteSome();
  else if (!queued_.empty())
    WriteQueued();
  else
    write_in_progress_ = false;
  if (on_drained_ && pending_bytes_ <= kResumeBytes)
    std::exchange(on_drained_, nullptr)();
  if (response_ended_ && !write_in_progress_ && phase_ == Phase::kResponding)
    EndResponse();
}

void CallerConnection::EndResponse() {
  on_caller_gone_ = nullptr;
  on_end_ = nullptr;
  on_drained_ = nullptr;
  writing_ = {};
  head_bytes_ = 0;
  reserved_bytes_ = 0;
  ChargeMemory();
  if (keep_alive_) {
    ReadNext();
    return;
  }
  Linger();
}

void CallerConnection::Linger() {
  // Closing a socket with unread input resets the connection, and the caller
  // could lose the response.
  phase_ = Phase::kLingering;
  phase_start_ = BootClock::now();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  DiscardInput();
}

void CallerConnection::DiscardInput() {
  // Not through `reader_`: the read of a header that was cancelled may still
  // use it.
  // All connections run on one thread and none reads what is discarded.
  static std::array<char, kReadBytes> discarded;
  socket_.async_read_some(
      asio::buffer(discarded),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (self->phase_ != Phase::kLingering)
          return;
        if (error)
          self->Close();
        else
          self->DiscardInput();
      });
}

void CallerConnection::CheckTimeouts(Instant now) {
  const CallerLimits limits = owner_.limits();
  switch (phase_) {
    case Phase::kIdle:
      if (now - phase_start_ > limits.idle_timeout)
        Close();
      return;
    case Phase::kReadingHeader:
      if (now - phase_start_ > limits.header_timeout)
        RefuseSlowCaller();
      return;
    case Phase::kReadingBody:
      if (now - phase_start_ > limits.header_timeout + limits.idle_timeout)
        RefuseSlowCaller();
      return;
    case Phase::kResponding:
      CheckWriteProgress(now);
      return;
    case Phase::kLingering:
      if (now - phase_start_ > kLingerTimeout)
        Close();
      return;
    case Phase::kClosed:
      return;
  }
}

void CallerConnection::CheckWriteProgress(Instant now) {
  const std::size_t unacknowledged = UnacknowledgedBytes();
  const std::size_t acknowledged =
      sent_bytes_ - std::min(sent_bytes_, unacknowledged);
  // Without unacknowledged bytes, the caller has read everything that this
  // process has sent.
  if (pending_bytes_ == 0 || unacknowledged == 0 ||
      acknowledged >= progress_bytes_ + kMinReadBytes) {
    progress_bytes_ = acknowledged;
    progress_start_ = now;
  } else if (now - progress_start_ > kWriteTimeout) {
    Close();
  }
}

std::size_t CallerConnection::UnacknowledgedBytes() {
  int bytes = 0;
  if (ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0)
    return 0;
  return static_cast<std::size_t>(bytes);
}

void CallerConnection::ChargeMemory() {
  if (phase_ == Phase::kClosed)
    return;
  const std::size_t before = charge_.bytes();
  charge_.Set(kConnectionBytes + reader_.capacity() + head_bytes_ +
              reserved_bytes_ + pending_bytes_);
  if (charge_.bytes() > before)
    owner_.OnMemoryCharged();
}

ConnectionLoad CallerConnection::load() const {
  ConnectionLoad load{ConnectionActivity::kTransferring, phase_start_,
                      charge_.bytes()};
  if (phase_ == Phase::kResponding) {
    load.last_progress = progress_start_;
    if (pending_bytes_ == 0)
      load.activity = ConnectionActivity::kWaitingForServer;
  } else if (phase_ == Phase::kLingering ||
             (phase_ == Phase::kIdle && !HasUnreadRequest())) {
    load.activity = ConnectionActivity::kIdle;
  }
  return load;
}

void CallerConnection::CloseIfIdle() {
  if (phase_ == Phase::kIdle && !HasUnreadRequest())
    Linger();
}

bool CallerConnection::HasUnreadRequest() const {
  error_code error;
  return phase_ == Phase::kIdle && socket_.available(error) > 0;
}

void CallerConnection::Close() {
  if (phase_ == Phase::kClosed)
    return;
  phase_ = Phase::kClosed;
  error_code ignored;
  socket_.close(ignored);
  charge_.Set(0);
  on_drained_ = nullptr;
  on_end_ = nullptr;
  if (on_caller_gone_)
    std::exchange(on_caller_gone_, nullptr)();
}

}  // namespace bamboomount
