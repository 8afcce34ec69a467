#include "gateway/forwarding/response_relay.h"

#include <algorithm>
#include <utility>

#include "gateway/forwarding/hop_by_hop_headers.h"

namespace bamboomount {
namespace {

// Misdirected Request (RFC 9110, 15.5.20): the server is not the one that the
// request was addressed to.
constexpr unsigned kMisdirected = 421;
// Responses up to this size are buffered until they are complete, so that
// another server can still be tried.
constexpr std::size_t kMaxBufferedBodyBytes = 262144;
// A server that sends more bytes than this which are not an answer, or a longer
// event, is considered faulty.
constexpr std::size_t kMaxDiscardedBytes = 1'048'576;
constexpr std::size_t kMaxEventBytes = 1'048'576;
// Reading from the backend server pauses while the caller has more unsent bytes
// than this.
constexpr std::size_t kMaxUnsentBytes = 65536;

bool IsEventStream(const http::response_header<>& header) {
  constexpr char kType[] = "text/event-stream";
  const beast::string_view type = header[http::field::content_type];
  return beast::iequals(type.substr(0, type.find(';')), kType);
}

}  // namespace

bool StatesNotRun(const ReplyHead& head) {
  return head.not_executed || head.status == kMisdirected;
}

void ResponseRelay::BeginAttempt() {
  mode_ = BodyMode::kBuffer;
  buffered_body_.clear();
  head_ = {};
}

void ResponseRelay::OnHead(const http::response_header<>& header,
                           const ReplyHead& head,
                           std::optional<std::uint64_t> content_length,
                           RequestKind kind) {
  head_ = head;
  is_stream_ = IsStream(kind);
  const bool success = head.status / 100 == 2;
  // A success without a seal does not come from the service.
  if (StatesNotRun(head) || (success && !head.sealed)) {
    mode_ = BodyMode::kDiscard;
    return;
  }
  if (started_) {
    // A resumed response keeps the header of the first server. Whatever is not
    // a stream of events is not its continuation.
    mode_ = success && IsEventStream(header) ? BodyMode::kForward
                                             : BodyMode::kDiscard;
    return;
  }
  header_ = header;
  length_ = content_length;
  const bool large = content_length.value_or(0) > kMaxBufferedBodyBytes;
  mode_ =
      success && (is_stream_ || large) ? BodyMode::kForward : BodyMode::kBuffer;
}

ResponseRelay::Step ResponseRelay::OnBody(std::string_view piece, Instant now) {
  switch (mode_) {
    case BodyMode::kDiscard:
      discarded_bytes_ += piece.size();
      return discarded_bytes_ <= kMaxDiscardedBytes ? Step::kContinue
                                                    : Step::kAbandon;
    case BodyMode::kBuffer:
      buffered_body_.append(piece);
      if (buffered_body_.size() <= kMaxBufferedBodyBytes)
        return Step::kContinue;
      mode_ = BodyMode::kForward;
      return Forward(std::exchange(buffered_body_, {}), now);
    case BodyMode::kForward:
      return Forward(piece, now);
  }
  return Step::kContinue;
}

ResponseRelay::Step ResponseRelay::Forward(std::string_view piece,
                                           Instant now) {
  std::string bytes = is_stream_ ? framer_.Add(piece) : std::string(piece);
  if (framer_.partial_bytes() > kMaxEventBytes)
    return Step::kAbandon;
  if (bytes.empty())
    return Step::kContinue;
  RecordForwardTime(now);
  if (!started_)
    BeginForwarding();
  reply_->Write(std::move(bytes));
  return reply_->pending_bytes() <= kMaxUnsentBytes ? Step::kContinue
                                                    : Step::kPause;
}

void ResponseRelay::RecordForwardTime(Instant now) {
  if (started_)
    longest_pause_ =
        std::max(longest_pause_, ToMillis(now - last_forwarded_at_));
  else
    time_to_first_bytes_ = ToMillis(now - received_);
  last_forwarded_at_ = now;
}

void ResponseRelay::BeginForwarding() {
  started_ = true;
  http::response_header<> header(header_);
  RemoveHopByHopHeaders(header);
  reply_->Begin(std::move(header), is_stream_ ? std::nullopt : length_);
}

bool ResponseRelay::IsCompleteAnswer() const {
  switch (mode_) {
    case BodyMode::kBuffer:
      return true;
    case BodyMode::kForward:
      return framer_.at_boundary();
    case BodyMode::kDiscard:
      return false;
  }
  return false;
}

void ResponseRelay::Finish() {
  if (started_) {
    reply_->Finish();
    return;
  }
  http::response<http::string_body> response;
  RemoveHopByHopHeaders(header_);
  response.base() = header_;
  response.body() = std::move(buffered_body_);
  reply_->Send(std::move(response));
}

}  // namespace bamboomount
