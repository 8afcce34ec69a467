#ifndef GATEWAY_FORWARDING_CALLER_CONNECTION_H_
#define GATEWAY_FORWARDING_CALLER_CONNECTION_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/boot_clock.h"
#include "gateway/forwarding/caller_reply.h"
#include "gateway/traffic/traffic_policy.h"

namespace bamboomount {

// A whole request as it came from a caller.
struct IncomingRequest {
  http::request<http::string_body> message;
  // When its first byte was read.
  Instant received;
};

// What a connection needs of the server that accepted it.
class CallerConnectionOwner {
 public:
  virtual ~CallerConnectionOwner() = default;

  virtual void OnRequest(IncomingRequest request,
                         std::shared_ptr<CallerReply> reply) = 0;
  virtual CallerLimits limits() const = 0;
  // The server stops: answers carry `Connection: close`.
  virtual bool shutting_down() const = 0;
  // Room for a body of `bytes` beside those that are in memory.
  virtual bool TryReserveBodyMemory(std::size_t bytes) = 0;
  virtual void ReleaseBodyMemory(std::size_t bytes) = 0;
};

// One connection of a caller: reads one request after the other, with bounds on
// size and time, and writes the answers. Runs on one thread.
class CallerConnection : public CallerReply,
                         public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(tcp::socket socket, CallerConnectionOwner& owner);

  void Start();
  // Closes the connection if it has passed a limit on time.
  void CheckTimeouts(Instant now);
  // Closes the connection if no request is in progress on it.
  void CloseIfIdle();
  void Close();
  bool closed() const { return phase_ == Phase::kClosed; }
  bool busy() const { return phase_ == Phase::kAnswering; }

  void Send(http::response<http::string_body> response) override;
  void Begin(http::response_header<> head,
             std::optional<std::uint64_t> content_length) override;
  void Write(std::string piece) override;
  std::size_t pending_bytes() const override { return pending_bytes_; }
  void WhenDrained(std::function<void()> drained) override;
  void Finish() override;
  void Abort() override;
  void SetCallerGoneHandler(std::function<void()> gone) override;

 private:
  enum class Phase {
    // Between requests.
    kIdle,
    kReadingHeader,
    kReadingBody,
    kAnswering,
    // All is sent; what the caller still sends is discarded.
    kLingering,
    kClosed,
  };
  using Parser = http::request_parser<http::string_body>;

  void ReadNext();
  void ReadHeader();
  void ReadBody();
  void DeliverRequest();
  void Refuse(http::status status);
  void RefuseSlowCaller();
  void OnReadError(const error_code& error);
  void WatchForClose();
  void QueueBytes(std::string bytes);
  void WriteQueued();
  void OnWritten(const error_code& error);
  void EndAnswer();
  void Linger();
  void DiscardInput();
  bool CallerHasClosed();
  void ReleaseReservation();
  void SetConnectionHeader(http::response_header<>& head) const;

  tcp::socket socket_;
  CallerConnectionOwner& owner_;
  Phase phase_ = Phase::kIdle;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  // Start of the current phase.
  Instant phase_start_;
  std::uint64_t request_number_ = 0;
  bool keep_alive_ = true;
  bool head_request_ = false;
  bool chunked_ = false;
  bool answer_ended_ = false;
  std::size_t reserved_bytes_ = 0;
  std::string queued_;
  std::string writing_;
  bool write_in_progress_ = false;
  std::size_t pending_bytes_ = 0;
  std::function<void()> on_drained_;
  std::function<void()> on_caller_gone_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_CALLER_CONNECTION_H_
