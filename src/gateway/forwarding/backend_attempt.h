#ifndef GATEWAY_FORWARDING_BACKEND_ATTEMPT_H_
#define GATEWAY_FORWARDING_BACKEND_ATTEMPT_H_

#include <array>
#include <memory>
#include <optional>
#include <string>

#include "base/base.h"
#include "gateway/forwarding/backend_connection_pool.h"
#include "gateway/forwarding/message_protocol.h"
#include "gateway/membership/backend_server.h"

namespace bamboomount {

// How an attempt ended.
enum class AttemptOutcome {
  // The response arrived completely.
  kComplete,
  // No byte of the request was sent.
  kNotSent,
  // No byte of the request was sent, because nothing listens at the address.
  kConnectionRefused,
  // At least a part of the request may have been sent, and no complete response
  // arrived.
  kInterrupted,
};

// Receives the events of one attempt. None arrives after OnAttemptEnd or after
// BackendAttempt::Cancel.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;

  // Called right before the first byte is sent. Returns the encoded head of the
  // request, or nothing if the request must no longer be sent.
  virtual std::optional<std::string> PrepareHead() = 0;
  // The request's body; must stay valid until the attempt ends.
  virtual const std::string& request_body() const = 0;
  // Called once, with the head of the final response. `content_length` is empty
  // if the response does not give one.
  virtual void OnReplyHead(const http::response_header<>& header,
                           const ReplyHead& head,
                           std::optional<std::uint64_t> content_length) = 0;
  // Returns whether to continue reading; if false, the attempt pauses until
  // BackendAttempt::Resume.
  virtual bool OnReplyBody(std::string_view piece) = 0;
  virtual void OnAttemptEnd(AttemptOutcome outcome) = 0;
};

// The shared objects that attempts use; they must outlive the attempts.
struct AttemptEnvironment {
  asio::io_context& context;
  const MessageProtocol& protocol;
  BackendConnectionPool& connections;
};

// Sends one request to one backend server and reads the response. Responses to
// other requests that arrive on the connection are skipped. Not thread-safe;
// runs on the thread of the io_context.
class BackendAttempt : public std::enable_shared_from_this<BackendAttempt> {
 public:
  struct Options {
    RequestId id;
    // A response to HEAD has no body, whatever its header says.
    bool head_request = false;
    // Use an idle connection only if it was used so recently that the server is
    // certain to have kept it open.
    bool fresh_connection = false;
  };

  BackendAttempt(const AttemptEnvironment& environment,
                 const BackendServer& server,
                 Options options,
                 AttemptObserver& observer);
  ~BackendAttempt();
  BackendAttempt(const BackendAttempt&) = delete;
  BackendAttempt& operator=(const BackendAttempt&) = delete;

  // Takes an idle connection or opens one, and sends the request. May call the
  // observer before it returns.
  void Start();
  // Continues reading after OnReplyBody returned false.
  void Resume();
  // Closes the connection, which makes the server cancel the request. The
  // observer gets no further calls.
  void Cancel();

  const BackendServer& server() const { return server_; }
  // Whether a byte of the request may have reached the server.
  bool sent() const { return sent_; }
  // Whether the connection was taken from the pool.
  bool reused() const { return reused_; }

 private:
  using Parser = http::response_parser<http::buffer_body>;

  void Connect();
  void SendRequest();
  void ReadHead();
  void ReadHeadSome();
  void OnHead();
  void ReadBody();
  // `used` is the number of bytes read, with chunk framing.
  void OnBodyRead(const error_code& error, std::size_t used);
  void FinishReply();
  void EndAttempt(AttemptOutcome outcome);
  void CloseConnection();

  AttemptEnvironment environment_;
  const BackendServer server_;
  const Options options_;
  AttemptObserver* observer_;
  std::unique_ptr<BackendConnection> connection_;
  asio::steady_timer connect_timer_;
  std::optional<Parser> parser_;
  std::array<char, 8192> chunk_{};
  std::string request_head_;
  Millis idle_timeout_{0};
  bool sent_ = false;
  bool reused_ = false;
  bool write_done_ = false;
  // How writing the request ended, if it failed.
  error_code write_error_;
  // The response that is being read belongs to another request.
  bool mismatched_reply_ = false;
  int mismatched_replies_ = 0;
  std::size_t mismatched_bytes_ = 0;
  ResponseHeadChecker head_checker_;
  ChunkFramingMeter framing_meter_;
  bool close_counted_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_BACKEND_ATTEMPT_H_
