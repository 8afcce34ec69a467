#ifndef GATEWAY_FORWARDING_CALLER_CONNECTION_H_
#define GATEWAY_FORWARDING_CALLER_CONNECTION_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/bounded_http_reader.h"
#include "gateway/boot_clock.h"
#include "gateway/connection_relief.h"
#include "gateway/forwarding/caller_reply.h"
#include "gateway/memory_budget.h"
#include "gateway/traffic/traffic_policy.h"

namespace bamboomount {

// A complete request of a caller, or of another instance.
struct IncomingRequest {
  http::request<http::string_body> message;
  // When the first byte of the request was read.
  Instant received;
  // Whether another instance, which reaches no backend server, relays the
  // request of its caller.
  bool relayed = false;
};

// The server that accepted a connection, as the connection sees it.
class CallerConnectionOwner {
 public:
  virtual ~CallerConnectionOwner() = default;

  // Takes over a complete request; the response is sent through `reply`.
  virtual void OnRequest(IncomingRequest request,
                         std::shared_ptr<CallerReply> reply) = 0;
  virtual CallerLimits limits() const = 0;
  // Whether the server is shutting down; responses then carry `Connection:
  // close`.
  virtual bool shutting_down() const = 0;
  // The budget that the memory of connections is charged to.
  virtual std::shared_ptr<MemoryBudget> memory() = 0;
  // Whether new requests are refused because memory is scarce.
  virtual bool refuses_requests() const = 0;
  // Called when a connection uses more memory than before.
  virtual void OnMemoryCharged() = 0;
};

// One connection of a caller. Reads requests one after the other, with limits
// on size and time, and writes the responses in order. Not thread-safe.
class CallerConnection : public CallerReply,
                         public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(tcp::socket socket, CallerConnectionOwner& owner);

  // Begins to read requests.
  void Start();
  // Ends the connection if the current phase has exceeded its time limit: with
  // status 408 while a request is being read, otherwise by closing it.
  void CheckTimeouts(Instant now);
  // Closes the connection if no request is in progress.
  void CloseIfIdle();
  // Lets the request in progress, if any, end with its final answer.
  void EndRequest();
  // Whether bytes of a request have arrived that were not read yet.
  bool HasUnreadRequest() const;
  void Close();
  bool closed() const { return phase_ == Phase::kClosed; }
  bool busy() const { return phase_ == Phase::kResponding; }
  // What closing the connection would end and release.
  ConnectionLoad load() const;

  void Send(http::response<http::string_body> response) override;
  void Begin(http::response_header<> head,
             std::optional<std::uint64_t> content_length) override;
  void Write(std::string piece) override;
  std::size_t pending_bytes() const override { return pending_bytes_; }
  void WhenDrained(std::function<void()> drained) override;
  void Finish() override;
  void Abort() override;
  void SetCallerGoneHandler(std::function<void()> gone) override;
  void SetEndHandler(std::function<void()> end) override;

 private:
  enum class Phase {
    // Waiting for the next request.
    kIdle,
    kReadingHeader,
    kReadingBody,
    kResponding,
    // The response is sent; further input is discarded until the caller closes.
    kLingering,
    kClosed,
  };
  using Parser = http::request_parser<http::string_body>;

  void ReadNext();
  void ReadHeader();
  void ReadHeaderSome();
  void OnHeaderRead(const error_code& error);
  void ReadBody();
  void ReadBodySome();
  // `used` is the number of bytes read, with chunk framing.
  void OnBodyRead(const error_code& error, std::size_t used);
  // Whether chunk framing is in proportion to the body after a read of `used`
  // bytes.
  bool FramingIsInProportion(std::size_t used);
  // Reserves the memory that the body occupies now. Returns false if memory is
  // scarce.
  bool ReserveBodyMemory();
  void DeliverRequest();
  void Refuse(http::status status);
  void RefuseSlowCaller();
  void OnReadError(const error_code& error);
  void WatchForClose();
  void QueueBytes(std::string bytes);
  void WriteQueued();
  void WriteSome();
  void OnWritten(const error_code& error, std::size_t size);
  // Charges the memory that the connection uses now.
  void ChargeMemory();
  // Closes the connection if its caller does not read the response.
  void CheckWriteProgress(Instant now);
  // Bytes that the caller's side has not acknowledged; 0 if unknown.
  std::size_t UnacknowledgedBytes();
  void EndResponse();
  void Linger();
  void DiscardInput();
  bool CallerHasClosed();
  void SetConnectionHeader(http::response_header<>& head) const;

  tcp::socket socket_;
  CallerConnectionOwner& owner_;
  Phase phase_ = Phase::kIdle;
  BoundedHttpReader reader_;
  std::optional<Parser> parser_;
  // The head of a request in chunks, without the trailers that the parser adds
  // to it: a recipient must not take them for header fields (RFC 9110, 6.5.1).
  std::optional<http::request_header<>> chunked_head_;
  ChunkFramingMeter framing_meter_;
  std::size_t body_size_ = 0;
  // When the current phase began. While a request is read or answered: when
  // reading it began.
  Instant phase_start_;
  std::uint64_t request_number_ = 0;
  bool keep_alive_ = true;
  bool head_request_ = false;
  bool chunked_ = false;
  bool response_ended_ = false;
  MemoryCharge charge_;
  // The parts of the charge for the parsed head and reserved for the body.
  std::size_t head_bytes_ = 0;
  std::size_t reserved_bytes_ = 0;
  std::string queued_;
  std::string writing_;
  // The part of `writing_` that the socket has taken.
  std::size_t written_bytes_ = 0;
  // Bytes that the socket has taken since the connection began.
  std::size_t sent_bytes_ = 0;
  // Bytes that the caller had acknowledged when it last made enough progress,
  // and when that was.
  std::size_t progress_bytes_ = 0;
  Instant progress_start_;
  bool write_in_progress_ = false;
  std::size_t pending_bytes_ = 0;
  std::function<void()> on_drained_;
  std::function<void()> on_caller_gone_;
  std::function<void()> on_end_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_CALLER_CONNECTION_H_
