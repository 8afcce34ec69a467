#ifndef GATEWAY_FORWARDING_RESPONSE_RELAY_H_
#define GATEWAY_FORWARDING_RESPONSE_RELAY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/boot_clock.h"
#include "gateway/forwarding/caller_reply.h"
#include "gateway/forwarding/message_protocol.h"
#include "gateway/forwarding/sse_framer.h"
#include "gateway/traffic/route.h"

namespace bamboomount {

// Whether the server states that it did not and will not run the request.
bool StatesNotRun(const ReplyHead& head);

// Relays the response to one request from backend servers to the caller. A
// short response is buffered until it is complete, so that another server can
// still be tried; a stream is forwarded event by event, and another server may
// continue it. Not thread-safe.
class ResponseRelay {
 public:
  // What to do after a piece of the body.
  enum class Step {
    kContinue,
    // The caller reads too slowly: stop reading until the queued bytes are
    // written.
    kPause,
    // The server sends bytes that are no answer.
    kAbandon,
  };

  // `received`: when the caller's request arrived.
  ResponseRelay(std::shared_ptr<CallerReply> reply, Instant received)
      : reply_(std::move(reply)), received_(received) {}

  // Discards what is buffered of the previous server's response.
  void BeginAttempt();
  void OnHead(const http::response_header<>& header,
              const ReplyHead& head,
              std::optional<std::uint64_t> content_length,
              RequestKind kind);
  Step OnBody(std::string_view piece, Instant now);
  // Discards an event that the server did not complete.
  void DropPartialEvent() { framer_.DropPartialEvent(); }

  // Whether the body is forwarded as it arrives.
  bool forwards() const { return mode_ == BodyMode::kForward; }
  // Whether a part of the response has been forwarded to the caller.
  bool started() const { return started_; }
  // Whether the server's response, which has ended, is a complete answer.
  bool IsCompleteAnswer() const;
  // Head of the latest response; status 0 if none has arrived.
  const ReplyHead& head() const { return head_; }
  // Id of the last forwarded event, after which another server continues.
  const std::string& last_event_id() const { return framer_.last_event_id(); }

  // Ends the response normally: ends the body that was forwarded, or sends the
  // buffered response.
  void Finish();

  // From the arrival of the request until the first forwarded bytes.
  Millis time_to_first_bytes() const { return time_to_first_bytes_; }
  // The longest time between two forwarded pieces.
  Millis longest_pause() const { return longest_pause_; }

 private:
  enum class BodyMode { kBuffer, kForward, kDiscard };

  Step Forward(std::string_view piece, Instant now);
  void RecordForwardTime(Instant now);
  void BeginForwarding();

  std::shared_ptr<CallerReply> reply_;
  const Instant received_;
  bool is_stream_ = false;
  bool started_ = false;
  ReplyHead head_;
  http::response_header<> header_;
  std::optional<std::uint64_t> length_;
  BodyMode mode_ = BodyMode::kBuffer;
  std::string buffered_body_;
  std::size_t discarded_bytes_ = 0;
  SseFramer framer_;
  Instant last_forwarded_at_;
  Millis time_to_first_bytes_{0};
  Millis longest_pause_{0};
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_RESPONSE_RELAY_H_
